package sched

import (
	"math"
	"slices"
	"time"

	"github.com/gentianflow/gentianflow/internal/serverload"
)

// The load that servers report in their answers is used by what this scheduler cannot know from its
// own placements: that a server is slow at this moment, and that others use it.

const (
	// slowedRatio is the slowdown from which on a server counts as slowed in events and stats.
	slowedRatio = 2
	// slowedEventInterval is the minimum time between two events about one server, and
	// slowedEventsPerSecond bounds the events about all servers: each report of a slow period is
	// confirmed by each host.
	slowedEventInterval   = time.Second
	slowedEventsPerSecond = 32
	// trialAge is the age of a slowdown after which one request tries the server again, if it would be
	// on time there even if nothing had changed. From lateTrialAge on it is enough that it would be on
	// time at the aged slowdown. Earlier trials are slowed themselves too often, as slow periods last some 600 ms.
	trialAge     = 150 * time.Millisecond
	lateTrialAge = 300 * time.Millisecond
	// ownPeakWindow is the time over which the runs of this scheduler at a server are compared with a
	// report: a run may have ended here while the report was on the way.
	ownPeakWindow = 100 * time.Millisecond
	// rejectionMemory is how long a server that rejected a request for lack of room gets fewer requests.
	rejectionMemory = time.Second
	// disturbedRatio is the ratio of a run's slowdown to that at its placement from which on the run is
	// no sample of the prefill ratio.
	disturbedRatio = 1.25
	// aloneSpread is the most that a host which schedules alone adds to the cost of a server so that
	// hosts with the same figures choose differently, as a fraction of the cost. Servers whose costs
	// differ by less are as good to a caller as each other.
	aloneSpread = 0.25
)

// serverLoad is what is known of a server's load from its reports.
type serverLoad struct {
	state      serverload.State
	usual      serverload.Usual // of an engine
	own        ownPeak
	triedAt    Time // when a request was last placed there
	slowedAt   Time // of the last event about it
	occupied   int  // slots that are not available here; see updateOccupied
	rejectedAt Time // when it last rejected a request, 0 if it has not
	cut        float64
	reduced    bool // it is in the list of servers with fewer slots
}

// ownPeak is the largest number of runs at a server within the last one or two windows.
type ownPeak struct {
	since             Time
	previous, current int
}

// add notes a placement, after which there are running runs.
func (l *serverLoad) add(now Time, running int) {
	if l != nil {
		l.own.rotate(now, running)
		l.own.current = max(l.own.current, running)
	}
}

// elapsed is how far work has come that began at time 0.
func (l *serverLoad) elapsed(now Time) float64 {
	if l == nil {
		return float64(now)
	}
	return l.state.Elapsed(now)
}

// rotate begins a new window, at the beginning of which there were running runs.
func (p *ownPeak) rotate(now Time, running int) {
	if now-p.since >= ownPeakWindow {
		p.since, p.previous, p.current = now, p.current, running
	}
}

func (p *ownPeak) max(now Time, running int) int {
	p.rotate(now, running)
	return max(p.previous, p.current)
}

// loads is what a scheduler keeps about the load reports of all servers.
type loads struct {
	now         Time      // of the last Tick or report
	fullShareAt Time      // when this scheduler got the whole share of the servers
	reduced     []*server // with fewer slots than listed
	eventsSince Time      // beginning of the second in which events are counted
	events      int
	received    uint64
	movedAway   uint64
	oldestUsed  time.Duration
}

// LoadStats describes the use of load reports.
type LoadStats struct {
	Received   uint64        // reports that counted
	Slowed     int           // servers that are slowed now
	Reduced    int           // servers with fewer slots than listed, because of others or rejections
	OldestUsed time.Duration // age of the oldest report by which a placement was made since the last call
	MovedAway  uint64        // placements that would have been made at a slowed server without its report
}

// LoadStats returns the statistics of load reports.
func (s *Scheduler) LoadStats() LoadStats {
	out := LoadStats{Received: s.loads.received, OldestUsed: s.loads.oldestUsed, MovedAway: s.loads.movedAway, Reduced: len(s.loads.reduced)}
	s.loads.oldestUsed = 0
	for _, srv := range s.servers {
		if srv.slowdown(s.loads.now) >= slowedRatio {
			out.Slowed++
		}
	}
	return out
}

