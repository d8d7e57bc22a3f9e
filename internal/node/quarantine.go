package node

import (
	"context"
	"maps"
	"sync"
	"sync/atomic"
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
	// quarantineWait is how long after its start a host holds back requests for engines until it knows
	// what is in quarantine. The first home of a fleet that starts reads it within a few milliseconds.
	quarantineWait = time.Second
)

// quarantineStore keeps what is in quarantine, requests and traits of requests, in the platform's store,
// where it survives the loss of all hosts. The host that puts something in quarantine writes its row, and a
// new home writes it if that host could not. Only the home deletes the row. Each takes two calls to the store,
// a write and a deletion, and one more when the scope of a trait's quarantine changes. mu guards pending and
// known.
//
// Without the rows, a power loss of all hosts at once would lose the quarantine, and each time as many
// servers would end again.
type quarantineStore struct {
	host   string
	table  string
	tables store.Tables
	writer store.Writer
	events *event.Recorder
	isHome func() bool // this host is the home
	wake   chan struct{}
	loaded atomic.Bool // the rows have been read since this host became the home

	mu      sync.Mutex
	pending map[string]encodable // rows to write, by key; nil: row to delete
	known   map[string]encodable // rows of what is in quarantine
	// lifted holds what has left quarantine, since when: rows of it are deleted, also if the store is restored from
	// a copy that has them.
	lifted map[string]time.Time
}

// encodable is a row that can be written.
type encodable interface{ Encode() ([]byte, error) }

func newQuarantineStore(host, table string, tables store.Tables, writer store.Writer, isHome func() bool, events *event.Recorder) *quarantineStore {
	return &quarantineStore{
		host: host, table: table, tables: tables, writer: writer, isHome: isHome, events: events, wake: make(chan struct{}, 1),
		pending: map[string]encodable{}, known: map[string]encodable{}, lifted: map[string]time.Time{},
	}
}

// applyChanges updates what is known with changed records of requests and schedules the writes of their
// rows. It does not block.
func (q *quarantineStore) applyChanges(records []quarantine.Record) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, r := range records {
		key := r.Fingerprint.String()
		if _, known := q.known[key]; r.Quarantined == known {
			continue
		}
		q.apply(key, r.Quarantined, r.By, quarantine.RowOf(time.Now(), r))
	}
}

// applyTraits is applyChanges for traits.
func (q *quarantineStore) applyTraits(records []quarantine.TraitRecord) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, r := range records {
		key, row := r.Trait.Key(), quarantine.TraitRowOf(time.Now(), r)
		known, ok := q.known[key].(quarantine.TraitRow)
		if r.Quarantined == ok && (!ok || known.SameScope(row)) {
			continue
		}
		q.apply(key, r.Quarantined, r.By, row)
	}
}

// apply notes that something entered quarantine, that its row has changed, or that it left quarantine, and
// schedules the write. The caller holds mu.
func (q *quarantineStore) apply(key string, quarantined bool, by string, row encodable) {
	if quarantined {
		delete(q.lifted, key)
		q.known[key] = row
		if by == q.host {
			q.pending[key] = row
		}
	} else {
		delete(q.known, key)
		q.noteLifted(key)
		if q.isHome() {
			q.pending[key] = nil
		}
	}
	q.wakeUp()
}

// liftedRetention is how long this host remembers what has left quarantine. A copy from which the store is
// restored is seconds old.
const liftedRetention = 5 * time.Minute

// noteLifted notes that something has left quarantine. The caller holds mu.
func (q *quarantineStore) noteLifted(key string) {
	now := time.Now()
	maps.DeleteFunc(q.lifted, func(_ string, since time.Time) bool { return now.Sub(since) > liftedRetention })
	q.lifted[key] = now
}

// hasLeft reports whether a row is of something that has left quarantine.
func (q *quarantineStore) hasLeft(key string) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	since, ok := q.lifted[key]
	return ok && time.Since(since) <= liftedRetention
}

func (q *quarantineStore) wakeUp() {
	select {
	case q.wake <- struct{}{}:
	default:
	}
}

