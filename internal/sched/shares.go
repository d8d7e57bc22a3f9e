package sched

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/gentianflow/gentianflow/internal/fairshare"
)

// With Policy.AccountShares the accounts that have requests waiting in a priority share the time
// that the servers spend on it, max-min fairly by work. Each request has a start tag of start-time
// fair queuing (package fairshare). A request whose account's turn has not come is ranked at the
// time at which it is expected to come, all others are ranked as without shares. The rank only
// orders requests, so no slot stays idle for it.

const (
	// turnTolerance is the time until an account's turn below which a request keeps its place by
	// arrival. Requests of an account within its share come in small bursts; the shortest latency
	// target is 300 ms, so a request that goes before others by this much makes none of them late.
	turnTolerance = 50 * time.Millisecond
	// maxTurn bounds the expected time until a turn. Few requests wait for longer.
	maxTurn = 30 * time.Second
	// shareRefreshInterval is how often the turns of waiting requests are computed again. Between
	// two refreshes the order of their tags stays as it is; only their place among new arrivals
	// is out of date.
	shareRefreshInterval = 10 * time.Millisecond
	// shareRefreshPerRequest is added for each waiting request, of which a refresh takes a tenth of a
	// microsecond: refreshes then take at most about a hundredth of the time.
	shareRefreshPerRequest = 10 * time.Microsecond
	// shareLearningTime is how long the rate of a new priority queue is taken from the servers rather
	// than from the moving average over serverTimeDecay, which starts at 0.
	shareLearningTime = time.Second
	// minShareRate is the minimum assumed rate at which work is placed, as a fraction of the
	// servers' time. After a pause the average is near 0, and turns would seem to be far off.
	minShareRate = 0.1
	// minShareWeight bounds the weight of an account with a small quota, relative to the mean, so
	// that its requests get a turn before they are refused.
	minShareWeight = 0.01
	// overShareTurn is the time until the turn of an account's next request above which the account
	// counts as over its share.
	overShareTurn = 100 * time.Millisecond
	// shareChangeInterval is the minimum time between two reported changes of an account, and
	// maxShareChanges the number of changes that a scheduler reports within it.
	shareChangeInterval = time.Second
	maxShareChanges     = 16
	// minAskedAge is the least time, in multiples of serverTimeDecay, over which demand is averaged.
	minAskedAge = 0.05
	// maxOverShare bounds the accounts of a priority that are recorded as over their share.
	maxOverShare = 256
)

// accountShares is the state of the accounts' shares in a priority queue.
type accountShares struct {
	flows       *fairshare.Flows[string]
	queues      map[string]*accountQueue // of the accounts with waiting requests
	pending     int                      // waiting requests whose turn has not come
	overQuota   int                      // waiting requests of accounts that are over their quota
	progress    serverTime               // of the virtual time
	lastVirtual float64                  // virtual time that progress covers
	weight      float64                  // of the accounts with waiting requests that are within their quota
	since       Time
	nextRefresh Time
	refreshes   uint64
	over        map[string]*overShare
	sorted      []*waiting // buffer of byBase
}

// accountQueue is what waits of one account in a priority.
type accountQueue struct {
	shares    *accountShares
	flow      *fairshare.Flow[string]
	weight    float64
	late      float64 // cost of the requests in priorityQueue.late
	overQuota bool
	asked     serverTime // work of the requests submitted since askedAt
	askedAt   Time
	refresh   uint64  // number of the refresh that cursor belongs to
	cursor    float64 // start tag of the next request in the current refresh
}

// shareEntry is a waiting request's part in the shares.
type shareEntry struct {
	queue   *accountQueue // nil without shares
	cost    float64       // work divided by the account's weight
	start   float64       // start tag
	base    Time          // rank without shares; orders the requests of an account
	charged bool          // it waits, and its cost is part of the flow
	pending bool          // the account's turn has not come
	late    bool          // it is in priorityQueue.late
	ahead   int           // requests before it when it arrived, if it was considered for early rejection
}

