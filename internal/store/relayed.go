package store

import (
	"context"
	"errors"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/gentianflow/gentianflow/internal/failure"
	"github.com/gentianflow/gentianflow/internal/peer"
	"github.com/gentianflow/gentianflow/internal/wire"
)

const (
	// relayWait is how long a call to a relay waits for changes. Nothing depends on its
	// end: a relay that goes stale sends its callers away, and a host that falls silent
	// loses its sessions. Each end costs the home two messages for each host and table.
	relayWait   = 5 * time.Second
	relayMargin = 1500 * time.Millisecond
	relayDial   = 300 * time.Millisecond
	// heldFrom is from when a call that was not answered counts as held by a reader with
	// news: one without lets it wait for firstWait at most.
	heldFrom = 2 * firstWait
	// relayPause is how long a reader that had no news, or did not answer, is not asked
	// again. It doubles each time, up to noNewsPause or unreachablePause.
	relayPause       = 300 * time.Millisecond
	noNewsPause      = 1 * time.Second
	unreachablePause = 2 * time.Second
	// ownRest is how long a host that the store did not answer asks others only, ownPause
	// how long it asks them first: in a call that is not answered it hears nothing.
	ownRest  = 1 * time.Second
	ownPause = 5 * time.Second
	// relayNotice is how long a host that reads the store may take to notice that it
	// does not answer, and others to notice that this host is gone.
	relayNotice = 1500 * time.Millisecond
	// ownReadSpread is the time between two calls to the store of the hosts that are neither
	// readers nor standbys, all of them together, while none of these has news: 125 a
	// second, and from the second turn on two thirds of it. A store that is away would
	// otherwise get calls from all hosts at once, and each is paid.
	ownReadSpread = 8 * time.Millisecond
	mostTurns     = 2
	// turnLook is how often a host looks whether its turn has come.
	turnLook = 300 * time.Millisecond
)

// Relayed reads a table through the hosts that read the store for all, and from the
// store itself when none of them has news. It belongs to one Watcher, whose goroutine
// alone uses it.
//
// Guard: the store may turn the home away and serve others, or be away for all, and each call
// is paid. So the other readers read it then, behind them the standbys, and all others take
// turns only when none of these has news. A host that takes turns knows the store as of seconds
// ago, and so would a home that the store turns away: it asks the others as well.
type Relayed struct {
	direct   Tables
	readers  Readers
	lost     func()
	of       string // the reader that stream goes to
	stream   *peer.Stream
	pauses   map[string]pause // of readers that are not asked for a while
	ownRead  time.Time        // when this host may read the store, zero: not drawn
	failed   time.Time        // when the store did not answer this host, zero: it did since
	turns    int              // that it waits from one own read to the next
	newest   int64            // version seen; a relay may be behind
	known    time.Time        // when the store last answered, this host or its reader
	answered time.Time        // newest moment of which teller's word shows that the store answered
	missed   bool             // a call to the store has failed since, or the reader followed was lost
	gap      time.Duration    // before the newest answer
	teller   string           // the reader that gave it, empty: the store
	returned time.Time        // end of the newest outage that a relay told of
	// following is set while the newest answer is a relay's, so that a call is open
	// there nearly all the time and known is older than what is known.
	following bool
}

// NewRelayed makes the reader of one table. lost is told when the relay that was
// followed has no news any more; it may be nil.
func NewRelayed(direct Tables, readers Readers, lost func()) *Relayed {
	if lost == nil {
		lost = func() {}
	}
	return &Relayed{direct: direct, readers: readers, lost: lost, pauses: map[string]pause{}, known: time.Now()}
}

// Gap implements Origin.
func (r *Relayed) Gap() time.Duration { return r.gap }

// Reader implements Origin.
func (r *Relayed) Reader() string { return r.teller }

// Snapshot implements Tables.
func (r *Relayed) Snapshot(ctx context.Context, table string) ([]Row, int64, error) {
	call := &wire.TableCall{Table: table, Snapshot: true}
	return r.read(ctx, call, relayMargin, func() ([]Row, int64, error) { return r.direct.Snapshot(ctx, table) })
}

