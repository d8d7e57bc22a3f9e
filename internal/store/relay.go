package store

import (
	"bytes"
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/gentianflow/gentianflow/internal/failure"
)

const (
	// staleAfter is how long after the store's last answer a relay still answers other hosts.
	staleAfter = 2 * time.Second
	// minOutage is the shortest outage of the store that is reported to other hosts. Server
	// entries expire after twice this time.
	minOutage = 1 * time.Second
	// minHistory is the number of changes that are kept for a table of any size, and
	// historyPerRow how many for each of its rows: a server that is replaced causes three, and
	// most of them may be replaced within seconds. Hosts that are further behind read the whole
	// table.
	minHistory    = 1024
	historyPerRow = 4
	// maxRestores is the number of restores of the store over which the history goes on.
	maxRestores = 8
)

// Relay serves to other hosts what one host reads of a table. Calls to the store are billed: if
// every host read it, the cost would grow with the fleet. mu guards all fields; changed is
// closed and replaced when waiting calls must be woken.
type Relay struct {
	mu           sync.Mutex
	rows         map[string]Row
	digest       uint64 // of rows
	history      []change
	historyStart Version // history holds the changes after this version
	version      Version
	// restoredFrom holds the newest version of each era that ended while this relay knew the table. The
	// history goes on over the restore for hosts that knew no more than this relay.
	restoredFrom []Version
	// lastAnswer is when the store itself gave its newest answer, zero while it fails. Answers
	// of another relay don't count: two hosts that follow each other would take each other's
	// answers for the store's.
	lastAnswer    time.Time
	asOf          time.Time // up to which the rows have all that the store had acknowledged
	answers       int       // of the store itself
	failed        bool      // the store has failed to answer this host at least once
	changed       chan struct{}
	cachedReplies []compressedRows // newest last
	// releaseCount is the number of calls of release.
	releaseCount int
	gap          time.Duration // length of the store's newest outage, 0 if none
	outageEnd    time.Time     // end of that outage
}

// change is an entry of a relay's history.
type change struct {
	Row
	// newest is the highest version up to this entry. Versions mostly rise from one entry to the
	// next, but a table that is read page by page may contain newer rows.
	newest Version
}

// NewRelay returns an empty relay, which can't answer calls until the first Apply.
func NewRelay() *Relay {
	return &Relay{rows: map[string]Row{}, changed: make(chan struct{})}
}

// Apply stores an update of the watcher.
func (r *Relay) Apply(u Update) {
	r.mu.Lock()
	defer r.mu.Unlock()
	firstUpdate := r.lastAnswer.IsZero() && r.version == 0
	now := time.Now()
	if u.Reader == "" {
		r.lastAnswer = now
		r.answers++
		if u.AsOf.IsZero() {
			u.AsOf = now
		}
		r.asOf = maxTime(r.asOf, u.AsOf)
	}
	if u.Gap > minOutage {
		r.gap, r.outageEnd = u.Gap, now
	}
	rows := u.Rows
	restored := !firstUpdate && u.Version.Era() > r.version.Era()
	if restored {
		r.restoredFrom = append(r.restoredFrom[max(0, len(r.restoredFrom)-maxRestores+1):], r.version)
	}
	if u.Whole {
		rows = r.difference(u)
		clear(r.rows)
		r.digest = 0
	}
	for _, row := range u.Rows {
		r.setRow(row)
	}
	r.version = max(r.version, u.Version)
	if firstUpdate {
		r.historyStart = r.version
		rows = nil
	}
	r.appendHistory(rows)
	if len(rows) > 0 || firstUpdate || restored || u.Reader == "" {
		r.wakeWaiters()
	}
}

func maxTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// age returns how old the evidence is that the rows are those of the store.
func (r *Relay) age() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return time.Since(r.asOf)
}

func (r *Relay) countAnswers() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.answers
}

// setRow stores a row, or drops it if it is deleted. The caller holds mu.
func (r *Relay) setRow(row Row) {
	if known, ok := r.rows[row.Key]; ok {
		r.digest ^= known.digest()
		delete(r.rows, row.Key)
	}
	if !row.Deleted {
		r.rows[row.Key] = row
		r.digest ^= row.digest()
	}
}

// digest is a hash of a row's key and value. Versions are left out, since a relay that rereads the
// table gives its changes the version of the read.
func (row Row) digest() uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(row.Key) // never fails
	_, _ = d.Write([]byte{0})
	_, _ = d.Write(row.Value)
	return d.Sum64()
}

// Digest returns a digest of the rows. It is the same for the same keys and values.
func (r *Relay) Digest() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.digest
}

// Verify compares the rows that a caller knows as of version after, given their digest, with the
// relay's. It returns the changes after that version, or the whole table if the rows differ or the
// history does not reach back that far. While changes are on their way the rows are not compared.
func (r *Relay) Verify(ctx context.Context, after Version, digest uint64) (rows []Row, version Version, whole bool, err error) {
	rows, version, _, err = r.changesSince(after)
	current := len(rows) == 0 && version == after
	if err == nil && (!current || digest == r.Digest()) {
		return rows, version, false, nil
	}
	rows, version, err = r.Snapshot(ctx)
	return rows, version, true, err
}

