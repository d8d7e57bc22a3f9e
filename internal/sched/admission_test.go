package sched

import (
	"fmt"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// admissionLoad is a scheduler with forecasts and bookings whose service has had a queue for
// long enough: it places 20 streams a second, one each 50 ms, and more are refused or wait.
type admissionLoad struct {
	s       *Scheduler
	now     Time
	next    uint64
	refused []Decision
	placed  map[uint64]Time
	running []uint64
}

func newAdmissionLoad(p Policy, servers, slots int) *admissionLoad {
	d := &admissionLoad{s: newScheduler(servers, slots), placed: map[uint64]Time{}}
	d.s.policy = p
	return d
}

func (d *admissionLoad) apply(out []Decision) {
	for _, o := range out {
		if o.Reason != 0 {
			d.refused = append(d.refused, o)
			continue
		}
		d.placed[o.ID] = d.now
		d.running = append(d.running, o.ID)
	}
}

func (d *admissionLoad) request(priority int) Request {
	d.next++
	r := stream(d.next, d.now, priority)
	r.Fingerprint = fingerprintOf(int(d.next))
	r.Deadline = d.now + 4*time.Second
	return r
}

func (d *admissionLoad) submit(r Request) (waits bool) {
	out, waits := d.s.Submit(d.now, r)
	d.apply(out)
	return waits
}

// play submits requests of a priority at a rate and ends the oldest run each 50 ms.
func (d *admissionLoad) play(length time.Duration, priority, perStep int) {
	for end := d.now + length; d.now < end; d.now += 10 * ms {
		if d.now%(50*ms) == 0 {
			if len(d.running) > 0 {
				id := d.running[0]
				d.running = d.running[1:]
				d.apply(finish(d.s, d.now, id, OK))
			}
			for range perStep {
				d.submit(d.request(priority))
			}
		}
		d.apply(d.s.Tick(d.now))
	}
}

var _ = Describe("a forecast of the start of a request", func() {
	It("follows from the work before it, what arrives meanwhile and the rate of placements", func() {
		Expect(forecastWait(2, 0, 4)).To(Equal(0.5))
		Expect(forecastWait(2, 2, 4)).To(Equal(1.0))
		// Arrivals are foreseen for a second; what is left then is placed without any.
		Expect(forecastWait(2, 4, 4)).To(Equal(1.5))
		Expect(forecastWait(2, 8, 4)).To(Equal(2.5))
		Expect(forecastWait(0, 8, 4)).To(Equal(0.0 + 1 + 1))
		Expect(forecastWait(2, 0, 0)).To(BeNumerically(">", 1e9))
	})

	It("sums the work up to a rank as a plain sum does", func() {
		rng := rand.New(rand.NewPCG(1, 1))
		var b backlog
		b.reset(5 * time.Second)
		type item struct {
			rank Time
			work float64
		}
		var items []item
		for range 500 {
			it := item{Time(rng.Int64N(int64(8 * time.Second))), rng.Float64()}
			items = append(items, it)
			b.add(it.rank, it.work, 1)
		}
		for range 100 {
			rank := Time(rng.Int64N(int64(8 * time.Second)))
			work, n := 0.0, 0
			for _, it := range items {
				if b.bucket(it.rank) <= b.bucket(rank) {
					work += it.work
					n++
				}
			}
			got, count := b.before(rank)
			Expect(got).To(BeNumerically("~", work, 1e-6))
			Expect(count).To(Equal(n))
		}
	})

	It("counts the rate of placements only while requests wait", func() {
		var r placedRate
		r.advance(0, false)
		r.add(time.Second)
		r.advance(5*time.Second, true)
		Expect(r.known()).To(BeFalse())
		for now := 5 * time.Second; now < 8*time.Second; now += 50 * ms {
			r.advance(now, true)
			r.add(100 * ms)
		}
		Expect(r.known()).To(BeTrue())
		Expect(r.perSecond()).To(BeNumerically("~", 2, 0.15))
		r.advance(8*time.Second, false)
		r.advance(20*time.Second, true)
		Expect(r.perSecond()).To(BeNumerically("~", 2, 0.15), "an idle time is not a slow time")
	})
})

var _ = Describe("refusing by forecast", func() {
	It("states the forecast, the moment with room and the change", func() {
		d := newAdmissionLoad(forecastPolicy(), 1, 6)
		d.play(3*time.Second, 0, 3)
		Expect(d.refused).NotTo(BeEmpty())
		last := d.refused[len(d.refused)-1]
		Expect(last.Reason).To(Equal(Overload))
		Expect(last.Detail).To(MatchRegexp(`forecast=\d+\.\ds room=\d+\.\ds before=\d+ rate=(19|20|21)/s`))
		Expect(last.RetryAfter).To(BeNumerically("<=", 4*time.Second/3))
		changes := d.s.TakeForecastChanges()
		Expect(changes).To(HaveLen(1))
		Expect(changes[0]).To(And(HaveField("Service", engine), HaveField("Priority", 0), HaveField("Refusing", true), HaveField("Detail", ContainSubstring("forecast="))))
		d.play(3*time.Second, 0, 0)
		changes = d.s.TakeForecastChanges()
		Expect(changes).To(HaveLen(1))
		Expect(changes[0].Refusing).To(BeFalse())
		Expect(d.s.ForecastStats().Refused).To(BeNumerically(">", 10))
		stats := d.s.ForecastStats()
		Expect(stats.Right + stats.Wrong).To(BeNumerically(">", 0))
	})

	It("leaves a request alone that its host marked as a retry", func() {
		d := newAdmissionLoad(forecastPolicy(), 1, 6)
		d.play(3*time.Second, 0, 3)
		r := d.request(0)
		r.Retry = true
		Expect(d.submit(r)).To(BeTrue())
	})

	It("does not happen at a host that schedules alone, nor are returns booked", func() {
		d := newAdmissionLoad(forecastPolicy(), 1, 6)
		d.s.SetShare(0, Share{Servers: 0.9, Quotas: 0.9, RateLimits: 0.9})
		d.play(3*time.Second, 0, 3)
		Expect(d.s.ForecastStats().Refused).To(BeZero())
		Expect(d.s.ForecastStats().Bookings).To(BeZero())
	})

	It("does not count requests that wait for their account's quota, and refuses none of these", func() {
		d := newAdmissionLoad(forecastPolicy(), 2, 6)
		d.s.SetAccounts(0, []Account{{Name: "limited", Rate: 1000, Burst: 1000}})
		for range 5 {
			r := d.request(0)
			r.Account = "limited"
			d.submit(r)
		}
		pq := d.s.services[engine].queue.priorityQueue(0)
		d.s.summarize(d.now+100*ms, d.s.services[engine])
		Expect(pq.forecast.onTime.size+pq.forecast.late.size).To(BeZero(), "all but the first wait for the quota")
		Expect(d.s.ForecastStats().Refused).To(BeZero())
	})

	It("never happens while a server that may take the request is idle", func() {
		for seed := range uint64(20) {
			rng := rand.New(rand.NewPCG(seed, 5))
			d := newAdmissionLoad(forecastPolicy(), 1+rng.IntN(4), 1+rng.IntN(6))
			d.s.policy.LimitStreamPauses = rng.IntN(2) == 0
			svc := d.s.services[engine]
			for range 4000 {
				d.now += time.Duration(rng.IntN(10)) * ms
				switch rng.IntN(4) {
				case 0, 1:
					r := d.request(rng.IntN(3))
					r.PromptTokens, r.OutputTokens = rng.IntN(6000), rng.IntN(200)
					r.MaxPause = time.Duration(rng.IntN(500)) * ms
					r.LatencyTarget = d.now + time.Duration(rng.IntN(800))*ms
					r.Deadline = d.now + time.Duration(500+rng.IntN(6000))*ms
					if rng.IntN(4) == 0 {
						r.Avoid = []string{"e0"}
					}
					idle := false
					for _, srv := range svc.servers {
						idle = idle || srv.running == 0 && srv.hasRoom(d.now, d.s.concurrencyLimit(svc, srv)) && srv.eligible(d.now, &r)
					}
					before := len(d.refused)
					d.submit(r)
					if idle {
						Expect(d.refused[before:]).To(BeEmpty(), "seed %d", seed)
					}
				case 2:
					if n := len(d.running); n > 0 {
						i := rng.IntN(n)
						id := d.running[i]
						d.running = append(d.running[:i], d.running[i+1:]...)
						d.apply(finish(d.s, d.now, id, OK))
					}
				case 3:
					d.apply(d.s.Tick(d.now))
				}
			}
		}
	})

	// Without the reservation, an account that asks rarely is refused like all others, for seconds on end.
	It("places a request of an account that has had nothing for a second", func() {
		d := newAdmissionLoad(forecastPolicy(), 1, 6)
		lastPlaced, longest := Time(0), time.Duration(0)
		ids := map[uint64]bool{}
		for d.now < 10*time.Second {
			if d.now%(300*ms) == 0 {
				r := d.request(1)
				r.Account, r.Deadline = "small", d.now+4*time.Second
				ids[r.ID] = true
				d.submit(r)
			}
			d.play(50*ms, 0, 3)
			for id := range ids {
				if at, ok := d.placed[id]; ok {
					longest = max(longest, at-lastPlaced)
					lastPlaced = at
					delete(ids, id)
				}
			}
		}
		Expect(max(longest, d.now-lastPlaced)).To(BeNumerically("<", 2*time.Second))
	})

	It("reserves places for a bounded number of accounts at a time", func() {
		d := newAdmissionLoad(forecastPolicy(), 1, 6)
		for i := range 2000 {
			if i%100 == 0 {
				d.now += 200 * ms
				d.apply(d.s.Tick(d.now))
			}
			r := d.request(0)
			r.Account = fmt.Sprint("account ", i%500)
			d.submit(r)
			Expect(len(d.s.services[engine].forecast.reserved)).To(BeNumerically("<=", maxReserved))
		}
		Expect(d.s.services[engine].forecast.reserved).NotTo(BeEmpty())
		d.now += time.Minute
		d.apply(d.s.Tick(d.now))
		d.apply(d.s.Tick(d.now + 10*ms))
		Expect(d.s.services[engine].forecast.reserved).To(BeEmpty())
	})

	It("remembers a bounded number of accounts", func() {
		var f serviceForecast
		for i := range maxTrackedAccounts + 100 {
			if a := f.account(0, fmt.Sprint(i)); a != nil {
				a.ask(0)
			}
		}
		Expect(f.accounts).To(HaveLen(maxTrackedAccounts))
		Expect(f.account(time.Minute, "new")).NotTo(BeNil(), "those that have stopped asking make room")
		Expect(len(f.accounts)).To(BeNumerically("<=", maxTrackedAccounts))
	})
})
