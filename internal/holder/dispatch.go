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
	resumeInterval = 100 * time.Millisecond
	// resumeTimeout is how long a broken stream is retried without progress
	// before its request ends as unknown. A restarted server ends the retries
	// at once, since it does not know the request.
	resumeTimeout   = 15 * time.Second
	claimRetryAfter = 2 * time.Second // Retry-After for callers while the store is down
)

// handleGrant handles a grant from the home. Only a waiting request uses it; a
// request that has ended in the meantime returns it.
//
// A grant can cross a revocation or a withdrawal of its request in transit and
// arrive when a newer attempt at the same id is already waiting. The home has
// freed that grant and may have granted the id elsewhere since, so using it
// would run the request twice. The attempt number identifies such a grant.
func (r *Record) handleGrant(l *link, a core.Action) {
	if a.Attempt != r.attempt {
		return
	}
	r.mu.Lock()
	ok := r.fireLocked(evGrant)
	if ok {
		r.server, r.everGranted = a.Server, true
	}
	ended := r.machine.Final()
	r.mu.Unlock()
	if !ok {
		if ended && !mayHaveRun(r.State()) {
			l.send(withdrawFrame(r.Sub.ID))
		}
		return
	}
	r.record(event.RequestGranted, "")
	r.h.background(func(ctx context.Context) { r.useGrant(ctx, l, a.Server, a.ValidUntil) })
}

// useGrant dispatches the request under a grant and follows the answer to its
// end.
func (r *Record) useGrant(ctx context.Context, l *link, server ident.ServerID, until core.Stamp) {
	b, ok := r.h.backendOf(r.Sub.Service, server)
	if !ok {
		r.returnGrant(l, true)
		return
	}
	if r.Sub.needsClaim() && !r.claim(ctx, server, until) {
		return
	}
	if !r.beginDispatch(until) {
		r.returnGrant(l, false)
		r.releaseLateClaim()
		return
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	r.setCancel(cancel)
	r.record(event.RequestDispatched, "")
	srv := r.h.deps.Backends(b.Address, r.Sub.Plain)
	l.meter.addActive(server, 1)
	// This process may be paused while it connects and continue after the grant
	// has expired.
	valid := func() bool { return r.h.stamp() <= until }
	call := backend.Call{ID: r.Sub.ID, Path: r.Sub.Path, ContentType: r.Sub.ContentType, Body: r.Sub.Body, Allowed: valid}
	usage, err := srv.Send(ctx, call, &sink{r: r, l: l, server: server})
	if err != nil && backend.NotDispatched(err) {
		l.meter.addActive(server, -1)
		r.fire(evConnectFailed)
		r.sendReturned(l, valid())
		return
	}
	r.freeBody()
	if err != nil {
		usage, err = r.resume(ctx, l, srv, err)
	}
	l.meter.addActive(server, -1)
	r.complete(l, usage, err)
}

func (r *Record) setCancel(c context.CancelFunc) {
	r.mu.Lock()
	r.cancel = c
	r.mu.Unlock()
}

// beginDispatch is the only transition that allows a dispatch.
//
// Since the grant arrived, this process may have been paused, and the home may
// have treated this host as gone because it received no heartbeats; or a resend,
// an eviction or the deadline may have ended the request. The grant's expiry is
// compared with the holder's own clock, which continues during a pause, and the
// state chart refuses a request that has ended. Both are checked under mu before
// the connection is opened; the expiry is checked again before the first byte.
func (r *Record) beginDispatch(until core.Stamp) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.h.stamp() > until {
		return false
	}
	if !r.fireLocked(evDispatch) {
		return false
	}
	r.dispatchedAt = time.Now()
	return true
}

// returnGrant returns an unused grant to the home.
func (r *Record) returnGrant(l *link, serverFailed bool) {
	if !r.fire(evExpire) {
		return // already ended; the code that ended it notified the home
	}
	r.record(event.GrantExpired, "")
	r.sendReturned(l, serverFailed)
}

// sendReturned frees the placement at the home and registers the request for
// another grant. The registration only matters when the home changed in
// between.
func (r *Record) sendReturned(l *link, serverFailed bool) {
	l.send(&wire.Frame{Body: &wire.Frame_Returned{Returned: &wire.Returned{Id: r.Sub.ID[:], ServerFailed: serverFailed}}})
	l.register(r)
}

// claim inserts the claim row. It reports whether the request may be
// dispatched.
func (r *Record) claim(ctx context.Context, server ident.ServerID, until core.Stamp) bool {
	r.mu.Lock()
	ok := r.fireLocked(evClaim)
	r.claimRequested = r.claimRequested || ok
	r.mu.Unlock()
	if !ok {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, time.Duration(until-r.h.stamp()))
	defer cancel()
	mine := claim.Claimant{Incarnation: r.h.self, Token: r.claimToken, Server: server, Expires: time.Now().Add(r.h.claimHorizon())}
	res := r.h.deps.Claims.Claim(ctx, r.Sub.ID, mine, 0)
	if res.Err == nil && !res.Won && r.h.unused.has(res.Owner.Token) {
		// The row belongs to an earlier attempt at this host that never ran
		// and whose release is still pending.
		res = r.h.deps.Claims.Claim(ctx, r.Sub.ID, mine, res.Version)
	}
	switch {
	case res.Err != nil:
		// The row may or may not exist. Nothing was dispatched, so the
		// caller is informed at once that the request was not run.
		r.withdraw(&failure.Error{Code: failure.StoreDown, Message: "the table service did not confirm the claim", RetryAfter: claimRetryAfter})
		return false
	case res.Won:
		return true
	}
	r.attachToClaimOwner(res)
	return false
}