// shareCharge is what a run was charged to its account.
type shareCharge struct {
	shares *accountShares // nil without shares
	flow   *fairshare.Flow[string]
	cost   float64
}

// overShare records an account that asks for more than its share.
type overShare struct {
	lastSeen Time // when it last did
	changed  Time // when the last change was reported
	reported bool // as over its share
}

// ShareChange reports that an account started or stopped asking for more than its share.
type ShareChange struct {
	Service  string
	Priority int
	Account  string
	Over     bool
	Asked    float64 // seconds of server time a second
	Share    float64 // seconds of server time a second
}

// ShareStats describes the shares of accounts over all services.
type ShareStats struct {
	Accounts int           // with requests waiting, running or ahead of the virtual time, by priority
	Waiting  int           // accounts with waiting requests, by priority
	Over     int           // accounts over their share, by priority
	Error    time.Duration // the largest difference of server time between two waiting accounts of weight 1
}

// ShareStats returns the state of the accounts' shares.
func (s *Scheduler) ShareStats() (st ShareStats) {
	for _, svc := range s.services {
		for _, pq := range svc.queue.priorityQueues {
			x := pq.shares
			if x == nil {
				continue
			}
			st.Accounts += x.flows.Len()
			st.Waiting += len(x.queues)
			for _, o := range x.over {
				if o.reported {
					st.Over++
				}
			}
			st.Error = max(st.Error, time.Duration(x.flows.Error()*float64(time.Second)))
		}
	}
	return st
}

// TakeShareChanges returns the changes since the last call.
func (s *Scheduler) TakeShareChanges() []ShareChange {
	out := s.shareChanges
	s.shareChanges = nil
	return out
}

// shareWeight is an account's weight: its quota relative to the mean quota, or 1.
func (s *Scheduler) shareWeight(account string) float64 {
	if w := s.shareWeights[account]; w > 0 && s.policy.QuotaWeights {
		return w
	}
	return 1
}

// setShareWeights computes the weights of the accounts from their quotas. Requests that wait keep
// the cost that they were charged.
func (s *Scheduler) setShareWeights(accounts []Account) {
	sum, n := 0.0, 0
	for _, a := range accounts {
		if a.Rate > 0 {
			sum, n = sum+a.Rate, n+1
		}
	}
	s.shareWeights = map[string]float64{}
	for _, a := range accounts {
		if a.Rate > 0 {
			s.shareWeights[a.Name] = max(minShareWeight, a.Rate*float64(n)/sum)
		}
	}
	for _, svc := range s.services {
		for _, pq := range svc.queue.priorityQueues {
			if pq.shares != nil {
				pq.shares.reweight(s.shareWeight)
			}
		}
	}
}

func (x *accountShares) reweight(weight func(string) float64) {
	for account, q := range x.queues {
		x.addWeight(q, -q.weight)
		q.weight = weight(account)
		x.addWeight(q, q.weight)
	}
}

// addWeight adds to the weight of the accounts that compete, unless q is over its quota.
func (x *accountShares) addWeight(q *accountQueue, weight float64) {
	if !q.overQuota {
		x.weight += weight
	}
}

// enterShares charges w, which is about to wait in pq, to its account. It returns the rank of w,
// which is base unless the account's turn has yet to come.
func (s *Scheduler) enterShares(now Time, svc *service, pq *priorityQueue, w *waiting, base Time) (rank Time) {
	if !s.policy.AccountShares {
		return base
	}
	x := pq.sharesAt(now)
	work := svc.work(&w.Request)
	q := x.queues[w.Account]
	if q == nil {
		q = &accountQueue{shares: x, weight: s.shareWeight(w.Account), askedAt: now}
		x.queues[w.Account] = q
		x.addWeight(q, q.weight)
	}
	q.asked.add(now, work)
	e := &w.share
	*e = shareEntry{queue: q, cost: work.Seconds() / q.weight, base: base, charged: true}
	q.flow, e.start = x.flows.Enqueue(w.Account, e.cost)
	e.start -= q.late // late requests wait behind those that can be on time
	if q.overQuota {
		x.overQuota++
	}
	x.setOverQuota(q, s.quotaWait(now, &w.Request) > 0)
	rate := s.shareRate(now, svc, pq)
	if x.turn(e.start, rate) <= turnTolerance {
		return base
	}
	e.pending = true
	x.pending++
	e.start -= pq.costBehind(w)
	return now + x.turn(e.start, rate)
}

