package sched

import "time"

// Ejection is a decision to stop sending to a server for a while, after the outcome of a run.
type Ejection struct {
	Service  string
	Server   string
	Holder   uint64 // incarnation of the host that reported the outcome
	Result   Result
	Duration time.Duration
}

// maxPendingEjections bounds the ejections that are kept until the next call of TakeEjections.
const maxPendingEjections = 1024

// recordEjection notes that a server was ejected after the outcome of a run.
func (s *Scheduler) recordEjection(now Time, srv *server, o Outcome) {
	if len(s.ejections) < maxPendingEjections {
		s.ejections = append(s.ejections, Ejection{Service: srv.Service, Server: srv.ID, Holder: o.Holder, Result: o.Result, Duration: srv.ejectedUntil - now})
	}
}

// TakeEjections returns the ejections since the last call.
func (s *Scheduler) TakeEjections() []Ejection {
	out := s.ejections
	s.ejections = nil
	return out
}

// CountEjected returns the number of servers that were ejected at the last Tick.
func (s *Scheduler) CountEjected() (n int) {
	for _, srv := range s.servers {
		if s.tickedAt < srv.ejectedUntil {
			n++
		}
	}
	return n
}
