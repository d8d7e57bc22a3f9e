package sched

import (
	"slices"
	"strings"
	"time"

	"github.com/gentianflow/gentianflow/internal/origin"
	"github.com/gentianflow/gentianflow/internal/quarantine"
	"github.com/gentianflow/gentianflow/internal/rollout"
)

// Scheduler owns the queues of all services. It belongs to one goroutine and is not
// safe for concurrent use.
type Scheduler struct {
	policy      Policy
	share       Share
	owner       uint64 // incarnation of the host; determines the fractions of each server
	services    map[string]*service
	servers     map[string]*server
	listed      map[string][]*server // by service, ordered by ID
	quotas      []Account            // as configured
	accounts    map[string]*bucket
	runs        map[Key]*run
	orphans     int
	suspects    *quarantine.Table
	traits      *quarantine.TraitTable
	traitReview map[quarantine.Trait]traitRequest // that are to be judged again
	// awaitsQuarantineUntil is until when it may not be known yet what is in quarantine.
	awaitsQuarantineUntil Time
	entryTTL              time.Duration // maximum time for which a server is still listed after its end
	failedRequests        requestFailures
	copies                map[quarantine.Fingerprint]int    // number of runs
	review                map[quarantine.Fingerprint]string // services of the requests that are to be judged again
	versions              map[string]*versions              // by service
	notices               map[string]serverNotice           // by server
	bounds                rollout.Bounds
	rolloutSteps          []rollout.Status // steps since the last call of TakeRolloutSteps
	shareWeights          map[string]float64
	shareChanges          []ShareChange // since the last call of TakeShareChanges
	// shareChangesSince and shareChangeCount limit the changes to maxShareChanges an interval.
	shareChangesSince Time
	shareChangeCount  int
	out               []Decision // decisions of the current call
	loads             loads
	bookings          bookings // returns of refused callers
	forecastStats     ForecastStats
	forecastErrors    durationEstimate
	forecastChanges   []ForecastChange // since the last call of TakeForecastChanges
	ejections         []Ejection       // since the last call of TakeEjections
	tickedAt          Time             // when Tick was last called
	origins           *origin.Table    // of streams that may be taken up
	newOrigins        []origin.Record  // since the last call of TakeOrigins
	longestStream     time.Duration    // the longest time that a stream had from its arrival to its deadline
	listAge           func() time.Duration
}

// service is a service with its queue.
type service struct {
	Service
	servers           []*server    // that receive requests
	index             *serverIndex // of servers; see indexOf
	onTrial           []*server    // of a version that is on trial
	versions          *versions
	queue             queue
	retryBudget       bucket
	timeToFirstEvent  durationEstimate // from the placement to the first event or, for a plain call, the complete answer
	usualTimeToFirst  durationEstimate // timeToFirstEvent at the usual speed of servers that report their load
	typical           time.Duration    // cached result of typicalTokenTime, 0 when it may have changed
	typicalSamples    int              // token times learned since typical was computed
	handoverTime      durationEstimate // of a plain call's placement, beyond the time that its server has the call
	recurrentPlacedAt Time             // when a recurrent suspect was last placed; see suspects.go
	// prefillRatio is the time that an engine takes to prefill one prompt token, as a
	// fraction of the time to generate one.
	prefillRatio   float64
	statesSlowdown bool // a server has stated how long work takes there; see serverload.go
	prefillRatioAt Time // of the newest sample
	pauses         pauseModel
	forecast       serviceForecast
}

// Share is the share of the resources that a scheduler may use: all of them at the
// home (the host that runs the scheduler for the others), less at a host that
// schedules alone.
type Share struct {
	Servers    float64 // of every server's slots
	Quotas     float64 // of every account's quota and service's retry budget
	RateLimits float64 // of the requests per second that servers state as their limit
	// BurstsSpent is set if the bursts of quotas and retry budgets may have been given out before.
	BurstsSpent bool
}