// costBehind is the cost of the requests of w's account that w overtakes: those that can be on
// time and go after w by the rank without shares.
func (pq *priorityQueue) costBehind(w *waiting) (cost float64) {
	for _, other := range pq.onTime {
		if e := &other.share; e.queue == w.share.queue && e.pending && e.base > w.share.base {
			cost += e.cost
		}
	}
	return cost
}

// sharesAt returns the shares of pq and creates them on first use.
func (pq *priorityQueue) sharesAt(now Time) *accountShares {
	if pq.shares == nil {
		pq.shares = &accountShares{flows: fairshare.New[string](), queues: map[string]*accountQueue{}, over: map[string]*overShare{}, since: now}
	}
	return pq.shares
}

// shareRate is the expected progress of the virtual time a second: the work that is placed a
// second, divided by the weight of the accounts that compete for it, and not above the progress
// of the last seconds. The latter includes what accounts within their share take, of which little
// waits at any moment; the former follows at once when several accounts start to compete.
func (s *Scheduler) shareRate(now Time, svc *service, pq *priorityQueue) float64 {
	x := pq.shares
	least := float64(max(1, len(svc.servers))) * s.share.Servers
	learned := x.learned(now)
	if learned {
		least *= minShareRate
	}
	x.observe(now)
	rate := max(least, pq.allocated.valueAt(now)/serverTimeDecay.Seconds()) / max(1, x.weight)
	if progress := x.progress.valueAt(now) / serverTimeDecay.Seconds(); learned && progress > 0 {
		rate = min(rate, max(progress, least/max(1, x.weight)))
	}
	return rate
}

// learned reports whether the moving averages cover enough time.
func (x *accountShares) learned(now Time) bool { return now-x.since >= shareLearningTime }

// observe adds the progress of the virtual time since the last call to its moving average.
func (x *accountShares) observe(now Time) {
	if v := x.flows.VirtualTime(); v > x.lastVirtual {
		x.progress.add(now, time.Duration((v-x.lastVirtual)*float64(time.Second)))
		x.lastVirtual = v
	}
}

// turn is the expected time until a start tag is reached.
func (x *accountShares) turn(start, rate float64) time.Duration {
	left := (start - x.flows.Next()) / rate * float64(time.Second)
	return time.Duration(max(0, min(left, float64(maxTurn))))
}

func (x *accountShares) setOverQuota(q *accountQueue, over bool) {
	if q.overQuota == over {
		return
	}
	_, requests := q.flow.Waiting()
	if over {
		x.weight -= q.weight
		x.overQuota += requests
		x.flows.Suspend(q.flow)
	} else {
		x.weight += q.weight
		x.overQuota -= requests
		x.flows.Resume(q.flow)
	}
	q.overQuota = over
}

// leaveShares takes w out of its account's waiting requests. The cost of a request that is placed
// stays charged; otherwise it is refunded.
func (w *waiting) leaveShares(placed bool) (charge shareCharge) {
	e := &w.share
	if !e.charged {
		return shareCharge{}
	}
	e.charged = false
	q := e.queue
	x := q.shares
	if e.pending {
		e.pending = false
		x.pending--
	}
	if e.late {
		q.late -= e.cost
	}
	if q.overQuota {
		x.overQuota--
	}
	if placed {
		x.flows.Place(q.flow, e.cost)
		charge = shareCharge{shares: x, flow: q.flow, cost: e.cost}
	} else {
		x.flows.Cancel(q.flow, e.cost)
	}
	if _, requests := q.flow.Waiting(); requests == 0 {
		x.addWeight(q, -q.weight)
		if len(x.queues) == 1 {
			x.weight = 0 // rounding errors don't add up
		}
		delete(x.queues, w.Account)
	}
	return charge
}

