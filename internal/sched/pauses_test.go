package sched

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// pauseSamples feeds a model with runs beside up to maxPrefill event times of prefill, whose gaps are
// those of engines with a bound, with a deviation of a tenth.
func pauseSamples(m *pauseModel, rng *rand.Rand, from Time, n int, maxPrefill, bound float64) Time {
	now := from
	for range n {
		now += 2 * ms
		prefill := maxPrefill * rng.Float64()
		m.add(now, now-time.Second, prefill, min(prefill, bound)*(0.95+0.1*rng.Float64()))
	}
	return now
}

var _ = Describe("the pause model", func() {
	var m *pauseModel
	var rng *rand.Rand
	BeforeEach(func() { m, rng = &pauseModel{}, rand.New(rand.NewPCG(1, 2)) })

	for _, bound := range []float64{0.7, 2, 6} {
		It(fmt.Sprintf("learns a bound of %g event times from runs beside more prefill", bound), func() {
			pauseSamples(m, rng, 0, 600, 5*bound, bound)
			Expect(m.bound).To(BeNumerically("~", bound, 0.25*bound))
		})
	}

	// On such engines the rule by the pending prefill is right.
	It("learns no bound where the pause is the entire prefill", func() {
		pauseSamples(m, rng, 0, 3000, 20, math.Inf(1))
		Expect(m.bound).To(BeZero())
	})

	// Guards against an overestimated prefill ratio that looks like a bound.
	It("learns no bound where the pause is half of the predicted prefill", func() {
		for i := range 3000 {
			prefill := 20 * rng.Float64()
			m.add(Time(i)*ms, 0, prefill, prefill/2)
		}
		Expect(m.bound).To(BeZero())
	})

	// Guards against a bound that is learned from runs which a limit protected from long pauses.
	It("learns no bound from runs beside less prefill than it", func() {
		now := pauseSamples(m, rng, 0, 2000, 3, 6)
		Expect(m.bound).To(BeZero())
		pauseSamples(m, rng, now, 600, 20, 6)
		Expect(m.bound).To(BeNumerically("~", 6, 1.5))
	})

	It("follows engines whose chunks become longer", func() {
		now := pauseSamples(m, rng, 0, 1000, 20, 2)
		Expect(m.bound).To(BeNumerically("~", 2, 0.5))
		pauseSamples(m, rng, now, 1100, 40, 10)
		Expect(m.bound).To(Or(BeZero(), BeNumerically(">", 8)))
	})

	It("learns nothing from runs beside little prefill", func() {
		pauseSamples(m, rng, 0, 1000, minClassPrefill, math.Inf(1))
		Expect(m.samples).To(BeZero())
	})

	// A host that was paused for half a second reports that as a gap of all its streams at once.
	It("doesn't learn the pause of a host", func() {
		now := pauseSamples(m, rng, 0, 1000, 20, 2)
		before := m.bound
		for range 200 {
			m.add(now+ms, now-500*ms, 1+19*rng.Float64(), 14)
		}
		pauseSamples(m, rng, now+ms, 100, 20, 2)
		Expect(m.bound).To(BeNumerically("~", before, 0.1*before))
		Expect(m.ignored).To(BeEquivalentTo(200))
	})

	It("forgets a class from which nothing was learned for long", func() {
		now := pauseSamples(m, rng, 0, 1000, 20, 2)
		m.update(now + 10*time.Minute)
		Expect(m.bound).To(BeZero())
	})
})

// pauseScheduler returns a scheduler with the pause model and one engine that has a stream with a limit
// of 300 ms. Its token time is the default of 6.5 ms and its event time 19.5 ms.
func pauseScheduler() *Scheduler {
	s := newScheduler(1, 4)
	s.policy.LearnPauses = true
	r := stream(1, 0, 0)
	r.MaxPause = 300 * ms
	s.Submit(0, r)
	return s
}

