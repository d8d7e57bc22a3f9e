package rollout

import "math"

// Sample describes one answer of a server.
type Sample struct {
	Route  string
	Server string
	New    bool // the server runs the version on trial
	Failed bool // the answer was a failure, cut off or corrupt
	// RelativeTime is the duration of the answer divided by the expected duration of such an
	// answer, 1 if both are equal; 0 if it is unknown.
	RelativeTime float64
}

const (
	// slowFactor is the ratio to the baseline duration from which an answer counts as slow. With
	// a lower one, slow answers are common among servers that differ threefold in speed; with
	// a higher one, a version that is three times slower on fast servers passes.
	slowFactor = 2.2
	// maxStoredAnswers is the number of answers of the new version that a verdict is based on.
	maxStoredAnswers = 1024
	// longWindow and shortWindow are the numbers of answers of the old version over which the
	// baseline is averaged: the first is enough to estimate the share of bad answers to within
	// a hundredth, the second small enough to follow a failure that affects both versions.
	longWindow  = 1000
	shortWindow = 100
)

// movingMean is a moving mean over the newest values.
type movingMean struct{ n, value float64 }

func (m *movingMean) add(x, window float64) {
	m.n = min(window, m.n+1)
	m.value += (x - m.value) / m.n
}

// fault is a way in which an answer is bad. Each one is judged separately, since slow answers of
// the old version would otherwise hide failures of the new one.
type fault int

const (
	failing fault = iota
	slow
	faultCount
)

func (f fault) String() string { return [faultCount]string{"failed", "slow"}[f] }

// noiseShare is the share of bad answers that is tolerated as noise, such as a broken connection
// or a server that is slow for a moment.
var noiseShare = [faultCount]float64{failing: 0.005, slow: 0.01}

// baseline holds statistics of the old version's answers on one route.
type baseline struct {
	answers         float64
	bad             [faultCount]movingMean // share of bad answers over longWindow
	recentBad       [faultCount]movingMean // the same over shortWindow
	logRelativeTime movingMean             // logarithm of RelativeTime of answers that did not fail
}

// faultsOf returns the ways in which an answer is bad.
func (b *baseline) faultsOf(s Sample) (out [faultCount]bool) {
	out[failing] = s.Failed
	out[slow] = s.RelativeTime > 0 && b.logRelativeTime.n > 0 && math.Log(s.RelativeTime)-b.logRelativeTime.value > math.Log(slowFactor)
	return out
}

func (b *baseline) add(s Sample) {
	for f, bad := range b.faultsOf(s) {
		x := 0.0
		if bad {
			x = 1
		}
		b.bad[f].add(x, longWindow)
		b.recentBad[f].add(x, shortWindow)
	}
	if s.RelativeTime > 0 && !s.Failed {
		b.logRelativeTime.add(math.Log(s.RelativeTime), shortWindow)
	}
}

// expected returns an upper estimate of the share of bad answers of a sound version on the route.
func (b *baseline) expected(f fault) float64 {
	n, share := max(1, b.bad[f].n), b.bad[f].value
	return min(1, max(share+2*math.Sqrt(share*(1-share)/n), b.recentBad[f].value)+noiseShare[f])
}

// judgedAnswer is an answer of the new version with its assessment at the time it arrived.
type judgedAnswer struct {
	route    string
	server   string
	bad      [faultCount]bool
	expected [faultCount]float64 // probability that a sound version's answer is bad
}

func (s judgedAnswer) isBad() bool { return s.bad[failing] || s.bad[slow] }

// samples holds the answers of both versions.
type samples struct {
	baselines       map[string]*baseline // by route
	baselineAnswers float64              // number of answers of the old version
	newAnswers      []judgedAnswer       // of the new version; a ring buffer once it is full
	next            int                  // index of newAnswers that the next answer overwrites
	n               int                  // number of answers of the new version, including overwritten ones
	bad             int                  // number of bad ones among them
}

func newSamples() samples { return samples{baselines: map[string]*baseline{}} }

// add adds an answer and reports whether it is a bad one of the new version.
func (s *samples) add(sample Sample) (isBad bool) {
	b := s.baselines[sample.Route]
	if b == nil {
		b = &baseline{}
		s.baselines[sample.Route] = b
	}
	if !sample.New {
		s.baselineAnswers++
		b.answers++
		b.add(sample)
		return false
	}
	// Until the old version has answered, there is no duration to compare with.
	judged := judgedAnswer{route: sample.Route, server: sample.Server, bad: b.faultsOf(sample)}
	for f := range faultCount {
		judged.expected[f] = b.expected(f)
	}
	s.n++
	if judged.isBad() {
		s.bad++
	}
	if len(s.newAnswers) < maxStoredAnswers {
		s.newAnswers = append(s.newAnswers, judged)
		return judged.isBad()
	}
	s.newAnswers[s.next] = judged
	s.next = (s.next + 1) % maxStoredAnswers
	return judged.isBad()
}

// newest calls f for the stored answers of the new version, newest first, until f returns
// false.
func (s *samples) newest(f func(judgedAnswer) bool) {
	for i := range s.newAnswers {
		at := (s.next - 1 - i + 2*len(s.newAnswers)) % len(s.newAnswers)
		if !f(s.newAnswers[at]) {
			return
		}
	}
}
