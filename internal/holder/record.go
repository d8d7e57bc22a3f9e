package holder

import (
	"context"
	"sync"
	"time"

	"github.com/gentianflow/gentianflow/charts"
	"github.com/gentianflow/gentianflow/internal/chart"
	"github.com/gentianflow/gentianflow/internal/claim"
	"github.com/gentianflow/gentianflow/internal/core"
	"github.com/gentianflow/gentianflow/internal/event"
	"github.com/gentianflow/gentianflow/internal/failure"
	"github.com/gentianflow/gentianflow/internal/ident"
	"github.com/gentianflow/gentianflow/internal/prefix"
)

// States and events of the request's state chart that the code refers to.
const (
	stateReceived   chart.State = "received"
	stateWaiting    chart.State = "waiting"
	stateGranted    chart.State = "granted"
	stateClaiming   chart.State = "claiming"
	stateAttached   chart.State = "attached"
	stateDispatched chart.State = "dispatched"
	stateRunning    chart.State = "running"
	stateCut        chart.State = "cut"
	stateAnswered   chart.State = "answered"

	evRegister      chart.Event = "register"
	evGrant         chart.Event = "grant"
	evClaim         chart.Event = "claim"
	evExpire        chart.Event = "expire"
	evDispatch      chart.Event = "dispatch"
	evConnectFailed chart.Event = "connect_failed"
	evFirstByte     chart.Event = "first_byte"
	evFinish        chart.Event = "finish"
	evCut           chart.Event = "cut"
	evResume        chart.Event = "resume"
	evRefuse        chart.Event = "refuse"
	evRevoke        chart.Event = "revoke"
	evGiveUp        chart.Event = "give_up"
	evAttach        chart.Event = "attach"
	evNotRunThere   chart.Event = "not_run_there"
)

var requestChart = charts.MustLoad().Request

// Submission is a validated request from the callers' interface.
type Submission struct {
	ID                ident.RequestID
	Account           string
	Service           string
	Kind              string
	Tier              int
	Plain             bool
	NonIdempotent     bool
	HasIdempotencyKey bool // the id is derived from the caller's idempotency key
	Path              string
	ContentType       string
	Body              []byte
	PromptTokens      int
	OutputTokens      int
	Prefix            prefix.Key
	PrefixTokens      int
	PromptKey         prefix.Key // key of the whole prompt
	Deadline          time.Time
	Resend            bool
	Tried             []ident.Incarnation
	// LocateOnly requests an answer that some other host holds. Such a
	// request has no body and is never dispatched from this host.
	LocateOnly bool
}

// needsClaim reports whether a claim row is required before the dispatch. A
// keyed request needs one too: the same key may arrive at the same time through
// two hosts that follow different homes.
func (s *Submission) needsClaim() bool { return s.NonIdempotent || s.HasIdempotencyKey }

// Record is one request that this host holds. mu guards all fields below it.
// The state chart decides every state transition.
type Record struct {
	h          *Holder
	Sub        Submission
	answer     *Answer
	claimToken ident.RequestID // identifies the claim row; constant for the record's lifetime
	// attempt is unique among the records of this host; see core.Request.Attempt.
	attempt uint32

	mu             sync.Mutex
	machine        chart.Machine
	server         ident.ServerID
	claimRequested bool
	everGranted    bool // a home granted this attempt, so no other holder can have run the id
	deadline       *time.Timer
	readers        int
	idleSince      time.Time // when the last reader left
	endedAt        time.Time
	answerBytes    int // size of the finished answer as counted in Holder.heldBytes
	dispatchedAt   time.Time
	firstPartAt    time.Time
	cancel         context.CancelFunc // of the dispatch, relay or resume in progress
}

func newRecord(h *Holder, sub Submission) *Record {
	r := &Record{h: h, Sub: sub, answer: newAnswer(), machine: requestChart.Start(), claimToken: ident.NewRequestID(h.self), attempt: h.attempts.Add(1), idleSince: time.Now()}
	r.deadline = time.AfterFunc(time.Until(sub.Deadline), r.deadlinePassed)
	return r
}

// Answer returns the request's answer.
func (r *Record) Answer() *Answer { return r.answer }

// State returns the current state.
func (r *Record) State() chart.State {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.machine.State()
}

// AddReader adds a reader; the returned function removes it.
func (r *Record) AddReader() (leave func()) {
	r.mu.Lock()
	r.readers++
	r.mu.Unlock()
	return func() {
		r.mu.Lock()
		r.readers--
		r.idleSince = time.Now()
		r.mu.Unlock()
	}
}

// fireLocked applies the transition for an event and reports whether the state
// chart allows it. The caller holds mu.
func (r *Record) fireLocked(e chart.Event) bool {
	if r.machine.Fire(e) != nil {
		return false
	}
	if r.machine.Final() && r.endedAt.IsZero() {
		r.endedAt = time.Now()
		r.deadline.Stop()
	}
	return true
}

// fire is fireLocked for callers that do not hold mu.
func (r *Record) fire(e chart.Event) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.fireLocked(e)
}

func (r *Record) record(code event.Code, detail string) {
	r.h.deps.Events.Record(code, event.Fields{
		Request: r.Sub.ID.String(), Service: r.Sub.Service, Server: r.h.serverName(r.Sub.Service, r.serverID()), Detail: detail,
	})
}

func (r *Record) serverID() ident.ServerID {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.server
}

