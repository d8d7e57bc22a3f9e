package sched

import (
	"slices"
	"time"

	"github.com/gentianflow/gentianflow/internal/quarantine"
)

// Booked returns answer the load of refused callers who come back: when all are told the same fixed
// delay, they return to the overload that they were refused in. A calendar for each service and priority
// holds the work of the callers that have been told to come back, and each refusal is given the first
// moment with room for its request. A caller is recognized by its request's fingerprint, whichever entry
// host it returns through. Bookings live in the memory of the home only; with a new home, those
// who return are ordinary arrivals.

const (
	// calendarStep is the resolution of a calendar, about the time in which a slot of a plain service opens again.
	calendarStep = 50 * time.Millisecond
	// calendarSteps covers bookings of up to calendarSpan from now, those whose returns are still awaited and
	// some reserve.
	calendarSteps = 160
	calendarSpan  = 5 * time.Second // a third of the longest deadline that callers have, 15 s
	// returnTolerance is how long after its moment a caller may return and be ranked as of its first
	// arrival: it covers connecting and one lost packet. returnMemory is how long the booking is remembered.
	returnTolerance = 300 * time.Millisecond
	returnMemory    = time.Second
	// earlyTolerance covers the rounding of durations to milliseconds in messages and header fields.
	earlyTolerance = 10 * time.Millisecond
	// maxBookings bounds the bookings of all services, about 1 MB. At 1,600 refusals a second with a
	// moment 5 s ahead there are 8,000.
	maxBookings = 8192
	// runTimeMargin multiplies the typical time of a run that the last attempt of a caller must have left: the
	// slowest servers take nearly three times as long as typical ones.
	runTimeMargin = 3
	// keptWaitShare is the fraction of its time that a caller who kept to its moment may wait if no forecast
	// has admitted it: one that isn't served is told so while half of its time is left.
	keptWaitShare = 0.5
	// honoredShare is the fraction of their remaining time for which callers honor a Retry-After.
	honoredShare = 1.0 / 3
)

// returnKind is how a request relates to the bookings.
type returnKind uint8

const (
	newArrival  returnKind = iota
	returnKept             // at its booked moment
	returnEarly            // before its booked moment
	returnLate             // after it; otherwise an ordinary arrival
)

// String names the kind for logs.
func (k returnKind) String() string {
	return [...]string{"new", "kept", "early", "late"}[k]
}

// calendar holds the work that is booked for each step of the near future.
type calendar struct {
	next   int64 // first step that is not yet in the ring
	booked [calendarSteps]float64
}

func stepAt(t Time) int64 { return int64(t / calendarStep) }

// advance frees the steps that are past.
func (c *calendar) advance(now Time) {
	end := stepAt(now) + calendarSteps
	if end-c.next > calendarSteps {
		c.next = end - calendarSteps
	}
	for ; c.next < end; c.next++ {
		c.booked[c.next%calendarSteps] = 0
	}
}

func (c *calendar) at(step int64) *float64 { return &c.booked[step%calendarSteps] }

// booking is the return that the caller of a refused request was told.
type booking struct {
	fingerprint   quarantine.Fingerprint
	calendar      *calendar
	work          float64
	moment        Time
	madeAt        Time
	arrived       Time // first arrival of the caller's request
	latencyTarget Time // of its first attempt
	hasRoom       bool // room was foreseen for its moment
	early         bool // an attempt came before the moment
	freed         bool
}

// free returns the booked work to the calendar.
func (b *booking) free() {
	if b.freed {
		return
	}
	b.freed = true
	if booked := b.calendar.at(stepAt(b.moment)); stepAt(b.moment) < b.calendar.next && stepAt(b.moment) >= b.calendar.next-calendarSteps {
		*booked = max(0, *booked-b.work)
	}
}

// bookings holds the bookings of all services. Those with the same fingerprint belong to different
// callers of an account with identical requests, and each is used once.
type bookings struct {
	byFingerprint map[quarantine.Fingerprint][]*booking
	size          int
	expiring      [calendarSteps][]*booking // by the step in which they expire
	expiredUntil  int64
}

