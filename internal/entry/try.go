package entry

import (
	"context"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/gentianflow/gentianflow/internal/dispatch"
	"github.com/gentianflow/gentianflow/internal/event"
	"github.com/gentianflow/gentianflow/internal/failure"
	"github.com/gentianflow/gentianflow/internal/notice"
	"github.com/gentianflow/gentianflow/internal/reach"
	"github.com/gentianflow/gentianflow/internal/routing"
	"github.com/gentianflow/gentianflow/internal/sched"
	"github.com/gentianflow/gentianflow/internal/upstream"
)

// nextStep is what to do after an attempt: retry the request or not.
type nextStep bool

const (
	retry nextStep = false
	done  nextStep = true
)

const (
	// minRetryTime is the shortest remaining time in which another run can still succeed.
	minRetryTime = 30 * time.Millisecond
	// maxSends bounds the servers that one request is sent to, whether they run it or not,
	// since each of them counts the request as an arrival.
	maxSends = 3
	// safeCallTimeout is how long a server may take to answer a safe plain call while
	// another server can be tried: twice the longest time of such a call at a healthy server.
	safeCallTimeout = 220 * time.Millisecond
	// firstEventTimeout and nextEventTimeout are the same limit for a resumable stream, before
	// its first event and between events. Callers abandon a stream after a pause of 4 s,
	// and a run at another server needs about 1 s to begin.
	firstEventTimeout = 3 * time.Second
	nextEventTimeout  = 2 * time.Second
	// stallCheckDelay is how long a server may send nothing before the stall check tries a
	// new connection. Healthy engines pause at most 0.5 s between events, under full load;
	// a server that is down or cut off does not answer at all.
	stallCheckDelay = 700 * time.Millisecond
	// At least stallChecks checks in a row must fail, since a packet of one may be lost.
	stallChecks        = 2
	stallCheckInterval = 100 * time.Millisecond
	// Sound servers may pause for a second or so; a run at another server needs about resumeTime until its
	// first event.
	maxSilenceTolerance = 1800 * time.Millisecond
	minSilenceTolerance = 1300 * time.Millisecond
	resumeTime          = time.Second
	// minDialTimeout and maxDialTimeout bound the time for a connection attempt, which is
	// otherwise half of the route's latency target.
	minDialTimeout = 60 * time.Millisecond
	maxDialTimeout = 300 * time.Millisecond
)

// attempt is one send of a request to one server.
type attempt struct {
	x               *exchange
	placement       dispatch.Placement
	conn            *upstream.Conn
	stopCallerWatch func() bool // stops closing conn when the caller leaves or the deadline passes
	sent            time.Time
	timeToFirst     time.Duration     // to the first event or the complete answer
	outputTokens    int               // of a stream whose run has ended
	gaps            gapMeter          // between the events of a stream
	via             string            // the host that carries the connection, empty if none does
	stallTimer      *time.Timer       // runs the stall check; nil for plain calls
	stallVerdict    reach.Verdict     // what the stall check found; phase guards it
	phase           atomic.Int32      // inProgress, then stalled, revoked or ended
	started         atomic.Bool       // the first event has arrived
	reads           atomic.Int64      // counts reads, so that the stall check sees whether something arrived
	revocation      *dispatch.Refused // why the placement was revoked; phase guards it
}

// The phases of an attempt. The goroutine that changes the phase from inProgress decides how the
// connection ends.
const (
	inProgress int32 = iota
	stalled          // the server does not accept new connections
	revoked          // the request was put in quarantine
	ended
)

