package sched

import (
	"math"
	"time"
)

// maxHandoverShare limits the extra placements for handovers, as a fraction of a server's slots.
// A longer handover is a pause of hosts or links, in which extra placements would only fill the
// server's own queue.
const maxHandoverShare = 0.5

// learnHandover learns from a plain call how long its placement lasted beyond the time that its
// server had the call: while the placement is sent to the holder, a connection is opened, and the
// report of the end is sent back.
func (svc *service) learnHandover(occupied, call time.Duration) {
	if !svc.Engine {
		svc.handoverTime.add(max(0, occupied-call))
	}
}

// handoverSlots is how many placements a plain service's server is given beyond its slots, so that
// its slots are busy while one call follows another.
//
// With as many placements as slots, each slot is idle from the end of one call until the next one
// arrives. With calls of 60 ms and hosts in five availability zones this loses a tenth of the
// servers' capacity, just when callers are refused for lack of it. A call that queues in its server
// for these few milliseconds is no later than one that waits here. Runs at engines last so long that
// the loss is negligible.
func (svc *service) handoverSlots(srv *server) float64 {
	return float64(srv.Slots) * svc.handoverShare()
}

// handoverShareStep is the step in which the share of the handovers changes, since each change
// concerns every server of the service.
const handoverShareStep = 1.0 / 64

// handoverShare is the time of a handover relative to that of a call, 0 for engines.
func (svc *service) handoverShare() float64 {
	if svc.Engine || svc.handoverTime.mean == 0 {
		return 0
	}
	share := float64(svc.handoverTime.mean) / float64(svc.callTime())
	return min(maxHandoverShare, math.Round(share/handoverShareStep)*handoverShareStep)
}

// callTime is the learned duration of a plain call at a server.
func (svc *service) callTime() time.Duration {
	if svc.Engine || svc.timeToFirstEvent.mean == 0 {
		return defaultCallTime
	}
	return svc.timeToFirstEvent.mean
}
