package history

import (
	"fmt"
	"sort"
	"time"

	"github.com/gentianflow/gentianflow/internal/failure"
)

// Promise names what a violation breaks.
type Promise string

// The promises of the brief.
const (
	AtMostOnce     Promise = "dispatched at most once"
	OneFinalWord   Promise = "one final word"
	WholeAnswer    Promise = "whole answer to its own caller"
	NotRunIsTrue   Promise = "not run is true"
	LowerTierFirst Promise = "lower tier shed first"
	LeavingServer  Promise = "leaving server gets nothing new"
	CleanDrain     Promise = "graceful shutdown cuts nothing off"
	ConfigForward  Promise = "accepted configuration never reverts"
	ConfigInTime   Promise = "accepted configuration in force everywhere"
	FenceForward   Promise = "no order of an old lease holder takes effect"
)

// The times that the promises allow.
const (
	LeavingGrace = 3 * time.Second
	ConfigLimit  = 6 * time.Second
	// waitSlack is the time that messages between caller, host and home may
	// take: a request counts as waiting at a shed only when it was sent that
	// much earlier and started that much later.
	waitSlack = 150 * time.Millisecond
)

// Violation is one broken promise with the events that show it.
type Violation struct {
	Promise Promise
	Text    string
	Events  []Event
}

// String prints the violation with its events.
func (v Violation) String() string {
	s := fmt.Sprintf("%s: %s", v.Promise, v.Text)
	for _, e := range v.Events {
		s += fmt.Sprintf("\n    %d %s by %s id=%s server=%s tier=%d outcome=%q reason=%s version=%d fence=%d bytes=%d sum=%s",
			e.At, e.Kind, e.Source, e.ID, e.Server, e.Tier, e.Outcome, e.Reason, e.Version, e.Fence, e.Bytes, e.Sum)
	}
	return s
}

// Check finds every violation in a history, in a fixed order.
func Check(events []Event) []Violation {
	all := append([]Event(nil), events...)
	sort.SliceStable(all, func(i, j int) bool { return all[i].At < all[j].At })
	x := index(all)
	var out []Violation
	for _, check := range []func(*indexed) []Violation{
		checkStarts, checkFinalWords, checkAnswers, checkNotRun, checkTiers,
		checkLeaving, checkDrains, checkVersions, checkFences,
	} {
		out = append(out, check(x)...)
	}
	return out
}

// indexed is a history by id, in order of time.
type indexed struct {
	all    []Event
	ids    []string
	byID   map[string][]Event
	byKind map[Kind][]Event
}

func index(all []Event) *indexed {
	x := &indexed{all: all, byID: map[string][]Event{}, byKind: map[Kind][]Event{}}
	ids := idsOfKeys(all)
	for _, e := range all {
		if e.ID == "" && e.Key != "" {
			e.ID = ids[e.Key] // a keyed attempt learns its id with its word
		}
		x.byKind[e.Kind] = append(x.byKind[e.Kind], e)
		if e.ID == "" {
			continue
		}
		if _, ok := x.byID[e.ID]; !ok {
			x.ids = append(x.ids, e.ID)
		}
		x.byID[e.ID] = append(x.byID[e.ID], e)
	}
	return x
}

func idsOfKeys(all []Event) map[string]string {
	ids := map[string]string{}
	for _, e := range all {
		if e.Key != "" && e.ID != "" {
			ids[e.Key] = e.ID
		}
	}
	return ids
}

func (x *indexed) of(id string, k Kind) []Event {
	var out []Event
	for _, e := range x.byID[id] {
		if e.Kind == k {
			out = append(out, e)
		}
	}
	return out
}

func checkStarts(x *indexed) []Violation {
	var out []Violation
	for _, id := range x.ids {
		if starts := x.of(id, Started); len(starts) > 1 {
			out = append(out, Violation{AtMostOnce, fmt.Sprintf("%s started %d times", id, len(starts)), starts})
		}
	}
	return out
}

func checkFinalWords(x *indexed) []Violation {
	var out []Violation
	for _, id := range x.ids {
		asked, told := x.of(id, Asked), x.of(id, Told)
		if len(asked) > 0 && len(told) == 0 {
			out = append(out, Violation{OneFinalWord, id + " was asked and its caller told nothing", asked})
		}
		if answered := withOutcome(told, failure.Answered); len(answered) > 0 && len(answered) < len(told) && len(asked) == 1 {
			out = append(out, Violation{OneFinalWord, id + " was told two words", told})
		}
	}
	return out
}

func withOutcome(events []Event, o failure.Outcome) []Event {
	var out []Event
	for _, e := range events {
		if e.Outcome == o {
			out = append(out, e)
		}
	}
	return out
}

func checkAnswers(x *indexed) []Violation {
	var out []Violation
	for _, id := range x.ids {
		made := x.of(id, Made)
		for _, t := range withOutcome(x.of(id, Told), failure.Answered) {
			if !matchesAny(t, made) {
				out = append(out, Violation{WholeAnswer, id + " was answered with what no server made for it", append([]Event{t}, made...)})
			}
		}
	}
	return out
}

func matchesAny(t Event, made []Event) bool {
	for _, m := range made {
		if m.Bytes == t.Bytes && m.Sum == t.Sum {
			return true
		}
	}
	return false
}

