package store

import (
	"context"
	"errors"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/gentianflow/gentianflow/internal/failure"
	"github.com/gentianflow/gentianflow/internal/peer"
	"github.com/gentianflow/gentianflow/internal/wire"
)

const (
	// relayWait is how long a call to a relay waits for changes at most. It mostly ends sooner, with evidence, and it is
	// given up when this host's own evidence is overdue.
	relayWait = 5 * time.Second
	// relayMargin is the time allowed for the transfer of a call and its reply.
	relayMargin      = 1500 * time.Millisecond
	relayDialTimeout = 300 * time.Millisecond
	// minHeldCall is the duration from which a failed call shows that its reader had a fresh
	// answer when the call began: a reader without one lets a call wait for firstReadWait at
	// most.
	minHeldCall = 2 * firstReadWait
	// RelayPause is how long a reader that had no fresh answer, or did not answer, is not asked
	// again. It doubles each time, up to maxStalePause or maxUnreachablePause.
	RelayPause          = 300 * time.Millisecond
	maxStalePause       = 1 * time.Second
	maxUnreachablePause = 2 * time.Second
	// storeBackoff is how long a host asks only other hosts after the store did not answer it;
	// peersFirstTime is how long it asks them before the store, because it receives no updates
	// while a call to the store times out.
	storeBackoff   = 1 * time.Second
	peersFirstTime = 5 * time.Second
	// outageDetectionTime is how long a host that reads the store may take to detect that the
	// store doesn't answer, and other hosts to detect that this host is gone.
	outageDetectionTime = 1500 * time.Millisecond
	// followerReadSpacing is the time between two calls to the store by all followers together,
	// while no reader or standby has a fresh answer: 125 calls a second in the first round, in
	// which each follower calls once, and two thirds of that from the second round on. Otherwise
	// an unavailable store would get calls from all hosts at once, and each call is billed.
	followerReadSpacing   = 8 * time.Millisecond
	maxRoundsBetweenReads = 2
	// turnCheckPeriod is how often a host checks whether its turn to read the store has come.
	turnCheckPeriod = 100 * time.Millisecond
)

// RelayedTables reads a table through the hosts that read the store for all others, and from the
// store itself when none of them has a fresh answer. It belongs to one Watcher and is used only
// by the Watcher's goroutine.
//
// The store may refuse the home and serve others, or be unavailable to all, and each call is
// billed. Therefore the other readers read it next, then the standbys, and the followers take
// turns only when none of these has a fresh answer. The data of a home that the store refuses would be
// seconds old; therefore the home also asks the other hosts. Whatever host is followed, its evidence decides when this
// host stops waiting and reads the store itself.
type RelayedTables struct {
	direct             Tables
	readers            Readers
	evidence           evidence
	onLost             func()
	streamHost         string // the reader at the other end of stream
	stream             *peer.Stream
	pauses             map[string]pause // by reader that is not asked for a while
	turnFrom           time.Time        // when this follower's turn was drawn, zero if none was
	turn               float64          // rounds from turnFrom until it may read the store
	storeFailedAt      time.Time        // last failed call to the store, zero if it answered since
	roundsBetweenReads int              // rounds from one read of the store to the next
	newestVersion      Version          // newest version seen; a relay may be behind
	lastAnswer         time.Time        // when the store last answered this host or its reader
	lastConfirmed      time.Time        // latest time at which the store has certainly answered
	interrupted        bool             // since the newest answer, the store failed or the followed reader was lost
	gap                time.Duration    // outage of the store before the newest answer
	answeredBy         string           // the reader that gave the newest answer, empty for the store
	lastOutageEnd      time.Time        // end of the newest outage that a relay reported
	// following is set while the newest answer is a relay's. A call to the relay is then open
	// nearly all the time, and lastAnswer understates how recent the data is.
	following bool
	// partial is set if the newest answer to a call for a whole table has only its changes.
	partial bool
}

var _ Verifier = (*RelayedTables)(nil)

// NewRelayedTables returns the reader of one table, whose changes this host must have within bound. onLost is called
// when the relay that was followed has no fresh answer any more; it may be nil.
func NewRelayedTables(direct Tables, readers Readers, bound time.Duration, onLost func()) *RelayedTables {
	if onLost == nil {
		onLost = func() {}
	}
	if bound <= 0 {
		bound = DefaultBound
	}
	return &RelayedTables{
		direct: direct, readers: readers, evidence: evidence{bound: bound}, onLost: onLost, pauses: map[string]pause{}, lastAnswer: time.Now(),
	}
}

// Gap implements AnswerSource.
func (r *RelayedTables) Gap() time.Duration { return r.gap }

