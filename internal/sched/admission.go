package sched

import (
	"fmt"
	"math"
	"slices"
	"time"
)

// Admission by forecast answers the load of a class of requests that exceeds its servers for seconds:
// most requests then wait for as long as they may and are refused, although that was foreseeable on
// arrival. The scheduler forecasts when an arriving request would start, from the work that goes before
// it in the queue order and the rate at which work has lately been placed, and refuses it at once if that
// is too late to be of use to its caller. Requests that may not be refused by forecast:
// those that wait for their account's quota, those marked Retry, all requests at a host that
// schedules alone, and those that a server without any run could take. See returns.go for when a
// refused caller may come back.

const (
	// placedRateDecay is the time constant of the rate at which work is placed, in time during which
	// requests waited. Within a second it follows the loss of a quarter of the servers; a shorter one
	// takes chance differences between runs for changes of the rate.
	placedRateDecay = time.Second
	// minRateTime and minRatePlacements are how long requests must have waited, and how many must have
	// been placed meanwhile, before a forecast refuses any: the start of a queue says little about its end.
	minRateTime       = 250 * time.Millisecond
	minRatePlacements = 8
	// arrivalHorizon is how long a forecast assumes that requests go on arriving at the present rate. Bursts
	// last for seconds, so requests that may wait for longer are likely to outlast them.
	arrivalHorizon = time.Second
	// backlogRefresh is the maximum age of the summary of the waiting requests. With 5,000 of them, a
	// summary takes about 0.2 ms, a hundredth of this.
	backlogRefresh = 20 * time.Millisecond
	// maxUnserved is how long a priority or an account may ask without a placement before one of its
	// requests is placed next. A caller returns once, within a third of its 3 to 5 s; with two seconds
	// without a placement, all callers of an account are lost. Half of that is left for the request to find
	// a slot.
	maxUnserved = time.Second
	// reservedRetry is how long one such request has to find a slot before another one is chosen as well.
	reservedRetry = 300 * time.Millisecond
	// unservedMemory is how long after its last request an account or priority is still asking.
	unservedMemory = 2 * time.Second
	// reservedShare limits the placements of such requests to a tenth of all placements, after the first
	// maxReservedCredit, as the order of the queue must hold for the others.
	reservedShare     = 0.1
	maxReservedCredit = 16
	// maxReserved bounds the reserved requests of a service. With credit for a tenth of the placements, more would
	// not be placed in time.
	maxReserved = 256
	// maxTrackedAccounts bounds the accounts whose last placement is remembered.
	maxTrackedAccounts = 16384
	// forecastSamples is the number of refused requests of a priority that are watched at a time.
	forecastSamples = 32
	// forecastReportDelay is how long after the last refusal by forecast a priority counts as having
	// stopped refusing, so that it is reported at most once a second.
	forecastReportDelay = time.Second
)

// priorityForecast is what the forecasts of a priority are made from.
type priorityForecast struct {
	onTime, late backlog    // of requests that don't wait for a quota, as of the last summary and since
	arriving     workRate   // of requests that were not refused by forecast
	newArrivals  workRate   // of all requests but those that return at a booked moment
	placed       placedRate // of this priority, in time during which any request of the service waited
	returns      calendar
	unserved     unserved
	samples      []forecastSample
	untilSample  int
	refusedAt    Time // last refusal by forecast
	refusing     bool
	refused      int // since refusing began
}

// serviceForecast is what the forecasts of a service are made from.
type serviceForecast struct {
	placed         placedRate
	summarizedAt   Time
	summarized     bool
	accounts       map[string]*unserved
	reserved       []*waiting // to be placed next
	reservedCredit float64
}

// unserved tracks since when an account or a priority has asked without a placement.
type unserved struct {
	since         Time // of the first request since the last placement
	askedAt       Time // of the last request
	asking        bool
	reservedUntil Time // one of its requests is to be placed next until then
}

// ask records a request and reports whether it is to be placed next.
func (u *unserved) ask(now Time) (starved bool) {
	if !u.asking || now-u.askedAt > unservedMemory {
		u.since, u.asking, u.reservedUntil = now, true, 0
	}
	u.askedAt = now
	return now-u.since >= maxUnserved && now >= u.reservedUntil
}

func (u *unserved) serve() { u.asking = false }

// forecast is when a request is expected to start.
type forecast struct {
	wait        time.Duration
	uncertainty time.Duration // standard deviation of wait
	before      int           // waiting requests that go before it
}

