package sched

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestSched(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "sched")
}

const (
	ms     = time.Millisecond
	engine = "engine"
	plain  = "plain"
)

// newScheduler returns a scheduler with n servers of each kind, each with the given slots.
func newScheduler(n, slots int) *Scheduler {
	s := New(DefaultPolicy())
	s.SetServices(0, []Service{{Name: engine, Engine: true, KVTokens: 200_000, Stride: 3}, {Name: plain}})
	var list []Server
	for i := range n {
		list = append(list,
			Server{ID: fmt.Sprint("e", i), Service: engine, Address: fmt.Sprint("e", i), Slots: slots},
			Server{ID: fmt.Sprint("p", i), Service: plain, Address: fmt.Sprint("p", i), Slots: slots})
	}
	s.SetServers(0, list)
	return s
}

// stream is a request of 1,000 prompt tokens with a deadline of 8 s and a latency target of
// 800 ms.
func stream(id uint64, now Time, priority int) Request {
	return Request{
		Key: Key{Holder: 1, ID: id}, Service: engine, Account: "acc", Priority: priority,
		PromptTokens: 1000, OutputTokens: 60, Units: 1060,
		Arrived: now, LatencyTarget: now + 800*ms, Deadline: now + 8*time.Second,
	}
}

func call(id uint64, now Time) Request {
	return Request{
		Key: Key{Holder: 1, ID: id}, Service: plain, Account: "acc", Units: 200,
		Arrived: now, LatencyTarget: now + 100*ms, Deadline: now + 600*ms,
	}
}

func placed(out []Decision) []uint64 {
	var ids []uint64
	for _, d := range out {
		if d.Reason == 0 {
			ids = append(ids, d.ID)
		}
	}
	return ids
}

func refused(out []Decision) map[uint64]Reason {
	got := map[uint64]Reason{}
	for _, d := range out {
		if d.Reason != 0 {
			got[d.ID] = d.Reason
		}
	}
	return got
}

func finish(s *Scheduler, now Time, id uint64, r Result) []Decision {
	return s.Finish(now, Outcome{Key: Key{Holder: 1, ID: id}, Result: r})
}