// difference returns the changes between the known rows and a whole table. They get the version
// of the read. A restore of the store gives all rows other versions; only those with other values are
// changes then. The caller holds mu.
func (r *Relay) difference(u Update) []Row {
	var rows []Row
	listed := map[string]bool{}
	restored := u.Version.Era() > r.version.Era()
	for _, row := range u.Rows {
		listed[row.Key] = true
		if known, ok := r.rows[row.Key]; !ok || known.Version != row.Version && !restored || !bytes.Equal(known.Value, row.Value) {
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

// appendHistory appends changes. The history grows to twice the number of changes to be kept before
// it is cut, so that a change does not cost a copy of it.
func (r *Relay) appendHistory(rows []Row) {
	newest := r.historyStart
	if len(r.history) > 0 {
		newest = r.history[len(r.history)-1].newest
	}
	for _, row := range rows {
		newest = max(newest, row.Version)
		r.history = append(r.history, change{row, newest})
	}
	keep := max(minHistory, historyPerRow*len(r.rows))
	if len(r.history) > 2*keep {
		cut := len(r.history) - keep
		r.historyStart = r.history[cut-1].newest
		r.history = append([]change(nil), r.history[cut:]...)
	}
}

func (r *Relay) wakeWaiters() {
	close(r.changed)
	r.changed = make(chan struct{})
}

// StoreFailed records that the store did not answer, and ends all waiting calls with an error.
func (r *Relay) StoreFailed() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.lastAnswer.IsZero() || !r.failed {
		r.lastAnswer, r.failed = time.Time{}, true
		r.wakeWaiters()
	}
}

// release ends all waiting calls, so that each caller determines again which host to ask.
func (r *Relay) release() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.releaseCount++
	r.wakeWaiters()
}

// outage returns how long the store's newest outage lasted and how long ago it ended, in
// milliseconds, or 0 if there was none.
func (r *Relay) outage() (lengthMs, endedAgoMs uint32) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.gap == 0 {
		return 0, 0
	}
	return uint32(r.gap.Milliseconds()), uint32(time.Since(r.outageEnd).Milliseconds())
}

// firstReadWait is how long a full read waits at a host that has not yet read the table itself:
// both hosts usually start together, and that host reads the table within this time.
const firstReadWait = 300 * time.Millisecond

// Snapshot returns the table as last read. It fails with StoreDown if that was too long ago.
func (r *Relay) Snapshot(context.Context) ([]Row, Version, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if time.Since(r.lastAnswer) > staleAfter {
		return nil, 0, errStale
	}
	rows := make([]Row, 0, len(r.rows))
	for _, row := range r.rows {
		rows = append(rows, row)
	}
	return rows, r.version, nil
}

// awaitFirstRead waits until this host has read the table, or failed to read it, for the first
// time.
func (r *Relay) awaitFirstRead(ctx context.Context) {
	r.mu.Lock()
	readTried, changed := r.version > 0 || r.failed, r.changed
	r.mu.Unlock()
	if readTried {
		return
	}
	timer := time.NewTimer(firstReadWait)
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// errStale makes the caller try the next reader or the store.
var errStale = failure.New(failure.StoreDown, "the relay has no fresh answer of the store")

// Changes waits up to wait for changes after a version, until the store is restored or until release is
// called. It fails with
// StoreDown if the relay's data is stale or of an older era, with HistoryLost if after is older than the
// history.
func (r *Relay) Changes(ctx context.Context, after Version, wait time.Duration) ([]Row, Version, error) {
	return r.changesOrEvidence(ctx, after, wait, wait)
}

// changesOrEvidence is Changes, but returns without changes once it has waited for evidenceAfter and the store has
// answered since the call.
func (r *Relay) changesOrEvidence(ctx context.Context, after Version, wait, evidenceAfter time.Duration) ([]Row, Version, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	begun, answersAtStart, releasesAtStart := time.Now(), r.countAnswers(), r.releases()
	for {
		rows, version, changed, err := r.changesSince(after)
		if err != nil || len(rows) > 0 || version.Era() > after.Era() || r.releases() != releasesAtStart {
			return rows, version, err
		}
		if time.Since(begun) >= evidenceAfter && r.countAnswers() != answersAtStart {
			return nil, version, nil
		}
		select {
		case <-changed:
		case <-time.After(r.untilStale()):
		case <-timer.C:
			return nil, version, nil
		case <-ctx.Done():
			return nil, 0, failure.Wrap(failure.PeerSilent, ctx.Err(), "wait for changes")
		}
	}
}

// untilStale returns how long the relay's data stays fresh without another answer of the store.
func (r *Relay) untilStale() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return staleAfter - time.Since(r.lastAnswer) + time.Millisecond
}

// leadsTo reports whether a table as of a version is one that this relay's table developed from. A host
// that knew more of an era that has ended than this relay may know rows that the relay never had. The
// caller holds mu.
func (r *Relay) leadsTo(version Version) bool {
	return version.Era() == r.version.Era() || slices.ContainsFunc(r.restoredFrom, func(end Version) bool {
		return version.Era() == end.Era() && version <= end
	})
}

func (r *Relay) releases() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.releaseCount
}

// changesSince returns the changes after a version, and a channel that is closed at the next
// change.
func (r *Relay) changesSince(after Version) ([]Row, Version, <-chan struct{}, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if time.Since(r.lastAnswer) > staleAfter || after.Era() > r.version.Era() {
		return nil, 0, nil, errStale
	}
	if after < r.historyStart || !r.leadsTo(after) {
		return nil, 0, nil, failure.New(failure.HistoryLost, "the relay's history begins at %v", r.historyStart)
	}
	first, _ := slices.BinarySearchFunc(r.history, after+1, func(c change, version Version) int { return cmp.Compare(c.newest, version) })
	var rows []Row
	for _, c := range r.history[first:] {
		if c.Version > after {
			rows = append(rows, c.Row)
		}
	}
	return rows, max(after, r.version), r.changed, nil
}
