package rollout

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"
)

const (
	// significance is the p-value below which bad answers are no longer attributed to chance.
	// A trial is evaluated at each bad answer, over several windows and routes; with this value
	// a sound version is rolled back in far less than one of a thousand trials.
	significance = 1e-6
	// minBadAnswers is the minimum number of bad answers for a verdict: a server that ends
	// cuts off as many answers as it has slots.
	minBadAnswers = 4
	// minMovePValue is the p-value below which the service does not move yet, and
	// lateSignificance the one below which a version is rolled back once the deadline has passed.
	minMovePValue    = 0.1
	lateSignificance = 1e-3
)

// windows are the numbers of newest answers over which the version is evaluated. Short windows
// detect a version that turns bad after a while, long ones a version with few bad answers.
var windows = [...]int{16, 32, 64, 128, 256, 512, maxStoredAnswers}

// counts summarizes one window of answers of the new version.
type counts struct {
	n        int
	servers  int // set by withoutWorst: number of servers left
	bad      int
	expected float64 // number of bad answers expected of a sound version
	byServer map[string]*counts
}

func (c *counts) add(s judgedAnswer, f fault) {
	c.n++
	c.expected += s.expected[f]
	if s.bad[f] {
		c.bad++
	}
}

// withoutWorst returns c without the servers whose bad answers exceed the expected number most.
//
// Single servers of either version may be faulty or slow for reasons of their own. A bad version
// shows on the other servers too.
func (c *counts) withoutWorst() counts {
	out := *c
	servers := slices.Collect(maps.Values(c.byServer))
	slices.SortFunc(servers, func(a, b *counts) int { return cmp.Compare(b.excess(), a.excess()) })
	n := int(math.Ceil(excludedShare * float64(len(servers))))
	if len(servers) >= extraExcludedFrom {
		n++ // in a small sample of servers, the faulty share may be higher than overall
	}
	out.servers = len(servers) - n
	for _, worst := range servers[:n] {
		out.n -= worst.n
		out.bad -= worst.bad
		out.expected -= worst.expected
	}
	return out
}

const (
	// excludedShare is the share of the servers, those with most bad answers, that is excluded.
	// From extraExcludedFrom servers on, one more is excluded.
	excludedShare     = 0.25
	extraExcludedFrom = 4
	// minServersLeft is the number of servers that must be left for a verdict, as far as the
	// version has enough of them: two faulty servers may have their turns in succession.
	minServersLeft = 3
)

func (c *counts) excess() float64 { return float64(c.bad) - c.expected }

// pValue returns Chernoff's bound on the probability that a sound version has as many bad answers
// or more.
func (c *counts) pValue() float64 {
	bad, expected := float64(c.bad), c.expected
	if bad <= expected || c.n == 0 {
		return 1
	}
	p, q := expected/float64(c.n), bad/float64(c.n)
	p = max(p, 1e-6)
	exponent := q * math.Log(q/p)
	if q < 1 && p < 1 {
		exponent += (1 - q) * math.Log((1-q)/(1-p))
	}
	return math.Exp(-float64(c.n) * exponent)
}

// finding is the window of answers with the lowest p-value for one kind of fault.
type finding struct {
	fault  fault
	route  string // empty: all routes
	counts counts
	pValue float64
}

func (f finding) String() string {
	where := "all routes"
	if f.route != "" {
		where = "route " + f.route
	}
	return fmt.Sprintf("%s: %d of %d %s where %.1f are usual, chance %.1g", where, f.counts.bad, f.counts.n, f.fault, f.counts.expected, f.pValue)
}

// worst returns the window of answers, of one route or all, with the lowest p-value. servers is
// the number of servers of the version.
func (s *samples) worst(servers int) finding {
	out := finding{pValue: 1}
	for f := range faultCount {
		if worst := s.worstOf(f, servers); worst.pValue < out.pValue {
			out = worst
		}
	}
	return out
}

// worstOf is worst for one kind of fault.
func (s *samples) worstOf(f fault, servers int) finding {
	out := finding{fault: f, pValue: 1}
	byRoute := map[string]*counts{}
	total := 0
	judge := func(route string, c *counts) {
		remaining := *c
		if servers > 1 {
			if remaining = c.withoutWorst(); remaining.servers < min(minServersLeft, (servers+1)/2) {
				return
			}
		}
		if pValue := remaining.pValue(); remaining.bad >= minBadAnswers && pValue < out.pValue {
			out = finding{fault: f, route: route, counts: remaining, pValue: pValue}
		}
	}
	s.newest(func(answer judgedAnswer) bool {
		for _, route := range []string{"", answer.route} {
			c := byRoute[route]
			if c == nil {
				c = &counts{byServer: map[string]*counts{}}
				byRoute[route] = c
			}
			if c.byServer[answer.server] == nil {
				c.byServer[answer.server] = &counts{}
			}
			c.add(answer, f)
			c.byServer[answer.server].add(answer, f)
		}
		total++
		for _, size := range windows {
			if total == size {
				for route, c := range byRoute {
					judge(route, c)
				}
			}
		}
		return true
	})
	for route, c := range byRoute {
		judge(route, c)
	}
	return out
}