// end ends the charge of a run that used the given multiple of what it was charged for.
func (c *shareCharge) end(used float64) {
	if c.shares != nil {
		c.shares.flows.End(c.flow, c.cost*(used-1))
		c.shares = nil
	}
}

// settle ends the charge of a run by the output tokens that it really had.
func (s *Scheduler) settle(svc *service, r *run, o Outcome) {
	switch {
	case o.Result.NotRun():
		r.charge.end(0)
	case svc != nil && o.OutputTokens > 0 && svc.work(r.req) > 0:
		real := *r.req
		real.OutputTokens = o.OutputTokens
		r.charge.end(float64(svc.work(&real)) / float64(svc.work(r.req)))
	}
}

// adoptCharge charges the account of an adopted run for the part of it that is still to run.
func (s *Scheduler) adoptCharge(now Time, svc *service, r *run, priority int, remaining float64) {
	if !s.policy.AccountShares || priority < 0 {
		return
	}
	pq := svc.queue.priorityQueue(priority)
	x := pq.sharesAt(now)
	cost := svc.work(r.req).Seconds() / s.shareWeight(r.req.Account) * min(1, max(0, remaining))
	r.charge = shareCharge{shares: x, flow: x.flows.Adopt(r.req.Account, cost), cost: cost}
}

// refreshShares computes the turns of the waiting requests of a service again.
func (s *Scheduler) refreshShares(now Time, svc *service) {
	if !s.policy.AccountShares {
		return
	}
	for _, pq := range svc.queue.priorityQueues {
		if x := pq.shares; x != nil && now >= x.nextRefresh {
			x.nextRefresh = now + shareRefreshInterval + time.Duration(len(pq.onTime)+len(pq.late))*shareRefreshPerRequest
			s.refreshQueue(now, svc, pq)
			s.reportShares(now, svc, pq)
		}
	}
}

func (s *Scheduler) refreshQueue(now Time, svc *service, pq *priorityQueue) {
	x := pq.shares
	x.refreshes++
	x.observe(now)
	if len(x.queues) == 0 {
		return
	}
	for _, list := range [...][]*waiting{pq.onTime, pq.late} {
		for _, w := range list {
			if q := w.share.queue; q.refresh != x.refreshes {
				x.setOverQuota(q, s.quotaWait(now, &w.Request) > 0)
				q.refresh, q.cursor = x.refreshes, q.flow.Head()
			}
		}
	}
	if x.pending == 0 {
		return
	}
	rate := s.shareRate(now, svc, pq)
	for i, list := range [...][]*waiting{pq.onTime, pq.late} {
		for _, w := range x.byBase(list) {
			e := &w.share
			e.start = e.queue.cursor
			e.queue.cursor += e.cost
			if !e.pending {
				continue
			}
			turn := x.turn(e.start, rate)
			if i == 0 && turn > overShareTurn && !e.queue.overQuota {
				x.overSeen(now, w.Account)
			}
			w.rank = now + turn
			if turn == 0 && !e.queue.overQuota {
				e.pending = false
				x.pending--
			}
		}
	}
	slices.SortStableFunc(pq.onTime, compareRank)
	slices.SortStableFunc(pq.late, compareRank)
}

// byBase returns the requests in the order that they have without shares. Of an account's requests
// the first in this order has the first turn. The result is valid until the next call.
func (x *accountShares) byBase(list []*waiting) []*waiting {
	x.sorted = append(x.sorted[:0], list...)
	slices.SortStableFunc(x.sorted, func(a, b *waiting) int { return cmp.Compare(a.share.base, b.share.base) })
	return x.sorted
}

// compareRank orders requests by rank, those whose account's turn has not come behind the others.
// Their rank is their turn without longAnswerDelay, which orders the requests of one account. Otherwise
// the long answers of one account would be moved behind the short ones of an account that asks for more.
func compareRank(a, b *waiting) int {
	return cmp.Or(comparePending(a, b), cmp.Compare(a.rank, b.rank))
}

