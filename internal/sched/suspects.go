package sched

import (
	"slices"
	"time"

	"github.com/gentianflow/gentianflow/internal/quarantine"
)

const (
	// trialSpace is how far apart those start at one service that have seen two ends or
	// more. A poison request ends its server within half a second of its start, as a rule; so the
	// ends of several poison requests at once can be told apart, each from the others and all
	// from a rack that ends. Of five poison requests at nine engines each was known by its third
	// to fifth end so, and by its ninth without.
	trialSpace = 400 * time.Millisecond
	// besideSuspect is what a place beside another suspect costs one: the poison request and those
	// that were lost with it must not meet again, if another server has room.
	besideSuspect = 2 * time.Second
	// besideOthers is what each request that would be lost with it costs one isolated:
	// it goes where it does the least harm.
	besideOthers = 500 * time.Millisecond
	// breakMemory is how long a broken answer may turn out to have been its server's end:
	// a server's entry lapses 3 to 4 s after it.
	breakMemory = 6 * time.Second
	maxBreaks   = 64
)

// SetHost names the host that runs this scheduler, for what it puts in quarantine.
func (s *Scheduler) SetHost(name string) { s.suspects.SetHost(name) }

// SetLapse tells how long after a server's end its entry is listed, at most.
func (s *Scheduler) SetLapse(d time.Duration) {
	s.lapse = d
	s.suspects.SetLapse(d)
}

// standing is how a request is to be treated for the servers that ended under it.
func (s *Scheduler) standing(now Time, r *Request) quarantine.Standing {
	if !s.suspects.Has(r.Fingerprint) {
		return quarantine.Free
	}
	return s.suspects.Judge(now, r.Fingerprint, peers{s.services[r.Service]})
}

// peers are the servers of a service, as the table asks for them.
type peers struct{ svc *service }

// Well implements quarantine.Peers.
func (p peers) Well(since Time) bool {
	if p.svc == nil {
		return false
	}
	for _, srv := range p.svc.servers {
		if !srv.ended && srv.known < since && srv.wellAt > since {
			return true
		}
	}
	return false
}

// Unseen implements quarantine.Peers.
func (p peers) Unseen(at Time) (n int) {
	if p.svc == nil {
		return 0
	}
	for _, srv := range p.svc.servers {
		busy := slices.ContainsFunc(srv.runs, func(r *run) bool { return r.placed <= at })
		if srv.known <= at && !srv.ended && srv.wellAt <= at && !busy {
			n++
		}
	}
	return n
}

// heldBack reports whether a request must wait although there is room.
//
// Guard: the same request may stand at several hosts at once. Each copy that is sent
// before the first has ended its server ends another one; so a suspect's copies run one
// at a time. A host that decides alone knows neither all ends nor all copies, and leaves
// those isolated to its home.
func (s *Scheduler) heldBack(now Time, r *Request) bool {
	standing := s.standing(now, r)
	switch {
	case standing == quarantine.Free:
		return false
	case standing == quarantine.Wait || standing == quarantine.Quarantined || s.copies[r.Fingerprint] > 0:
		return true
	case standing == quarantine.Isolated && s.share.Servers < 1:
		return true
	}
	svc := s.services[r.Service]
	return s.suspects.Recurrent(r.Fingerprint) && svc.recurrentPlacedAt > 0 && now-svc.recurrentPlacedAt < trialSpace
}

// keptApart reports whether srv must not take r for the sake of others there, or of r.
func (s *Scheduler) keptApart(srv *server, r *Request) bool {
	if !s.suspects.Has(r.Fingerprint) {
		return false
	}
	recurrent := s.suspects.Recurrent(r.Fingerprint)
	for _, other := range srv.runs {
		if s.suspects.Has(other.req.Fingerprint) && (recurrent || s.suspects.Recurrent(other.req.Fingerprint)) {
			return true
		}
	}
	return false
}

// suspectCost is what a place at srv costs a suspect beyond what it costs others.
func (s *Scheduler) suspectCost(srv *server, r *Request) time.Duration {
	if !s.suspects.Has(r.Fingerprint) {
		return 0
	}
	cost := time.Duration(0)
	if s.suspects.Recurrent(r.Fingerprint) {
		cost = besideOthers * time.Duration(srv.running)
	}
	for _, other := range srv.runs {
		if s.suspects.Has(other.req.Fingerprint) {
			return cost + besideSuspect
		}
	}
	return cost
}

// countCopy keeps the number of runs of each request.
func (s *Scheduler) countCopy(f quarantine.Fingerprint, n int) {
	if !f.Known() {
		return
	}
	if s.copies[f] += n; s.copies[f] <= 0 {
		delete(s.copies, f)
	}
}

