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

// The states and events of the request chart that the code asks for.
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

// Submission is a checked request as the callers' interface hands it over.
type Submission struct {
	ID            ident.RequestID
	Account       string
	Service       string
	Kind          string
	Tier          int
	Plain         bool
	NonIdempotent bool
	Keyed         bool
	Path          string
	ContentType   string
	Body          []byte
	PromptTokens  int
	OutputTokens  int
	Prefix        prefix.Key
	PrefixTokens  int
	Whole         prefix.Key
	Deadline      time.Time
	Resend        bool
	Tried         []ident.Incarnation
	// LocateOnly asks for an answer that some host holds; there is no body
	// and nothing is ever dispatched from here.
	LocateOnly bool
}

// claimed tells whether a claim row is needed before dispatch. A keyed
// request needs it too: the same key may come through two hosts at once that
// follow two homes.
func (s *Submission) claimed() bool { return s.NonIdempotent || s.Keyed }

// Record is one request that this host holds.
// mu guards all fields below it; the chart decides every change of state.
type Record struct {
	h      *Holder
	Sub    Submission
	answer *Answer
	token  ident.RequestID // of the claim row, one for the life of the record
	// attempt numbers the records of this host; see core.Request.Attempt.
	attempt uint32

	mu         sync.Mutex
	machine    chart.Machine
	server     ident.ServerID
	claimAsked bool
	ruled      bool // the home granted this attempt once: no other holder can have run the id
	deadline   *time.Timer
	readers    int
	idleSince  time.Time // when the last reader left
	endedAt    time.Time
	kept       int // bytes of the whole answer that the holder's books count
	dispatched time.Time
	first      time.Time
	cancel     context.CancelFunc // of the dispatch, relay or resume in progress
}

func newRecord(h *Holder, sub Submission) *Record {
	r := &Record{h: h, Sub: sub, answer: newAnswer(), machine: requestChart.Start(), token: ident.NewRequestID(h.self), attempt: h.attempts.Add(1), idleSince: time.Now()}
	r.deadline = time.AfterFunc(time.Until(sub.Deadline), r.deadlinePassed)
	return r
}

// Answer returns the answer to follow.
func (r *Record) Answer() *Answer { return r.answer }

// State returns the state of the chart.
func (r *Record) State() chart.State {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.machine.State()
}

// Follow counts one reader more; the returned function counts it off.
func (r *Record) Follow() (leave func()) {
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

// fire takes a transition; it reports whether the chart allows it. The
// caller holds mu.
func (r *Record) fire(e chart.Event) bool {
	if r.machine.Fire(e) != nil {
		return false
	}
	if r.machine.Final() && r.endedAt.IsZero() {
		r.endedAt = time.Now()
		r.deadline.Stop()
	}
	return true
}

// step is fire with the lock taken.
func (r *Record) step(e chart.Event) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.fire(e)
}

func (r *Record) record(code event.Code, detail string) {
	r.h.src.Events.Record(code, event.Fields{
		Request: r.Sub.ID.String(), Service: r.Sub.Service, Server: r.h.serverName(r.Sub.Service, r.serverID()), Detail: detail,
	})
}

func (r *Record) serverID() ident.ServerID {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.server
}

// refuse ends a request of which nothing ran. It reports false when the
// chart does not allow it: then a dispatch won, or another host holds the
// request, and their outcome counts.
//
// Guard: an eviction, a shed or a deadline can cross a grant. All of them and
// the dispatch take their step under mu, so exactly one wins. A request that
// follows another host's answer may run there: our own deadline says nothing
// about it, only that host's word does (evNotRunThere).
func (r *Record) refuse(e *failure.Error) bool { return r.endNotRun(evRefuse, e) }

func (r *Record) endNotRun(ev chart.Event, e *failure.Error) bool {
	if !r.step(ev) {
		return false
	}
	r.answer.finish(e)
	r.record(event.RequestNotRun, string(e.Code))
	r.freeBody()
	r.releaseClaim()
	return true
}

// giveUp ends a request that may have run.
func (r *Record) giveUp(e *failure.Error) {
	if !r.step(evGiveUp) {
		return
	}
	r.answer.finish(e)
	r.record(event.RequestUnknown, string(e.Code)+": "+e.Message)
	r.freeBody()
}

// withdraw ends a request of which nothing ran here and tells the home.
//
// Guard: a resend that the home has not ruled on may have run at a holder
// tried before, whose word is missing. This host only knows that nothing ran
// by its own attempt, so its word on the request is unknown.
func (r *Record) withdraw(e *failure.Error) bool {
	r.mu.Lock()
	e.Unproved = r.Sub.Resend && !r.ruled
	r.mu.Unlock()
	if !r.refuse(e) {
		return false
	}
	r.h.link(r.Sub.Service).send(withdrawFrame(r.Sub.ID))
	return true
}

// deadlinePassed tells the caller at once when nothing ran in time. What was
// dispatched goes on: its answer is owed whole.
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

// revoke gives the request up because it was resent through another host. It
// returns the word for the home.
func (r *Record) revoke() core.RevokeAnswer {
	r.mu.Lock()
	won := r.fire(evRevoke)
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
	if ran(state) {
		ans.Verdict = core.Dispatched
	}
	return ans
}

// ran reports whether a state means that a dispatch may have happened here.
func ran(s chart.State) bool {
	switch s {
	case stateDispatched, stateRunning, stateCut, stateAnswered, "unknown":
		return true
	}
	return false
}

// releaseClaim deletes a claim row that was asked for and will not be used.
func (r *Record) releaseClaim() {
	r.mu.Lock()
	asked := r.claimAsked
	r.claimAsked = false
	r.mu.Unlock()
	if asked {
		owner := claim.Claimant{Incarnation: r.h.self, Token: r.token}
		r.h.unused.add(r.token)
		r.h.background(func(ctx context.Context) { r.h.src.Claims.Release(ctx, r.Sub.ID, owner) })
	}
}

func (r *Record) freeBody() {
	r.mu.Lock()
	n := len(r.Sub.Body)
	r.Sub.Body = nil
	r.mu.Unlock()
	r.h.addBytes(-n)
}

// ledgerLine is the record's line in a report; false when it has none.
func (r *Record) ledgerLine() (core.LedgerEntry, bool) {
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
	case ran(s):
		e.State = core.LedgerDone
	default:
		return e, false
	}
	return e, true
}

// coreRequest is what the home is told of the request.
func (r *Record) coreRequest() core.Request {
	s := &r.Sub
	return core.Request{
		ID: s.ID, Holder: r.h.self, Attempt: r.attempt, Account: ident.AccountIDOf(s.Account), Tier: s.Tier,
		PromptTokens: s.PromptTokens, OutputTokens: s.OutputTokens,
		Prefix: s.Prefix, PrefixTokens: s.PrefixTokens, Whole: s.Whole,
		Resend: s.Resend, Tried: s.Tried, Claimed: s.claimed(),
	}
}
