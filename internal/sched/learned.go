package sched

import "time"

// Learned is what a scheduler has learned of a server.
type Learned struct {
	Server    string
	TokenTime time.Duration // between output tokens
}

// Learned lists the servers whose speed is known from their answers.
func (s *Scheduler) Learned() []Learned {
	var out []Learned
	for id, srv := range s.servers {
		if srv.paced {
			out = append(out, Learned{Server: id, TokenTime: srv.tokenTime})
		}
	}
	return out
}

// Teach takes over what another scheduler has learned.
//
// Guard: engines differ three times in speed and nobody tells. A host that takes over from
// a lost home knows none of them, and would send long prompts to slow ones in just the
// seconds in which most waits.
func (s *Scheduler) Teach(learned []Learned) {
	for _, l := range learned {
		srv := s.servers[l.Server]
		if srv == nil || l.TokenTime < minTokenTime || l.TokenTime > maxTokenTime {
			continue
		}
		srv.tokenTime, srv.paced = l.TokenTime, true
		if svc := s.services[srv.Service]; svc != nil {
			svc.typical = 0
		}
	}
}
