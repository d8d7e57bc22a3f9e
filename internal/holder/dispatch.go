package holder

import (
	"context"
	"strconv"
	"time"

	"github.com/gentianflow/gentianflow/internal/backend"
	"github.com/gentianflow/gentianflow/internal/cellwire"
	"github.com/gentianflow/gentianflow/internal/claim"
	"github.com/gentianflow/gentianflow/internal/core"
	"github.com/gentianflow/gentianflow/internal/event"
	"github.com/gentianflow/gentianflow/internal/failure"
	"github.com/gentianflow/gentianflow/internal/ident"
	"github.com/gentianflow/gentianflow/internal/wire"
)

const (
	resumePause = 100 * time.Millisecond
	// resumeLimit is how long a cut stream is tried again before its request
	// is given up as unknown; a server restart shows at once instead.
	resumeLimit = 15 * time.Second
	claimRetry  = 2 * time.Second // advice to callers while the store is down
)

// granted takes a grant. Only a waiting request uses it; a request that has
// ended meanwhile gives it back.
//
// Guard: a grant can cross a revocation or a withdrawal of its request on the
// way here, and meet a newer attempt at the same id that waits by now. The
// home has freed that grant and may have granted the id elsewhere since, so
// using it would run the request twice. The attempt number tells.
func (r *Record) granted(l *link, a core.Action) {
	if a.Attempt != r.attempt {
		return
	}
	r.mu.Lock()
	ok := r.fire(evGrant)
	if ok {
		r.server, r.ruled = a.Server, true
	}
	ended := r.machine.Final()
	r.mu.Unlock()
	if !ok {
		if ended && !ran(r.State()) {
			l.send(withdrawFrame(r.Sub.ID))
		}
		return
	}
	r.record(event.RequestGranted, "")
	r.h.background(func(ctx context.Context) { r.use(ctx, l, a.Server, a.ValidUntil) })
}

// use turns a grant into a dispatch.
func (r *Record) use(ctx context.Context, l *link, server ident.ServerID, until core.Stamp) {
	b, ok := r.h.backendOf(r.Sub.Service, server)
	if !ok {
		r.giveBack(l, true)
		return
	}
	if r.Sub.claimed() && !r.claim(ctx, server, until) {
		return
	}
	if !r.begin(until) {
		r.giveBack(l, false)
		r.dropLateClaim()
		return
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	r.setCancel(cancel)
	r.record(event.RequestDispatched, "")
	srv := r.h.src.Backends(b.Address, r.Sub.Plain)
	l.meter.stream(server, 1)
	// Guard: the holder may be paused while it connects, and go on after the grant has lapsed.
	valid := func() bool { return r.h.stamp() <= until }
	call := backend.Call{ID: r.Sub.ID, Path: r.Sub.Path, ContentType: r.Sub.ContentType, Body: r.Sub.Body, Allowed: valid}
	usage, err := srv.Send(ctx, call, &sink{r: r, l: l, server: server})
	if err != nil && backend.NotDispatched(err) {
		l.meter.stream(server, -1)
		r.step(evConnectFailed)
		r.giveBackFrames(l, valid())
		return
	}
	r.freeBody()
	if err != nil {
		usage, err = r.resume(ctx, l, srv, err)
	}
	l.meter.stream(server, -1)
	r.complete(l, usage, err)
}

func (r *Record) setCancel(c context.CancelFunc) {
	r.mu.Lock()
	r.cancel = c
	r.mu.Unlock()
}

// begin is the one step that allows a dispatch.
//
// Guard: the holder may have been paused since the grant came, while the home
// judged by its silence, or a resend, an eviction or the deadline may have
// taken the request. The grant's expiry is compared on our own clock, which
// went on during a pause, and the chart refuses a request that has ended.
// Both are checked under mu before the connection is opened, the expiry once more before
// the first byte.
func (r *Record) begin(until core.Stamp) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.h.stamp() > until {
		return false
	}
	if !r.fire(evDispatch) {
		return false
	}
	r.dispatched = time.Now()
	return true
}

