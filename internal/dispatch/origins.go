package dispatch

import (
	"slices"
	"time"

	"github.com/gentianflow/gentianflow/internal/origin"
	"github.com/gentianflow/gentianflow/internal/sched"
	"github.com/gentianflow/gentianflow/internal/wire"
)

// Distribution of the versions at which streams began:
//
// The scheduler that places a stream records its version before the holder has the placement, so before
// the first event. The home sends its new records to the hosts that may take over, every holder keeps those of
// the streams that it carries, and a holder that begins to follow a home sends it all that it knows. So a
// record is lost only with the home, its successors and the holder together.

// originsPerMessage is the maximum number of records in a message, each of 8 bytes.
const originsPerMessage = 4096

// originsPeriod is the shortest time between two messages of the home with new records.
const originsPeriod = 10 * time.Millisecond

// encodeOrigins encodes records in groups of the same version and remaining time, rounded up to seconds.
func encodeOrigins(now sched.Time, records []origin.Record) []*wire.Origins {
	type group struct {
		version string
		seconds time.Duration
	}
	groups := map[group]*wire.Origins{}
	var out []*wire.Origins
	for _, r := range records {
		g := group{r.Version, (r.Until - now + time.Second - 1).Truncate(time.Second)}
		m := groups[g]
		if m == nil || len(m.Keys) == originsPerMessage {
			m = &wire.Origins{Version: g.version, LeftMs: millis(g.seconds)}
			groups[g] = m
			out = append(out, m)
		}
		m.Keys = append(m.Keys, uint64(r.Key))
	}
	return out
}

func decodeOrigins(now sched.Time, list []*wire.Origins) []origin.Record {
	var out []origin.Record
	for _, m := range list {
		for _, k := range m.Keys {
			out = append(out, origin.Record{Key: origin.Key(k), Version: m.Version, Until: now + fromMillis(m.LeftMs)})
		}
	}
	return out
}

// OriginsFunc is called on the loop's goroutine with new records. It must not block.
type OriginsFunc func(now sched.Time, records []origin.Record)

// OnOrigins sets the function that receives the records of the streams that the loop places. It must be
// called before Run.
func (l *Loop) OnOrigins(onOrigins OriginsFunc) { l.onOrigins = onOrigins }

// flushOrigins passes new records on, at most once in originsPeriod. It returns the time until the next
// flush, 0 if there is nothing to pass on.
func (l *Loop) flushOrigins() time.Duration {
	l.newOrigins = append(l.newOrigins, l.sched.TakeOrigins()...)
	if len(l.newOrigins) == 0 {
		return 0
	}
	now := l.now()
	if next := l.originsSentAt + originsPeriod; now < next {
		return next - now
	}
	l.onOrigins(now, l.newOrigins)
	l.newOrigins, l.originsSentAt = nil, now
	return 0
}

// SendOrigins sends new records to the hosts that may take over.
func (h *Home) SendOrigins(now sched.Time, records []origin.Record) {
	encoded, successors := encodeOrigins(now, records), h.nextHomes()
	h.mu.Lock()
	defer h.mu.Unlock()
	for holder, l := range h.links {
		if slices.Contains(successors, holder) {
			l.send(&wire.ToHolder{Origins: encoded})
		}
	}
}

// ReportOrigins reports the streams that the local loop placed to the home.
func (c *Client) ReportOrigins(now sched.Time, records []origin.Record) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.link != nil {
		sendOrigins(c.link, encodeOrigins(now, records))
	}
}

// sendAllOrigins sends all known records to a home that this host begins to follow. The caller holds mu.
func (c *Client) sendAllOrigins(l *homeLink) {
	c.pushLocal(func(now sched.Time, s *sched.Scheduler) []sched.Decision {
		sendOrigins(l, encodeOrigins(now, s.Origins(now)))
		return nil
	})
}

func sendOrigins(l *homeLink, list []*wire.Origins) {
	for _, m := range list {
		if !l.push(&wire.ToHome{Origins: []*wire.Origins{m}}) {
			l.stream.Abort() // a new link reports them all
			return
		}
	}
}

// noteOrigin remembers the version of a stream that the home placed for this host. The caller holds mu.
func (c *Client) noteOrigin(now time.Time, request *PlacementRequest, version string) {
	keys := []origin.Key{request.Origin}
	if request.Resumed != nil {
		keys = append(keys, request.Resumed.From)
	}
	keys = slices.DeleteFunc(keys, func(k origin.Key) bool { return k == 0 })
	if len(keys) == 0 {
		return
	}
	left := request.Deadline.Sub(now) + sched.OriginGrace
	c.pushLocal(func(now sched.Time, s *sched.Scheduler) []sched.Decision {
		for _, k := range keys {
			s.LearnOrigins(now, []origin.Record{{Key: k, Version: version, Until: now + left}})
		}
		return nil
	})
}

// learnOrigins applies records that the home has sent.
func (c *Client) learnOrigins(list []*wire.Origins) {
	if len(list) == 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pushLocal(func(now sched.Time, s *sched.Scheduler) []sched.Decision {
		s.LearnOrigins(now, decodeOrigins(now, list))
		return nil
	})
}
