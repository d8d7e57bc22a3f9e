package sched

import (
	"math"
	"slices"
	"time"

	"github.com/gentianflow/gentianflow/internal/quarantine"
)

// fill places waiting requests, the most urgent first, while the servers in free have
// room. A request whose account is over its quota does not hold up others, nor does
// one that waits for a server at which it can meet its latency target.
func (s *Scheduler) fill(now Time, svc *service, free []*server) {
	if svc.queue.size == 0 || len(free) == 0 {
		return
	}
	s.refreshShares(now, svc)
	if s.policy.DemoteLate {
		for _, pq := range svc.queue.priorityQueues {
			pq.lateByRank = s.policy.BookReturns
			pq.demoteLate(now, svc.timeToFirstEvent.upperBound())
			pq.lateFirst = s.lateHaveRoom(now, svc, pq)
		}
	}
	s.preferCached(now, svc, free)
	c := s.candidates(now, svc, free)
	s.placeReserved(now, svc, c)
	s.fillUnderserved(now, svc, c)
	if len(c.free) > 0 {
		svc.queue.each(func(w *waiting) (drop, stop bool) { return s.tryPlace(now, svc, c, w), len(c.free) == 0 })
	}
}

// tryPlace places w at one of the candidates, if it may run, and reports whether it
// did.
func (s *Scheduler) tryPlace(now Time, svc *service, c *candidates, w *waiting) bool {
	if s.quotaWait(now, &w.Request) > 0 || s.heldBack(now, &w.Request) {
		return false
	}
	srv := s.choose(now, svc, c, &w.Request)
	if srv == nil {
		return false
	}
	s.place(now, svc, srv, w)
	c.onPlaced(now, svc, srv, srv.hasRoom(now, s.concurrencyLimit(svc, srv)))
	return true
}

// serversWithRoom lists servers that can take one more request now: all of a service of at most
// maxCandidates, otherwise those that a decision about r, or about any request if r is nil, should
// compare.
func (s *Scheduler) serversWithRoom(now Time, svc *service, r *Request) []*server {
	if index := s.indexOf(now, svc); index != nil {
		return index.candidates(now, r)
	}
	var free []*server
	svc.index.looks += len(svc.servers)
	for _, srv := range svc.servers {
		if srv.hasRoom(now, s.concurrencyLimit(svc, srv)) {
			free = append(free, srv)
		}
	}
	return free
}

// preferCached lets the only server with room choose among the first requests of each
// priority. A request whose prompt it has cached moves ahead by the time that
// prefilling the cached part is worth, and one whose holder has an idle connection to
// it by the cost of a new one. Under load a request cannot choose its server, and
// shared prompt parts would be prefilled again on each.
func (s *Scheduler) preferCached(now Time, svc *service, free []*server) {
	if !svc.Engine || len(free) != 1 {
		return
	}
	for _, pq := range svc.queue.priorityQueues {
		head := pq.onTime[:min(len(pq.onTime), s.policy.CacheChoiceWindow)]
		for _, w := range head {
			w.adjustedRank = w.rank - s.cacheMissCost(free[0].cache.cachedTokens(w.PromptParts))
			if free[0].idleConnections.hasIdle(now, w.Holder) {
				w.adjustedRank -= s.policy.ConnectCost
			}
		}
		slices.SortStableFunc(head, compareAdjustedRank)
	}
}

// cacheMissCost is the cost of prefilling tokens of a prompt again.
func (s *Scheduler) cacheMissCost(tokens int) time.Duration {
	return time.Duration(float64(tokens) * initialPrefillRatio * float64(defaultTokenTime) * s.policy.CacheMissWeight)
}

// concurrencyLimit is how many requests srv may have at once from this scheduler. A
// fraction of a slot is rounded by srv.roundingFraction, which differs between hosts: of many
// hosts that each have a tenth of a slot, about one in ten uses the server. If each used one
// slot, 72 hosts that have lost their home would fill a server of 6 slots twelve times
// over. A server that states a rate limit is shared by that limit instead, so each host
// may use it.
func (s *Scheduler) concurrencyLimit(svc *service, srv *server) int {
	slots := float64(s.openSlots(srv))
	if s.policy.Handovers && !srv.rejections.limited {
		slots += svc.handoverSlots(srv)
	}
	factor := s.policy.ConcurrencyFactor
	if srv.rejections.limited {
		if s.share.Servers < 1 {
			return s.standaloneLimit(srv, slots)
		}
		factor = min(1, factor) // it may let none wait
	}
	share := factor * s.share.Servers * slots
	n := int(share)
	if srv.roundingFraction < share-float64(n) || n == 0 && srv.pacer.limited() {
		n++
	}
	if s.share.Servers < 1 {
		n += s.runsOfLostHolders(srv)
	}
	return n
}

// runsOfLostHolders counts the runs at srv of other hosts that have left this scheduler. While it schedules
// alone they take nothing of its part: their holders schedule for themselves or follow another home.
func (s *Scheduler) runsOfLostHolders(srv *server) (n int) {
	if s.orphans == 0 {
		return 0
	}
	for _, r := range srv.runs {
		if r.orphan && r.req.Holder != s.owner {
			n++
		}
	}
	return n
}