// refuse ends a request that was not run. It reports false when the state chart
// does not allow it: a dispatch came first, or another host holds the request,
// and that outcome counts.
//
// An eviction, a shed or a deadline can race with a grant. All of them and the
// dispatch fire their transition under mu, so exactly one wins. A request that
// follows another host's answer may run there: the deadline here proves nothing
// about it, only a report from that host does (evNotRunThere).
func (r *Record) refuse(e *failure.Error) bool { return r.endNotRun(evRefuse, e) }

// endNotRun ends a request that was not run, by the given event.
func (r *Record) endNotRun(ev chart.Event, e *failure.Error) bool {
	if !r.fire(ev) {
		return false
	}
	r.answer.finish(e)
	r.record(event.RequestNotRun, string(e.Code))
	r.freeBody()
	r.releaseClaim()
	return true
}

// endUnknown ends a request that may have run, with an unknown outcome.
func (r *Record) endUnknown(e *failure.Error) {
	if !r.fire(evGiveUp) {
		return
	}
	r.answer.finish(e)
	r.record(event.RequestUnknown, string(e.Code)+": "+e.Message)
	r.freeBody()
}

// withdraw ends a request that was not run here and notifies the home.
//
// A resend that no home has granted may have run at a holder that was tried
// before and has not reported on it. This host only knows that its own attempt
// did not run, so the outcome that it reports for the request is unknown.
func (r *Record) withdraw(e *failure.Error) bool {
	r.mu.Lock()
	e.Unproved = r.Sub.Resend && !r.everGranted
	r.mu.Unlock()
	if !r.refuse(e) {
		return false
	}
	r.h.link(r.Sub.Service).send(withdrawFrame(r.Sub.ID))
	return true
}

// deadlinePassed ends a request that was not dispatched by its deadline, so
// that the caller gets an answer at once. A dispatched request continues: its
// caller is owed the complete answer.
func (r *Record) deadlinePassed() {
	if r.withdraw(&failure.Error{Code: failure.Deadline, Message: "not started before its deadline", RetryAfter: time.Second}) {
		return
	}
	r.mu.Lock()
	attached := r.machine.State() == stateAttached
	cancel := r.cancel
	r.mu.Unlock()
	if attached && cancel != nil {
		cancel()
	}
}

// revoke ends the request here because it was resent through another host,
// unless it may have run. It returns the answer for the home.
func (r *Record) revoke() core.RevokeAnswer {
	r.mu.Lock()
	won := r.fireLocked(evRevoke)
	server, state := r.server, r.machine.State()
	r.mu.Unlock()
	ans := core.RevokeAnswer{ID: r.Sub.ID, Holder: r.h.self, Server: server}
	if won {
		r.answer.finish(&failure.Error{Code: failure.Moved, Message: "the request goes on through another host"})
		r.record(event.RequestMoved, "")
		r.freeBody()
		r.releaseClaim()
		return ans
	}
	if mayHaveRun(state) {
		ans.Verdict = core.Dispatched
	}
	return ans
}

// mayHaveRun reports whether a request in this state may have been dispatched
// here.
func mayHaveRun(s chart.State) bool {
	switch s {
	case stateDispatched, stateRunning, stateCut, stateAnswered, "unknown":
		return true
	}
	return false
}

// releaseClaim deletes a claim row that was requested and will not be used.
func (r *Record) releaseClaim() {
	r.mu.Lock()
	requested := r.claimRequested
	r.claimRequested = false
	r.mu.Unlock()
	if requested {
		owner := claim.Claimant{Incarnation: r.h.self, Token: r.claimToken}
		r.h.unused.add(r.claimToken)
		r.h.background(func(ctx context.Context) { r.h.deps.Claims.Release(ctx, r.Sub.ID, owner) })
	}
}

func (r *Record) freeBody() {
	r.mu.Lock()
	n := len(r.Sub.Body)
	r.Sub.Body = nil
	r.mu.Unlock()
	r.h.addBytes(-n)
}

// ledgerEntry returns the record's line of a report to the home, and false when
// it has none.
func (r *Record) ledgerEntry() (core.LedgerEntry, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := core.LedgerEntry{
		ID: r.Sub.ID, Holder: r.h.self, Server: r.server,
		Prefix: r.Sub.Prefix, PrefixTokens: r.Sub.PrefixTokens,
	}
	switch s := r.machine.State(); {
	case r.Sub.LocateOnly:
		return e, false
	case s == stateWaiting || s == stateReceived:
		e.State = core.LedgerWaiting
	case s == stateGranted || s == stateClaiming || s == stateDispatched || s == stateRunning || s == stateCut:
		e.State = core.LedgerGranted
	case mayHaveRun(s):
		e.State = core.LedgerDone
	default:
		return e, false
	}
	return e, true
}

// coreRequest returns the request as it is registered with the home.
func (r *Record) coreRequest() core.Request {
	s := &r.Sub
	return core.Request{
		ID: s.ID, Holder: r.h.self, Attempt: r.attempt, Account: ident.AccountIDOf(s.Account), Tier: s.Tier,
		PromptTokens: s.PromptTokens, OutputTokens: s.OutputTokens,
		Prefix: s.Prefix, PrefixTokens: s.PrefixTokens, PromptKey: s.PromptKey,
		Resend: s.Resend, Tried: s.Tried, Claimed: s.needsClaim(),
	}
}
