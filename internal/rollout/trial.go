package rollout

import (
	"fmt"
	"math"
	"time"

	"github.com/gentianflow/gentianflow/charts"
	"github.com/gentianflow/gentianflow/internal/chart"
)

// Phase is a state of the chart of a rollout.
type Phase = chart.State

// The phases of a trial; charts/rollout.yaml describes them.
const (
	Trying          Phase = "trying"
	Paused          Phase = "paused"
	Moving          Phase = "moving"
	Moved           Phase = "moved"
	PhaseRolledBack Phase = "taken_back"
	Superseded      Phase = "superseded"
)

// The events of the chart.
const (
	evPause    chart.Event = "pause"
	evResume   chart.Event = "resume"
	evMove     chart.Event = "move"
	evEmpty    chart.Event = "empty"
	evBad      chart.Event = "bad"
	evReplaced chart.Event = "replace"
)

var trialChart = charts.MustLoad().Rollout

const (
	// trialShare is the fraction of the bounds that the trial may use. The rest is for the time
	// between the move and the deadline, in which the new version gets all requests.
	trialShare = 0.5
	// trialAndMoveShare is the fraction of the bounds that the trial and the time from the move
	// to the deadline may use together, in case the version turns out to be bad after the move.
	trialAndMoveShare = 0.9
	// burstPerSlot is the number of requests that a new server gets in one turn, as a multiple
	// of its slots: a version that fails only under load would not show it under a twentieth of
	// the traffic, spread evenly.
	burstPerSlot = 3
	// maxTurnTime is the longest turn of a server.
	maxTurnTime = 2 * time.Second
	// minAnswersToMove is the number of answers of the new version that a move requires.
	minAnswersToMove = 40
	// maxRouteLead is how many tries (requests sent to the new version) a route may be ahead of
	// another one, in addition to half the tries of that one: a version may be bad on a route that
	// few requests take.
	maxRouteLead = 6
	// minRouteShare is the share of all answers below which other routes do not wait for a route.
	minRouteShare = 0.05
	// storeWriteMargin is the time between the end of the old servers' runs and the deadline that
	// is left for writing the result to the store.
	storeWriteMargin = 400 * time.Millisecond
)

// Trial is one rollout as the home (the host that runs the scheduler) controls it. It is not
// safe for concurrent use.
type Trial struct {
	Order     Order
	bounds    Bounds
	orderedAt Time
	machine   chart.Machine
	samples   samples
	reached   float64 // requests that reached the service since startedAt
	tried     float64 // those of them that were sent to the new version
	startedAt Time    // when this scheduler took over the trial
	fromOrder bool    // this scheduler has run the trial since the order
	turn      turn
	tries     map[string]int // by route
	why       string
}

// turn describes the server of the new version that gets requests now.
type turn struct {
	server    string
	remaining int // requests left in the turn
	until     Time
	count     map[string]int // turns by server
}

// NewTrial starts the trial of an order that was given some time ago. A scheduler that takes it
// over from a lost one passes resumed: the number of requests tried before is unknown, and the
// trial assumes that it was all that the bounds allowed until then.
func NewTrial(now Time, o Order, ago time.Duration, b Bounds, resumed bool) *Trial {
	return &Trial{
		Order: o, bounds: b, orderedAt: now - ago, startedAt: now, fromOrder: !resumed, machine: trialChart.Start(),
		samples: newSamples(), tries: map[string]int{}, turn: turn{count: map[string]int{}},
	}
}

// Phase returns the phase of the trial.
func (t *Trial) Phase() Phase { return t.machine.State() }

// StartMoving moves the service at once, since it runs the ordered version already.
func (t *Trial) StartMoving() { t.fire(evMove, "the service runs it already") }

// Supersede ends the trial because of a newer order.
func (t *Trial) Supersede() { t.fire(evReplaced, "replaced by a newer order") }

// WithinBounds reports whether the bounds allow one more request for the new version, regardless of
// turns.
func (t *Trial) WithinBounds() bool { return t.Phase() == Trying && t.credit() >= 1 }