// Reader implements AnswerSource.
func (r *RelayedTables) Reader() string { return r.answeredBy }

// AsOf implements AnswerSource.
func (r *RelayedTables) AsOf() time.Time { return r.evidence.asOf }

// Snapshot implements Tables.
func (r *RelayedTables) Snapshot(ctx context.Context, table string) ([]Row, Version, error) {
	call := &wire.TableCall{Table: table, Snapshot: true}
	return r.read(ctx, call, relayMargin, 0, func(ctx context.Context) ([]Row, Version, error) { return r.direct.Snapshot(ctx, table) })
}

// Verify implements Verifier.
func (r *RelayedTables) Verify(ctx context.Context, table string, after Version, digest uint64) (rows []Row, version Version, whole bool, err error) {
	call := &wire.TableCall{Table: table, Snapshot: true, After: int64(after), Digest: digest}
	r.partial = false
	rows, version, err = r.read(ctx, call, relayMargin, 0, func(ctx context.Context) ([]Row, Version, error) { return r.direct.Snapshot(ctx, table) })
	return rows, version, !r.partial, err
}

// Changes implements Tables.
func (r *RelayedTables) Changes(ctx context.Context, table string, after Version, wait time.Duration) ([]Row, Version, error) {
	call := &wire.TableCall{
		Table: table, After: int64(after), WaitMs: uint32(relayWait.Milliseconds()), EvidenceMs: uint32(r.evidence.interval().Milliseconds()),
	}
	wait = r.evidence.storeWait(time.Now(), wait)
	return r.read(ctx, call, relayWait+relayMargin, wait, func(ctx context.Context) ([]Row, Version, error) {
		return r.direct.Changes(ctx, table, after, wait)
	})
}

// read sends a call to the hosts that this host asks before the store, to the store, and to the
// other hosts, until one has a fresh answer. A reader or standby whose evidence is overdue reads the store
// first; if the store has recently failed to answer it, after other hosts were asked for overdueCallTime.
func (r *RelayedTables) read(ctx context.Context, call *wire.TableCall, timeout, wait time.Duration, direct func(context.Context) ([]Row, Version, error)) ([]Row, Version, error) {
	order := r.readers.ReaderOrder()
	before, after := order.peers()
	r.dropUnlisted(order.Names)
	role := order.Role()
	rows, version, err := r.askReaders(ctx, before, call, timeout, role)
	if !isAnswer(err) && time.Since(r.storeFailedAt) < peersFirstTime {
		rows, version, err = r.askReaders(ctx, after, call, timeout, role)
	}
	if !isAnswer(err) {
		rows, version, err = r.readStore(ctx, role, wait, direct)
	}
	if !isAnswer(err) {
		if relayedRows, relayedVersion, errRelay := r.askReaders(ctx, after, call, timeout, role); isAnswer(errRelay) {
			rows, version, err = relayedRows, relayedVersion, errRelay
		}
	}
	r.newestVersion = max(r.newestVersion, version)
	return rows, version, err
}

// storeFirst reports whether this host reads the store now rather than ask another host.
func (r *RelayedTables) storeFirst(now time.Time, role Role) bool {
	if !r.evidence.overdue(now) {
		return false
	}
	if role == Follower {
		return r.turnHasCome(now)
	}
	sinceFailure := now.Sub(r.storeFailedAt)
	return sinceFailure >= peersFirstTime || sinceFailure >= r.backoff() && now.Sub(r.evidence.overdueAt()) > overdueCallTime
}

// isAnswer reports whether a call that ended with err was answered.
func isAnswer(err error) bool { return err == nil || failure.Is(err, failure.HistoryLost) }

// readStore reads the store itself if this host may do so now.
func (r *RelayedTables) readStore(ctx context.Context, role Role, wait time.Duration, read func(context.Context) ([]Row, Version, error)) ([]Row, Version, error) {
	begun := time.Now()
	if !r.mayRead(begun, role) {
		return nil, 0, errNotDue
	}
	if timeout := r.evidence.storeTimeout(begun, wait); timeout > 0 {
		limited, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		ctx = limited
	}
	rows, version, err := read(ctx)
	now := time.Now()
	if !isAnswer(err) {
		r.interrupted, r.storeFailedAt = true, now
		r.onLost()
		return rows, version, err
	}
	if err == nil && version.Era() < r.newestVersion.Era() {
		return nil, 0, errStale // a late answer; a relay already told of the restore
	}
	r.gap, r.storeFailedAt = 0, time.Time{}
	if r.interrupted {
		r.gap = now.Sub(r.lastAnswer)
	}
	r.recordAnswer(now, "")
	if err == nil {
		r.evidence.answered(begun, now, wait, len(rows) > 0)
	}
	return rows, version, err
}

