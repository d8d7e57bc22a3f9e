// Package dispatch brings requests to the scheduler and its decisions back.
//
// Each host runs one loop that owns a sched.Scheduler. The loop of the home
// schedules for all hosts; the loop of any other host is idle until its home
// falls silent, and then decides for this host alone with a share of every
// server, quota and retry budget. Client is the side that asks: it follows the
// home and falls back within a fraction of the shortest latency objective.
package dispatch

import (
	"context"
	"time"

	"github.com/gentianflow/gentianflow/internal/event"
	"github.com/gentianflow/gentianflow/internal/quarantine"
	"github.com/gentianflow/gentianflow/internal/ring"
	"github.com/gentianflow/gentianflow/internal/rollout"
	"github.com/gentianflow/gentianflow/internal/sched"
)

const (
	loopInputs = 8192
	// busyTick is how often waiting requests are looked at again for time
	// that has run out and quotas that have refilled.
	busyTick = 10 * time.Millisecond
	idleTick = 250 * time.Millisecond
)

// input is one thing for the loop to do.
type input func(now sched.Time, s *sched.Scheduler) []sched.Decision

// Loop owns a scheduler. Its goroutine alone touches it; all others push
// inputs.
type Loop struct {
	in          *ring.Ring[input]
	start       time.Time
	sched       *sched.Scheduler
	deliver     func([]sched.Decision)
	events      *event.Recorder
	spread      Spread
	stepped     func([]rollout.Standing)
	quarantined map[quarantine.Fingerprint]bool // those whose quarantine was logged
}

// NewLoop makes a loop. deliver gets the decisions of each round, on the
// loop's goroutine; it must not block.
func NewLoop(p sched.Policy, events *event.Recorder, deliver func([]sched.Decision)) *Loop {
	return &Loop{
		in: ring.New[input](loopInputs), start: time.Now(),
		sched: sched.New(p), deliver: deliver, events: events,
		stepped: func([]rollout.Standing) {},
		spread:  func([]quarantine.Record, func(quarantine.Fingerprint) bool) {}, quarantined: map[quarantine.Fingerprint]bool{},
	}
}

// Spread gets what has changed of requests that end servers, on the loop's goroutine; lifted
// tells which have come out of quarantine with it. It must not block.
type Spread func(news []quarantine.Record, lifted func(quarantine.Fingerprint) bool)

// OnSuspects sets who gets what has changed of requests that end servers. It comes before
// Run.
func (l *Loop) OnSuspects(spread Spread) { l.spread = spread }

// push hands an input to the loop. When the ring is full the caller waits:
// dropping one would leave a request without its decision.
func (l *Loop) push(ctx context.Context, in input) {
	if l.in.TryPush(in) {
		return
	}
	l.events.Record(event.HomeFull, event.Fields{})
	_ = l.in.Push(ctx, in) // fails only when ctx ends, and with it the request
}

// Run decides until ctx ends.
func (l *Loop) Run(ctx context.Context) {
	tick := time.NewTimer(idleTick)
	defer tick.Stop()
	next := idleTick // when time is to pass, on the loop's clock
	var batch []input
	for {
		select {
		case <-l.in.Ready():
		case <-tick.C:
		case <-ctx.Done():
			return
		}
		batch = l.in.Drain(batch[:0])
		var out []sched.Decision
		for _, in := range batch {
			out = append(out, in(l.now(), l.sched)...)
		}
		clear(batch)
		if l.now() >= next {
			out = append(out, l.sched.Tick(l.now())...)
			next = l.now() + l.period()
		}
		// Other hosts hear of a request in quarantine before its caller does.
		if news := l.sched.SuspectNews(l.now()); len(news) > 0 {
			lifted := l.logSuspects(news)
			l.spread(news, func(f quarantine.Fingerprint) bool { return lifted[f] })
		}
		if steps := l.sched.RolloutNews(); len(steps) > 0 {
			l.logRollouts(steps)
			l.stepped(steps)
		}
		if len(out) > 0 {
			l.deliver(out)
		}
		// Inputs must not put the tick off, or it would never come under load.
		next = min(next, l.now()+l.period())
		tick.Reset(next - l.now())
	}
}

func (l *Loop) now() sched.Time { return time.Since(l.start) }

func (l *Loop) period() time.Duration {
	if l.sched.Waiting() > 0 {
		return busyTick
	}
	return idleTick
}

// Query runs f on the loop's goroutine and waits for it.
func (l *Loop) Query(ctx context.Context, f func(*sched.Scheduler)) {
	done := make(chan struct{})
	l.push(ctx, func(_ sched.Time, s *sched.Scheduler) []sched.Decision {
		f(s)
		close(done)
		return nil
	})
	select {
	case <-done:
	case <-ctx.Done():
	}
}

// Do runs f on the loop's goroutine without waiting for it.
func (l *Loop) Do(f func(now sched.Time, s *sched.Scheduler)) {
	l.push(context.Background(), func(now sched.Time, s *sched.Scheduler) []sched.Decision {
		f(now, s)
		return nil
	})
}
