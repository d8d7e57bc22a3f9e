package node

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/gentianflow/gentianflow/internal/failure"
	"github.com/gentianflow/gentianflow/internal/store"
)

// availability is how the store answers a host.
type availability int

const (
	present availability = iota
	silent               // the store does not answer
	refused              // the store answers with an error at once
	frozen               // the host itself is paused
)

func (a availability) String() string {
	return [...]string{"present", "silent", "refused", "frozen"}[a]
}

// storeTable is a table of the platform's store. mu guards all fields; changed is closed and
// replaced at each change.
type storeTable struct {
	mu      sync.Mutex
	rows    map[string]store.Row
	history []store.Row
	version store.Version
	changed chan struct{}
}

func newStoreTable() *storeTable {
	return &storeTable{rows: map[string]store.Row{}, changed: make(chan struct{})}
}

func (t *storeTable) write(rows ...store.Row) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range rows {
		t.version++
		r.Version = t.version
		t.rows[r.Key] = r
		if r.Deleted {
			delete(t.rows, r.Key)
		}
		t.history = append(t.history, r)
	}
	close(t.changed)
	t.changed = make(chan struct{})
}

// copied returns what the table holds.
func (t *storeTable) copied() *storeTable {
	t.mu.Lock()
	defer t.mu.Unlock()
	return &storeTable{rows: maps.Clone(t.rows), history: slices.Clone(t.history), version: t.version}
}

// restore replaces what the table holds by a copy, in the next era, and writes rows before anyone reads
// it. Then its version rises above the one from before.
func (t *storeTable) restore(from *storeTable, rows ...store.Row) {
	t.mu.Lock()
	era, passed := t.version.Era()+1, t.version.Number()+1
	rebase := func(r store.Row) store.Row {
		r.Version, _ = store.NewVersion(era, r.Version.Number()) // never out of range
		return r
	}
	t.rows, t.history = map[string]store.Row{}, nil
	for key, r := range from.rows {
		t.rows[key] = rebase(r)
	}
	for _, r := range from.history {
		t.history = append(t.history, rebase(r))
	}
	t.version = rebase(store.Row{Version: from.version}).Version
	t.mu.Unlock()
	t.write(rows...)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.version = max(t.version, rebase(store.Row{Version: store.Version(passed)}).Version)
}

func (t *storeTable) snapshot() ([]store.Row, store.Version) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var rows []store.Row
	for _, r := range t.rows {
		rows = append(rows, r)
	}
	return rows, t.version
}

func (t *storeTable) since(after store.Version) ([]store.Row, store.Version, <-chan struct{}) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var rows []store.Row
	for _, r := range t.history {
		if r.Version > after {
			rows = append(rows, r)
		}
	}
	return rows, t.version, t.changed
}

// Latency of an answer of the store, and the timeouts of its client.
const (
	storeLatency     = 4 * time.Millisecond
	storeCallTimeout = 1500 * time.Millisecond
	storeWaitMargin  = 800 * time.Millisecond
)

// Snapshot and Changes implement store.Tables.

func (h *fleetHost) Snapshot(ctx context.Context, table string) ([]store.Row, store.Version, error) {
	if err := h.respond(ctx, time.Now().Add(storeCallTimeout)); err != nil {
		return nil, 0, err
	}
	rows, version := h.fleet.tables[table].snapshot()
	return rows, version, h.holdUp(ctx, true)
}

func (h *fleetHost) Changes(ctx context.Context, table string, after store.Version, wait time.Duration) ([]store.Row, store.Version, error) {
	deadline := time.Now().Add(wait + storeWaitMargin)
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for waiting := true; ; {
		if err := h.respond(ctx, deadline); err != nil {
			return nil, 0, err
		}
		rows, version, changed := h.fleet.tables[table].since(after)
		if version.Era() != after.Era() {
			return nil, 0, failure.New(failure.HistoryLost, "restored")
		}
		if len(rows) > 0 || !waiting {
			return rows, version, h.holdUp(ctx, false)
		}
		select {
		case <-changed:
		case <-timer.C:
			waiting = false
		case <-ctx.Done():
			return nil, 0, ctx.Err()
		}
	}
}

// respond waits for the latency of an answer, or until deadline when the store does not answer,
// and returns the error of the call.
func (h *fleetHost) respond(ctx context.Context, deadline time.Time) error {
	time.Sleep(storeLatency)
	switch h.availability() {
	case silent:
		select {
		case <-time.After(time.Until(deadline)):
		case <-ctx.Done():
		}
		return failure.New(failure.StoreDown, "no answer")
	case refused:
		return failure.New(failure.StoreDown, "refused")
	case frozen:
		h.waitWhileFrozen()
		return failure.New(failure.StoreDown, "no answer in time")
	}
	return nil
}
