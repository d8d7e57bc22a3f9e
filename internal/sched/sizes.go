package sched

import (
	"math"
	"slices"
	"time"
)

const (
	// sizeClasses is how many parts of a lane's requests are told apart by the work that they
	// bring: sizeCuts are the shares of the requests that are smaller.
	sizeClasses = 4
	// sizeSample is how many requests the cuts are worked out from, anew each sizeRefresh.
	sizeSample  = 256
	sizeRefresh = 32
	// sizeMemory is the time in which older requests fade to a third: a few bursts' worth of
	// answers, so that a class which got its part a moment ago does not lose it for good.
	sizeMemory = 15 * time.Second
	// sizeLeast is how many of a class must have come lately before it is helped.
	sizeLeast = 2
)

var sizeCuts = [sizeClasses - 1]float64{0.5, 0.7, 0.9}

// tally is a number of requests of which older ones fade.
type tally struct {
	value float64
	at    Time
}

func (c *tally) add(now Time, n float64) {
	c.value = max(0, c.now(now)+n)
	c.at = now
}

func (c *tally) now(now Time) float64 {
	return c.value * math.Exp(-float64(now-c.at)/float64(sizeMemory))
}

// sizes follows how often the requests of a lane are served, by the work that they bring.
//
// Guard: in an overload short answers before long ones serve most callers, but for the
// callers of long ones it is an outage: each time they are put off, are late, and are refused
// again. So no class is to be served less often than a part of what the lane is.
type sizes struct {
	sample  []time.Duration // of work, a ring once it is full
	next    int
	cuts    [sizeClasses - 1]time.Duration
	asked   [sizeClasses]tally
	served  [sizeClasses]tally // placed, and not ended without an answer
	refresh int                // requests until the cuts are worked out anew
}

// ask notes a request that brings so much work, and returns its class.
func (z *sizes) ask(now Time, work time.Duration) int {
	if len(z.sample) < sizeSample {
		z.sample = append(z.sample, work)
	} else {
		z.sample[z.next] = work
		z.next = (z.next + 1) % sizeSample
	}
	if z.refresh--; z.refresh <= 0 {
		z.refresh = sizeRefresh
		z.cut()
	}
	class := 0
	for class < len(z.cuts) && work > z.cuts[class] {
		class++
	}
	z.asked[class].add(now, 1)
	return class
}

func (z *sizes) cut() {
	sorted := slices.Sorted(slices.Values(z.sample))
	for i, part := range sizeCuts {
		z.cuts[i] = sorted[int(part*float64(len(sorted)))]
	}
}

// behind reports whether a class was served less often lately than a part of what the lane
// was.
func (z *sizes) behind(now Time, class int, part float64) bool {
	asked, served := 0.0, 0.0
	for i := range z.asked {
		asked += z.asked[i].now(now)
		served += z.served[i].now(now)
	}
	mine := z.asked[class].now(now)
	return mine >= sizeLeast && z.served[class].now(now)*asked < part*served*mine
}
