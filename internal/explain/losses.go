package explain

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// Outcome is how a request ended, with the cause of a failure or delay.
type Outcome string

// Outcomes of requests. Late ones are divided by cause: the wait for a server, the time to the
// first event, or a pause between two events of the stream.
const (
	InTime       Outcome = "in time"
	LateWait     Outcome = "late: waited"
	LateFirst    Outcome = "late: first event"
	LatePause    Outcome = "late: pause"
	NoRoom       Outcome = "refused: no room"
	NoPath       Outcome = "refused: no path"
	NoServer     Outcome = "refused: no server"
	OverQuota    Outcome = "refused: quota"
	NotAllowed   Outcome = "not allowed"
	OtherRefusal Outcome = "refused: other"
	CallerLeft   Outcome = "caller left"
	LostAtServer Outcome = "lost at its server"
)

// Outcomes lists the outcomes in the order of their columns.
var Outcomes = []Outcome{InTime, LateWait, LateFirst, LatePause, NoRoom, NoPath, NoServer, OverQuota, OtherRefusal, LostAtServer, CallerLeft, NotAllowed}

// Tally counts outcomes of requests.
type Tally struct {
	Of    string // a route, or a server
	Total int
	Ends  map[Outcome]int
}

// TallyBy counts outcomes for each key that keyOf (ByRoute or ByServer) gives. Requests with an
// empty key are left out.
func TallyBy(lines []Line, keyOf func(Line) string) []Tally {
	found := map[string]*Tally{}
	for _, line := range lines {
		outcome, ok := outcomeOf(line)
		key := keyOf(line)
		if !ok || key == "" {
			continue
		}
		tally := found[key]
		if tally == nil {
			tally = &Tally{Of: key, Ends: map[Outcome]int{}}
			found[key] = tally
		}
		tally.Total++
		tally.Ends[outcome]++
	}
	out := make([]Tally, 0, len(found))
	for _, tally := range found {
		out = append(out, *tally)
	}
	slices.SortFunc(out, func(a, b Tally) int {
		return cmp.Or(cmp.Compare(b.Total, a.Total), cmp.Compare(a.Of, b.Of))
	})
	return out
}

// ByRoute returns the route of a request.
func ByRoute(l Line) string { return textField(l.Detail, "route") }

// ByServer returns the server to which a request was sent last.
func ByServer(l Line) string { return l.Server }

// outcomeOf returns the outcome from the line that ends a request; ok is false for any other
// line.
func outcomeOf(line Line) (outcome Outcome, ok bool) {
	switch line.Name {
	case "request_answered":
		return outcomeOfAnswer(line.Detail), true
	case "request_left":
		return CallerLeft, true
	case "request_cut":
		return LostAtServer, true
	case "request_refused":
		return outcomeOfRefusal(line.Detail), true
	}
	return "", false
}

// outcomeOfAnswer reports whether an answer was in time, or what made it late. In the detail, aim
// is the latency target, pause the longest pause between two events and most its limit.
func outcomeOfAnswer(detail string) Outcome {
	waited, first := durationField(detail, "waited"), durationField(detail, "first")
	latencyTarget, pause, maxPause := durationField(detail, "aim"), durationField(detail, "pause"), durationField(detail, "most")
	switch {
	case latencyTarget > 0 && waited+first > latencyTarget && waited > first:
		return LateWait
	case latencyTarget > 0 && waited+first > latencyTarget:
		return LateFirst
	case maxPause > 0 && pause > maxPause:
		return LatePause
	}
	return InTime
}

// refusals maps phrases in the line of a refusal to its outcome.
var refusals = []struct {
	phrase  string
	outcome Outcome
}{
	{"no_path", NoPath},
	{"no server had room", NoRoom},
	{"no usable server", NoServer},
	{"over its quota", OverQuota},
	{"may have run", LostAtServer},
	{"belongs to no account", NotAllowed},
	{"no route", NotAllowed},
}

func outcomeOfRefusal(detail string) Outcome {
	for _, r := range refusals {
		if strings.Contains(detail, r.phrase) {
			return r.outcome
		}
	}
	return OtherRefusal
}

// textField returns the value that a detail gives as name=value, empty if there is none.
func textField(detail, name string) string {
	for _, pair := range strings.Fields(detail) {
		if value, ok := strings.CutPrefix(pair, name+"="); ok {
			return value
		}
	}
	return ""
}

// Between returns the lines of a time span; a zero bound is open.
func Between(lines []Line, from, to time.Time) []Line {
	return slices.DeleteFunc(slices.Clone(lines), func(l Line) bool {
		return !from.IsZero() && l.At.Before(from) || !to.IsZero() && l.At.After(to)
	})
}
