package sched

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("a long stream among engines of different speeds", func() {
	// In a burst the fast engine is full and the slow one has room. A stream of 1,500 tokens at the
	// slow one runs for all of its 15 s and is cut off: its caller gets no complete answer, and other
	// requests were denied the slot.
	fastAndSlow := func() *Scheduler {
		s := newScheduler(2, 1)
		s.servers["e0"].tokenTime = 5 * ms
		s.servers["e1"].tokenTime = 20 * ms
		return s
	}
	longStream := func(id uint64) Request {
		r := stream(id, 0, 0)
		r.OutputTokens, r.Deadline = 1500, 15*time.Second
		return r
	}

	It("waits for the engine that can end it in time", func() {
		s := fastAndSlow()
		out, _ := s.Submit(0, stream(1, 0, 0))
		Expect(out[0].Server).To(Equal("e0"))
		_, waits := s.Submit(0, longStream(2))
		Expect(waits).To(BeTrue())
		out = finish(s, 50*ms, 1, OK)
		Expect(placed(out)).To(Equal([]uint64{2}))
		Expect(out[0].Server).To(Equal("e0"))
	})

	It("takes any engine when none can end it in time", func() {
		s := fastAndSlow()
		s.Submit(0, stream(1, 0, 0))
		r := longStream(2)
		r.OutputTokens = 6000
		out, waits := s.Submit(0, r)
		Expect(waits).To(BeFalse())
		Expect(out[0].Server).To(Equal("e1"))
	})
})

var _ = Describe("a long prompt among engines of different speeds", func() {
	// A third of the engines are four times slower. In a burst the slot that opens is often on one of
	// them, and the first waiting request takes it with a prompt of thousands of tokens: its caller waits
	// a second for the first event, and every stream there pauses for longer than its caller accepts.
	fastAndSlow := func() *Scheduler {
		s := newScheduler(2, 2)
		s.servers["e0"].tokenTime = 3 * ms
		s.servers["e1"].tokenTime = 13 * ms
		s.Submit(0, stream(1, 0, 0))
		s.Submit(0, stream(2, 0, 0))
		Expect(s.servers["e0"].running).To(Equal(2))
		s.servers["e0"].prefillFreeAt, s.servers["e1"].prefillFreeAt = 0, 0
		return s
	}
	withPrompt := func(id uint64, prompt int) Request {
		r := stream(id, 0, 0)
		r.PromptTokens, r.OutputTokens = prompt, 30
		r.LatencyTarget, r.Deadline, r.MaxPause = time.Second, 15*time.Second, 500*ms
		return r
	}

	It("waits for an engine that can meet its latency target, and lets others take the slot", func() {
		s := fastAndSlow()
		_, waits := s.Submit(0, withPrompt(3, 25_000)) // 1.3 s on the slow one, 0.3 s on the other
		Expect(waits).To(BeTrue())
		out, _ := s.Submit(0, withPrompt(4, 500))
		Expect(placed(out)).To(Equal([]uint64{4}))
		Expect(out[0].Server).To(Equal("e1"))
		out = finish(s, 50*ms, 1, OK)
		Expect(placed(out)).To(Equal([]uint64{3}))
		Expect(out[0].Server).To(Equal("e0"))
	})

	It("does not pause the other streams of an engine for longer than they allow", func() {
		s := fastAndSlow()
		out, _ := s.Submit(0, withPrompt(3, 500))
		Expect(out[0].Server).To(Equal("e1"))
		s.servers["e1"].prefillFreeAt = 0
		_, waits := s.Submit(0, withPrompt(4, 12_000)) // 0.62 s of prefill on the slow one
		Expect(waits).To(BeTrue())
		out = finish(s, 50*ms, 3, OK)
		Expect(out[0].Server).To(Equal("e1"), "nothing runs beside it")
	})

	// Thousands of requests wait while engines have room that suits none of them. When all of them were
	// checked on each arrival, the home of a large fleet had no time left and its callers waited for
	// seconds. A waiting request is checked when a slot opens, for that engine only, and with each tick.
	It("is checked again with the next tick, not on each arrival", func() {
		s := newScheduler(2, 3)
		s.servers["e0"].tokenTime, s.servers["e1"].tokenTime = 3*ms, 13*ms
		for id := uint64(1); id < 4; id++ {
			s.Submit(0, stream(id, 0, 0))
		}
		Expect(s.servers["e0"].running).To(Equal(3))
		out, _ := s.Submit(0, withPrompt(4, 500))
		Expect(out[0].Server).To(Equal("e1"))
		s.servers["e1"].prefillFreeAt = 400 * ms
		_, waits := s.Submit(0, withPrompt(5, 4000))
		Expect(waits).To(BeTrue())
		out, _ = s.Submit(390*ms, withPrompt(6, 100))
		Expect(placed(out)).To(Equal([]uint64{6}))
		Expect(placed(s.Tick(400 * ms))).To(Equal([]uint64{5}))
	})

	It("takes any engine when none is fast enough", func() {
		s := fastAndSlow()
		s.SetServers(0, []Server{{ID: "e1", Service: engine, Slots: 2}})
		out, waits := s.Submit(0, withPrompt(3, 25_000))
		Expect(waits).To(BeFalse())
		Expect(out[0].Server).To(Equal("e1"))
	})
})