// giveBack returns an unused grant.
func (r *Record) giveBack(l *link, serverFailed bool) {
	if !r.step(evExpire) {
		return // ended meanwhile; whoever ended it told the home
	}
	r.record(event.GrantExpired, "")
	r.giveBackFrames(l, serverFailed)
}

// giveBackFrames frees the place at the home and asks for another grant. The
// second frame only matters when the home changed in between.
func (r *Record) giveBackFrames(l *link, serverFailed bool) {
	l.send(&wire.Frame{Body: &wire.Frame_Returned{Returned: &wire.Returned{Id: r.Sub.ID[:], ServerFailed: serverFailed}}})
	l.register(r)
}

// claim inserts the claim row. It reports whether the request may go on.
func (r *Record) claim(ctx context.Context, server ident.ServerID, until core.Stamp) bool {
	r.mu.Lock()
	ok := r.fire(evClaim)
	r.claimAsked = r.claimAsked || ok
	r.mu.Unlock()
	if !ok {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, time.Duration(until-r.h.stamp()))
	defer cancel()
	mine := claim.Claimant{Incarnation: r.h.self, Token: r.token, Server: server, Expires: time.Now().Add(r.h.claimHorizon())}
	res := r.h.src.Claims.Claim(ctx, r.Sub.ID, mine, 0)
	if res.Err == nil && !res.Won && r.h.unused.has(res.Owner.Token) {
		// The row is of an earlier attempt at this host that never ran and
		// whose release is still on its way.
		res = r.h.src.Claims.Claim(ctx, r.Sub.ID, mine, res.Version)
	}
	switch {
	case res.Err != nil:
		// The row may be there or not. Nothing was dispatched, which is
		// certain, so the caller is told not run, at once.
		r.withdraw(&failure.Error{Code: failure.StoreDown, Message: "the table service did not confirm the claim", RetryAfter: claimRetry})
		return false
	case res.Won:
		return true
	}
	r.taken(res)
	return false
}

// dropLateClaim releases a claim that was won after its request had ended:
// the release at the end may have found nothing to delete yet.
func (r *Record) dropLateClaim() {
	r.mu.Lock()
	late := r.machine.Final() && !ran(r.machine.State()) && r.Sub.claimed()
	r.claimAsked = r.claimAsked || late
	r.mu.Unlock()
	if late {
		r.releaseClaim()
	}
}

func (h *Holder) claimHorizon() time.Duration {
	if c := h.src.Config.Current(); c != nil {
		return c.Document.Rules.Limits.ClaimHorizon.Std()
	}
	return 0
}

// taken follows the owner of a claim row that another attempt inserted.
func (r *Record) taken(res claim.Result) {
	r.record(event.ClaimRefused, res.Owner.Incarnation.String())
	r.mu.Lock()
	r.claimAsked = false // the row is not ours to release
	r.mu.Unlock()
	r.h.link(r.Sub.Service).send(withdrawFrame(r.Sub.ID))
	r.attachTo(res.Owner.Incarnation, res.Owner.Server)
}

// resume continues a stream that broke off, on new connections, until it is
// whole or the server does not know it. Nothing is dispatched again.
func (r *Record) resume(ctx context.Context, l *link, srv backend.Server, cause error) (backend.Usage, error) {
	if !r.step(evCut) || r.Sub.Plain {
		return backend.Usage{}, cause
	}
	r.record(event.RequestCut, cause.Error())
	var usage backend.Usage
	err := cause
	for until := time.Now().Add(resumeLimit); time.Now().Before(until) && ctx.Err() == nil; {
		from, _ := r.answer.next()
		usage, err = srv.Resume(ctx, r.Sub.ID, from, &sink{r: r, l: l, server: r.serverID(), resumed: true})
		if err == nil || failure.Is(err, failure.UnknownRequest) {
			return usage, err
		}
		if now, _ := r.answer.next(); now > from {
			until = time.Now().Add(resumeLimit)
		}
		wait(ctx, resumePause)
	}
	return usage, err
}

