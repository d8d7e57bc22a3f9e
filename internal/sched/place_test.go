package sched

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

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

var _ = Describe("a long prompt among engines of unlike speed", func() {
	// A third of the engines is four times slower. In a burst the place that opens is
	// one of theirs, and the first in line takes it with a prompt of thousands of
	// tokens: its caller waits a second for the first event, and every stream there
	// stops for longer than its caller counts as on time.
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
	ask := func(id uint64, prompt int) Request {
		r := stream(id, 0, 0)
		r.PromptTokens, r.OutputTokens = prompt, 30
		r.Aim, r.Deadline, r.MaxPause = time.Second, 15*time.Second, 500*ms
		return r
	}

	It("waits for an engine that can be on time, and lets others take the place", func() {
		s := fastAndSlow()
		_, waits := s.Submit(0, ask(3, 25_000)) // 1.3 s on the slow one, 0.3 s on the other
		Expect(waits).To(BeTrue())
		out, _ := s.Submit(0, ask(4, 500))
		Expect(placed(out)).To(Equal([]uint64{4}))
		Expect(out[0].Server).To(Equal("e1"))
		out = finish(s, 50*ms, 1, OK)
		Expect(placed(out)).To(Equal([]uint64{3}))
		Expect(out[0].Server).To(Equal("e0"))
	})

	It("does not stop the streams beside it for longer than is on time", func() {
		s := fastAndSlow()
		out, _ := s.Submit(0, ask(3, 500))
		Expect(out[0].Server).To(Equal("e1"))
		s.servers["e1"].prefillFreeAt = 0
		_, waits := s.Submit(0, ask(4, 12_000)) // 0.62 s to read on the slow one
		Expect(waits).To(BeTrue())
		out = finish(s, 50*ms, 3, OK)
		Expect(out[0].Server).To(Equal("e1"), "nothing runs beside it")
	})

	// Thousands wait before engines with room that fit none of them. Were all of them
	// looked at whenever one more comes, the home of a large fleet had no time left and
	// its callers waited for seconds. Whoever waits is looked at when a place opens, at
	// that engine only, and with each tick.
	It("is looked at again with the next tick, not whenever a request comes", func() {
		s := newScheduler(2, 3)
		s.servers["e0"].tokenTime, s.servers["e1"].tokenTime = 3*ms, 13*ms
		for id := uint64(1); id < 4; id++ {
			s.Submit(0, stream(id, 0, 0))
		}
		Expect(s.servers["e0"].running).To(Equal(3))
		out, _ := s.Submit(0, ask(4, 500))
		Expect(out[0].Server).To(Equal("e1"))
		s.servers["e1"].prefillFreeAt = 400 * ms
		_, waits := s.Submit(0, ask(5, 4000))
		Expect(waits).To(BeTrue())
		out, _ = s.Submit(390*ms, ask(6, 100))
		Expect(placed(out)).To(Equal([]uint64{6}))
		Expect(placed(s.Tick(400 * ms))).To(Equal([]uint64{5}))
	})

	It("takes what there is when no engine is fast enough", func() {
		s := fastAndSlow()
		s.SetServers(0, []Server{{ID: "e1", Service: engine, Slots: 2}})
		out, waits := s.Submit(0, ask(3, 25_000))
		Expect(waits).To(BeFalse())
		Expect(out[0].Server).To(Equal("e1"))
	})
})

var _ = Describe("connections that holders keep to servers", func() {
	// Eight hosts spread their requests over nine engines as if these were all alike:
	// half of the requests open a new connection while idle ones run out.
	from := func(holder, id uint64, now Time) Request {
		r := stream(id, now, 0)
		r.Holder = holder
		return r
	}
	end := func(s *Scheduler, now Time, holder, id uint64) {
		s.Finish(now, Outcome{Key: Key{Holder: holder, ID: id}, Result: OK, First: 30 * ms, Pace: 5 * ms})
	}

	It("draw the next request of the same holder, as long as they stay open", func() {
		s := newScheduler(3, 4)
		out, _ := s.Submit(0, from(2, 1, 0))
		kept := out[0].Server
		end(s, 10*ms, 2, 1)
		s.servers[kept].prefillFreeAt = 50 * ms // another would be a little sooner
		out, _ = s.Submit(20*ms, from(3, 2, 20*ms))
		Expect(out[0].Server).NotTo(Equal(kept), "another holder has no connection there")
		out, _ = s.Submit(20*ms, from(2, 3, 20*ms))
		Expect(out[0].Server).To(Equal(kept))
		out, _ = s.Submit(20*ms, from(2, 4, 20*ms))
		Expect(out[0].Server).NotTo(Equal(kept), "the connection is in use")
		end(s, 40*ms, 2, 3)
		later := keptFor + time.Second
		s.servers[kept].prefillFreeAt = later + 50*ms
		out, _ = s.Submit(later, from(2, 5, later))
		Expect(out[0].Server).NotTo(Equal(kept), "it is closed by now")
	})

	It("are forgotten when nobody uses them", func() {
		var c connections
		for holder := range uint64(10 * prunedFrom) {
			c.keep(Time(holder)*time.Second, holder)
		}
		Expect(len(c.byHolder)).To(BeNumerically("<=", prunedFrom))
	})
})

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
