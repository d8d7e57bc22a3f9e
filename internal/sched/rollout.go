package sched

import (
	"slices"
	"time"

	"github.com/gentianflow/gentianflow/internal/rollout"
)

// versions tells which servers of a service may be given requests, by the version of their
// software.
type versions struct {
	// current are those that the service runs. Empty until servers are listed.
	current map[string]bool
	most    int // servers of them that were listed at once
	// order is the newest one for the service, nil when there is none.
	order *rollout.Order
	// standing is how far it got, as far as this scheduler knows.
	standing standing
	// trial is set while this scheduler carries the roll-out.
	trial *rollout.Trial
	// back are versions that were taken back and not ordered again.
	back map[string]bool
}

// standing is how far an order got.
type standing uint8

const (
	// unread: the order is known, and not yet whether it was carried out.
	unread standing = iota
	trying
	moving
	moved
	takenBack
)

// replacedFrom is the part of a version's servers that must be left for servers of a
// version that no order names to wait.
const replacedFrom = 0.5

// SetOrder takes an operator's order to move a service to a version. Until StartTrial or
// SettleOrder tells how far it got, servers of that version get nothing.
func (s *Scheduler) SetOrder(o rollout.Order) {
	v := s.versionsOf(o.Service)
	if v.order != nil && v.order.Row >= o.Row {
		return
	}
	if v.trial != nil {
		v.trial.Replace()
	}
	v.order, v.standing, v.trial = &o, unread, nil
	delete(v.back, o.To)
	if v.current[o.To] && len(v.current) > 1 {
		delete(v.current, o.To) // it was taken in with others before its order came
	}
	s.regroup()
}

// StartTrial has this scheduler carry out an order that was given some time ago.
func (s *Scheduler) StartTrial(now Time, o rollout.Order, ago time.Duration, resumed bool) {
	v := s.versionsOf(o.Service)
	if v.order == nil || v.order.Row != o.Row || v.trial != nil {
		return
	}
	v.trial = rollout.NewTrial(now, o, ago, s.bounds, resumed)
	v.standing = trying
	if v.current[o.To] {
		v.trial.Skip()
		v.standing = moving
	}
	s.regroup()
}

// SettleOrder tells how far an order got, on the word of the store or of the home.
func (s *Scheduler) SettleOrder(o rollout.Order, p rollout.Phase) {
	v := s.versionsOf(o.Service)
	if v.order == nil || v.order.Row != o.Row {
		return
	}
	switch p {
	case rollout.Moved:
		v.standing, v.trial = moved, nil
		v.current, v.most = map[string]bool{o.To: true}, 0
	case rollout.TakenBack:
		v.standing, v.trial = takenBack, nil
		v.back[o.To] = true
		delete(v.current, o.To)
	case rollout.Moving:
		v.standing = moving
	default:
		v.standing = trying
	}
	s.regroup()
}

// Settled lists how far each order got, as far as this scheduler knows.
func (s *Scheduler) Settled() []rollout.Standing {
	phases := map[standing]rollout.Phase{trying: rollout.Trying, moving: rollout.Moving, moved: rollout.Moved, takenBack: rollout.TakenBack}
	var out []rollout.Standing
	for _, v := range s.versions {
		if v.order != nil && v.standing != unread {
			out = append(out, rollout.Standing{Order: *v.order, Phase: phases[v.standing]})
		}
	}
	return out
}

// DropTrials ends what this scheduler carries: another one leads.
func (s *Scheduler) DropTrials() {
	for _, v := range s.versions {
		if v.trial != nil {
			v.trial = nil
		}
	}
	s.regroup()
}

// Hold has an operator pause a trial, end the pause or take the version back.
func (s *Scheduler) Hold(service string, wish rollout.Wish) {
	v := s.versions[service]
	if v == nil || v.trial == nil {
		return
	}
	if v.trial.Obey(wish) {
		s.rolloutStepped(v)
	}
}

// RolloutNews lists the trials that took a step since it was called last.
func (s *Scheduler) RolloutNews() []rollout.Standing {
	news := s.rollouts
	s.rollouts = nil
	return news
}

// Rollouts lists the trials that this scheduler carries.
func (s *Scheduler) Rollouts() []rollout.Standing {
	var out []rollout.Standing
	for _, v := range s.versions {
		if v.trial != nil {
			out = append(out, v.trial.Standing())
		}
	}
	return out
}