// learnEnd takes in what a run's end tells of the request.
func (s *Scheduler) learnEnd(now Time, r *run, o Outcome) {
	switch o.Result {
	case OK:
		s.suspects.Clear(now, r.req.Fingerprint)
	case Ended:
		s.ended(now, r.server)
		s.lost(r.server, s.loss(now, r, o.First > 0))
	case Broken:
		if r.server.ended {
			s.lost(r.server, s.loss(now, r, o.First > 0))
			return
		}
		r.server.brokeOff(s.loss(now, r, o.First > 0))
	case Unreachable:
		s.endedIdle(now, r.server)
	case Gone:
		s.ended(now, r.server)
	}
}

func (s *Scheduler) loss(now Time, r *run, shown bool) quarantine.Loss {
	return quarantine.Loss{
		Fingerprint: r.req.Fingerprint, Account: r.req.Account, Service: r.req.Service, Server: r.server.ID, At: now, Shown: shown,
	}
}

// lost holds a server's end against a request that it had. One that was to leave is no
// request's fault.
func (s *Scheduler) lost(srv *server, l quarantine.Loss) {
	if srv.leaves {
		return
	}
	if s.suspects.Add(l.At, l) {
		s.review[l.Fingerprint] = l.Service
	}
}

// judgeSuspects looks again at requests under which servers have ended lately, and takes
// the copies of those that are in quarantine off their servers.
func (s *Scheduler) judgeSuspects(now Time) {
	for f, service := range s.review {
		switch s.standing(now, &Request{Fingerprint: f, Service: service}) {
		case quarantine.Wait:
		case quarantine.Quarantined:
			delete(s.review, f)
			s.revoke(now, f)
		default:
			delete(s.review, f)
		}
	}
}

// revoke asks the holders of a request's runs to end those that have shown nothing yet.
//
// Guard: copies that were sent before the first end was known may still stand in the
// queues of servers, and each would end one more.
func (s *Scheduler) revoke(now Time, f quarantine.Fingerprint) {
	if s.copies[f] == 0 || s.suspects.RetryIn(now, f) == 0 {
		return
	}
	for k, r := range s.runs {
		if r.req.Fingerprint == f && !r.orphan {
			s.out = append(s.out, Decision{Key: k, Reason: Quarantined, RetryAfter: s.suspects.RetryIn(now, f), Detail: s.suspects.Explain(now, f)})
		}
	}
}

// brokeOff remembers an answer that broke off while the server accepted connections.
func (s *server) brokeOff(l quarantine.Loss) {
	s.breaks = slices.DeleteFunc(s.breaks, func(b quarantine.Loss) bool { return l.At-b.At >= breakMemory })
	if len(s.breaks) < maxBreaks {
		s.breaks = append(s.breaks, l)
	}
}

// ended notes that a server has ended, by a request or by itself.
//
// Guard: a server that a supervisor starts again at once accepts connections when it is
// asked after a broken answer. Its answers look broken then and nothing more; they count
// when another incarnation is found in its place.
func (s *Scheduler) ended(now Time, srv *server) {
	srv.ended, srv.endedAt = true, now
	for _, b := range srv.breaks {
		if now-b.At < breakMemory {
			s.lost(srv, b)
		}
	}
	srv.breaks = nil
}

// endedIdle notes that a server was found to have ended at some time since it was known to
// be there. One that was to leave tells nothing, and of one with runs their ends tell.
func (s *Scheduler) endedIdle(now Time, srv *server) {
	if !srv.leaves && srv.running == 0 {
		s.suspects.EndedIdle(srv.ID, max(now-s.lapse, srv.known, srv.wellAt), now)
	}
}

// LearnLoss takes a run that this host lost with its server, whoever schedules for it.
func (s *Scheduler) LearnLoss(now Time, l quarantine.Loss) {
	l.At = now
	if srv := s.servers[l.Server]; srv != nil {
		s.lost(srv, l)
		return
	}
	s.suspects.Add(now, l)
}

// LearnSuspects takes what another host knows of requests that end servers.
func (s *Scheduler) LearnSuspects(now Time, records []quarantine.Record) []Decision {
	s.out = nil
	for _, r := range records {
		s.suspects.Merge(now, r)
		if r.Quarantined {
			s.revoke(now, r.Fingerprint)
		}
	}
	return s.out
}

// SuspectNews tells what has changed of requests that end servers.
func (s *Scheduler) SuspectNews(now Time) []quarantine.Record { return s.suspects.TakeNews(now) }

// Suspects tells all that is known of requests that end servers.
func (s *Scheduler) Suspects(now Time) []quarantine.Record { return s.suspects.All(now) }

// Quarantined counts the requests in quarantine.
func (s *Scheduler) Quarantined() int { return s.suspects.Quarantined() }
