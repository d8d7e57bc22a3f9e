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
	// minWriteRetry is the delay before a failed write is retried; it doubles up to
	// maxWriteRetry, so that an outage of the store of a few seconds costs few calls.
	minWriteRetry = 250 * time.Millisecond
	maxWriteRetry = 4 * time.Second
	// releaseCheckPeriod is how often the home checks whether an operator has released a
	// request from quarantine, while one is there.
	releaseCheckPeriod = 10 * time.Second
	// quarantineRowTTL is how long a row is in force. If the request arrives again after that, at
	// most three more servers end under it.
	quarantineRowTTL = 24 * time.Hour
)

// quarantineStore keeps the requests in quarantine in the platform's store, where they survive
// the loss of all hosts. The host that quarantines a request writes its row, and a new home
// writes it if that host could not. Only the home deletes the row. Each quarantined request
// takes two calls to the store, a write and a deletion. mu guards pending and known.
//
// Without the rows, a power loss of all hosts at once would lose the quarantine, and each time
// the request would end three more servers.
type quarantineStore struct {
	host   string
	table  string
	tables store.Tables
	writer store.Writer
	events *event.Recorder
	isHome func() bool // this host is the home
	wake   chan struct{}

	mu      sync.Mutex
	pending map[quarantine.Fingerprint]*quarantine.Row // rows to write; nil: row to delete
	known   map[quarantine.Fingerprint]quarantine.Row  // rows of the requests in quarantine
}

func newQuarantineStore(host, table string, tables store.Tables, writer store.Writer, isHome func() bool, events *event.Recorder) *quarantineStore {
	return &quarantineStore{
		host: host, table: table, tables: tables, writer: writer, isHome: isHome, events: events, wake: make(chan struct{}, 1),
		pending: map[quarantine.Fingerprint]*quarantine.Row{}, known: map[quarantine.Fingerprint]quarantine.Row{},
	}
}

// applyChanges updates the known requests with changed records and schedules the writes of their
// rows. It does not block.
func (q *quarantineStore) applyChanges(records []quarantine.Record) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, r := range records {
		_, known := q.known[r.Fingerprint]
		switch {
		case r.Quarantined && !known:
			row := quarantine.RowOf(time.Now(), r)
			q.known[r.Fingerprint] = row
			if r.By == q.host {
				q.pending[r.Fingerprint] = &row
			}
		case !r.Quarantined && known:
			delete(q.known, r.Fingerprint)
			if q.isHome() {
				q.pending[r.Fingerprint] = nil
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

// hasAny reports whether any request is in quarantine.
func (q *quarantineStore) hasAny() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.known) > 0
}

// run writes pending changes until ctx ends.
func (q *quarantineStore) run(ctx context.Context) {
	for {
		select {
		case <-q.wake:
		case <-ctx.Done():
			return
		}
		for retry := minWriteRetry; !q.flush(ctx); retry = min(maxWriteRetry, 2*retry) {
			if !sleep(ctx, retry) {
				return
			}
		}
	}
}

// flush writes all pending changes and reports whether it succeeded.
func (q *quarantineStore) flush(ctx context.Context) bool {
	for {
		f, row, ok := q.next()
		if !ok {
			return true
		}
		if err := q.writeRow(ctx, f, row); err != nil {
			q.requeue(f, row)
			return false
		}
	}
}

func (q *quarantineStore) next() (f quarantine.Fingerprint, row *quarantine.Row, ok bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for f, row = range q.pending {
		delete(q.pending, f)
		return f, row, true
	}
	return f, nil, false
}

// requeue marks a change as pending again after a failed write, unless there is a newer one.
func (q *quarantineStore) requeue(f quarantine.Fingerprint, row *quarantine.Row) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if _, newer := q.pending[f]; !newer {
		q.pending[f] = row
	}
}

func (q *quarantineStore) writeRow(ctx context.Context, f quarantine.Fingerprint, row *quarantine.Row) error {
	if row == nil {
		return q.writer.Delete(ctx, q.table, f.String())
	}
	encoded, err := row.Encode()
	if err != nil {
		return err
	}
	return q.writer.Put(ctx, q.table, f.String(), encoded)
}

// load reads the rows and passes the requests in quarantine and those released by an operator
// to the loop. If it fails with StoreDown, the known requests stay.
func (q *quarantineStore) load(ctx context.Context, loop *dispatch.Loop) error {
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
		expired := !row.Released && row.Age(now) > quarantineRowTTL
		if !expired {
			records = append(records, row.Record(now, f))
		}
		if expired || row.Released {
			q.scheduleDelete(f)
		}
	}
	q.rewriteMissing(listed)
	loop.LearnSuspects(records)
	return nil
}

// rewriteMissing schedules writes of rows that the store lacks: the host that quarantined the
// request was lost before its write reached the store.
func (q *quarantineStore) rewriteMissing(listed map[quarantine.Fingerprint]bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for f, row := range q.known {
		if !listed[f] {
			q.pending[f] = &row
		}
	}
	q.wakeUp()
}

// scheduleDelete schedules the deletion of a row that is no longer needed.
func (q *quarantineStore) scheduleDelete(f quarantine.Fingerprint) {
	q.mu.Lock()
	defer q.mu.Unlock()
	delete(q.known, f)
	q.pending[f] = nil
	q.wakeUp()
}
