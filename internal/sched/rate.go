package sched

import (
	"math"
	"time"
)

// rate is an exponentially decaying number of events per second, over about the last
// half second.
type rate struct {
	value float64
	at    Time
}

// rateDecay is the time constant of the decay.
const rateDecay = 500 * time.Millisecond

func (r *rate) add(now Time) {
	r.value = r.valueAt(now) + 1/rateDecay.Seconds()
	r.at = now
}

func (r *rate) valueAt(now Time) float64 {
	return r.value * math.Exp(-float64(now-r.at)/float64(rateDecay))
}
