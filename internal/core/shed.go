package core

import (
	"time"

	"github.com/gentianflow/gentianflow/internal/failure"
)

// Bounds of the retry delay.
const (
	minRetryAfter = 1 * time.Second
	maxRetryAfter = 60 * time.Second
)

// bestCase holds the shortest times of any usable server at its current load.
// It is computed at each tick and change of a server, not for each request.
type bestCase struct {
	usable   bool
	perToken time.Duration // per output token
	prefill  time.Duration // for chunkTokens prompt tokens
	call     time.Duration // of a request without tokens
}

func (c *Cell) findBestCase() bestCase {
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

// latestStart returns the last moment at which the best usable server could
// still answer r in time, assuming that it has r's prefix cached.
func (c *Cell) latestStart(r *Request) Time {
	if !c.best.usable {
		return r.Deadline
	}
	if r.PromptTokens == 0 {
		return r.Deadline.Add(-c.best.call)
	}
	uncached := max(1, r.PromptTokens-r.PrefixTokens)
	t := time.Duration(r.OutputTokens)*c.best.perToken + c.best.prefill*time.Duration(uncached)/chunkTokens
	return r.Deadline.Add(-t)
}

// processTimers marks the requests as aged that have waited long enough, and
// sheds those that no server can answer in time any more, before prefill is
// spent on them.
func (c *Cell) processTimers() {
	for c.timers.len() > 0 && c.timers.min().timerAt <= c.now {
		it := c.timers.min()
		latest := c.latestStart(&it.req)
		if c.now >= latest {
			c.shedLate(it)
			continue
		}
		it.timerAt = latest
		if !it.aged {
			c.age(it, latest)
		}
		c.timers.fix(it.timerIndex)
	}
}

// age marks a request as aged, so that any server may take it. A request whose
// prefix has been cached since its timer was set first waits until
// CachedAgeShare of its time has passed.
func (c *Cell) age(it *item, latest Time) {
	if at := c.agesAt(it, len(it.group.cachingServers) > 0); c.now < at {
		it.timerAt = min(at, latest)
		return
	}
	it.aged = true
	it.group.tier.aged.push(it)
}

// shedLate sheds a request that cannot be answered in time. The tiers below it
// are shed first: no request of a lower tier may keep waiting while one of a
// higher tier is shed.
func (c *Cell) shedLate(it *item) {
	c.shedLowerTiers(it.req.Tier)
	c.shed(it, failure.Deadline)
}

func (c *Cell) shedLowerTiers(tier int) {
	for _, it := range append([]*item(nil), c.parked...) {
		if it.req.Tier > tier {
			c.shedParked(it)
		}
	}
	for i := len(c.tiers) - 1; i >= 0 && c.tiers[i].number > tier; i-- {
		for c.tiers[i].len() > 0 {
			c.shed(c.tiers[i].shedOrder.min(), failure.Overload)
		}
	}
}

// shed ends a waiting request as not run. Its ledger entry is removed: nothing
// of it ran, and the holder will not use a grant for it any more.
func (c *Cell) shed(it *item, reason failure.Code) {
	c.removeWaiting(it)
	c.refuse(&it.req, reason)
}

func (c *Cell) refuse(r *Request, reason failure.Code) {
	c.ledger.forget(r.ID)
	c.emit(Action{Kind: Shed, To: r.Holder, ID: r.ID, Reason: reason, RetryAfter: c.retryAfter(r.Tier)})
}

// retryAfter returns the time that the usable servers need for the waiting work
// of this tier and those above it.
func (c *Cell) retryAfter(tier int) time.Duration {
	return min(maxRetryAfter, max(minRetryAfter, c.backlogTime(tier)))
}

func (c *Cell) backlogTime(tier int) time.Duration {
	work, speed := 0.0, 0.0
	for _, q := range c.tiers {
		if q.number <= tier {
			work += q.queuedWork
		}
	}
	for _, s := range c.servers {
		if s.usable() {
			speed += s.spec.Speed / s.decodeScale
		}
	}
	if speed == 0 {
		return maxRetryAfter
	}
	return time.Duration(work / speed * float64(time.Second))
}

// admit makes room for one more waiting request and reports whether it may
// wait. When the queue is full, the lowest tier is shed first, and within it the
// request with the latest start tag: the newest one, or one of an account that
// floods the queue. Parked requests count as waiting and can be shed too.
func (c *Cell) admit(it *item) bool {
	if c.waitCount+len(c.parked) < c.maxWaiting {
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
	victim := lowest.shedOrder.min()
	if lowest.number == it.req.Tier && victim.before(it) {
		return false
	}
	c.shed(victim, failure.Overload)
	return true
}

// lowestParked returns a parked request of the lowest tier. Parked requests
// count as waiting although their holder is silent.
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
