package sched

import (
	"math"
	"time"
)

// serverTime is an exponentially decaying sum of allocated server time, in seconds.
type serverTime struct {
	seconds float64
	at      Time
}

// serverTimeDecay is the time constant of the decay. It is a few times the duration of an
// answer, so that one long answer does not use up a priority's share for long.
const serverTimeDecay = 2 * time.Second

func (t *serverTime) add(now Time, d time.Duration) {
	t.seconds = t.valueAt(now) + d.Seconds()
	t.at = now
}

func (t *serverTime) valueAt(now Time) float64 {
	return t.seconds * math.Exp(-float64(now-t.at)/float64(serverTimeDecay))
}

// work is the server time that r is expected to take: at an engine the prefill of its prompt and
// its share of the steps that it runs in with others.
func (svc *service) work(r *Request) time.Duration {
	if !svc.Engine || len(svc.servers) == 0 {
		return svc.callTime()
	}
	slots := float64(max(1, svc.servers[0].Slots))
	tokens := float64(r.PromptTokens)*svc.prefillRatio + float64(r.OutputTokens)/slots
	return time.Duration(tokens * float64(svc.typicalTokenTime()))
}

// minShareWaitFraction is the fraction of the time to its latency target that a request must have
// waited before the minimum share applies to it. In a short burst the priority order stays strict.
const minShareWaitFraction = 0.25

// minShareRetryInterval is how long fillUnderserved skips a priority queue after none of its
// requests could be placed: thousands may wait there for their accounts' quotas, and slots open
// hundreds of times a second.
const minShareRetryInterval = 20 * time.Millisecond

// fillUnderserved places requests of the priorities that have had less than their minimum share of
// the servers' time, before all others. It places only requests that have waited for a while and can
// still meet their latency target.
//
// With strict priority order the last priority gets nothing through a long overload: its callers are
// refused twice and give up, although all its work is a tenth of what the priorities before it take.
func (s *Scheduler) fillUnderserved(now Time, svc *service, c *candidates) {
	if s.policy.MinPriorityShare <= 0 || len(svc.queue.priorityQueues) < 2 {
		return
	}
	total := 0.0
	for _, pq := range svc.queue.priorityQueues {
		total += pq.allocated.valueAt(now)
	}
	for _, pq := range svc.queue.priorityQueues[1:] {
		if now >= pq.nextShareCheck && !s.fillUpToShare(now, svc, pq, c, s.policy.MinPriorityShare*total) {
			pq.nextShareCheck = now + minShareRetryInterval
		}
		if len(c.free) == 0 {
			return
		}
	}
}

// fillUpToShare places requests of pq until it has had maxTime, and reports whether it placed any.
func (s *Scheduler) fillUpToShare(now Time, svc *service, pq *priorityQueue, c *candidates, maxTime float64) (placed bool) {
	each := func(w *waiting) (drop, stop bool) {
		if pq.allocated.valueAt(now) >= maxTime {
			return false, true
		}
		tooEarly := float64(now-w.Arrived) < minShareWaitFraction*float64(w.LatencyTarget-w.Arrived)
		if tooEarly || now+svc.idleTimeToFirstEvent(svc.typicalTokenTime(), &w.Request) > w.LatencyTarget {
			return false, false
		}
		drop = s.tryPlace(now, svc, c, w)
		placed = placed || drop
		return drop, len(c.free) == 0
	}
	if !svc.queue.eachOf(&pq.onTime, each) {
		svc.queue.eachOf(&pq.late, each)
	}
	return placed
}
