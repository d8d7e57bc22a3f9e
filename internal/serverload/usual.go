package serverload

import (
	"slices"
	"time"
)

// usualTime learns what a server states in its usual state. Servers on machines of unlike speed state
// unlike figures all the time: work that always takes 170% of a nominal time isn't slowed, as its usual
// duration is learned from the answers.
type usualTime struct {
	samples [usualSamples]float64
	n       int
	next    int
	at      Time // of the newest sample
}

const (
	// usualSamples and usualSpacing cover at least 4 s. The usual figure is a low quantile of the samples,
	// so a slow period of up to three quarters of that time doesn't become usual.
	usualSamples  = 16
	usualSpacing  = 250 * time.Millisecond
	usualQuantile = 4 // one in usualQuantile samples is lower
	// minUsual bounds what a false report can make usual; engines of one service state 60 to 170%.
	minUsual = 0.05
)

func (u *usualTime) add(at Time, stated float64) {
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
func (u *usualTime) value() float64 {
	sorted := u.samples
	for i := u.n; i < usualSamples; i++ {
		sorted[i] = 1
	}
	slices.Sort(sorted[:])
	return sorted[(usualSamples-1)/usualQuantile]
}
