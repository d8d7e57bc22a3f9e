package sched

import (
	"slices"
	"time"

	"github.com/gentianflow/gentianflow/internal/quarantine"
)

// Traits are what requests have in common and servers may end under: a prompt part, a part in one account's
// requests, or an account's requests on a route. Package quarantine judges them. While a trait is suspect, its
// requests run one at a time, and after the second end apart from others; see docs/design/prompt-parts.md.

// traitsOf returns the traits of a request.
func traitsOf(r *Request) []quarantine.Trait {
	if r.traits == nil {
		parts := make([]uint64, 0, r.SharedParts)
		for _, p := range r.PromptParts[:min(r.SharedParts, len(r.PromptParts))] {
			parts = append(parts, p.Key)
		}
		r.traits = quarantine.TraitsOf(r.Service, r.Account, r.Route, parts)
	}
	return r.traits
}

// traitVerdicts calls f with the verdict on each trait of a request that restricts it, until f returns
// false.
func (s *Scheduler) traitVerdicts(now Time, r *Request, f func(quarantine.TraitVerdict) bool) {
	if s.traits.Empty() {
		return
	}
	traits := traitsOf(r)
	if !s.traits.Tracks(traits) {
		return
	}
	servers := serviceServers{s.services[r.Service]}
	for _, p := range traits {
		if v := s.traits.Judge(now, p, r.Account, traits, servers); v.Verdict > quarantine.Unrestricted && !f(v) {
			return
		}
	}
}

// quarantinedTrait returns the trait for which a request is in quarantine, if there is one.
func (s *Scheduler) quarantinedTrait(now Time, r *Request) (p quarantine.Trait, found bool) {
	suspicion := s.suspicionOf(now, r)
	if suspicion.verdict != quarantine.Quarantined {
		return p, false
	}
	return suspicion.traits[0], true
}

// suspicion is how a request must be treated because of its most suspect traits.
type suspicion struct {
	verdict   quarantine.Verdict
	traits    []quarantine.Trait // the most suspect ones, equally suspect
	wholeRuns bool               // a run says nothing about them before its end
	score     float64
}

// suspicionOf returns how a request must be treated because of its traits.
//
// A run of the request tests its most suspect traits. Sound requests share most of their traits with the
// bad ones; if a run tested all of them, bad requests would keep the sound ones from proving these innocent.
func (s *Scheduler) suspicionOf(now Time, r *Request) suspicion {
	if s.traits.Empty() {
		return suspicion{}
	}
	if !r.suspicion.valid(now, s.traits.Revision()) {
		r.suspicion = cachedSuspicion{s.judgeSuspicion(now, r), now, s.traits.Revision()}
	}
	return r.suspicion.suspicion
}

// unrestrictedTTL is how long it is reused that a request is not suspect. Thousands may wait, and each is
// looked at whenever a server has room.
const unrestrictedTTL = 20 * time.Millisecond

// cachedSuspicion is the suspicion of a request at a time.
type cachedSuspicion struct {
	suspicion
	at       Time
	revision uint64 // of the traits; 0: not judged yet
}

func (c *cachedSuspicion) valid(now Time, revision uint64) bool {
	switch {
	case c.revision == 0:
		return false
	case c.verdict == quarantine.Unrestricted:
		return now-c.at < unrestrictedTTL
	}
	return c.at == now && c.revision == revision
}

func (s *Scheduler) judgeSuspicion(now Time, r *Request) (most suspicion) {
	s.traitVerdicts(now, r, func(v quarantine.TraitVerdict) bool {
		if v.Verdict == quarantine.Quarantined {
			most = suspicion{verdict: v.Verdict, traits: []quarantine.Trait{v.Trait}}
			return false
		}
		if len(most.traits) > 0 && v.Score < most.score-scoreTolerance {
			return true
		}
		if v.Score > most.score+scoreTolerance {
			most = suspicion{score: v.Score}
		}
		most.traits = append(most.traits, v.Trait)
		most.verdict, most.wholeRuns = max(most.verdict, v.Verdict), most.wholeRuns || v.WholeRuns
		return true
	})
	return most
}

// scoreTolerance is the difference up to which traits count as equally suspect.
const scoreTolerance = 0.01

// heldBackForTrait reports whether a request must wait for its traits although a server has room:
// another run tests them, or requests with them are not run here.
func (s *Scheduler) heldBackForTrait(now Time, r *Request) bool {
	suspicion := s.suspicionOf(now, r)
	switch {
	case suspicion.verdict == quarantine.Unrestricted:
		return false
	case suspicion.verdict >= quarantine.Undecided, suspicion.verdict == quarantine.Isolated && s.share.Servers < 1:
		return true
	}
	return slices.ContainsFunc(suspicion.traits, func(p quarantine.Trait) bool { return s.isTested(p, suspicion.wholeRuns) })
}

// isTested reports whether a run tests a trait, which it does until it has begun to be answered or, with
// toEnd, until the answer is complete. Runs that were placed before anything was suspect test all of theirs.
func (s *Scheduler) isTested(p quarantine.Trait, toEnd bool) bool {
	return slices.ContainsFunc(s.listed[p.Service], func(srv *server) bool {
		return slices.ContainsFunc(srv.runs, func(r *run) bool {
			return (toEnd || !r.begun) && (slices.Contains(r.tested, p) || len(r.tested) == 0 && slices.Contains(traitsOf(r.req), p))
		})
	})
}

func (s *server) runsTrait(p quarantine.Trait, begun bool) bool {
	return slices.ContainsFunc(s.runs, func(r *run) bool {
		return (begun || !r.begun) && slices.Contains(traitsOf(r.req), p)
	})
}

