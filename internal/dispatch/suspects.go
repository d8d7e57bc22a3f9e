package dispatch

import (
	"context"
	"slices"

	"github.com/gentianflow/gentianflow/internal/event"
	"github.com/gentianflow/gentianflow/internal/quarantine"
	"github.com/gentianflow/gentianflow/internal/sched"
	"github.com/gentianflow/gentianflow/internal/wire"
)

// Distribution of suspects, the requests under which servers ended and which may have caused it:
//
// The home sees the ends of all runs. Within a round of its loop it sends each change, 100
// bytes, to the hosts that may take over, and urgent changes to all linked hosts. A host that
// begins to follow a home sends it all its records. Every host records the runs that it lost
// itself, so no record is lost with a home, whichever host takes over. Duplicate and late
// records have no effect (see package quarantine).

// suspectsPerMessage is the maximum number of records in a message, each of up to 300 bytes.
const suspectsPerMessage = 64

// sendSuspects sends records in messages of bounded size, until push fails.
func sendSuspects(records []quarantine.Record, push func([]*wire.Suspect) bool) {
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
			m.Ends = append(m.Ends, &wire.ServerEnd{Server: e.Server, AgoMs: millis(e.Age), Shown: e.EventSeen, Distinct: e.Distinct})
		}
		out = append(out, m)
	}
	return out
}

func decodeSuspects(list []*wire.Suspect) []quarantine.Record {
	out := make([]quarantine.Record, 0, len(list))
	for _, m := range list {
		r := quarantine.Record{
			Fingerprint: quarantine.FingerprintFromBytes(m.Fingerprint), Account: m.Account, Service: m.Service,
			Quarantined: m.Quarantined, Age: fromMillis(m.QuarantinedMs), RetryIn: fromMillis(m.RetryMs), By: m.By,
			Cleared: m.Cleared, ClearedAge: fromMillis(m.ClearedMs),
		}
		for _, e := range m.Ends {
			r.Ends = append(r.Ends, quarantine.ServerEnd{Server: e.Server, Age: fromMillis(e.AgoMs), EventSeen: e.Shown, Distinct: e.Distinct})
		}
		out = append(out, r)
	}
	return out
}

// SendSuspects sends changed records of suspects to the linked hosts, if this host leads: all
// of them to the hosts that may take over, and to the others those that are urgent or have left
// quarantine.
func (h *Home) SendSuspects(records []quarantine.Record, lifted func(quarantine.Fingerprint) bool) {
	if !h.leads.Load() {
		return
	}
	urgent := slices.DeleteFunc(slices.Clone(records), func(r quarantine.Record) bool { return !r.Urgent() && !lifted(r.Fingerprint) })
	successors := h.nextHomes()
	h.mu.Lock()
	defer h.mu.Unlock()
	for holder, l := range h.links {
		if slices.Contains(successors, holder) {
			l.sendSuspects(records)
		} else {
			l.sendSuspects(urgent)
		}
	}
}

func (l *holderLink) sendSuspects(records []quarantine.Record) {
	sendSuspects(records, func(list []*wire.Suspect) bool {
		l.send(&wire.ToHolder{Suspects: list})
		return true
	})
}

// sendAllSuspects sends the known records to one host: all of them if it may take over, else the
// urgent ones.
func (h *Home) sendAllSuspects(l *holderLink) {
	all := slices.Contains(h.nextHomes(), l.holder)
	h.loop.Do(func(now sched.Time, s *sched.Scheduler) {
		l.sendSuspects(slices.DeleteFunc(s.Suspects(now), func(r quarantine.Record) bool { return !all && !r.Urgent() }))
	})
}

// sendSuspects sends all known records to a home that this host begins to follow.
func (c *Client) sendSuspects(l *homeLink) {
	c.pushLocal(func(now sched.Time, s *sched.Scheduler) []sched.Decision {
		sendSuspects(s.Suspects(now), func(list []*wire.Suspect) bool { return l.push(&wire.ToHome{Suspects: list}) })
		return nil
	})
}

// learnSuspects applies records that the home has sent.
func (c *Client) learnSuspects(list []*wire.Suspect) {
	if len(list) == 0 {
		return
	}
	records := decodeSuspects(list)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pushLocal(func(now sched.Time, s *sched.Scheduler) []sched.Decision { return s.LearnSuspects(now, records) })
}

// learnLoss records a run that was lost with its server in this host's own scheduler, in
// addition to the home's. The caller holds mu.
func (c *Client) learnLoss(p *pending, eventSeen bool) {
	loss := quarantine.Loss{Fingerprint: p.request.Fingerprint, Account: p.request.Account, Service: p.request.Service, Server: p.server, EventSeen: eventSeen, Traits: p.request.traits()}
	c.pushLocal(func(now sched.Time, s *sched.Scheduler) []sched.Decision {
		s.RecordLoss(now, loss)
		return nil
	})
}

// OnRevoke sets f to be called when the placement is revoked because its request was put in
// quarantine, at once if it has been. The refusal passed to f states when to retry and why the request is
// quarantined; f must not block.
func (c *Client) OnRevoke(id uint64, f func(*Refused)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.pending[id]
	if p == nil {
		return
	}
	p.revoke = f
	if p.revoked != nil {
		f(p.revoked)
	}
}

// LearnSuspects applies records of suspects from the store.
func (l *Loop) LearnSuspects(records []quarantine.Record) {
	l.push(context.Background(), func(now sched.Time, s *sched.Scheduler) []sched.Decision {
		return s.LearnSuspects(now, records)
	})
}

// logSuspects records an event for each request that enters or leaves quarantine, and returns
// those that leave it.
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
