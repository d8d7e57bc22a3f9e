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
// out only after seconds, and the scheduler would place more requests there until then. A
// new connection tells such a server from a busy one, which accepts within a millisecond.
// Two checks in a row must fail, since a packet of one may be lost. A stream over a lost path is
// resumed through another host.
func (t *attempt) watchStall() {
	if t.x.route.Kind != routing.Streaming {
		return
	}
	retryable := t.x.mayRetry()
	t.stallTimer = time.AfterFunc(stallCheckDelay, func() {
		verdict := reach.Unknown
		for range stallChecks {
			if verdict = t.check(); verdict == reach.Reached {
				return
			}
			if verdict == reach.PathLost {
				break
			}
		}
		if !retryable {
			if verdict != reach.PathLost {
				t.x.h.Placer.Finish(t.placement.ID, sched.Stalled, 0, 0)
			}
			return
		}
		t.stallVerdict = verdict
		if t.phase.CompareAndSwap(inProgress, stalled) {
			t.conn.Close()
		}
	})
}

func (t *attempt) stopStallWatch() {
	if t.stallTimer != nil {
		t.stallTimer.Stop()
	}
}
