package entry

import (
	"context"
	"time"

	"github.com/gentianflow/gentianflow/internal/routing"
	"github.com/gentianflow/gentianflow/internal/sched"
	"github.com/gentianflow/gentianflow/internal/upstream"
)

// How long a server may be silent while it works on a request, and what tells one that is
// gone from one that is busy.

// silence is how long the server may stay silent while another could answer,
// 0 when there is no use in giving up before the deadline.
func (t *attempt) silence() time.Duration {
	x := t.x
	switch {
	case !x.mayRunAgain():
		return 0
	case x.route.Kind == routing.Safe:
		return safeSilence
	case x.stream.events > 0:
		return eventSilence
	}
	return firstSilence
}

// patience bounds the next read by d, or by the deadline alone when d is 0.
func (t *attempt) patience(ctx context.Context, d time.Duration) {
	until := t.x.deadline
	if d > 0 {
		until = minTime(until, time.Now().Add(d))
	}
	if ctx.Err() == nil {
		t.conn.SetReadDeadline(until)
	}
	if t.stall != nil {
		t.stall.Reset(stallCheck)
	}
}

// watchStall begins to watch a stream for silence.
//
// Guard: a server that loses power or is cut off leaves its connections open.
// Its streams would be given up after seconds only, and meanwhile others would
// be placed there. A new connection tells it from one that is merely busy: that
// one accepts within a millisecond. Two attempts in a row must fail, since one
// may lose its packet.
func (t *attempt) watchStall() {
	if t.x.route.Kind != routing.Streaming {
		return
	}
	again := t.x.mayRunAgain()
	t.stall = time.AfterFunc(stallCheck, func() {
		for range stallDials {
			if upstream.Answers(t.place.Address, stallDial) {
				return
			}
		}
		if !again {
			t.x.h.Places.Finish(t.place.ID, sched.Stalled, 0, 0)
			return
		}
		if t.phase.CompareAndSwap(inExchange, stalled) {
			t.conn.Close()
		}
	})
}

func (t *attempt) endStall() {
	if t.stall != nil {
		t.stall.Stop()
	}
}