// State returns the state shown to operators.
func (t *Trial) State() State {
	switch t.Phase() {
	case Moved:
		return Completed
	case PhaseRolledBack:
		return RolledBack
	}
	return Running
}

// Why returns the reason of the last transition, with figures; empty before the first one.
func (t *Trial) Why() string { return t.why }

// Deadline returns the time by which the order asks for the service to be moved.
func (t *Trial) Deadline() Time { return t.orderedAt + t.Order.Timeout }

func (t *Trial) fire(e chart.Event, why string) bool {
	before := t.machine.State()
	if t.machine.Fire(e) != nil || t.machine.State() == before {
		return false // the chart has no such transition from this phase
	}
	t.why = why
	return true
}

// CountRequest counts a request that was sent to a server of the service.
func (t *Trial) CountRequest(toNew bool) {
	t.reached++
	if toNew {
		t.tried++
	}
}

// UncountRequest reverts CountRequest for a request that was not sent after all.
func (t *Trial) UncountRequest(toNew bool) {
	t.reached--
	if toNew {
		t.tried--
	}
}

// allowed returns how many requests the new version may have got by now if it may use the given
// share of the bounds.
func (t *Trial) allowed(share float64) float64 {
	slack := t.bounds.Slack
	if !t.fromOrder {
		slack = 0 // the previous scheduler may have used it up
	}
	return share * (t.bounds.Share*t.reached + slack)
}

// credit returns how many more requests may be sent to the new version now.
func (t *Trial) credit() float64 { return t.allowed(trialShare) - t.tried }

// Candidate is a server of the new version with free slots.
type Candidate struct {
	Server string
	Slots  int
}

// NextServer returns which of the servers with free slots gets the next request, empty for none.
// Servers take turns, each with a burst that fills its slots.
func (t *Trial) NextServer(now Time, free []Candidate) string {
	if t.Phase() != Trying || t.credit() < 1 {
		return ""
	}
	if t.turn.remaining > 0 && now < t.turn.until {
		for _, c := range free {
			if c.Server == t.turn.server {
				return c.Server
			}
		}
		return ""
	}
	var next *Candidate
	for i, c := range free {
		if next == nil || t.turn.count[c.Server] < t.turn.count[next.Server] {
			next = &free[i]
		}
	}
	if next == nil {
		return ""
	}
	burst := max(1, int(burstPerSlot*float64(next.Slots)))
	if len(t.turn.count) == 0 {
		burst = 1 // of a bad version, the first request may already be too many
	} else if t.credit() < float64(burst) {
		return ""
	}
	t.turn.server, t.turn.remaining, t.turn.until = next.Server, burst, now+maxTurnTime
	t.turn.count[next.Server]++
	return next.Server
}

// RouteAllowed reports whether a request of a route may be sent to the new version now, so that no
// route gets far ahead of the others.
//
// Routes with rare requests do not hold back the others. Otherwise the others would get no tries,
// and the rollout would neither move nor be rolled back.
func (t *Trial) RouteAllowed(route string) bool {
	minTries := -1
	for r, b := range t.samples.baselines {
		if b.answers < minRouteShare*t.samples.baselineAnswers {
			continue
		}
		if n := t.tries[r]; minTries < 0 || n < minTries {
			minTries = n
		}
	}
	return minTries < 0 || t.tries[route] <= minTries+minTries/2+maxRouteLead
}

// CountTry counts a request of a route that was sent to the server whose turn it is.
func (t *Trial) CountTry(route string) {
	t.tries[route]++
	t.turn.remaining--
}

// AddAnswer adds an answer and reports whether the version is rolled back because of it. servers is
// the number of servers of the new version.
func (t *Trial) AddAnswer(now Time, s Sample, servers int) (decided bool) {
	if bad := t.samples.add(s); !bad || t.State().Over() {
		return false
	}
	worst := t.samples.worst(servers)
	if worst.pValue >= t.significance(now) {
		return false
	}
	return t.fire(evBad, worst.String())
}