// compareAdjustedRank is compareRank for the server that chooses; see preferCached.
func compareAdjustedRank(a, b *waiting) int {
	return cmp.Or(comparePending(a, b), cmp.Compare(a.adjustedRank, b.adjustedRank))
}

func comparePending(a, b *waiting) int {
	switch {
	case a.share.pending == b.share.pending:
		return 0
	case a.share.pending:
		return 1
	}
	return -1
}

// overSeen records that an account asks for more than its share.
func (x *accountShares) overSeen(now Time, account string) {
	o := x.over[account]
	if o == nil {
		if len(x.over) >= maxOverShare {
			return
		}
		o = &overShare{changed: now - shareChangeInterval}
		x.over[account] = o
	}
	o.lastSeen = now
}

// reportShares reports the accounts that started or stopped asking for more than their share.
func (s *Scheduler) reportShares(now Time, svc *service, pq *priorityQueue) {
	x := pq.shares
	if len(x.over) == 0 {
		return
	}
	for _, account := range slices.Sorted(maps.Keys(x.over)) {
		o := x.over[account]
		over := now-o.lastSeen < shareChangeInterval
		if over == o.reported {
			if !over && now-o.changed >= shareChangeInterval {
				delete(x.over, account)
			}
			continue
		}
		if now-o.changed < shareChangeInterval || !s.takeShareChange(now) {
			continue
		}
		o.changed, o.reported = now, over
		c := ShareChange{Service: svc.Name, Priority: pq.priority, Account: account, Over: over, Share: s.shareRate(now, svc, pq) * s.shareWeight(account)}
		if q := x.queues[account]; q != nil {
			c.Asked = q.askedRate(now)
		}
		s.shareChanges = append(s.shareChanges, c)
	}
}

// askedRate is the work that the account has asked for a second, over about serverTimeDecay or since
// its queue has been in use.
func (q *accountQueue) askedRate(now Time) float64 {
	age := float64(now-q.askedAt) / float64(serverTimeDecay)
	return q.asked.valueAt(now) / serverTimeDecay.Seconds() / (1 - math.Exp(-max(minAskedAge, age)))
}

// takeShareChange reports whether one more change may be reported now.
func (s *Scheduler) takeShareChange(now Time) bool {
	if now-s.shareChangesSince >= shareChangeInterval {
		s.shareChangesSince, s.shareChangeCount = now, 0
	}
	s.shareChangeCount++
	return s.shareChangeCount <= maxShareChanges
}

// ahead returns how many requests go before w in the order of pq, without those that wait for
// their account's quota.
func (pq *priorityQueue) ahead(w *waiting) (n int) {
	if pq.shares == nil || pq.shares.overQuota == 0 {
		return slices.Index(pq.onTime, w)
	}
	for _, other := range pq.onTime {
		if other == w {
			break
		}
		if !other.share.queue.overQuota {
			n++
		}
	}
	return n
}

// waitingWithinQuota returns the number of waiting requests, without those that wait for their
// account's quota.
func (pq *priorityQueue) waitingWithinQuota() int {
	n := len(pq.onTime) + len(pq.late)
	if pq.shares != nil {
		n -= pq.shares.overQuota
	}
	return n
}

// explainShare describes for logs what the account's share meant for w, empty without shares.
func (s *Scheduler) explainShare(now Time, svc *service, w *waiting) string {
	q := w.share.queue
	if q == nil || svc == nil {
		return ""
	}
	pq := svc.queue.priorityQueue(w.Priority)
	cost, requests := q.flow.Waiting()
	rate := s.shareRate(now, svc, pq)
	turn := q.shares.turn(q.flow.Finish()-q.late, rate)
	text := fmt.Sprintf("backlog=%.2fs/%d turn=%s share=%.2f/s accounts=%d", cost*q.weight, requests, turn.Round(time.Millisecond), rate*q.weight, len(q.shares.queues))
	if w.share.ahead > 0 {
		text += fmt.Sprintf(" ahead=%d", w.share.ahead)
	}
	if q.overQuota {
		text += " over_quota"
	}
	return text
}
