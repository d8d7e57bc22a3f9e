// Package holder manages the requests for which this host is the holder: the
// entry host that received a request and owes the caller its answer. It
// registers each request with the home of its service (the host that runs the
// service's scheduler), dispatches it at most once and only under a grant, and
// keeps finished requests and their answers for the horizon, a configured
// retention time.
//
// Failures that it handles:
//   - The home dies: waiting requests register with the next one.
//   - The connection to a backend server breaks or stalls: the stream is
//     resumed by request id and part index, never dispatched again.
//   - The request was sent to another host before: its answer is relayed from
//     there, or resumed at the backend server when that host is dead.
//
// Holder owns the Records, one for each request. A Record owns the state of its
// request and its Answer. A link for each service connects to the home.
package holder

import (
	"context"
	"sort"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gentianflow/gentianflow/internal/backend"
	"github.com/gentianflow/gentianflow/internal/claim"
	"github.com/gentianflow/gentianflow/internal/config"
	"github.com/gentianflow/gentianflow/internal/configsync"
	"github.com/gentianflow/gentianflow/internal/core"
	"github.com/gentianflow/gentianflow/internal/event"
	"github.com/gentianflow/gentianflow/internal/failure"
	"github.com/gentianflow/gentianflow/internal/ident"
	"github.com/gentianflow/gentianflow/internal/member"
	"github.com/gentianflow/gentianflow/internal/peer"
)

// Dependencies are the components that a Holder depends on.
type Dependencies struct {
	Members  *member.Table
	Config   *configsync.Syncer
	Peers    *peer.Manager
	Backends backend.Factory
	Claims   *claim.Claimer
	Events   *event.Recorder
}

// Periods of the sweep. A grace period starts when the last reader of a
// request leaves.
const (
	waitingGrace = 2 * time.Second  // before a waiting request is withdrawn
	runningGrace = 10 * time.Second // before a request at a model engine is cancelled
	sweepPeriod  = 500 * time.Millisecond
)

// Holder owns the records of one host. mu guards records, links and heldBytes.
type Holder struct {
	deps  Dependencies
	self  ident.Incarnation
	start time.Time
	ctx   context.Context
	tasks sync.WaitGroup

	attempts atomic.Uint32 // records created so far
	unused   unusedClaims

	mu        sync.Mutex
	records   map[ident.RequestID]*Record
	links     map[string]*link
	heldBytes int // request bodies and complete answers
}

// New returns a holder whose background tasks end with ctx.
func New(ctx context.Context, self ident.Incarnation, deps Dependencies) *Holder {
	return &Holder{
		deps: deps, self: self, start: time.Now(), ctx: ctx,
		records: map[ident.RequestID]*Record{}, links: map[string]*link{},
	}
}

// SetPeers sets the manager of the sessions with other hosts. That manager is
// created after the holder, because the holder serves streams of the sessions.
func (h *Holder) SetPeers(p *peer.Manager) { h.deps.Peers = p }

// Run sweeps the records periodically until ctx ends.
func (h *Holder) Run(ctx context.Context) {
	tick := time.NewTicker(sweepPeriod)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			h.sweep(time.Now())
		case <-ctx.Done():
			h.tasks.Wait()
			return
		}
	}
}

// stamp reads this holder's clock, on which the homes base the expiry of
// grants.
func (h *Holder) stamp() core.Stamp { return core.Stamp(time.Since(h.start)) }

func (h *Holder) background(f func(context.Context)) {
	h.tasks.Go(func() { f(h.ctx) })
}

func (h *Holder) addBytes(n int) {
	h.mu.Lock()
	h.heldBytes += n
	h.mu.Unlock()
}

// Get returns the record of a request id.
func (h *Holder) Get(id ident.RequestID) (*Record, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	r, ok := h.records[id]
	return r, ok
}

