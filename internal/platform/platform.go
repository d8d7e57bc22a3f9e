// Package platform defines what the system needs of the platform: the
// transactional table service, the object store and the host list. Each is
// one small interface with one adapter in package httpplatform, so that
// another dialect is one more adapter.
package platform

import (
	"context"
	"time"
)

// Row is a table row. Version 0 means that the row does not exist.
type Row struct {
	Value   []byte `json:"value,omitempty"`
	Version uint64 `json:"version"`
}

// Write is one conditional write: it takes effect when the row's version is
// IfVersion (0: the row must not exist). Delete removes the row.
type Write struct {
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	IfVersion uint64 `json:"if_version"`
	Delete    bool   `json:"delete,omitempty"`
}

// WriteResult tells whether a write took effect and gives the row after it.
type WriteResult struct {
	Done bool `json:"done"`
	Row  Row  `json:"row"`
}

// Table is the transactional table service. A failed call may have taken
// effect: its answer can be lost. Callers read the row back.
type Table interface {
	Get(ctx context.Context, key string) (Row, error)
	// Apply sends a group of writes; each is conditional by itself.
	Apply(ctx context.Context, writes []Write) ([]WriteResult, error)
}

// Objects is the object store. Objects are named by the hash of their
// content, so a repeated Put is harmless.
type Objects interface {
	PutObject(ctx context.Context, name string, content []byte) error
	GetObject(ctx context.Context, name string) ([]byte, error)
}

// HostState is the host list's word on a host.
type HostState string

// The states of the host list.
const (
	HostLive    HostState = "live"
	HostLeaving HostState = "leaving"
)

// HostKind tells entry hosts from backend server hosts.
type HostKind string

// The kinds of hosts.
const (
	EntryHost   HostKind = "entry"
	BackendHost HostKind = "backend"
)

// Host is one line of the host list. For an entry host Address is its
// control address, for a backend host the address of its server.
type Host struct {
	Name    string    `json:"name"`
	Kind    HostKind  `json:"kind"`
	Address string    `json:"address"`
	State   HostState `json:"state"`
}

// HostList lists live and leaving hosts; it lags.
type HostList interface {
	Hosts(ctx context.Context) ([]Host, error)
}

// Clock is passed in where tests must steer time.
type Clock func() time.Time
