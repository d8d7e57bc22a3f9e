package node

import (
	"context"
	"sync"
	"time"

	"github.com/gentianflow/gentianflow/internal/dispatch"
	"github.com/gentianflow/gentianflow/internal/event"
	"github.com/gentianflow/gentianflow/internal/failure"
	"github.com/gentianflow/gentianflow/internal/quarantine"
	"github.com/gentianflow/gentianflow/internal/store"
)

const (
	// keepRetry is how long after a failed write the next one is tried, to keepRetryMost:
	// a store that is away for seconds gets a few calls.
	keepRetry     = 250 * time.Millisecond
	keepRetryMost = 4 * time.Second
	// releasePeriod is how often the home looks whether an operator has released a request,
	// while one is in quarantine.
	releasePeriod = 10 * time.Second
	// keptFor is how long a row is believed. A caller that comes again after that ends
	// three more servers at most.
	keptFor = 24 * time.Hour
)

// quarantineStore keeps the requests in quarantine in the platform's store, where they
// outlive all hosts. The host that puts a request there writes its row, a new home what that one
// could not, and only the home deletes it: two calls for each. mu guards due and known.
//
// Guard: when all hosts lose their power at once, nothing that they knew is left, and the
// request would end three servers more each time.
type quarantineStore struct {
	host   string
	table  string
	tables store.Tables
	writer store.Writer
	events *event.Recorder
	leads  func() bool // this host is the home
	wake   chan struct{}

	mu    sync.Mutex
	due   map[quarantine.Fingerprint]*quarantine.Row // to be written; nil: to be deleted
	known map[quarantine.Fingerprint]quarantine.Row  // in quarantine
}

func newQuarantineStore(host, table string, tables store.Tables, writer store.Writer, leads func() bool, events *event.Recorder) *quarantineStore {
	return &quarantineStore{
		host: host, table: table, tables: tables, writer: writer, leads: leads, events: events, wake: make(chan struct{}, 1),
		due: map[quarantine.Fingerprint]*quarantine.Row{}, known: map[quarantine.Fingerprint]quarantine.Row{},
	}
}

// note takes what has changed. It does not block.
func (q *quarantineStore) note(records []quarantine.Record) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, r := range records {
		_, known := q.known[r.Fingerprint]
		switch {
		case r.Quarantined && !known:
			row := quarantine.RowOf(time.Now(), r)
			q.known[r.Fingerprint] = row
			if r.By == q.host {
				q.due[r.Fingerprint] = &row
			}
		case !r.Quarantined && known:
			delete(q.known, r.Fingerprint)
			if q.leads() {
				q.due[r.Fingerprint] = nil
			}
		}
	}
	q.wakeUp()
}

func (q *quarantineStore) wakeUp() {
	select {
	case q.wake <- struct{}{}:
	default:
	}
}

// any reports whether a request is in quarantine.
func (q *quarantineStore) any() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.known) > 0
}

// run writes what is due until ctx ends.
func (q *quarantineStore) run(ctx context.Context) {
	for {
		select {
		case <-q.wake:
		case <-ctx.Done():
			return
		}
		for retry := keepRetry; !q.write(ctx); retry = min(keepRetryMost, 2*retry) {
			if !pause(ctx, retry) {
				return
			}
		}
	}
}

// write brings the store up to date and reports whether it is.
func (q *quarantineStore) write(ctx context.Context) bool {
	for {
		f, row, ok := q.next()
		if !ok {
			return true
		}
		if err := q.writeRow(ctx, f, row); err != nil {
			q.putBack(f, row)
			return false
		}
	}
}

func (q *quarantineStore) next() (f quarantine.Fingerprint, row *quarantine.Row, ok bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for f, row = range q.due {
		delete(q.due, f)
		return f, row, true
	}
	return f, nil, false
}

// putBack keeps what could not be written, unless something newer is due.
func (q *quarantineStore) putBack(f quarantine.Fingerprint, row *quarantine.Row) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if _, newer := q.due[f]; !newer {
		q.due[f] = row
	}
}

func (q *quarantineStore) writeRow(ctx context.Context, f quarantine.Fingerprint, row *quarantine.Row) error {
	if row == nil {
		return q.writer.Delete(ctx, q.table, f.String())
	}
	text, err := row.Encode()
	if err != nil {
		return err
	}
	return q.writer.Put(ctx, q.table, f.String(), text)
}

// read tells the loop which requests are in quarantine or were released. It fails with
// StoreDown; what is known stays then.
func (q *quarantineStore) read(ctx context.Context, loop *dispatch.Loop) error {
	rows, _, err := q.tables.Snapshot(ctx, q.table)
	if err != nil {
		return err
	}
	now := time.Now()
	listed := map[quarantine.Fingerprint]bool{}
	var records []quarantine.Record
	for _, r := range rows {
		f, row, err := quarantine.DecodeRow(r.Key, r.Value)
		if err != nil {
			q.events.Record(event.ConfigRefused, event.Fields{Detail: "quarantine: " + failure.From(err).Message})
			continue
		}
		listed[f] = true
		old := !row.Released && row.Age(now) > keptFor
		if !old {
			records = append(records, row.Record(now, f))
		}
		if old || row.Released {
			q.forget(f)
		}
	}
	q.repair(listed)
	loop.LearnSuspects(records)
	return nil
}

// repair has rows written that are missing: the host that put the request there was lost
// before the store took it.
func (q *quarantineStore) repair(listed map[quarantine.Fingerprint]bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for f, row := range q.known {
		if !listed[f] {
			q.due[f] = &row
		}
	}
	q.wakeUp()
}

// forget has a row deleted that is not needed any more.
func (q *quarantineStore) forget(f quarantine.Fingerprint) {
	q.mu.Lock()
	defer q.mu.Unlock()
	delete(q.known, f)
	q.due[f] = nil
	q.wakeUp()
}
