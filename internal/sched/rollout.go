package sched

import (
	"slices"
	"time"

	"github.com/gentianflow/gentianflow/internal/rollout"
)

// versions decides by software version which servers of a service get requests.
type versions struct {
	// current are the versions in service. Empty until servers are listed.
	current   map[string]bool
	maxListed int // largest number of listed servers of the current versions
	// order is the newest rollout order for the service, nil if there is none.
	order *rollout.Order
	// phase is the phase of order, as far as this scheduler knows.
	phase orderPhase
	// trial is set while this scheduler runs the rollout.
	trial *rollout.Trial
	// rolledBack are the versions that were rolled back and not ordered again since.
	rolledBack map[string]bool
	history    versionHistory
}

// orderPhase is the phase of a rollout order.
type orderPhase uint8

const (
	// phaseUnknown: the order is known, but not how far it was carried out.
	phaseUnknown orderPhase = iota
	// phaseTrying: the ordered version is on trial.
	phaseTrying
	// phaseMoving: the ordered version gets all requests, and the old servers finish theirs.
	phaseMoving
	phaseMoved
	phaseRolledBack
)

// minRemainingShare is the share of the servers of the current versions that must remain listed
// for servers of a version without an order to get no requests.
const minRemainingShare = 0.5

// SetOrder records an operator's order to move a service to a version. Servers of that version
// get no requests until StartTrial or SetOrderPhase sets the phase of the order.
func (s *Scheduler) SetOrder(o rollout.Order) {
	v := s.versionsOf(o.Service)
	if v.order != nil && v.order.RowVersion >= o.RowVersion {
		return
	}
	if v.trial != nil {
		v.trial.Supersede()
	}
	v.order, v.phase, v.trial = &o, phaseUnknown, nil
	delete(v.rolledBack, o.To)
	if v.current[o.To] && len(v.current) > 1 {
		delete(v.current, o.To) // it was accepted with other versions before it was ordered
	}
	s.groupServers()
}

// RenumberOrder gives an order that is in force another row version: a restore of the store gave its row
// another one.
func (s *Scheduler) RenumberOrder(o rollout.Order) {
	v := s.versionsOf(o.Service)
	if v.order == nil || !v.order.SameContent(o) {
		return
	}
	v.order = &o
	if v.trial != nil {
		v.trial.Order = o
	}
}

// StartTrial makes this scheduler carry out an order that was given ago before now. resumed
// is set when it takes the trial over from another scheduler.
func (s *Scheduler) StartTrial(now Time, o rollout.Order, ago time.Duration, resumed bool) {
	v := s.versionsOf(o.Service)
	if v.order == nil || v.order.RowVersion != o.RowVersion || v.trial != nil {
		return
	}
	v.trial = rollout.NewTrial(now, o, ago, s.bounds, resumed)
	v.phase = phaseTrying
	if v.current[o.To] {
		v.trial.StartMoving()
		v.phase = phaseMoving
	}
	s.groupServers()
}

// SetOrderPhase sets the phase of an order as reported by the store or by the home.
func (s *Scheduler) SetOrderPhase(o rollout.Order, p rollout.Phase) {
	v := s.versionsOf(o.Service)
	if v.order == nil || v.order.RowVersion != o.RowVersion {
		return
	}
	switch p {
	case rollout.Moved:
		v.phase, v.trial = phaseMoved, nil
		v.current, v.maxListed = map[string]bool{o.To: true}, 0
	case rollout.PhaseRolledBack:
		v.phase, v.trial = phaseRolledBack, nil
		v.rolledBack[o.To] = true
		delete(v.current, o.To)
	case rollout.Moving:
		v.phase = phaseMoving
	default:
		v.phase = phaseTrying
	}
	s.groupServers()
}

// OrderPhases lists the orders whose phase this scheduler knows, with the phase.
func (s *Scheduler) OrderPhases() []rollout.Status {
	phases := map[orderPhase]rollout.Phase{phaseTrying: rollout.Trying, phaseMoving: rollout.Moving, phaseMoved: rollout.Moved, phaseRolledBack: rollout.PhaseRolledBack}
	var out []rollout.Status
	for _, v := range s.versions {
		if v.order != nil && v.phase != phaseUnknown {
			out = append(out, rollout.Status{Order: *v.order, Phase: phases[v.phase]})
		}
	}
	return out
}

// DropTrials stops running trials, because another scheduler takes over.
func (s *Scheduler) DropTrials() {
	for _, v := range s.versions {
		if v.trial != nil {
			v.trial = nil
		}
	}
	s.groupServers()
}

// ApplyCommand applies an operator's command to pause or resume a trial or to roll the version
// back.
func (s *Scheduler) ApplyCommand(service string, command rollout.Command) {
	v := s.versions[service]
	if v == nil || v.trial == nil {
		return
	}
	if v.trial.Apply(command) {
		s.recordRolloutStep(v)
	}
}