// recordAnswer records an answer of the store, or of a reader, whose own answer of the store
// may be older.
func (r *RelayedTables) recordAnswer(now time.Time, reader string) {
	r.lastAnswer, r.lastConfirmed, r.interrupted = now, now, false
	r.following, r.answeredBy = reader != "", reader
	if r.following {
		r.lastConfirmed = now.Add(-staleAfter)
	}
}

// mayRead reports whether this host may read the store now. A reader or standby may, unless the
// store recently failed to answer it. A follower may from its turn on.
func (r *RelayedTables) mayRead(now time.Time, role Role) bool {
	if role != Follower {
		return now.Sub(r.storeFailedAt) >= r.backoff()
	}
	if !r.turnHasCome(now) {
		return false
	}
	r.roundsBetweenReads = min(maxRoundsBetweenReads, 2*r.roundsBetweenReads)
	r.turnFrom, r.turn = now, float64(r.roundsBetweenReads)/2+rand.Float64()
	return true
}

// turnHasCome reports whether a follower's turn to read the store has come, and draws one if it has none.
func (r *RelayedTables) turnHasCome(now time.Time) bool {
	if r.turnFrom.IsZero() {
		r.roundsBetweenReads = 1
		r.turnFrom, r.turn = now, rand.Float64()
	}
	return !now.Before(r.turnAt())
}

// turnAt returns when the turn that was drawn comes. The number of hosts that this one knows changes while it waits.
// While the store answers this host, the turn comes in time for the bound, however many hosts there are.
func (r *RelayedTables) turnAt() time.Time {
	hosts := r.readers.Hosts()
	at := r.turnFrom.Add(time.Duration(r.turn * float64(hosts) * float64(followerReadSpacing)))
	if r.evidence.asOf.IsZero() || !r.storeFailedAt.IsZero() {
		return at
	}
	place := r.turn - math.Floor(r.turn) // in the spread of turns, 0 to 1
	inTime := maxTime(r.turnFrom, r.evidence.overdueAt()).Add(turnDelay + time.Duration(place*float64(r.evidence.turnSpread(hosts))))
	if inTime.Before(at) {
		return inTime
	}
	return at
}

// relayTimeout limits the time of a call to a relay, so that this host reads the store itself in time.
func (r *RelayedTables) relayTimeout(now time.Time, timeout time.Duration, role Role) time.Duration {
	timeout = r.evidence.relayTimeout(now, timeout)
	if role == Follower && r.evidence.overdue(now) {
		timeout = min(timeout, max(minCallTime, r.turnAt().Sub(now)))
	}
	return timeout
}

// backoff returns how long the store is not called after it did not answer. The pause is
// shorter for a host that has read nothing yet, since it can't serve any request.
func (r *RelayedTables) backoff() time.Duration {
	if r.newestVersion == 0 {
		return firstReadRetryPause
	}
	return storeBackoff
}

// errNotDue is returned when no relay has a fresh answer and the store may not be called yet.
var errNotDue = failure.New(failure.StoreDown, "no reader has a fresh answer, and it is not this host's turn to read the store")

// askReaders asks readers in their order, until it is time to read the store. Any failure but HistoryLost means
// that none has a fresh answer.
//
// A relay may be behind what this host has read. Its table could list a server that has already
// left, so it is treated as stale.
func (r *RelayedTables) askReaders(ctx context.Context, names []string, call *wire.TableCall, timeout time.Duration, role Role) ([]Row, Version, error) {
	for _, name := range names {
		now := time.Now()
		if r.storeFirst(now, role) {
			break
		}
		if now.Before(r.pauses[name].until) {
			continue
		}
		rows, version, err := r.ask(ctx, name, call, r.relayTimeout(now, timeout, role))
		if err == nil && call.Snapshot && version < r.newestVersion {
			err = errStale
		}
		if isAnswer(err) {
			if !r.evidence.overdue(time.Now()) {
				r.turnFrom = time.Time{}
			}
			delete(r.pauses, name)
			return rows, version, err
		}
		r.pauses[name] = r.pauses[name].next(errors.Is(err, errStale))
	}
	return nil, 0, errStale
}

// pause is a period in which a reader is not asked.
type pause struct {
	until  time.Time
	length time.Duration
}

// next returns the pause after a further failed call; answered reports whether the reader
// answered it.
func (p pause) next(answered bool) pause {
	limit := maxUnreachablePause
	if answered {
		limit = maxStalePause
	}
	p.length = min(limit, max(RelayPause, 2*p.length))
	p.until = time.Now().Add(p.length)
	return p
}

