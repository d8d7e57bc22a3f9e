package core

import (
	"time"

	"github.com/gentianflow/gentianflow/internal/failure"
)

// Bounds of the advice when to come back.
const (
	minRetry = 1 * time.Second
	maxRetry = 60 * time.Second
)

// bestCase is the fastest that any usable server is, as loaded as it is now.
// It is found anew at each tick and change of a server, not for each request.
type bestCase struct {
	usable   bool
	perToken time.Duration // between tokens
	prefill  time.Duration // for chunkTokens prompt tokens
	call     time.Duration // of a plain service
}

func (c *Cell) findBest() bestCase {
	var b bestCase
	for _, s := range c.servers {
		if !s.usable() {
			continue
		}
		n := max(1, s.load())
		call := s.predictMiss(c.now, &Request{}, 0).total
		if !b.usable {
			b = bestCase{usable: true, perToken: s.tokenTime(n), prefill: s.prefillTime(chunkTokens, n), call: call}
			continue
		}
		b.perToken = min(b.perToken, s.tokenTime(n))
		b.prefill = min(b.prefill, s.prefillTime(chunkTokens, n))
		b.call = min(b.call, call)
	}
	return b
}

// latestStart is the last moment at which the best usable server could still
// answer r in time, taken as holding the prefix.
func (c *Cell) latestStart(r *Request) Time {
	if !c.best.usable {
		return r.Deadline
	}
	if r.PromptTokens == 0 {
		return r.Deadline.Add(-c.best.call)
	}
	own := max(1, r.PromptTokens-r.PrefixTokens)
	t := time.Duration(r.OutputTokens)*c.best.perToken + c.best.prefill*time.Duration(own)/chunkTokens
	return r.Deadline.Add(-t)
}

// fireTimers ages requests that waited long for a holder, and ends those
// that no server can answer in time any more, before prefill is spent.
func (c *Cell) fireTimers() {
	for c.timers.len() > 0 && c.timers.min().timerAt <= c.now {
		it := c.timers.min()
		last := c.latestStart(&it.req)
		if c.now >= last {
			c.shedLate(it)
			continue
		}
		it.timerAt = last
		if !it.aged {
			c.age(it, last)
		}
		c.timers.fix(it.inTimer)
	}
}

// age lets any server take a request that waited long enough; one whose
// prefix is held by now waits on.
func (c *Cell) age(it *item, last Time) {
	if at := c.agesAt(it, len(it.group.holders) > 0); c.now < at {
		it.timerAt = min(at, last)
		return
	}
	it.aged = true
	it.group.tier.aged.push(it)
}

// shedLate ends a request that cannot be answered in time. That is shedding
// too, so the tiers below it go first: no caller of a lower tier may keep
// its place while a higher one is turned away.
func (c *Cell) shedLate(it *item) {
	c.shedBelow(it.req.Tier)
	c.shed(it, failure.Deadline)
}

func (c *Cell) shedBelow(tier int) {
	for _, it := range append([]*item(nil), c.parked...) {
		if it.req.Tier > tier {
			c.shedParked(it)
		}
	}
	for i := len(c.tiers) - 1; i >= 0 && c.tiers[i].number > tier; i-- {
		for c.tiers[i].len() > 0 {
			c.shed(c.tiers[i].shed.min(), failure.Overload)
		}
	}
}

// shed ends a waiting request as not run. Its ledger line goes: nothing of
// it ran, and the holder will not use a grant of it any more.
func (c *Cell) shed(it *item, why failure.Code) {
	c.unwait(it)
	c.refuse(&it.req, why)
}

func (c *Cell) refuse(r *Request, why failure.Code) {
	c.ledger.forget(r.ID)
	c.emit(Action{Kind: Shed, To: r.Holder, ID: r.ID, Reason: why, RetryAfter: c.retryAfter(r.Tier)})
}

// retryAfter is the time the usable servers need for what waits in the tiers
// up to this one.
func (c *Cell) retryAfter(tier int) time.Duration {
	return min(maxRetry, max(minRetry, c.backlogTime(tier)))
}

func (c *Cell) backlogTime(tier int) time.Duration {
	work, speed := 0.0, 0.0
	for _, q := range c.tiers {
		if q.number <= tier {
			work += q.work
		}
	}
	for _, s := range c.servers {
		if s.usable() {
			speed += s.spec.Speed / s.decodeScale
		}
	}
	if speed == 0 {
		return maxRetry
	}
	return time.Duration(work / speed * float64(time.Second))
}

// admit makes room for one more waiting request, or refuses it: the lowest
// tier gives way, and within it the request with the latest tag, which is
// the newest one or one of an account that floods. It reports whether it may
// wait.
func (c *Cell) admit(it *item) bool {
	if c.waitCount+len(c.parked) < c.waiting {
		return true
	}
	lowest := c.lowestWaiting()
	parked := c.lowestParked()
	if parked != nil && parked.req.Tier > it.req.Tier && (lowest == nil || parked.req.Tier >= lowest.number) {
		c.shedParked(parked)
		return true
	}
	if lowest == nil || lowest.number < it.req.Tier {
		return false
	}
	victim := lowest.shed.min()
	if lowest.number == it.req.Tier && victim.before(it) {
		return false
	}
	c.shed(victim, failure.Overload)
	return true
}

// lowestParked returns a parked request of the lowest tier: its holder is
// silent, but it waits as much as any other.
func (c *Cell) lowestParked() *item {
	var lowest *item
	for _, it := range c.parked {
		if lowest == nil || it.req.Tier >= lowest.req.Tier {
			lowest = it
		}
	}
	return lowest
}

func (c *Cell) shedParked(it *item) {
	c.parked = remove(c.parked, it)
	c.refuse(&it.req, failure.Overload)
}

func (c *Cell) lowestWaiting() *tierQueue {
	for i := len(c.tiers) - 1; i >= 0; i-- {
		if c.tiers[i].len() > 0 {
			return c.tiers[i]
		}
	}
	return nil
}