// TakeRolloutSteps returns the steps that trials took since the last call.
func (s *Scheduler) TakeRolloutSteps() []rollout.Status {
	steps := s.rolloutSteps
	s.rolloutSteps = nil
	return steps
}

// Rollouts lists the trials that this scheduler runs.
func (s *Scheduler) Rollouts() []rollout.Status {
	var out []rollout.Status
	for _, v := range s.versions {
		if v.trial != nil {
			out = append(out, v.trial.Status())
		}
	}
	return out
}

// SetBounds limits the requests that a version on trial gets.
func (s *Scheduler) SetBounds(b rollout.Bounds) { s.bounds = b }

func (s *Scheduler) versionsOf(service string) *versions {
	v := s.versions[service]
	if v == nil {
		v = &versions{current: map[string]bool{}, rolledBack: map[string]bool{}}
		s.versions[service] = v
	}
	return v
}

// recordRolloutStep applies the phase that a trial has reached.
func (s *Scheduler) recordRolloutStep(v *versions) {
	switch v.trial.Phase() {
	case rollout.Moving:
		v.phase = phaseMoving
	case rollout.PhaseRolledBack:
		v.phase = phaseRolledBack
		v.rolledBack[v.order.To] = true
	case rollout.Moved:
		v.phase = phaseMoved
		v.current, v.maxListed = map[string]bool{v.order.To: true}, 0
	default:
		v.phase = phaseTrying
	}
	s.rolloutSteps = append(s.rolloutSteps, v.trial.Status())
	s.groupServers()
}

// partition splits the servers of a service into those that serve and those on trial.
//
// Servers of a new version register before the order for it is read, or without an order. If
// they got requests at once, a bad version would receive a full share of the traffic before
// its trial. They get none while the current versions have their servers; when those servers
// are replaced one by one, the new version is accepted.
func (v *versions) partition(all []*server) (serving, onTrial []*server) {
	v.updateCurrent(all)
	for _, srv := range all {
		switch {
		case v.serves(srv.Version):
			serving = append(serving, srv)
		case v.order != nil && srv.Version == v.order.To && v.phase == phaseTrying:
			onTrial = append(onTrial, srv)
		}
	}
	if slices.ContainsFunc(serving, func(srv *server) bool { return !srv.Draining }) {
		return serving, onTrial
	}
	// No other server is left to serve callers.
	return slices.DeleteFunc(slices.Clone(all), func(srv *server) bool { return v.rolledBack[srv.Version] }), nil
}

// serves reports whether servers of a version get requests outside a trial.
func (v *versions) serves(version string) bool {
	if v.order == nil || v.phase != phaseMoving {
		return v.current[version]
	}
	return version == v.order.To
}

// updateCurrent accepts the listed versions into current once the servers of the current
// versions are mostly gone.
func (v *versions) updateCurrent(all []*server) {
	counts := map[string]int{}
	for _, srv := range all {
		if !srv.Draining && !v.rolledBack[srv.Version] {
			counts[srv.Version]++
		}
	}
	ordered := ""
	if v.order != nil && v.phase != phaseMoved {
		ordered = v.order.To
	}
	n := v.countCurrent(counts)
	v.maxListed = max(v.maxListed, n)
	if len(v.current) > 0 && float64(n) > minRemainingShare*float64(v.maxListed) {
		return
	}
	for version := range counts {
		if version != ordered {
			v.current[version] = true
		}
	}
	v.maxListed = max(v.maxListed, v.countCurrent(counts))
}

// countCurrent returns the number of servers of the current versions.
func (v *versions) countCurrent(counts map[string]int) (n int) {
	for version := range v.current {
		n += counts[version]
	}
	return n
}

// fillTrial places waiting requests at the next trial servers, as far as the trial allows.
func (s *Scheduler) fillTrial(now Time, svc *service) {
	target := s.nextTrialServer(now, svc)
	if target == nil || svc.queue.size == 0 {
		return
	}
	svc.queue.each(func(w *waiting) (drop, stop bool) {
		if target == nil {
			return false, true
		}
		if !s.placeOnTrial(now, svc, target, w) {
			return false, false
		}
		target = s.nextTrialServer(now, svc)
		return true, target == nil
	})
}

// offerTrial places w, which has just arrived, at the next trial server, if the trial allows,
// and reports whether it did.
func (s *Scheduler) offerTrial(now Time, svc *service, w *waiting) bool {
	target := s.nextTrialServer(now, svc)
	return target != nil && s.placeOnTrial(now, svc, target, w)
}

// nextTrialServer returns the server on trial that gets the next request, nil for none.
func (s *Scheduler) nextTrialServer(now Time, svc *service) *server {
	if svc.versions.trial == nil || len(svc.onTrial) == 0 {
		return nil
	}
	var free []rollout.Candidate
	for _, srv := range svc.onTrial {
		if srv.hasRoom(now, s.concurrencyLimit(svc, srv)) {
			free = append(free, rollout.Candidate{Server: srv.ID, Slots: srv.Slots})
		}
	}
	return s.servers[svc.versions.trial.NextServer(now, free)]
}

