package sched

import "time"

// stallWindow is the latest part of a stalled run in which the holder checked that the server does not
// answer.
const stallWindow = 500 * time.Millisecond

// answerTimes are the times of a server's newest answers by holder, as far as they are needed to tell
// whether another host than a given one got an answer.
type answerTimes struct {
	holder uint64 // that got the newest answer
	newest Time
	other  Time // of the newest answer to another holder
}

// add records an answer to a holder.
func (a *answerTimes) add(now Time, holder uint64) {
	if holder != a.holder {
		a.holder, a.other = holder, a.newest
	}
	a.newest = now
}

// besides returns the time of the newest answer to another holder, 0 if there was none.
func (a *answerTimes) besides(holder uint64) Time {
	if holder == a.holder {
		return a.other
	}
	return a.newest
}

// disproved reports whether a holder's report that a server does not answer is disproved by an answer
// that another holder got meanwhile. The cause then lies between that holder and the server.
func (s *server) disproved(now Time, r *run, result Result) bool {
	answered := s.answers.besides(r.req.Holder)
	switch result {
	case Unreachable:
		return answered > r.placed
	case Unresponsive, Stalled:
		return answered > now-stallWindow
	}
	return false
}

// ServerReached ends the ejection of a server that a host reaches again.
func (s *Scheduler) ServerReached(now Time, id string) []Decision {
	s.out = nil
	srv := s.servers[id]
	if srv == nil || now >= srv.ejectedUntil {
		return nil
	}
	srv.ejectedUntil = now
	s.reindex(now, srv)
	if svc := srv.serving; svc != nil && srv.hasRoom(now, s.concurrencyLimit(svc, srv)) {
		s.fill(now, svc, []*server{srv})
	}
	return s.out
}