// releaseLateClaim releases a claim that was won after its request had ended.
// The release at the end of the request may have run before the row existed.
func (r *Record) releaseLateClaim() {
	r.mu.Lock()
	late := r.machine.Final() && !mayHaveRun(r.machine.State()) && r.Sub.needsClaim()
	r.claimRequested = r.claimRequested || late
	r.mu.Unlock()
	if late {
		r.releaseClaim()
	}
}

func (h *Holder) claimHorizon() time.Duration {
	if c := h.deps.Config.Current(); c != nil {
		return c.Document.Rules.Limits.ClaimHorizon.Std()
	}
	return 0
}

// attachToClaimOwner follows the answer of the host whose attempt inserted the
// claim row first.
func (r *Record) attachToClaimOwner(res claim.Result) {
	r.record(event.ClaimRefused, res.Owner.Incarnation.String())
	r.mu.Lock()
	r.claimRequested = false // the row belongs to another attempt
	r.mu.Unlock()
	r.h.link(r.Sub.Service).send(withdrawFrame(r.Sub.ID))
	r.attachTo(res.Owner.Incarnation, res.Owner.Server)
}

// resume continues a broken stream on new connections until it is complete or
// the server does not know the request. It never dispatches again.
func (r *Record) resume(ctx context.Context, l *link, srv backend.Server, cause error) (backend.Usage, error) {
	if !r.fire(evCut) || r.Sub.Plain {
		return backend.Usage{}, cause
	}
	r.record(event.RequestCut, cause.Error())
	var usage backend.Usage
	err := cause
	for until := time.Now().Add(resumeTimeout); time.Now().Before(until) && ctx.Err() == nil; {
		from, _ := r.answer.received()
		usage, err = srv.Resume(ctx, r.Sub.ID, from, &sink{r: r, l: l, server: r.serverID(), resumed: true})
		if err == nil || failure.Is(err, failure.UnknownRequest) {
			return usage, err
		}
		if now, _ := r.answer.received(); now > from {
			until = time.Now().Add(resumeTimeout)
		}
		wait(ctx, resumeInterval)
	}
	return usage, err
}

// complete ends a dispatched request according to its outcome and notifies the
// home.
func (r *Record) complete(l *link, usage backend.Usage, err error) {
	parts, sum := r.answer.received()
	if err == nil && usage.Checksum != "" && usage.Checksum != strconv.FormatUint(sum, 16) {
		err = failure.New(failure.ServerLost, "checksum of %d parts differs", parts)
	}
	if err == nil {
		r.completeAnswered()
	} else {
		r.endUnknown(&failure.Error{Code: unknownCode(err), Message: err.Error()})
	}
	r.mu.Lock()
	fin := core.Finished{ID: r.Sub.ID, PromptTokens: usage.PromptTokens, OutputTokens: usage.OutputTokens, Failed: err != nil}
	fin.Total = time.Since(r.dispatchedAt)
	if !r.firstPartAt.IsZero() {
		fin.FirstToken = r.firstPartAt.Sub(r.dispatchedAt)
	}
	r.mu.Unlock()
	l.send(cellwire.FinishedFrame(fin))
}

// completeAnswered ends a request whose answer is complete.
func (r *Record) completeAnswered() {
	if !r.fire(evFinish) {
		return
	}
	r.answer.finish(nil)
	size := r.answer.size()
	r.mu.Lock()
	r.answerBytes = size
	r.mu.Unlock()
	r.h.addBytes(size)
	r.record(event.RequestAnswered, strconv.Itoa(size)+" bytes")
}

// unknownCode returns a code whose outcome is unknown: after a dispatch, a
// failure must never be reported as not run.
func unknownCode(err error) failure.Code {
	e := failure.From(err)
	if e.Outcome() == failure.Unknown && e.Code != failure.UnknownRequest {
		return e.Code
	}
	return failure.ServerLost
}

// abandon cancels a dispatched request whose answer nobody reads.
func (r *Record) abandon(cancel context.CancelFunc) {
	r.endUnknown(&failure.Error{Code: failure.Withdrawn, Message: "nobody reads the answer; it was cancelled"})
	cancel()
	b, ok := r.h.backendOf(r.Sub.Service, r.serverID())
	if !ok {
		return
	}
	r.h.background(func(ctx context.Context) {
		ctx, stop := context.WithTimeout(ctx, time.Second)
		defer stop()
		_ = r.h.deps.Backends(b.Address, r.Sub.Plain).Cancel(ctx, r.Sub.ID) // best effort: it only saves the server work
	})
}

// sink adds the answer of a backend server to the record.
type sink struct {
	r       *Record
	l       *link
	server  ident.ServerID
	resumed bool
}

// Begin implements backend.Sink.
func (s *sink) Begin(status int, contentType string) {
	s.r.answer.begin(status, contentType)
	if s.resumed && s.r.fire(evResume) {
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
	s.l.meter.countToken(s.server)
	if p.Index == 0 {
		s.r.recordFirstPart()
	}
	return true
}

func (r *Record) recordFirstPart() {
	r.mu.Lock()
	r.firstPartAt = time.Now()
	r.fireLocked(evFirstByte)
	r.mu.Unlock()
	r.record(event.RequestFirstByte, "")
}

// frameEvent encodes a part as a server-sent event for the caller.
func frameEvent(data []byte) []byte {
	out := make([]byte, 0, len(data)+len("data: \n\n"))
	out = append(out, "data: "...)
	out = append(out, data...)
	return append(out, "\n\n"...)
}