// busyServers counts the busy servers of the service of a trait and those that run requests with it, which
// have not begun to be answered unless begun is set. Servers that ended just now count as well.
func (s *Scheduler) busyServers(now Time, p quarantine.Trait, begun bool) (busy, with int) {
	for _, srv := range s.listed[p.Service] {
		justEnded := srv.ended && now-srv.endedAt < time.Second
		if !justEnded && (srv.ended || srv.running == 0) {
			continue
		}
		busy++
		with += oneIf(srv.runsTrait(p, begun) || justEnded && s.traits.EndedUnder(p, srv.ID))
	}
	return busy, with
}

func oneIf(b bool) int {
	if b {
		return 1
	}
	return 0
}

// learnTraits updates what is known of the traits of a run's request from an outcome of the run.
func (s *Scheduler) learnTraits(now Time, r *run, o Outcome) {
	answered := o.Result == OK || o.Result == ServerError || o.Result == UnattributedError
	if !answered && o.Result != Progress {
		return
	}
	if !r.begun {
		r.begun = true
		at := now
		if o.FirstEvent > 0 {
			at = min(now, r.placed+o.FirstEvent)
		}
		s.traits.Begun(now, at, r.req.Service, traitsOf(r.req))
	}
	if answered {
		s.traits.Whole(now, r.req.Service, traitsOf(r.req))
	}
}

// recordTraitLoss counts the end of a server against the traits of a request that ran there.
func (s *Scheduler) recordTraitLoss(now Time, l quarantine.Loss) {
	s.traits.Lost(now, l.Service, l.Traits, l.EventSeen)
	s.traits.Add(now, quarantine.TraitLoss{
		Request: l.Fingerprint, Account: l.Account, Server: l.Server, At: l.At, Begun: l.EventSeen, Alone: l.Alone, Traits: l.Traits,
		Busy: func(p quarantine.Trait, begun bool) (busy, with int) { return s.busyServers(now, p, begun) },
	})
	for _, p := range l.Traits {
		s.traitReview[p] = traitRequest{account: l.Account, traits: l.Traits}
	}
}

// traitRequest stands for the requests of an account with some traits.
type traitRequest struct {
	account string
	traits  []quarantine.Trait
}

// reviewTraits judges the traits again under which servers ended recently, and revokes the runs of
// requests that are in quarantine for one of them.
func (s *Scheduler) reviewTraits(now Time) {
	s.traits.Expire(now)
	for p, r := range s.traitReview {
		v := s.traits.Judge(now, p, r.account, r.traits, serviceServers{s.services[p.Service]})
		if v.Verdict != quarantine.Undecided {
			delete(s.traitReview, p)
		}
	}
	for _, p := range s.traits.TakeQuarantined() {
		s.revokeTrait(now, p)
	}
}

// revokeTrait asks the holders of runs with a trait in quarantine to cancel those without a first event.
func (s *Scheduler) revokeTrait(now Time, p quarantine.Trait) {
	retryIn := s.traits.RetryIn(now, p)
	if retryIn == 0 {
		return
	}
	for k, r := range s.runs {
		if r.begun || r.orphan || !slices.Contains(traitsOf(r.req), p) || !s.traits.AppliesTo(p, r.req.Account, traitsOf(r.req)) {
			continue
		}
		s.out = append(s.out, Decision{Key: k, Reason: quarantineReason(p), RetryAfter: retryIn, Detail: s.traits.Explain(now, p)})
	}
}

// quarantineReason returns the reason of a refusal for a trait in quarantine.
func quarantineReason(p quarantine.Trait) Reason {
	if p.Kind == quarantine.AccountRoute {
		return QuarantinedCaller
	}
	return QuarantinedPart
}

// refuseForTrait refuses w until requests with the trait may be tried again.
func (s *Scheduler) refuseForTrait(now Time, w *waiting, p quarantine.Trait) {
	s.refuse(now, w, quarantineReason(p), max(s.policy.RetryAfter, s.traits.RetryIn(now, p)))
	s.out[len(s.out)-1].Detail = s.traits.Explain(now, p)
}

// Answer is what a host knows of the answer to a request that another scheduler placed.
type Answer struct {
	Service string
	Traits  []quarantine.Trait
	Began   bool          // it has begun since the last report
	Age     time.Duration // time since it began
	Whole   bool
}

// RecordAnswer records an answer that this host got, which speaks for the traits of its request.
func (s *Scheduler) RecordAnswer(now Time, a Answer) {
	if a.Began {
		s.traits.Begun(now, now-a.Age, a.Service, a.Traits)
	}
	if a.Whole {
		s.traits.Whole(now, a.Service, a.Traits)
	}
}

// LearnTraits merges another host's records of traits under which servers ended.
func (s *Scheduler) LearnTraits(now Time, records []quarantine.TraitRecord) []Decision {
	s.out = nil
	for _, r := range records {
		s.traits.Merge(now, r)
	}
	s.reviewTraits(now)
	return s.out
}

// TakeTraitChanges returns those records of traits which have changed since the last call.
func (s *Scheduler) TakeTraitChanges(now Time) []quarantine.TraitRecord {
	return s.traits.TakeChanges(now)
}

// Traits returns all records of traits under which servers ended.
func (s *Scheduler) Traits(now Time) []quarantine.TraitRecord { return s.traits.All(now) }

// QuarantinedTraits returns the number of traits in quarantine.
func (s *Scheduler) QuarantinedTraits() int { return s.traits.Quarantined() }

// TracksTraits reports whether servers have ended under traits of requests recently, so that answers speak
// for their traits.
func (s *Scheduler) TracksTraits() bool { return !s.traits.Empty() }