// try sends the request to a server and handles the answer. Requests reach servers only
// through it.
func (x *exchange) try(ctx context.Context, placement dispatch.Placement) nextStep {
	t := &attempt{x: x, placement: placement}
	if callerDisconnected(x.r.Context()) {
		x.h.Placer.Finish(placement.ID, sched.Unused, 0, 0)
		x.leave("before the request was sent")
	}
	conn, via, err := x.h.Servers.Get(ctx, t.server(), min(maxDialTimeout, max(minDialTimeout, x.route.LatencyTarget/2)))
	x.via = via
	if err != nil {
		return t.handleUnreachable(ctx, err)
	}
	t.conn, t.via = conn, via
	if via != "" {
		x.h.Meter.Tunneled()
	}
	if state := x.h.Placer.ServerNotice(placement.Server); state.Leaving || state.Backoff(time.Now()) > 0 {
		return t.returnPlacement(state)
	}
	// The placement may have been revoked while the connection was made.
	x.h.Placer.OnRevoke(placement.ID, t.revoke)
	if t.phase.Load() == revoked {
		x.h.Placer.Finish(placement.ID, sched.Unused, 0, 0)
		x.giveUp(ctx, t.revocation)
		return done
	}
	// A server continues a request until its connection closes, so the connection is
	// closed as soon as the caller leaves or the deadline passes.
	t.stopCallerWatch = context.AfterFunc(ctx, conn.Close)
	defer t.stopCallerWatch()
	return t.run(ctx)
}

// returnPlacement returns the placement unused, so that the request gets another one.
//
// Between a placement and its use there is time for a dial and for other answers of the
// same server, which may have announced that it leaves or asked for backoff.
func (t *attempt) returnPlacement(state notice.State) nextStep {
	x := t.x
	t.conn.Close()
	result := sched.Unused
	if state.Leaving {
		result = sched.Replaced
	}
	x.h.Placer.Finish(t.placement.ID, result, 0, 0)
	x.tried = append(x.tried, t.placement.Server)
	x.serverNotice = noticeFields(time.Now(), state)
	x.recordEvent(event.SendHeldBack, "nothing was sent")
	x.h.Meter.HeldBack()
	return retry
}

func (t *attempt) server() upstream.Server {
	return upstream.Server{ID: t.placement.Server, Address: t.placement.Address}
}

// release returns the connection to the pool after a complete answer.
//
// The caller watch must stop first. Otherwise a caller that leaves while it reads its
// answer would close the connection under the next request on it, which may not be safe to
// retry. The same holds for the stall check.
func (t *attempt) release(resp *http.Response) {
	if t.stopCallerWatch() && t.phase.CompareAndSwap(inProgress, ended) {
		t.conn.Release(resp)
		return
	}
	t.conn.Close()
}

// handleUnreachable makes the request try another server: nothing was sent.
func (t *attempt) handleUnreachable(ctx context.Context, err error) nextStep {
	x := t.x
	if ctx.Err() != nil {
		x.h.Placer.Finish(t.placement.ID, sched.Unused, 0, 0)
	} else {
		x.noPath = x.noPath || failure.Is(err, failure.NoPath)
		go t.reportUnreachable(err)
	}
	x.tried = append(x.tried, t.placement.Server)
	x.recordEvent(event.ServerUnreachable, err.Error())
	return retry // the scheduler refuses if no other server is left
}

func (t *attempt) run(ctx context.Context) nextStep {
	x := t.x
	t.sent = time.Now()
	x.serverNotice = noticeFields(t.sent, x.h.Placer.ServerNotice(t.placement.Server)) + loadFields(t.sent, x.h.Placer.ServerLoad(t.placement.Server))
	sent, err := t.conn.Send(x.request(t.placement, t.sent), x.deadline)
	if !sent && err != nil && !t.conn.Reused() {
		t.conn.Close()
		return t.handleUnreachable(ctx, err)
	}
	x.sends++
	x.runs++ // handleNotRun subtracts it again
	x.isRetry = true
	if err != nil {
		return t.handleLost(ctx, err)
	}
	t.watchStall()
	defer t.stopStallWatch()
	t.setReadTimeout(ctx, t.readTimeout())
	resp, err := t.conn.ReadHead(x.r.Method, func(h http.Header) bool {
		id := x.h.Dialect.ReadAnswer(h).ID
		return id == "" || id == x.head.ID
	})
	if err != nil {
		return t.handleLost(ctx, err)
	}
	return t.handleAnswer(ctx, resp)
}

