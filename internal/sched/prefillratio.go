package sched

import (
	"math"
	"time"
)

// learnPrefillRatio updates the prefill ratio from the time to the first event of a run,
// compared with the prediction at its placement, which covers its own prompt and those before
// it. Pauses and long queues cause outliers, so a sample changes the ratio by its logarithm,
// and by a bounded amount.
func (svc *service) learnPrefillRatio(r *run, first time.Duration) {
	predicted := r.predictedFirst
	r.predictedFirst = 0
	if !svc.Engine || predicted < minPrefillSample {
		return
	}
	logError := math.Log(float64(first) / float64(predicted))
	svc.prefillRatio *= math.Exp(prefillRatioWeight * max(-1, min(1, logError)))
	svc.prefillRatio = max(minPrefillRatio, min(maxPrefillRatio, svc.prefillRatio))
}