// complete ends a dispatched request by its outcome and tells the home.
func (r *Record) complete(l *link, usage backend.Usage, err error) {
	parts, sum := r.answer.next()
	if err == nil && usage.Checksum != "" && usage.Checksum != strconv.FormatUint(sum, 16) {
		err = failure.New(failure.ServerLost, "checksum of %d parts differs", parts)
	}
	if err == nil {
		r.answered()
	} else {
		r.giveUp(&failure.Error{Code: unknownCode(err), Message: err.Error()})
	}
	r.mu.Lock()
	fin := core.Finished{ID: r.Sub.ID, PromptTokens: usage.PromptTokens, OutputTokens: usage.OutputTokens, Failed: err != nil}
	fin.Total = time.Since(r.dispatched)
	if !r.first.IsZero() {
		fin.FirstToken = r.first.Sub(r.dispatched)
	}
	r.mu.Unlock()
	l.send(cellwire.FinishedFrame(fin))
}

func (r *Record) answered() {
	if !r.step(evFinish) {
		return
	}
	r.answer.finish(nil)
	size := r.answer.size()
	r.mu.Lock()
	r.kept = size
	r.mu.Unlock()
	r.h.addBytes(size)
	r.record(event.RequestAnswered, strconv.Itoa(size)+" bytes")
}

// unknownCode keeps to codes that claim nothing: after a dispatch a failure
// never says not run.
func unknownCode(err error) failure.Code {
	e := failure.From(err)
	if e.Outcome() == failure.Unknown && e.Code != failure.UnknownRequest {
		return e.Code
	}
	return failure.ServerLost
}

// abandon cancels work whose answer nobody reads.
func (r *Record) abandon(cancel context.CancelFunc) {
	r.giveUp(&failure.Error{Code: failure.Withdrawn, Message: "nobody reads the answer; it was cancelled"})
	cancel()
	b, ok := r.h.backendOf(r.Sub.Service, r.serverID())
	if !ok {
		return
	}
	r.h.background(func(ctx context.Context) {
		ctx, stop := context.WithTimeout(ctx, time.Second)
		defer stop()
		_ = r.h.src.Backends(b.Address, r.Sub.Plain).Cancel(ctx, r.Sub.ID) // best effort: saves tokens only
	})
}

// sink feeds the answer of a backend server into the record.
type sink struct {
	r       *Record
	l       *link
	server  ident.ServerID
	resumed bool
}

// Begin implements backend.Sink.
func (s *sink) Begin(status int, contentType string) {
	s.r.answer.begin(status, contentType)
	if s.resumed && s.r.step(evResume) {
		s.r.record(event.RequestResumed, "")
	}
}

// Part implements backend.Sink.
func (s *sink) Part(p backend.Part) bool {
	framed := p.Data
	if !s.r.Sub.Plain {
		framed = frameEvent(p.Data)
	}
	if !s.r.answer.addPart(p.Index, p.Data, framed) {
		s.r.record(event.FrameCrossed, strconv.Itoa(p.Index))
		return false
	}
	s.l.meter.token(s.server)
	if p.Index == 0 {
		s.r.firstPart()
	}
	return true
}

func (r *Record) firstPart() {
	r.mu.Lock()
	r.first = time.Now()
	r.fire(evFirstByte)
	r.mu.Unlock()
	r.record(event.RequestFirstByte, "")
}

// frameEvent writes a part the way callers receive it.
func frameEvent(data []byte) []byte {
	out := make([]byte, 0, len(data)+len("data: \n\n"))
	out = append(out, "data: "...)
	out = append(out, data...)
	return append(out, "\n\n"...)
}