var _ = Describe("placing", func() {
	It("places requests at once while there is room, and never more than the slots", func() {
		s := newScheduler(1, 2)
		for id := range uint64(2) {
			out, waits := s.Submit(0, stream(id, 0, 0))
			Expect(waits).To(BeFalse())
			Expect(placed(out)).To(Equal([]uint64{id}))
		}
		out, waits := s.Submit(0, stream(2, 0, 0))
		Expect(out).To(BeEmpty())
		Expect(waits).To(BeTrue())
		Expect(placed(finish(s, 50*ms, 0, OK))).To(Equal([]uint64{2}))
	})

	It("serves urgent requests first, and the oldest within a priority", func() {
		s := newScheduler(1, 1)
		s.Submit(0, stream(1, 0, 0))
		s.Submit(1*ms, stream(2, 1*ms, 2))
		s.Submit(2*ms, stream(3, 2*ms, 0))
		s.Submit(3*ms, stream(4, 3*ms, 0))
		var order []uint64
		for id, now := uint64(1), 10*ms; len(order) < 3; now += 10 * ms {
			next := placed(finish(s, now, id, OK))
			Expect(next).To(HaveLen(1))
			id = next[0]
			order = append(order, id)
		}
		Expect(order).To(Equal([]uint64{3, 4, 2}))
	})

	// If the oldest request always goes first in a burst, every request waits 0.8 s and is late,
	// although half of them could be on time: the oldest has just missed its latency target.
	It("moves requests that missed their latency target behind those that can still meet it", func() {
		s := newScheduler(1, 1)
		s.Submit(0, stream(1, 0, 0))
		s.Submit(0, stream(2, 0, 0))
		s.Submit(700*ms, stream(3, 700*ms, 0))
		Expect(placed(finish(s, 900*ms, 1, OK))).To(Equal([]uint64{3}))
		Expect(placed(finish(s, 950*ms, 3, OK))).To(Equal([]uint64{2}))
	})

	It("subtracts the learned time to the first event from the latency target", func() {
		s := newScheduler(1, 1)
		for id := uint64(1); id < 40; id++ {
			s.Submit(0, stream(id, 0, 0))
			s.Finish(0, Outcome{Key: Key{Holder: 1, ID: id}, Result: OK, FirstEvent: 300 * ms})
		}
		s.Submit(0, stream(50, 0, 0))
		s.Submit(0, stream(51, 0, 0))
		s.Submit(500*ms, stream(52, 500*ms, 0))
		Expect(placed(finish(s, 600*ms, 50, OK))).To(Equal([]uint64{52}))
	})

	It("prefers the faster server once it has learned the speeds", func() {
		s := newScheduler(2, 4)
		for id := uint64(1); id <= 8; id++ {
			out, _ := s.Submit(0, stream(id, 0, 0))
			tokenTime := 20 * ms
			if out[0].Server == "e1" {
				tokenTime = 3 * ms
			}
			s.Finish(0, Outcome{Key: Key{Holder: 1, ID: id}, Result: Progress, TokenTime: tokenTime})
		}
		for id := uint64(1); id <= 8; id++ {
			finish(s, 0, id, OK)
		}
		out, _ := s.Submit(time.Second, stream(20, time.Second, 0))
		Expect(out[0].Server).To(Equal("e1"))
	})

	It("does not place at a draining server or one that was tried already", func() {
		s := newScheduler(2, 4)
		s.SetServers(0, []Server{
			{ID: "e0", Service: engine, Slots: 4, Draining: true},
			{ID: "e1", Service: engine, Slots: 4},
			{ID: "e2", Service: engine, Slots: 4},
		})
		r := stream(1, 0, 0)
		r.Avoid = []string{"e1"}
		out, _ := s.Submit(0, r)
		Expect(out[0].Server).To(Equal("e2"))
	})

	// Its entry was lost in a restore of the store, or removed: nobody knows until it is written again.
	It("does not place at a server whose entry was lost, and places there again once it is written", func() {
		s := newScheduler(2, 4)
		e0 := Server{ID: "e0", Service: engine, Address: "e0", Slots: 4}
		unlisted := e0
		unlisted.Unlisted = true
		s.UpdateServers(0, []Server{unlisted}, nil)
		for id := range uint64(8) {
			out, _ := s.Submit(0, stream(id+1, 0, 0))
			for _, d := range out {
				Expect(d.Server).NotTo(Equal("e0"))
			}
		}
		s.UpdateServers(0, []Server{e0}, nil)
		var placed []string
		out := s.Tick(0)
		for _, d := range out {
			placed = append(placed, d.Server)
		}
		next, _ := s.Submit(0, stream(20, 0, 0))
		for _, d := range next {
			placed = append(placed, d.Server)
		}
		Expect(placed).To(ContainElement("e0"))
	})

	// A server answers every second call with a failure while its health check is good. Callers
	// see failures for as long as the server gets an even share of the calls.
	It("avoids a server that fails its requests, and tries it again later", func() {
		s := newScheduler(2, 4)
		now := Time(0)
		counts := map[string]int{}
		for id := uint64(1); id <= 60; id++ {
			now += 5 * ms
			out, _ := s.Submit(now, call(id, now))
			counts[out[0].Server]++
			result := OK
			if out[0].Server == "p0" {
				result = ServerError
			}
			finish(s, now, id, result)
		}
		Expect(counts["p0"]).To(BeNumerically("<", 15))
		now += 10 * failureHalfLife
		counts = map[string]int{}
		for id := uint64(100); id < 104; id++ {
			out, _ := s.Submit(now, call(id, now))
			counts[out[0].Server]++
		}
		Expect(counts).To(HaveKey("p0"))
	})

	It("ejects an unreachable server", func() {
		s := newScheduler(1, 4)
		s.Submit(0, call(1, 0))
		finish(s, 0, 1, Unreachable)
		out, waits := s.Submit(10*ms, call(2, 10*ms))
		Expect(out).To(BeEmpty())
		Expect(waits).To(BeTrue())
	})

	It("stays within an engine's memory", func() {
		s := newScheduler(1, 8)
		big := stream(1, 0, 0)
		big.PromptTokens = 150_000
		s.Submit(0, big)
		big.ID = 2
		_, waits := s.Submit(0, big)
		Expect(waits).To(BeTrue())
		_, waits = s.Submit(0, stream(3, 0, 0))
		Expect(waits).To(BeFalse())
	})
})

