package sched

import "time"

// Learned is what a scheduler has measured about a server.
type Learned struct {
	Server    string
	TokenTime time.Duration // per output token
}

// Learned lists the servers whose token time is known from their answers.
func (s *Scheduler) Learned() []Learned {
	var out []Learned
	for id, srv := range s.servers {
		if srv.tokenTimeMeasured {
			out = append(out, Learned{Server: id, TokenTime: srv.tokenTime})
		}
	}
	return out
}

// ImportLearned imports what another scheduler has learned.
//
// Engines differ in speed by a factor of three and don't report it. Without this, a host that
// takes over from a lost home would send long prompts to slow engines in the seconds in
// which most requests wait.
func (s *Scheduler) ImportLearned(now Time, learned []Learned) {
	for _, l := range learned {
		srv := s.servers[l.Server]
		if srv == nil || l.TokenTime < minTokenTime || l.TokenTime > maxTokenTime {
			continue
		}
		srv.tokenTime, srv.tokenTimeMeasured = l.TokenTime, true
		if svc := s.services[srv.Service]; svc != nil {
			svc.typical = 0
		}
		s.reindex(now, srv)
	}
}
