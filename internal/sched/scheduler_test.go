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

// newScheduler has n servers of each kind with slots places.
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

// stream is a request of 1,000 prompt tokens with 8 s, of which 800 ms are the
// latency objective.
func stream(id uint64, now Time, priority int) Request {
	return Request{
		Key: Key{Holder: 1, ID: id}, Service: engine, Account: "acc", Priority: priority,
		PromptTokens: 1000, OutputTokens: 60, Units: 1060,
		Arrived: now, Aim: now + 800*ms, Deadline: now + 8*time.Second,
	}
}

func call(id uint64, now Time) Request {
	return Request{
		Key: Key{Holder: 1, ID: id}, Service: plain, Account: "acc", Units: 200,
		Arrived: now, Aim: now + 100*ms, Deadline: now + 600*ms,
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
	It("places at once while there is room and never above the slots", func() {
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

	// Under a burst every appraisal waits 0.8 s and then comes late, though half
	// of them could have been in time: the oldest goes first, and it has just
	// missed its objective.
	It("puts what has missed its objective behind what can still meet it", func() {
		s := newScheduler(1, 1)
		s.Submit(0, stream(1, 0, 0))
		s.Submit(0, stream(2, 0, 0))
		s.Submit(700*ms, stream(3, 700*ms, 0))
		Expect(placed(finish(s, 900*ms, 1, OK))).To(Equal([]uint64{3}))
		Expect(placed(finish(s, 950*ms, 3, OK))).To(Equal([]uint64{2}))
	})

	It("counts the learned time to the first event against the objective", func() {
		s := newScheduler(1, 1)
		for id := uint64(1); id < 40; id++ {
			s.Submit(0, stream(id, 0, 0))
			s.Finish(0, Outcome{Key: Key{Holder: 1, ID: id}, Result: OK, First: 300 * ms})
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
			pace := 20 * ms
			if out[0].Server == "e1" {
				pace = 3 * ms
			}
			s.Finish(0, Outcome{Key: Key{Holder: 1, ID: id}, Result: Pace, Pace: pace})
		}
		for id := uint64(1); id <= 8; id++ {
			finish(s, 0, id, OK)
		}
		out, _ := s.Submit(time.Second, stream(20, time.Second, 0))
		Expect(out[0].Server).To(Equal("e1"))
	})

	It("does not place at a server that leaves, or that was tried", func() {
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

	// A server answers every second call with a failure while its health check
	// is good. Callers see failures for as long as it gets its even share.
	It("turns away from a server that fails its requests, and back in time", func() {
		s := newScheduler(2, 4)
		now := Time(0)
		counts := map[string]int{}
		for id := uint64(1); id <= 60; id++ {
			now += 5 * ms
			out, _ := s.Submit(now, call(id, now))
			counts[out[0].Server]++
			result := OK
			if out[0].Server == "p0" {
				result = Errored
			}
			finish(s, now, id, result)
		}
		Expect(counts["p0"]).To(BeNumerically("<", 15))
		now += 10 * failureMemory
		counts = map[string]int{}
		for id := uint64(100); id < 104; id++ {
			out, _ := s.Submit(now, call(id, now))
			counts[out[0].Server]++
		}
		Expect(counts).To(HaveKey("p0"))
	})

	It("leaves a server alone that cannot be reached", func() {
		s := newScheduler(1, 4)
		s.Submit(0, call(1, 0))
		finish(s, 0, 1, Unreachable)
		out, waits := s.Submit(10*ms, call(2, 10*ms))
		Expect(out).To(BeEmpty())
		Expect(waits).To(BeTrue())
	})

	It("keeps to an engine's memory", func() {
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
	It("refuses at once what waited its part of the time, and says when to come back", func() {
		s := newScheduler(1, 1)
		s.Submit(0, stream(1, 0, 0))
		s.Submit(0, stream(2, 0, 0))
		Expect(s.Tick(time.Second)).To(BeEmpty())
		out := s.Tick(2500 * ms)
		Expect(refused(out)).To(Equal(map[uint64]Reason{2: Overload}))
		Expect(out[0].RetryAfter).To(BeNumerically("~", 1650*ms, 10*ms)) // of 5.5 s left
	})

	It("says so when there is no server", func() {
		s := newScheduler(0, 1)
		s.Submit(0, call(1, 0))
		Expect(refused(s.Tick(300 * ms))).To(Equal(map[uint64]Reason{1: NoServer}))
	})

	It("refuses a service that is not configured", func() {
		out, _ := newScheduler(1, 1).Submit(0, Request{Key: Key{ID: 1}, Service: "other"})
		Expect(refused(out)).To(Equal(map[uint64]Reason{1: NoService}))
	})

	It("spends a bounded budget on repeats", func() {
		s := newScheduler(1, 1000)
		repeats := 0
		for id := range uint64(200) {
			r := call(id, 0)
			r.Repeat = true
			out, _ := s.Submit(0, r)
			if out[0].Reason == 0 {
				repeats++
			}
		}
		Expect(repeats).To(BeNumerically("==", DefaultPolicy().RetryBurst))
	})
})

var _ = Describe("quotas", func() {
	limited := func(rate, burst float64) *Scheduler {
		s := newScheduler(1, 1000)
		s.SetAccounts(0, []Account{{Name: "acc", Rate: rate, Burst: burst}})
		return s
	}

	It("lets no more run than the rate and the burst", func() {
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

	It("waits a little for the quota instead of refusing", func() {
		s := limited(10_600, 2_120)
		var waits bool
		for id := range uint64(3) {
			_, waits = s.Submit(0, stream(id, 0, 0))
		}
		Expect(waits).To(BeTrue())
		Expect(placed(s.Tick(500 * ms))).NotTo(BeEmpty())
	})

	It("refuses what the quota cannot cover in time", func() {
		s := limited(100, 100)
		s.Submit(0, stream(1, 0, 0))
		out, _ := s.Submit(0, stream(2, 0, 0))
		Expect(refused(out)).To(HaveKeyWithValue(uint64(2), Quota))
	})

	// A request is charged, the server is full and does not run it, and the
	// account's next request is refused although nothing of it ever ran.
	It("gives back what did not run", func() {
		s := limited(1, 4_000)
		s.Submit(0, stream(1, 0, 0))
		finish(s, 0, 1, Rejected)
		out, _ := s.Submit(rejectedPause, stream(2, rejectedPause, 0))
		Expect(placed(out)).To(Equal([]uint64{2}))
	})

	// An account within its limit is refused for a second after a change of
	// home: the new home's part of the quota grows tenfold, but what it had
	// left of its small part was all that it could give.
	It("has half of the burst ready when a host becomes the home, however often", func() {
		s := newScheduler(1, 1000)
		s.SetShare(0, Share{Servers: 0.25, Limits: 0.1})
		s.SetAccounts(0, []Account{{Name: "acc", Rate: 1, Burst: 8_000}})
		for range 3 {
			s.SetShare(0, Share{Servers: 1, Limits: 1})
			s.SetShare(0, Share{Servers: 0.25, Limits: 0.1})
		}
		s.SetShare(0, Share{Servers: 1, Limits: 1})
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
	It("books the runs that another home placed", func() {
		s := newScheduler(1, 1)
		s.Adopt(0, Run{Key: Key{Holder: 1, ID: 9}, Service: engine, Server: "e0", PromptTokens: 100, OutputTokens: 10})
		_, waits := s.Submit(0, stream(1, 0, 0))
		Expect(waits).To(BeTrue())
		Expect(placed(finish(s, 10*ms, 9, OK))).To(Equal([]uint64{1}))
	})

	It("drops what a gone holder had waiting and keeps its runs for a while", func() {
		s := newScheduler(1, 1)
		s.Submit(0, stream(1, 0, 0))
		s.Submit(0, stream(2, 0, 0))
		s.HolderGone(0, 1)
		Expect(s.Waiting()).To(BeZero())
		Expect(s.Running()).To(Equal(1))
		s.Tick(maxPredicted + 2*orphanGrace)
		Expect(s.Running()).To(BeZero())
	})

	// 72 hosts lose their home at once. Each used one place of every server, the
	// engines were filled twelve times over and rejected a third of all work.
	It("does not fill servers several times over when many hosts decide alone", func() {
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
			s.SetShare(0, Share{Servers: 1.0 / hosts, Limits: 1.0 / hosts})
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

	It("keeps to its part of the servers when it decides alone", func() {
		s := newScheduler(1, 8)
		s.SetShare(0, Share{Servers: 0.25, Limits: 0.1})
		n := 0
		for id := range uint64(8) {
			out, _ := s.Submit(0, stream(id, 0, 0))
			n += len(placed(out))
		}
		Expect(n).To(Equal(2))
	})
})

var _ = Describe("an ask that comes again", func() {
	// A holder that lost its link to the home asks again under the same number.
	// The home still has the first ask, waiting or placed; were both counted, the
	// server would never get the first one's place back.
	It("takes the place of one that was placed", func() {
		s := twoPlaces()
		_, waits := s.Submit(0, plainAsk(1))
		Expect(waits).To(BeFalse())
		out, waits := s.Submit(ms, plainAsk(1))
		Expect(waits).To(BeFalse())
		Expect(out).To(HaveLen(1))
		Expect(s.Running()).To(Equal(1))
		s.Finish(2*ms, Outcome{Key: Key{Holder: 1, ID: 1}, Result: OK})
		for id := range uint64(2) {
			out, _ := s.Submit(3*ms, plainAsk(10+id))
			Expect(out).To(HaveLen(1))
			Expect(out[0].Server).NotTo(BeEmpty())
		}
	})

	It("takes the place of one that waits", func() {
		s := twoPlaces()
		for id := range uint64(3) {
			s.Submit(0, plainAsk(id))
		}
		_, waits := s.Submit(ms, plainAsk(2))
		Expect(waits).To(BeTrue())
		Expect(s.Waiting()).To(Equal(1))
	})

	It("ends when its holder reports that it runs elsewhere", func() {
		s := twoPlaces()
		for id := range uint64(3) {
			s.Submit(0, plainAsk(id))
		}
		s.Adopt(ms, Run{Key: Key{Holder: 1, ID: 2}, Service: "plain", Server: "p"})
		Expect(s.Waiting()).To(BeZero())
		Expect(s.Running()).To(Equal(3))
	})
})

// twoPlaces makes a scheduler with one plain server of two places.
func twoPlaces() *Scheduler {
	s := New(DefaultPolicy())
	s.SetServices(0, []Service{{Name: "plain"}})
	s.SetServers(0, []Server{{ID: "p", Service: "plain", Address: "p", Slots: 2}})
	return s
}

func plainAsk(id uint64) Request {
	return Request{Key: Key{Holder: 1, ID: id}, Service: "plain", Aim: 100 * ms, Deadline: 600 * ms}
}

var _ = Describe("a long stream among engines of unlike speed", func() {
	// A burst: the fast engine is full, the slow one has room. A stream of 1,500
	// tokens that takes the slow one runs for all of its 15 s and is cut off; its
	// caller has waited for nothing, and the place was taken from others.
	fastAndSlow := func() *Scheduler {
		s := newScheduler(2, 1)
		s.servers["e0"].tokenTime = 5 * ms
		s.servers["e1"].tokenTime = 20 * ms
		return s
	}
	long := func(id uint64) Request {
		r := stream(id, 0, 0)
		r.OutputTokens, r.Deadline = 1500, 15*time.Second
		return r
	}

	It("waits for the one that can end it in time", func() {
		s := fastAndSlow()
		out, _ := s.Submit(0, stream(1, 0, 0))
		Expect(out[0].Server).To(Equal("e0"))
		_, waits := s.Submit(0, long(2))
		Expect(waits).To(BeTrue())
		out = finish(s, 50*ms, 1, OK)
		Expect(placed(out)).To(Equal([]uint64{2}))
		Expect(out[0].Server).To(Equal("e0"))
	})

	It("takes what there is when none can", func() {
		s := fastAndSlow()
		s.Submit(0, stream(1, 0, 0))
		r := long(2)
		r.OutputTokens = 6000
		out, waits := s.Submit(0, r)
		Expect(waits).To(BeFalse())
		Expect(out[0].Server).To(Equal("e1"))
	})
})

var _ = Describe("quotas of a host that decides for itself", func() {
	// All hosts are killed and start again. For the half second until they have a
	// home each has a 72nd of every quota, less than one request needs. Callers far
	// below their limits were told that they are over it, and to come back after
	// the ten seconds in which a 72nd refills.
	alone := func() *Scheduler {
		s := newScheduler(1, 8)
		s.SetAccounts(0, []Account{{Name: "acc", Rate: 30_000, Burst: 30_000}})
		s.SetShare(0, Share{Servers: 1, Limits: 0.01})
		return s
	}

	It("keep a request waiting for the home", func() {
		s := alone()
		s.Submit(0, stream(1, 0, 0)) // more than the whole bucket; it leaves a debt
		Expect(placed(s.Tick(600 * ms))).To(Equal([]uint64{1}))
		out, waits := s.Submit(610*ms, stream(2, 610*ms, 0))
		Expect(out).To(BeEmpty())
		Expect(waits).To(BeTrue())
		Expect(s.Tick(700 * ms)).To(BeEmpty())
		s.SetShare(710*ms, Share{Servers: 1, Limits: 1})
		Expect(placed(s.Tick(800 * ms))).To(Equal([]uint64{2}))
	})

	It("refuse it when it has waited as long as may be, and call it back soon", func() {
		s := alone()
		s.Submit(0, stream(1, 0, 0))
		s.Submit(0, stream(2, 0, 0))
		out := s.Tick(2500 * ms) // 0.3 of its 8 s
		Expect(refused(out)).To(Equal(map[uint64]Reason{2: Quota}))
		Expect(out[0].RetryAfter).To(BeNumerically("<", 2*time.Second))
	})
})

// shared is a stream whose prompt begins with a shared part of 900 tokens.
func shared(id uint64, now Time, part uint64) Request {
	r := stream(id, now, 0)
	r.Parts = []Part{{Key: part, Tokens: 900}, {Key: 1000 + id, Tokens: 100}}
	return r
}

var _ = Describe("long parts that prompts share", func() {
	// Accounts send prompts that begin with one of a few long parts. Spread over
	// all engines, each engine reads each part again and again, and pushes others
	// out: callers wait for reading that another engine has done already.
	It("draw requests to the engine that keeps them, against a little waiting", func() {
		s := newScheduler(3, 4)
		out, _ := s.Submit(0, shared(1, 0, 7))
		holder := out[0].Server
		for id := uint64(2); id < 5; id++ {
			out, _ := s.Submit(0, shared(id, 0, 7))
			Expect(out[0].Server).To(Equal(holder))
		}
		out, _ = s.Submit(0, shared(5, 0, 7))
		Expect(out[0].Server).NotTo(Equal(holder), "it is full")
	})

	// A burst: all engines are full and one place opens. The first in line would
	// take it whatever the engine keeps; nearly all parts would be read again.
	It("let an engine with room choose, among the first in line, what it keeps", func() {
		s := newScheduler(1, 1)
		s.Submit(0, shared(1, 0, 7))
		s.Submit(1*ms, shared(2, 1*ms, 8))
		s.Submit(2*ms, shared(3, 2*ms, 9))
		s.Submit(3*ms, shared(4, 3*ms, 7))
		Expect(placed(finish(s, 50*ms, 1, OK))).To(Equal([]uint64{4}))
		Expect(placed(finish(s, 90*ms, 4, OK))).To(Equal([]uint64{2}))
	})

	It("do not hold up for long what the engine does not keep", func() {
		s := newScheduler(1, 1)
		s.Submit(0, shared(1, 0, 7))
		s.Submit(1*ms, shared(2, 1*ms, 8))
		later := 500 * ms // longer than reading the part is worth
		s.Submit(later, shared(3, later, 7))
		Expect(placed(finish(s, later+50*ms, 1, OK))).To(Equal([]uint64{2}))
	})
})

// An account runs 6% over its bound on the day when all 68 hosts lose power. Each
// comes back with a part of the quota that is smaller than one request, half of it
// ready; half a second later each lets one request pass and leaves a debt, which is
// forgotten when there is a home.
var _ = Describe("a fleet that starts anew", func() {
	It("does not give out an account's quota once for each host", func() {
		const hosts, rate = 68, 30_000
		units := 0.0
		for range hosts {
			s := newScheduler(2, 8)
			s.SetShare(0, Share{Servers: 1, Limits: 0.7 / hosts})
			s.SetAccounts(0, []Account{{Name: "acc", Rate: rate, Burst: rate}})
			for id := range uint64(4) {
				r := stream(id, 0, 0)
				out, _ := s.Submit(0, r)
				units += float64(len(placed(out))) * r.Units
			}
			units += float64(len(placed(s.Tick(700*ms)))) * 1060
		}
		Expect(units).To(BeNumerically("<=", 0.7*rate))
	})
})

// All hosts of a fleet are alone for a moment, after a loss of power, while servers
// fail. Each had the whole retry budget: 72 hosts sent 1,440 requests once more
// where 184 are allowed, into servers that were failing.
var _ = Describe("retries of hosts that decide alone", func() {
	It("stay within the service's budget together", func() {
		const hosts = 72
		repeats := 0
		for range hosts {
			s := newScheduler(1, 1000)
			s.SetShare(0, Share{Servers: 1, Limits: 1.0 / hosts})
			for id := range uint64(30) {
				r := stream(id, 0, 0)
				r.Repeat = true
				out, _ := s.Submit(0, r)
				repeats += len(placed(out))
			}
		}
		Expect(repeats).To(BeNumerically("<=", DefaultPolicy().RetryBurst))
	})

	It("are whole again at a home", func() {
		s := newScheduler(1, 1000)
		s.SetShare(0, Share{Servers: 1, Limits: 1.0 / 72})
		s.SetShare(0, Share{Servers: 1, Limits: 1})
		r := stream(1, 0, 0)
		r.Repeat = true
		out, _ := s.Submit(0, r)
		Expect(placed(out)).To(HaveLen(1))
	})
})