var _ = Describe("refusing", func() {
	It("refuses a request that has waited its share of the time, with a retry delay", func() {
		s := newScheduler(1, 1)
		s.Submit(0, stream(1, 0, 0))
		s.Submit(0, stream(2, 0, 0))
		Expect(s.Tick(time.Second)).To(BeEmpty())
		out := s.Tick(2500 * ms)
		Expect(refused(out)).To(Equal(map[uint64]Reason{2: Overload}))
		Expect(out[0].RetryAfter).To(BeNumerically("~", 1650*ms, 10*ms)) // of 5.5 s left
	})

	It("reports that there is no server", func() {
		s := newScheduler(0, 1)
		s.Submit(0, call(1, 0))
		Expect(refused(s.Tick(300 * ms))).To(Equal(map[uint64]Reason{1: NoServer}))
	})

	It("refuses a service that is not configured", func() {
		out, _ := newScheduler(1, 1).Submit(0, Request{Key: Key{ID: 1}, Service: "other"})
		Expect(refused(out)).To(Equal(map[uint64]Reason{1: NoService}))
	})

	It("limits retries by the retry budget", func() {
		s := newScheduler(1, 1000)
		retries := 0
		for id := range uint64(200) {
			r := call(id, 0)
			r.Retry = true
			out, _ := s.Submit(0, r)
			if out[0].Reason == 0 {
				retries++
			}
		}
		Expect(retries).To(BeNumerically("==", DefaultPolicy().RetryBurst))
	})
})

var _ = Describe("quotas", func() {
	limited := func(rate, burst float64) *Scheduler {
		s := newScheduler(1, 1000)
		s.SetAccounts(0, []Account{{Name: "acc", Rate: rate, Burst: burst}})
		return s
	}

	It("runs no more than the rate and the burst allow", func() {
		s := limited(10_600, 10_600) // ten streams a second
		runs := 0
		for i := range 1000 {
			now := Time(i) * 10 * ms
			out, _ := s.Submit(now, stream(uint64(i), now, 0))
			out = append(out, s.Tick(now)...)
			for _, id := range placed(out) {
				finish(s, now, id, OK)
				runs++
			}
		}
		Expect(runs).To(BeNumerically("~", 100, 10))
	})

	It("waits briefly for the quota instead of refusing", func() {
		s := limited(10_600, 2_120)
		var waits bool
		for id := range uint64(3) {
			_, waits = s.Submit(0, stream(id, 0, 0))
		}
		Expect(waits).To(BeTrue())
		Expect(placed(s.Tick(500 * ms))).NotTo(BeEmpty())
	})

	It("refuses a request that the quota cannot cover in time", func() {
		s := limited(100, 100)
		s.Submit(0, stream(1, 0, 0))
		out, _ := s.Submit(0, stream(2, 0, 0))
		Expect(refused(out)).To(HaveKeyWithValue(uint64(2), Quota))
	})

	// A request is charged to its account, but the server is full and does not run it. Without a refund
	// the account's next request is refused although nothing ran.
	It("refunds a request that did not run", func() {
		s := limited(1, 4_000)
		s.Submit(0, stream(1, 0, 0))
		finish(s, 0, 1, Rejected)
		out, _ := s.Submit(rejectedBackoff, stream(2, rejectedBackoff, 0))
		Expect(placed(out)).To(Equal([]uint64{2}))
	})

	// After a change of home an account within its limit was refused for a second: the new home's
	// share of the quota had grown tenfold, but its bucket held only what was left of the small share.
	It("has half of the burst ready when a host becomes the home, however often", func() {
		s := newScheduler(1, 1000)
		s.SetShare(0, Share{Servers: 0.25, Quotas: 0.1})
		s.SetAccounts(0, []Account{{Name: "acc", Rate: 1, Burst: 8_000}})
		for range 3 {
			s.SetShare(0, Share{Servers: 1, Quotas: 1})
			s.SetShare(0, Share{Servers: 0.25, Quotas: 0.1})
		}
		s.SetShare(0, Share{Servers: 1, Quotas: 1})
		runs := 0
		for id := range uint64(20) {
			out, _ := s.Submit(0, stream(id, 0, 0))
			runs += len(placed(out))
		}
		Expect(runs).To(Equal(3)) // of 1,060 each
	})

	It("does not hold up other accounts", func() {
		s := limited(1, 1)
		s.Submit(0, stream(1, 0, 0))
		s.Submit(0, stream(2, 0, 0))
		other := stream(3, 0, 1)
		other.Account = "other"
		out, _ := s.Submit(0, other)
		Expect(placed(out)).To(Equal([]uint64{3}))
	})
})