// SetBounds sets what a version on trial may get.
func (s *Scheduler) SetBounds(b rollout.Bounds) { s.bounds = b }

func (s *Scheduler) versionsOf(service string) *versions {
	v := s.versions[service]
	if v == nil {
		v = &versions{current: map[string]bool{}, back: map[string]bool{}}
		s.versions[service] = v
	}
	return v
}

// rolloutStepped takes in a step of a trial.
func (s *Scheduler) rolloutStepped(v *versions) {
	switch v.trial.Phase() {
	case rollout.Moving:
		v.standing = moving
	case rollout.TakenBack:
		v.standing = takenBack
		v.back[v.order.To] = true
	case rollout.Moved:
		v.standing = moved
		v.current, v.most = map[string]bool{v.order.To: true}, 0
	default:
		v.standing = trying
	}
	s.rollouts = append(s.rollouts, v.trial.Standing())
	s.regroup()
}

// sort puts the servers of a service into those that serve and those on trial.
//
// Guard: servers of a new version register before the order for it is read, or without one.
// Were they given requests at once, a bad version would get its even part of the traffic
// before anybody judges it. They wait while the version that runs has its servers; where
// these are replaced one after the other, the new ones are taken in.
func (v *versions) sort(all []*server) (serving, onTrial []*server) {
	v.takeIn(all)
	for _, srv := range all {
		switch {
		case v.serves(srv.Version):
			serving = append(serving, srv)
		case v.order != nil && srv.Version == v.order.To && v.standing == trying:
			onTrial = append(onTrial, srv)
		}
	}
	if slices.ContainsFunc(serving, func(srv *server) bool { return !srv.Draining }) {
		return serving, onTrial
	}
	// Nothing else is left that could serve callers.
	return slices.DeleteFunc(slices.Clone(all), func(srv *server) bool { return v.back[srv.Version] }), nil
}

// serves reports whether servers of a version get requests without a trial.
func (v *versions) serves(version string) bool {
	if v.order == nil || v.standing != moving {
		return v.current[version]
	}
	return version == v.order.To
}

// takeIn decides which versions the service runs.
func (v *versions) takeIn(all []*server) {
	counts := map[string]int{}
	for _, srv := range all {
		if !srv.Draining && !v.back[srv.Version] {
			counts[srv.Version]++
		}
	}
	ordered := ""
	if v.order != nil && v.standing != moved {
		ordered = v.order.To
	}
	n := 0
	for version := range v.current {
		n += counts[version]
	}
	v.most = max(v.most, n)
	if len(v.current) > 0 && float64(n) > replacedFrom*float64(v.most) {
		return
	}
	for version := range counts {
		if version != ordered {
			v.current[version] = true
		}
	}
}

// fillTrial gives the server whose turn it is what may be tried there.
func (s *Scheduler) fillTrial(now Time, svc *service) {
	target := s.trialServer(now, svc)
	if target == nil || svc.queue.size == 0 {
		return
	}
	svc.queue.each(func(w *waiting) (drop, stop bool) {
		if target == nil {
			return false, true
		}
		if !s.tryNew(now, svc, target, w) {
			return false, false
		}
		target = s.trialServer(now, svc)
		return true, target == nil
	})
}

// offerTrial gives w, which has just come, to the server whose turn it is, if it may be
// tried, and reports whether it did.
func (s *Scheduler) offerTrial(now Time, svc *service, w *waiting) bool {
	target := s.trialServer(now, svc)
	return target != nil && s.tryNew(now, svc, target, w)
}

// trialServer is the server of a version on trial whose turn it is, nil for none.
func (s *Scheduler) trialServer(now Time, svc *service) *server {
	if svc.versions.trial == nil || len(svc.onTrial) == 0 {
		return nil
	}
	var free []rollout.Candidate
	for _, srv := range svc.onTrial {
		if srv.room(now, s.concurrencyLimit(svc, srv)) {
			free = append(free, rollout.Candidate{Server: srv.ID, Slots: srv.Slots})
		}
	}
	return s.servers[svc.versions.trial.Turn(now, free)]
}

