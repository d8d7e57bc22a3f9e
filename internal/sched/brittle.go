package sched

import (
	"slices"
	"time"

	"github.com/gentianflow/gentianflow/internal/notice"
)

const (
	// rejectionWindow is the time over which a brittle server counts the requests that it rejects. A
	// scheduler learns of a rejection later than the server counts it, so no margin is needed.
	rejectionWindow = time.Second
	// settleTime is how long after its placement a request counts as possibly rejected: a server that has no
	// room rejects at once, and the report comes back through the holder.
	settleTime = 250 * time.Millisecond
	// spareRejections is the part of the allowed rejections that is kept for requests that other
	// schedulers place.
	spareRejections = 0.25
)

// rejections holds how many requests a brittle server, which fails when it rejects too many requests in a
// second, may be made to reject. The zero value allows any number.
type rejections struct {
	limited bool
	allowed float64 // in rejectionWindow, of requests that this scheduler places
	recent  []Time  // of rejections within rejectionWindow
	// vacated counts the runs that the server has ended since its newest rejection, less those that were
	// placed since. So many slots are free, whatever else occupies the server.
	vacated int
}

// limit sets how many requests a second the server bears to reject, and how many schedulers use it.
func (j *rejections) limit(perSecond, schedulers float64) {
	j.limited, j.allowed = true, perSecond*(1-spareRejections)/schedulers
}

// add records a rejection.
func (j *rejections) add(now Time) {
	j.expire(now)
	j.recent = append(j.recent, now)
	j.vacated = 0
}

func (j *rejections) expire(now Time) {
	j.recent = slices.DeleteFunc(j.recent, func(at Time) bool { return now-at >= j.memory() })
}

// memory is how long a rejection counts. A scheduler that may cause less than one rejection in a
// window waits accordingly longer after one.
func (j *rejections) memory() time.Duration {
	if j.allowed >= 1 || !j.limited {
		return rejectionWindow
	}
	return min(maxRejectionMemory, time.Duration(float64(rejectionWindow)/max(j.allowed, minAllowedRejections)))
}

const (
	minAllowedRejections = 0.01
	maxRejectionMemory   = 30 * time.Second
)

// toleratesRejection reports whether the server may be sent a request although it may reject it. Without a recent
// rejection one request at a time is always sent: only its answer shows whether there is room.
func (s *server) toleratesRejection(now Time) bool {
	j := &s.rejections
	if !j.limited || j.vacated > 0 {
		return true
	}
	j.expire(now)
	possible := len(j.recent) + s.unsettled(now)
	return possible == 0 || float64(possible+1) <= j.allowed
}

// unsettled returns the number of runs that the server may yet reject.
func (s *server) unsettled(now Time) (n int) {
	for _, r := range s.runs {
		if now-r.placed < settleTime && !r.accepted {
			n++
		}
	}
	return n
}

// toleratesAt returns when the server may be sent a request again, if it may not now and nothing else
// happens.
func (s *server) toleratesAt(now Time) Time {
	j := &s.rejections
	var ends []Time
	for _, at := range j.recent {
		ends = append(ends, at+j.memory())
	}
	for _, r := range s.runs {
		if now-r.placed < settleTime && !r.accepted {
			ends = append(ends, r.placed+settleTime)
		}
	}
	if len(ends) == 0 {
		return now
	}
	slices.Sort(ends)
	must := max(1, len(ends)+1-int(max(1, j.allowed)))
	return ends[min(must, len(ends))-1]
}

// applyBrittleness applies what a server states about the rejections that it bears.
func (s *Scheduler) applyBrittleness(srv *server, stated notice.Limit) {
	if !stated.Valid {
		srv.rejections = rejections{}
		return
	}
	if s.share.Servers >= 1 {
		srv.rejections.limit(stated.PerSecond, 1)
		return
	}
	srv.rejections.limit(stated.PerSecond, standaloneHosts(srv, stated.PerSecond))
	srv.rejections.vacated = 0 // other hosts may take the slots
}

// learnSlots notes what the outcome of a run shows of the slots of a brittle server.
func (s *Scheduler) learnSlots(now Time, r *run, result Result) {
	j := &r.server.rejections
	switch {
	case !j.limited:
	case result == Rejected:
		j.add(now)
	case result == OK || result == ServerError || result == UnattributedError:
		if s.share.Servers >= 1 {
			j.vacated = min(r.server.Slots, j.vacated+1)
		}
		r.server.accept(r)
	case result == Progress:
		r.server.accept(r)
	}
}

// accept notes that the server has begun with a run. It admits requests in the order in which they arrive,
// so it has not rejected those that were placed before either.
func (s *server) accept(r *run) {
	for _, other := range s.runs {
		if other.placed <= r.placed {
			other.accepted = true
		}
	}
}

// takeSlot notes the placement of a run at a brittle server.
func (s *server) takeSlot(r *run) {
	if j := &s.rejections; j.vacated > 0 {
		j.vacated--
		r.accepted = true
	}
}

// standaloneShare is the part of the rejections that a server bears for which there is a host that
// schedules alone and uses the server.
const standaloneShare = 0.5

// standaloneHosts is how many of the hosts that schedule alone are to use a brittle server. Each of them
// finds out by a rejection of its own that the server is full, so there are few, and each has more of its
// slots.
func standaloneHosts(srv *server, rejectionsPerSecond float64) float64 {
	return min(float64(srv.Slots), max(1, standaloneShare*rejectionsPerSecond))
}

// standaloneLimit is how many requests a brittle server may have from a host that schedules alone.
func (s *Scheduler) standaloneLimit(srv *server, slots float64) int {
	hosts := standaloneHosts(srv, s.notices[srv.ID].MaxRejections.PerSecond)
	if srv.roundingFraction >= hosts*s.share.Servers {
		return 0
	}
	return max(1, int(slots/hosts))
}

// BrittleServers returns the number of servers that state how many rejections they bear.
func (s *Scheduler) BrittleServers() (n int) {
	for _, srv := range s.servers {
		if srv.rejections.limited {
			n++
		}
	}
	return n
}