var _ = Describe("changes of home", func() {
	It("records the runs that another home placed", func() {
		s := newScheduler(1, 1)
		s.Adopt(0, AdoptedRun{Key: Key{Holder: 1, ID: 9}, Service: engine, Server: "e0", PromptTokens: 100, OutputTokens: 10})
		_, waits := s.Submit(0, stream(1, 0, 0))
		Expect(waits).To(BeTrue())
		Expect(placed(finish(s, 10*ms, 9, OK))).To(Equal([]uint64{1}))
	})

	It("drops the waiting requests of a lost holder and keeps its runs for a while", func() {
		s := newScheduler(1, 1)
		s.Submit(0, stream(1, 0, 0))
		s.Submit(0, stream(2, 0, 0))
		s.HolderGone(0, 1)
		Expect(s.Waiting()).To(BeZero())
		Expect(s.Running()).To(Equal(1))
		s.Tick(maxPredictedTime + 2*orphanGrace)
		Expect(s.Running()).To(BeZero())
	})

	// 72 hosts lose their home at once. When each used one slot of every server, the engines were
	// filled twelve times over and rejected a third of all requests.
	It("does not fill servers several times over when many hosts schedule alone", func() {
		const hosts, servers, slots = 72, 20, 6
		running := map[string]int{}
		for h := range uint64(hosts) {
			s := New(DefaultPolicy())
			s.SetOwner(h)
			s.SetServices(0, []Service{{Name: engine, Engine: true}})
			var list []Server
			for i := range servers {
				list = append(list, Server{ID: fmt.Sprint("e", i), Service: engine, Slots: slots})
			}
			s.SetServers(0, list)
			s.SetShare(0, Share{Servers: 1.0 / hosts, Quotas: 1.0 / hosts})
			for id := range uint64(40) {
				out, _ := s.Submit(0, stream(id, 0, 0))
				for _, d := range out {
					running[d.Server]++
				}
			}
		}
		total := 0
		for _, n := range running {
			Expect(n).To(BeNumerically("<=", 3*slots))
			total += n
		}
		Expect(total).To(BeNumerically("~", servers*slots, servers*slots/3))
	})

	// Guards against a host that refuses all of its requests while it schedules alone, because its part of each
	// server is rounded down.
	DescribeTable("has a slot when it schedules alone and its part of all servers is at least one",
		func(hosts, servers, slots int) {
			total := 0
			for h := range uint64(2000) {
				s := New(DefaultPolicy())
				s.SetOwner(h)
				s.SetServices(0, []Service{{Name: engine, Engine: true}})
				var list []Server
				for i := range servers {
					list = append(list, Server{ID: fmt.Sprint("e", i), Service: engine, Slots: slots})
				}
				s.SetServers(0, list)
				s.SetShare(0, Share{Servers: 1 / float64(hosts), Quotas: 1 / float64(hosts)})
				n := 0
				for id := range uint64(servers * slots) {
					out, _ := s.Submit(0, stream(id, 0, 0))
					n += len(placed(out))
				}
				Expect(n).To(BeNumerically(">=", 1), "host %d", h)
				total += n
			}
			part := float64(servers*slots) / float64(hosts)
			Expect(float64(total) / 2000).To(BeNumerically("~", part, 0.05*part))
		},
		Entry("of a few hosts", 7, 3, 6),
		Entry("of many hosts", 72, 12, 6),
		Entry("beside more hosts than a server has slots", 16, 20, 1),
	)

	// Guards against a former home that refuses requests because the runs of hosts that have left it fill its part
	// of the servers.
	DescribeTable("does not count the runs of lost holders against its part when it schedules alone",
		func(change func(s *Scheduler)) {
			const self = 2
			s := newScheduler(1, 6)
			s.SetOwner(self)
			for id := range uint64(3) {
				s.Submit(0, stream(id, 0, 0))
			}
			change(s)
			n := 0
			for id := range uint64(6) {
				r := stream(id, 0, 0)
				r.Holder = self
				out, _ := s.Submit(0, r)
				n += len(placed(out))
			}
			Expect(n).To(Equal(2))
		},
		Entry("lost before", func(s *Scheduler) {
			s.HolderGone(0, 1)
			s.SetShare(0, Share{Servers: 1.0 / 3, Quotas: 0.1})
		}),
		Entry("lost afterwards", func(s *Scheduler) {
			s.SetShare(0, Share{Servers: 1.0 / 3, Quotas: 0.1})
			s.HolderGone(0, 1)
		}),
	)

	It("counts the runs of lost holders when it schedules for all again", func() {
		s := newScheduler(1, 6)
		s.SetOwner(2)
		for id := range uint64(3) {
			s.Submit(0, stream(id, 0, 0))
		}
		s.HolderGone(0, 1)
		s.SetShare(0, Share{Servers: 1.0 / 3, Quotas: 0.1})
		s.SetShare(0, Share{Servers: 1, Quotas: 1})
		n := 0
		for id := range uint64(6) {
			r := stream(id, 0, 0)
			r.Holder = 2
			out, _ := s.Submit(0, r)
			n += len(placed(out))
		}
		Expect(n).To(Equal(3))
	})

	It("stays within its share of the servers when it schedules alone", func() {
		s := newScheduler(1, 8)
		s.SetShare(0, Share{Servers: 0.25, Quotas: 0.1})
		n := 0
		for id := range uint64(8) {
			out, _ := s.Submit(0, stream(id, 0, 0))
			n += len(placed(out))
		}
		Expect(n).To(Equal(2))
	})
})

