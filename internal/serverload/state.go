package serverload

import "time"

// Time is a time on the monotonic clock of the process that runs the scheduler.
type Time = time.Duration

// confirmTime is the minimum time between two reports of which the second confirms the first.
const confirmTime = 10 * time.Millisecond

// State is what a scheduler knows of one server from its reports. The zero value is that of a server
// without reports.
type State struct {
	report  Report
	at      Time // when the report was received from the server
	known   bool
	elapsed float64 // integral of the server's speed until at, in nanoseconds at its usual speed

	firstSeen Time // when the oldest of the reports that show fewer free slots arrived
	occupied  int  // the fewest slots that these reports show as not available
}

// Learn takes in a report that a host received at a time. others is the number of requests that the
// report shows beyond those of the scheduler. A report that is older than the newest known one or has
// aged out changes nothing; Learn reports whether it counted.
func (s *State) Learn(now, at Time, r Report, others int, listedSlots int) bool {
	at = min(at, now)
	if now-at >= MaxAge || s.known && at < s.at || !r.Valid() {
		return false
	}
	occupied := max(0, others)
	if r.Slots > 0 {
		occupied += max(0, listedSlots-r.Slots)
	}
	if occupied == 0 || !s.known || at-s.at >= MaxAge || s.occupied == 0 {
		s.firstSeen, s.occupied = at, occupied
	} else {
		s.occupied = min(s.occupied, occupied)
	}
	s.elapsed = s.Elapsed(at)
	s.report, s.at, s.known = r, at, true
	return true
}

// Occupied is the number of slots that are not available to the scheduler: taken by others, or
// missing from those that the server is listed with. A single report is not believed, since requests
// that have just ended here may still run there.
func (s *State) Occupied(now Time) int {
	if s.occupied == 0 || !s.Fresh(now) || s.at-s.firstSeen < confirmTime {
		return 0
	}
	return s.occupied
}

// Fresh reports whether there is a report that has not aged out.
func (s *State) Fresh(now Time) bool { return s.known && now-s.at < MaxAge }

// Age is the age of the newest report.
func (s *State) Age(now Time) time.Duration { return now - s.at }

// At is when the newest report was received.
func (s *State) At() Time { return s.at }

// Report returns the newest report.
func (s *State) Report() Report { return s.report }

// Slowdown is how long work is taken to last there now, as a multiple of the usual time.
func (s *State) Slowdown(now Time) float64 {
	if !s.Fresh(now) || s.report.Slowdown <= 0 {
		return 1
	}
	return s.report.SlowdownAt(now - s.at)
}

// Stated is the slowdown that the newest report states, not reduced for its age.
func (s *State) Stated() float64 { return s.report.slowdown() }

// Elapsed is how far work has come that began at time 0, in nanoseconds at the server's usual speed.
// The ratio of the time between two moments to the difference of Elapsed is the slowdown that held.
func (s *State) Elapsed(now Time) float64 {
	if !s.known {
		return float64(now)
	}
	age := now - s.at
	return s.elapsed + float64(age) + (1/s.report.slowdown()-1)*float64(min(age, holdTime))
}
