// Package order brings backend servers to the state that the inventory specifies (models,
// adapters, versions, role). Only the holder of a service's lease sends orders, each with the
// lease's fencing number.
//
// Servers that check the number refuse the order of an earlier holder. Servers that ignore it
// accept an order that was delayed in flight; orders therefore state the desired end state, and
// the holder reads it back every round and repairs differences. Between such a delayed order
// and the next round the server is in the older state, for at most ReconcilePeriod plus one
// call.
package order

import (
	"context"
	"time"

	"github.com/gentianflow/gentianflow/internal/event"
	"github.com/gentianflow/gentianflow/internal/failure"
	"github.com/gentianflow/gentianflow/internal/ident"
	"github.com/gentianflow/gentianflow/internal/lease"
)

// ReconcilePeriod is the time between two rounds.
const ReconcilePeriod = 1 * time.Second

// ServerClient reads and sets the state of one backend server.
type ServerClient interface {
	// State reads the current state of the server.
	State(ctx context.Context) (string, error)
	// Order sets a state. It fails with StaleFence if the server has seen a higher fencing
	// number.
	Order(ctx context.Context, fence uint64, state string) error
}

// DesiredState is the desired state of a server according to the inventory.
type DesiredState struct {
	Server       string
	State        string
	ServerClient ServerClient
}

// Reconciler sends the orders of one service. It is used by one goroutine.
type Reconciler struct {
	service     string
	lease       *lease.Lease
	events      *event.Recorder
	lastOrdered map[ident.ServerID]string // state last ordered, by server
}

// NewReconciler returns a reconciler that sends orders under a lease.
func NewReconciler(service string, l *lease.Lease, events *event.Recorder) *Reconciler {
	return &Reconciler{service: service, lease: l, events: events, lastOrdered: map[ident.ServerID]string{}}
}

// Reconcile renews the lease and compares every server with its desired state. Without the lease it
// does nothing.
func (g *Reconciler) Reconcile(ctx context.Context, wishes []DesiredState) {
	if len(wishes) == 0 {
		return
	}
	held, err := g.lease.AcquireOrRenew(ctx)
	if err != nil && !held || !held {
		return
	}
	for _, w := range wishes {
		g.reconcileServer(ctx, w)
	}
}

func (g *Reconciler) reconcileServer(ctx context.Context, w DesiredState) {
	state, err := w.ServerClient.State(ctx)
	if err != nil || state == w.State {
		return
	}
	id := ident.ServerIDOf(w.Server)
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
	err = w.ServerClient.Order(ctx, fence, w.State)
	switch {
	case failure.Is(err, failure.StaleFence):
		g.events.Record(event.OrderRefused, f)
	case err == nil:
		g.lastOrdered[id] = w.State
		g.events.Record(event.OrderSent, f)
	}
}
