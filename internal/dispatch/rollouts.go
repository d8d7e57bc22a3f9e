package dispatch

import (
	"fmt"
	"maps"
	"slices"

	"github.com/gentianflow/gentianflow/internal/event"
	"github.com/gentianflow/gentianflow/internal/rollout"
	"github.com/gentianflow/gentianflow/internal/sched"
	"github.com/gentianflow/gentianflow/internal/wire"
)

// How word of roll-outs travels: the orders reach every host with the operator's table, and
// each keeps the ordered version without requests until it is told more. The home carries
// the order out and tells each step to all that follow it, so that a host which loses it
// goes on with the servers that may be used.

// OnRollouts sets who gets the steps of the roll-outs that this host carries, on the loop's
// goroutine; it must not block. It comes before Run.
func (l *Loop) OnRollouts(stepped func([]rollout.Standing)) { l.stepped = stepped }

// logRollouts writes a line for each step.
func (l *Loop) logRollouts(steps []rollout.Standing) {
	for _, r := range steps {
		l.events.Record(event.RolloutStep, event.Fields{Service: r.Order.Service, Detail: describe(r)})
	}
}

// describe tells how a trial stands, for logs.
func describe(r rollout.Standing) string {
	text := fmt.Sprintf("to=%s phase=%s why=%q reached=%.0f tried=%.0f answers=%d bad=%d", r.Order.To, r.Phase, r.Why, r.Reached, r.Tried, r.Answers, r.Bad)
	for _, route := range slices.Sorted(maps.Keys(r.Routes)) {
		one := r.Routes[route]
		text += fmt.Sprintf(" %s=%d/%d/%.3f", route, one.Bad, one.Answers, one.Usual)
	}
	return text
}

// TellRollouts tells the hosts that follow this one, if it leads, how far roll-outs got.
func (h *Home) TellRollouts(steps []rollout.Standing) {
	if !h.leads.Load() {
		return
	}
	m := &wire.ToHolder{Rollouts: encodeRollouts(steps)}
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, l := range h.links {
		l.send(m)
	}
}

// tellAllRollouts tells one host how far each order got.
func (h *Home) tellAllRollouts(l *holderLink) {
	if !h.leads.Load() {
		return
	}
	h.loop.Do(func(_ sched.Time, s *sched.Scheduler) {
		if known := s.Settled(); len(known) > 0 {
			l.send(&wire.ToHolder{Rollouts: encodeRollouts(known)})
		}
	})
}

func encodeRollouts(list []rollout.Standing) []*wire.Rollout {
	out := make([]*wire.Rollout, 0, len(list))
	for _, r := range list {
		out = append(out, &wire.Rollout{Service: r.Order.Service, To: r.Order.To, Row: r.Order.Row, Phase: string(r.Phase)})
	}
	return out
}

// learnRollouts takes what the home tells.
func (c *Client) learnRollouts(list []*wire.Rollout) {
	if len(list) == 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.local(func(_ sched.Time, s *sched.Scheduler) []sched.Decision {
		for _, r := range list {
			s.SettleOrder(rollout.Order{Service: r.Service, To: r.To, Row: r.Row}, rollout.Phase(r.Phase))
		}
		return nil
	})
}