// DefaultEntryTTL is how long the entry of a server that ended stays listed when the
// platform does not state how often servers renew their entries.
const DefaultEntryTTL = 4500 * time.Millisecond

// New returns a scheduler with no services.
func New(p Policy) *Scheduler {
	suspects := quarantine.NewTable()
	traits := quarantine.NewTraitTable(suspects)
	suspects.SetSharedCause(traits.Explains)
	s := &Scheduler{
		policy: p, share: Share{Servers: 1, Quotas: 1, RateLimits: 1},
		services: map[string]*service{}, servers: map[string]*server{}, listed: map[string][]*server{},
		accounts: map[string]*bucket{}, runs: map[Key]*run{},
		suspects: suspects, traits: traits, traitReview: map[quarantine.Trait]traitRequest{}, failedRequests: newRequestFailures(), copies: map[quarantine.Fingerprint]int{},
		review: map[quarantine.Fingerprint]string{}, versions: map[string]*versions{}, notices: map[string]serverNotice{}, bounds: rollout.DefaultBounds(),
		origins: origin.NewTable(), listAge: func() time.Duration { return 0 },
	}
	s.SetEntryTTL(DefaultEntryTTL)
	return s
}

// typicalTokenTime is the assumed token time of a server of unknown speed: the median
// of the service's servers.
func (svc *service) typicalTokenTime() time.Duration {
	if len(svc.servers) == 0 {
		return defaultTokenTime
	}
	if svc.typical > 0 {
		return svc.typical
	}
	times := make([]time.Duration, 0, len(svc.servers))
	for _, srv := range svc.servers {
		times = append(times, srv.tokenTime)
	}
	slices.Sort(times)
	svc.typical, svc.typicalSamples = times[len(times)/2], 0
	return svc.typical
}

// typicalRefreshFraction is the fraction of a service's servers whose token times may change before
// the median is computed again.
const typicalRefreshFraction = 1.0 / 16

// learnedTokenTime notes that the token time of one server has changed.
func (svc *service) learnedTokenTime() {
	svc.typicalSamples++
	if float64(svc.typicalSamples) >= typicalRefreshFraction*float64(len(svc.servers)) {
		svc.typical = 0
	}
}

// Submit requests a placement. The decision may come at once or after a later event;
// waits reports whether the request is queued. A request under a known key replaces
// the earlier one.
func (s *Scheduler) Submit(now Time, r Request) (out []Decision, waits bool) {
	s.out = nil
	svc := s.services[r.Service]
	w := &waiting{Request: r, submittedAt: now}
	if svc != nil {
		w.resubmits(svc.queue.find(r.Key))
	}
	s.discard(now, r.Key)
	trait, inQuarantine := s.quarantinedTrait(now, &w.Request)
	switch {
	case svc == nil:
		s.refuse(now, w, NoService, s.policy.RetryAfter)
		return s.out, false
	case s.verdict(now, &r) == quarantine.Quarantined:
		s.refuseQuarantined(now, w)
		return s.out, false
	case inQuarantine:
		s.refuseForTrait(now, w, trait)
		return s.out, false
	case r.Retry && !s.takeRetry(now, svc):
		s.refuse(now, w, RetryBudget, s.policy.RetryAfter)
		return s.out, false
	case !r.Retry:
		svc.retryBudget.credit(now, s.policy.RetryRatio)
	}
	if wait := s.quotaWaitInQueue(now, svc, &r); s.hasFullQuotas() && wait > s.maxQuotaWait(&r) {
		s.refuse(now, w, Quota, max(wait, s.policy.RetryAfter))
		return s.out, false
	}
	pq := svc.queue.priorityQueue(r.Priority)
	if !s.policy.AccountShares || s.quotaWait(now, &r) == 0 {
		pq.arrivalRate.add(now)
	}
	w.class, w.classified = pq.sizeStats.classify(now, svc.work(&r)), true
	if w.returned == newArrival {
		s.recognizeReturn(now, w)
	}
	s.forecastArrival(now, svc, pq, w)
	rank := s.rank(now, pq, w) + w.rankShift
	if r.Resumed != nil {
		rank -= resumedRankLead
	}
	w.rank = s.enterShares(now, svc, pq, w, rank)
	svc.queue.add(w)
	placed := s.placeArrival(now, svc, w)
	if !placed {
		s.rejectEarly(now, svc, pq, w)
	}
	// At another host the caller may find servers that have not asked that host to back off.
	if !placed && s.allBackedOff(now, svc, w) && s.dequeue(r.Key) {
		s.refuse(now, w, Overload, s.policy.RetryAfter)
	}
	refused := slices.ContainsFunc(s.out, func(d Decision) bool { return d.Key == r.Key })
	if !placed && !refused {
		s.admit(now, svc, pq, w)
	}
	return s.out, !placed && !refused
}

