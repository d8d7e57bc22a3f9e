package entry

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/gentianflow/gentianflow/internal/dispatch"
	"github.com/gentianflow/gentianflow/internal/event"
	"github.com/gentianflow/gentianflow/internal/notice"
	"github.com/gentianflow/gentianflow/internal/routing"
	"github.com/gentianflow/gentianflow/internal/sched"
	"github.com/gentianflow/gentianflow/internal/upstream"
)

// verdict tells whether a try ended the request.
type verdict bool

const (
	again verdict = false
	final verdict = true
)

const (
	// minTry is the least time in which a further run can still help.
	minTry = 30 * time.Millisecond
	// maxSends bounds the servers that one request is sent to, whether they
	// ran it or not: each send is an arrival there.
	maxSends = 3
	// safeSilence is how long a server may leave a safe plain call without an
	// answer while another may be tried: twice the longest that such calls
	// take at a sound server.
	safeSilence = 220 * time.Millisecond
	// firstSilence and eventSilence are the same for a resumable stream,
	// before its first event and between events. Callers give a stream up
	// after a pause of 4 s, and a run elsewhere needs about 1 s to begin.
	firstSilence = 3 * time.Second
	eventSilence = 2 * time.Second
	// stallCheck is how long a server may say nothing before it is asked for a
	// new connection. Sound engines pause 0.5 s between events at most, under
	// full load; one that is gone or cut off does not answer at all.
	stallCheck = 700 * time.Millisecond
	stallDial  = 300 * time.Millisecond
	stallDials = 2
	// minDial is the least time a connection attempt gets.
	minDial = 60 * time.Millisecond
	maxDial = 300 * time.Millisecond
)

// attempt is one send to one server.
type attempt struct {
	x     *exchange
	place dispatch.Place
	conn  *upstream.Conn
	stop  func() bool // ends the watch that closes conn when the caller leaves
	sent  time.Time
	first time.Duration     // to the first event or the whole answer
	stall *time.Timer       // watches a stream for silence; nil for plain calls
	phase atomic.Int32      // inExchange, then stalled, revoked or over
	begun atomic.Bool       // the first event has arrived
	why   *dispatch.Refused // of a revoked place; phase guards it
}

// The phases of an attempt. Who moves it on from inExchange owns the
// connection's end.
const (
	inExchange int32 = iota
	stalled          // its server does not answer new connections
	revoked          // the request was put in quarantine
	over
)

// try sends the request to a server and deals with what comes back. It is the
// only place from which a request reaches a server.
func (x *exchange) try(ctx context.Context, place dispatch.Place) verdict {
	t := &attempt{x: x, place: place}
	if callerLeft(x.r.Context()) {
		x.h.Places.Finish(place.ID, sched.Unused, 0, 0)
		x.note(event.RequestLeft, "before it was sent")
		return final
	}
	dial, cancel := context.WithTimeout(ctx, min(maxDial, max(minDial, x.route.Aim/2)))
	conn, err := x.h.Pool.Get(dial, t.server())
	cancel()
	if err != nil {
		return t.unreachable(ctx, err)
	}
	t.conn = conn
	if said := x.h.Places.Heard(place.Server); said.Leaving || said.Rest(time.Now()) > 0 {
		return t.holdBack(said)
	}
	// Guard: a server goes on with a request until its connection closes, so
	// the connection ends as soon as the caller leaves or time runs out.
	t.stop = context.AfterFunc(ctx, conn.Close)
	defer t.stop()
	return t.run(ctx)
}

// holdBack gives the place back and asks for another one.
//
// Guard: between a place and its use lie a dial and other answers of the same server, one of
// which may have said meanwhile that it leaves or wants rest.
func (t *attempt) holdBack(said notice.Standing) verdict {
	x := t.x
	t.conn.Close()
	result := sched.Unused
	if said.Leaving {
		result = sched.Gone
	}
	x.h.Places.Finish(t.place.ID, result, 0, 0)
	x.tried = append(x.tried, t.place.Server)
	x.notice = describe(time.Now(), said)
	x.note(event.SendHeldBack, "nothing was sent")
	x.h.Meter.HeldBack()
	return again
}

