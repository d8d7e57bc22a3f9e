package store

import (
	"context"
	"slices"

	"github.com/gentianflow/gentianflow/internal/peer"
)

// Order names who reads the store for all: a few readers, the home first, and behind them
// standbys, which read it while no reader has news.
type Order struct {
	Names   []string // readers, then standbys
	Readers int      // how many of Names are readers
	Self    int      // place of this host in Names, -1: it has none
}

// around splits the others into those that this host asks before it reads the store, and
// those that it asks when the store does not answer it. Readers ask the home alone before
// they read, all at once: the store may turn several of them away together, and each takes
// seconds to notice.
func (o Order) around() (before, after []string) {
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

// The roles, by how soon a host reads the store.
const (
	Follower Role = iota // reads it for itself, if at all
	Standby              // reads it while no reader has news
	Reader               // reads it
)

// Role tells the role of this host.
func (o Order) Role() Role {
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
	Order() Order
	// Open opens a stream to a reader.
	Open(ctx context.Context, name string) (*peer.Stream, error)
	// Hosts is how many hosts there are, as far as this one knows.
	Hosts() int
}
