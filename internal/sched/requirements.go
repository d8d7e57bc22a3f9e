package sched

import (
	"math"
	"slices"
	"time"
)

// requirements are the conditions that a server must meet for a request to be worth placing
// there.
type requirements struct {
	byDeadline bool // it ends before its deadline
	byTarget   bool // its first event comes by its latency target
	limitPause bool // it pauses no other stream for longer than that stream's limit
	// deadlineUnreachable is set when no engine is fast enough for the request to end before
	// its deadline.
	deadlineUnreachable bool
	// worthWaiting is set when an idle usable server would meet a requirement. The request then
	// waits for such a server rather than take a lesser one.
	worthWaiting bool
}

// requirementsOf determines which requirements r can have at all: those that the fastest
// usable server would meet without other load. A condition that this server cannot meet is
// not required of any server.
func (s *Scheduler) requirementsOf(now Time, svc *service, fastest *server, r *Request) requirements {
	if fastest != nil && !fastest.eligible(now, r) {
		fastest = s.fastest(now, svc, r)
	}
	if fastest == nil {
		return requirements{}
	}
	p := fastest.predictIdle(now, svc, r)
	reqs := requirements{byDeadline: now+p.total <= r.Deadline}
	// Unless they state otherwise, all servers of a plain service are taken to be equally fast.
	if svc.Engine || svc.statesSlowdown {
		reqs.byTarget = s.policy.WaitForLatencyTarget && now+p.first <= r.LatencyTarget
	}
	if svc.Engine {
		reqs.limitPause = s.policy.LimitStreamPauses && p.prefill <= svc.maxPrefill(fastest, r.MaxPause)
	}
	reqs.deadlineUnreachable = svc.Engine && !reqs.byDeadline
	reqs.worthWaiting = reqs.byDeadline || reqs.byTarget || reqs.limitPause
	return reqs
}

// metBy reports whether srv meets the requirements of r. The other load of srv counts only for the
// streams next to r: its prediction is too rough to hold r back, and being slightly late at srv is
// better for r than being later elsewhere.
func (reqs requirements) metBy(now Time, svc *service, srv *server, r *Request) bool {
	p := srv.predictIdle(now, svc, r)
	if reqs.byDeadline && now+p.total > r.Deadline || reqs.byTarget && now+p.first > r.LatencyTarget {
		return false
	}
	return !reqs.limitPause || float64(r.PromptTokens) <= srv.prefillHeadroom(now, svc)
}

// prefillHeadroom is how many prompt tokens can be added to the pending prefill of s so that
// the streams that run there stay within their maximum pause.
//
// Engines prefill prompts in chunks between the tokens of the running streams. During a
// prefill a stream gets one token per chunk: on an engine that is four times slower than the
// others, a long prompt pauses all its streams for longer than their callers accept. The
// time of the entire pending prefill is the upper bound for the pause before one event, unless
// a smaller one has been learned; see pauses.go.
func (s *server) prefillHeadroom(now Time, svc *service) float64 {
	maxPause := time.Duration(math.MaxInt64)
	for _, r := range s.runs {
		if r.req.MaxPause > 0 {
			maxPause = min(maxPause, r.req.MaxPause)
		}
	}
	if maxPause == math.MaxInt64 {
		return math.Inf(1)
	}
	maxPrefill := svc.maxPrefill(s, maxPause)
	if maxPrefill == math.MaxInt64 {
		return math.Inf(1)
	}
	remaining := maxPrefill - max(0, s.prefillFreeAt-now)
	return float64(remaining) / (svc.prefillRatio * float64(s.currentTokenTime(now)))
}

// candidates are the servers with room, the fastest of them and the largest prefill headroom
// among them. When thousands of requests wait and no engine suits them, these two bounds
// show it without a check of each engine for each request.
type candidates struct {
	fastestUsable   *server // of all usable servers, with or without room
	free            []*server
	fastestFree     *server // of free
	prefillHeadroom float64 // maximum of free
}

