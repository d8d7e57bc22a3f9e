package dispatch

import (
	"context"
	"slices"
	"time"

	"github.com/gentianflow/gentianflow/internal/event"
	"github.com/gentianflow/gentianflow/internal/quarantine"
	"github.com/gentianflow/gentianflow/internal/sched"
	"github.com/gentianflow/gentianflow/internal/wire"
)

// Distribution of traits, what requests have in common under which servers ended:
//
// The home sees all ends and all answers. It sends a record to all linked hosts when a second server ends
// under a trait, and when the trait enters or leaves quarantine. What a single end says about the traits that
// were there isn't sent: every host records the runs that it lost itself and the answers that it gets while
// it tracks traits, and sends its records to the home that it begins to follow. An answer thus needs no message.

// traitsPerMessage is the maximum number of records in a message, each of up to 1 KB.
const traitsPerMessage = 32

// TraitsFunc is called on the loop's goroutine with the changed records of traits; lifted reports which of
// them have left quarantine with the change. It must not block.
type TraitsFunc func(changes []quarantine.TraitRecord, lifted func(quarantine.Trait) bool)

// OnTraits sets the function that receives changed records of traits. It must be called before Run.
func (l *Loop) OnTraits(onTraits TraitsFunc) { l.onTraits = onTraits }

// LearnTraits applies records of traits from the store.
func (l *Loop) LearnTraits(records []quarantine.TraitRecord) {
	l.push(context.Background(), func(now sched.Time, s *sched.Scheduler) []sched.Decision { return s.LearnTraits(now, records) })
}

// QuarantineKnown tells the scheduler that it knows what is in quarantine.
func (l *Loop) QuarantineKnown() {
	l.Do(func(_ sched.Time, s *sched.Scheduler) { s.QuarantineKnown() })
}

// publishTraits logs and passes on changed records, and notes whether traits are tracked.
func (l *Loop) publishTraits() {
	l.tracksTraits.Store(l.sched.TracksTraits())
	changes := l.sched.TakeTraitChanges(l.now())
	if len(changes) == 0 {
		return
	}
	lifted := l.logTraits(changes)
	l.onTraits(changes, func(p quarantine.Trait) bool { return lifted[p] })
}

// logTraits records an event for each trait that enters or leaves quarantine, and returns those that leave it.
func (l *Loop) logTraits(records []quarantine.TraitRecord) (lifted map[quarantine.Trait]bool) {
	lifted = map[quarantine.Trait]bool{}
	for _, r := range records {
		f := event.Fields{Service: r.Trait.Service, Detail: "key=" + r.Trait.Key() + " " + r.Explain()}
		switch {
		case r.Quarantined && !l.blamed[r.Trait]:
			l.blamed[r.Trait] = true
			l.events.Record(event.TraitQuarantined, f)
		case !r.Quarantined && l.blamed[r.Trait]:
			delete(l.blamed, r.Trait)
			lifted[r.Trait] = true
			l.events.Record(event.TraitLifted, f)
		}
	}
	return lifted
}

// SendTraits sends changed records to the linked hosts, if this host leads: those that are urgent or have
// left quarantine.
func (h *Home) SendTraits(records []quarantine.TraitRecord, lifted func(quarantine.Trait) bool) {
	if !h.leads.Load() {
		return
	}
	urgent := slices.DeleteFunc(slices.Clone(records), func(r quarantine.TraitRecord) bool { return !r.Urgent() && !lifted(r.Trait) })
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, l := range h.links {
		l.sendTraits(urgent)
	}
}

func (l *holderLink) sendTraits(records []quarantine.TraitRecord) {
	sendTraits(records, func(list []*wire.SuspectTrait) bool {
		l.send(&wire.ToHolder{Traits: list})
		return true
	})
}

// sendAllTraits sends the known records that are urgent to one host.
func (h *Home) sendAllTraits(l *holderLink) {
	h.loop.Do(func(now sched.Time, s *sched.Scheduler) {
		l.sendTraits(slices.DeleteFunc(s.Traits(now), func(r quarantine.TraitRecord) bool { return !r.Urgent() }))
	})
}

// sendTraits sends all known records to a home that this host begins to follow.
func (c *Client) sendTraits(l *homeLink) {
	c.pushLocal(func(now sched.Time, s *sched.Scheduler) []sched.Decision {
		sendTraits(s.Traits(now), func(list []*wire.SuspectTrait) bool { return l.push(&wire.ToHome{Traits: list}) })
		return nil
	})
}