// ask sends one call to a reader.
func (r *RelayedTables) ask(ctx context.Context, name string, call *wire.TableCall, timeout time.Duration) ([]Row, Version, error) {
	start := time.Now()
	reply, err := r.exchange(ctx, name, call, timeout)
	if err == nil {
		err = replyError(reply)
	}
	held := time.Since(start) > minHeldCall
	if !isAnswer(err) && (held || r.following && r.answeredBy == name) {
		r.readerLost()
	}
	if err != nil {
		return nil, 0, err
	}
	rows, err := unpack(reply)
	if err != nil {
		return nil, 0, err
	}
	r.partial = reply.Partial
	now := time.Now()
	r.gap = r.reportedGap(name, reply, now)
	r.recordAnswer(now, name)
	// The reply may have been held up on its way. It was made no earlier than this.
	r.evidence.advance(start.Add(time.Duration(reply.HeldMs)*time.Millisecond - time.Duration(reply.AgeMs)*time.Millisecond))
	return rows, Version(reply.Version), nil
}

// replyError returns the failure in a reply, or nil.
func replyError(reply *wire.TableReply) error {
	switch reply.Failure {
	case "":
		return nil
	case string(failure.HistoryLost):
		return failure.New(failure.HistoryLost, "the relay no longer has the requested history")
	}
	return errStale
}

// readerLost records that the reader that was followed has no fresh answer any more. The store's
// last answer is taken to be outageDetectionTime old at most, since the reader had a fresh one
// until it detected the outage, or until it was gone.
func (r *RelayedTables) readerLost() {
	if detected := time.Now().Add(-outageDetectionTime); detected.After(r.lastAnswer) {
		r.lastAnswer = detected
	}
	r.following, r.interrupted = false, true
	r.onLost()
}

// reportedGap returns the length of the outage that a reader reports, if the outage ended after
// the newest answer. If the store answered this host or another reader during the outage, only
// the reporting reader was cut off from the store.
func (r *RelayedTables) reportedGap(reader string, reply *wire.TableReply, now time.Time) time.Duration {
	if reply.GapMs == 0 {
		return 0
	}
	ended := now.Add(-time.Duration(reply.ReturnedMs) * time.Millisecond)
	if ended.Sub(r.lastOutageEnd) < minOutage || ended.Before(r.lastAnswer.Add(-minOutage)) {
		return 0 // reported before, within message delay and clock rounding
	}
	r.lastOutageEnd = ended
	gap := time.Duration(reply.GapMs) * time.Millisecond
	start := ended.Add(-gap)
	if r.answeredBy == reader || r.lastConfirmed.Before(start.Add(minOutage)) {
		return gap
	}
	if !r.interrupted {
		return 0
	}
	return ended.Sub(r.lastConfirmed)
}

func (r *RelayedTables) exchange(ctx context.Context, name string, call *wire.TableCall, timeout time.Duration) (*wire.TableReply, error) {
	deadline := time.Now().Add(timeout)
	if err := r.connect(ctx, name, timeout); err != nil {
		return nil, err
	}
	st := r.stream
	stop := context.AfterFunc(ctx, st.Abort)
	defer stop()
	_ = st.SetDeadline(deadline) // fails only on a closed stream, as Write then does
	reply := &wire.TableReply{}
	err := wire.Write(st, call)
	if err == nil {
		err = wire.Read(st.Reader, reply)
	}
	if err != nil {
		r.close()
	}
	return reply, err
}

// dropUnlisted closes the stream to a host that is no longer listed, and deletes the pauses of
// such hosts.
func (r *RelayedTables) dropUnlisted(names []string) {
	maps.DeleteFunc(r.pauses, func(name string, _ pause) bool { return !slices.Contains(names, name) })
	if !slices.Contains(names, r.streamHost) {
		r.close()
	}
}

func (r *RelayedTables) close() {
	if r.stream != nil {
		r.stream.Abort()
	}
	r.stream, r.streamHost = nil, ""
}

// connect opens the stream to a reader unless it is open.
func (r *RelayedTables) connect(ctx context.Context, name string, timeout time.Duration) error {
	if r.stream != nil && r.streamHost == name {
		return nil
	}
	r.close()
	dialCtx, cancel := context.WithTimeout(ctx, min(timeout, relayDialTimeout))
	defer cancel()
	st, err := r.readers.Open(dialCtx, name)
	if err != nil {
		return err
	}
	r.stream, r.streamHost = st, name
	return nil
}
