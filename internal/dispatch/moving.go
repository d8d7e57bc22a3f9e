package dispatch

import (
	"time"

	"github.com/gentianflow/gentianflow/internal/sched"
)

// What waits and runs moves with the home: to another one, or to the loop of this host while
// none answers.

// follow makes l the home. What waits is asked for anew there, and what runs is
// reported there.
func (c *Client) follow(l *homeLink) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.link == l {
		return
	}
	c.link = l
	c.tellSuspects(l)
	c.tellNotices(l, c.notices.All(time.Now()))
	c.move(func(via *homeLink) bool { return via != l })
}

// suspect sends new asks to the loop of this host, if l is followed. What waits
// or runs at l stays there.
func (c *Client) suspect(l *homeLink) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.link == l {
		c.link = nil
	}
}

// unfollow ends a link for good: what waits or runs there moves to the home that
// is followed now, or to the loop of this host.
func (c *Client) unfollow(l *homeLink) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.link == l {
		c.link = nil
	}
	c.move(func(via *homeLink) bool { return via == l })
}

// move takes asks and runs from where they are to the home that is followed. The
// caller holds mu.
func (c *Client) move(from func(via *homeLink) bool) {
	now := time.Now()
	for id, p := range c.pending {
		if !from(p.via) {
			continue
		}
		c.leave(id, p.via)
		if p.placed.IsZero() {
			c.send(id, p)
			continue
		}
		p.via = c.link
		c.report(now, id, p)
	}
}

// leave tells the scheduler that an ask or run is not its business any more.
func (c *Client) leave(id uint64, old *homeLink) {
	if old != nil {
		old.withdraw(id)
		return
	}
	c.local(func(now sched.Time, s *sched.Scheduler) []sched.Decision {
		return s.Withdraw(now, sched.Key{Holder: uint64(c.self), ID: id})
	})
}

func (c *Client) report(now time.Time, id uint64, p *pending) {
	m := encodeRunning(now, id, p)
	if p.via != nil && p.via.running(m) {
		return
	}
	p.via = nil
	c.local(func(at sched.Time, s *sched.Scheduler) []sched.Decision {
		s.Adopt(at, decodeRunning(uint64(c.self), m))
		return nil
	})
}

// overdue takes asks that the home leaves unanswered to the loop of this host.
// It reports whether any is open for so long that the home counts as silent.
func (c *Client) overdue(l *homeLink, now time.Time) (silent bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, p := range c.pending {
		if p.via != l || p.acked {
			continue
		}
		open := now.Sub(p.sent)
		silent = silent || open > ackMost
		if open > p.ackTimeout() {
			l.withdraw(id)
			c.sendLocal(id, p)
		}
	}
	return silent
}

// ackTimeout is how long the home may take to answer the ask.
func (p *pending) ackTimeout() time.Duration {
	aim := p.ask.Aim.Sub(p.ask.Arrived)
	return min(ackMost, max(ackLeast, time.Duration(float64(aim)*ackShare)))
}

// waitsAt reports whether asks of this host wait at a home.
func (c *Client) waitsAt(l *homeLink) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, p := range c.pending {
		if p.via == l && p.placed.IsZero() {
			return true
		}
	}
	return false
}