// placeArrival places w, which has just arrived, if a server has room for it, and
// reports whether it did. Requests that already wait were considered for the free
// slots when these opened.
func (s *Scheduler) placeArrival(now Time, svc *service, w *waiting) bool {
	if w.Resumed != nil {
		placed := s.placeResumed(now, svc, w)
		if placed {
			svc.queue.remove(w.Key)
		}
		return placed
	}
	if s.offerTrial(now, svc, w) || s.offerNewVersion(now, svc, w) {
		svc.queue.remove(w.Key)
		return true
	}
	if free := s.serversWithRoom(now, svc, &w.Request); len(free) > 0 && s.tryPlace(now, svc, s.candidates(now, svc, free), w) {
		svc.queue.remove(w.Key)
		return true
	}
	return false
}

// rejectEarly refuses w, which has just arrived and found no room, if it will hardly be served.
func (s *Scheduler) rejectEarly(now Time, svc *service, pq *priorityQueue, w *waiting) {
	if w.Resumed != nil {
		return
	}
	if s.policy.ForecastAdmission {
		if f, refuses := s.refusesByForecast(now, svc, pq, w); refuses && s.dequeue(w.Key) {
			s.refuseByForecast(now, svc, pq, w, f)
		}
		return
	}
	if s.shouldRejectEarly(now, svc, pq, w) && s.dequeue(w.Key) {
		s.refuse(now, w, Overload, s.retryAfter(now, w))
	}
}

// shouldRejectEarly reports whether w, which has just arrived, is to be refused at once.
//
// In a burst most requests of a priority wait for as long as they may and are then
// refused: their callers learn late what was foreseeable on arrival, and retry late.
// Some requests are never rejected early: those that may wait for seconds, as they
// outlast many bursts; plain calls, which wait for a tenth of a second; retries, whose
// first run would be lost; and all requests at a host that schedules alone, which has a
// home again in a moment.
func (s *Scheduler) shouldRejectEarly(now Time, svc *service, pq *priorityQueue, w *waiting) bool {
	maxWait := time.Duration(float64(w.Deadline-w.Arrived) * s.policy.MaxWaitShare)
	if !svc.Engine || maxWait > earlyRejectionMaxWait || s.share.Servers < 1 || w.Retry {
		return false
	}
	if pq.waitingWithinQuota() < s.policy.EarlyRejectionMinQueue {
		return false
	}
	return pq.shouldRejectEarly(now, svc.timeToFirstEvent.upperBound(), w)
}

// discard removes the waiting request or the run with a key.
//
// A holder that lost its connection to the home, or got no answer from it, submits again
// all requests for which it has no placement, while the home still has the first
// submission. If both were counted, the first one's slot would be held forever: the
// server would be given fewer and fewer requests, and callers would be refused while it
// is idle.
func (s *Scheduler) discard(now Time, k Key) {
	s.dequeue(k)
	if r := s.runs[k]; r != nil {
		s.refund(now, r)
		r.charge.end(0)
		s.removeRun(now, r)
	}
}

