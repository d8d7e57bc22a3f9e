package store

import (
	"bytes"
	"context"
	"sync"
	"time"

	"github.com/gentianflow/gentianflow/internal/failure"
)

const (
	// staleAfter is how long the store may be silent towards a host that reads it
	// before the others are sent elsewhere.
	staleAfter = 2 * time.Second
	// outageFrom is the least silence of the store that the others are told of. Entries
	// of servers lapse after twice as long.
	outageFrom = 1 * time.Second
	// maxHistory bounds the changes of a table that are kept; whoever is
	// further behind reads the table anew. It is more than the backend servers of
	// the largest fleet played (3,000), which all register within a second.
	maxHistory = 4096
)

// Relay keeps what one host reads of a table, for the others: a store that is
// read by every host of a fleet costs with each host, one that is read by the
// home costs the same for all. mu guards all fields; changed is closed and
// made anew with each update.
type Relay struct {
	mu      sync.Mutex
	rows    map[string]Row
	history []Row
	from    int64 // history begins behind this version
	version int64
	// fresh is when the store itself gave its newest answer, zero while it fails. What
	// another relay tells does not count: two hosts that follow each other would take
	// their own words for the store's.
	fresh   time.Time
	failed  bool // the store has failed to answer once
	changed chan struct{}
	packs   []packed // newest last
	// released counts the releases.
	released int
	gap      time.Duration // the store's newest outage, 0: none
	returned time.Time     // its end
}

// NewRelay makes an empty relay, which has nothing to tell yet.
func NewRelay() *Relay {
	return &Relay{rows: map[string]Row{}, changed: make(chan struct{})}
}

// Apply takes an update of the watcher over.
func (r *Relay) Apply(u Update) {
	r.mu.Lock()
	defer r.mu.Unlock()
	first := r.fresh.IsZero() && r.version == 0
	now := time.Now()
	if u.Reader == "" {
		r.fresh = now
	}
	if u.Gap > outageFrom {
		r.gap, r.returned = u.Gap, now
	}
	rows := u.Rows
	if u.Whole {
		rows = r.difference(u)
		clear(r.rows)
	}
	for _, row := range u.Rows {
		if row.Deleted {
			delete(r.rows, row.Key)
		} else {
			r.rows[row.Key] = row
		}
	}
	r.version = max(r.version, u.Version)
	if first {
		r.from = r.version
		rows = nil
	}
	r.remember(rows)
	if len(rows) > 0 || first {
		r.wake()
	}
}

// difference turns a whole table into the changes against what was known. They
// count as made at the version of the read. The caller holds mu.
func (r *Relay) difference(u Update) []Row {
	var rows []Row
	listed := map[string]bool{}
	for _, row := range u.Rows {
		listed[row.Key] = true
		if have, ok := r.rows[row.Key]; !ok || have.Version != row.Version || !bytes.Equal(have.Value, row.Value) {
			row.Version = max(row.Version, u.Version)
			rows = append(rows, row)
		}
	}
	for key := range r.rows {
		if !listed[key] {
			rows = append(rows, Row{Key: key, Version: u.Version, Deleted: true})
		}
	}
	return rows
}

func (r *Relay) remember(rows []Row) {
	r.history = append(r.history, rows...)
	if over := len(r.history) - maxHistory; over > 0 {
		r.from = r.history[over-1].Version
		r.history = append([]Row(nil), r.history[over:]...)
	}
}

func (r *Relay) wake() {
	close(r.changed)
	r.changed = make(chan struct{})
}

// Failed notes that the store did not answer. Whoever waits is sent away.
func (r *Relay) Failed() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.fresh.IsZero() || !r.failed {
		r.fresh, r.failed = time.Time{}, true
		r.wake()
	}
}

// release answers whoever waits, so that each looks anew at whom to ask.
func (r *Relay) release() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.released++
	r.wake()
}

// outage tells how long the store's newest outage lasted and how long ago it ended, in
// milliseconds, 0 when there was none.
func (r *Relay) outage() (gap, returned uint32) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.gap == 0 {
		return 0, 0
	}
	return uint32(r.gap.Milliseconds()), uint32(time.Since(r.returned).Milliseconds())
}

// firstWait is how long a whole read waits at a host that has not read the table itself
// yet: it starts like the host that asks, and reads within that time.
const firstWait = 300 * time.Millisecond

// Snapshot returns the table as it was read last. It fails with StoreDown when
// that is too long ago.
func (r *Relay) Snapshot(ctx context.Context) ([]Row, int64, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if time.Since(r.fresh) > staleAfter {
		return nil, 0, errStale
	}
	rows := make([]Row, 0, len(r.rows))
	for _, row := range r.rows {
		rows = append(rows, row)
	}
	return rows, r.version, nil
}

func (r *Relay) awaitFirst(ctx context.Context) {
	r.mu.Lock()
	known, changed := r.version > 0 || r.failed, r.changed
	r.mu.Unlock()
	if known {
		return
	}
	timer := time.NewTimer(firstWait)
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// errStale sends a host to the store itself.
var errStale = failure.New(failure.StoreDown, "the home has no fresh word of the store")

// Changes waits up to wait for changes behind a version, or until release. It fails with
// StoreDown when the relay's own news is old, with HistoryLost when after is too far back.
func (r *Relay) Changes(ctx context.Context, after int64, wait time.Duration) ([]Row, int64, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	begun := r.releases()
	for {
		rows, version, changed, err := r.since(after)
		if err != nil || len(rows) > 0 || r.releases() != begun {
			return rows, version, err
		}
		select {
		case <-changed:
		case <-time.After(r.staleIn()):
		case <-timer.C:
			return nil, version, nil
		case <-ctx.Done():
			return nil, 0, failure.Wrap(failure.PeerSilent, ctx.Err(), "wait for changes")
		}
	}
}

// staleIn is how long the relay's news stay fresh without another answer of the store.
func (r *Relay) staleIn() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return staleAfter - time.Since(r.fresh) + time.Millisecond
}

func (r *Relay) releases() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.released
}

// since returns what changed behind a version, and a channel that closes with the next
// change.
func (r *Relay) since(after int64) ([]Row, int64, <-chan struct{}, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if time.Since(r.fresh) > staleAfter {
		return nil, 0, nil, errStale
	}
	if after < r.from {
		return nil, 0, nil, failure.New(failure.HistoryLost, "the relay's history begins at %d", r.from)
	}
	var rows []Row
	for _, row := range r.history {
		if row.Version > after {
			rows = append(rows, row)
		}
	}
	return rows, max(after, r.version), r.changed, nil
}
