package sched

import (
	"math"
	"slices"
	"time"
)

// need is what a server must give for a request to be worth placing there.
type need struct {
	inTime bool // its end before its deadline
	onTime bool // its first event by its latency objective
	pauses bool // no stream beside it paused for longer than is on time
	// tooLate is set when no engine is fast enough for it to end before its deadline.
	tooLate bool
	// elsewhere is set when a usable server gives that when it is idle; then a request
	// waits for one rather than take less.
	elsewhere bool
}

// needs tells what r can have at all: what the fastest usable server would give it
// with nothing else to do. That of which even this one is too slow is not asked of
// any.
func (s *Scheduler) needs(now Time, svc *service, fastest *server, r *Request) need {
	if fastest != nil && !fastest.eligible(now, r) {
		fastest = svc.fastest(now, r)
	}
	if fastest == nil {
		return need{}
	}
	p := fastest.idle(svc, r)
	n := need{inTime: now+p.total <= r.Deadline}
	if svc.Engine {
		n.onTime = s.policy.AwaitOnTime && now+p.first <= r.Aim
		n.pauses = s.policy.SparePauses && p.prefill+svc.eventTime(fastest) <= r.MaxPause
	}
	n.tooLate = svc.Engine && !n.inTime
	n.elsewhere = n.inTime || n.onTime || n.pauses
	return n
}

// met reports whether srv can give r what it needs. What srv has to do besides
// counts for the streams beside r only: it is predicted too roughly to hold r back,
// and r would rather be a little late there than later elsewhere.
func (n need) met(now Time, svc *service, srv *server, r *Request) bool {
	p := srv.idle(svc, r)
	if n.inTime && now+p.total > r.Deadline || n.onTime && now+p.first > r.Aim {
		return false
	}
	return !n.pauses || float64(r.PromptTokens) <= srv.spare(now, svc)
}

// spare is how many prompt tokens can be added to what is to be read at srv so that
// the streams that run there stay on time.
//
// Guard: engines read prompts in pieces between the tokens of the streams that run.
// While one reads, a stream gets a token for each piece: on an engine that is four
// times slower than the others a long prompt stops all streams beside it for longer
// than their callers count as on time. The whole of what is to be read bounds the
// pause of one event.
func (s *server) spare(now Time, svc *service) float64 {
	most := time.Duration(math.MaxInt64)
	for _, r := range s.runs {
		if r.req.MaxPause > 0 {
			most = min(most, r.req.MaxPause)
		}
	}
	if most == math.MaxInt64 {
		return math.Inf(1)
	}
	left := most - max(0, s.prefillFreeAt-now) - svc.eventTime(s)
	return float64(left) / (svc.readShare * float64(s.tokenTime))
}

// offer is the servers with room, and the most that any of them can give. With
// thousands of requests in line before engines that fit none of them, the most tells
// without a look at each.
type offer struct {
	usable  *server // the fastest of all that are usable, full or not
	free    []*server
	fastest *server // of free
	spare   float64 // the largest of free
}

func (s *Scheduler) offer(now Time, svc *service, free []*server) *offer {
	o := &offer{usable: svc.fastest(now, nil), free: free}
	o.measure(now, svc)
	return o
}

// contended reports whether others wait for the only place that is to be had.
//
// Guard: the longest answers come to their turn last in a burst, when they can't end any
// more before their callers give up. Each took a place for seconds then, in vain, while others
// were refused for want of it.
func (o *offer) contended(svc *service) bool { return len(o.free) == 1 && svc.queue.size > 1 }

func (o *offer) measure(now Time, svc *service) {
	o.fastest, o.spare = nil, math.Inf(-1)
	for _, srv := range o.free {
		if o.fastest == nil || srv.tokenTime < o.fastest.tokenTime {
			o.fastest = srv
		}
		o.spare = max(o.spare, srv.spare(now, svc))
	}
}

// taken notes that a request was placed at srv, which has room for another or not.
func (o *offer) taken(now Time, svc *service, srv *server, room bool) {
	if !room {
		o.free = slices.DeleteFunc(o.free, func(f *server) bool { return f == srv })
	}
	o.measure(now, svc)
}

// possible reports whether a server offered may give r what it needs, or r takes what
// there is.
func (n need) possible(now Time, svc *service, o *offer, r *Request) bool {
	if !n.elsewhere || o.fastest == nil {
		return true
	}
	p := o.fastest.idle(svc, r)
	return !(n.inTime && now+p.total > r.Deadline || n.onTime && now+p.first > r.Aim ||
		n.pauses && float64(r.PromptTokens) > o.spare)
}

// eventTime is how long a server takes for one event of a stream.
func (svc *service) eventTime(srv *server) time.Duration {
	return time.Duration(max(1, svc.Stride)) * srv.tokenTime
}

// fastest returns the usable server that generates fastest, full or not, nil when there is
// none; of those open to r unless that is nil. One whose limit it has reached may open in
// seconds only.
func (svc *service) fastest(now Time, r *Request) *server {
	var best *server
	for _, srv := range svc.servers {
		if r != nil && !srv.eligible(now, r) {
			continue
		}
		if srv.usable(now) && srv.pacer.ready(now) && (best == nil || srv.tokenTime < best.tokenTime) {
			best = srv
		}
	}
	return best
}

// idle is what r would take at s without others before it and with nothing of its
// prompt kept.
func (s *server) idle(svc *service, r *Request) prediction {
	first := svc.firstAt(s.tokenTime, r)
	if !svc.Engine {
		return prediction{first: first, total: first}
	}
	return prediction{prefill: first - s.tokenTime, first: first, total: first + time.Duration(r.OutputTokens)*s.tokenTime}
}

// firstAt is when the first event or whole answer of r comes from an idle server that
// generates a token in tokenTime and keeps nothing of its prompt.
func (svc *service) firstAt(tokenTime time.Duration, r *Request) time.Duration {
	if !svc.Engine {
		return svc.callTime()
	}
	return time.Duration((float64(r.PromptTokens)*svc.readShare + 1) * float64(tokenTime))
}