func (t *attempt) server() upstream.Server {
	return upstream.Server{ID: t.place.Server, Address: t.place.Address}
}

// release keeps the connection of an exchange that is over.
//
// Guard: the watch on the caller must end first. Otherwise a caller that
// leaves while it reads its answer would close the connection under the next
// request on it, which may not be sent again.
//
// The same holds for the watch on silence.
func (t *attempt) release(resp *http.Response) {
	if t.stop() && t.phase.CompareAndSwap(inExchange, over) {
		t.conn.Release(resp)
		return
	}
	t.conn.Close()
}

// unreachable goes on to another server: nothing was sent.
func (t *attempt) unreachable(ctx context.Context, err error) verdict {
	x := t.x
	if ctx.Err() != nil {
		x.h.Places.Finish(t.place.ID, sched.Unused, 0, 0)
	} else {
		x.h.Places.Finish(t.place.ID, sched.Unreachable, 0, 0)
	}
	x.tried = append(x.tried, t.place.Server)
	x.note(event.ServerUnreachable, err.Error())
	return again // the scheduler refuses when no other server is left
}

func (t *attempt) run(ctx context.Context) verdict {
	x := t.x
	t.sent = time.Now()
	x.notice = describe(t.sent, x.h.Places.Heard(t.place.Server))
	sent, err := t.conn.Send(x.request(t.place, t.sent), x.deadline)
	if !sent && err != nil && !t.conn.Reused() {
		t.conn.Close()
		return t.unreachable(ctx, err)
	}
	x.sends++
	x.runs++ // until the server states otherwise
	x.repeat = true
	if err != nil {
		return t.lost(ctx, err)
	}
	x.h.Places.OnRevoke(t.place.ID, t.revoke)
	t.watchStall()
	defer t.endStall()
	t.patience(ctx, t.silence())
	resp, err := t.conn.ReadHead(x.r.Method, func(h http.Header) bool {
		id := x.h.Dialect.ReadAnswer(h).ID
		return id == "" || id == x.head.ID
	})
	if err != nil {
		return t.lost(ctx, err)
	}
	return t.answered(ctx, resp)
}

// request is what goes to the server.
func (x *exchange) request(place dispatch.Place, now time.Time) *upstream.Request {
	s := ServerHead{Deadline: x.deadline.Sub(now), Instance: place.Server, LastEvent: x.stream.lastID}
	if x.account != nil {
		s.Account, s.HideKey = x.account.Name, true
	}
	return &upstream.Request{
		Method: x.r.Method, Target: x.r.RequestURI, Host: x.r.Host,
		Header: x.h.Dialect.WriteRequest(x.r.Header, s), Body: x.body,
	}
}

