package home

import (
	"time"

	"github.com/gentianflow/gentianflow/internal/backend"
	"github.com/gentianflow/gentianflow/internal/lease"
	"github.com/gentianflow/gentianflow/internal/order"
)

// giveOrders brings the servers of a cell to the states that the inventory
// wants, while this host is the home. A home that lost its place goes on
// until its cell closes; the lease keeps two from ordering at once.
func (m *Manager) giveOrders(h *hosted, service string) {
	self := m.src.Members.Self().Incarnation
	giver := order.NewReconciler(service, lease.New(service, self, m.src.Table, m.events, time.Now), m.events)
	tick := time.NewTicker(order.ReconcilePeriod)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			giver.Reconcile(h.cell.ctx, m.wishes(h, service))
		case <-h.cell.ctx.Done():
			return
		}
	}
}

// wishes lists the servers for which the inventory wants a state; none when
// another host is the home.
func (m *Manager) wishes(h *hosted, service string) []order.DesiredState {
	m.mu.Lock()
	defer m.mu.Unlock()
	if h.applied == nil || !h.lost.IsZero() {
		return nil
	}
	svc, ok := h.applied.Document.Service(service)
	if !ok {
		return nil
	}
	var out []order.DesiredState
	for _, b := range svc.BackendServers {
		if b.Wants != "" {
			out = append(out, order.DesiredState{Server: b.Name, State: b.Wants, ServerClient: backend.NewOrderer(b.Address, m.src.Watch)})
		}
	}
	return out
}