var _ = Describe("a limit of pauses with a learned bound", func() {
	It("lets any prompt run beside a stream if the bound is within the stream's limit", func() {
		s := pauseScheduler()
		svc, srv := s.services[engine], s.servers["e0"]
		Expect(srv.prefillHeadroom(time.Second, svc)).To(BeNumerically("~", 280.5/6.5*250, 100))
		svc.pauses.bound = 5
		Expect(srv.prefillHeadroom(time.Second, svc)).To(Equal(math.Inf(1)))
	})

	It("limits the pending prefill if the bound is beyond the stream's limit", func() {
		s := pauseScheduler()
		svc, srv := s.services[engine], s.servers["e0"]
		without := srv.prefillHeadroom(time.Second, svc)
		svc.pauses.bound = 15
		Expect(srv.prefillHeadroom(time.Second, svc)).To(Equal(without))
	})

	// A request that satisfiable rejects is not compared with each engine. If an engine met its
	// requirements, the request would be left waiting beside a free slot.
	It("is the same for all candidates together as for each of them", func() {
		rng := rand.New(rand.NewPCG(3, 4))
		met, unmet := 0, 0
		for range 2000 {
			s := newScheduler(4, 4)
			svc := s.services[engine]
			s.policy.LearnPauses = true
			svc.pauses.bound = []float64{0, 2, 8, 40}[rng.IntN(4)]
			for id := range uint64(rng.IntN(12)) {
				r := stream(id+1, 0, 0)
				r.PromptTokens, r.MaxPause = 1+rng.IntN(8000), time.Duration(rng.IntN(600))*ms
				s.Submit(0, r)
			}
			for _, srv := range svc.servers {
				srv.tokenTime = time.Duration(2+rng.IntN(30)) * ms
			}
			now := time.Duration(rng.IntN(300)) * ms
			r := stream(100, now, 0)
			r.PromptTokens, r.MaxPause = 1+rng.IntN(8000), time.Duration(rng.IntN(600))*ms
			c := s.candidates(now, svc, s.serversWithRoom(now, svc, nil))
			reqs := s.requirementsOf(now, svc, c.fastestUsable, &r)
			if len(c.free) == 0 || !reqs.worthWaiting {
				continue
			}
			any := false
			for _, srv := range c.free {
				any = any || reqs.metBy(now, svc, srv, &r)
			}
			if any {
				met++
				Expect(reqs.satisfiable(now, svc, c, &r)).To(BeTrue())
			} else {
				unmet++
			}
		}
		Expect(met).To(BeNumerically(">", 100))
		Expect(unmet).To(BeNumerically(">", 100))
	})

	It("learns from no run that a server or a restart cut off", func() {
		for _, result := range []Result{Broken, ServerEnded, Unresponsive, Replaced, ServerError} {
			s := pauseScheduler()
			s.Submit(0, stream(2, 0, 0))
			s.Finish(2*time.Second, Outcome{Key: Key{Holder: 1, ID: 1}, Result: result, LongestGap: 50 * ms})
			Expect(s.services[engine].pauses.samples).To(BeZero())
		}
		s := pauseScheduler()
		s.Submit(0, stream(2, 0, 0))
		s.Finish(2*time.Second, Outcome{Key: Key{Holder: 1, ID: 1}, Result: OK, LongestGap: 50 * ms})
		Expect(s.services[engine].pauses.samples).To(BeEquivalentTo(1))
	})

	It("learns nothing and limits by the pending prefill while the switch is off", func() {
		s := pauseScheduler()
		s.policy.LearnPauses = false
		s.Submit(0, stream(2, 0, 0))
		s.Finish(2*time.Second, Outcome{Key: Key{Holder: 1, ID: 1}, Result: OK, LongestGap: 50 * ms})
		s.ImportPauses(0, []PauseEstimate{{Service: engine, EventTimes: 3, Samples: 1000}})
		Expect(s.services[engine].pauses).To(Equal(pauseModel{}))
		Expect(s.PauseStats()).To(BeEmpty())
	})
})

var _ = Describe("a home that takes over", func() {
	It("uses the bound that the previous home has learned", func() {
		s := pauseScheduler()
		s.ImportPauses(0, []PauseEstimate{{Service: engine, EventTimes: 3, Samples: 1000}, {Service: "unknown", EventTimes: 3, Samples: 1000}})
		Expect(s.services[engine].pauses.bound).To(BeNumerically("~", 2, 0.3))
		Expect(s.LearnedPauses()).To(ConsistOf(HaveField("Service", engine)))
	})

	// The first gaps far beyond the bound must be confirmed by runs that were placed later, here
	// after a second or 500 runs.
	It("corrects a bound that doesn't fit the engines", func() {
		s := pauseScheduler()
		s.ImportPauses(0, []PauseEstimate{{Service: engine, EventTimes: 3, Samples: 1000}})
		pauseSamples(&s.services[engine].pauses, rand.New(rand.NewPCG(5, 6)), time.Second, 1100, 40, 10)
		Expect(s.services[engine].pauses.bound).To(Or(BeZero(), BeNumerically(">", 8)))
	})

	It("keeps what it has learned itself", func() {
		s := pauseScheduler()
		pauseSamples(&s.services[engine].pauses, rand.New(rand.NewPCG(5, 6)), 0, 600, 40, 10)
		before := s.services[engine].pauses.bound
		s.ImportPauses(0, []PauseEstimate{{Service: engine, EventTimes: 3, Samples: 1000}})
		Expect(s.services[engine].pauses.bound).To(Equal(before))
	})

	It("ignores estimates that can't be right", func() {
		s := pauseScheduler()
		for _, e := range []PauseEstimate{{engine, 0, 1000}, {engine, 1, 1000}, {engine, -4, 1000}, {engine, math.NaN(), 1000}, {engine, math.Inf(1), 1000}, {engine, 3, 2}} {
			s.ImportPauses(0, []PauseEstimate{e})
			Expect(s.services[engine].pauses.bound).To(BeZero(), "%+v", e)
		}
	})
})
