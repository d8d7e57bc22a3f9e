package dispatch

import (
	"time"

	"github.com/gentianflow/gentianflow/internal/event"
	"github.com/gentianflow/gentianflow/internal/notice"
	"github.com/gentianflow/gentianflow/internal/sched"
	"github.com/gentianflow/gentianflow/internal/wire"
)

// Distribution of server notices (what a server states about itself in an answer, such as a rate
// limit, its shutdown or a backoff): the host that receives an answer stores the notice that it
// contains, applies it in its local loop, and sends it to the home if it is new. A host that
// begins to follow a home sends all its notices, with their ages, before any placement
// request. So a new home knows every notice that a requesting host knows; the newest notice
// of a server applies.

// RecordNotice processes the notice of a server in an answer that this host received. It returns
// the change, if there is one.
func (c *Client) RecordNotice(server string, n notice.Notice) (change notice.Change, changed bool) {
	change, changed = c.notices.Update(time.Now(), server, n)
	if !changed {
		return change, false
	}
	c.forwardNotice(server)
	return change, true
}

// forwardNotice sends the current notice of a server to the local loop and the home.
//
// It reads the current notice under mu: if two answers that arrive at the same time were
// each forwarded as received, the older one could arrive last and stay in force until the
// next change.
func (c *Client) forwardNotice(server string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	records := []notice.Record{c.notices.Get(server).Record(server, time.Now())}
	c.pushLocal(func(at sched.Time, s *sched.Scheduler) []sched.Decision {
		s.LearnNotices(at, uint64(c.self), records)
		return nil
	})
	if c.link != nil {
		c.sendNotices(c.link, records)
	}
}

// ServerNotice returns the newest notice that this host has received from a server.
func (c *Client) ServerNotice(server string) notice.State { return c.notices.Get(server) }

// sendNotices sends notices to a home. It aborts the link if its queue is full, since a home
// that places for this host must respect the notices that this host has received.
func (c *Client) sendNotices(l *homeLink, records []notice.Record) {
	if len(records) > 0 && !l.push(&wire.ToHome{Notices: encodeNotices(records)}) {
		l.stream.Abort()
	}
}

// learnNotices applies notices reported by another host. It runs on the loop's goroutine.
func (l *Loop) learnNotices(now sched.Time, s *sched.Scheduler, holder uint64, records []notice.Record) {
	for _, c := range s.LearnNotices(now, holder, records) {
		if limit, changed := c.LimitChange(); changed {
			l.events.Record(event.ServerLimit, event.Fields{Server: c.Server, Detail: limit + " reported by another host"})
		}
		if text, changed := c.BrittlenessChange(); changed {
			l.events.Record(event.ServerBrittle, event.Fields{Server: c.Server, Detail: text + " reported by another host"})
		}
		if c.StartsLeaving() {
			l.events.Record(event.ServerLeaves, event.Fields{Server: c.Server, Detail: "reported by another host"})
		}
	}
}

// RetainNotices removes the notices of servers that have not been listed for some time.
func (c *Client) RetainNotices(listed func(server string) bool) {
	c.notices.Retain(time.Now(), listed)
}

// CountNotices counts the notices of servers that this host has received.
func (c *Client) CountNotices() notice.Counts { return c.notices.Count(time.Now()) }

func encodeNotices(records []notice.Record) []*wire.Notice {
	out := make([]*wire.Notice, 0, len(records))
	for _, r := range records {
		out = append(out, &wire.Notice{
			Server: r.Server, AgeMs: millis(r.Age), Limited: r.Limit.Valid, Limit: r.Limit.PerSecond, Leaving: r.Leaving, RestMs: millis(r.Backoff + time.Millisecond - 1),
			Brittle: r.MaxRejections.Valid, MaxRejections: r.MaxRejections.PerSecond,
		})
	}
	return out
}

func decodeNotices(list []*wire.Notice) []notice.Record {
	out := make([]notice.Record, 0, len(list))
	for _, m := range list {
		out = append(out, notice.Record{
			Server: m.Server, Age: fromMillis(m.AgeMs),
			Notice: notice.Notice{Limit: notice.Limit{Valid: m.Limited, PerSecond: m.Limit}, MaxRejections: notice.Limit{Valid: m.Brittle, PerSecond: m.MaxRejections}, Leaving: m.Leaving, Backoff: fromMillis(m.RestMs)},
		})
	}
	return out
}