func (b *bookings) add(k *booking) bool {
	if b.size >= maxBookings {
		return false
	}
	if b.byFingerprint == nil {
		b.byFingerprint = map[quarantine.Fingerprint][]*booking{}
	}
	b.byFingerprint[k.fingerprint] = append(b.byFingerprint[k.fingerprint], k)
	slot := &b.expiring[stepAt(k.moment+returnMemory)%calendarSteps]
	*slot = append(*slot, k)
	b.size++
	return true
}

// remove drops a booking that is used or expired.
func (b *bookings) remove(k *booking) {
	list := b.byFingerprint[k.fingerprint]
	i := slices.Index(list, k)
	if i < 0 {
		return
	}
	k.free()
	b.size--
	if list = slices.Delete(list, i, i+1); len(list) == 0 {
		delete(b.byFingerprint, k.fingerprint)
	} else {
		b.byFingerprint[k.fingerprint] = list
	}
}

// expire drops the bookings whose callers are not expected any more.
func (b *bookings) expire(now Time) {
	end := stepAt(now)
	for step := max(b.expiredUntil, end-calendarSteps); step < end; step++ {
		slot := &b.expiring[step%calendarSteps]
		for _, k := range *slot {
			b.remove(k)
		}
		clear(*slot)
		*slot = (*slot)[:0]
	}
	b.expiredUntil = end
}

// find returns the booking that an attempt which was made at a time belongs to, and how it relates to
// the booked moment. A booking that was not made before the attempt belongs to another one.
func (b *bookings) find(f quarantine.Fingerprint, arrived Time) (found *booking, kind returnKind) {
	for _, k := range b.byFingerprint[f] {
		switch {
		case arrived <= k.madeAt:
		case arrived >= k.moment-earlyTolerance && arrived <= k.moment+returnTolerance:
			return k, returnKept
		case arrived > k.moment:
			if found == nil {
				found, kind = k, returnLate
			}
		case !k.early && (found == nil || kind == returnLate || k.moment < found.moment):
			found, kind = k, returnEarly
		}
	}
	return found, kind
}

// recognizeReturn finds the booking of w, which has just arrived, and sets how far its rank is moved.
//
// A caller that keeps to its moment is ranked as of its first arrival. One that comes
// earlier is ranked as of its moment, behind all that arrive until then, so it gains nothing over
// one that waits. Its booking stays for another caller with an identical request, but frees its room.
// A caller for which no room was foreseen keeps the latency target of its first attempt, whenever it comes.
// That target has passed as a rule: served ahead of new arrivals, it would be late and make one of them
// late as well.
func (s *Scheduler) recognizeReturn(now Time, w *waiting) {
	if !s.policy.BookReturns || !s.tracksForecasts() || w.Retry || !w.Fingerprint.Known() {
		return
	}
	s.bookings.expire(now)
	k, kind := s.bookings.find(w.Fingerprint, w.Arrived)
	w.returned = kind
	if k != nil && !k.hasRoom {
		w.LatencyTarget = min(w.LatencyTarget, k.latencyTarget)
	}
	switch kind {
	case returnKept:
		s.forecastStats.Kept++
		w.rankShift = k.arrived - w.Arrived
		s.bookings.remove(k)
	case returnEarly:
		s.forecastStats.Early++
		w.rankShift = k.moment - w.Arrived
		w.notBefore = k.moment
		k.early = true
		k.free()
	case returnLate:
		s.forecastStats.Late++
		s.bookings.remove(k)
	}
}

// resubmits makes w, which replaces an earlier submission of the same attempt, the same return as that
// one, whose booking has been used.
func (w *waiting) resubmits(earlier *waiting) {
	if earlier == nil || earlier.returned == newArrival {
		return
	}
	w.returned, w.rankShift, w.notBefore = earlier.returned, earlier.rankShift, earlier.notBefore
	w.LatencyTarget = min(w.LatencyTarget, earlier.LatencyTarget)
}

