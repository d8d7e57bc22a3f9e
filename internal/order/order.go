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

// ReconcilePeriod is the time between two rounds, which are calls of Reconciler.Reconcile.
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

// Reconcile runs one round: it renews the lease, compares every server with its desired state and
// orders what differs. Without the lease it does nothing.
func (r *Reconciler) Reconcile(ctx context.Context, desired []DesiredState) {
	if len(desired) == 0 {
		return
	}
	held, err := r.lease.AcquireOrRenew(ctx)
	if err != nil && !held || !held {
		return
	}
	for _, d := range desired {
		r.reconcileServer(ctx, d)
	}
}

func (r *Reconciler) reconcileServer(ctx context.Context, d DesiredState) {
	state, err := d.ServerClient.State(ctx)
	if err != nil || state == d.State {
		return
	}
	id := ident.ServerIDOf(d.Server)
	f := event.Fields{Service: r.service, Server: d.Server, Detail: d.State}
	if r.lastOrdered[id] == d.State {
		f.Detail = state + " instead of " + d.State
		r.events.Record(event.OrderRepaired, f)
	}
	// The lease is checked right before the order: reading the state may have taken long, or
	// this process may have been paused since the round began.
	fence, ok := r.lease.Held()
	if !ok {
		return
	}
	err = d.ServerClient.Order(ctx, fence, d.State)
	switch {
	case failure.Is(err, failure.StaleFence):
		r.events.Record(event.OrderRefused, f)
	case err == nil:
		r.lastOrdered[id] = d.State
		r.events.Record(event.OrderSent, f)
	}
}