// checkNotRun allows a start after the word only when the caller sent a
// newer attempt in between.
func checkNotRun(x *indexed) []Violation {
	var out []Violation
	for _, id := range x.ids {
		for _, t := range withOutcome(x.of(id, Told), failure.NotRun) {
			for _, s := range x.of(id, Started) {
				if s.At > t.At && askedBetween(x.of(id, Asked), t.At, s.At) {
					continue
				}
				out = append(out, Violation{NotRunIsTrue, id + " was told not run and started", []Event{t, s}})
			}
		}
	}
	return out
}

func askedBetween(asked []Event, from, to int64) bool {
	for _, a := range asked {
		if a.At > from && a.At < to {
			return true
		}
	}
	return false
}

// checkTiers looks for a request that was shed although one of a lower tier
// of the same service was waiting, which shows by its start later.
func checkTiers(x *indexed) []Violation {
	var out []Violation
	for _, id := range x.ids {
		for _, t := range withOutcome(x.of(id, Told), failure.NotRun) {
			if t.Reason != failure.Overload && t.Reason != failure.HostFull && t.Reason != failure.Deadline {
				continue
			}
			if v, ok := waitedBelow(x, t); ok {
				out = append(out, v)
			}
		}
	}
	return out
}

func waitedBelow(x *indexed, shed Event) (Violation, bool) {
	for _, id := range x.ids {
		asked, started := x.of(id, Asked), x.of(id, Started)
		if len(asked) == 0 || len(started) == 0 {
			continue
		}
		a, s := asked[len(asked)-1], started[0]
		if a.Service != shed.Service || a.Tier <= shed.Tier {
			continue
		}
		if a.At < shed.At-int64(waitSlack) && s.At > shed.At+int64(waitSlack) {
			return Violation{LowerTierFirst, fmt.Sprintf("tier %d was shed while tier %d waited and ran later", shed.Tier, a.Tier), []Event{a, shed, s}}, true
		}
	}
	return Violation{}, false
}

func checkLeaving(x *indexed) []Violation {
	first := map[string]Event{}
	for _, e := range x.byKind[Leaves] {
		if _, ok := first[e.Server]; !ok {
			first[e.Server] = e
		}
	}
	var out []Violation
	for _, s := range x.byKind[Started] {
		if l, ok := first[s.Server]; ok && s.At > l.At+int64(LeavingGrace) {
			out = append(out, Violation{LeavingServer, s.Server + " got new work after it was said to leave", []Event{l, s}})
		}
	}
	return out
}

// checkDrains applies to histories in which hosts only drained and none was
// killed: then nobody may be told unknown.
func checkDrains(x *indexed) []Violation {
	if len(x.byKind[Draining]) == 0 || len(x.byKind[Killed]) > 0 {
		return nil
	}
	var out []Violation
	for _, t := range withOutcome(x.byKind[Told], failure.Unknown) {
		out = append(out, Violation{CleanDrain, t.ID + " was cut off by a drain", []Event{x.byKind[Draining][0], t}})
	}
	return out
}

func checkVersions(x *indexed) []Violation {
	version := func(e Event) (string, uint64) { return e.Source, e.Version }
	out := goesBack(x.byKind[InForce], ConfigForward, " went back", version)
	for _, e := range x.byKind[InForce] {
		for _, a := range x.byKind[Accepted] {
			if e.At > a.At+int64(ConfigLimit) && e.Version < a.Version && !x.unreachable(e) {
				out = append(out, Violation{ConfigInTime, e.Source + " is behind", []Event{a, e}})
			}
		}
	}
	return out
}

// unreachable reports whether the source had said that it was cut off.
func (x *indexed) unreachable(e Event) bool { return e.Reason == failure.Isolated }

func checkFences(x *indexed) []Violation {
	fence := func(e Event) (string, uint64) { return e.Server, e.Fence }
	return goesBack(x.byKind[Ordered], FenceForward, " took an old order", fence)
}

// goesBack finds the events whose number is below an earlier one's of the
// same subject.
func goesBack(events []Event, p Promise, what string, number func(Event) (subject string, n uint64)) []Violation {
	var out []Violation
	newest := map[string]Event{}
	for _, e := range events {
		subject, n := number(e)
		before, seen := newest[subject]
		if _, highest := number(before); seen && n < highest {
			out = append(out, Violation{p, subject + what, []Event{before, e}})
			continue
		}
		newest[subject] = e
	}
	return out
}

// Prefill sums the prompt tokens that servers computed.
type Prefill struct {
	Prompt   int // tokens of all prompts
	Computed int // not taken from a cache
	Repeated int // computed though another server of the service held them
	Unread   int // computed for answers that nobody got
}

// Wasted is the share of computed prompt tokens that was of no use.
func (p Prefill) Wasted() float64 {
	if p.Computed == 0 {
		return 0
	}
	return float64(p.Repeated+p.Unread) / float64(p.Computed)
}

// SumPrefill adds up the prefill of a history.
func SumPrefill(events []Event) Prefill {
	answered := map[string]bool{}
	for _, e := range events {
		if e.Kind == Told && e.Outcome == failure.Answered {
			answered[e.ID] = true
		}
	}
	var p Prefill
	for _, e := range events {
		if e.Kind != Made {
			continue
		}
		p.Prompt += e.Prompt
		p.Computed += e.Computed
		p.Repeated += e.Repeated
		if !answered[e.ID] {
			p.Unread += e.Computed - e.Repeated
		}
	}
	return p
}