// keptWait is how long w, which returned at its moment, may wait. Its caller has no other attempt, so only
// the time for its run is kept.
func (s *Scheduler) keptWait(svc *service, w *waiting) time.Duration {
	left := w.Deadline - w.Arrived
	wait := left - time.Duration(runTimeMargin*float64(svc.runTime(&w.Request)))
	if !s.policy.ForecastAdmission {
		wait = min(wait, time.Duration(float64(left)*keptWaitShare))
	}
	return wait
}

// runTime is how long r takes at an engine of typical speed without other load.
func (svc *service) runTime(r *Request) time.Duration {
	return svc.idleTimeToFirstEvent(svc.typicalTokenTime(), r) + time.Duration(r.OutputTokens)*svc.typicalTokenTime()
}

// bookReturn returns the delay after which the caller of w, which is refused, is to come back, and books
// the return if the policy says so. ok is false if no forecast can be made.
//
// The moment is the first step with room for the work of w, after what waits has been placed and beside
// what is expected to arrive and what is booked, in its priority and the more urgent ones. It lies within
// the time that callers honor and leaves time for the run. If there is no such step, it is the last one within these
// limits, when the overload is most likely to be over.
func (s *Scheduler) bookReturn(now Time, svc *service, w *waiting) (after time.Duration, ok bool) {
	if !s.tracksForecasts() || w.Deadline <= now {
		return 0, false
	}
	pq := svc.queue.priorityQueue(w.Priority)
	left := w.Deadline - now
	latest := min(time.Duration(float64(left)*honoredShare), calendarSpan)
	latest = max(min(latest, left-svc.runTime(&w.Request)), min(latest, s.policy.RetryAfter))
	earliest := min(max(s.policy.RetryAfter, w.notBefore-now), latest)
	if w.work == 0 {
		w.work = svc.work(&w.Request)
	}
	first, last := stepAt(now+earliest+calendarStep-1), stepAt(now+latest)
	step, hasRoom := s.stepWithRoom(now, svc, pq, w.work.Seconds(), first, last)
	moment := now + latest
	if first <= last {
		moment = Time(step) * calendarStep
	}
	// Callers return once, so a second refusal states a moment but books nothing.
	if s.policy.BookReturns && w.Fingerprint.Known() && (w.returned == newArrival || w.returned == returnLate) {
		k := &booking{
			fingerprint: w.Fingerprint, calendar: &pq.forecast.returns, work: w.work.Seconds(), moment: moment, madeAt: now,
			arrived: w.Arrived, latencyTarget: w.LatencyTarget, hasRoom: hasRoom,
		}
		s.bookings.expire(now)
		if s.bookings.add(k) {
			pq.forecast.returns.advance(now)
			*pq.forecast.returns.at(stepAt(moment)) += k.work
		}
	}
	return moment - now, true
}

// stepWithRoom returns the first step from first to last with room for work, or the last one.
func (s *Scheduler) stepWithRoom(now Time, svc *service, pq *priorityQueue, work float64, first, last int64) (step int64, hasRoom bool) {
	rate := &svc.forecast.placed
	if !rate.known() || s.countUsable(now, svc) == 0 {
		return last, false
	}
	s.summarize(now, svc)
	waiting, arriving := 0.0, 0.0
	var calendars []*calendar
	for _, urgent := range svc.queue.priorityQueues {
		waiting += max(0, urgent.forecast.onTime.total) + max(0, urgent.forecast.late.total)
		arriving += urgent.forecast.newArrivals.valueAt(now)
		urgent.forecast.returns.advance(now)
		calendars = append(calendars, &urgent.forecast.returns)
		if urgent == pq {
			break
		}
	}
	spare := rate.perSecond() - arriving
	if spare <= 0 {
		return last, false
	}
	first = max(first, stepAt(now+secondsWithin(waiting/spare)))
	room := spare * calendarStep.Seconds()
	for step = first; step <= last; step++ {
		booked := 0.0
		for _, c := range calendars {
			booked += *c.at(step)
		}
		if booked == 0 || booked+work <= room {
			return step, true
		}
	}
	return last, false
}
