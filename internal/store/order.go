package store

import (
	"context"
	"slices"

	"github.com/gentianflow/gentianflow/internal/peer"
)

// ReaderOrder lists the hosts that read the store for all others: a few readers, the home first,
// followed by standbys, which read it while no reader has a fresh answer.
type ReaderOrder struct {
	Names   []string // readers, then standbys
	Readers int      // number of readers in Names
	Self    int      // index of this host in Names, -1 if not listed
}

// peers splits the other hosts into those that this host asks before it reads the store, and
// those that it asks when the store doesn't answer. Readers ask only the home first, and then
// all read the store in parallel instead of asking each other: the store may refuse several of
// them together, and each takes seconds to detect that.
func (o ReaderOrder) peers() (before, after []string) {
	switch {
	case o.Self < 0:
		return o.Names, nil
	case o.Self < o.Readers:
		first := min(1, o.Self)
		return o.Names[:first], slices.Concat(o.Names[first:o.Self], o.Names[o.Self+1:])
	}
	return o.Names[:o.Self], o.Names[o.Self+1:]
}

// Role is what a host does for others that follow a table.
type Role int

// The roles, from the last to read the store to the first.
const (
	Follower Role = iota // reads it only for itself, if at all
	Standby              // reads it while no reader has a fresh answer
	Reader               // reads it
)

// Role returns the role of this host.
func (o ReaderOrder) Role() Role {
	switch {
	case o.Self < 0:
		return Follower
	case o.Self < o.Readers:
		return Reader
	}
	return Standby
}

// Readers are the hosts that read the store for all others.
type Readers interface {
	ReaderOrder() ReaderOrder
	// Open opens a stream to a reader.
	Open(ctx context.Context, name string) (*peer.Stream, error)
	// Hosts returns the number of hosts known to this one.
	Hosts() int
}
