package sched

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/gentianflow/gentianflow/internal/quarantine"
)

// fill places waiting requests while servers of free have room, the most urgent
// first. A request whose account is over its quota does not hold up others, nor
// does one that waits for a server at which it can be on time.
func (s *Scheduler) fill(now Time, svc *service, free []*server) {
	if svc.queue.size == 0 || len(free) == 0 {
		return
	}
	if s.policy.LateBehind {
		for _, l := range svc.queue.lanes {
			l.age(now, svc.lead.high())
		}
	}
	s.preferKept(now, svc, free)
	o := s.offer(now, svc, free)
	s.fillShort(now, svc, o)
	if len(o.free) > 0 {
		svc.queue.each(func(w *waiting) (drop, stop bool) { return s.try(now, svc, o, w), len(o.free) == 0 })
	}
}

// try places w at one of the servers offered, if it may run, and reports whether it
// did.
func (s *Scheduler) try(now Time, svc *service, o *offer, w *waiting) bool {
	if s.quotaWait(now, &w.Request) > 0 || s.heldBack(now, &w.Request) {
		return false
	}
	srv := s.choose(now, svc, o, &w.Request)
	if srv == nil {
		return false
	}
	s.place(now, svc, srv, w)
	o.taken(now, svc, srv, srv.hasRoom(now, s.places(svc, srv)))
	return true
}

// withRoom lists the servers that may take one more request now.
func (s *Scheduler) withRoom(now Time, svc *service) []*server {
	var free []*server
	for _, srv := range svc.servers {
		if srv.hasRoom(now, s.places(svc, srv)) {
			free = append(free, srv)
		}
	}
	return free
}

// preferKept lets the only server with room choose among the first requests of
// each lane: one whose prompt it keeps goes ahead of others by the time that
// reading the kept part is worth, one whose holder keeps a connection to it by what
// a new one is. Under load a request cannot choose its server, and shared parts
// would be read again on each.
func (s *Scheduler) preferKept(now Time, svc *service, free []*server) {
	if !svc.Engine || len(free) != 1 {
		return
	}
	for _, l := range svc.queue.lanes {
		first := l.fresh[:min(len(l.fresh), s.policy.ChoosesFrom)]
		for _, w := range first {
			w.order = w.rank - s.missCost(free[0].cache.held(w.Parts))
			if free[0].idleConnections.has(now, w.Holder) {
				w.order -= s.policy.ConnectCost
			}
		}
		slices.SortStableFunc(first, func(a, b *waiting) int { return cmp.Compare(a.order, b.order) })
	}
}

// missCost is what reading tokens of a prompt again is priced at.
func (s *Scheduler) missCost(tokens int) time.Duration {
	return time.Duration(float64(tokens) * firstReadShare * float64(defaultTokenTime) * s.policy.MissWeight)
}

// places is how many requests srv may have at once from this scheduler. A part
// of a place is met by lot: of many hosts that each have a tenth of a place,
// about one in ten uses the server. Were each to use one place, 72 hosts that
// have lost their home would fill a server of 6 places twelve times over. A server that
// names a limit is shared by that instead.
func (s *Scheduler) places(svc *service, srv *server) int {
	slots := float64(srv.Slots)
	if s.policy.Handovers {
		slots += svc.handoverPlaces(srv)
	}
	share := s.policy.Cap * s.share.Servers * slots
	n := int(share)
	if srv.hashFraction < share-float64(n) || n == 0 && srv.pacer.limited() {
		n++
	}
	return n
}

// choose returns the server of those offered at which r costs least, nil when it
// does better to wait for another. Under load only one server has room as a rule,
// and often a slow one: a request that takes the first of them may be late there, or
// make those beside it late, in vain. A server that r does not fit is taken only if
// it fits no other, now or when that has room.
func (s *Scheduler) choose(now Time, svc *service, o *offer, r *Request) *server {
	var best *server
	bestCost, bestFits := time.Duration(math.MaxInt64), false
	need := s.needs(now, svc, o.usable, r)
	if s.policy.EndsInTime && need.tooLate && o.contended(svc) {
		return nil
	}
	if !need.possible(now, svc, o, r) {
		return nil
	}
	for _, srv := range o.free {
		if !srv.eligible(now, r) || !srv.hasMemory(svc, r) || s.hasConflictingSuspect(srv, r) {
			continue
		}
		fits := need.met(now, svc, srv, r)
		if bestFits && !fits {
			continue
		}
		cost := s.cost(now, svc, srv, r)
		if fits != bestFits || cost < bestCost {
			best, bestCost, bestFits = srv, cost, fits
		}
	}
	if !bestFits && need.elsewhere {
		return nil
	}
	return best
}

