package core

import (
	"math"
	"time"

	"github.com/gentianflow/gentianflow/internal/ident"
)

const maxTier = math.MaxInt

// tier returns the queue of a tier number, made on first use. Ranks follow
// the order of the tiers in use.
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

// rerank numbers the tiers anew and moves the servers' ready lists along.
func (c *Cell) rerank() {
	for i, q := range c.tiers {
		q.rank = i
	}
	for _, s := range c.servers {
		old := s.ready
		s.ready, s.readyItems = nil, nil
		for _, groups := range old {
			for _, g := range groups {
				s.addReady(g)
			}
		}
	}
}

// room reports whether s may take one more request of a tier now.
func (c *Cell) room(s *server, rank int) bool {
	if !s.usable() {
		return false
	}
	reserve := c.policy.Headroom * rank
	if s.spec.MaxSequences < 4*reserve {
		reserve = 0 // a server with few places cannot spare any
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

// choose returns the server with room and the least predicted cost for r, or
// nil when waiting for another server is cheaper or none has room. Cost is
// the predicted end, with prefix tokens priced at MissPrice when another
// usable server holds them: a miss there also pushes a prefix out of a
// cache. A full server costs the wait for a place as well.
func (c *Cell) choose(r *Request, rank int) *server {
	holders := c.holders[r.Prefix]
	c.markNow++
	for _, s := range holders {
		s.heldMark = c.markNow
	}
	var best *server
	bestCost, bestFull := time.Duration(math.MaxInt64), time.Duration(math.MaxInt64)
	for _, s := range c.servers {
		if !s.usable() {
			continue
		}
		cost := c.cost(s, r, len(holders) > 0)
		if !c.room(s, rank) {
			bestFull = min(bestFull, cost+c.waitForPlace(s, rank))
			continue
		}
		if cost < bestCost {
			best, bestCost = s, cost
		}
	}
	if bestFull < bestCost {
		return nil
	}
	return best
}

// cost predicts r's end on s, with a miss and what it pushes out at their
// prices. Both are priced at speed 1: what they cost the cell is cache room,
// which has nothing to do with the speed of s.
func (c *Cell) cost(s *server, r *Request, held bool) time.Duration {
	if s.heldMark == c.markNow {
		return s.predictMiss(c.now, r, max(1, r.PromptTokens-r.PrefixTokens)).total
	}
	cost := s.predictMiss(c.now, r, r.PromptTokens).total
	if r.PrefixTokens == 0 {
		return cost
	}
	price := time.Duration(0)
	if held {
		price = computeAtOne(r.PrefixTokens, c.policy.MissPrice)
	}
	lost := s.cache.pushedOut(r.PromptTokens, s.spec.CacheTokens)
	price += computeAtOne(lost, c.policy.EvictPrice)
	// The caller waits for what the cell saves, so its deadline bounds it.
	most := time.Duration(float64(r.Deadline.Sub(c.now)) * c.policy.PriceShare)
	return cost + min(price, max(0, most))
}

// computeAtOne is the prefill of tokens at speed 1, times a price.
func computeAtOne(tokens int, price float64) time.Duration {
	return time.Duration(float64(prefillStep) * float64(tokens) / chunkTokens * price)
}

// waitForPlace estimates how long a request of a tier waits for s: places
// free up evenly over the running requests, after those ahead in the queue.
func (c *Cell) waitForPlace(s *server, rank int) time.Duration {
	ahead := 1
	for i := 0; i <= rank && i < len(s.readyItems); i++ {
		ahead += s.readyItems[i]
	}
	n := max(1, len(s.runs))
	left := max(0, (s.endSum - c.now*Time(n)).Sub(0))
	mean := left / time.Duration(n)
	return s.backlog(c.now) + mean*time.Duration(ahead)/time.Duration(n)
}

// enqueue places a request at once where that is best, else lets it wait.
func (c *Cell) enqueue(it *item) {
	q := c.tier(it.req.Tier)
	if c.opened && c.granting(it.req.Holder) {
		if s := c.choose(&it.req, q.rank); s != nil {
			q.vtime = max(q.vtime, it.tag)
			c.grant(s, it)
			return
		}
	}
	c.wait(q, it)
}

func (c *Cell) wait(q *tierQueue, it *item) {
	it.aged = false
	it.timerAt = c.agesAt(it, false)
	if it.timerAt > c.latestStart(&it.req) {
		it.timerAt = c.latestStart(&it.req)
	}
	q.add(it, c.holders[it.req.Prefix])
	q.work += c.workOf(&it.req)
	c.timers.push(it)
	c.waitCount++
}

// unwait takes a waiting item out of all indexes.
func (c *Cell) unwait(it *item) {
	q := it.group.tier
	q.drop(it)
	q.work = max(0, q.work-c.workOf(&it.req))
	c.timers.remove(it.inTimer)
	c.waitCount--
}

// agesAt is when a request has waited long enough for a holder of its prefix
// or, if nobody holds it, behind others.
func (c *Cell) agesAt(it *item, held bool) Time {
	share := c.policy.AgeShare
	if held {
		share = c.policy.HeldAgeShare
	}
	return it.arrived.Add(time.Duration(float64(it.req.Deadline.Sub(it.arrived)) * share))
}

// workOf is a request's work in seconds at speed 1, prefix not deducted.
func (c *Cell) workOf(r *Request) float64 {
	prefill := float64(r.PromptTokens) / chunkTokens * prefillStep.Seconds()
	return prefill + float64(r.OutputTokens)*stepPerSeq.Seconds() + plainCall.Seconds()
}

// fillAll offers the free places of all servers.
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
	if !c.opened {
		return
	}
	for c.waitCount > 0 {
		it := c.pick(s)
		if it == nil {
			return
		}
		c.unwait(it)
		if !c.granting(it.req.Holder) {
			c.parked = append(c.parked, it)
			continue
		}
		it.group.tier.vtime = max(it.group.tier.vtime, it.tag)
		c.grant(s, it)
	}
}

// pick returns the request that s takes next.
func (c *Cell) pick(s *server) *item {
	for _, q := range c.tiers {
		if q.len() == 0 {
			continue
		}
		if !c.room(s, q.rank) {
			return nil // lower tiers have less room still
		}
		if it := c.pickTier(s, q); it != nil {
			return it
		}
	}
	return nil
}

// pickTier lets the server pick within a tier, in this order: a request that
// waited long for a prefix that nobody holds, within the server's miss
// budget; one whose prefix it holds; one whose prefix nobody holds; one that
// waited long although another server holds its prefix. Only the last
// computes again what the cell has, and only when the server has nothing
// else to do in the tier; so no request waits for ever, and caches are not
// destroyed just when work is scarce.
func (c *Cell) pickTier(s *server, q *tierQueue) *item {
	it := c.candidate(s, q)
	if it == nil || c.inTime(s, it) {
		return it
	}
	// The earliest request is too late for this server; a faster one may
	// still take it. The newest one has the most time left.
	newest := q.shed.min()
	elsewhere := len(newest.group.holders) > 0 && !s.cache.holds(newest.req.Prefix)
	if !elsewhere && c.inTime(s, newest) {
		return newest
	}
	return nil
}

// inTime reports whether s would answer it within its deadline if granted
// now. What is started too late costs prefill and tokens for nothing.
func (c *Cell) inTime(s *server, it *item) bool {
	return c.now.Add(s.predict(c.now, &it.req).total) <= it.req.Deadline
}

// candidate is the request that s would take if deadlines did not matter.
func (c *Cell) candidate(s *server, q *tierQueue) *item {
	if !c.policy.ServerPicks {
		return q.first()
	}
	ready := s.firstReady(q.rank)
	old := q.oldest(s)
	budget := c.now >= s.missUntil || s.load() == 0
	if old != nil && budget && len(old.group.holders) == 0 && (ready == nil || old.before(ready)) {
		return old
	}
	if ready != nil {
		return ready
	}
	if q.unheld.len() > 0 {
		return q.unheld.min().head()
	}
	if budget {
		return old
	}
	return nil
}

// oldest returns the aged request with the earliest tag, those first whose
// prefix nobody holds. A request whose prefix came to be held since it aged
// moves to the others.
func (q *tierQueue) oldest(s *server) *item {
	for q.aged.len() > 0 {
		it := q.aged.min()
		if len(it.group.holders) == 0 || s.cache.holds(it.req.Prefix) {
			return it
		}
		q.aged.remove(it.inAged)
		q.agedHeld.push(it)
	}
	if q.agedHeld.len() > 0 {
		return q.agedHeld.min()
	}
	return nil
}

// first returns the request with the earliest tag of the whole tier.
func (q *tierQueue) first() *item {
	var best *item
	for _, it := range q.shed.items {
		if best == nil || it.before(best) {
			best = it
		}
	}
	return best
}

// grant books it at s and tells the holder.
func (c *Cell) grant(s *server, it *item) {
	r := &it.req
	if !s.cache.holds(r.Prefix) && it.aged {
		cost := s.prefillTime(r.PrefixTokens, s.load())
		s.missUntil = c.now.Add(time.Duration(float64(cost) * c.policy.MissBudget))
	}
	run := s.start(c.now, it)
	c.noteUse(c.now, s, r)
	c.ledger.granted(c.now, r, run)
	c.emit(Action{
		Kind: Grant, To: r.Holder, ID: r.ID, Server: s.id(), Attempt: r.Attempt,
		ValidUntil: c.sessions[r.Holder].stamp + Stamp(GrantTTL),
	})
}

// granting reports whether a holder's clock is fresh enough for a grant.
func (c *Cell) granting(h ident.Incarnation) bool {
	s := c.sessions[h]
	return s != nil && s.reported && c.now.Sub(s.heardAt) < HolderStale
}

// finished closes a run and offers its place.
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

// returned takes an unused grant back; the request waits again in its old
// place, since its tag stays.
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
		// Known from a report only; the holder registers it again.
		c.ledger.forget(e.ID)
		c.fill(run.server)
		return
	}
	c.ledger.waiting(c.now, run.item)
	c.enqueue(run.item)
}
