package rollout

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"
)

const (
	// doubt is the chance at which so many bad answers are not put down to chance any
	// more. A trial is judged at each bad answer, over several spans and routes; with this
	// a sound version is taken back in far less than one of a thousand trials.
	doubt = 1e-6
	// leastBadAnswers is how many must be bad at least: a server that ends takes as many
	// answers with it as it has places.
	leastBadAnswers = 4
	// unsure is the chance at which a version is not moved to yet, and doubtLate the chance
	// at which it is taken back when its time is over.
	unsure    = 0.1
	doubtLate = 1e-3
)

// spans are the numbers of newest answers that are judged. A version that turns bad after
// a while shows in the short ones, one of which few answers are bad in the long ones.
var spans = [...]int{16, 32, 64, 128, 256, 512, kept}

// counts is what one span of answers of the new version holds.
type counts struct {
	n        int
	servers  int // of withoutWorst: those that are left
	bad      int
	expected float64 // number of bad ones that a sound version would show
	byServer map[string]*counts
}

func (c *counts) add(s seen, f fault) {
	c.n++
	c.expected += s.expected[f]
	if s.bad[f] {
		c.bad++
	}
}

// withoutWorst is c less the servers that have most bad answers beyond what is expected.
//
// Guard: some servers are faulty or slow for a reason of their own, of both versions. A
// version that is bad shows it at the others too.
func (c *counts) withoutWorst() counts {
	out := *c
	servers := slices.Collect(maps.Values(c.byServer))
	slices.SortFunc(servers, func(a, b *counts) int { return cmp.Compare(b.excess(), a.excess()) })
	n := int(math.Ceil(leftOut * float64(len(servers))))
	if len(servers) >= fewServers {
		n++ // of a few drawn from many, more may be faulty than on the whole
	}
	out.servers = len(servers) - n
	for _, worst := range servers[:n] {
		out.n -= worst.n
		out.bad -= worst.bad
		out.expected -= worst.expected
	}
	return out
}

// leftOut is the part of the servers, those with most bad answers, that is left out; from
// fewServers on one more.
const (
	leftOut    = 0.25
	fewServers = 4
	// enoughServers is how many must be left for a verdict, where there are as many: two
	// faulty ones may well have their turns one after the other.
	enoughServers = 3
)

func (c *counts) excess() float64 { return float64(c.bad) - c.expected }

// chance is how likely a sound version shows so many bad answers or more, by Chernoff's
// bound.
func (c *counts) chance() float64 {
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

// finding is the span of answers that looks worst.
type finding struct {
	fault  fault
	route  string // empty: all routes
	counts counts
	chance float64
}

func (f finding) String() string {
	where := "all routes"
	if f.route != "" {
		where = "route " + f.route
	}
	return fmt.Sprintf("%s: %d of %d %s where %.1f are usual, chance %.1g", where, f.counts.bad, f.counts.n, f.fault, f.counts.expected, f.chance)
}

// worst finds the span of answers, of one route or all, that is least like a sound version.
// servers is how many servers of the version there are.
func (s *samples) worst(servers int) finding {
	out := finding{chance: 1}
	for f := range faults {
		if worst := s.worstOf(f, servers); worst.chance < out.chance {
			out = worst
		}
	}
	return out
}

func (s *samples) worstOf(f fault, servers int) finding {
	out := finding{fault: f, chance: 1}
	byRoute := map[string]*counts{}
	total := 0
	judge := func(route string, c *counts) {
		rest := *c
		if servers > 1 {
			if rest = c.withoutWorst(); rest.servers < min(enoughServers, (servers+1)/2) {
				return
			}
		}
		if chance := rest.chance(); rest.bad >= leastBadAnswers && chance < out.chance {
			out = finding{fault: f, route: route, counts: rest, chance: chance}
		}
	}
	s.newest(func(one seen) bool {
		for _, route := range []string{"", one.route} {
			c := byRoute[route]
			if c == nil {
				c = &counts{byServer: map[string]*counts{}}
				byRoute[route] = c
			}
			if c.byServer[one.server] == nil {
				c.byServer[one.server] = &counts{}
			}
			c.add(one, f)
			c.byServer[one.server].add(one, f)
		}
		total++
		for _, span := range spans {
			if total == span {
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