var _ = Describe("idle connections of holders to servers", func() {
	// When eight hosts spread their requests evenly over nine engines, half of the requests open a new
	// connection while idle connections time out.
	fromHolder := func(holder, id uint64, now Time) Request {
		r := stream(id, now, 0)
		r.Holder = holder
		return r
	}
	finishFrom := func(s *Scheduler, now Time, holder, id uint64) {
		s.Finish(now, Outcome{Key: Key{Holder: holder, ID: id}, Result: OK, FirstEvent: 30 * ms, TokenTime: 5 * ms})
	}

	It("attract the next request of the same holder while they are open", func() {
		s := newScheduler(3, 4)
		out, _ := s.Submit(0, fromHolder(2, 1, 0))
		connected := out[0].Server
		finishFrom(s, 10*ms, 2, 1)
		s.servers[connected].prefillFreeAt = 50 * ms // another server would be slightly sooner
		out, _ = s.Submit(20*ms, fromHolder(3, 2, 20*ms))
		Expect(out[0].Server).NotTo(Equal(connected), "another holder has no connection there")
		out, _ = s.Submit(20*ms, fromHolder(2, 3, 20*ms))
		Expect(out[0].Server).To(Equal(connected))
		out, _ = s.Submit(20*ms, fromHolder(2, 4, 20*ms))
		Expect(out[0].Server).NotTo(Equal(connected), "the connection is in use")
		finishFrom(s, 40*ms, 2, 3)
		later := connectionIdleTimeout + time.Second
		s.servers[connected].prefillFreeAt = later + 50*ms
		out, _ = s.Submit(later, fromHolder(2, 5, later))
		Expect(out[0].Server).NotTo(Equal(connected), "it has timed out")
	})

	It("are removed when they are not used", func() {
		var c idleConnections
		for holder := range uint64(10 * pruneThreshold) {
			c.release(Time(holder)*time.Second, holder)
		}
		Expect(len(c.byHolder)).To(BeNumerically("<=", pruneThreshold))
	})
})

// sharedPrompt is a stream whose prompt begins with a shared part of 900 tokens.
func sharedPrompt(id uint64, now Time, part uint64) Request {
	r := stream(id, now, 0)
	r.PromptParts = []Part{{Key: part, Tokens: 900}, {Key: 1000 + id, Tokens: 100}}
	return r
}

var _ = Describe("long shared prompt parts", func() {
	// Accounts send prompts that begin with one of a few long parts. When the requests are spread over
	// all engines, each engine prefills each part again and again and evicts others: callers wait for a
	// prefill that another engine has done already.
	It("attract requests to the engine that has them cached, despite a short wait", func() {
		s := newScheduler(3, 4)
		out, _ := s.Submit(0, sharedPrompt(1, 0, 7))
		cachingServer := out[0].Server
		for id := uint64(2); id < 5; id++ {
			out, _ := s.Submit(0, sharedPrompt(id, 0, 7))
			Expect(out[0].Server).To(Equal(cachingServer))
		}
		out, _ = s.Submit(0, sharedPrompt(5, 0, 7))
		Expect(out[0].Server).NotTo(Equal(cachingServer), "it is full")
	})

	// In a burst all engines are full and one slot opens. If the first waiting request took it whatever
	// the engine has cached, nearly all parts would be prefilled again.
	It("let an engine with room choose a cached prompt among the first waiting requests", func() {
		s := newScheduler(1, 1)
		s.Submit(0, sharedPrompt(1, 0, 7))
		s.Submit(1*ms, sharedPrompt(2, 1*ms, 8))
		s.Submit(2*ms, sharedPrompt(3, 2*ms, 9))
		s.Submit(3*ms, sharedPrompt(4, 3*ms, 7))
		Expect(placed(finish(s, 50*ms, 1, OK))).To(Equal([]uint64{4}))
		Expect(placed(finish(s, 90*ms, 4, OK))).To(Equal([]uint64{2}))
	})

	It("do not delay prompts that the engine has not cached for long", func() {
		s := newScheduler(1, 1)
		s.Submit(0, sharedPrompt(1, 0, 7))
		s.Submit(1*ms, sharedPrompt(2, 1*ms, 8))
		later := 500 * ms // longer than the prefill of the part is worth
		s.Submit(later, sharedPrompt(3, later, 7))
		Expect(placed(finish(s, later+50*ms, 1, OK))).To(Equal([]uint64{2}))
	})
})
