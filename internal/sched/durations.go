package sched

import "time"

// durationEstimate keeps moving averages of durations and of their deviation from the mean.
type durationEstimate struct {
	mean      time.Duration
	deviation time.Duration
}

// durationEstimateWeight is the weight of a new sample: about the last 20 count.
const durationEstimateWeight = 0.05

func (e *durationEstimate) add(d time.Duration) {
	if e.mean == 0 {
		e.mean, e.deviation = d, d/4
		return
	}
	diff := d - e.mean
	e.mean += time.Duration(float64(diff) * durationEstimateWeight)
	e.deviation += time.Duration(float64(diff.Abs()-e.deviation) * durationEstimateWeight)
}

// upperBound is a duration that few samples exceed.
func (e *durationEstimate) upperBound() time.Duration { return e.mean + 2*e.deviation }
