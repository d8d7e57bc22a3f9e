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
	watchPeriod = 1 * time.Second
	// failedWatches is how many reports in a row must fail before the home
	// stops granting to a server.
	failedWatches = 2
)

// watchServers starts a watcher for each server of the inventory and stops
// those of removed ones. The caller holds Manager.mu.
func (m *Manager) watchServers(h *hosted, svc *config.Service) {
	wanted := map[string]bool{}
	for _, b := range svc.BackendServers {
		wanted[b.Address] = true
		if h.watchers[b.Address] != nil {
			continue
		}
		ctx, stop := context.WithCancel(h.cell.ctx)
		h.watchers[b.Address] = stop
		w := &serverWatch{
			manager: m, cell: h.cell, server: b, plain: svc.Kind == config.PlainService,
			reports: backend.NewWatcher(b.Address, m.src.Watch),
		}
		h.cell.done.Go(func() { w.run(ctx) })
	}
	for address, stop := range h.watchers {
		if !wanted[address] {
			stop()
			delete(h.watchers, address)
		}
	}
}

// serverWatch reads the load reports and cache events of one server and
// feeds them to the cell. Its goroutine owns all fields.
type serverWatch struct {
	manager     *Manager
	cell        *cell
	server      config.BackendServer
	plain       bool
	reports     *backend.Watcher
	failed      int
	incarnation string
	lastEvent   uint64
}

func (w *serverWatch) run(ctx context.Context) {
	tick := time.NewTicker(watchPeriod)
	defer tick.Stop()
	for {
		w.load(ctx)
		if !w.plain && w.failed == 0 {
			w.cacheEvents(ctx)
		}
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
	}
}

func (w *serverWatch) id() ident.ServerID { return ident.ServerIDOf(w.server.Name) }

func (w *serverWatch) load(ctx context.Context) {
	l, err := w.reports.Load(ctx)
	if ctx.Err() != nil {
		return
	}
	if err != nil {
		w.fail(err)
		return
	}
	w.failed = 0
	if w.incarnation != "" && w.incarnation != l.Incarnation {
		w.restarted()
	}
	w.incarnation = l.Incarnation
	w.manager.setDraining(w.cell.service, w.server.Address, l.Draining)
	w.cell.push(input{event: core.LoadReport{Server: w.id(), Age: l.Age(), Running: l.Running}})
}

func (w *serverWatch) fail(err error) {
	w.failed++
	if w.failed != failedWatches {
		return
	}
	w.manager.events.Record(event.ServerUnreachable, event.Fields{Service: w.cell.service, Server: w.server.Name, Detail: err.Error()})
	w.cell.push(input{event: core.ServerSignal{Server: w.id(), Signal: core.SignalFail}})
}

// restarted tells the cell that the server's cache and streams are gone
// although its address is not.
func (w *serverWatch) restarted() {
	w.lastEvent = 0
	w.manager.events.Record(event.ServerRestarted, event.Fields{Service: w.cell.service, Server: w.server.Name})
	w.cell.push(input{event: core.ServerRestarted{Server: w.id()}})
}

func (w *serverWatch) cacheEvents(ctx context.Context) {
	page, err := w.reports.CacheEvents(ctx, w.lastEvent)
	if err != nil || len(page.Events) == 0 {
		return
	}
	first := w.lastEvent == 0
	stored, evicted, newest, gap, age := page.Keys(w.lastEvent)
	w.lastEvent = newest
	if gap && !first {
		w.manager.events.Record(event.ServerCacheGap, event.Fields{Service: w.cell.service, Server: w.server.Name})
	}
	w.cell.push(input{event: core.CacheUpdate{
		Server: w.id(), Age: age, Gap: gap && !first, Stored: stored, Evicted: evicted,
	}})
}