func minTime(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// answered deals with an answer whose head has arrived.
func (t *attempt) answered(ctx context.Context, resp *http.Response) verdict {
	x := t.x
	said := x.h.Dialect.ReadAnswer(resp.Header)
	if !turnsAway(resp.StatusCode) {
		said.Notice.Rest = 0
	}
	if resp.StatusCode != http.StatusMisdirectedRequest { // another server's
		x.hear(t.place.Server, said.Notice)
	}
	if said.NotRun {
		return t.notRun(resp, said.Notice.Rest)
	}
	if resp.StatusCode < 300 && !said.Sealed {
		return t.lost(ctx, errNoSeal)
	}
	if x.route.Kind == routing.Streaming && resp.StatusCode == http.StatusOK {
		return t.passStream(ctx, resp)
	}
	a, whole, err := readAnswer(resp)
	if err != nil {
		return t.lost(ctx, err)
	}
	if !whole {
		return t.passLong(ctx, resp, a)
	}
	t.release(resp)
	t.first = time.Since(t.sent)
	x.first = t.first
	if resp.StatusCode >= http.StatusInternalServerError {
		return t.errored(a)
	}
	x.h.Places.Finish(t.place.ID, sched.OK, t.first, 0)
	if x.erred != "" {
		x.h.Places.Blame(x.erred)
	}
	x.pass(a)
	return final
}

// turnsAway reports whether an answer with this status may ask for rest.
func turnsAway(status int) bool {
	return status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests
}

// notRun goes on to another server: this one states that it did not run the
// request.
func (t *attempt) notRun(resp *http.Response, rest time.Duration) verdict {
	x := t.x
	x.runs--
	result := sched.Rejected
	if resp.StatusCode == http.StatusMisdirectedRequest {
		result = sched.Gone
	}
	if _, err := io.Copy(io.Discard, resp.Body); err == nil {
		t.release(resp)
	} else {
		t.conn.Close()
	}
	x.h.Places.Finish(t.place.ID, result, 0, 0)
	x.tried = append(x.tried, t.place.Server)
	x.note(event.ServerRejected, "status "+strconv.Itoa(resp.StatusCode)+" rest="+milliseconds(rest))
	if x.sends >= maxSends {
		x.giveUp(x.r.Context(), &dispatch.Refused{Decision: sched.Decision{Reason: sched.Overload, RetryAfter: rejectedRetry}})
		return final
	}
	return again
}

// rejectedRetry is when to come back after servers themselves were full.
const rejectedRetry = 300 * time.Millisecond

// errored has a server's own failure. A safe request goes to another one.
func (t *attempt) errored(a *answer) verdict {
	x := t.x
	result := sched.Errored
	if x.route.Kind == routing.Safe {
		result = sched.Unblamed
	}
	x.h.Places.Finish(t.place.ID, result, t.first, 0)
	x.tried = append(x.tried, t.place.Server)
	x.note(event.ServerErrored, "status "+strconv.Itoa(a.status))
	if x.mayRunAgain() && !x.stream.started {
		x.kept, x.erred = a, t.place.Server
		return again
	}
	if x.stream.started {
		x.abort("the resumed stream failed")
	}
	x.pass(a)
	return final
}

// lost has no whole answer: the request may have run.
func (t *attempt) lost(ctx context.Context, err error) verdict {
	x := t.x
	t.conn.Close()
	if t.conn.Reused() && !t.conn.Heard() && x.r.Context().Err() == nil {
		x.h.Pool.Forget(t.server())
	}
	if x.r.Context().Err() != nil {
		x.h.Places.Finish(t.place.ID, sched.Left, 0, 0)
		x.note(event.RequestLeft, "while it ran")
		return final
	}
	if ctx.Err() != nil || !time.Now().Before(x.deadline) {
		result := sched.Left
		if x.stream.events == 0 {
			result = sched.Broken // no word at all in the whole time
		}
		x.h.Places.Finish(t.place.ID, result, 0, 0)
		x.tried = append(x.tried, t.place.Server)
		x.giveUp(ctx, context.DeadlineExceeded)
		return final
	}
	if t.phase.Load() == revoked {
		x.h.Places.Finish(t.place.ID, sched.Left, 0, 0)
		x.giveUp(ctx, t.why)
		return final
	}
	x.tried = append(x.tried, t.place.Server)
	x.note(event.ServerLost, err.Error()+" events="+strconv.Itoa(x.stream.events))
	if t.phase.Load() == stalled {
		x.h.Places.Finish(t.place.ID, sched.Silent, 0, 0)
	} else {
		go t.reportBroken()
	}
	if x.mayRunAgain() {
		return again
	}
	x.giveUp(ctx, err)
	return final
}

// revoke ends a run that has shown nothing yet: its request was put in quarantine.
func (t *attempt) revoke(why *dispatch.Refused) {
	if t.begun.Load() {
		return
	}
	t.why = why
	if t.phase.CompareAndSwap(inExchange, revoked) {
		t.conn.Close()
	}
}

// reportBroken tells the scheduler of a broken answer, and whether its server has ended
// with it: one that has ended refuses new connections at once. The caller is not kept
// waiting for that.
func (t *attempt) reportBroken() {
	x, ran, first := t.x, time.Since(t.sent), t.first
	if !upstream.Refuses(t.place.Address, stallDial) {
		x.h.Places.Finish(t.place.ID, sched.Broken, first, 0)
		return
	}
	x.h.Places.Finish(t.place.ID, sched.Ended, first, 0)
	x.h.Meter.ServerEnded()
	x.h.Events.Record(event.ServerEnded, event.Fields{
		Request: x.head.ID, Service: x.service, Server: t.place.Server,
		Detail: "fingerprint=" + x.fingerprint.String() + " ran=" + milliseconds(ran),
	})
}