// forecastWait returns the time until the work before a request is placed, while more arrives that goes
// before it as well. All are in seconds, or seconds of work per second.
func forecastWait(work, arriving, placed float64) float64 {
	if placed <= 0 {
		return math.Inf(1)
	}
	horizon := arrivalHorizon.Seconds()
	if rest := work - (placed-arriving)*horizon; rest > 0 {
		return horizon + rest/placed
	}
	return work / (placed - arriving)
}

func newForecast(seconds float64, before int, placements float64) forecast {
	f := forecast{wait: secondsWithin(seconds), before: before}
	// The work of the requests before it varies, by about its mean, and so does that from which the rate is known.
	deviation := math.Sqrt(1/float64(max(1, before)) + 1/max(1, placements))
	f.uncertainty = secondsWithin(f.wait.Seconds() * deviation)
	return f
}

// secondsWithin converts seconds to a duration of at most maxPredictedTime.
func secondsWithin(seconds float64) time.Duration {
	return time.Duration(min(seconds, maxPredictedTime.Seconds()) * float64(time.Second))
}

// tracksForecasts reports whether this scheduler makes forecasts. A host that schedules alone has a
// home again in a moment, and sees only its own requests.
func (s *Scheduler) tracksForecasts() bool {
	return (s.policy.ForecastAdmission || s.policy.BookReturns) && s.share.Servers >= 1
}

// summarize counts the work of the waiting requests by rank, if the last summary is too old. Within a
// Tick it does so before any request is refused, as it must not read a queue that is being changed.
func (s *Scheduler) summarize(now Time, svc *service) {
	f := &svc.forecast
	if f.summarized && now-f.summarizedAt < backlogRefresh {
		return
	}
	f.summarized, f.summarizedAt = true, now
	first := svc.timeToFirstEvent.upperBound()
	for _, pq := range svc.queue.priorityQueues {
		pq.forecast.onTime.reset(now)
		pq.forecast.late.reset(now)
		for _, w := range pq.onTime {
			s.summarizeRequest(now, svc, pq, w, w.LatencyTarget < now+first)
		}
		for _, w := range pq.late {
			s.summarizeRequest(now, svc, pq, w, true)
		}
	}
}

func (s *Scheduler) summarizeRequest(now Time, svc *service, pq *priorityQueue, w *waiting, late bool) {
	w.summarized = false
	if s.quotaWait(now, &w.Request) > 0 {
		return
	}
	w.summarized, w.summarizedLate = true, late
	if w.work == 0 {
		w.work = svc.work(&w.Request)
	}
	pq.forecast.backlogOf(late).add(w.rank, w.work.Seconds(), 1)
}

func (p *priorityForecast) backlogOf(late bool) *backlog {
	if late {
		return &p.late
	}
	return &p.onTime
}

// leaveBacklog removes w from the summary, as it has been placed or refused.
func (p *priorityForecast) leaveBacklog(w *waiting) {
	if w.summarized {
		p.backlogOf(w.summarizedLate).add(w.rank, -w.work.Seconds(), -1)
		w.summarized = false
	}
}

// advanceForecasts accounts for the time until now in the rates of a service.
func (s *Scheduler) advanceForecasts(now Time, svc *service) {
	if svc.queue.size > 0 {
		s.summarize(now, svc)
	}
	waits := false
	for _, pq := range svc.queue.priorityQueues {
		waits = waits || svc.queue.size > 0 && pq.forecast.onTime.size+pq.forecast.late.size > 0
	}
	svc.forecast.placed.advance(now, waits)
	for _, pq := range svc.queue.priorityQueues {
		pq.forecast.placed.advance(now, waits)
	}
}

// forecastArrival records the arrival of w and must be called before it is placed.
func (s *Scheduler) forecastArrival(now Time, svc *service, pq *priorityQueue, w *waiting) {
	if !s.tracksForecasts() {
		return
	}
	s.advanceForecasts(now, svc)
	w.work = svc.work(&w.Request)
	pq.forecast.arriving.add(now, w.work)
	if w.returned != returnKept {
		pq.forecast.newArrivals.add(now, w.work)
	}
	account := svc.forecast.account(now, w.Account)
	starvedPriority, starvedAccount := pq.forecast.unserved.ask(now), account != nil && account.ask(now)
	if !s.policy.ForecastAdmission || len(svc.forecast.reserved) >= maxReserved || s.quotaWait(now, &w.Request) > 0 {
		return
	}
	if starvedPriority {
		w.reserved, pq.forecast.unserved.reservedUntil = true, now+reservedRetry
	}
	if starvedAccount {
		w.reserved, account.reservedUntil = true, now+reservedRetry
	}
}