// cost is the predicted first event, a part of the predicted end, and what
// the server's failures and its distance add. Ending after the deadline costs
// more than anything else.
func (s *Scheduler) cost(now Time, svc *service, srv *server, r *Request) time.Duration {
	p := srv.predict(now, svc, r)
	c := p.first + time.Duration(float64(p.total)*s.policy.TotalWeight)
	if now+p.total > r.Deadline {
		c += maxPredicted
	}
	if srv.Zone != r.Zone {
		c += crossZone
	}
	// A server that names a limit gets too little for connections to be kept, and only its
	// answers tell that it takes more.
	if !srv.idleConnections.has(now, r.Holder) && !srv.pacer.limited() {
		c += s.policy.ConnectCost
	}
	if svc.Engine {
		c += s.missCost(r.PromptTokens - srv.cache.held(r.Parts))
	}
	penalty := s.policy.FailurePenalty
	if !svc.Engine {
		penalty = plainPenalty
	}
	if r.Repeat {
		penalty *= repeatCare
	}
	return c + time.Duration(srv.failureShare(now)*float64(penalty)) + s.suspectCost(srv, r)
}

func (s *Scheduler) place(now Time, svc *service, srv *server, w *waiting) {
	if b := s.accounts[w.Account]; b != nil {
		b.take(now, w.Units)
	}
	lane := svc.queue.lane(w.Priority)
	lane.placed.add(now)
	lane.sizes.served[w.class].add(now, 1)
	lane.given.add(now, svc.work(&w.Request))
	req := w.Request
	placed := srv.start(now, svc, &req)
	srv.pacer.take(now)
	if v := svc.versions; v.trial != nil {
		v.trial.Reached(srv.Version == v.order.To)
	}
	placed.class, placed.countedAsServed = w.class, true
	s.runs[w.Key] = placed
	s.addCopies(w.Fingerprint, 1)
	if s.suspects.Recurrent(w.Fingerprint) {
		placed.isolated = true
		srv.isolatedRuns++
		svc.tried = now
	}
	s.out = append(s.out, Decision{Key: w.Key, Server: srv.ID, Address: srv.Address, Waited: now - w.asked})
}

// Charge takes units from an account for what another host placed by itself, or gives
// them back when they are below 0.
//
// Guard: a host whose home is silent has a part of each quota of its own, while the home
// goes on giving out the whole. A home that is slow loses its followers again and again,
// and accounts ran a twentieth more than their limits; so what hosts gave out alone is
// charged here as soon as they follow again, and the account pays it back.
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

// expire refuses what has waited as long as it may.
func (s *Scheduler) expire(now Time, svc *service) {
	svc.queue.each(func(w *waiting) (bool, bool) { return s.overdue(now, svc, w), false })
}

// quotaQueue is how long r would wait for its account's quota behind the
// requests of the account that go before it. Those that cannot get theirs in
// time are refused as they come and not after a wait that was in vain.
func (s *Scheduler) quotaQueue(now Time, svc *service, r *Request) time.Duration {
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

// wholeQuotas reports whether this scheduler gives out the accounts' quotas alone.
//
// Guard: with a part of them its buckets tell little. When all hosts start at once
// each has a 72nd, less than one request needs, and accounts far below their limits
// would be refused until there is a home, half a second later. Their requests wait
// for it instead.
func (s *Scheduler) wholeQuotas() bool { return s.share.Limits >= 1 }

func (s *Scheduler) longestQuotaWait(r *Request) time.Duration {
	return time.Duration(float64(r.Deadline-r.Arrived) * s.policy.QuotaWaitShare)
}

// overdue refuses w when waiting on would leave too little time for its run,
// or for one more try of its caller, and reports whether it did.
//
// Guard: the caller of a stream leaves without a word when it has waited too
// long for its first event. One that is told to come back before that has
// another try, and time to outlast a burst.
func (s *Scheduler) overdue(now Time, svc *service, w *waiting) bool {
	if s.standing(now, &w.Request) == quarantine.Quarantined {
		s.refuseQuarantined(now, w)
		return true
	}
	window := w.Deadline - w.Arrived
	if quota := s.quotaWait(now, &w.Request); quota > 0 {
		return s.overQuota(now, w, quota)
	}
	since := w.Arrived
	if w.Repeat {
		// Its first run has used up time; what is left is for this one.
		since = w.asked
		window = w.Deadline - since
	}
	longest := time.Duration(float64(window) * s.policy.WaitShare)
	if w.LeavesAt > 0 {
		longest = min(longest, w.LeavesAt-svc.lead.high()-leaveMargin-since)
	}
	if now-since > longest {
		why := Overload
		if !slices.ContainsFunc(svc.servers, func(srv *server) bool { return srv.usable(now) }) {
			why = NoServer
		}
		s.refuse(now, w, why, s.returnAfter(now, w))
		return true
	}
	return false
}

// overQuota refuses w when its account's quota, refilled after wait, comes too
// late, and reports whether it did.
func (s *Scheduler) overQuota(now Time, w *waiting, wait time.Duration) bool {
	after := max(wait, s.policy.RetryAfter)
	if !s.wholeQuotas() {
		after, wait = s.returnAfter(now, w), 0
	}
	if now+wait-w.Arrived <= s.longestQuotaWait(&w.Request) {
		return false
	}
	s.refuse(now, w, Quota, after)
	return true
}

// returnAfter is when the caller of a request that found no room in time should
// come back.
func (s *Scheduler) returnAfter(now Time, w *waiting) time.Duration {
	return max(s.policy.RetryAfter, time.Duration(float64(w.Deadline-now)*s.policy.ReturnShare))
}
