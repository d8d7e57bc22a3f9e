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

// Distribution of rollouts: every host receives the operators' orders, each to move a service to
// a version, with the operator's table, and sends no requests to the ordered version until it
// is notified of a step. The home carries out the order and notifies all hosts that follow it
// of each step, so that a host which loses the home continues with the servers that may be
// used.

// OnRollouts sets the function that receives the steps of the rollouts that this host
// carries out. It is called on the loop's goroutine and must not block. OnRollouts must be
// called before Run.
func (l *Loop) OnRollouts(onRollouts func([]rollout.Status)) { l.onRollouts = onRollouts }

// logRollouts records an event for each step.
func (l *Loop) logRollouts(steps []rollout.Status) {
	for _, r := range steps {
		l.events.Record(event.RolloutStep, event.Fields{Service: r.Order.Service, Detail: describe(r)})
	}
}

// describe formats the state of a rollout for logs.
func describe(r rollout.Status) string {
	text := fmt.Sprintf("to=%s phase=%s why=%q reached=%.0f tried=%.0f answers=%d bad=%d", r.Order.To, r.Phase, r.Why, r.Reached, r.Tried, r.Answers, r.Bad)
	for _, route := range slices.Sorted(maps.Keys(r.Routes)) {
		count := r.Routes[route]
		text += fmt.Sprintf(" %s=%d/%d/%.3f", route, count.Bad, count.Answers, count.BaselineFailureShare)
	}
	return text
}

// SendRollouts sends the progress of rollouts to the linked hosts, if this host leads.
func (h *Home) SendRollouts(steps []rollout.Status) {
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

// sendAllRollouts sends the progress of every order to one host, if this host leads.
func (h *Home) sendAllRollouts(l *holderLink) {
	if !h.leads.Load() {
		return
	}
	h.loop.Do(func(_ sched.Time, s *sched.Scheduler) {
		if known := s.OrderPhases(); len(known) > 0 {
			l.send(&wire.ToHolder{Rollouts: encodeRollouts(known)})
		}
	})
}

func encodeRollouts(list []rollout.Status) []*wire.Rollout {
	out := make([]*wire.Rollout, 0, len(list))
	for _, r := range list {
		out = append(out, &wire.Rollout{Service: r.Order.Service, To: r.Order.To, Row: r.Order.RowVersion, Phase: string(r.Phase)})
	}
	return out
}

// learnRollouts applies the progress of rollouts that the home reports.
func (c *Client) learnRollouts(list []*wire.Rollout) {
	if len(list) == 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pushLocal(func(_ sched.Time, s *sched.Scheduler) []sched.Decision {
		for _, r := range list {
			s.SetOrderPhase(rollout.Order{Service: r.Service, To: r.To, RowVersion: r.Row}, rollout.Phase(r.Phase))
		}
		return nil
	})
}
