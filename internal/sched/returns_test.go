package sched

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("the return of a refused caller", func() {
	// overloaded returns a load that has been too high for a second, and the refusal of one more request.
	overloaded := func() (*admissionLoad, Request, Decision) {
		d := newAdmissionLoad(forecastPolicy(), 1, 6)
		d.play(2*time.Second, 0, 3)
		r := d.request(0)
		d.submit(r)
		last := d.refused[len(d.refused)-1]
		Expect(last.ID).To(Equal(r.ID))
		return d, r, last
	}
	again := func(d *admissionLoad, r Request, at Time) Request {
		d.now = at
		d.next++
		r.Key = Key{Holder: 2, ID: d.next}
		r.Arrived, r.LatencyTarget = at, at+800*ms
		return r
	}
	waitingIn := func(d *admissionLoad, k Key) *waiting {
		var found *waiting
		d.s.services[engine].queue.each(func(w *waiting) (bool, bool) {
			if w.Key == k {
				found = w
			}
			return false, false
		})
		return found
	}

	It("at its moment is ranked as of its first arrival, through whichever host", func() {
		d, r, refusal := overloaded()
		first := r.Arrived
		r = again(d, r, d.now+refusal.RetryAfter+100*ms)
		Expect(d.submit(r)).To(BeTrue())
		w := waitingIn(d, r.Key)
		Expect(w.rank).To(BeNumerically("~", first+d.s.longAnswerDelay(&r), ms))
		Expect(d.s.ForecastStats().Kept).To(Equal(1))
		since, maxWait := d.s.maxWait(d.s.services[engine], w)
		Expect(since+maxWait).To(BeNumerically(">", r.Deadline-2*time.Second), "its caller has no other attempt")
	})

	// Those who kept to their moments would otherwise be late ones while those who came early or late
	// counted as on time and went before them.
	DescribeTable("without foreseen room has the latency target of its first attempt, whenever it comes",
		func(arrived Time, kind returnKind) {
			s := newScheduler(1, 6)
			s.policy.BookReturns, s.policy.AccountShares = true, true
			f := fingerprintOf(1)
			s.bookings.add(&booking{fingerprint: f, calendar: &calendar{}, moment: time.Second, madeAt: 500 * ms, arrived: 400 * ms, latencyTarget: 900 * ms})
			w := &waiting{Request: stream(1, arrived, 0)}
			w.Fingerprint, w.Arrived, w.LatencyTarget = f, arrived, arrived+800*ms
			s.recognizeReturn(arrived, w)
			Expect(w.returned).To(Equal(kind))
			Expect(w.LatencyTarget).To(Equal(900 * ms))
		},
		Entry("early", 800*ms, returnEarly),
		Entry("at its moment", time.Second, returnKept),
		Entry("late", 1500*ms, returnLate),
	)

	// A holder that lost its link submits its requests again. The booking has been used by then, and the
	// caller would be an ordinary arrival with no attempt left.
	It("stays a return when its holder submits it again", func() {
		d, r, refusal := overloaded()
		r = again(d, r, d.now+refusal.RetryAfter)
		Expect(d.submit(r)).To(BeTrue())
		before := *waitingIn(d, r.Key)
		d.now += 20 * ms
		Expect(d.submit(r)).To(BeTrue())
		after := waitingIn(d, r.Key)
		Expect(after.returned).To(Equal(returnKept))
		Expect(after.rankShift).To(Equal(before.rankShift))
		Expect(d.s.ForecastStats().Kept).To(Equal(1))
	})

	It("before its moment is ranked as of that moment, and refused until then", func() {
		d, r, refusal := overloaded()
		moment := d.now + refusal.RetryAfter
		r = again(d, r, d.now+5*ms)
		if d.submit(r) {
			Expect(waitingIn(d, r.Key).rank).To(BeNumerically(">=", moment))
		} else {
			second := d.refused[len(d.refused)-1]
			Expect(d.now + second.RetryAfter).To(BeNumerically(">=", moment-ms))
		}
		Expect(d.s.ForecastStats().Early).To(Equal(1))
		Expect(d.s.ForecastStats().Kept).To(BeZero())
	})

	It("long after its moment is an ordinary arrival", func() {
		d, r, refusal := overloaded()
		r = again(d, r, d.now+refusal.RetryAfter+500*ms)
		d.submit(r)
		Expect(d.s.ForecastStats().Late).To(Equal(1))
		if w := waitingIn(d, r.Key); w != nil {
			Expect(w.rank).To(BeNumerically(">=", r.Arrived))
		}
	})

	// The refusal can be lost with the link; the holder then submits the same attempt again.
	It("is not mistaken for an attempt that was made before the refusal", func() {
		d, r, _ := overloaded()
		d.now += 50 * ms
		r.Arrived -= ms
		d.submit(r)
		Expect(d.s.ForecastStats().Early).To(BeZero())
	})

	It("is counted for each of several callers with identical requests", func() {
		d, r, refusal := overloaded()
		other := r
		d.next++
		other.ID = d.next
		d.submit(other)
		Expect(d.s.bookings.byFingerprint[r.Fingerprint]).To(HaveLen(2))
		moment := d.now + refusal.RetryAfter
		// A third caller comes with the same request before the moment; the two still find their bookings.
		d.submit(again(d, r, d.now+10*ms))
		for range 2 {
			d.submit(again(d, r, moment+20*ms))
		}
		Expect(d.s.ForecastStats().Kept).To(Equal(2))
		Expect(d.s.bookings.byFingerprint[r.Fingerprint]).To(BeEmpty())
	})

	It("is not booked for a request without a fingerprint or one marked as a retry", func() {
		d, r, _ := overloaded()
		before := d.s.bookings.size
		r = d.request(0)
		r.Fingerprint = [16]byte{}
		d.submit(r)
		Expect(d.s.bookings.size).To(Equal(before))
	})

	It("states no more than the third of the time left that callers honor", func() {
		d, _, _ := overloaded()
		for _, left := range []time.Duration{200 * ms, 600 * ms, 1500 * ms, 4 * time.Second, 15 * time.Second} {
			r := d.request(0)
			r.Deadline = d.now + left
			after, ok := d.s.bookReturn(d.now, d.s.services[engine], &waiting{Request: r})
			Expect(ok).To(BeTrue())
			Expect(after).To(BeNumerically("<=", left/3))
			Expect(after).To(BeNumerically(">", 0))
		}
	})

	It("is spread over the room that is foreseen", func() {
		d, _, _ := overloaded()
		svc := d.s.services[engine]
		pq := svc.queue.priorityQueue(0)
		pq.forecast.newArrivals = workRate{} // the overload has ended
		work := svc.work(&Request{PromptTokens: 1000, OutputTokens: 60}).Seconds()
		perStep := map[int64]int{}
		for range 40 {
			r := d.request(0)
			r.Deadline = d.now + 15*time.Second
			after, _ := d.s.bookReturn(d.now, svc, &waiting{Request: r})
			perStep[stepAt(d.now+after)]++
		}
		Expect(len(perStep)).To(BeNumerically(">", 20))
		room := svc.forecast.placed.perSecond() * calendarStep.Seconds() / work
		for step, n := range perStep {
			Expect(float64(n)).To(BeNumerically("<=", max(1, room)+0.01), "step %d", step)
		}
	})

	It("is booked for at most 8,192 callers, and the bookings expire", func() {
		d, _, _ := overloaded()
		svc := d.s.services[engine]
		for range maxBookings + 500 {
			_, ok := d.s.bookReturn(d.now, svc, &waiting{Request: d.request(0)})
			Expect(ok).To(BeTrue())
		}
		Expect(d.s.ForecastStats().Bookings).To(Equal(maxBookings))
		d.now += calendarSpan + 2*returnMemory
		d.s.Tick(d.now)
		Expect(d.s.ForecastStats().Bookings).To(BeZero())
		Expect(d.s.bookings.byFingerprint).To(BeEmpty())
		pq := svc.queue.priorityQueue(0)
		pq.forecast.returns.advance(d.now)
		for _, work := range pq.forecast.returns.booked {
			Expect(work).To(BeNumerically("~", 0, 1e-9))
		}
	})
})
