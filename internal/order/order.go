// Package order brings backend servers to the state that the inventory specifies (models,
// adapters, versions, role). Only the holder of a service's lease sends orders, each with the
// lease's fencing number.
//
// Servers that check the number refuse the order of an earlier holder. Servers that ignore it
// accept an order that was delayed in flight; orders therefore state the desired end state, and
// the holder reads it back every round and repairs differences. Between such a delayed order
// and the next round the server is in the older state, for at most Period plus one call.
package order

import (
	"context"
	"time"

	"github.com/gentianflow/gentianflow/internal/event"
	"github.com/gentianflow/gentianflow/internal/failure"
	"github.com/gentianflow/gentianflow/internal/ident"
	"github.com/gentianflow/gentianflow/internal/lease"
)

// Period is the time between two rounds.
const Period = 1 * time.Second

// Orderer reads and sets the state of one backend server.
type Orderer interface {
	// State reads the current state of the server.
	State(ctx context.Context) (string, error)
	// Order sets a state. It fails with StaleFence if the server has seen a higher fencing
	// number.
	Order(ctx context.Context, fence uint64, state string) error
}

// Wish is the desired state of a server according to the inventory.
type Wish struct {
	Server  string
	State   string
	Orderer Orderer
}

// Giver sends the orders of one service. It is used by one goroutine.
type Giver struct {
	service     string
	lease       *lease.Lease
	events      *event.Recorder
	lastOrdered map[ident.ServerID]string // state last ordered, by server
}

// NewGiver returns a giver that sends orders under a lease.
func NewGiver(service string, l *lease.Lease, events *event.Recorder) *Giver {
	return &Giver{service: service, lease: l, events: events, lastOrdered: map[ident.ServerID]string{}}
}

// Round renews the lease and compares every server with its desired state. Without the lease it
// does nothing.
func (g *Giver) Round(ctx context.Context, wishes []Wish) {
	if len(wishes) == 0 {
		return
	}
	held, err := g.lease.Try(ctx)
	if err != nil && !held || !held {
		return
	}
	for _, w := range wishes {
		g.reconcile(ctx, w)
	}
}

func (g *Giver) reconcile(ctx context.Context, w Wish) {
	state, err := w.Orderer.State(ctx)
	if err != nil || state == w.State {
		return
	}
	id := ident.Server(w.Server)
	f := event.Fields{Service: g.service, Server: w.Server, Detail: w.State}
	if g.lastOrdered[id] == w.State {
		f.Detail = state + " instead of " + w.State
		g.events.Record(event.OrderRepaired, f)
	}
	// The lease is checked right before the order: reading the state may have taken long, or
	// this process may have been paused since the round began.
	fence, ok := g.lease.Held()
	if !ok {
		return
	}
	err = w.Orderer.Order(ctx, fence, w.State)
	switch {
	case failure.Is(err, failure.StaleFence):
		g.events.Record(event.OrderRefused, f)
	case err == nil:
		g.lastOrdered[id] = w.State
		g.events.Record(event.OrderSent, f)
	}
}
