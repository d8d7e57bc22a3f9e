package dispatch

import (
	"time"

	"github.com/gentianflow/gentianflow/internal/sched"
)

// When the home changes, waiting placement requests and runs move to the scheduler of the new
// home, or to the local loop while no home answers.

// follow makes l the link to the followed home. Waiting requests are submitted there again,
// and runs are reported there.
func (c *Client) follow(l *homeLink) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.link == l {
		return
	}
	c.link = l
	c.sendSuspects(l)
	c.sendTraits(l)
	c.pushLocal(func(_ sched.Time, s *sched.Scheduler) []sched.Decision {
		s.QuarantineKnown() // the home sent it when the link was opened
		return nil
	})
	c.sendAllOrigins(l)
	c.sendNotices(l, c.notices.All(time.Now()))
	c.sendRecentLoads(l)
	c.move(func(via *homeLink) bool { return via != l })
}

// markSuspect sends new placement requests to the local loop, if l is followed. Requests that
// wait or run at l stay there.
func (c *Client) markSuspect(l *homeLink) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.link == l {
		c.link = nil
	}
}

// unfollow gives up a link: requests that wait or run there move to the home that is now
// followed, or to the local loop.
func (c *Client) unfollow(l *homeLink) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.link == l {
		c.link = nil
	}
	c.move(func(via *homeLink) bool { return via == l })
}

// move transfers the waiting requests and runs that from selects to the followed home, or
// to the local loop if there is none. The caller holds mu.
func (c *Client) move(from func(via *homeLink) bool) {
	now := time.Now()
	for id, p := range c.pending {
		if !from(p.via) {
			continue
		}
		c.withdrawFrom(id, p.via)
		if p.placedAt.IsZero() {
			c.send(id, p)
			continue
		}
		p.via = c.link
		c.reportRun(now, id, p)
	}
}

// withdrawFrom removes a waiting request or run from the scheduler at the other end of old, or
// from the local loop if old is nil.
func (c *Client) withdrawFrom(id uint64, old *homeLink) {
	if old != nil {
		old.withdraw(id)
		return
	}
	c.pushLocal(func(now sched.Time, s *sched.Scheduler) []sched.Decision {
		return s.Withdraw(now, sched.Key{Holder: uint64(c.self), ID: id})
	})
}

// reportRun reports a run to its home, or to the local loop if there is no home
// or its output queue is full. The caller holds mu.
func (c *Client) reportRun(now time.Time, id uint64, p *pending) {
	m := encodeRunning(now, id, p)
	if p.via != nil && p.via.sendRunning(m) {
		return
	}
	p.via = nil
	c.pushLocal(func(at sched.Time, s *sched.Scheduler) []sched.Decision {
		s.Adopt(at, decodeRunning(uint64(c.self), m))
		return nil
	})
}

// resubmitOverdue moves placement requests that the home has not answered in time to the
// local loop. It reports whether one has been unanswered for so long that the home counts as
// unresponsive.
func (c *Client) resubmitOverdue(l *homeLink, now time.Time) (unresponsive bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, p := range c.pending {
		if p.via != l || p.acked {
			continue
		}
		elapsed := now.Sub(p.sentAt)
		unresponsive = unresponsive || elapsed > maxAckTimeout
		if elapsed > p.ackTimeout() {
			l.withdraw(id)
			c.sendLocal(id, p)
		}
	}
	return unresponsive
}

// ackTimeout returns how long the home may take to answer the placement request.
func (p *pending) ackTimeout() time.Duration {
	latencyTarget := p.request.LatencyTarget.Sub(p.request.Arrived)
	return min(maxAckTimeout, max(minAckTimeout, time.Duration(float64(latencyTarget)*ackFraction)))
}

// waitsAt reports whether placement requests of this host wait at a home.
func (c *Client) waitsAt(l *homeLink) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, p := range c.pending {
		if p.via == l && p.placedAt.IsZero() {
			return true
		}
	}
	return false
}