// LearnLoads applies load reports of servers. It returns those of servers that have become slow, for
// the log.
func (s *Scheduler) LearnLoads(now Time, records []serverload.Record) (slowed []serverload.Record) {
	if !s.policy.LiveLoad {
		return nil
	}
	s.loads.now = now
	for _, r := range records {
		srv := s.servers[r.Server]
		if srv == nil {
			continue
		}
		if srv.load == nil {
			srv.load = &serverLoad{own: ownPeak{since: now, previous: srv.running, current: srv.running}}
		}
		wasSlowed := srv.load.state.Fresh(now) && srv.load.state.Stated() >= slowedRatio
		others := 0
		if r.Slowdown > 0 { // only such servers share their machines
			others = s.requestsOfOthers(now, srv, r)
			if svc := srv.serving; svc != nil {
				svc.statesSlowdown = true
				if svc.Engine {
					r.Slowdown = srv.load.usual.Relative(now-max(0, r.Age), r.Slowdown)
				}
			}
		}
		if !srv.load.state.Learn(now, now-max(0, r.Age), r.Report, others, srv.Slots) {
			continue
		}
		s.loads.received++
		s.updateOccupied(now, srv)
		if !wasSlowed && srv.load.state.Stated() >= slowedRatio && s.mayRecordSlowed(now, srv) {
			slowed = append(slowed, r)
		}
	}
	return slowed
}

// requestsOfOthers is how many requests at srv a report shows beyond those of this scheduler. It is unknown, and
// 0, for a report that is older than the peak of the own runs, and until a new home has seen the reports of
// a second: holders report their runs to it while it learns of the load.
func (s *Scheduler) requestsOfOthers(now Time, srv *server, r serverload.Record) int {
	if s.share.Servers < 1 || r.Age > ownPeakWindow || now-s.loads.fullShareAt < serverload.MaxAge {
		return 0
	}
	return r.Requests() - srv.load.own.max(now, srv.running)
}

// mayRecordSlowed reports whether an event about a slowed server is due, and counts it. A host that
// follows a home leaves the event to it.
func (s *Scheduler) mayRecordSlowed(now Time, srv *server) bool {
	if s.share.Servers < 1 && len(s.runs) == 0 {
		return false
	}
	if srv.load.slowedAt > 0 && now-srv.load.slowedAt < slowedEventInterval {
		return false
	}
	if now-s.loads.eventsSince >= time.Second {
		s.loads.eventsSince, s.loads.events = now, 0
	}
	if s.loads.events++; s.loads.events > slowedEventsPerSecond {
		return false
	}
	srv.load.slowedAt = now
	return true
}

// slowdown is how long work is taken to last at s now, as a multiple of its usual time.
func (s *server) slowdown(now Time) float64 {
	if s.load == nil {
		return 1
	}
	return s.load.state.Slowdown(now)
}

// currentTokenTime is the token time of s, times its current slowdown.
func (s *server) currentTokenTime(now Time) time.Duration {
	if f := s.slowdown(now); f != 1 {
		return time.Duration(float64(s.tokenTime) * f)
	}
	return s.tokenTime
}

// slowedBy returns the prediction for a server with a slowdown.
func (p prediction) slowedBy(slowdown float64) prediction {
	if slowdown == 1 {
		return p
	}
	return prediction{
		prefill: serverload.Slowed(p.prefill, slowdown),
		first:   serverload.Slowed(p.first, slowdown),
		total:   serverload.Slowed(p.total, slowdown),
	}
}

// openSlots is the number of slots of srv that this scheduler may use. A host that schedules alone
// sees the runs of all other hosts as taken by others, which its share of the servers allows for.
func (s *Scheduler) openSlots(srv *server) int {
	if s.share.Servers < 1 || srv.load == nil {
		return srv.Slots
	}
	return max(min(1, srv.Slots), srv.Slots-srv.load.occupied)
}

// updateOccupied determines how many slots of srv are not available: those that others take, and,
// while it rejects requests and reports that it is full, half of the others. They come back one by
// one with its answers, and all at once when the memory of the rejection ends.
func (s *Scheduler) updateOccupied(now Time, srv *server) {
	occupied := srv.load.state.Occupied(now)
	if srv.load.cut > 0 && now-srv.load.rejectedAt < rejectionMemory && srv.load.state.Fresh(now) {
		occupied += int(math.Ceil(float64(srv.Slots-occupied) * srv.load.cut))
	}
	if occupied > 0 && !srv.load.reduced {
		srv.load.reduced = true
		s.loads.reduced = append(s.loads.reduced, srv)
	}
	if occupied != srv.load.occupied {
		srv.load.occupied = occupied
		s.reindex(now, srv)
	}
}

// learnRejection updates the concurrency limit of a run's server from the run's outcome.
func (s *Scheduler) learnRejection(now Time, srv *server, result Result) {
	load := srv.load
	if load == nil {
		return
	}
	switch {
	// The rejections of requests that were placed together count once, and only if the server
	// reports that it is full: other rejections are not for lack of room.
	case result == Rejected && load.state.Fresh(now) && load.state.Report().Full() && (load.rejectedAt == 0 || now-load.rejectedAt >= rejectedBackoff):
		load.rejectedAt, load.cut = now, 1-(1-load.cut)/2
	case result == OK && load.cut > 0:
		if load.cut -= 1 / float64(max(1, srv.Slots)); load.cut < 0.01 {
			load.cut = 0
		}
	default:
		return
	}
	s.updateOccupied(now, srv)
}

