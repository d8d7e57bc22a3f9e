package dispatch

import (
	"context"
	"slices"

	"github.com/gentianflow/gentianflow/internal/event"
	"github.com/gentianflow/gentianflow/internal/quarantine"
	"github.com/gentianflow/gentianflow/internal/sched"
	"github.com/gentianflow/gentianflow/internal/wire"
)

// How word of requests that end servers travels:
//
// The home sees the ends of all runs. Within a round of its loop it tells each change, 100
// bytes, to those that may take over, and what is urgent to all that have a link to it. A
// host that begins to follow tells all it knows; what it lost itself it knows in any case,
// so nothing is lost with a home, whoever is the next. What is told twice or late changes
// nothing (see package quarantine).

// suspectsPerMessage bounds the records in one message, 300 bytes each at most.
const suspectsPerMessage = 64

// tellSuspects passes records on in messages of bounded size, until push fails.
func tellSuspects(records []quarantine.Record, push func([]*wire.Suspect) bool) {
	for len(records) > 0 {
		n := min(suspectsPerMessage, len(records))
		if !push(encodeSuspects(records[:n])) {
			return
		}
		records = records[n:]
	}
}

func encodeSuspects(records []quarantine.Record) []*wire.Suspect {
	out := make([]*wire.Suspect, 0, len(records))
	for _, r := range records {
		m := &wire.Suspect{
			Fingerprint: r.Fingerprint.Bytes(), Account: r.Account, Service: r.Service,
			Quarantined: r.Quarantined, QuarantinedMs: millis(r.Age), RetryMs: millis(r.RetryIn), By: r.By,
			Cleared: r.Cleared, ClearedMs: millis(r.ClearedAge),
		}
		for _, e := range r.Ends {
			m.Ends = append(m.Ends, &wire.ServerEnd{Server: e.Server, AgoMs: millis(e.Age), Shown: e.Shown, Distinct: e.Distinct})
		}
		out = append(out, m)
	}
	return out
}

func decodeSuspects(list []*wire.Suspect) []quarantine.Record {
	out := make([]quarantine.Record, 0, len(list))
	for _, m := range list {
		r := quarantine.Record{
			Fingerprint: quarantine.FromBytes(m.Fingerprint), Account: m.Account, Service: m.Service,
			Quarantined: m.Quarantined, Age: fromMillis(m.QuarantinedMs), RetryIn: fromMillis(m.RetryMs), By: m.By,
			Cleared: m.Cleared, ClearedAge: fromMillis(m.ClearedMs),
		}
		for _, e := range m.Ends {
			r.Ends = append(r.Ends, quarantine.End{Server: e.Server, Age: fromMillis(e.AgoMs), Shown: e.Shown, Distinct: e.Distinct})
		}
		out = append(out, r)
	}
	return out
}

// TellSuspects tells the hosts that have a link here what has changed, if this one leads:
// successors everything, the others what is urgent or lifted.
func (h *Home) TellSuspects(records []quarantine.Record, lifted func(quarantine.Fingerprint) bool) {
	if !h.leads.Load() {
		return
	}
	urgent := slices.DeleteFunc(slices.Clone(records), func(r quarantine.Record) bool { return !r.Urgent() && !lifted(r.Fingerprint) })
	successors := h.next()
	h.mu.Lock()
	defer h.mu.Unlock()
	for holder, l := range h.links {
		if slices.Contains(successors, holder) {
			l.tellSuspects(records)
		} else {
			l.tellSuspects(urgent)
		}
	}
}

func (l *holderLink) tellSuspects(records []quarantine.Record) {
	tellSuspects(records, func(list []*wire.Suspect) bool {
		l.send(&wire.ToHolder{Suspects: list})
		return true
	})
}

// tellAllSuspects tells one host what it needs of all that is known here.
func (h *Home) tellAllSuspects(l *holderLink) {
	all := slices.Contains(h.next(), l.holder)
	h.loop.Do(func(now sched.Time, s *sched.Scheduler) {
		l.tellSuspects(slices.DeleteFunc(s.Suspects(now), func(r quarantine.Record) bool { return !all && !r.Urgent() }))
	})
}

// tellSuspects tells a home that this host begins to follow everything.
func (c *Client) tellSuspects(l *homeLink) {
	c.local(func(now sched.Time, s *sched.Scheduler) []sched.Decision {
		tellSuspects(s.Suspects(now), func(list []*wire.Suspect) bool { return l.push(&wire.ToHome{Suspects: list}) })
		return nil
	})
}

// learnSuspects takes what the home tells.
func (c *Client) learnSuspects(list []*wire.Suspect) {
	if len(list) == 0 {
		return
	}
	records := decodeSuspects(list)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.local(func(now sched.Time, s *sched.Scheduler) []sched.Decision { return s.LearnSuspects(now, records) })
}

// learnLoss keeps a run that was lost with its server in this host's own table as well. The
// caller holds mu.
func (c *Client) learnLoss(p *pending, shown bool) {
	loss := quarantine.Loss{Fingerprint: p.ask.Fingerprint, Account: p.ask.Account, Service: p.ask.Service, Server: p.server, Shown: shown}
	c.local(func(now sched.Time, s *sched.Scheduler) []sched.Decision {
		s.LearnLoss(now, loss)
		return nil
	})
}

// OnRevoke has f called when the place is revoked: its request was put in quarantine. f
// gets when to come back and what is held against the request; it must not block.
func (c *Client) OnRevoke(id uint64, f func(*Refused)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if p := c.pending[id]; p != nil {
		p.revoke = f
	}
}

// LearnSuspects takes what the store keeps of requests that end servers.
func (l *Loop) LearnSuspects(records []quarantine.Record) {
	l.push(context.Background(), func(now sched.Time, s *sched.Scheduler) []sched.Decision {
		return s.LearnSuspects(now, records)
	})
}

// logSuspects writes a line for each request that goes into quarantine or out of it, and
// returns the latter.
func (l *Loop) logSuspects(records []quarantine.Record) (lifted map[quarantine.Fingerprint]bool) {
	lifted = map[quarantine.Fingerprint]bool{}
	for _, r := range records {
		f := event.Fields{Service: r.Service, Detail: "fingerprint=" + r.Fingerprint.String()}
		switch {
		case r.Quarantined && !l.quarantined[r.Fingerprint]:
			l.quarantined[r.Fingerprint] = true
			f.Detail += " account=" + r.Account + " " + r.Explain()
			l.events.Record(event.RequestQuarantined, f)
		case !r.Quarantined && l.quarantined[r.Fingerprint]:
			delete(l.quarantined, r.Fingerprint)
			lifted[r.Fingerprint] = true
			l.events.Record(event.QuarantineLifted, f)
		}
	}
	return lifted
}