// request builds the request to the server.
func (x *exchange) request(placement dispatch.Placement, now time.Time) *upstream.Request {
	s := ServerHead{Deadline: x.deadline.Sub(now), Incarnation: placement.Server, LastEvent: x.stream.lastID}
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

// handleAnswer handles an answer whose header has arrived.
func (t *attempt) handleAnswer(ctx context.Context, resp *http.Response) nextStep {
	x := t.x
	if t.via == "" {
		x.h.Servers.Answered()
	}
	x.framing, x.tail = upstream.FramingOf(x.r.Method, resp), 0
	x.h.Meter.Framed(x.framing)
	head := x.h.Dialect.ReadAnswer(resp.Header)
	if !mayAskBackoff(resp.StatusCode) {
		head.Notice.Backoff = 0
	}
	if resp.StatusCode != http.StatusMisdirectedRequest { // sent by another server incarnation
		x.recordNotice(t.placement.Server, head.Notice)
		if head.Signed || head.NotRun {
			x.recordLoad(t.placement.Server, head.Load)
		}
	}
	if head.NotRun {
		return t.handleNotRun(resp, head.Notice.Backoff)
	}
	if resp.StatusCode < 300 && !head.Signed {
		return t.handleLost(ctx, errUnsigned)
	}
	if x.route.Kind == routing.Streaming && resp.StatusCode == http.StatusOK {
		return t.forwardStream(ctx, resp)
	}
	if x.stream.started && resp.StatusCode < http.StatusInternalServerError {
		t.conn.Close()
		x.h.Placer.Finish(t.placement.ID, sched.OK, time.Since(t.sent), 0)
		x.abort("the resumed stream was answered with status " + strconv.Itoa(resp.StatusCode))
	}
	a, complete, err := x.readAnswer(resp)
	if err != nil {
		return t.handleLost(ctx, err)
	}
	if !complete && resp.StatusCode >= http.StatusInternalServerError && x.mayRetry() {
		return t.handleLost(ctx, failure.New(failure.ServerError, "status %d with a body too long to be kept for a retry", resp.StatusCode))
	}
	if !complete {
		return t.forwardUnbuffered(ctx, resp, a)
	}
	t.release(resp)
	t.timeToFirst = time.Since(t.sent)
	x.timeToFirst = t.timeToFirst
	if resp.StatusCode >= http.StatusInternalServerError {
		return t.handleServerError(a)
	}
	x.h.Placer.Finish(t.placement.ID, sched.OK, t.timeToFirst, 0)
	if x.errorServer != "" {
		x.h.Placer.RecordServerFault(x.errorServer)
	}
	x.forwardAnswer(a)
	return done
}

// mayAskBackoff reports whether an answer with this status may ask for backoff.
func mayAskBackoff(status int) bool {
	return status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests
}

// handleNotRun makes the request try another server: this one states that it did not run
// the request.
func (t *attempt) handleNotRun(resp *http.Response, backoff time.Duration) nextStep {
	x := t.x
	x.runs--
	result := sched.Rejected
	if resp.StatusCode == http.StatusMisdirectedRequest {
		result = sched.Replaced
	}
	if err := t.conn.Discard(resp); err == nil {
		t.release(resp)
	} else {
		t.countTooLong(err)
		t.conn.Close()
	}
	x.h.Placer.Finish(t.placement.ID, result, 0, 0)
	x.tried = append(x.tried, t.placement.Server)
	x.recordEvent(event.ServerRejected, "status "+strconv.Itoa(resp.StatusCode)+" rest="+formatDuration(backoff))
	if x.sends >= maxSends {
		x.giveUp(x.r.Context(), &dispatch.Refused{Decision: sched.Decision{Reason: sched.Overload, RetryAfter: rejectedRetryAfter}})
		return done
	}
	return retry
}

// rejectedRetryAfter is the Retry-After when servers rejected the request.
const rejectedRetryAfter = 300 * time.Millisecond

// handleServerError handles an error status of a server. A request that may run again is
// retried at another server.
func (t *attempt) handleServerError(a *answer) nextStep {
	x := t.x
	result := sched.ServerError
	if x.route.Kind == routing.Safe {
		result = sched.UnattributedError
	}
	x.h.Placer.Finish(t.placement.ID, result, t.timeToFirst, 0)
	x.tried = append(x.tried, t.placement.Server)
	x.recordEvent(event.ServerErrored, "status "+strconv.Itoa(a.status))
	if x.mayRetry() && !x.stream.started {
		x.errorAnswer, x.errorServer = a, t.placement.Server
		return retry
	}
	if x.stream.started {
		x.abort("the resumed stream failed")
	}
	x.forwardAnswer(a)
	return done
}

// handleLost handles a missing or incomplete answer: the request may have run.
func (t *attempt) handleLost(ctx context.Context, err error) nextStep {
	x := t.x
	t.countTooLong(err)
	t.conn.Close()
	if t.conn.Reused() && !t.conn.AnswerStarted() && x.r.Context().Err() == nil {
		x.h.Servers.CloseIdle(t.server())
	}
	if x.r.Context().Err() != nil {
		x.h.Placer.FinishStream(t.placement.ID, sched.CallerLeft, sched.RunReport{LongestGap: t.gaps.longest, OutputTokens: t.outputTokens})
		x.leave("while the request ran")
	}
	if x.isCutOff() {
		x.h.Placer.FinishStream(t.placement.ID, sched.CallerLeft, sched.RunReport{LongestGap: t.gaps.longest, OutputTokens: t.outputTokens})
		x.giveUp(ctx, errShutdown)
		return done
	}
	if ctx.Err() != nil || !time.Now().Before(x.deadline) {
		if x.stream.events == 0 { // nothing arrived before the deadline
			go t.reportSilent()
		} else {
			x.h.Placer.FinishStream(t.placement.ID, sched.CallerLeft, sched.RunReport{LongestGap: t.gaps.longest, OutputTokens: t.outputTokens})
		}
		x.tried = append(x.tried, t.placement.Server)
		x.giveUp(ctx, context.DeadlineExceeded)
		return done
	}
	if t.phase.Load() == revoked {
		x.h.Placer.Finish(t.placement.ID, sched.CallerLeft, 0, 0)
		x.giveUp(ctx, t.revocation)
		return done
	}
	x.tried = append(x.tried, t.placement.Server)
	x.recordEvent(event.ServerLost, err.Error()+" events="+strconv.Itoa(x.stream.events))
	switch {
	case t.phase.Load() == stalled && t.stallVerdict == reach.PathLost:
		x.h.Placer.Finish(t.placement.ID, sched.PathLost, 0, 0)
	case t.phase.Load() == stalled:
		x.h.Placer.Finish(t.placement.ID, sched.Unresponsive, 0, 0)
	default:
		go t.reportBroken()
	}
	if x.mayRetry() {
		return retry
	}
	x.giveUp(ctx, err)
	return done
}

// countTooLong counts an answer that was given up since it was too long.
func (t *attempt) countTooLong(err error) {
	if t.conn.TooLong() || isBufferFull(err) {
		t.x.h.Meter.TooLong()
	}
}

// revoke ends a run without an event so far: its request was put in quarantine.
func (t *attempt) revoke(revocation *dispatch.Refused) {
	if t.started.Load() {
		return
	}
	t.revocation = revocation
	if t.phase.CompareAndSwap(inProgress, revoked) {
		t.conn.Close()
	}
}
