package node

import (
	"context"
	"sync"
	"time"

	"github.com/gentianflow/gentianflow/internal/failure"
	"github.com/gentianflow/gentianflow/internal/store"
)

// absence is how the store treats a host.
type absence int

const (
	present absence = iota
	silent          // no answer comes
	refused         // an error comes at once
	frozen          // the host itself stands still
)

func (a absence) String() string {
	return [...]string{"present", "silent", "refused", "frozen"}[a]
}

// storeTable is a table of the platform's store. mu guards all fields; changed is closed and
// made anew with each change.
type storeTable struct {
	mu      sync.Mutex
	rows    map[string]store.Row
	history []store.Row
	version int64
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

func (t *storeTable) whole() ([]store.Row, int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var rows []store.Row
	for _, r := range t.rows {
		rows = append(rows, r)
	}
	return rows, t.version
}

func (t *storeTable) since(after int64) ([]store.Row, int64, <-chan struct{}) {
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

// The bounds of the store's client.
const (
	storeAnswer = 4 * time.Millisecond
	storeCall   = 1500 * time.Millisecond
	storeMargin = 800 * time.Millisecond
)

// Snapshot and Changes make a fleetHost the store's client of that host.

func (h *fleetHost) Snapshot(ctx context.Context, table string) ([]store.Row, int64, error) {
	if err := h.answer(ctx, time.Now().Add(storeCall)); err != nil {
		return nil, 0, err
	}
	rows, version := h.fleet.tables[table].whole()
	return rows, version, nil
}

func (h *fleetHost) Changes(ctx context.Context, table string, after int64, wait time.Duration) ([]store.Row, int64, error) {
	limit := time.Now().Add(wait + storeMargin)
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for waits := true; ; {
		if err := h.answer(ctx, limit); err != nil {
			return nil, 0, err
		}
		rows, version, changed := h.fleet.tables[table].since(after)
		if len(rows) > 0 || !waits {
			return rows, version, nil
		}
		select {
		case <-changed:
		case <-timer.C:
			waits = false
		case <-ctx.Done():
			return nil, 0, ctx.Err()
		}
	}
}

// answer takes the time of an answer, or until limit when none comes.
func (h *fleetHost) answer(ctx context.Context, limit time.Time) error {
	time.Sleep(storeAnswer)
	switch h.absence() {
	case silent:
		select {
		case <-time.After(time.Until(limit)):
		case <-ctx.Done():
		}
		return failure.New(failure.StoreDown, "no answer")
	case refused:
		return failure.New(failure.StoreDown, "turned away")
	case frozen:
		h.thaw()
		return failure.New(failure.StoreDown, "no answer in time")
	}
	return nil
}
