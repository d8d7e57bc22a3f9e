package history

import (
	"fmt"
	"sort"
	"time"

	"github.com/gentianflow/gentianflow/internal/failure"
)

// Promise names a guarantee of the system.
type Promise string

// The guarantees that are checked.
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

// The time limits of the guarantees.
const (
	LeavingGrace   = 3 * time.Second // until a leaving server gets no new requests
	MaxConfigDelay = 6 * time.Second // until an accepted configuration is in force everywhere
	// messageDelay is the time that messages between caller, entry host and home, the
	// host that runs the scheduler, may take. A request counts as waiting when another
	// one was shed only if it was sent this much before and started this much after.
	messageDelay = 150 * time.Millisecond
)

// Violation is one broken guarantee with the events that prove it.
type Violation struct {
	Promise Promise
	Text    string
	Events  []Event
}

// String formats the violation with its events.
func (v Violation) String() string {
	s := fmt.Sprintf("%s: %s", v.Promise, v.Text)
	for _, e := range v.Events {
		s += fmt.Sprintf("\n    %d %s by %s id=%s server=%s tier=%d outcome=%q reason=%s version=%d fence=%d bytes=%d sum=%s",
			e.At, e.Kind, e.Source, e.ID, e.Server, e.Tier, e.Outcome, e.Reason, e.Version, e.Fence, e.Bytes, e.Sum)
	}
	return s
}

// Check returns all violations in a history, in a fixed order.
func Check(events []Event) []Violation {
	all := append([]Event(nil), events...)
	sort.SliceStable(all, func(i, j int) bool { return all[i].At < all[j].At })
	x := buildIndex(all)
	var out []Violation
	for _, check := range []func(*indexed) []Violation{
		checkStarts, checkOutcomes, checkAnswers, checkNotRun, checkTiers,
		checkLeaving, checkDrains, checkVersions, checkFences,
	} {
		out = append(out, check(x)...)
	}
	return out
}

// indexed is a history sorted by time and indexed by request ID and kind.
type indexed struct {
	all    []Event
	ids    []string
	byID   map[string][]Event
	byKind map[Kind][]Event
}

func buildIndex(all []Event) *indexed {
	x := &indexed{all: all, byID: map[string][]Event{}, byKind: map[Kind][]Event{}}
	ids := idsByKey(all)
	for _, e := range all {
		if e.ID == "" && e.Key != "" {
			e.ID = ids[e.Key] // the ID of a request with an idempotency key is known only from its outcome
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

func idsByKey(all []Event) map[string]string {
	ids := map[string]string{}
	for _, e := range all {
		if e.Key != "" && e.ID != "" {
			ids[e.Key] = e.ID
		}
	}
	return ids
}

func (x *indexed) events(id string, k Kind) []Event {
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
		if starts := x.events(id, Started); len(starts) > 1 {
			out = append(out, Violation{AtMostOnce, fmt.Sprintf("%s started %d times", id, len(starts)), starts})
		}
	}
	return out
}

func checkOutcomes(x *indexed) []Violation {
	var out []Violation
	for _, id := range x.ids {
		asked, told := x.events(id, Asked), x.events(id, Told)
		if len(asked) > 0 && len(told) == 0 {
			out = append(out, Violation{OneFinalWord, id + " was sent and its caller received no outcome", asked})
		}
		if answered := withOutcome(told, failure.Answered); len(answered) > 0 && len(answered) < len(told) && len(asked) == 1 {
			out = append(out, Violation{OneFinalWord, id + " has an answer and another outcome", told})
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
		made := x.events(id, Made)
		for _, t := range withOutcome(x.events(id, Told), failure.Answered) {
			if !matchesAny(t, made) {
				out = append(out, Violation{WholeAnswer, id + " got an answer that no server made for it", append([]Event{t}, made...)})
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

// checkNotRun allows a start after the outcome "not run" only if the caller sent
// another attempt in between.
func checkNotRun(x *indexed) []Violation {
	var out []Violation
	for _, id := range x.ids {
		for _, t := range withOutcome(x.events(id, Told), failure.NotRun) {
			for _, s := range x.events(id, Started) {
				if s.At > t.At && askedBetween(x.events(id, Asked), t.At, s.At) {
					continue
				}
				out = append(out, Violation{NotRunIsTrue, id + " has the outcome not run, but was started", []Event{t, s}})
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

// checkTiers looks for requests that were shed while a request of a lower tier of the
// same service was waiting. A lower tier has a higher number. A request was waiting if
// it started later.
func checkTiers(x *indexed) []Violation {
	var out []Violation
	for _, id := range x.ids {
		for _, t := range withOutcome(x.events(id, Told), failure.NotRun) {
			if t.Reason != failure.Overload && t.Reason != failure.HostFull && t.Reason != failure.Deadline {
				continue
			}
			if v, ok := lowerTierWaiting(x, t); ok {
				out = append(out, v)
			}
		}
	}
	return out
}

func lowerTierWaiting(x *indexed, shed Event) (Violation, bool) {
	for _, id := range x.ids {
		asked, started := x.events(id, Asked), x.events(id, Started)
		if len(asked) == 0 || len(started) == 0 {
			continue
		}
		a, s := asked[len(asked)-1], started[0]
		if a.Service != shed.Service || a.Tier <= shed.Tier {
			continue
		}
		if a.At < shed.At-int64(messageDelay) && s.At > shed.At+int64(messageDelay) {
			return Violation{LowerTierFirst, fmt.Sprintf("a request of tier %d was shed while one of tier %d was waiting", shed.Tier, a.Tier), []Event{a, shed, s}}, true
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
			out = append(out, Violation{LeavingServer, s.Server + " started a request after it was reported as leaving", []Event{l, s}})
		}
	}
	return out
}

// checkDrains applies to histories in which hosts drained and none was killed. In
// these no request may have an unknown outcome.
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
	out := findDecreases(x.byKind[InForce], ConfigForward, " went back to an older version", version)
	for _, e := range x.byKind[InForce] {
		for _, a := range x.byKind[Accepted] {
			if e.At > a.At+int64(MaxConfigDelay) && e.Version < a.Version && !x.reportedIsolated(e) {
				out = append(out, Violation{ConfigInTime, e.Source + " still has an older version", []Event{a, e}})
			}
		}
	}
	return out
}

// reportedIsolated reports whether the source stated that it was isolated.
func (x *indexed) reportedIsolated(e Event) bool { return e.Reason == failure.Isolated }

func checkFences(x *indexed) []Violation {
	fence := func(e Event) (string, uint64) { return e.Server, e.Fence }
	return findDecreases(x.byKind[Ordered], FenceForward, " carried out an old order", fence)
}

// findDecreases returns a violation for each event whose number is lower than the highest
// earlier one of the same subject.
func findDecreases(events []Event, p Promise, what string, number func(Event) (subject string, n uint64)) []Violation {
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

// Prefill sums up the prompt tokens that servers computed.
type Prefill struct {
	Prompt      int // all prompt tokens
	Computed    int // tokens not found in a cache
	Repeated    int // tokens computed although another server of the service had them cached
	Undelivered int // tokens computed for answers that no caller received
}

// Wasted returns the share of the computed prompt tokens that were repeated or undelivered.
func (p Prefill) Wasted() float64 {
	if p.Computed == 0 {
		return 0
	}
	return float64(p.Repeated+p.Undelivered) / float64(p.Computed)
}

// SumPrefill sums up the prefill of a history.
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
			p.Undelivered += e.Computed - e.Repeated
		}
	}
	return p
}