// Changes implements Tables.
func (r *Relayed) Changes(ctx context.Context, table string, after int64, wait time.Duration) ([]Row, int64, error) {
	call := &wire.TableCall{Table: table, After: after, WaitMs: uint32(relayWait.Milliseconds())}
	return r.read(ctx, call, relayWait+relayMargin, func() ([]Row, int64, error) { return r.direct.Changes(ctx, table, after, wait) })
}

// read makes a call at those that this host asks before it reads the store, at the store,
// and at the others, until one has news.
func (r *Relayed) read(ctx context.Context, call *wire.TableCall, timeout time.Duration, direct func() ([]Row, int64, error)) ([]Row, int64, error) {
	order := r.readers.Order()
	before, after := order.around()
	r.leave(order.Names)
	rows, version, err := r.relayed(ctx, before, call, timeout)
	if !hasNews(err) && time.Since(r.failed) < ownPause {
		rows, version, err = r.relayed(ctx, after, call, timeout)
	}
	if !hasNews(err) {
		rows, version, err = r.own(order.Role(), direct)
	}
	if !hasNews(err) {
		if told, at, errTold := r.relayed(ctx, after, call, timeout); hasNews(errTold) {
			rows, version, err = told, at, errTold
		}
	}
	r.newest = max(r.newest, version)
	return rows, version, err
}

// hasNews reports whether a call that ended with err was answered.
func hasNews(err error) bool { return err == nil || failure.Is(err, failure.HistoryLost) }

// own reads the store itself, if it is this host's turn.
func (r *Relayed) own(role Role, read func() ([]Row, int64, error)) ([]Row, int64, error) {
	if !r.mayRead(time.Now(), role) {
		return nil, 0, errNotDue
	}
	rows, version, err := read()
	now := time.Now()
	if !hasNews(err) {
		r.missed, r.failed = true, now
		r.lost()
		return rows, version, err
	}
	r.gap, r.failed = 0, time.Time{}
	if r.missed {
		r.gap = now.Sub(r.known)
	}
	r.hear(now, "")
	return rows, version, err
}

// hear notes an answer of the store, or of a reader, whose own word of the store may be older.
func (r *Relayed) hear(now time.Time, reader string) {
	r.known, r.answered, r.missed = now, now, false
	r.following, r.teller = reader != "", reader
	if r.following {
		r.answered = now.Add(-staleAfter)
	}
}

// mayRead reports whether this host may read the store: a reader or standby unless the store
// has just not answered it, another one at a moment drawn so that all of them together keep
// to ownReadSpread.
func (r *Relayed) mayRead(now time.Time, role Role) bool {
	if role != Follower {
		return now.Sub(r.failed) >= r.rest()
	}
	turn := time.Duration(r.readers.Hosts()) * ownReadSpread
	if r.ownRead.IsZero() {
		r.turns = 1
		r.ownRead = now.Add(rand.N(turn + 1))
	}
	if now.Before(r.ownRead) {
		return false
	}
	r.turns = min(mostTurns, 2*r.turns)
	r.ownRead = now.Add(turn*time.Duration(r.turns)/2 + rand.N(turn+1))
	return true
}

// rest is how long the store is left alone after it did not answer. A host that knows nothing
// yet can serve nobody.
func (r *Relayed) rest() time.Duration {
	if r.newest == 0 {
		return retryBlind
	}
	return ownRest
}

// errNotDue is told while neither a relay nor the store may be asked.
var errNotDue = failure.New(failure.StoreDown, "no reader has news, and it is not this host's turn to read the store")

// relayed asks readers in their order. Any failure but HistoryLost means: none has news.
//
// Guard: a relay may be behind what this host has read. Its table would bring back a server
// that has left, so it counts as having no news.
func (r *Relayed) relayed(ctx context.Context, names []string, call *wire.TableCall, timeout time.Duration) ([]Row, int64, error) {
	for _, name := range names {
		if time.Now().Before(r.pauses[name].until) {
			continue
		}
		rows, version, err := r.ask(ctx, name, call, timeout)
		if err == nil && call.Snapshot && version < r.newest {
			err = errStale
		}
		if hasNews(err) {
			r.ownRead = time.Time{}
			delete(r.pauses, name)
			return rows, version, err
		}
		r.pauses[name] = r.pauses[name].next(errors.Is(err, errStale))
	}
	return nil, 0, errStale
}

