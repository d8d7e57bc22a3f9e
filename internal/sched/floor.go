package sched

import (
	"math"
	"time"
)

// serverTime is the time of servers given out lately, in seconds; older time fades.
type serverTime struct {
	seconds float64
	at      Time
}

// serverTimeMemory is the time in which older time fades to a third: a few times what an
// answer takes, so that one long answer does not fill a lane's share for long.
const serverTimeMemory = 2 * time.Second

func (t *serverTime) add(now Time, d time.Duration) {
	t.seconds = t.now(now) + d.Seconds()
	t.at = now
}

func (t *serverTime) now(now Time) float64 {
	return t.seconds * math.Exp(-float64(now-t.at)/float64(serverTimeMemory))
}

// work is the time of a server that r is expected to take: of an engine the reading of its prompt,
// and its part of the steps that it shares with others.
func (svc *service) work(r *Request) time.Duration {
	if !svc.Engine || len(svc.servers) == 0 {
		return svc.callTime()
	}
	slots := float64(max(1, svc.servers[0].Slots))
	tokens := float64(r.PromptTokens)*svc.readShare + float64(r.OutputTokens)/slots
	return time.Duration(tokens * float64(svc.typicalTokenTime()))
}

// floorAfter is the part of its time to be on time that a request has waited before
// the floor helps it: in a short burst the order between lanes stays strict.
const floorAfter = 0.25

// floorPause is how long a lane is not looked at again after nobody in it could be
// placed: thousands may wait there for their accounts' quotas, and places open
// hundreds of times a second.
const floorPause = 20 * time.Millisecond

// fillShort places requests of the lanes that have had less than their share of the
// servers' time, before all others; only such as have waited and can be on time.
//
// Guard: with strict order between lanes the last one gets nothing through a long
// overload, its callers are refused twice and leave, while its whole work is a tenth
// of what the lanes before it take.
func (s *Scheduler) fillShort(now Time, svc *service, o *offer) {
	if s.policy.FloorShare <= 0 || len(svc.queue.lanes) < 2 {
		return
	}
	total := 0.0
	for _, l := range svc.queue.lanes {
		total += l.given.now(now)
	}
	for _, l := range svc.queue.lanes[1:] {
		if now >= l.floorFrom && !s.fillFloor(now, svc, l, o, s.policy.FloorShare*total) {
			l.floorFrom = now + floorPause
		}
		if len(o.free) == 0 {
			return
		}
	}
}

// fillFloor places requests of l until it has had most, and reports whether it placed
// any.
func (s *Scheduler) fillFloor(now Time, svc *service, l *lane, o *offer, most float64) (placed bool) {
	each := func(w *waiting) (drop, stop bool) {
		if l.given.now(now) >= most {
			return false, true
		}
		young := float64(now-w.Arrived) < floorAfter*float64(w.Aim-w.Arrived)
		if young || now+svc.firstAt(svc.typicalTokenTime(), &w.Request) > w.Aim {
			return false, false
		}
		drop = s.try(now, svc, o, w)
		placed = placed || drop
		return drop, len(o.free) == 0
	}
	if !svc.queue.eachOf(&l.fresh, each) {
		svc.queue.eachOf(&l.late, each)
	}
	return placed
}
