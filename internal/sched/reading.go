package sched

import (
	"math"
	"time"
)

// learnReading learns from the first event of a run how long engines take to read
// prompts: what was predicted when it was placed, its own prompt and those before it,
// against what it took. Pauses and long queues make outliers, so a sample moves the
// share by its logarithm, and by a bounded part.
func (svc *service) learnReading(r *run, first time.Duration) {
	predicted := r.predictedFirst
	r.predictedFirst = 0
	if !svc.Engine || predicted < learnsFrom {
		return
	}
	off := math.Log(float64(first) / float64(predicted))
	svc.readShare *= math.Exp(readRate * max(-1, min(1, off)))
	svc.readShare = max(leastReadShare, min(mostReadShare, svc.readShare))
}