// dequeue removes a request from the queue that it waits in, and reports whether
// there was one.
func (s *Scheduler) dequeue(k Key) bool {
	for _, svc := range s.services {
		if svc.queue.remove(k) != nil {
			return true
		}
	}
	return false
}

// rank is the sort key of a request in its priority queue: its arrival, delayed for a
// long answer unless its size class is underserved.
func (s *Scheduler) rank(now Time, pq *priorityQueue, w *waiting) Time {
	if pq.sizeStats.underserved(now, w.class, s.policy.MinSizeClassShare) {
		return w.Arrived
	}
	return w.Arrived + s.longAnswerDelay(&w.Request)
}

// longAnswerDelay is how far a request is moved back in its priority queue for the
// length of its answer.
func (s *Scheduler) longAnswerDelay(r *Request) time.Duration {
	answerTime := time.Duration(float64(r.OutputTokens) * float64(defaultTokenTime) * s.policy.LengthDelayWeight)
	maxDelay := time.Duration(float64(r.Deadline-r.Arrived) * s.policy.MaxWaitShare * s.policy.MaxLengthDelayShare)
	return min(answerTime, maxDelay)
}

// takeRetry draws on the retry budget of a service and reports whether it sufficed.
func (s *Scheduler) takeRetry(now Time, svc *service) bool {
	if svc.retryBudget.level < 1 {
		return false
	}
	svc.retryBudget.take(now, 1)
	return true
}

// Withdraw removes a waiting request, or returns a placement that was not used.
func (s *Scheduler) Withdraw(now Time, k Key) []Decision {
	if s.dequeue(k) {
		return nil
	}
	return s.Finish(now, Outcome{Key: k, Result: Unused})
}

// Finish ends a run. With the results Progress and Stalled it updates the estimates from a
// run that goes on.
func (s *Scheduler) Finish(now Time, o Outcome) []Decision {
	s.out = nil
	r := s.runs[o.Key]
	if r == nil {
		return nil
	}
	if r.server.disproved(now, r, o.Result) {
		switch o.Result {
		case Stalled:
			return nil
		case Unreachable:
			o.Result = Unused
		default:
			o.Result = PathLost
		}
	}
	s.learnVersion(now, r, o)
	o.TokenTime = s.usualTime(now, r, o.TokenTime)
	s.learnRejection(now, r.server, o.Result)
	s.learnSlots(now, r, o.Result)
	s.learnServer(now, r, o)
	s.learnEnd(now, r, o)
	s.learnTraits(now, r, o)
	svc := s.services[r.req.Service]
	s.learnTimes(now, svc, r, o)
	if o.Result == Progress {
		if !r.isolatedToEnd {
			r.server.endIsolation(r)
		}
		s.suspects.Progress(now, r.req.Fingerprint)
	}
	if o.Result == Progress || o.Result == Stalled {
		s.reindex(now, r.server)
		return nil
	}
	if o.Result.NotRun() {
		s.refund(now, r)
		if r.req.Resumed == nil {
			s.origins.Forget(r.req.Origin, r.server.Version)
		}
	}
	if svc != nil && r.countedAsServed && o.Result != OK {
		svc.queue.priorityQueue(r.req.Priority).sizeStats.served[r.class].add(now, -1)
	}
	s.settle(svc, r, o)
	if o.Result == PathLost {
		s.abandon(now, r, 0)
		return s.out
	}
	s.removeRun(now, r)
	s.reviewSuspects(now)
	s.reviewTraits(now)
	listed := s.servers[r.server.ID] == r.server
	if svc != nil && listed && r.server.hasRoom(now, s.concurrencyLimit(svc, r.server)) {
		if r.server.serving == svc {
			s.fill(now, svc, []*server{r.server})
		} else {
			s.fillTrial(now, svc)
		}
	}
	return s.out
}

