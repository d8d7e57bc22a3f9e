package rollout

import "math"

// Sample is how one answer of a server went.
type Sample struct {
	Route  string
	Server string
	New    bool // of the version that is tried
	Failed bool // a failure, or an answer that was cut off or spoilt
	// Took is how long the answer took against what such an answer is expected to take,
	// 1 for as long; 0 when it is not known.
	Took float64
}

const (
	// slowFrom is how many times the usual an answer takes that counts as slow. Lower, it is
	// common among servers that differ threefold in speed; higher, a version three times
	// slower on fast servers is moved to.
	slowFrom = 2.2
	// kept is how many answers of the new version a verdict looks back on.
	kept = 1024
	// steady and recent are how many answers of the old version tell what is usual: enough
	// to know the share of bad ones within a hundredth, and few enough to follow a trouble
	// that both versions have.
	steady = 1000
	recent = 100
)

// mean is a moving mean of the newest answers.
type mean struct{ n, value float64 }

func (m *mean) add(x, most float64) {
	m.n = min(most, m.n+1)
	m.value += (x - m.value) / m.n
}

// fault is a way in which an answer is bad. Each is judged by itself: the old version's slow
// answers would hide a new one's failures.
type fault int

const (
	failing fault = iota
	slow
	faults
)

func (f fault) String() string { return [faults]string{"failed", "slow"}[f] }

// leastBad is the share of bad answers that says nothing: a connection that breaks, a server
// that is slow for a moment.
var leastBad = [faults]float64{failing: 0.005, slow: 0.01}

// usual is what the old version's answers on one route are like.
type usual struct {
	answers float64
	bad     [faults]mean // share of the answers
	newest  [faults]mean // the same of a few
	took    mean         // logarithm of Took, of those that did not fail
}

// faultsOf tells in which ways an answer is bad.
func (u *usual) faultsOf(s Sample) (out [faults]bool) {
	out[failing] = s.Failed
	out[slow] = s.Took > 0 && u.took.n > 0 && math.Log(s.Took)-u.took.value > math.Log(slowFrom)
	return out
}

func (u *usual) add(s Sample) {
	for f, bad := range u.faultsOf(s) {
		x := 0.0
		if bad {
			x = 1
		}
		u.bad[f].add(x, steady)
		u.newest[f].add(x, recent)
	}
	if s.Took > 0 && !s.Failed {
		u.took.add(math.Log(s.Took), recent)
	}
}

// expected is the share of bad answers that a sound version may well show on the route.
func (u *usual) expected(f fault) float64 {
	n, share := max(1, u.bad[f].n), u.bad[f].value
	return min(1, max(share+2*math.Sqrt(share*(1-share)/n), u.newest[f].value)+leastBad[f])
}

// seen is an answer of the new version as it was judged when it came.
type seen struct {
	route    string
	server   string
	bad      [faults]bool
	expected [faults]float64 // chance that a sound version's answer is bad there
}

func (s seen) isBad() bool { return s.bad[failing] || s.bad[slow] }

// samples holds what is known of both versions.
type samples struct {
	usual map[string]*usual // by route
	// usualAnswers is how many answers of the old version there were in all.
	usualAnswers float64
	list         []seen // of the new version, a ring once it is full
	next         int
	n            int // of the new version in all
	bad          int
}

func newSamples() samples { return samples{usual: map[string]*usual{}} }

// add takes an answer and reports whether it is a bad one of the new version.
func (s *samples) add(one Sample) (isBad bool) {
	u := s.usual[one.Route]
	if u == nil {
		u = &usual{}
		s.usual[one.Route] = u
	}
	if !one.New {
		s.usualAnswers++
		u.answers++
		u.add(one)
		return false
	}
	// Before the old version has answered there is nothing to compare a time with.
	got := seen{route: one.Route, server: one.Server, bad: u.faultsOf(one)}
	for f := range faults {
		got.expected[f] = u.expected(f)
	}
	s.n++
	if got.isBad() {
		s.bad++
	}
	if len(s.list) < kept {
		s.list = append(s.list, got)
		return got.isBad()
	}
	s.list[s.next] = got
	s.next = (s.next + 1) % kept
	return got.isBad()
}

// newest calls f for the newest answers of the new version, newest first, until it returns
// false.
func (s *samples) newest(f func(seen) bool) {
	for i := range s.list {
		at := (s.next - 1 - i + 2*len(s.list)) % len(s.list)
		if !f(s.list[at]) {
			return
		}
	}
}