// expireLoads gives back the slots of servers whose reports have aged out.
func (s *Scheduler) expireLoads(now Time) {
	s.loads.now = now
	s.loads.reduced = slices.DeleteFunc(s.loads.reduced, func(srv *server) bool {
		if now-srv.load.rejectedAt >= rejectionMemory {
			srv.load.cut = 0
		}
		s.updateOccupied(now, srv)
		srv.load.reduced = srv.load.occupied > 0 && s.servers[srv.ID] == srv
		return !srv.load.reduced
	})
}

// costSlowdown is the slowdown of srv by which the cost of r there is determined.
//
// A server that is avoided for its slowdown sends no reports. So a request that would be on time there
// although the server is slow tries it at the usual cost, one at a time.
func (s *Scheduler) costSlowdown(now Time, svc *service, srv *server, r *Request) float64 {
	if srv.load == nil {
		return 1
	}
	slowdown := srv.slowdown(now)
	state := &srv.load.state
	if s.share.Servers < 1 {
		return max(1, slowdown) // what looks fast to one host that schedules alone looks so to all
	}
	if slowdown <= 1 || state.Age(now) < trialAge || srv.load.triedAt > state.At() {
		return slowdown
	}
	expected := state.Stated()
	if state.Age(now) >= lateTrialAge {
		expected = slowdown
	}
	p := srv.predictAt(now, svc, r, expected)
	if now+p.first > r.LatencyTarget || now+p.total > r.Deadline {
		return slowdown
	}
	return 1
}

// spread is the cost that a host which schedules alone adds to a server, so that hosts with the same
// figures don't all choose the same one.
func (s *Scheduler) spread(srv *server, cost time.Duration) time.Duration {
	if !s.policy.LiveLoad || s.share.Servers >= 1 {
		return 0
	}
	// The order of the hash fractions decides which servers a host uses at all, so their lower bits are taken.
	_, fraction := math.Modf(srv.hashFraction * (1 << 20))
	return time.Duration(float64(cost) * aloneSpread * fraction)
}

// recordChoice counts what the load reports changed about the choice of best for r.
func (s *Scheduler) recordChoice(now Time, svc *service, c *candidates, r *Request, best *server) {
	if !s.policy.LiveLoad || best == nil {
		return
	}
	if best.load != nil && best.load.state.Fresh(now) {
		s.loads.oldestUsed = max(s.loads.oldestUsed, best.load.state.Age(now))
	}
	usualCost := time.Duration(-1) // of best, once a slowed server is found
	for _, srv := range c.free {
		if srv == best || srv.slowdown(now) <= 1 || !srv.eligible(now, r) || !srv.hasMemory(svc, r) {
			continue
		}
		s.loads.oldestUsed = max(s.loads.oldestUsed, srv.load.state.Age(now))
		if usualCost < 0 {
			usualCost = s.costAt(now, svc, best, r, 1)
		}
		if s.costAt(now, svc, srv, r, 1) < usualCost {
			s.loads.movedAway++
			return
		}
	}
}

// usualTime returns how long something that took d in the run r would have taken at its server's
// usual speed, so that a slow moment is not learned as the server's speed.
func (s *Scheduler) usualTime(now Time, r *run, d time.Duration) time.Duration {
	return time.Duration(float64(d) / s.runSlowdown(now, r))
}

// usualCallTime is the duration of a plain call at a server of usual speed, which a prediction
// multiplies by the server's slowdown.
func (svc *service) usualCallTime() time.Duration {
	if svc.Engine || svc.usualTimeToFirst.mean == 0 {
		return svc.callTime()
	}
	return svc.usualTimeToFirst.mean
}

// runSlowdown is the slowdown of its server during a run until now.
func (s *Scheduler) runSlowdown(now Time, r *run) float64 {
	if r.server.load == nil || now <= r.placed {
		return 1
	}
	// A report that arrives after the placement of a run may change what was done before it.
	done := r.server.load.state.Elapsed(now) - r.elapsedAtStart
	return serverload.Bounded(float64(now-r.placed) / max(1, done))
}

// disturbed reports whether the slowdown of a run's server changed after the run was placed.
func (s *Scheduler) disturbed(now Time, r *run) bool {
	ratio := s.runSlowdown(now, r) / r.slowdownAtStart
	return ratio > disturbedRatio || ratio < 1/disturbedRatio
}