// learnTimes updates the estimates of a service, nil if it is unknown, from the outcome of a run.
func (s *Scheduler) learnTimes(now Time, svc *service, r *run, o Outcome) {
	if svc == nil {
		return
	}
	if o.TokenTime > 0 {
		svc.learnedTokenTime()
	}
	s.learnPause(now, svc, r, o)
	if o.FirstEvent == 0 || o.Result.Lost() {
		return
	}
	if !s.disturbed(now, r) {
		svc.learnPrefillRatio(now, s.policy.SteadyPrefillRatio, r, o.FirstEvent)
	}
	if o.Result != OK {
		return
	}
	svc.timeToFirstEvent.add(o.FirstEvent)
	if r.server.load != nil {
		svc.usualTimeToFirst.add(s.usualTime(now, r, o.FirstEvent))
	}
	before := svc.handoverShare()
	svc.learnHandover(now-r.placed, o.FirstEvent)
	if svc.handoverShare() != before {
		svc.index.outdated = true
	}
}

// learnServer updates what is known of a run's server from the run's outcome.
func (s *Scheduler) learnServer(now Time, r *run, o Outcome) {
	if s.failedRequests.recordOutcome(now, r.req, r.server.ID, o.Result) {
		o.Result = CallerLeft // the outcome says nothing about the server
	}
	if (o.Result == OK || o.Result == Progress) && r.placed > r.server.endedAt {
		r.server.ended = false // the server has answered since, so it had not ended
	}
	if svc := s.services[r.req.Service]; svc != nil && o.TokenTime > 0 && !r.server.plausible(now, r.placed, o.TokenTime, svc.typicalTokenTime()) {
		o.TokenTime = 0
	}
	ejectedUntil := r.server.ejectedUntil
	r.server.learn(now, o, s.othersUsable(now, r.server))
	if r.server.ejectedUntil != ejectedUntil {
		s.recordEjection(now, r.server, o)
	}
	if svc := r.server.serving; svc != nil && svc.large() && o.Result == OK {
		svc.index.connected(o.Holder, r.server)
	}
}

// othersUsable reports whether without srv at least half of the servers of its service are usable.
func (s *Scheduler) othersUsable(now Time, srv *server) bool {
	svc := srv.serving
	return svc == nil || 2*(s.countUsable(now, svc)-1) >= len(svc.servers)
}

// RecordServerFault counts a failure against a server: it failed a request that another
// server then answered. A failure alone is not counted, since some requests fail at every
// server: all servers would look faulty, and the faulty one could not be told apart.
func (s *Scheduler) RecordServerFault(now Time, server string) {
	if srv := s.servers[server]; srv != nil {
		srv.recordFailure(now)
	}
}

// refund returns the units that an account was charged for a request that did not run.
func (s *Scheduler) refund(now Time, r *run) {
	if b := s.accounts[r.req.Account]; b != nil && !r.refunded {
		b.credit(now, r.req.Units)
		r.refunded = true
	}
}

func (s *Scheduler) removeRun(now Time, r *run) {
	if r.orphan {
		s.orphans--
	}
	r.charge.end(1)
	r.server.finish(r)
	s.reindex(now, r.server)
	s.addCopies(r.req.Fingerprint, -1)
	delete(s.runs, r.req.Key)
}

// Adopt records a run that another scheduler placed, or confirms one of its own that the
// holder still has. The holder reports its end.
func (s *Scheduler) Adopt(now Time, a AdoptedRun) {
	if old := s.runs[a.Key]; old != nil && old.server.ID == a.Server {
		if old.orphan {
			old.orphan = false
			s.orphans--
		}
		return
	}
	s.discard(now, a.Key)
	srv, svc := s.servers[a.Server], s.services[a.Service]
	if srv == nil || svc == nil {
		return
	}
	req := &Request{Key: a.Key, Service: a.Service, PromptTokens: a.PromptTokens, OutputTokens: a.OutputTokens, MaxPause: a.MaxPause, Account: a.Account, Fingerprint: a.Fingerprint, Interruptible: a.Interruptible, Route: a.Route}
	req.traits = quarantine.TraitsOf(a.Service, a.Account, a.Route, a.SharedParts)
	r := srv.start(now, svc, req)
	if a.Elapsed < adoptedSendWindow {
		srv.pacer.take(now)
	}
	s.reindex(now, srv)
	total := r.predictedEnd - now
	r.predictedEnd = max(now, r.predictedEnd-a.Elapsed)
	if total > 0 {
		s.adoptCharge(now, svc, r, a.Priority, float64(r.predictedEnd-now)/float64(total))
	}
	r.refunded = true // charged by the scheduler that placed it
	s.runs[a.Key] = r
	s.addCopies(a.Fingerprint, 1)
}