// tryNew places w at a server of a version on trial, if it may be tried, and reports
// whether it did. One that was sent before is not: its caller has waited for one failure.
func (s *Scheduler) tryNew(now Time, svc *service, srv *server, w *waiting) bool {
	r := &w.Request
	if r.Repeat || !svc.versions.trial.Wants(r.Route) || !srv.hasMemory(svc, r) ||
		s.quotaWait(now, r) > 0 || s.suspects.Has(r.Fingerprint) {
		return false
	}
	svc.versions.trial.Tried(r.Route)
	s.place(now, svc, srv, w)
	return true
}

// offerNew places w, which may not be cut off, at a server of a version on trial when it
// would last on an old one for longer than that is to run.
//
// Guard: the old servers stop the moment that the roll-out is completed, with what they
// run.
func (s *Scheduler) offerNew(now Time, svc *service, w *waiting) bool {
	trial := svc.versions.trial
	if trial == nil || w.Repeatable || w.Repeat || !trial.MayTake() {
		return false
	}
	first := svc.idleTimeToFirstEvent(svc.typicalTokenTime(), &w.Request)
	if !trial.Ending(now, first+time.Duration(w.OutputTokens)*svc.typicalTokenTime()) {
		return false
	}
	for _, srv := range svc.onTrial {
		if srv.room(now, s.concurrencyLimit(svc, srv)) && srv.hasMemory(svc, &w.Request) && s.quotaWait(now, &w.Request) == 0 {
			s.place(now, svc, srv, w)
			return true
		}
	}
	return false
}

// passTrials lets time pass for the trials.
func (s *Scheduler) passTrials(now Time) {
	for _, v := range s.versions {
		if v.trial == nil {
			continue
		}
		svc := s.services[v.order.Service]
		if svc == nil {
			continue
		}
		if v.trial.Pass(now, s.ordered(v)) || s.oldIsEmpty(v) && v.trial.Empty() {
			s.rolloutStepped(v)
		}
	}
}

// ordered counts the servers of the version that is ordered.
func (s *Scheduler) ordered(v *versions) (n int) {
	for _, srv := range s.servers {
		if srv.Service == v.order.Service && srv.Version == v.order.To {
			n++
		}
	}
	return n
}

// oldIsEmpty reports whether no server of another version than the one ordered runs what
// may not be cut off.
func (s *Scheduler) oldIsEmpty(v *versions) bool {
	for _, r := range s.runs {
		if r.req.Service == v.order.Service && r.server.Version != v.order.To && !r.req.Repeatable {
			return false
		}
	}
	return true
}

// learnVersion takes in what a run tells of its server's version.
func (s *Scheduler) learnVersion(now Time, r *run, o Outcome) {
	svc := s.services[r.req.Service]
	if svc == nil || svc.versions.trial == nil || r.req.Route == "" {
		return
	}
	v := svc.versions
	if o.Result == Unused || o.Result == Unreachable {
		v.trial.Unreached(r.server.Version == v.order.To)
		return
	}
	sample, ok := s.sample(now, svc, r, o)
	if ok && v.trial.Learn(now, sample, s.ordered(v)) {
		s.rolloutStepped(v)
	}
}

// sample is what the end of a run tells of a version, ok when it tells anything. What ends
// with its server, and what the request itself is the cause of, does not.
func (s *Scheduler) sample(now Time, svc *service, r *run, o Outcome) (out rollout.Sample, ok bool) {
	out = rollout.Sample{Route: r.req.Route, Server: r.server.ID, New: r.server.Version == svc.versions.order.To}
	typical := svc.typicalTokenTime()
	usual := svc.idleTimeToFirstEvent(typical, r.req)
	switch o.Result {
	case OK:
		out.Took = float64(o.First) / float64(usual)
		if o.Pace > 0 {
			out.Took = float64(o.Pace) / float64(typical)
		}
		return out, o.First > 0
	case Errored, Unblamed, Broken:
		out.Failed = true
		return out, !s.suspects.Has(r.req.Fingerprint)
	case Left:
		out.Took = float64(now-r.placed) / float64(usual)
		return out, o.First == 0 && out.Took > leftSlow
	}
	return out, false
}

// leftSlow is how many times the usual a caller must have waited for a first event, or a
// whole plain answer, for its leaving to be held against the server.
const leftSlow = 4
