// Package store follows the tables of the platform's store: the operator's configuration, the
// backend servers and the entry hosts. The store may be slow, unavailable or partitioned from
// this host, or may lose its change history; the data read last stays in force meanwhile.
//
// A Watcher follows one table. Calls to the store are billed, so only a few hosts, the readers,
// read it for all others; the first reader is the home, the host that runs the scheduler. A
// reader serves what it reads to other hosts through a Relay, and RelayedTables reads a table
// through the relays of other hosts.
package store

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/gentianflow/gentianflow/internal/event"
	"github.com/gentianflow/gentianflow/internal/failure"
)

// Row is one row of a table.
type Row struct {
	Key     string
	Value   []byte
	Version Version
	Deleted bool
}

// Tables reads tables. Its errors have the codes HistoryLost (the caller must take a new
// Snapshot before it calls Changes again) and StoreDown.
type Tables interface {
	// Snapshot reads a whole table at one point in time and returns its version.
	Snapshot(ctx context.Context, table string) ([]Row, Version, error)
	// Changes waits up to wait for rows changed after a version and returns them with the
	// version to continue from. It fails with HistoryLost if the store was restored from a copy since
	// that version.
	Changes(ctx context.Context, table string, after Version, wait time.Duration) ([]Row, Version, error)
}

// AnswerSource is implemented by Tables that read through other hosts, and therefore know more
// about the newest answer than their caller.
type AnswerSource interface {
	// Gap is how long the store had given no answer before the newest one.
	Gap() time.Duration
	// Reader is the host whose relay gave the newest answer, empty for the store itself.
	Reader() string
	// AsOf is a time up to which the newest answer has all that the store had acknowledged.
	AsOf() time.Time
}