// placeOnTrial places w at a server on trial, if the trial allows, and reports whether it did.
// Retries are excluded: their callers have already waited for one failure.
func (s *Scheduler) placeOnTrial(now Time, svc *service, srv *server, w *waiting) bool {
	r := &w.Request
	if r.Retry || r.Resumed != nil || !svc.versions.trial.RouteAllowed(r.Route) || !srv.hasMemory(svc, r) ||
		s.quotaWait(now, r) > 0 || s.isSuspect(now, r) {
		return false
	}
	svc.versions.trial.CountTry(r.Route)
	s.place(now, svc, srv, w)
	return true
}

// offerNewVersion places w, which may not be interrupted, at a server on trial if at an old
// server it would run past the end of the rollout. Old servers stop as soon as the rollout
// completes, and their runs with them.
func (s *Scheduler) offerNewVersion(now Time, svc *service, w *waiting) bool {
	trial := svc.versions.trial
	if trial == nil || w.Interruptible || w.Retry || w.Resumed != nil || !trial.WithinBounds() || s.isSuspect(now, &w.Request) {
		return false
	}
	first := svc.idleTimeToFirstEvent(svc.typicalTokenTime(), &w.Request)
	if !trial.OutlastsMove(now, first+time.Duration(w.OutputTokens)*svc.typicalTokenTime()) {
		return false
	}
	for _, srv := range svc.onTrial {
		if srv.hasRoom(now, s.concurrencyLimit(svc, srv)) && srv.hasMemory(svc, &w.Request) && s.quotaWait(now, &w.Request) == 0 {
			s.place(now, svc, srv, w)
			return true
		}
	}
	return false
}

// advanceTrials advances the trials to now.
func (s *Scheduler) advanceTrials(now Time) {
	for _, v := range s.versions {
		if v.trial == nil {
			continue
		}
		svc := s.services[v.order.Service]
		if svc == nil {
			continue
		}
		if v.trial.Evaluate(now, s.countOrdered(v)) || s.oldVersionIdle(v) && v.trial.OldServersIdle() {
			s.recordRolloutStep(v)
		}
	}
}

// countOrdered returns the number of servers of the ordered version.
func (s *Scheduler) countOrdered(v *versions) (n int) {
	for _, srv := range s.servers {
		if srv.Service == v.order.Service && srv.Version == v.order.To {
			n++
		}
	}
	return n
}

// oldVersionIdle reports whether no server outside the ordered version has a run that may
// not be interrupted.
func (s *Scheduler) oldVersionIdle(v *versions) bool {
	for _, r := range s.runs {
		if r.req.Service == v.order.Service && r.server.Version != v.order.To && !r.req.Interruptible {
			return false
		}
	}
	return true
}

// learnVersion passes the outcome of a run to the trial of its service.
func (s *Scheduler) learnVersion(now Time, r *run, o Outcome) {
	svc := s.services[r.req.Service]
	if svc == nil || svc.versions.trial == nil || r.req.Route == "" {
		return
	}
	v := svc.versions
	if o.Result == Unused || o.Result == Unreachable {
		v.trial.UncountRequest(r.server.Version == v.order.To)
		return
	}
	sample, ok := s.sample(now, svc, r, o)
	if ok && v.trial.AddAnswer(now, sample, s.countOrdered(v)) {
		s.recordRolloutStep(v)
	}
}

// sample converts the outcome of a run into a sample for the trial; ok is false if the outcome
// says nothing about the version, such as that of a run that ended with its server or the
// failure of a request suspected of ending servers.
func (s *Scheduler) sample(now Time, svc *service, r *run, o Outcome) (out rollout.Sample, ok bool) {
	out = rollout.Sample{Route: r.req.Route, Server: r.server.ID, New: r.server.Version == svc.versions.order.To}
	typical := svc.typicalTokenTime()
	expected := svc.idleTimeToFirstEvent(typical, r.req)
	switch o.Result {
	case OK:
		out.RelativeTime = float64(o.FirstEvent) / float64(expected)
		if o.TokenTime > 0 {
			out.RelativeTime = float64(o.TokenTime) / float64(typical)
		}
		return out, o.FirstEvent > 0
	case ServerError, UnattributedError, Broken:
		out.Failed = true
		return out, !s.isSuspect(now, r.req)
	case CallerLeft:
		out.RelativeTime = float64(now-r.placed) / float64(expected)
		return out, o.FirstEvent == 0 && out.RelativeTime > abandonedSlowFactor
	}
	return out, false
}

// abandonedSlowFactor is the multiple of the expected time to the first event, or to the complete
// answer of a plain call, after which a caller's disconnect counts against the version.
const abandonedSlowFactor = 4
