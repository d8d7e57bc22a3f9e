package home

import (
	"context"
	"time"

	"github.com/gentianflow/gentianflow/internal/backend"
	"github.com/gentianflow/gentianflow/internal/config"
	"github.com/gentianflow/gentianflow/internal/core"
	"github.com/gentianflow/gentianflow/internal/event"
	"github.com/gentianflow/gentianflow/internal/ident"
)

const (
	pollPeriod = 1 * time.Second
	// failureThreshold is how many consecutive reads of the load report must
	// fail before the home stops granting to a server.
	failureThreshold = 2
)

// watchServers starts a watcher for each new server of the inventory and stops
// those of removed servers. The caller holds Manager.mu.
func (m *Manager) watchServers(h *hostedCell, svc *config.Service) {
	wanted := map[string]bool{}
	for _, b := range svc.BackendServers {
		wanted[b.Address] = true
		if h.watchers[b.Address] != nil {
			continue
		}
		ctx, stop := context.WithCancel(h.cell.ctx)
		h.watchers[b.Address] = stop
		w := &serverWatcher{
			manager: m, cell: h.cell, server: b, plain: svc.Kind == config.PlainService,
			reports: backend.NewWatcher(b.Address, m.deps.ServerTransport),
		}
		h.cell.tasks.Go(func() { w.run(ctx) })
	}
	for address, stop := range h.watchers {
		if !wanted[address] {
			stop()
			delete(h.watchers, address)
		}
	}
}

// serverWatcher polls the load reports and cache events of one server and sends
// them to the cell. Its goroutine owns all fields.
type serverWatcher struct {
	manager     *Manager
	cell        *cell
	server      config.BackendServer
	plain       bool
	reports     *backend.Watcher
	failures    int
	incarnation string
	lastSeq     uint64
}

func (w *serverWatcher) run(ctx context.Context) {
	tick := time.NewTicker(pollPeriod)
	defer tick.Stop()
	for {
		w.pollLoad(ctx)
		if !w.plain && w.failures == 0 {
			w.pollCacheEvents(ctx)
		}
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
	}
}

func (w *serverWatcher) id() ident.ServerID { return ident.ServerIDOf(w.server.Name) }

func (w *serverWatcher) pollLoad(ctx context.Context) {
	l, err := w.reports.Load(ctx)
	if ctx.Err() != nil {
		return
	}
	if err != nil {
		w.recordFailure(err)
		return
	}
	w.failures = 0
	if w.incarnation != "" && w.incarnation != l.Incarnation {
		w.handleRestart()
	}
	w.incarnation = l.Incarnation
	w.manager.setDraining(w.cell.service, w.server.Address, l.Draining)
	w.cell.push(input{event: core.LoadReport{Server: w.id(), Age: l.Age(), Running: l.Running}})
}

func (w *serverWatcher) recordFailure(err error) {
	w.failures++
	if w.failures != failureThreshold {
		return
	}
	w.manager.events.Record(event.ServerUnreachable, event.Fields{Service: w.cell.service, Server: w.server.Name, Detail: err.Error()})
	w.cell.push(input{event: core.ServerSignal{Server: w.id(), Signal: core.SignalFail}})
}

// handleRestart informs the cell that the server lost its cache and streams,
// although its address still answers.
func (w *serverWatcher) handleRestart() {
	w.lastSeq = 0
	w.manager.events.Record(event.ServerRestarted, event.Fields{Service: w.cell.service, Server: w.server.Name})
	w.cell.push(input{event: core.ServerRestarted{Server: w.id()}})
}

func (w *serverWatcher) pollCacheEvents(ctx context.Context) {
	page, err := w.reports.CacheEvents(ctx, w.lastSeq)
	if err != nil || len(page.Events) == 0 {
		return
	}
	first := w.lastSeq == 0
	stored, evicted, newest, gap, age := page.Keys(w.lastSeq)
	w.lastSeq = newest
	if gap && !first {
		w.manager.events.Record(event.ServerCacheGap, event.Fields{Service: w.cell.service, Server: w.server.Name})
	}
	w.cell.push(input{event: core.CacheUpdate{
		Server: w.id(), Age: age, Gap: gap && !first, Stored: stored, Evicted: evicted,
	}})
}