// choose returns the candidate at which r costs least, nil when r does better to wait
// for another server. Under load usually only one server has room, and often a slow
// one: a request that takes the first one may be late there, or delay the requests
// next to it, for no gain. A server that does not meet the requirements of r is taken
// only if no other would, now or when it has room.
func (s *Scheduler) choose(now Time, svc *service, c *candidates, r *Request) *server {
	var best *server
	bestCost, bestFits := time.Duration(math.MaxInt64), false
	reqs := s.requirementsOf(now, svc, c.fastestUsable, r)
	if s.policy.RequireDeadline && reqs.deadlineUnreachable && c.contended(svc) {
		return nil
	}
	if !reqs.satisfiable(now, svc, c, r) {
		return nil
	}
	svc.index.looks += len(c.free)
	for _, srv := range c.free {
		if !srv.eligible(now, r) || !srv.hasMemory(svc, r) || s.hasConflictingSuspect(now, srv, r) {
			continue
		}
		fits := reqs.metBy(now, svc, srv, r)
		if bestFits && !fits {
			continue
		}
		cost := s.cost(now, svc, srv, r)
		if fits != bestFits || cost < bestCost {
			best, bestCost, bestFits = srv, cost, fits
		}
	}
	if !bestFits && reqs.worthWaiting {
		return nil
	}
	s.recordChoice(now, svc, c, r, best)
	return best
}

// cost is the predicted time to the first event, plus a fraction of the predicted total
// and penalties for the server's failures and its distance. Ending after the deadline
// costs more than anything else.
func (s *Scheduler) cost(now Time, svc *service, srv *server, r *Request) time.Duration {
	return s.costAt(now, svc, srv, r, s.costSlowdown(now, svc, srv, r))
}

// costAt is the cost of r at srv with a slowdown.
func (s *Scheduler) costAt(now Time, svc *service, srv *server, r *Request, slowdown float64) time.Duration {
	p := srv.predictAt(now, svc, r, slowdown)
	c := p.first + time.Duration(float64(p.total)*s.policy.TotalWeight)
	if now+p.total > r.Deadline {
		c += maxPredictedTime
	}
	if srv.Zone != r.Zone {
		c += crossZoneRTT
	}
	// A server that states a rate limit gets too few requests for connections to stay open,
	// and only its answers show when it accepts more.
	if !srv.idleConnections.hasIdle(now, r.Holder) && !srv.pacer.limited() {
		c += s.policy.ConnectCost
	}
	if svc.Engine {
		c += s.cacheMissCost(r.PromptTokens - srv.cache.cachedTokens(r.PromptParts))
	}
	penalty := s.policy.FailurePenalty
	if !svc.Engine {
		penalty = plainFailurePenalty
	}
	if r.Retry {
		penalty *= retryPenaltyFactor
	}
	return c + time.Duration(srv.failureRateAt(now)*float64(penalty)) + s.suspectCost(now, srv, r) + s.spread(srv, c)
}

func (s *Scheduler) place(now Time, svc *service, srv *server, w *waiting) {
	if b := s.accounts[w.Account]; b != nil {
		b.take(now, w.Units)
	}
	pq := svc.queue.priorityQueue(w.Priority)
	pq.placementRate.add(now)
	pq.sizeStats.served[w.class].add(now, 1)
	pq.allocated.add(now, svc.work(&w.Request))
	s.forecastPlacement(now, svc, pq, w)
	req := w.Request
	r := srv.start(now, svc, &req)
	srv.pacer.take(now)
	srv.takeSlot(r)
	if srv.load != nil {
		srv.load.triedAt = now
	}
	if v := svc.versions; v.trial != nil {
		v.trial.CountRequest(srv.Version == v.order.To)
	}
	r.class, r.countedAsServed = w.class, true
	r.charge = w.leaveShares(true)
	s.runs[w.Key] = r
	s.addCopies(w.Fingerprint, 1)
	s.isolate(now, svc, r)
	s.reindex(now, srv)
	if svc.large() {
		svc.index.byPart.use(w.PromptParts, srv)
	}
	s.recordOrigin(now, &w.Request, srv.Version)
	d := Decision{Key: w.Key, Server: srv.ID, Address: srv.Address, Version: srv.Version, Waited: now - w.submittedAt}
	if w.Resumed != nil {
		d.Source = w.Resumed.Source
	}
	d.ReportBegin = !s.traits.Empty() && s.traits.Tracks(traitsOf(r.req))
	s.out = append(s.out, d)
}

// Charge takes units from an account for what another host placed on its own, or returns
// them when units is below 0.
//
// A host that gets no answer from its home uses its own share of each quota, while the home
// goes on giving out the whole quota. A slow home repeatedly loses the hosts that use it,
// and without these charges accounts exceeded their limits by a twentieth. So what a host
// placed alone is charged here as soon as it uses the home again, and the account pays the
// debt back.
func (s *Scheduler) Charge(now Time, account string, units float64) {
	if b := s.accounts[account]; b != nil {
		b.charge(now, units)
	}
}

