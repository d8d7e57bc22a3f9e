// Package store follows the tables of the platform's store: what the operator
// configured, which backend servers there are, which entry hosts. The store may
// be slow, away, cut off from this host, or forget its history; what was read
// last stays in force meanwhile.
package store

import (
	"context"
	"errors"
	"time"

	"github.com/gentianflow/gentianflow/internal/event"
	"github.com/gentianflow/gentianflow/internal/failure"
)

// Row is one row of a table.
type Row struct {
	Key     string
	Value   []byte
	Version int64
	Deleted bool
}

// Tables reads tables. Its errors have the codes HistoryLost (Changes must
// begin with a new Snapshot) and StoreDown.
type Tables interface {
	// Snapshot reads a whole table as of one moment, and the version it shows.
	Snapshot(ctx context.Context, table string) ([]Row, int64, error)
	// Changes waits up to wait for rows changed behind a version and returns
	// them with the version to go on from.
	Changes(ctx context.Context, table string, after int64, wait time.Duration) ([]Row, int64, error)
}

// Origin is implemented by Tables that read through other hosts, and so know more of the
// newest answer than its caller.
type Origin interface {
	// Gap is how long the store had given no answer before the newest one.
	Gap() time.Duration
	// Reader is the host whose relay gave the newest answer, empty: the store itself did.
	Reader() string
}

// Writer changes rows of the system's own tables.
type Writer interface {
	Put(ctx context.Context, table, key string, value []byte) error
	Delete(ctx context.Context, table, key string) error
}

// Write is a row to be written.
type Write struct {
	Table string
	Key   string
	Value []byte
}

// Condition is the version that a row must have, 0 when it must not exist.
type Condition struct {
	Table   string
	Key     string
	Version int64
}

// Conditional reads and changes rows that several hosts may write.
type Conditional interface {
	// Rows reads a table as of one moment, and the store's own clock.
	Rows(ctx context.Context, table string) (rows []Row, now time.Duration, err error)
	// Commit writes all rows if the condition holds, and nothing else; it fails with
	// Conflict then. After another failure it may have been done, or be done later.
	Commit(ctx context.Context, holds Condition, writes ...Write) error
}

const (
	// changeWait is how long one call waits for changes. A connection that
	// has gone silent shows after it, so it stays well under the time within
	// which a leaving server must be noticed.
	changeWait = 700 * time.Millisecond
	// RereadStore is how long the store's changes alone are trusted: a feed
	// that was cut off behind the scenes says nothing. RereadRelay is the same
	// for the home's relay, which rereads the store itself.
	RereadStore = 10 * time.Second
	RereadRelay = 60 * time.Second
	// gatherTime lets changes gather after some came, since each call is paid:
	// at the start of a fleet, or in a storm of changes, one call brings many.
	gatherTime = 120 * time.Millisecond
	retryFirst = 50 * time.Millisecond
	retryMost  = 1 * time.Second
	// retryBlind bounds the pause while nothing is known yet: until then the
	// host can serve nobody.
	retryBlind = 150 * time.Millisecond
)

// Watcher follows one table. Its goroutine alone calls Apply.
type Watcher struct {
	Tables Tables
	Table  string
	Events *event.Recorder
	// Reread is how long changes alone are trusted now. It may be nil: always
	// RereadStore.
	Reread func() time.Duration
	// Failed is told when a call fails. It may be nil.
	Failed func()
	Apply  func(Update)
}

// Update is news of a table.
type Update struct {
	Rows    []Row
	Whole   bool  // Rows are the whole table, not only what changed
	Version int64 // of the table as it is with this update
	// Gap is how long the store had given no answer before this one, not even
	// that nothing changed.
	Gap    time.Duration
	Reader string // the host that told it, empty: the store itself
}

// unknownSource is no host's name, nor the store's empty one.
const unknownSource = "?"

// Run follows the table until ctx ends.
func (w *Watcher) Run(ctx context.Context) {
	retry := retryFirst
	down, known, source := false, false, unknownSource
	newest := time.Now()
	for ctx.Err() == nil {
		err := w.follow(ctx, func(u Update) {
			retry, known = retryFirst, true
			u.Gap, newest = time.Since(newest), time.Now()
			if origin, ok := w.Tables.(Origin); ok {
				u.Gap, u.Reader = origin.Gap(), origin.Reader()
			}
			if u.Reader != source {
				source = u.Reader
				w.Events.Record(event.StoreSource, event.Fields{Peer: source, Detail: "table " + w.Table})
			}
			if down {
				down = false
				w.Events.Record(event.StoreUp, event.Fields{Peer: u.Reader, Detail: "table " + w.Table + " after " + u.Gap.String()})
			}
			w.Apply(u)
		})
		if failure.Is(err, failure.HistoryLost) || ctx.Err() != nil {
			continue // read anew at once: changes were missed
		}
		if w.Failed != nil {
			w.Failed()
		}
		if !down {
			down = true
			w.Events.Record(event.StoreDown, event.Fields{Detail: "table " + w.Table + ": " + err.Error()})
		}
		select {
		case <-time.After(retry):
		case <-ctx.Done():
		}
		retry = min(retryMost, 2*retry)
		if errors.Is(err, errNotDue) {
			retry = min(retry, turnLook)
		}
		if !known {
			retry = min(retry, retryBlind)
		}
	}
}

func (w *Watcher) reread() time.Duration {
	if w.Reread == nil {
		return RereadStore
	}
	return w.Reread()
}

// follow reads the table and its changes until a call fails, or the table is
// due to be read anew.
func (w *Watcher) follow(ctx context.Context, answered func(Update)) error {
	rows, version, err := w.Tables.Snapshot(ctx, w.Table)
	if err != nil {
		return err
	}
	answered(Update{Rows: rows, Whole: true, Version: version})
	for read := time.Now(); time.Since(read) < w.reread(); {
		rows, version, err = w.Tables.Changes(ctx, w.Table, version, changeWait)
		if err != nil {
			return err
		}
		// Without rows it still tells that the store answers.
		answered(Update{Rows: rows, Version: version})
		if len(rows) == 0 {
			continue
		}
		select {
		case <-time.After(gatherTime):
		case <-ctx.Done():
		}
	}
	return failure.New(failure.HistoryLost, "the table is due to be read anew")
}
