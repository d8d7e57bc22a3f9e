package entry

import (
	"context"
	"time"

	"github.com/gentianflow/gentianflow/internal/reach"
	"github.com/gentianflow/gentianflow/internal/routing"
	"github.com/gentianflow/gentianflow/internal/sched"
)

// Read timeouts while a server runs a request, and the check that tells a server that is
// down from one that is busy.

// readTimeout returns how long the server may send nothing before the request is retried
// elsewhere. It is 0 when the request cannot be retried, so that it waits until its deadline.
func (t *attempt) readTimeout() time.Duration {
	x := t.x
	switch {
	case !x.mayRetry():
		return 0
	case x.route.Kind == routing.Safe:
		return safeCallTimeout
	case x.stream.events > 0:
		return nextEventTimeout
	}
	return firstEventTimeout
}

// setReadTimeout bounds the next read by d, or only by the deadline when d is 0, and
// restarts the delay of the stall check.
func (t *attempt) setReadTimeout(ctx context.Context, d time.Duration) {
	until := t.x.deadline
	if d > 0 {
		until = minTime(until, time.Now().Add(d))
	}
	t.reads.Add(1)
	if ctx.Err() == nil {
		t.conn.SetReadDeadline(until)
	}
	if t.stallTimer != nil {
		t.stallTimer.Reset(stallCheckDelay)
	}
}

// watchStall starts the stall check of a stream.
//
// A server that loses power or network leaves its connections open. Its streams would time
// out only after seconds, and the scheduler would place more requests there until then. New
// connections, also from other hosts, tell such a server from a busy one, which accepts within a
// millisecond, and from a lost path: a stream over that is resumed through another host.
func (t *attempt) watchStall() {
	if t.x.route.Kind != routing.Streaming {
		return
	}
	retryable := t.x.mayRetry()
	t.stallTimer = time.AfterFunc(stallCheckDelay, func() { t.checkStall(retryable) })
}

// checkStall finds out why nothing arrives. A server that does not answer new connections either may
// only pause, so its streams are given up only after silenceTolerance.
func (t *attempt) checkStall(retryable bool) {
	reads := t.reads.Load()
	tolerated := time.Now().Add(t.silenceTolerance() - stallCheckDelay)
	verdict := t.check()
	for checks := 1; verdict != reach.PathLost && verdict != reach.Ended && (checks < stallChecks || time.Now().Before(tolerated)); checks++ {
		if verdict == reach.Reached || t.phase.Load() != inProgress || t.reads.Load() != reads {
			return
		}
		time.Sleep(stallCheckInterval)
		verdict = t.check()
	}
	switch {
	case verdict == reach.Reached || t.reads.Load() != reads:
	case retryable:
		t.stallVerdict = verdict
		if t.phase.CompareAndSwap(inProgress, stalled) {
			t.conn.Close()
		}
	case verdict == reach.PathLost: // the run waits for its path, but its slot is free when the server ends it
		t.x.h.Placer.Finish(t.placement.ID, sched.PathLost, 0, 0)
	default:
		t.x.h.Placer.Finish(t.placement.ID, sched.Stalled, 0, 0)
	}
}

// silenceTolerance is how long a server may be silent, on open connections and to new ones, before its
// streams are resumed elsewhere: shorter where the caller would not wait for the first event of the
// resumed run.
func (t *attempt) silenceTolerance() time.Duration {
	tolerance := maxSilenceTolerance
	if leaves := t.x.route.CallerTimeout; leaves > 0 {
		tolerance = min(tolerance, leaves-resumeTime)
	}
	return max(minSilenceTolerance, tolerance)
}

func (t *attempt) stopStallWatch() {
	if t.stallTimer != nil {
		t.stallTimer.Stop()
	}
}
