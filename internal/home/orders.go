package home

import (
	"time"

	"github.com/gentianflow/gentianflow/internal/backend"
	"github.com/gentianflow/gentianflow/internal/lease"
	"github.com/gentianflow/gentianflow/internal/order"
)

// reconcileServerStates orders the servers of a cell into the states that the
// inventory requires, while this host is the home. It runs until the cell
// closes, which is some time after another host has become the home; the lease
// prevents two hosts from ordering at the same time.
func (m *Manager) reconcileServerStates(h *hostedCell, service string) {
	self := m.deps.Members.Self().Incarnation
	reconciler := order.NewReconciler(service, lease.New(service, self, m.deps.Table, m.events, time.Now), m.events)
	tick := time.NewTicker(order.ReconcilePeriod)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			reconciler.Reconcile(h.cell.ctx, m.desiredStates(h, service))
		case <-h.cell.ctx.Done():
			return
		}
	}
}

// desiredStates returns the servers for which the inventory sets a state, and
// none when another host is the home.
func (m *Manager) desiredStates(h *hostedCell, service string) []order.DesiredState {
	m.mu.Lock()
	defer m.mu.Unlock()
	if h.applied == nil || !h.lostAt.IsZero() {
		return nil
	}
	svc, ok := h.applied.Document.Service(service)
	if !ok {
		return nil
	}
	var out []order.DesiredState
	for _, b := range svc.BackendServers {
		if b.Wants != "" {
			out = append(out, order.DesiredState{Server: b.Name, State: b.Wants, ServerClient: backend.NewServerClient(b.Address, m.deps.ServerTransport)})
		}
	}
	return out
}