// pause is a time in which a reader is not asked.
type pause struct {
	until time.Time
	last  time.Duration
}

// next is the pause after a further call; answers tells whether the reader answered it.
func (p pause) next(answers bool) pause {
	most := unreachablePause
	if answers {
		most = noNewsPause
	}
	p.last = min(most, max(relayPause, 2*p.last))
	p.until = time.Now().Add(p.last)
	return p
}

// ask makes one call to a reader.
func (r *Relayed) ask(ctx context.Context, name string, call *wire.TableCall, timeout time.Duration) ([]Row, int64, error) {
	begun := time.Now()
	reply, err := r.exchange(ctx, name, call, timeout)
	if err == nil {
		err = failureOf(reply)
	}
	held := time.Since(begun) > heldFrom
	if !hasNews(err) && (held || r.following && r.teller == name) {
		r.lose()
	}
	if err != nil {
		return nil, 0, err
	}
	rows, err := unpack(reply)
	if err != nil {
		return nil, 0, err
	}
	now := time.Now()
	r.gap = r.newGap(name, reply, now)
	r.hear(now, name)
	return rows, reply.Version, nil
}

// failureOf is the failure that a reply tells of.
func failureOf(reply *wire.TableReply) error {
	switch reply.Failure {
	case "":
		return nil
	case string(failure.HistoryLost):
		return failure.New(failure.HistoryLost, "the relay has dropped the history asked for")
	}
	return errStale
}

// lose notes that the reader that was followed has no news any more. It had some until it
// noticed, or until it was gone.
func (r *Relayed) lose() {
	if noticed := time.Now().Add(-relayNotice); noticed.After(r.known) {
		r.known = noticed
	}
	r.following, r.missed = false, true
	r.lost()
}

// newGap is the outage that a reader tells of, if it ended since the newest answer. A store
// that has answered this host or another reader meanwhile was away for that one only.
func (r *Relayed) newGap(reader string, reply *wire.TableReply, now time.Time) time.Duration {
	if reply.GapMs == 0 {
		return 0
	}
	ended := now.Add(-time.Duration(reply.ReturnedMs) * time.Millisecond)
	if ended.Sub(r.returned) < outageFrom || ended.Before(r.known.Add(-outageFrom)) {
		return 0 // told before, within what a message takes and clocks round
	}
	r.returned = ended
	gap := time.Duration(reply.GapMs) * time.Millisecond
	begun := ended.Add(-gap)
	if r.teller == reader || r.answered.Before(begun.Add(outageFrom)) {
		return gap
	}
	if !r.missed {
		return 0
	}
	return ended.Sub(r.answered)
}

func (r *Relayed) exchange(ctx context.Context, name string, call *wire.TableCall, timeout time.Duration) (*wire.TableReply, error) {
	if err := r.connect(ctx, name); err != nil {
		return nil, err
	}
	st := r.stream
	stop := context.AfterFunc(ctx, st.Abort)
	defer stop()
	_ = st.SetDeadline(time.Now().Add(timeout)) // fails only on a closed stream, as Write then does
	reply := &wire.TableReply{}
	err := wire.Write(st, call)
	if err == nil {
		err = wire.Read(st.R, reply)
	}
	if err != nil {
		r.close()
	}
	return reply, err
}

// leave closes the stream to a host that is not to be asked any more.
func (r *Relayed) leave(names []string) {
	maps.DeleteFunc(r.pauses, func(name string, _ pause) bool { return !slices.Contains(names, name) })
	if !slices.Contains(names, r.of) {
		r.close()
	}
}

func (r *Relayed) close() {
	if r.stream != nil {
		r.stream.Abort()
	}
	r.stream, r.of = nil, ""
}

// connect makes the stream go to a reader.
func (r *Relayed) connect(ctx context.Context, name string) error {
	if r.stream != nil && r.of == name {
		return nil
	}
	r.close()
	dial, cancel := context.WithTimeout(ctx, relayDial)
	defer cancel()
	st, err := r.readers.Open(dial, name)
	if err != nil {
		return err
	}
	r.stream, r.of = st, name
	return nil
}