// HolderGone drops the waiting requests of a holder. Its runs stay recorded until their
// predicted end plus orphanGrace, unless the holder comes back and reports them.
func (s *Scheduler) HolderGone(now Time, holder uint64) {
	for _, svc := range s.services {
		svc.queue.each(func(w *waiting) (bool, bool) { return w.Holder == holder, false })
		delete(svc.index.byHolder, holder)
	}
	for k, r := range s.runs {
		if k.Holder == holder {
			s.abandon(now, r, orphanGrace)
		}
	}
}

// abandon makes a run an orphan: its holder does not observe it any more, while the server may work on it
// until its predicted end plus grace.
func (s *Scheduler) abandon(now Time, r *run, grace time.Duration) {
	if r.orphan {
		return
	}
	r.orphan = true
	r.predictedEnd = max(now, r.predictedEnd) + grace
	s.orphans++
	s.reindex(now, r.server)
}

// Tick handles the passing of time: it refuses requests that waited too long, drops
// orphaned runs, advances trials of new versions and places requests at servers that have
// room again.
func (s *Scheduler) Tick(now Time) []Decision {
	s.out, s.tickedAt = nil, now
	s.expireOrphans(now)
	s.expireLoads(now)
	s.reviewSuspects(now)
	s.reviewTraits(now)
	s.advanceTrials(now)
	s.bookings.expire(now)
	s.origins.Expire(now)
	for _, svc := range s.services {
		s.refreshShares(now, svc)
		s.tickForecasts(now, svc)
		if svc.queue.size > 0 {
			s.placeWaitingResumed(now, svc)
			s.fillTrial(now, svc)
			s.fill(now, svc, s.serversWithRoom(now, svc, nil))
			s.refuseOverdue(now, svc)
		}
	}
	return s.out
}

func (s *Scheduler) expireOrphans(now Time) {
	if s.orphans == 0 {
		return
	}
	for _, r := range s.runs {
		if r.orphan && now >= r.predictedEnd {
			s.removeRun(now, r)
		}
	}
}

// Waiting returns the number of waiting requests over all services.
func (s *Scheduler) Waiting() int {
	n := 0
	for _, svc := range s.services {
		n += svc.queue.size
	}
	return n
}

// Running returns the number of runs, including orphaned ones.
func (s *Scheduler) Running() int { return len(s.runs) }

// refuseQuarantined refuses w until it may be tried again.
func (s *Scheduler) refuseQuarantined(now Time, w *waiting) {
	s.refuse(now, w, Quarantined, max(s.policy.RetryAfter, s.suspects.RetryIn(now, w.Fingerprint)))
}

func (s *Scheduler) refuse(now Time, w *waiting, why Reason, after time.Duration) {
	d := Decision{Key: w.Key, Reason: why, RetryAfter: after, Detail: s.suspects.Explain(now, w.Fingerprint)}
	svc := s.services[w.Service]
	for _, part := range []string{s.explainShare(now, svc, w), s.explainSize(now, svc, w)} {
		d.Detail = strings.TrimSpace(d.Detail + " " + part)
	}
	if svc != nil {
		d.Waiting, d.Usable = svc.queue.size, s.countUsable(now, svc)
	}
	s.out = append(s.out, d)
}