// account returns the record of an account, nil if there are too many.
func (f *serviceForecast) account(now Time, name string) *unserved {
	if a := f.accounts[name]; a != nil {
		return a
	}
	if f.accounts == nil {
		f.accounts = map[string]*unserved{}
	}
	if len(f.accounts) >= maxTrackedAccounts {
		looks := 0
		for other, a := range f.accounts {
			if now-a.askedAt > unservedMemory {
				delete(f.accounts, other)
			}
			if looks++; looks == 8 {
				break
			}
		}
	}
	if len(f.accounts) >= maxTrackedAccounts {
		return nil
	}
	a := &unserved{}
	f.accounts[name] = a
	return a
}

// admit adds a request that waits to the summary.
func (s *Scheduler) admit(now Time, svc *service, pq *priorityQueue, w *waiting) {
	if !s.tracksForecasts() {
		return
	}
	if !svc.forecast.placed.waiting {
		// The rates count from the moment at which the first request waits.
		defer s.advanceForecasts(now, svc)
	}
	s.summarizeRequest(now, svc, pq, w, w.LatencyTarget < now+svc.timeToFirstEvent.upperBound())
	if w.reserved {
		svc.forecast.reserved = append(svc.forecast.reserved, w)
	}
}

// placeReserved places requests of accounts and priorities that have had no placement for
// maxUnserved, before all others.
//
// Forecasts refuse all requests of a kind or an account alike. An account that sends one request a second
// in an overload that serves a quarter of them gets nothing for four seconds on average.
func (s *Scheduler) placeReserved(now Time, svc *service, c *candidates) {
	f := &svc.forecast
	if len(f.reserved) == 0 || f.reservedCredit < 1 {
		return
	}
	f.reserved = slices.DeleteFunc(f.reserved, func(w *waiting) bool {
		if f.reservedCredit < 1 || len(c.free) == 0 || !svc.queue.has(w.Key) || !s.tryPlace(now, svc, c, w) {
			return false
		}
		svc.queue.remove(w.Key)
		f.reservedCredit--
		return true
	})
}

// dropReserved forgets the reserved requests that don't wait any more.
func (f *serviceForecast) dropReserved(q *queue) {
	f.reserved = slices.DeleteFunc(f.reserved, func(w *waiting) bool { return !q.has(w.Key) })
}

// forecastPlacement records that w has been placed.
func (s *Scheduler) forecastPlacement(now Time, svc *service, pq *priorityQueue, w *waiting) {
	if !s.tracksForecasts() {
		return
	}
	if w.work == 0 {
		w.work = svc.work(&w.Request) // it was submitted before this host became the home
	}
	f := &svc.forecast
	f.reservedCredit = min(maxReservedCredit, f.reservedCredit+reservedShare)
	f.placed.add(w.work)
	pq.forecast.placed.add(w.work)
	pq.forecast.unserved.serve()
	if a := f.accounts[w.Account]; a != nil {
		a.serve()
	}
	pq.forecast.leaveBacklog(w)
	s.checkSamples(now, svc, pq, w)
}

