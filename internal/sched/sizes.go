package sched

import (
	"math"
	"slices"
	"time"
)

const (
	// sizeClasses is the number of classes into which a priority's requests are divided by
	// their expected work. sizeQuantiles are the quantiles of the work that separate them.
	sizeClasses = 4
	// sizeSamples is the number of latest requests from which the thresholds are computed,
	// every sizeRefreshInterval requests.
	sizeSamples         = 256
	sizeRefreshInterval = 32
	// sizeDecay is the time constant with which older requests decay. It covers the answers of
	// a few bursts, so that a class that was served a moment ago does not lose its share for good.
	sizeDecay = 15 * time.Second
	// minClassArrivals is the minimum number of recent arrivals of a class for it to count as
	// underserved.
	minClassArrivals = 2
)

var sizeQuantiles = [sizeClasses - 1]float64{0.5, 0.7, 0.9}

// decayingCount is an exponentially decaying number of requests.
type decayingCount struct {
	value float64
	at    Time
}

func (c *decayingCount) add(now Time, n float64) {
	c.value = max(0, c.valueAt(now)+n)
	c.at = now
}

func (c *decayingCount) valueAt(now Time) float64 {
	return c.value * math.Exp(-float64(now-c.at)/float64(sizeDecay))
}

// sizeStats tracks how often the requests of a priority are served, by their expected work.
//
// In an overload, serving short answers before long ones helps the most callers, but for the
// callers of long answers it is an outage: each time they are delayed, become late and are
// refused again. So the fraction of a class that is served must not fall too far below that
// of its priority.
type sizeStats struct {
	sample       []time.Duration // of work; a ring buffer once it is full
	next         int
	thresholds   [sizeClasses - 1]time.Duration
	arrived      [sizeClasses]decayingCount
	served       [sizeClasses]decayingCount // placed, and not ended without an answer
	untilRefresh int                        // requests until the thresholds are computed again
}

// classify records a request with the given work and returns its size class.
func (z *sizeStats) classify(now Time, work time.Duration) int {
	if len(z.sample) < sizeSamples {
		z.sample = append(z.sample, work)
	} else {
		z.sample[z.next] = work
		z.next = (z.next + 1) % sizeSamples
	}
	if z.untilRefresh--; z.untilRefresh <= 0 {
		z.untilRefresh = sizeRefreshInterval
		z.updateThresholds()
	}
	class := 0
	for class < len(z.thresholds) && work > z.thresholds[class] {
		class++
	}
	z.arrived[class].add(now, 1)
	return class
}

func (z *sizeStats) updateThresholds() {
	sorted := slices.Sorted(slices.Values(z.sample))
	for i, quantile := range sizeQuantiles {
		z.thresholds[i] = sorted[int(quantile*float64(len(sorted)))]
	}
}

// underserved reports whether the fraction of a class's recent requests that were served is
// less than minShare of that fraction for all requests of the priority.
func (z *sizeStats) underserved(now Time, class int, minShare float64) bool {
	arrived, served := 0.0, 0.0
	for i := range z.arrived {
		arrived += z.arrived[i].valueAt(now)
		served += z.served[i].valueAt(now)
	}
	own := z.arrived[class].valueAt(now)
	return own >= minClassArrivals && z.served[class].valueAt(now)*arrived < minShare*served*own
}
