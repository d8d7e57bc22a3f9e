package sched

import (
	"math"
	"time"
)

// maxPrefillRatioGrowth limits the rate at which the prefill ratio changes to this logarithm a second,
// if Policy.SteadyPrefillRatio is set.
//
// The predictions that a sample is compared with were made up to a second earlier, with the ratio of
// that time. At a thousand samples a second the ratio went far beyond the right value before the
// first sample could show it, and moved back and forth between its bounds.
const maxPrefillRatioGrowth = 1.0

// learnPrefillRatio updates the prefill ratio from the time to the first event of a run,
// compared with the prediction at its placement, which covers its own prompt and those before
// it. Pauses and long queues cause outliers, so a sample changes the ratio by its logarithm,
// and by a bounded amount.
func (svc *service) learnPrefillRatio(now Time, steady bool, r *run, first time.Duration) {
	predicted := r.predictedFirst
	r.predictedFirst = 0
	if !svc.Engine || predicted < minPrefillSample {
		return
	}
	logError := math.Log(float64(first) / float64(predicted))
	weight := prefillRatioWeight
	if steady {
		weight = min(weight, maxPrefillRatioGrowth*(now-svc.prefillRatioAt).Seconds())
		svc.prefillRatioAt = now
	}
	svc.prefillRatio *= math.Exp(weight * max(-1, min(1, logError)))
	svc.prefillRatio = max(minPrefillRatio, min(maxPrefillRatio, svc.prefillRatio))
}
