package sched

import (
	"math"
	"time"
)

// rate is how often something happens a second, by what happened in the last
// half second or so.
type rate struct {
	value float64
	at    Time
}

// rateMemory is the time in which older events fade to a third.
const rateMemory = 500 * time.Millisecond

func (r *rate) add(now Time) {
	r.value = r.now(now) + 1/rateMemory.Seconds()
	r.at = now
}

func (r *rate) now(now Time) float64 {
	return r.value * math.Exp(-float64(now-r.at)/float64(rateMemory))
}