func (s *Scheduler) candidates(now Time, svc *service, free []*server) *candidates {
	c := &candidates{fastestUsable: s.fastest(now, svc, nil), free: free}
	c.update(now, svc)
	return c
}

// contended reports whether other requests wait for the only free slot.
//
// In a burst the longest answers reach the head of the queue last, when they can no longer
// end before their callers give up. Each would occupy a slot for seconds to no
// effect while other requests are refused for lack of one.
func (c *candidates) contended(svc *service) bool { return len(c.free) == 1 && svc.queue.size > 1 }

func (c *candidates) update(now Time, svc *service) {
	c.fastestFree, c.prefillHeadroom = nil, math.Inf(-1)
	for _, srv := range c.free {
		if c.fastestFree == nil || srv.currentTokenTime(now) < c.fastestFree.currentTokenTime(now) {
			c.fastestFree = srv
		}
		c.prefillHeadroom = max(c.prefillHeadroom, srv.prefillHeadroom(now, svc))
	}
}

// onPlaced updates the candidates after a placement at srv; room reports whether srv can take
// another request.
func (c *candidates) onPlaced(now Time, svc *service, srv *server, room bool) {
	if !room {
		c.free = slices.DeleteFunc(c.free, func(f *server) bool { return f == srv })
	}
	c.update(now, svc)
}

// satisfiable reports whether a candidate may meet the requirements of r, or r accepts any
// server.
func (reqs requirements) satisfiable(now Time, svc *service, c *candidates, r *Request) bool {
	if !reqs.worthWaiting || c.fastestFree == nil {
		return true
	}
	p := c.fastestFree.predictIdle(now, svc, r)
	return !(reqs.byDeadline && now+p.total > r.Deadline || reqs.byTarget && now+p.first > r.LatencyTarget ||
		reqs.limitPause && float64(r.PromptTokens) > c.prefillHeadroom)
}

// eventTime is how long a server takes for one event of a stream.
func (svc *service) eventTime(srv *server) time.Duration {
	return time.Duration(max(1, svc.Stride)) * srv.tokenTime
}

// fastest returns the usable server with the shortest token time, whether it has room or not,
// or nil when there is none; if r is not nil, of the servers that are open to r. Servers at
// their rate limit are left out, as they may take seconds to open again. In a large service a
// server of the fastest speed class is returned.
func (s *Scheduler) fastest(now Time, svc *service, r *Request) *server {
	open := func(srv *server) bool { return r == nil || srv.eligible(now, r) }
	if index := s.indexOf(now, svc); index != nil {
		return index.fastest(now, open)
	}
	var best *server
	svc.index.looks += len(svc.servers)
	for _, srv := range svc.servers {
		if !open(srv) {
			continue
		}
		if srv.usable(now) && srv.pacer.ready(now) && (best == nil || srv.currentTokenTime(now) < best.currentTokenTime(now)) {
			best = srv
		}
	}
	return best
}

// predictIdle predicts r at s without other load and with nothing of its prompt cached.
func (s *server) predictIdle(now Time, svc *service, r *Request) prediction {
	first := svc.idleTimeToFirstEvent(s.tokenTime, r)
	if !svc.Engine {
		return prediction{first: first, total: first}.slowedBy(s.slowdown(now))
	}
	p := prediction{prefill: first - s.tokenTime, first: first, total: first + time.Duration(r.OutputTokens)*s.tokenTime}
	return p.slowedBy(s.slowdown(now))
}

// idleTimeToFirstEvent is the time until the first event or the complete answer of r from an idle
// server with the given token time that has nothing of its prompt cached.
func (svc *service) idleTimeToFirstEvent(tokenTime time.Duration, r *Request) time.Duration {
	if !svc.Engine {
		return svc.usualCallTime()
	}
	return time.Duration((float64(r.PromptTokens)*svc.prefillRatio + 1) * float64(tokenTime))
}
