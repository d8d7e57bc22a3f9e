package explain

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// Loss tells what became of a request, by what made it so.
type Loss string

// The ends of requests. Late ones are told by what took most of their time.
const (
	InTime     Loss = "in time"
	LateWait   Loss = "late: waited"
	LateFirst  Loss = "late: first event"
	LatePause  Loss = "late: pause"
	NoRoom     Loss = "refused: no room"
	OverQuota  Loss = "refused: quota"
	NotAllowed Loss = "not allowed"
	OtherEnd   Loss = "refused: other"
	LeftIt     Loss = "caller left"
	LostIt     Loss = "lost at its server"
)

// Losses lists the ends in the order of their columns.
var Losses = []Loss{InTime, LateWait, LateFirst, LatePause, NoRoom, OverQuota, OtherEnd, LostIt, LeftIt, NotAllowed}

// Tally counts ends of requests.
type Tally struct {
	Of    string // a route, or a server
	Total int
	Ends  map[Loss]int
}

// TallyBy counts how requests ended, by what of names for each: ByRoute, ByServer.
// Requests for which that is not known are left out.
func TallyBy(lines []Line, of func(Line) string) []Tally {
	found := map[string]*Tally{}
	for _, l := range lines {
		end, ok := lossOf(l)
		name := of(l)
		if !ok || name == "" {
			continue
		}
		t := found[name]
		if t == nil {
			t = &Tally{Of: name, Ends: map[Loss]int{}}
			found[name] = t
		}
		t.Total++
		t.Ends[end]++
	}
	out := make([]Tally, 0, len(found))
	for _, t := range found {
		out = append(out, *t)
	}
	slices.SortFunc(out, func(a, b Tally) int {
		return cmp.Or(cmp.Compare(b.Total, a.Total), cmp.Compare(a.Of, b.Of))
	})
	return out
}

// ByRoute names the route of a request.
func ByRoute(l Line) string { return word(l.Detail, "route") }

// ByServer names the server that a request was sent to last.
func ByServer(l Line) string { return l.Server }

// lossOf reads the line that ends a request; ok is false for any other line.
func lossOf(l Line) (end Loss, ok bool) {
	switch l.Name {
	case "request_answered":
		return lateness(l.Detail), true
	case "request_left":
		return LeftIt, true
	case "request_cut":
		return LostIt, true
	case "request_refused":
		return refusal(l.Detail), true
	}
	return "", false
}

// lateness tells what made an answer late, or that it was in time.
func lateness(detail string) Loss {
	waited, first := field(detail, "waited"), field(detail, "first")
	aim, pause, most := field(detail, "aim"), field(detail, "pause"), field(detail, "most")
	switch {
	case aim > 0 && waited+first > aim && waited > first:
		return LateWait
	case aim > 0 && waited+first > aim:
		return LateFirst
	case most > 0 && pause > most:
		return LatePause
	}
	return InTime
}

// refusals are the reasons of refusals by the words of their lines.
var refusals = []struct {
	word string
	end  Loss
}{
	{"no server had room", NoRoom},
	{"over its quota", OverQuota},
	{"may have run", LostIt},
	{"belongs to no account", NotAllowed},
	{"no route", NotAllowed},
}

func refusal(detail string) Loss {
	for _, r := range refusals {
		if strings.Contains(detail, r.word) {
			return r.end
		}
	}
	return OtherEnd
}

// word reads what a detail gives as name=value, empty when it does not.
func word(detail, name string) string {
	for _, w := range strings.Fields(detail) {
		if value, ok := strings.CutPrefix(w, name+"="); ok {
			return value
		}
	}
	return ""
}

// Between keeps the lines of a span of time; a zero bound is open.
func Between(lines []Line, from, to time.Time) []Line {
	return slices.DeleteFunc(slices.Clone(lines), func(l Line) bool {
		return !from.IsZero() && l.At.Before(from) || !to.IsZero() && l.At.After(to)
	})
}