// forecasts returns when w, which is not in the summary, would start as a request that can be on time and as one that can't. ok is
// false if too little is known.
func (s *Scheduler) forecasts(now Time, svc *service, pq *priorityQueue, w *waiting) (onTime, late forecast, ok bool) {
	rate := &svc.forecast.placed
	if !rate.known() {
		return forecast{}, forecast{}, false
	}
	s.summarize(now, svc)
	work, arriving, before := 0.0, 0.0, 0
	for _, urgent := range svc.queue.priorityQueues {
		if urgent == pq {
			break
		}
		work += urgent.forecast.onTime.total + urgent.forecast.late.total
		before += urgent.forecast.onTime.size + urgent.forecast.late.size
		arriving += urgent.forecast.arriving.valueAt(now)
	}
	own, ownBefore := pq.forecast.onTime.before(w.rank)
	wait := forecastWait(max(0, work)+own, arriving, rate.perSecond())
	if own == 0 {
		wait = min(wait, forecastWait(max(0, work), arriving, rate.perSecond()))
	} else if share := pq.forecast.placed.perSecond(); share > 0 {
		// A priority gets more than what the more urgent ones leave over: its minimum share.
		wait = min(wait, own/share)
	}
	onTime = newForecast(wait, before+ownBefore, rate.placements)
	ownLate, lateBefore := pq.forecast.late.before(w.rank)
	arriving += pq.forecast.arriving.valueAt(now)
	total := max(0, work) + max(0, pq.forecast.onTime.total) + ownLate
	if w.returned == returnKept {
		// Its caller has no other attempt, and it takes nothing from those that can be on time. So it is given
		// up only if it would start too late even if nothing else arrived and it went before these.
		arriving, total = 0, max(0, work)+ownLate
	}
	late = newForecast(forecastWait(total, arriving, rate.perSecond()), before+pq.forecast.onTime.size+lateBefore, rate.placements)
	return onTime, late, true
}

// latestUsefulStart is the time from which on w is of no use to its caller: it may not wait for longer.
func (s *Scheduler) latestUsefulStart(svc *service, w *waiting) Time {
	since, maxWait := s.maxWait(svc, w)
	return since + maxWait
}

// refusesByForecast reports whether w, which has just arrived, would start too late to be of use to its
// caller, and the forecast that shows it.
//
// A request that can start in time waits. One that can't goes behind all that can (see DemoteLate), so it
// takes nothing from these; it waits if the forecast shows room for it after them before it would be
// refused anyway. The deviation of the forecast counts in favor of the request, because a wrong refusal
// costs a caller its attempt, and a wrong wait costs it less than a second. A request that waits is not judged
// again: some of those before it are refused in the end rather than placed, and it starts earlier than the work
// before it suggests.
func (s *Scheduler) refusesByForecast(now Time, svc *service, pq *priorityQueue, w *waiting) (f forecast, refuses bool) {
	if !s.policy.ForecastAdmission || !s.tracksForecasts() || w.Retry || w.reserved {
		return f, false
	}
	onTime, late, ok := s.forecasts(now, svc, pq, w)
	if !ok {
		return f, false
	}
	latestOnTime := w.LatencyTarget - svc.timeToFirstEvent.upperBound()
	if w.returned == newArrival && s.reachesFurtherByWaiting(now, svc, w) {
		return f, false
	}
	if now+onTime.wait-onTime.uncertainty <= latestOnTime || now+late.wait-late.uncertainty <= s.latestUsefulStart(svc, w) {
		return f, false
	}
	if latestOnTime < now {
		onTime = late // it can't be on time any more
	}
	return onTime, s.quotaWait(now, &w.Request) <= 0 && !s.heldBack(now, &w.Request) && !s.hasIdleServer(now, svc, w)
}

// reachesFurtherByWaiting reports whether the caller of w, refused now, could be served only until some
// time before its deadline: it returns within a third of its time left, and may then wait until its
// timeout for the first event. If w waits here first, the caller outlasts a longer overload.
func (s *Scheduler) reachesFurtherByWaiting(now Time, svc *service, w *waiting) bool {
	if w.CallerTimeoutAt == 0 {
		return false
	}
	latestReturn := now + time.Duration(float64(w.Deadline-now)*honoredShare)
	return latestReturn+w.CallerTimeoutAt-w.Arrived < w.Deadline-svc.runTime(&w.Request)
}

// maxOnTimeQueue is the part of their slack that the requests of a priority that can be on time may wait
// when late ones are placed before them. The rest of it covers what arrives meanwhile.
const maxOnTimeQueue = 0.6

// lateHaveRoom reports whether the late requests of a priority can be placed first without making the
// others late: these would all be placed well within the time that the newest of them has. In a
// lasting overload they wait for nearly all of it, and the late ones wait behind them. When it has passed,
// the late ones would otherwise reach the ends of their deadlines behind new arrivals, although
// nearly all of these can be on time after them.
//
// Only callers on their last attempt go first; late first attempts have another one.
func (s *Scheduler) lateHaveRoom(now Time, svc *service, pq *priorityQueue) bool {
	rate := &svc.forecast.placed
	if !s.policy.ForecastAdmission || !s.tracksForecasts() || len(pq.late) == 0 || len(pq.onTime) == 0 || !rate.known() || pq.late[0].returned != returnKept {
		return false
	}
	left := rate.perSecond()
	for _, urgent := range svc.queue.priorityQueues {
		if urgent == pq {
			break
		}
		left -= urgent.forecast.arriving.valueAt(now)
	}
	if left <= 0 {
		return false
	}
	newest := pq.onTime[len(pq.onTime)-1]
	slack := newest.LatencyTarget - now - svc.timeToFirstEvent.upperBound()
	return max(0, pq.forecast.onTime.total)/left < maxOnTimeQueue*slack.Seconds()
}

