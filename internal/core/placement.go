package core

import (
	"math"
	"time"

	"github.com/gentianflow/gentianflow/internal/ident"
)

const maxTier = math.MaxInt

// tier returns the queue of a tier number and creates it on first use. Ranks
// follow the order of the tiers in use.
func (c *Cell) tier(number int) *tierQueue {
	at := len(c.tiers)
	for i, q := range c.tiers {
		if q.number == number {
			return q
		}
		if q.number > number {
			at = i
			break
		}
	}
	q := newTierQueue(number)
	c.tiers = append(c.tiers, nil)
	copy(c.tiers[at+1:], c.tiers[at:])
	c.tiers[at] = q
	c.rerank()
	return q
}

// rerank renumbers the tiers and rebuilds the servers' lists of cached groups.
func (c *Cell) rerank() {
	for i, q := range c.tiers {
		q.rank = i
	}
	for _, s := range c.servers {
		old := s.cachedGroups
		s.cachedGroups, s.cachedWaiting = nil, nil
		for _, groups := range old {
			for _, g := range groups {
				s.addCachedGroup(g)
			}
		}
	}
}

// hasRoom reports whether s may take one more request of a tier now.
func (c *Cell) hasRoom(s *server, rank int) bool {
	if !s.usable() {
		return false
	}
	reserve := c.policy.Headroom * rank
	if s.spec.MaxSequences < 4*reserve {
		reserve = 0 // a server with few slots cannot reserve any
	}
	if s.load()+1 > float64(s.spec.MaxSequences-reserve) {
		return false
	}
	limit := c.policy.UrgentPrefill
	if rank > 0 {
		limit = c.policy.BulkPrefill
	}
	return s.backlog(c.now) <= limit
}

// chooseServer returns the server with room and the lowest predicted cost for
// r. It returns nil when none has room or waiting for another server is
// cheaper. The cost is the predicted end; prefix tokens that another usable
// server has cached are priced at MissPrice, because a miss also evicts a
// prefix from a cache. For a full server the wait for a slot is added.
func (c *Cell) chooseServer(r *Request, rank int) *server {
	cachingServers := c.cachingServers[r.Prefix]
	c.currentHitMark++
	for _, s := range cachingServers {
		s.cacheHitMark = c.currentHitMark
	}
	var best *server
	bestCost, bestFullCost := time.Duration(math.MaxInt64), time.Duration(math.MaxInt64)
	for _, s := range c.servers {
		if !s.usable() {
			continue
		}
		cost := c.cost(s, r, len(cachingServers) > 0)
		if !c.hasRoom(s, rank) {
			bestFullCost = min(bestFullCost, cost+c.waitForSlot(s, rank))
			continue
		}
		if cost < bestCost {
			best, bestCost = s, cost
		}
	}
	if bestFullCost < bestCost {
		return nil
	}
	return best
}

// cost predicts r's end on s and adds the prices of a miss and of the prefixes
// it evicts. Both are priced at speed 1, because they cost the cell cache
// space, which does not depend on the speed of s.
func (c *Cell) cost(s *server, r *Request, cachedElsewhere bool) time.Duration {
	if s.cacheHitMark == c.currentHitMark {
		return s.predictMiss(c.now, r, max(1, r.PromptTokens-r.PrefixTokens)).total
	}
	cost := s.predictMiss(c.now, r, r.PromptTokens).total
	if r.PrefixTokens == 0 {
		return cost
	}
	price := time.Duration(0)
	if cachedElsewhere {
		price = prefillAtUnitSpeed(r.PrefixTokens, c.policy.MissPrice)
	}
	evicted := s.cache.evictedTokens(r.PromptTokens, s.spec.CacheTokens)
	price += prefillAtUnitSpeed(evicted, c.policy.EvictPrice)
	// The price can delay the request in order to save compute, so it is limited
	// to a share of the time left until the deadline.
	maxPrice := time.Duration(float64(r.Deadline.Sub(c.now)) * c.policy.MaxPriceShare)
	return cost + min(price, max(0, maxPrice))
}

// prefillAtUnitSpeed returns the prefill time of tokens at speed 1, times a
// price.
func prefillAtUnitSpeed(tokens int, price float64) time.Duration {
	return time.Duration(float64(prefillStepTime) * float64(tokens) / chunkTokens * price)
}