// hasAny reports whether anything is in quarantine.
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
		key, row, ok := q.next()
		if !ok {
			return true
		}
		if err := q.writeRow(ctx, key, row); err != nil {
			q.requeue(key, row)
			return false
		}
	}
}

func (q *quarantineStore) next() (key string, row encodable, ok bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for key, row = range q.pending {
		delete(q.pending, key)
		return key, row, true
	}
	return "", nil, false
}

// requeue marks a change as pending again after a failed write, unless there is a newer one.
func (q *quarantineStore) requeue(key string, row encodable) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if _, newer := q.pending[key]; !newer {
		q.pending[key] = row
	}
}

func (q *quarantineStore) writeRow(ctx context.Context, key string, row encodable) error {
	if row == nil {
		return q.writer.Delete(ctx, q.table, key)
	}
	encoded, err := row.Encode()
	if err != nil {
		return err
	}
	return q.writer.Put(ctx, q.table, key, encoded)
}

// load reads the rows and passes what is in quarantine and what an operator has released to the loop. If it
// fails with StoreDown, what is known stays.
func (q *quarantineStore) load(ctx context.Context, loop *dispatch.Loop) error {
	rows, _, err := q.tables.Snapshot(ctx, q.table)
	if err != nil {
		return err
	}
	now := time.Now()
	listed := map[string]bool{}
	var requests []quarantine.Record
	var traits []quarantine.TraitRecord
	for _, r := range rows {
		if q.hasLeft(r.Key) {
			listed[r.Key] = true
			q.scheduleDelete(r.Key)
			continue
		}
		inForce, released, err := decodeQuarantined(now, r, &requests, &traits)
		if err != nil {
			q.events.Record(event.ConfigRefused, event.Fields{Detail: "quarantine: " + failure.From(err).Message})
			continue
		}
		listed[r.Key] = true
		if !inForce || released {
			q.scheduleDelete(r.Key)
		}
	}
	q.rewriteMissing(listed)
	loop.LearnSuspects(requests)
	loop.LearnTraits(traits)
	loop.QuarantineKnown()
	q.loaded.Store(true)
	return nil
}

// decodeQuarantined decodes a row and, if it is in force, appends its record.
func decodeQuarantined(now time.Time, r store.Row, requests *[]quarantine.Record, traits *[]quarantine.TraitRecord) (inForce, released bool, err error) {
	if quarantine.IsTraitKey(r.Key) {
		trait, row, err := quarantine.DecodeTraitRow(r.Key, r.Value)
		inForce = row.Released || row.Age(now) <= quarantineRowTTL
		if err == nil && inForce {
			*traits = append(*traits, row.Record(now, trait))
		}
		return inForce, row.Released, err
	}
	f, row, err := quarantine.DecodeRow(r.Key, r.Value)
	inForce = row.Released || row.Age(now) <= quarantineRowTTL
	if err == nil && inForce {
		*requests = append(*requests, row.Record(now, f))
	}
	return inForce, row.Released, err
}

// rewriteMissing schedules writes of rows that the store lacks: the host that put something in quarantine
// was lost before its write reached the store.
func (q *quarantineStore) rewriteMissing(listed map[string]bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for key, row := range q.known {
		if !listed[key] {
			q.pending[key] = row
		}
	}
	q.wakeUp()
}

// scheduleDelete schedules the deletion of a row that is no longer needed.
func (q *quarantineStore) scheduleDelete(key string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	delete(q.known, key)
	q.noteLifted(key)
	q.pending[key] = nil
	q.wakeUp()
}

// loadAtStart reads the rows as soon as this host, which has just started, schedules for others: until
// then the scheduler holds back what may be in quarantine, for up to quarantineWait.
func (n *Node) loadAtStart(ctx context.Context) {
	for start := time.Now(); time.Since(start) < quarantineWait; {
		if n.home.Leads() {
			_ = n.quarantined.load(ctx, n.loop) // tried again later
			return
		}
		if !sleep(ctx, joinPollInterval) {
			return
		}
	}
}
