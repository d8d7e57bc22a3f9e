// Package platform defines what the system needs from the platform: the transactional table
// service, the object store and the host list. Each is a small interface with one adapter in
// package httpplatform; another platform needs only another adapter.
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

// Write is a conditional write: it takes effect if the row's version is IfVersion (0: the row
// must not exist). Delete removes the row.
type Write struct {
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	IfVersion uint64 `json:"if_version"`
	Delete    bool   `json:"delete,omitempty"`
}

// WriteResult reports whether a write took effect, and the row after it.
type WriteResult struct {
	Done bool `json:"done"`
	Row  Row  `json:"row"`
}

// Table is the transactional table service. A failed call may have taken effect, because its
// answer can be lost; callers read the row back.
type Table interface {
	Get(ctx context.Context, key string) (Row, error)
	// Apply sends a group of writes. Each is conditional on its own row only.
	Apply(ctx context.Context, writes []Write) ([]WriteResult, error)
}

// Objects is the object store. Objects are named by the hash of their content, so repeating
// PutObject is harmless.
type Objects interface {
	PutObject(ctx context.Context, name string, content []byte) error
	GetObject(ctx context.Context, name string) ([]byte, error)
}

// HostState is the state of a host according to the host list.
type HostState string

// The states of the host list.
const (
	HostLive    HostState = "live"
	HostLeaving HostState = "leaving"
)

// HostKind distinguishes entry hosts from backend server hosts.
type HostKind string

// The kinds of hosts.
const (
	EntryHost   HostKind = "entry"
	BackendHost HostKind = "backend"
)

// Host is an entry of the host list. For an entry host Address is its control address, for a
// backend host the address of its server.
type Host struct {
	Name    string    `json:"name"`
	Kind    HostKind  `json:"kind"`
	Address string    `json:"address"`
	State   HostState `json:"state"`
}

// HostList lists live and leaving hosts; its answers may be outdated.
type HostList interface {
	Hosts(ctx context.Context) ([]Host, error)
}

// Clock returns the current time; tests replace it to control time.
type Clock func() time.Time
