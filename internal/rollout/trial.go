package rollout

import (
	"fmt"
	"math"
	"time"

	"github.com/gentianflow/gentianflow/charts"
	"github.com/gentianflow/gentianflow/internal/chart"
)

// Phase is a state of the chart of a roll-out.
type Phase = chart.State

// The phases of a trial; the chart file tells what each is.
const (
	Trying     Phase = "trying"
	Paused     Phase = "paused"
	Moving     Phase = "moving"
	Moved      Phase = "moved"
	TakenBack  Phase = "taken_back"
	Superseded Phase = "superseded"
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

var lifeOfTrial = charts.MustLoad().Rollout

const (
	// tryShare is the part of the bounds that a version is tried with. The rest is for
	// the time between the move and the deadline, in which it gets everything.
	tryShare = 0.5
	// moveShare is the part of the bounds that both together may reach, should the version
	// turn out to be bad after the move.
	moveShare = 0.9
	// pulse is how many requests a new server is given at once, in times of its slots: a
	// version that is bad under load only would never show it under a twentieth of the
	// traffic, spread evenly.
	pulse = 3
	// pulseFor is how long a server has the turn at most.
	pulseFor = 2 * time.Second
	// proof is how many answers must have come before the service is moved.
	proof = 40
	// routeLead is how many more tries a route may have than another one, beyond half as
	// many again: a version may be bad on a route that few requests take.
	routeLead = 6
	// routeShare is the part of the answers from which a route is waited for.
	routeShare = 0.05
	// settle is left between the end of the old servers' work and the deadline, for the
	// word to reach the store.
	settle = 400 * time.Millisecond
)

// Trial is one roll-out as the scheduler of all carries it. It is not safe for concurrent
// use.
type Trial struct {
	Order   Order
	bounds  Bounds
	begun   Time // of the order
	life    chart.Machine
	samples samples
	reached float64 // requests that reached the service while this scheduler carried the trial
	tried   float64 // of them, those sent to the new version
	since   Time    // when this scheduler took it up
	fresh   bool    // it carries the trial from the order on
	turn    turn
	tries   map[string]int // by route
	why     string
}

// turn is the server that is tried now.
type turn struct {
	server string
	left   int // requests that it gets yet
	until  Time
	had    map[string]int // turns by server
}

// NewTrial takes up an order that was given some time ago. A scheduler that takes it up from
// a lost one passes resumed: what was tried before is not known, and counts as all that was
// allowed until then.
func NewTrial(now Time, o Order, ago time.Duration, b Bounds, resumed bool) *Trial {
	return &Trial{
		Order: o, bounds: b, begun: now - ago, since: now, fresh: !resumed, life: lifeOfTrial.Start(),
		samples: newSamples(), tries: map[string]int{}, turn: turn{had: map[string]int{}},
	}
}

// Phase is where the trial stands.
func (t *Trial) Phase() Phase { return t.life.State() }

// Skip moves the service at once: it runs the version that is ordered.
func (t *Trial) Skip() { t.fire(evMove, "the service runs it already") }

// Replace ends the trial: a newer order has come.
func (t *Trial) Replace() { t.fire(evReplaced, "replaced by a newer order") }

// MayTake reports whether one more request may be tried, whosever turn it is.
func (t *Trial) MayTake() bool { return t.Phase() == Trying && t.credit() >= 1 }

// State is what operators are told.
func (t *Trial) State() State {
	switch t.Phase() {
	case Moved:
		return Completed
	case TakenBack:
		return RolledBack
	}
	return Running
}

// Why tells what decided, with the figures; empty while nothing is.
func (t *Trial) Why() string { return t.why }

// Deadline is when the order wants the service moved.
func (t *Trial) Deadline() Time { return t.begun + t.Order.Lasts }

func (t *Trial) fire(e chart.Event, why string) bool {
	before := t.life.State()
	if t.life.Fire(e) != nil || t.life.State() == before {
		return false // the chart knows no such step from here
	}
	t.why = why
	return true
}

// Reached notes that a request was sent to a server of the service.
func (t *Trial) Reached(toNew bool) {
	t.reached++
	if toNew {
		t.tried++
	}
}

// Unreached takes back what Reached noted: the request was not sent.
func (t *Trial) Unreached(toNew bool) {
	t.reached--
	if toNew {
		t.tried--
	}
}

// allowed is how many requests the new version may have had until now, as a part of the
// bounds.
func (t *Trial) allowed(part float64) float64 {
	slack := t.bounds.Slack
	if !t.fresh {
		slack = 0 // the one before has used it up
	}
	return part * (t.bounds.Share*t.reached + slack)
}

// credit is how many more requests may be tried now.
func (t *Trial) credit() float64 { return t.allowed(tryShare) - t.tried }

// Candidate is a server of the new version that has room.
type Candidate struct {
	Server string
	Slots  int
}

// Turn tells which of the servers with room is to be tried, empty for none. Servers are
// tried by turns, each with a burst that fills its slots.
func (t *Trial) Turn(now Time, free []Candidate) string {
	if t.Phase() != Trying || t.credit() < 1 {
		return ""
	}
	if t.turn.left > 0 && now < t.turn.until {
		for _, c := range free {
			if c.Server == t.turn.server {
				return c.Server
			}
		}
		return ""
	}
	var next *Candidate
	for i, c := range free {
		if next == nil || t.turn.had[c.Server] < t.turn.had[next.Server] {
			next = &free[i]
		}
	}
	if next == nil {
		return ""
	}
	want := max(1, int(pulse*float64(next.Slots)))
	if len(t.turn.had) == 0 {
		want = 1 // the first request may be one too many
	} else if t.credit() < float64(want) {
		return ""
	}
	t.turn.server, t.turn.left, t.turn.until = next.Server, want, now+pulseFor
	t.turn.had[next.Server]++
	return next.Server
}

// Wants reports whether a request of a route may be tried now: no route runs far ahead of
// the others.
//
// Guard: some routes get a request now and then. Were they waited for, the others would have
// no tries, and a roll-out would neither be moved nor taken back.
func (t *Trial) Wants(route string) bool {
	least := -1
	for r, u := range t.samples.usual {
		if u.answers < routeShare*t.samples.usualAnswers {
			continue
		}
		if n := t.tries[r]; least < 0 || n < least {
			least = n
		}
	}
	return least < 0 || t.tries[route] <= least+least/2+routeLead
}

// Tried notes that a request of a route was given to the server whose turn it is.
func (t *Trial) Tried(route string) {
	t.tries[route]++
	t.turn.left--
}

// Learn takes an answer and reports whether it decided. servers is how many servers of the
// new version there are.
func (t *Trial) Learn(now Time, s Sample, servers int) (decided bool) {
	if bad := t.samples.add(s); !bad || t.State().Over() {
		return false
	}
	worst := t.samples.worst(servers)
	if worst.chance >= t.doubt(now) {
		return false
	}
	return t.fire(evBad, worst.String())
}

// doubt is the chance at which the version is taken back.
func (t *Trial) doubt(now Time) float64 {
	if now >= t.Deadline() {
		return doubtLate
	}
	return doubt
}

// Pass lets time pass and reports whether the service begins to be moved, or the version is
// taken back.
func (t *Trial) Pass(now Time, servers int) (decided bool) {
	if t.Phase() != Trying || !t.mayMove(now) || t.samples.n < proof {
		return false
	}
	worst := t.samples.worst(servers)
	if worst.chance < t.doubt(now) {
		return t.fire(evBad, worst.String())
	}
	if worst.chance < unsure {
		return now >= t.Deadline()+t.Order.Lasts/2 && t.fire(evBad, "still unsure; "+worst.String())
	}
	return t.fire(evMove, fmt.Sprintf("%d of %d answers bad, %.0f of %.0f requests tried", t.samples.bad, t.samples.n, t.tried, t.reached))
}

// mayMove reports whether what the new version would get from now to the deadline keeps
// within the bounds, should it turn out to be bad after all.
func (t *Trial) mayMove(now Time) bool {
	left := t.Deadline() - now
	if left <= 0 {
		return true
	}
	carried := (now - t.since).Seconds()
	if carried <= 0 {
		return false
	}
	coming := t.reached / carried * left.Seconds()
	slack := t.bounds.Slack
	if !t.fresh {
		slack = 0
	}
	most := coming + 2*math.Sqrt(coming) // as requests come by chance
	return t.tried+most <= moveShare*(t.bounds.Share*(t.reached+coming)+slack)
}

// Ending reports whether a run on an old server that is expected to take so long would
// still last when the service has been moved.
func (t *Trial) Ending(now Time, takes time.Duration) bool {
	return t.Phase() == Trying && now+takes > t.Deadline()-settle
}

// Empty tells that no old server runs anything that would be lost with it, and reports
// whether that completes the roll-out.
func (t *Trial) Empty() bool {
	return t.Phase() == Moving && t.fire(evEmpty, t.why)
}

// Standing tells how the trial stands.
func (t *Trial) Standing() Standing {
	r := Standing{
		Order: t.Order, Phase: t.Phase(), Why: t.why, Reached: t.reached, Tried: t.tried,
		Answers: t.samples.n, Bad: t.samples.bad, Routes: map[string]RouteStanding{},
	}
	for route, u := range t.samples.usual {
		r.Routes[route] = RouteStanding{Tried: t.tries[route], Usual: u.bad[failing].value}
	}
	t.samples.newest(func(s seen) bool {
		one := r.Routes[s.route]
		one.Answers++
		if s.isBad() {
			one.Bad++
		}
		r.Routes[s.route] = one
		return true
	})
	return r
}

// Standing is a trial's standing, for operators.
type Standing struct {
	Order   Order
	Phase   Phase
	Why     string
	Reached float64 // requests that reached the service
	Tried   float64 // of them, those given to the new version
	Answers int     // of the new version
	Bad     int     // of them
	Routes  map[string]RouteStanding
}

// RouteStanding is what the new version answered on one route.
type RouteStanding struct {
	Tried   int
	Answers int     // newest, as far as they are kept
	Bad     int     // of them
	Usual   float64 // share of the old version's answers that are failures
}

// Wish is what an operator wants of a trial.
type Wish string

// The wishes.
const (
	WishPause    Wish = "pause"
	WishResume   Wish = "resume"
	WishTakeBack Wish = "take-back"
)

// Obey does what an operator wants, and reports whether that changed anything.
func (t *Trial) Obey(w Wish) bool {
	const why = "by an operator's word"
	switch w {
	case WishPause:
		return t.fire(evPause, why)
	case WishResume:
		return t.fire(evResume, why)
	case WishTakeBack:
		return t.fire(evBad, why)
	}
	return false
}
