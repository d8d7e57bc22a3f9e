package sched

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/gentianflow/gentianflow/internal/quarantine"
)

var _ = Describe("a report that a server does not answer", func() {
	// place places a request of a holder at the only server.
	place := func(s *Scheduler, now Time, holder, id uint64) Key {
		r := call(id, now)
		r.Holder = holder
		out, _ := s.Submit(now, r)
		Expect(out).To(HaveLen(1))
		Expect(out[0].Server).NotTo(BeEmpty())
		return r.Key
	}
	usable := func(s *Scheduler, now Time) int { return s.countUsable(now, s.services[plain]) }

	DescribeTable("is dropped if another host got an answer meanwhile",
		func(result Result) {
			s := newScheduler(1, 8)
			failing := place(s, 0, 1, 1)
			other := place(s, 10*ms, 2, 2)
			s.Finish(30*ms, Outcome{Key: other, Result: OK, FirstEvent: 20 * ms})
			s.Finish(60*ms, Outcome{Key: failing, Result: result})
			Expect(usable(s, 61*ms)).To(Equal(1))
			Expect(s.servers["p0"].failureRateAt(61 * ms)).To(BeZero())
			Expect(s.TakeEjections()).To(BeEmpty())
		},
		Entry("nothing was sent", Unreachable),
		Entry("a stream fell silent", Unresponsive),
		Entry("a stream fell silent and continues", Stalled),
	)

	It("counts if only the same host got answers", func() {
		s := newScheduler(1, 8)
		failing := place(s, 0, 1, 1)
		other := place(s, 10*ms, 1, 2)
		s.Finish(30*ms, Outcome{Key: other, Result: OK, FirstEvent: 20 * ms})
		s.Finish(60*ms, Outcome{Key: failing, Result: Unreachable})
		Expect(usable(s, 61*ms)).To(BeZero())
		Expect(s.TakeEjections()).To(HaveLen(1))
	})

	// Answers from before the end of a server must not keep it in use.
	It("counts if the answers of others are older", func() {
		s := newScheduler(1, 8)
		other := place(s, 0, 2, 1)
		s.Finish(20*ms, Outcome{Key: other, Result: OK, FirstEvent: 20 * ms})
		failing := place(s, 30*ms, 1, 2)
		s.Finish(90*ms, Outcome{Key: failing, Result: Unreachable})
		Expect(usable(s, 91*ms)).To(BeZero())
	})

	It("ends as soon as a host reaches the server again", func() {
		s := newScheduler(1, 8)
		failing := place(s, 0, 1, 1)
		s.Finish(60*ms, Outcome{Key: failing, Result: Unreachable})
		r := call(2, 70*ms)
		_, waits := s.Submit(70*ms, r)
		Expect(waits).To(BeTrue())
		out := s.ServerReached(100*ms, "p0")
		Expect(out).To(HaveLen(1))
		Expect(out[0].Server).To(Equal("p0"))
		Expect(s.ServerReached(100*ms, "unknown")).To(BeEmpty())
	})
})

var _ = Describe("a run that was lost with the path of its holder", func() {
	// Runs that break with a host's links look like a faulty server, a request that ends servers or a
	// bad version.
	It("says nothing about the server or the request", func() {
		s := newScheduler(1, 8)
		request := quarantine.NewFingerprint("POST", "host", "/", "acc", []byte("the same request"))
		for id := range uint64(20) {
			r := call(id, 0)
			r.Fingerprint = request
			s.Submit(0, r)
			s.Finish(10*ms, Outcome{Key: r.Key, Result: PathLost})
		}
		srv := s.servers["p0"]
		Expect(srv.failureRateAt(10 * ms)).To(BeZero())
		Expect(srv.usable(10 * ms)).To(BeTrue())
		Expect(srv.ended).To(BeFalse())
		Expect(s.suspects.Has(request)).To(BeFalse())
		Expect(s.TakeEjections()).To(BeEmpty())
	})

	// A server does not notice that a connection behind a cut was closed. With the slot given away at once
	// it would have more requests than slots, and with the slot kept until the holder gives up it would be idle.
	It("keeps its slot until its predicted end, whatever its holder does", func() {
		s := newScheduler(1, 1)
		s.Submit(0, call(1, 0))
		finish(s, 10*ms, 1, PathLost)
		_, waits := s.Submit(10*ms, call(2, 10*ms))
		Expect(waits).To(BeTrue())
		var out []Decision
		for now := 20 * ms; len(out) == 0 && now < 500*ms; now += 10 * ms {
			out = s.Tick(now)
		}
		Expect(placed(out)).To(Equal([]uint64{2}))
		Expect(finish(s, 500*ms, 1, OK)).To(BeEmpty())
	})

	It("was charged, since it may have run", func() { Expect(PathLost.NotRun()).To(BeFalse()) })
})