// hasIdleServer reports whether a server without any run may take w.
func (s *Scheduler) hasIdleServer(now Time, svc *service, w *waiting) bool {
	for _, srv := range s.serversWithRoom(now, svc, &w.Request) {
		if srv.running == 0 && srv.eligible(now, &w.Request) && !s.hasConflictingSuspect(now, srv, &w.Request) {
			return true
		}
	}
	return false
}

// forecastDetail explains a refusal by forecast in logs.
func (s *Scheduler) forecastDetail(svc *service, f forecast, room time.Duration) string {
	return fmt.Sprintf("forecast=%.1fs room=%.1fs before=%d rate=%.0f/s", f.wait.Seconds(), room.Seconds(), f.before, svc.forecast.placed.countPerSecond())
}

// refuseByForecast refuses w, which has left the queue.
func (s *Scheduler) refuseByForecast(now Time, svc *service, pq *priorityQueue, w *waiting, f forecast) {
	why := Overload
	if s.countUsable(now, svc) == 0 {
		why = NoServer
	}
	p := &pq.forecast
	p.arriving.add(now, -w.work)
	p.refusedAt = now
	p.refused++
	s.forecastStats.Refused++
	s.takeSample(now, svc, pq, w, f)
	after := s.retryAfter(now, w)
	s.refuse(now, w, why, after)
	d := &s.out[len(s.out)-1]
	detail := s.forecastDetail(svc, f, after)
	if d.Detail != "" {
		detail = d.Detail + " " + detail
	}
	d.Detail = detail
	if !p.refusing {
		p.refusing = true
		s.reportForecast(svc, pq, detail)
	}
}

// ForecastChange states that a priority of a service has started or stopped refusing requests by
// forecast.
type ForecastChange struct {
	Service  string
	Priority int
	Refusing bool
	Detail   string // the figures of the first refusal, or the number of refusals
}

func (s *Scheduler) reportForecast(svc *service, pq *priorityQueue, detail string) {
	s.forecastChanges = append(s.forecastChanges, ForecastChange{Service: svc.Name, Priority: pq.priority, Refusing: pq.forecast.refusing, Detail: detail})
}

// TakeForecastChanges returns the changes since the last call.
func (s *Scheduler) TakeForecastChanges() []ForecastChange {
	changes := s.forecastChanges
	s.forecastChanges = nil
	return changes
}

// endForecastRefusals notes which priorities have stopped refusing by forecast.
func (s *Scheduler) endForecastRefusals(now Time, svc *service) {
	for _, pq := range svc.queue.priorityQueues {
		p := &pq.forecast
		if p.refusing && now-p.refusedAt >= forecastReportDelay {
			p.refusing = false
			s.reportForecast(svc, pq, fmt.Sprintf("refused=%d", p.refused))
			p.refused = 0
		}
	}
}

// tickForecasts handles the passing of time for the forecasts and the calendars of a service.
func (s *Scheduler) tickForecasts(now Time, svc *service) {
	if !s.tracksForecasts() {
		return
	}
	s.advanceForecasts(now, svc)
	svc.forecast.dropReserved(&svc.queue)
	s.expireSamples(now, svc)
	s.endForecastRefusals(now, svc)
}

// ForecastStats are counts of the forecasts and bookings since the start.
type ForecastStats struct {
	Refused      int           // requests refused by forecast
	Right, Wrong int           // of a sample of them: could not, or could, have started in useful time
	MeanError    time.Duration // mean absolute error of the forecast wait, of those that could
	Bookings     int           // at present
	Kept         int           // returns at their moment
	Early, Late  int           // returns before and after it
}

// ForecastStats returns the counts.
func (s *Scheduler) ForecastStats() ForecastStats {
	stats := s.forecastStats
	stats.MeanError = s.forecastErrors.mean
	stats.Bookings = s.bookings.size
	return stats
}
