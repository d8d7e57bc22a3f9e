package sched

import (
	"slices"
	"time"

	"github.com/gentianflow/gentianflow/internal/quarantine"
)

// A suspect is a request under which at least one server has ended, and a recurrent suspect one
// under which two or more have; package quarantine decides how they are treated.
const (
	// minRecurrentInterval is the minimum time between the starts, at one service, of requests
	// that are recurrent suspects. A poison request, one that ends each server that runs it,
	// usually does so within half a second, so with this interval the ends caused by several
	// poison requests can be told apart from each other and from the failure of a whole rack.
	// With five poison requests at nine engines, each was detected by its third to fifth end,
	// and without the interval by its ninth.
	minRecurrentInterval = 400 * time.Millisecond
	// besideSuspectCost is the cost for a suspect of a server that runs another suspect. It
	// separates the poison request from those that were lost with it, if another server has
	// room.
	besideSuspectCost = 2 * time.Second
	// perNeighborCost is the cost, for a recurrent suspect, of each run at a server: it goes
	// where the fewest runs would be lost.
	perNeighborCost = 500 * time.Millisecond
	// brokenAnswerMemory is how long a broken answer may still prove to be caused by the end
	// of its server: the entry of a server expires 3 to 4 s after its end.
	brokenAnswerMemory = 6 * time.Second
	maxBrokenAnswers   = 64
)

// SetHost sets the name of the host that runs this scheduler, recorded with the requests that
// it quarantines.
func (s *Scheduler) SetHost(name string) {
	s.suspects.SetHost(name)
	s.traits.SetHost(name)
}

// SetEntryTTL sets the maximum time for which a server stays listed after it has ended.
func (s *Scheduler) SetEntryTTL(d time.Duration) {
	s.entryTTL = d
	s.suspects.SetEntryTTL(d)
}

// verdict returns how a request is to be treated, given the servers that ended while they ran
// it.
func (s *Scheduler) verdict(now Time, r *Request) quarantine.Verdict {
	if !s.suspects.Has(r.Fingerprint) {
		return quarantine.Unrestricted
	}
	return s.suspects.Judge(now, r.Fingerprint, serviceServers{s.services[r.Service]})
}

// serviceServers gives the quarantine table access to the servers of a service; svc is nil for an
// unknown service.
type serviceServers struct{ svc *service }

// AnsweredSince implements quarantine.ServiceServers.
func (p serviceServers) AnsweredSince(since Time) bool {
	if p.svc == nil {
		return false
	}
	for _, srv := range p.svc.servers {
		if !srv.ended && srv.firstListedAt < since && srv.lastAnswerAt > since {
			return true
		}
	}
	return false
}

// UndetectedEnds implements quarantine.ServiceServers.
func (p serviceServers) UndetectedEnds(at Time) (n int) {
	if p.svc == nil {
		return 0
	}
	for _, srv := range p.svc.servers {
		busy := slices.ContainsFunc(srv.runs, func(r *run) bool { return r.placed <= at })
		if srv.firstListedAt <= at && !srv.ended && srv.lastAnswerAt <= at && !busy {
			n++
		}
	}
	return n
}

// heldBack reports whether a request must wait although a server has room.
//
// Several hosts may hold copies of the same request. Each copy of a poison request that is
// sent before the first one ends its server ends another server, so the copies of a suspect
// run one at a time. A host that schedules alone knows neither all ends nor all copies, and
// leaves isolated requests to its home.
func (s *Scheduler) heldBack(now Time, r *Request) bool {
	if now < s.awaitsQuarantineUntil && s.services[r.Service].Engine {
		return true
	}
	return s.heldBackAlone(now, r) || s.heldBackForTrait(now, r)
}

// AwaitQuarantine makes the scheduler of a host that has just started hold back requests for engines until
// it knows what is in quarantine, or until a time.
func (s *Scheduler) AwaitQuarantine(until Time) { s.awaitsQuarantineUntil = until }

