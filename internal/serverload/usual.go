package serverload

import (
	"slices"
	"time"
)

// Usual learns what an engine states in its usual state. Engines on machines of unlike speed state unlike
// figures all the time: work that always takes 170% of a nominal time isn't slowed, as the engine's own
// token time is learned from its answers.
type Usual struct {
	samples [usualSamples]float64
	n       int
	next    int
	at      Time // of the newest sample
}

const (
	// usualSamples and usualSpacing cover at least 4 s. The usual figure is a low quantile of the samples,
	// so slow periods that fill more than half of the time don't become usual.
	usualSamples  = 16
	usualSpacing  = 250 * time.Millisecond
	usualQuantile = 8 // one in usualQuantile samples is lower
	// minUsual bounds what a false report can make usual; engines of one service state 60 to 170%.
	minUsual = 0.05
)

// Relative returns a stated slowdown as a multiple of the usual one. A figure of the nominal time or more is at
// least 1: after a long slow period, the nominal time must not look fast.
func (u *Usual) Relative(at Time, stated float64) float64 {
	u.add(at, stated)
	relative := stated / u.value()
	if stated >= 1 {
		return max(1, relative)
	}
	return relative
}

func (u *Usual) add(at Time, stated float64) {
	if u.n > 0 && at-u.at < usualSpacing {
		return
	}
	u.at = at
	u.samples[u.next] = min(maxSlowdown, max(minUsual, stated))
	u.next = (u.next + 1) % usualSamples
	u.n = min(u.n+1, usualSamples)
}

// value is the usual figure. Samples that are not known yet count as the nominal time, so that a server
// whose first reports come in a slow moment doesn't count as fast later.
func (u *Usual) value() float64 {
	sorted := u.samples
	for i := u.n; i < usualSamples; i++ {
		sorted[i] = 1
	}
	slices.Sort(sorted[:])
	return sorted[(usualSamples-1)/usualQuantile]
}