// learnTraits applies records that the home has sent.
func (c *Client) learnTraits(list []*wire.SuspectTrait) {
	if len(list) == 0 {
		return
	}
	records := decodeTraits(list)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pushLocal(func(now sched.Time, s *sched.Scheduler) []sched.Decision { return s.LearnTraits(now, records) })
}

// recordAnswer records an answer in this host's own scheduler, in addition to the home's, while it tracks
// traits. The caller holds mu.
func (c *Client) recordAnswer(p *pending, o sched.Outcome) {
	whole := o.Result == sched.OK || o.Result == sched.ServerError || o.Result == sched.UnattributedError
	if !whole && o.Result != sched.Progress || !c.loop.tracksTraits.Load() {
		return
	}
	a := sched.Answer{Service: p.request.Service, Traits: p.request.traits(), Began: !p.begun, Whole: whole}
	if o.FirstEvent > 0 {
		a.Age = max(0, time.Since(p.placedAt)-o.FirstEvent)
	}
	p.begun = true
	c.pushLocal(func(now sched.Time, s *sched.Scheduler) []sched.Decision {
		s.RecordAnswer(now, a)
		return nil
	})
}

// sendTraits sends records in messages of bounded size, until push fails.
func sendTraits(records []quarantine.TraitRecord, push func([]*wire.SuspectTrait) bool) {
	for list := range slices.Chunk(records, traitsPerMessage) {
		if !push(encodeTraits(list)) {
			return
		}
	}
}

func encodeTrait(t quarantine.Trait) *wire.Trait {
	return &wire.Trait{Kind: uint32(t.Kind), Service: t.Service, Account: t.Account, Route: t.Route, Part: t.Part}
}

// decodeTrait returns a trait without a kind if m has none that is known.
func decodeTrait(m *wire.Trait) quarantine.Trait {
	if m.GetKind() > uint32(quarantine.AccountRoute) {
		return quarantine.Trait{}
	}
	return quarantine.Trait{Kind: quarantine.TraitKind(m.GetKind()), Service: m.GetService(), Account: m.GetAccount(), Route: m.GetRoute(), Part: m.GetPart()}
}

func encodeTraits(records []quarantine.TraitRecord) []*wire.SuspectTrait {
	out := make([]*wire.SuspectTrait, 0, len(records))
	for _, r := range records {
		m := &wire.SuspectTrait{
			Trait: encodeTrait(r.Trait), Begun: uint32(r.Begun), Whole: uint32(r.Whole), Accounts: r.Accounts,
			Quarantined: r.Quarantined, QuarantinedMs: millis(r.Age), RetryMs: millis(r.RetryIn), By: r.By,
			Cleared: r.Cleared, ClearedMs: millis(r.ClearedAge),
		}
		for _, w := range r.With {
			m.With = append(m.With, encodeTrait(w))
		}
		for _, e := range r.Ends {
			end := &wire.TraitEnd{Server: e.Server, AgoMs: millis(e.Age), Begun: e.Begun, Accounts: e.Accounts, Spread: float32(e.Spread)}
			for _, f := range e.Requests {
				end.Requests = append(end.Requests, f.Bytes())
			}
			m.Ends = append(m.Ends, end)
		}
		out = append(out, m)
	}
	return out
}

func decodeTraits(list []*wire.SuspectTrait) []quarantine.TraitRecord {
	out := make([]quarantine.TraitRecord, 0, len(list))
	for _, m := range list {
		r := quarantine.TraitRecord{
			Trait: decodeTrait(m.Trait), Begun: int(m.Begun), Whole: int(m.Whole), Accounts: m.Accounts,
			Quarantined: m.Quarantined, Age: fromMillis(m.QuarantinedMs), RetryIn: fromMillis(m.RetryMs), By: m.By,
			Cleared: m.Cleared, ClearedAge: fromMillis(m.ClearedMs),
		}
		for _, w := range m.With {
			r.With = append(r.With, decodeTrait(w))
		}
		for _, e := range m.Ends {
			end := quarantine.TraitEnd{Server: e.Server, Age: fromMillis(e.AgoMs), Begun: e.Begun, Accounts: e.Accounts, Spread: float64(e.Spread)}
			for _, f := range e.Requests {
				end.Requests = append(end.Requests, quarantine.FingerprintFromBytes(f))
			}
			r.Ends = append(r.Ends, end)
		}
		out = append(out, r)
	}
	return out
}