var _ = Describe("the token time of an engine", func() {
	// A host that was paused counted its pause as the time of the streams that it was reading, 107 ms a
	// token. Requests then waited for other engines, so that no better sample ever came.
	It("does not include a pause of the host that read its streams", func() {
		s := newScheduler(2, 2)
		var ids []uint64
		for id := uint64(1); id <= 4; id++ {
			s.Submit(0, stream(id, 0, 0))
			ids = append(ids, id)
		}
		for _, id := range ids {
			s.Finish(6*time.Second, Outcome{Key: Key{Holder: 1, ID: id}, Result: OK, FirstEvent: 100 * ms, TokenTime: 107 * ms})
		}
		for _, srv := range []string{"e0", "e1"} {
			Expect(s.servers[srv].tokenTime).To(Equal(defaultTokenTime))
		}
	})

	It("is learned from the second of two runs when the engine is that slow", func() {
		s := newScheduler(1, 1)
		for id := uint64(1); id <= 2; id++ {
			now := Time(id) * time.Second
			s.Submit(now, stream(id, now, 0))
			s.Finish(now+500*ms, Outcome{Key: Key{Holder: 1, ID: id}, Result: OK, FirstEvent: 100 * ms, TokenTime: 107 * ms})
		}
		Expect(s.servers["e0"].tokenTime).To(Equal(107 * ms))
	})
})
