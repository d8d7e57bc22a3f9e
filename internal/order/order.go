// Package order brings backend servers to the state that the inventory wants
// (models, adapters, versions, role). Only the holder of a service's lease
// gives orders, each under the lease's fencing number.
//
// Servers that check the number refuse the order of an earlier holder. Those
// that ignore it take an order that was late on its way; orders therefore
// state a wanted end state, and the holder reads back every round and repairs
// what differs. Between such a late order and the next round the server is in
// the older state: at most Period plus one call.
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

// Orderer is the order side of one backend server.
type Orderer interface {
	// State reads the state that the server is in.
	State(ctx context.Context) (string, error)
	// Order asks for a state. It fails with StaleFence when the server has
	// seen a higher number.
	Order(ctx context.Context, fence uint64, state string) error
}

// Wish is the state that the inventory wants of a server.
type Wish struct {
	Server  string
	State   string
	Orderer Orderer
}

// Giver gives the orders of one service. One goroutine owns it.
type Giver struct {
	service string
	lease   *lease.Lease
	events  *event.Recorder
	given   map[ident.ServerID]string // the state last ordered, by server
}

// NewGiver makes a giver under a lease.
func NewGiver(service string, l *lease.Lease, events *event.Recorder) *Giver {
	return &Giver{service: service, lease: l, events: events, given: map[ident.ServerID]string{}}
}

// Round renews the lease and compares every server with its wish. Without
// the lease it does nothing.
func (g *Giver) Round(ctx context.Context, wishes []Wish) {
	if len(wishes) == 0 {
		return
	}
	held, err := g.lease.Try(ctx)
	if err != nil && !held || !held {
		return
	}
	for _, w := range wishes {
		g.one(ctx, w)
	}
}

func (g *Giver) one(ctx context.Context, w Wish) {
	state, err := w.Orderer.State(ctx)
	if err != nil || state == w.State {
		return
	}
	id := ident.Server(w.Server)
	f := event.Fields{Service: g.service, Server: w.Server, Detail: w.State}
	if g.given[id] == w.State {
		f.Detail = state + " instead of " + w.State
		g.events.Record(event.OrderRepaired, f)
	}
	// Checked right before the order: the read above may have taken long, or
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
		g.given[id] = w.State
		g.events.Record(event.OrderSent, f)
	}
}
