package sched

import "time"

// mostHandover bounds the places given for handovers, as a part of a server's slots. A
// longer handover is a pause of hosts or links, in which more places would only fill the
// server's own queue.
const mostHandover = 0.5

// learnHandover learns from a plain call how long its place was taken beyond the time
// that its server had it: the place on its way to the holder, a connection, and the end
// on its way back.
func (svc *service) learnHandover(taken, call time.Duration) {
	if !svc.Engine {
		svc.handover.add(max(0, taken-call))
	}
}

// handoverPlaces is how many more places a plain service's server is given, so that its
// slots are at work while places change hands.
//
// Guard: a server whose places are as many as its slots stands still for a part of each
// of them from the end of one call until the next one comes. Calls of 60 ms with hosts in
// five availability zones lose a tenth of the servers so, just when callers are refused
// for want of them; a call that waits in its server for these few milliseconds is not
// later than one that waits here. Engines' runs last so long that they lose nothing.
func (svc *service) handoverPlaces(srv *server) float64 {
	if svc.Engine || svc.handover.mean == 0 {
		return 0
	}
	part := float64(svc.handover.mean) / float64(svc.callTime())
	return float64(srv.Slots) * min(mostHandover, part)
}

// callTime is what a plain call takes at a server, as learned.
func (svc *service) callTime() time.Duration {
	if svc.Engine || svc.lead.mean == 0 {
		return plainCall
	}
	return svc.lead.mean
}