// Submit accepts a request and registers it with the home of its service. For
// an id that is already held it returns the existing record. It fails with
// Forbidden when that record belongs to another client account, and with
// HostFull when memory is full and nothing of a lower tier can be evicted.
func (h *Holder) Submit(sub Submission, limits config.Limits) (*Record, error) {
	if r, ok := h.Get(sub.ID); ok && !h.mayReplace(r, &sub) {
		return h.attach(r, sub)
	}
	if err := h.makeRoom(&sub, limits.HeldBytes); err != nil {
		return nil, err
	}
	r := newRecord(h, sub)
	h.mu.Lock()
	if other, ok := h.records[sub.ID]; ok && !h.mayReplace(other, &sub) {
		h.mu.Unlock()
		r.deadline.Stop()
		return h.attach(other, sub)
	}
	h.records[sub.ID] = r
	h.heldBytes += len(sub.Body)
	h.mu.Unlock()
	r.record(event.RequestAccepted, sub.Kind)
	r.fire(evRegister)
	h.link(sub.Service).register(r)
	r.record(event.RequestWaiting, "")
	return r, nil
}

// mayReplace reports whether a new attempt may replace a record: nothing ran
// under the old one and its caller was informed of that, or the request moved
// to another host and is resent here.
func (h *Holder) mayReplace(old *Record, sub *Submission) bool {
	if !old.belongsTo(sub.Account) || sub.LocateOnly {
		return false
	}
	s := old.State()
	return s == "not_run" || s == "moved" && sub.Resend
}

func (h *Holder) attach(r *Record, sub Submission) (*Record, error) {
	if !r.belongsTo(sub.Account) {
		return nil, failure.New(failure.Forbidden, "request %s belongs to another client account", sub.ID)
	}
	r.record(event.RequestAttached, "")
	return r, nil
}

// belongsTo reports whether an account may see the record. A record that only
// marks an id as moved to another host has no account and holds no private
// data.
func (r *Record) belongsTo(account string) bool {
	return r.Sub.Account == "" || r.Sub.Account == account
}

// makeRoom frees memory for a body. It first drops answers that nobody reads,
// oldest first, and then withdraws waiting requests of lower tiers, those of
// the lowest tier and with the latest deadline first.
func (h *Holder) makeRoom(sub *Submission, limit int) error {
	need := len(sub.Body)
	if h.held()+need <= limit {
		return nil
	}
	for _, r := range h.finishedOldestFirst() {
		h.dropAnswer(r)
		if h.held()+need <= limit {
			return nil
		}
	}
	for _, r := range h.waitingBelow(sub.Tier) {
		r.withdraw(&failure.Error{Code: failure.HostFull, Message: "gave way to a more urgent request", RetryAfter: time.Second})
		if h.held()+need <= limit {
			return nil
		}
	}
	return failure.Retry(failure.HostFull, time.Second, "%d bytes held, %d more asked, at most %d", h.held(), need, limit)
}

func (h *Holder) held() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.heldBytes
}

func (h *Holder) allRecords() []*Record {
	h.mu.Lock()
	defer h.mu.Unlock()
	out := make([]*Record, 0, len(h.records))
	for _, r := range h.records {
		out = append(out, r)
	}
	return out
}

func (h *Holder) finishedOldestFirst() []*Record {
	var out []*Record
	for _, r := range h.allRecords() {
		if !r.endTime().IsZero() {
			out = append(out, r)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].endTime().Before(out[j].endTime()) })
	return out
}

func (h *Holder) waitingBelow(tier int) []*Record {
	var out []*Record
	for _, r := range h.allRecords() {
		if r.Sub.Tier > tier && r.State() == stateWaiting {
			out = append(out, r)
		}
	}
	sort.Slice(out, func(i, j int) bool {
		if out[i].Sub.Tier != out[j].Sub.Tier {
			return out[i].Sub.Tier > out[j].Sub.Tier
		}
		return out[i].Sub.Deadline.After(out[j].Sub.Deadline)
	})
	return out
}

func (r *Record) endTime() time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.endedAt
}

