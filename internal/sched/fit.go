package sched

import (
	"slices"
	"time"
)

// need is what a server must give for a request to be worth placing there.
type need struct {
	inTime bool // its end before its deadline
	onTime bool // its first event by its latency objective
	pauses bool // no stream beside it paused for longer than is on time
	// elsewhere is set when an idle server gives all that; then a request waits for
	// one rather than take less.
	elsewhere bool
}

// needs tells what r can have at all: what the fastest usable server would give it
// with nothing else to do. That of which even this one is too slow is not asked of
// any.
func (s *Scheduler) needs(now Time, svc *service, fastest *server, r *Request) need {
	if slices.ContainsFunc(r.Avoid, func(id string) bool { return fastest != nil && fastest.ID == id }) {
		fastest = svc.fastest(now, r.Avoid...)
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
	return !n.pauses || srv.sparesPauses(now, svc, srv.predict(now, svc, r).prefill)
}

// sparesPauses reports whether the streams that run at srv stay on time when a
// prompt is added that takes prefill to read.
//
// Guard: engines read prompts in pieces between the tokens of the streams that run.
// While one reads, a stream gets a token for each piece: on an engine that is four
// times slower than the others a long prompt stops all streams beside it for longer
// than their callers count as on time. The whole of what is to be read bounds the
// pause of one event.
func (s *server) sparesPauses(now Time, svc *service, prefill time.Duration) bool {
	pause := max(0, s.prefillFree-now) + prefill + svc.eventTime(s)
	return !slices.ContainsFunc(s.runs, func(r *run) bool {
		return r.req.MaxPause > 0 && pause > r.req.MaxPause
	})
}

// eventTime is how long a server takes for one event of a stream.
func (svc *service) eventTime(srv *server) time.Duration {
	return time.Duration(max(1, svc.Stride)) * srv.tokenTime
}

// fastest returns the usable server that generates fastest, full or not, nil when
// there is none.
func (svc *service) fastest(now Time, except ...string) *server {
	var best *server
	for _, srv := range svc.servers {
		if srv.usable(now) && !slices.Contains(except, srv.ID) && (best == nil || srv.tokenTime < best.tokenTime) {
			best = srv
		}
	}
	return best
}

// idle is what r would take at s without others before it and with nothing of its
// prompt kept.
func (s *server) idle(svc *service, r *Request) prediction {
	if !svc.Engine {
		return prediction{first: plainCall, total: plainCall}
	}
	prefill := time.Duration(float64(r.PromptTokens) * svc.readShare * float64(s.tokenTime))
	first := prefill + s.tokenTime
	return prediction{prefill: prefill, first: first, total: first + time.Duration(r.OutputTokens)*s.tokenTime}
}