// quotaWait is how long the account of r has to wait until it may run.
func (s *Scheduler) quotaWait(now Time, r *Request) time.Duration {
	b := s.accounts[r.Account]
	if b == nil {
		return 0
	}
	return b.wait(now, r.Units)
}

// refuseOverdue refuses the requests that have waited for as long as they may.
func (s *Scheduler) refuseOverdue(now Time, svc *service) {
	svc.queue.each(func(w *waiting) (bool, bool) { return s.refuseIfOverdue(now, svc, w), false })
}

// quotaWaitInQueue is how long r would wait for its account's quota behind the requests of
// the account that go before it. A request that cannot get its quota in time is refused on
// arrival rather than after a useless wait.
func (s *Scheduler) quotaWaitInQueue(now Time, svc *service, r *Request) time.Duration {
	b := s.accounts[r.Account]
	if b == nil {
		return 0
	}
	ahead := 0.0
	svc.queue.each(func(w *waiting) (bool, bool) {
		if w.Account == r.Account && w.Priority <= r.Priority {
			ahead += w.Units
		}
		return false, w.Priority > r.Priority
	})
	return b.waitBehind(now, ahead, r.Units)
}

// hasFullQuotas reports whether this scheduler alone gives out the accounts' quotas.
//
// With a share of the quotas the levels of its buckets mean little. When all hosts start at
// once, each of 72 has a 72nd of each quota, less than one request needs, and accounts far
// below their limits would be refused until there is a home, half a second later. Their
// requests wait for the home instead.
func (s *Scheduler) hasFullQuotas() bool { return s.share.Quotas >= 1 }

func (s *Scheduler) maxQuotaWait(r *Request) time.Duration {
	return time.Duration(float64(r.Deadline-r.Arrived) * s.policy.MaxQuotaWaitShare)
}

// refuseIfOverdue refuses w when a longer wait would leave too little time for its run, or
// for one more attempt by its caller, and reports whether it did.
//
// The caller of a stream disconnects when it has waited too long for its first event. One
// that is told to retry before that has another attempt, and time to outlast a burst.
func (s *Scheduler) refuseIfOverdue(now Time, svc *service, w *waiting) bool {
	if s.verdict(now, &w.Request) == quarantine.Quarantined {
		s.refuseQuarantined(now, w)
		return true
	}
	if trait, found := s.quarantinedTrait(now, &w.Request); found {
		s.refuseForTrait(now, w, trait)
		return true
	}
	if quota := s.quotaWait(now, &w.Request); quota > 0 {
		return s.refuseIfOverQuota(now, w, quota)
	}
	if why, refused := s.whyNotResumed(now, svc, w); refused {
		svc.queue.priorityQueue(w.Priority).forecast.leaveBacklog(w)
		s.refuse(now, w, why, s.policy.RetryAfter)
		return true
	}
	since, maxWait := s.maxWait(svc, w)
	if now-since > maxWait {
		why := Overload
		if s.countUsable(now, svc) == 0 {
			why = NoServer
		}
		svc.queue.priorityQueue(w.Priority).forecast.leaveBacklog(w)
		s.refuse(now, w, why, s.retryAfter(now, w))
		return true
	}
	return false
}

// maxWait returns how long w may wait, and from when on.
func (s *Scheduler) maxWait(svc *service, w *waiting) (since Time, maxWait time.Duration) {
	since = w.Arrived
	if w.Retry {
		// The first run has used up time; this run has the time that is left.
		since = w.submittedAt
	}
	maxWait = time.Duration(float64(w.Deadline-since) * s.policy.MaxWaitShare)
	if w.returned == returnKept {
		maxWait = max(maxWait, s.keptWait(svc, w))
	}
	if w.CallerTimeoutAt > 0 {
		maxWait = min(maxWait, w.CallerTimeoutAt-svc.timeToFirstEvent.upperBound()-callerTimeoutMargin-since)
	}
	return since, maxWait
}

// refuseIfOverQuota refuses w when its account's quota, available after wait, comes too
// late, and reports whether it did.
func (s *Scheduler) refuseIfOverQuota(now Time, w *waiting, wait time.Duration) bool {
	after := max(wait, s.policy.RetryAfter)
	if !s.hasFullQuotas() {
		after, wait = s.retryAfter(now, w), 0
	}
	if now+wait-w.Arrived <= s.maxQuotaWait(&w.Request) {
		return false
	}
	s.refuse(now, w, Quota, after)
	return true
}

// retryAfter is the delay after which the caller of a request that found no room in time
// should retry.
func (s *Scheduler) retryAfter(now Time, w *waiting) time.Duration {
	if svc := s.services[w.Service]; svc != nil {
		if after, ok := s.bookReturn(now, svc, w); ok {
			return after
		}
	}
	return max(s.policy.RetryAfter, time.Duration(float64(w.Deadline-now)*s.policy.RetryAfterShare))
}