// dropAnswer frees the bytes of an answer that has no readers.
//
// The record itself stays for the horizon. It is this host's only evidence
// that the id ran; without it a resend would be accepted as new here, and this
// host's report to a new home would not list the id.
func (h *Holder) dropAnswer(r *Record) {
	r.mu.Lock()
	size := r.answerBytes
	if r.readers > 0 {
		size = 0
	}
	r.answerBytes -= size
	r.mu.Unlock()
	if size > 0 {
		r.answer.drop()
		h.addBytes(-size)
	}
}

// remove deletes a record whose horizon has passed.
func (h *Holder) remove(r *Record) {
	r.mu.Lock()
	size := r.answerBytes
	r.answerBytes = 0
	r.mu.Unlock()
	h.mu.Lock()
	if h.records[r.Sub.ID] == r {
		delete(h.records, r.Sub.ID)
	}
	h.heldBytes -= size
	h.mu.Unlock()
}

// sweep removes records past the horizon and ends requests without readers.
func (h *Holder) sweep(now time.Time) {
	inForce := h.deps.Config.Current()
	if inForce == nil {
		return
	}
	horizon := inForce.Document.Rules.Limits.Horizon.Std()
	h.unused.expire(now.Add(-horizon))
	for _, r := range h.allRecords() {
		r.mu.Lock()
		ended, idle := r.endedAt, r.readers == 0
		state, since := r.machine.State(), now.Sub(r.idleSince)
		cancel := r.cancel
		r.mu.Unlock()
		switch {
		case !ended.IsZero():
			if now.Sub(ended) > horizon {
				h.remove(r)
			}
		case idle && state == stateWaiting && since > waitingGrace:
			r.withdraw(&failure.Error{Code: failure.Withdrawn, Message: "nobody waits for it"})
		case idle && state == stateRunning && since > runningGrace && !r.Sub.Plain && !r.Sub.NonIdempotent && cancel != nil:
			r.abandon(cancel)
		}
	}
}

// link returns the link to the home of a service and starts it on first use.
func (h *Holder) link(service string) *link {
	h.mu.Lock()
	defer h.mu.Unlock()
	l := h.links[service]
	if l == nil {
		l = newLink(h, service)
		h.links[service] = l
		h.tasks.Go(func() { l.run(h.ctx) })
	}
	return l
}

// recordsOf returns the records of a service.
func (h *Holder) recordsOf(service string) []*Record {
	var out []*Record
	for _, r := range h.allRecords() {
		if r.Sub.Service == service {
			out = append(out, r)
		}
	}
	return out
}

// InProgress returns the number of requests without a final answer.
func (h *Holder) InProgress() int {
	n := 0
	for _, r := range h.allRecords() {
		if r.endTime().IsZero() {
			n++
		}
	}
	return n
}

// Stats are the holder's figures for status and metrics.
type Stats struct {
	Records    int `json:"records"`
	InProgress int `json:"in_progress"`
	HeldBytes  int `json:"held_bytes"`
}

// Stats returns the current figures.
func (h *Holder) Stats() Stats {
	h.mu.Lock()
	s := Stats{Records: len(h.records), HeldBytes: h.heldBytes}
	h.mu.Unlock()
	s.InProgress = h.InProgress()
	return s
}

// backendOf finds a server of a service in the configuration in force.
func (h *Holder) backendOf(service string, id ident.ServerID) (*config.BackendServer, bool) {
	inForce := h.deps.Config.Current()
	if inForce == nil {
		return nil, false
	}
	svc, ok := inForce.Document.Service(service)
	if !ok {
		return nil, false
	}
	for i := range svc.BackendServers {
		if ident.ServerIDOf(svc.BackendServers[i].Name) == id {
			return &svc.BackendServers[i], true
		}
	}
	return nil, false
}

func (h *Holder) serverName(service string, id ident.ServerID) string {
	if b, ok := h.backendOf(service, id); ok {
		return b.Name
	}
	return ""
}

// Readers returns the number of callers and hosts that follow answers here.
func (h *Holder) Readers() int {
	n := 0
	for _, r := range h.allRecords() {
		r.mu.Lock()
		n += r.readers
		r.mu.Unlock()
	}
	return n
}
