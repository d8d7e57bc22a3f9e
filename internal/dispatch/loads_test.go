package dispatch

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/go-kit/log"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	"github.com/gentianflow/gentianflow/internal/event"
	"github.com/gentianflow/gentianflow/internal/ring"
	"github.com/gentianflow/gentianflow/internal/sched"
	"github.com/gentianflow/gentianflow/internal/serverload"
	"github.com/gentianflow/gentianflow/internal/wire"
)

// startLiveLoop starts a loop that uses load reports.
func startLiveLoop(deliver func([]sched.Decision), servers ...string) (*Loop, *event.Recorder) {
	events := event.NewRecorder("h", "i", 64, log.NewNopLogger())
	p := sched.DefaultPolicy()
	p.LiveLoad = true
	loop := NewLoop(p, events, deliver)
	loop.Do(func(now sched.Time, s *sched.Scheduler) {
		s.SetServices(now, []sched.Service{{Name: "svc"}})
		var list []sched.Server
		for _, id := range servers {
			list = append(list, sched.Server{ID: id, Service: "svc", Address: id, Slots: 6})
		}
		s.SetServers(now, list)
	})
	ctx, cancel := context.WithCancel(context.Background())
	DeferCleanup(cancel)
	go loop.Run(ctx)
	return loop, events
}

func startLiveHost(servers ...string) (*Client, *Loop) {
	var c *Client
	loop, events := startLiveLoop(func(out []sched.Decision) { c.DeliverLocal(out) }, servers...)
	c = NewClient(self, "z", loop, serverListFunc(neverLeaving), events)
	return c, loop
}

func loadStats(l *Loop) (out sched.LoadStats) {
	l.Query(context.Background(), func(s *sched.Scheduler) { out = s.LoadStats() })
	return out
}

func load(running int, slowdown float64) serverload.Report {
	return serverload.Report{Running: running, Slots: 6, Slowdown: slowdown}
}

// sentLoads returns the messages with load reports in the queue of a link.
func sentLoads(l *homeLink) (out [][]serverload.Record) {
	for _, m := range l.out.Drain(nil) {
		if len(m.Loads) > 0 {
			out = append(out, decodeLoads(m.Loads))
		}
	}
	return out
}

var _ = Describe("a load report of a server", func() {
	It("reaches the local loop and the home, the first at once and the newest of each server after an interval", func() {
		c, loop := startLiveHost("a", "b")
		l := &homeLink{out: ring.New[*wire.ToHome](linkQueueSize)}
		c.follow(l)
		c.RecordLoad("a", load(1, 1))
		Expect(sentLoads(l)).To(ConsistOf(ConsistOf(HaveField("Report", load(1, 1)))))
		c.RecordLoad("a", load(2, 2))
		c.RecordLoad("a", load(3, 3))
		c.RecordLoad("b", load(1, 1))
		Expect(sentLoads(l)).To(BeEmpty())
		var sent [][]serverload.Record
		Eventually(func() int { sent = append(sent, sentLoads(l)...); return len(sent) }).WithPolling(time.Millisecond).Should(Equal(1))
		Expect(sent[0]).To(ConsistOf(HaveField("Report", load(3, 3)), HaveField("Report", load(1, 1))))
		Eventually(func() sched.LoadStats { return loadStats(loop) }).Should(And(HaveField("Slowed", 1), HaveField("Received", uint64(3))))
		Expect(c.ServerLoad("a").Report).To(Equal(load(3, 3)))
		Expect(c.LoadReports()).To(Equal(uint64(4)))
	})

	// With a message for each answer the home would read 1,500 a second more.
	It("is sent in at most one message in an interval, however many answers arrive", func() {
		c, _ := startLiveHost()
		l := &homeLink{out: ring.New[*wire.ToHome](linkQueueSize)}
		c.follow(l)
		begun := time.Now()
		var hosts sync.WaitGroup
		for n := range 4 {
			hosts.Go(func() {
				for i := 0; time.Since(begun) < 400*time.Millisecond; i++ {
					c.RecordLoad(fmt.Sprint(n, i%10), load(i%7, 1+float64(i%5)))
					time.Sleep(time.Millisecond)
				}
			})
		}
		hosts.Wait()
		took := time.Since(begun)
		time.Sleep(2 * flushInterval)
		sent := sentLoads(l)
		Expect(len(sent)).To(BeNumerically("<=", int(took/flushInterval)+2))
		Expect(len(sent)).To(BeNumerically(">=", 3))
	})

	// The next home would otherwise place at slow servers until their next answers.
	It("reaches a home when this host begins to follow it, unless it has aged out", func() {
		c, _ := startLiveHost("a")
		c.loads.table.Update(time.Now().Add(-2*time.Second), "old", load(1, 3))
		c.RecordLoad("a", load(1, 3))
		l := &homeLink{out: ring.New[*wire.ToHome](linkQueueSize)}
		c.follow(l)
		Expect(sentLoads(l)).To(ConsistOf(ConsistOf(And(HaveField("Server", "a"), HaveField("Report", load(1, 3))))))
	})

	// A host that was frozen resumes with reports of the time before, which must not look new.
	It("is not sent after it has aged out", func() {
		c, loop := startLiveHost("a")
		l := &homeLink{out: ring.New[*wire.ToHome](linkQueueSize)}
		c.follow(l)
		c.loads.table.Update(time.Now().Add(-3*time.Second), "a", load(1, 3))
		c.flushLoads()
		Expect(sentLoads(l)).To(BeEmpty())
		Expect(loadStats(loop).Received).To(BeZero())
	})

	// Reports are hints: the requests of the host matter more than a link that would be closed for them.
	It("is dropped if the link is full, and the server's next report is sent", func() {
		c, _ := startLiveHost("a")
		l := &homeLink{out: ring.New[*wire.ToHome](1)}
		c.follow(l)
		for l.push(&wire.ToHome{}) {
		}
		c.RecordLoad("a", load(1, 3)) // the link has no stream that could be aborted
		l.out.Drain(nil)
		time.Sleep(flushInterval)
		c.RecordLoad("a", load(1, 3))
		Expect(sentLoads(l)).To(HaveLen(1))
	})

	It("is neither sent nor applied while the policy is off", func() {
		c, loop := startHost(neverLeaving, "a")
		l := &homeLink{out: ring.New[*wire.ToHome](linkQueueSize)}
		c.RecordLoad("a", load(1, 3))
		c.follow(l)
		time.Sleep(flushInterval)
		c.RecordLoad("a", load(2, 5))
		Expect(sentLoads(l)).To(BeEmpty())
		Expect(loadStats(loop)).To(BeZero())
		Expect(c.ServerLoad("a").Report).To(Equal(load(2, 5)), "the log lines of requests show it")
	})

	It("is applied by the home, which logs that the server is slow", func() {
		var h *Home
		loop, events := startLiveLoop(func(out []sched.Decision) { h.Deliver(out) }, "a", "b")
		h = NewHome(loop, func() []uint64 { return nil })
		holder := openLink(h)
		records := []serverload.Record{{Server: "a", Report: load(1, 2.5), Age: 20 * time.Millisecond}, {Server: "unlisted", Report: load(1, 2.5)}}
		Expect(decodeLoads(encodeLoads(records))).To(Equal(records))
		holder.send(&wire.ToHome{Loads: encodeLoads(records)})
		Eventually(func() int { return loadStats(loop).Slowed }).Should(Equal(1))
		Expect(events.Events(event.Filter{})).To(ContainElement(And(HaveField("Code", event.ServerSlowed), HaveField("Server", "a"), HaveField("Detail", "load=1/0/6/250 age=20ms"))))
		// A home of another build sends and gets messages without the field.
		holder.send(&wire.ToHome{})
		holder.send(&wire.ToHome{Loads: []*wire.ServerLoad{{Server: "b", SlowdownPercent: 1 << 31, Running: 1 << 31, AgeMs: 1 << 31}}})
		Consistently(func() int { return loadStats(loop).Slowed }, 100*time.Millisecond).Should(Equal(1))
	})
})

