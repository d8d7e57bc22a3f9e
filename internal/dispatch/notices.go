package dispatch

import (
	"time"

	"github.com/gentianflow/gentianflow/internal/event"
	"github.com/gentianflow/gentianflow/internal/notice"
	"github.com/gentianflow/gentianflow/internal/sched"
	"github.com/gentianflow/gentianflow/internal/wire"
)

// How word of servers travels: the host that gets an answer keeps what it says of its server,
// has its own loop heed it, and tells the home what is new. A host that begins to follow a
// home tells all that it has heard, with its age, before it asks for anything: a new home
// knows what any host knows that may send, and the newest word counts.

// Hear takes what an answer to this host says of its server.
func (c *Client) Hear(server string, n notice.Notice) (change notice.Change, changed bool) {
	change, changed = c.notices.Hear(time.Now(), server, n)
	if !changed {
		return change, false
	}
	c.passOn(server)
	return change, true
}

// passOn tells this host's own loop and the home what a server has said last.
//
// Guard: two answers may be heard at once. Each told as it was heard, the older one could be
// told last, and stand for as long as nothing else changes.
func (c *Client) passOn(server string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	records := []notice.Record{c.notices.Of(server).Record(server, time.Now())}
	c.local(func(at sched.Time, s *sched.Scheduler) []sched.Decision {
		s.LearnNotices(at, uint64(c.self), records)
		return nil
	})
	if c.link != nil {
		c.tellNotices(c.link, records)
	}
}

// Heard returns what a server has said last to this host.
func (c *Client) Heard(server string) notice.Standing { return c.notices.Of(server) }

// tellNotices passes word of servers on to a home. The link is cut when it cannot: what this
// host has heard binds whoever places for it.
func (c *Client) tellNotices(l *homeLink, records []notice.Record) {
	if len(records) > 0 && !l.push(&wire.ToHome{Notices: encodeNotices(records)}) {
		l.stream.Abort()
	}
}

// learnNotices takes word of servers from another host, on the goroutine of the loop.
func (l *Loop) learnNotices(now sched.Time, s *sched.Scheduler, holder uint64, records []notice.Record) {
	for _, c := range s.LearnNotices(now, holder, records) {
		if limit, changed := c.Limit(); changed {
			l.events.Record(event.ServerLimit, event.Fields{Server: c.Server, Detail: limit + " as another host heard"})
		}
		if c.Leaves() {
			l.events.Record(event.ServerLeaves, event.Fields{Server: c.Server, Detail: "as another host heard"})
		}
	}
}

// KeepNotices forgets what servers have said that listed has not reported for a while.
func (c *Client) KeepNotices(listed func(server string) bool) {
	c.notices.Retain(time.Now(), listed)
}

// CountNotices counts what servers say of themselves to this host.
func (c *Client) CountNotices() notice.Counts { return c.notices.Count(time.Now()) }

func encodeNotices(records []notice.Record) []*wire.Notice {
	out := make([]*wire.Notice, 0, len(records))
	for _, r := range records {
		out = append(out, &wire.Notice{
			Server: r.Server, AgeMs: millis(r.Age), Limited: r.Limit.Named, Limit: r.Limit.PerSecond, Leaving: r.Leaving, RestMs: millis(r.Rest + time.Millisecond - 1),
		})
	}
	return out
}

func decodeNotices(list []*wire.Notice) []notice.Record {
	out := make([]notice.Record, 0, len(list))
	for _, m := range list {
		out = append(out, notice.Record{
			Server: m.Server, Age: fromMillis(m.AgeMs),
			Notice: notice.Notice{Limit: notice.Limit{Named: m.Limited, PerSecond: m.Limit}, Leaving: m.Leaving, Rest: fromMillis(m.RestMs)},
		})
	}
	return out
}
