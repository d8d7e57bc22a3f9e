package dispatch

import (
	"slices"
	"sync"
	"time"

	"github.com/gentianflow/gentianflow/internal/event"
	"github.com/gentianflow/gentianflow/internal/sched"
	"github.com/gentianflow/gentianflow/internal/serverload"
	"github.com/gentianflow/gentianflow/internal/wire"
)

// Distribution of load reports (what a server states about its load in an answer): the host that
// receives an answer stores the report, applies it in its local loop and sends it to the home if it
// differs notably from the last one. There is no message for each answer: the newest report of each
// server is sent, at most one message in flushInterval. Unlike notices, reports are hints that age out
// within a second, so they are dropped rather than waited for. A host that begins to follow a home
// sends it the reports that have not aged out.

// flushInterval is the minimum time between two messages with load reports. A server that has become
// slow is to be avoided within 100 ms of the first report; half of that is left for the link and the
// home.
const flushInterval = 50 * time.Millisecond

// loadReports holds the load reports that this host has received. mu guards flushedAt and the order of
// flushes.
type loadReports struct {
	table *serverload.Table

	mu        sync.Mutex
	flushedAt time.Time
}

func newLoadReports() *loadReports { return &loadReports{table: serverload.NewTable()} }

// RecordLoad processes the load report of a server in an answer that this host received.
func (c *Client) RecordLoad(server string, r serverload.Report) {
	now := time.Now()
	if !c.loads.table.Update(now, server, r) || !c.loop.liveLoad {
		return
	}
	c.loads.mu.Lock()
	wait := flushInterval - now.Sub(c.loads.flushedAt)
	c.loads.mu.Unlock()
	if wait <= 0 {
		c.flushLoads()
		return
	}
	time.AfterFunc(wait, c.flushLoads)
}

// flushLoads passes the reports that differ from the last ones to the local loop and the home.
func (c *Client) flushLoads() {
	c.loads.mu.Lock()
	defer c.loads.mu.Unlock()
	now := time.Now()
	records := c.loads.table.Take(now)
	c.loads.flushedAt = now
	if len(records) == 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pushLocalLoads(records)
	if c.link != nil && !c.link.sendLoads(records) {
		c.loads.table.Forget(records)
	}
}

// pushLocalLoads passes reports to the local loop, and drops them if it is behind. The caller holds mu.
func (c *Client) pushLocalLoads(records []serverload.Record) {
	pushedAt := time.Now()
	c.loop.in.TryPush(func(now sched.Time, s *sched.Scheduler) []sched.Decision {
		c.loop.learnLoads(now, s, aged(records, time.Since(pushedAt)))
		return nil
	})
}

// aged returns the reports as they are after a further time.
func aged(records []serverload.Record, by time.Duration) []serverload.Record {
	out := slices.Clone(records)
	for i := range out {
		out[i].Age += by
	}
	return out
}

// sendLoads sends reports to a home, and drops them if its queue is full.
func (l *homeLink) sendLoads(records []serverload.Record) bool {
	return len(records) == 0 || l.push(&wire.ToHome{Loads: encodeLoads(records)})
}

// sendRecentLoads sends the reports that have not aged out to a home that this host begins to follow.
func (c *Client) sendRecentLoads(l *homeLink) {
	if c.loop.liveLoad {
		l.sendLoads(c.loads.table.Recent(time.Now()))
	}
}

// ServerLoad returns the newest load report that this host has received from a server.
func (c *Client) ServerLoad(server string) serverload.Received { return c.loads.table.Get(server) }

// LoadReports returns the number of load reports that this host has received.
func (c *Client) LoadReports() uint64 { return c.loads.table.Received() }

// learnLoads applies load reports. It runs on the loop's goroutine.
func (l *Loop) learnLoads(now sched.Time, s *sched.Scheduler, records []serverload.Record) {
	for _, r := range s.LearnLoads(now, records) {
		l.events.Record(event.ServerSlowed, event.Fields{
			Server: r.Server, Detail: "load=" + r.Report.String() + " age=" + r.Age.Round(time.Millisecond).String(),
		})
	}
}

func encodeLoads(records []serverload.Record) []*wire.ServerLoad {
	out := make([]*wire.ServerLoad, 0, len(records))
	for _, r := range records {
		out = append(out, &wire.ServerLoad{
			Server: r.Server, AgeMs: millis(r.Age), Running: uint32(r.Running), Waiting: uint32(r.Waiting),
			Slots: uint32(r.Slots), SlowdownPercent: uint32(serverload.Percent(r.Slowdown)),
		})
	}
	return out
}

func decodeLoads(list []*wire.ServerLoad) []serverload.Record {
	out := make([]serverload.Record, 0, len(list))
	for _, m := range list {
		out = append(out, serverload.Record{Server: m.Server, Age: fromMillis(m.AgeMs), Report: serverload.Report{
			Running: int(m.Running), Waiting: int(m.Waiting), Slots: int(m.Slots), Slowdown: float64(m.SlowdownPercent) / 100,
		}})
	}
	return out
}