// waitForSlot estimates how long a request of a tier waits for s. It assumes
// that the running requests end at even intervals, and that the waiting requests
// of this tier and those above it whose prefix s has cached take slots first.
func (c *Cell) waitForSlot(s *server, rank int) time.Duration {
	ahead := 1
	for i := 0; i <= rank && i < len(s.cachedWaiting); i++ {
		ahead += s.cachedWaiting[i]
	}
	n := max(1, len(s.runs))
	remaining := max(0, (s.predictedEndSum - c.now*Time(n)).Sub(0))
	mean := remaining / time.Duration(n)
	return s.backlog(c.now) + mean*time.Duration(ahead)/time.Duration(n)
}

// enqueue grants a request at once if a server is chosen, else queues it.
func (c *Cell) enqueue(it *item) {
	q := c.tier(it.req.Tier)
	if c.grantsEnabled && c.mayGrant(it.req.Holder) {
		if s := c.chooseServer(&it.req, q.rank); s != nil {
			q.flows.Advance(it.startTag)
			c.grant(s, it)
			return
		}
	}
	c.addWaiting(q, it)
}

func (c *Cell) addWaiting(q *tierQueue, it *item) {
	it.aged = false
	it.timerAt = c.agesAt(it, false)
	if it.timerAt > c.latestStart(&it.req) {
		it.timerAt = c.latestStart(&it.req)
	}
	q.add(it, c.cachingServers[it.req.Prefix])
	q.queuedWork += c.workOf(&it.req)
	c.timers.push(it)
	c.waitCount++
}

// removeWaiting removes a waiting item from all indexes.
func (c *Cell) removeWaiting(it *item) {
	q := it.group.tier
	q.drop(it)
	q.queuedWork = max(0, q.queuedWork-c.workOf(&it.req))
	c.timers.remove(it.timerIndex)
	c.waitCount--
}

// agesAt returns when a request becomes aged. isCached is set when some server
// has its prefix cached.
func (c *Cell) agesAt(it *item, isCached bool) Time {
	share := c.policy.UncachedAgeShare
	if isCached {
		share = c.policy.CachedAgeShare
	}
	return it.arrived.Add(time.Duration(float64(it.req.Deadline.Sub(it.arrived)) * share))
}

// workOf returns a request's work in seconds at speed 1, as if its prefix were
// not cached.
func (c *Cell) workOf(r *Request) float64 {
	prefill := float64(r.PromptTokens) / chunkTokens * prefillStepTime.Seconds()
	return prefill + float64(r.OutputTokens)*stepTimePerSequence.Seconds() + plainCallTime.Seconds()
}

// fillAll fills the free slots of all servers.
func (c *Cell) fillAll() {
	if c.waitCount == 0 {
		return
	}
	for _, s := range c.servers {
		c.fill(s)
	}
}

// fill grants waiting requests to s while it has room, the most urgent tier
// first.
func (c *Cell) fill(s *server) {
	if !c.grantsEnabled {
		return
	}
	for c.waitCount > 0 {
		it := c.pick(s)
		if it == nil {
			return
		}
		c.removeWaiting(it)
		if !c.mayGrant(it.req.Holder) {
			c.parked = append(c.parked, it)
			continue
		}
		it.group.tier.flows.Advance(it.startTag)
		c.grant(s, it)
	}
}

// pick returns the next request for s.
func (c *Cell) pick(s *server) *item {
	for _, q := range c.tiers {
		if q.len() == 0 {
			continue
		}
		if !c.hasRoom(s, q.rank) {
			return nil // lower tiers have even less room
		}
		if it := c.pickFromTier(s, q); it != nil {
			return it
		}
	}
	return nil
}

// pickFromTier returns the request of a tier that s takes now: the candidate or,
// if that would miss its deadline, the newest request if that one can meet its
// own. It returns nil if neither can.
func (c *Cell) pickFromTier(s *server, q *tierQueue) *item {
	it := c.candidate(s, q)
	if it == nil || c.meetsDeadline(s, it) {
		return it
	}
	// The candidate is too late for this server; a faster one may still take
	// it. The newest request has the most time left.
	newest := q.shedOrder.min()
	cachedElsewhere := len(newest.group.cachingServers) > 0 && !s.cache.contains(newest.req.Prefix)
	if !cachedElsewhere && c.meetsDeadline(s, newest) {
		return newest
	}
	return nil
}