// significance returns the p-value below which the version is rolled back.
func (t *Trial) significance(now Time) float64 {
	if now >= t.Deadline() {
		return lateSignificance
	}
	return significance
}

// Evaluate re-evaluates the trial as time passes, and reports whether the move to the version
// starts or the version is rolled back.
func (t *Trial) Evaluate(now Time, servers int) (decided bool) {
	if t.Phase() != Trying || !t.mayMove(now) || t.samples.n < minAnswersToMove {
		return false
	}
	worst := t.samples.worst(servers)
	if worst.pValue < t.significance(now) {
		return t.fire(evBad, worst.String())
	}
	if worst.pValue < minMovePValue {
		return now >= t.Deadline()+t.Order.Timeout/2 && t.fire(evBad, "still unsure; "+worst.String())
	}
	return t.fire(evMove, fmt.Sprintf("%d of %d answers bad, %.0f of %.0f requests tried", t.samples.bad, t.samples.n, t.tried, t.reached))
}

// mayMove reports whether the bounds hold if the service moves now and the new version turns out
// to be bad after all, counting all requests until the deadline.
func (t *Trial) mayMove(now Time) bool {
	remaining := t.Deadline() - now
	if remaining <= 0 {
		return true
	}
	elapsed := (now - t.startedAt).Seconds()
	if elapsed <= 0 {
		return false
	}
	expected := t.reached / elapsed * remaining.Seconds()
	slack := t.bounds.Slack
	if !t.fromOrder {
		slack = 0
	}
	upper := expected + 2*math.Sqrt(expected) // two standard deviations of random arrivals
	return t.tried+upper <= trialAndMoveShare*(t.bounds.Share*(t.reached+expected)+slack)
}

// OutlastsMove reports whether a run on an old server that is expected to take the given time would
// still be running when the service has been moved.
func (t *Trial) OutlastsMove(now Time, takes time.Duration) bool {
	return t.Phase() == Trying && now+takes > t.Deadline()-storeWriteMargin
}

// OldServersIdle records that no old server has a run that would be cut off when the server stops,
// and reports whether that completes the rollout.
func (t *Trial) OldServersIdle() bool {
	return t.Phase() == Moving && t.fire(evEmpty, t.why)
}

// Status returns the current figures of the trial.
func (t *Trial) Status() Status {
	r := Status{
		Order: t.Order, Phase: t.Phase(), Why: t.why, Reached: t.reached, Tried: t.tried,
		Answers: t.samples.n, Bad: t.samples.bad, Routes: map[string]RouteStatus{},
	}
	for route, b := range t.samples.baselines {
		r.Routes[route] = RouteStatus{Tried: t.tries[route], BaselineFailureShare: b.bad[failing].value}
	}
	t.samples.newest(func(s judgedAnswer) bool {
		status := r.Routes[s.route]
		status.Answers++
		if s.isBad() {
			status.Bad++
		}
		r.Routes[s.route] = status
		return true
	})
	return r
}

// Status holds the figures of a trial for operators.
type Status struct {
	Order   Order
	Phase   Phase
	Why     string
	Reached float64 // requests that reached the service
	Tried   float64 // those of them that were sent to the new version
	Answers int     // answers of the new version
	Bad     int     // bad ones among them
	Routes  map[string]RouteStatus
}

// RouteStatus holds the figures of the new version on one route.
type RouteStatus struct {
	Tried                int
	Answers              int     // newest answers, as far as they are stored
	Bad                  int     // bad ones among them
	BaselineFailureShare float64 // share of the old version's answers that are failures
}

// Command is an operator's command for a trial.
type Command string

// The operators' commands.
const (
	CommandPause    Command = "pause"
	CommandResume   Command = "resume"
	CommandTakeBack Command = "take-back"
)

// Apply carries out an operator's command and reports whether the phase changed.
func (t *Trial) Apply(command Command) bool {
	const why = "by an operator's word"
	switch command {
	case CommandPause:
		return t.fire(evPause, why)
	case CommandResume:
		return t.fire(evResume, why)
	case CommandTakeBack:
		return t.fire(evBad, why)
	}
	return false
}