// Verifier is implemented by Tables that can compare a known table with its source without reading all
// of it.
type Verifier interface {
	// Verify reads a table that is known up to version after and whose known rows have a digest. It
	// returns the changes after that version, or the whole table if the known rows differ or cannot
	// be compared.
	Verify(ctx context.Context, table string, after Version, digest uint64) (rows []Row, version Version, whole bool, err error)
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

// Condition is the version that a row must have. Its number is 0 if the row must not exist. A commit
// fails with Conflict once the store has been restored since the era of the condition.
type Condition struct {
	Table   string
	Key     string
	Version Version
}

// Conditional reads and changes rows that several hosts may write.
type Conditional interface {
	// Rows reads a table at one point in time, its version, and the store's own clock.
	Rows(ctx context.Context, table string) (rows []Row, version Version, now time.Duration, err error)
	// Commit writes all rows if the condition holds. Otherwise it writes none and fails with
	// Conflict. After any other failure the write may have taken effect, or may do so later.
	Commit(ctx context.Context, condition Condition, writes ...Write) error
}

const (
	// changeWait is how long one call waits for changes. A dead connection is detected only
	// after this time, which is therefore well below the time within which a leaving server
	// must be noticed.
	changeWait = 700 * time.Millisecond
	// RereadStore is the interval between full reads of the store, needed since a change feed
	// that was cut off reports no error. RereadRelay is the interval at which a host compares its
	// rows with those of the relay, which rereads the store itself.
	RereadStore = 10 * time.Second
	RereadRelay = 60 * time.Second
	// batchDelay is the pause after an answer with changes. Each call is billed, so at the
	// start of a fleet or in a burst of changes one call should return many.
	batchDelay    = 120 * time.Millisecond
	minRetryPause = 50 * time.Millisecond
	maxRetryPause = 1 * time.Second
	// firstReadRetryPause is the maximum pause before the first successful read: until then the
	// host can't serve any request.
	firstReadRetryPause = 150 * time.Millisecond
)

// Watcher follows one table. Only its own goroutine calls Apply.
type Watcher struct {
	Tables Tables
	Table  string
	Events *event.Recorder
	// RereadInterval returns the current interval between full reads, or between verifications if
	// Tables is a Verifier. If it is nil, RereadStore applies.
	RereadInterval func() time.Duration
	// Digest returns the digest of the rows that were applied. It may be nil if Tables is no
	// Verifier.
	Digest func() uint64
	// OnFailure is called when a call fails. It may be nil.
	OnFailure func()
	Apply     func(Update)
}

// Update is an answer to a read of a table.
type Update struct {
	Rows    []Row
	Whole   bool    // Rows are the whole table, not only the changes
	Version Version // of the table after this update
	// Restored is set if the store was restored from an older copy since the update before: what the
	// rows lack may have been lost, and what they have may have been removed since the copy.
	Restored bool
	// Gap is how long the store had given no answer before this one, not even an answer without
	// changes.
	Gap    time.Duration
	Reader string // the host that gave the answer, empty for the store itself
	// AsOf is a time up to which the table after this update has all that the store had acknowledged. Zero
	// means now.
	AsOf time.Time
}

// unknownSource differs from every host name and from the store's empty name.
const unknownSource = "?"

// Run follows the table until ctx ends.
func (w *Watcher) Run(ctx context.Context) {
	retryPause := minRetryPause
	down, hasRead, source := false, false, unknownSource
	var newest Version
	lastAnswer := time.Now()
	for ctx.Err() == nil {
		err := w.follow(ctx, func(u Update) {
			retryPause, hasRead = minRetryPause, true
			u.Gap, lastAnswer = time.Since(lastAnswer), time.Now()
			if answers, ok := w.Tables.(AnswerSource); ok {
				u.Gap, u.Reader, u.AsOf = answers.Gap(), answers.Reader(), answers.AsOf()
			}
			if u.Restored = newest != 0 && u.Version.Era() > newest.Era(); u.Restored {
				w.Events.Record(event.StoreRestored, event.Fields{Peer: u.Reader, Detail: fmt.Sprintf(
					"table %s era %d to %d version %d to %d rows %d whole %t", w.Table, newest.Era(), u.Version.Era(), newest.Number(), u.Version.Number(), len(u.Rows), u.Whole)})
			}
			newest = max(newest, u.Version)
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
			continue // read the whole table at once: changes were missed
		}
		if w.OnFailure != nil {
			w.OnFailure()
		}
		if !down {
			down = true
			w.Events.Record(event.StoreDown, event.Fields{Detail: "table " + w.Table + ": " + err.Error()})
		}
		select {
		case <-time.After(retryPause):
		case <-ctx.Done():
		}
		retryPause = min(maxRetryPause, 2*retryPause)
		if errors.Is(err, errNotDue) {
			retryPause = min(retryPause, turnCheckPeriod)
		}
		if !hasRead {
			retryPause = min(retryPause, firstReadRetryPause)
		}
	}
}

func (w *Watcher) reread() time.Duration {
	if w.RereadInterval == nil {
		return RereadStore
	}
	return w.RereadInterval()
}

// follow reads the table and its changes until a call fails or the next full read is due.
func (w *Watcher) follow(ctx context.Context, onAnswer func(Update)) error {
	rows, version, err := w.Tables.Snapshot(ctx, w.Table)
	if err != nil {
		return err
	}
	onAnswer(Update{Rows: rows, Whole: true, Version: version})
	lastRead := time.Now()
	for ctx.Err() == nil {
		if time.Since(lastRead) >= w.reread() {
			whole := true
			if rows, version, whole, err = w.readAgain(ctx, version); err != nil {
				return err
			}
			lastRead = time.Now()
			onAnswer(Update{Rows: rows, Whole: whole, Version: version})
			continue
		}
		known := version
		rows, version, err = w.Tables.Changes(ctx, w.Table, known, changeWait)
		if err != nil {
			return err
		}
		if version.Era() > known.Era() {
			lastRead = time.Time{} // compare with a relay that told what a restore of the store changed
		}
		// An answer without rows still shows that the store is available.
		onAnswer(Update{Rows: rows, Version: version})
		if len(rows) == 0 {
			continue
		}
		select {
		case <-time.After(batchDelay):
		case <-ctx.Done():
		}
	}
	return ctx.Err()
}

// readAgain verifies the table that is known up to a version, or reads all of it.
func (w *Watcher) readAgain(ctx context.Context, known Version) (rows []Row, version Version, whole bool, err error) {
	if v, ok := w.Tables.(Verifier); ok && w.Digest != nil {
		return v.Verify(ctx, w.Table, known, w.Digest())
	}
	rows, version, err = w.Tables.Snapshot(ctx, w.Table)
	return rows, version, true, err
}