var _ = Describe("the load reports of 91 hosts", func() {
	// The home reads three messages for each request already. Reports must stay a fraction of that.
	for _, load := range []struct {
		name   string
		slowed float64 // fraction of the servers that are slow in 600 ms of each second
	}{{"all servers as usual", 0}, {"a third of the servers slow in turn", 1.0 / 3}} {
		It("are few and short at 1,500 requests a second and 90 servers: "+load.name, func() {
			const hosts, servers, rate, length = 91, 90, 1500, 5 * time.Second
			rng := rand.New(rand.NewPCG(1, 1))
			begin := time.Now()
			tables, due := make([]*serverload.Table, hosts), make([]time.Time, hosts)
			flushed := make([]time.Time, hosts)
			for i := range tables {
				tables[i] = serverload.NewTable()
			}
			messages, reports, bytes := 0, 0, 0
			flush := func(h int, at time.Time) {
				due[h], flushed[h] = time.Time{}, at
				if records := tables[h].Take(at); len(records) > 0 {
					messages, reports = messages+1, reports+len(records)
					bytes += 4 + proto.Size(&wire.ToHome{Loads: encodeLoads(records)})
				}
			}
			for at := begin; at.Before(begin.Add(length)); at = at.Add(time.Second / rate) {
				for h := range hosts {
					if !due[h].IsZero() && !due[h].After(at) {
						flush(h, due[h])
					}
				}
				h, server := rng.IntN(hosts), rng.IntN(servers)
				slowdown := 0.9 + 0.2*rng.Float64()
				if phase := at.Add(time.Duration(server) * 33 * time.Millisecond).Sub(begin); float64(server) < load.slowed*servers && phase%time.Second < 600*time.Millisecond {
					slowdown *= 3
				}
				if tables[h].Update(at, fmt.Sprintf("i-%010x@%d", server, begin.UnixMilli()), serverload.Report{Running: rng.IntN(7), Slots: 6, Slowdown: slowdown}) {
					due[h] = at
					if next := flushed[h].Add(flushInterval); next.After(at) {
						due[h] = next
					}
				}
			}
			seconds := length.Seconds()
			fmt.Fprintf(GinkgoWriter, "%.0f messages, %.0f reports, %.0f bytes a second\n", float64(messages)/seconds, float64(reports)/seconds, float64(bytes)/seconds)
			Expect(float64(messages) / seconds).To(BeNumerically("<", rate))
			Expect(float64(bytes) / seconds).To(BeNumerically("<", 100_000))
		})
	}
})