// meetsDeadline reports whether a request would end within its deadline if s
// were granted it now. A request that starts too late wastes prefill and
// tokens.
func (c *Cell) meetsDeadline(s *server, it *item) bool {
	return c.now.Add(s.predict(c.now, &it.req).total) <= it.req.Deadline
}

// candidate returns the request that s would take regardless of deadlines. With
// PickCached, the order is:
//
//  1. an aged request whose prefix no server has cached, within the server's
//     miss budget and if no request of 2 has an earlier start tag;
//  2. a request whose prefix s has cached;
//  3. a request whose prefix no server has cached;
//  4. an aged request whose prefix another server has cached, within the miss
//     budget.
//
// Only 4 recomputes a prefix that is cached elsewhere, and only when s has
// nothing else to do in the tier. So no request waits forever, and caches are
// not overwritten just when work is scarce.
func (c *Cell) candidate(s *server, q *tierQueue) *item {
	if !c.policy.PickCached {
		return q.first()
	}
	cached := s.firstCached(q.rank)
	aged := q.firstAged(s)
	missAllowed := c.now >= s.noAgedMissUntil || s.load() == 0
	if aged != nil && missAllowed && len(aged.group.cachingServers) == 0 && (cached == nil || aged.before(cached)) {
		return aged
	}
	if cached != nil {
		return cached
	}
	if q.uncached.len() > 0 {
		return q.uncached.min().head()
	}
	if missAllowed {
		return aged
	}
	return nil
}

// firstAged returns the aged request with the earliest start tag, those whose
// prefix no server has cached first. A request whose prefix is now cached
// at another server moves to agedCached.
func (q *tierQueue) firstAged(s *server) *item {
	for q.aged.len() > 0 {
		it := q.aged.min()
		if len(it.group.cachingServers) == 0 || s.cache.contains(it.req.Prefix) {
			return it
		}
		q.aged.remove(it.agedIndex)
		q.agedCached.push(it)
	}
	if q.agedCached.len() > 0 {
		return q.agedCached.min()
	}
	return nil
}

// first returns the request with the earliest start tag in the tier.
func (q *tierQueue) first() *item {
	var best *item
	for _, it := range q.shedOrder.items {
		if best == nil || it.before(best) {
			best = it
		}
	}
	return best
}

// grant starts a run at s and sends the grant to the holder.
func (c *Cell) grant(s *server, it *item) {
	r := &it.req
	if !s.cache.contains(r.Prefix) && it.aged {
		cost := s.prefillTime(r.PrefixTokens, s.load())
		s.noAgedMissUntil = c.now.Add(time.Duration(float64(cost) * c.policy.MissBudget))
	}
	run := s.start(c.now, it)
	c.recordUse(c.now, s, r)
	c.ledger.granted(c.now, r, run)
	c.emit(Action{
		Kind: Grant, To: r.Holder, ID: r.ID, Server: s.id(), Attempt: r.Attempt,
		ValidUntil: c.sessions[r.Holder].stamp + Stamp(GrantTTL),
	})
}

// mayGrant reports whether the stamp of a holder is fresh enough for a grant.
func (c *Cell) mayGrant(h ident.Incarnation) bool {
	s := c.sessions[h]
	return s != nil && s.reported && c.now.Sub(s.heardAt) < MaxStampAge
}

// finished closes a run and fills its slot.
func (c *Cell) finished(e Finished) {
	entry := c.ledger.get(e.ID)
	if entry == nil || entry.holder != e.Holder {
		return
	}
	run := entry.run
	c.ledger.done(c.now, entry)
	if run == nil {
		return
	}
	run.server.learn(c.now, run, e)
	run.server.finish(c.now, run)
	c.fill(run.server)
}

// returned takes back an unused grant. The request keeps its start tag and so
// its position in the queue.
func (c *Cell) returned(e Returned) {
	entry := c.ledger.get(e.ID)
	if entry == nil || entry.holder != e.Holder || entry.run == nil {
		return
	}
	run := entry.run
	entry.run = nil
	run.server.finish(c.now, run)
	if e.ServerFailed {
		c.signal(run.server.id(), SignalFail)
	}
	if run.item.req.Tier == 0 {
		// The request is known only from a report; its holder registers it again.
		c.ledger.forget(e.ID)
		c.fill(run.server)
		return
	}
	c.ledger.waiting(c.now, run.item)
	c.enqueue(run.item)
}