// QuarantineKnown ends the wait: the host has read what is in quarantine, or follows a home that knows it.
func (s *Scheduler) QuarantineKnown() { s.awaitsQuarantineUntil = 0 }

// heldBackAlone is heldBack for what is known of the request itself.
func (s *Scheduler) heldBackAlone(now Time, r *Request) bool {
	verdict := s.verdict(now, r)
	switch {
	case verdict == quarantine.Unrestricted:
		return false
	case verdict == quarantine.Undecided || verdict == quarantine.Quarantined || s.copies[r.Fingerprint] > 0:
		return true
	case verdict == quarantine.Isolated && s.share.Servers < 1:
		return true
	}
	svc := s.services[r.Service]
	return s.suspects.Recurrent(r.Fingerprint) && svc.recurrentPlacedAt > 0 && now-svc.recurrentPlacedAt < minRecurrentInterval
}

// hasConflictingSuspect reports whether srv runs a suspect next to which r must not run: both
// are suspects, and at least one is recurrent.
func (s *Scheduler) hasConflictingSuspect(now Time, srv *server, r *Request) bool {
	if s.suspicionOf(now, r).verdict >= quarantine.Isolated && slices.ContainsFunc(srv.runs, func(other *run) bool { return len(other.tested) > 0 }) {
		return true
	}
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

// suspectCost returns the extra cost of srv for r, 0 if r is no suspect.
func (s *Scheduler) suspectCost(now Time, srv *server, r *Request) time.Duration {
	if len(s.suspicionOf(now, r).traits) > 0 {
		return perNeighborCost * time.Duration(srv.running)
	}
	if !s.suspects.Has(r.Fingerprint) {
		return 0
	}
	cost := time.Duration(0)
	if s.suspects.Recurrent(r.Fingerprint) {
		cost = perNeighborCost * time.Duration(srv.running)
	}
	for _, other := range srv.runs {
		if s.suspects.Has(other.req.Fingerprint) {
			return cost + besideSuspectCost
		}
	}
	return cost
}

// isSuspect reports whether servers have ended under a request, or under others like it.
func (s *Scheduler) isSuspect(now Time, r *Request) bool {
	return s.suspects.Has(r.Fingerprint) || len(s.suspicionOf(now, r).traits) > 0
}

// isolate keeps other requests from the server of a run that was just placed, if the run is a recurrent suspect
// or tests a trait that is.
func (s *Scheduler) isolate(now Time, svc *service, r *run) {
	suspicion := s.suspicionOf(now, r.req)
	r.tested, r.isolatedToEnd = suspicion.traits, suspicion.wholeRuns
	recurrent := s.suspects.Recurrent(r.req.Fingerprint)
	if recurrent {
		svc.recurrentPlacedAt = now
	}
	if recurrent || suspicion.verdict >= quarantine.Isolated {
		r.isolated = true
		r.server.isolatedRuns++
	}
}

// addCopies adds n to the number of copies of a request that run now.
func (s *Scheduler) addCopies(f quarantine.Fingerprint, n int) {
	if !f.Known() {
		return
	}
	if s.copies[f] += n; s.copies[f] <= 0 {
		delete(s.copies, f)
	}
}

// learnEnd updates what is known of a request from the outcome of a run.
func (s *Scheduler) learnEnd(now Time, r *run, o Outcome) {
	switch o.Result {
	case OK:
		s.suspects.Clear(now, r.req.Fingerprint)
	case ServerEnded:
		s.recordEnd(now, r.server)
		s.recordLoss(r.server, s.newLoss(now, r, o.FirstEvent > 0))
	case Broken:
		if r.server.ended {
			s.recordLoss(r.server, s.newLoss(now, r, o.FirstEvent > 0))
			return
		}
		r.server.addBrokenAnswer(s.newLoss(now, r, o.FirstEvent > 0))
	case Unreachable:
		s.recordIdleEnd(now, r.server)
	case Replaced:
		s.recordEnd(now, r.server)
	}
}

func (s *Scheduler) newLoss(now Time, r *run, hadFirstEvent bool) quarantine.Loss {
	return quarantine.Loss{
		Fingerprint: r.req.Fingerprint, Account: r.req.Account, Service: r.req.Service, Server: r.server.ID, At: now, EventSeen: hadFirstEvent,
		Traits: traitsOf(r.req), Alone: r.isolated,
	}
}

// recordLoss counts the end of a server against a request that ran there. The end of a server
// that was already leaving counts against no request.
func (s *Scheduler) recordLoss(srv *server, l quarantine.Loss) {
	if srv.leaving {
		return
	}
	s.recordTraitLoss(l.At, l)
	if s.suspects.Add(l.At, l) {
		s.review[l.Fingerprint] = l.Service
	}
}

// reviewSuspects judges the requests again under which servers ended recently, and revokes
// the runs of those in quarantine.
func (s *Scheduler) reviewSuspects(now Time) {
	for f, service := range s.review {
		switch s.verdict(now, &Request{Fingerprint: f, Service: service}) {
		case quarantine.Undecided:
		case quarantine.Quarantined:
			delete(s.review, f)
			s.revoke(now, f)
		default:
			delete(s.review, f)
		}
	}
}

// revoke asks the holders of a request's runs to cancel those without a first event.
//
// Copies that were sent before the first end was known may still wait in the queues of
// servers, and each would end another server.
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

// addBrokenAnswer remembers an answer that was cut off while the server accepted connections.
func (s *server) addBrokenAnswer(l quarantine.Loss) {
	s.brokenAnswers = slices.DeleteFunc(s.brokenAnswers, func(b quarantine.Loss) bool { return l.At-b.At >= brokenAnswerMemory })
	if len(s.brokenAnswers) < maxBrokenAnswers {
		s.brokenAnswers = append(s.brokenAnswers, l)
	}
}

// recordEnd records that a server has ended, for whatever reason.
//
// A server that a supervisor restarts at once accepts connections again when it is probed
// after a broken answer, so its answers look merely broken. They are counted as losses when
// another incarnation is found in its place.
func (s *Scheduler) recordEnd(now Time, srv *server) {
	srv.ended, srv.endedAt = true, now
	for _, b := range srv.brokenAnswers {
		if now-b.At < brokenAnswerMemory {
			s.recordLoss(srv, b)
		}
	}
	srv.brokenAnswers = nil
}

// recordIdleEnd records that a server without runs has ended at some time since it was last
// known to be up. The end of a server that was leaving is expected and not recorded; for
// servers with runs the outcomes of the runs are recorded instead.
func (s *Scheduler) recordIdleEnd(now Time, srv *server) {
	if !srv.leaving && srv.running == 0 {
		s.suspects.AddIdleEnd(srv.ID, max(now-s.entryTTL, srv.firstListedAt, srv.lastAnswerAt), now)
	}
}

// RecordLoss records a run that this host lost with its server, whichever scheduler placed it.
func (s *Scheduler) RecordLoss(now Time, l quarantine.Loss) {
	l.At = now
	if srv := s.servers[l.Server]; srv != nil {
		s.recordLoss(srv, l)
		return
	}
	s.recordTraitLoss(now, l)
	s.suspects.Add(now, l)
}

// LearnSuspects merges another host's records of requests that end servers.
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

// TakeSuspectChanges returns those records of requests that end servers which have changed since
// the last call.
func (s *Scheduler) TakeSuspectChanges(now Time) []quarantine.Record {
	return s.suspects.TakeChanges(now)
}

// Suspects returns all records of requests that end servers.
func (s *Scheduler) Suspects(now Time) []quarantine.Record { return s.suspects.All(now) }

// QuarantinedRequests returns the number of requests in quarantine.
func (s *Scheduler) QuarantinedRequests() int { return s.suspects.Quarantined() }
