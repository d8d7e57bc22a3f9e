// Package dispatch carries placement requests to the scheduler and its decisions back. A
// placement is the permission to send a request once to a backend server; a run is the
// execution of the request there.
//
// Each host runs one Loop that owns a sched.Scheduler. The home is the host whose loop
// schedules for all hosts. The loop of any other host is idle until the home stops
// answering, and then schedules for its own host only, with a share of every server, quota
// and retry budget.
//
// Client requests placements for this host. It owns the waiting requests and the runs, sends
// them to the home and falls back to the local loop within a fraction of the shortest latency
// target. Follower selects the home, opens the link to it and sets the share of the local
// loop. Home serves the links of the other hosts.
package dispatch

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/gentianflow/gentianflow/internal/event"
	"github.com/gentianflow/gentianflow/internal/origin"
	"github.com/gentianflow/gentianflow/internal/quarantine"
	"github.com/gentianflow/gentianflow/internal/ring"
	"github.com/gentianflow/gentianflow/internal/rollout"
	"github.com/gentianflow/gentianflow/internal/sched"
)

const (
	loopQueueSize = 8192
	// busyTick is how often waiting requests are checked for expired deadlines, caller
	// timeouts and refilled quotas. idleTick is the interval while no request waits.
	busyTick = 10 * time.Millisecond
	idleTick = 250 * time.Millisecond
)

// input is a function that the loop runs on its scheduler.
type input func(now sched.Time, s *sched.Scheduler) []sched.Decision

// Loop owns a scheduler. Only the loop's goroutine accesses it; other goroutines push inputs.
type Loop struct {
	in          *ring.Ring[input]
	start       time.Time
	sched       *sched.Scheduler
	deliver     func([]sched.Decision)
	events      *event.Recorder
	onSuspects  SuspectsFunc
	onRollouts  func([]rollout.Status)
	quarantined map[quarantine.Fingerprint]bool // requests whose quarantine was logged
	onTraits    TraitsFunc
	blamed      map[quarantine.Trait]bool // traits whose quarantine was logged
	// tracksTraits is set while the scheduler tracks traits, so that answers speak for them.
	tracksTraits atomic.Bool
	liveLoad     bool // the scheduler uses load reports

	onOrigins     OriginsFunc
	newOrigins    []origin.Record // not passed on yet
	originsSentAt sched.Time
}

// NewLoop creates a loop. deliver is called on the loop's goroutine with the decisions of
// each round; it must not block.
func NewLoop(p sched.Policy, events *event.Recorder, deliver func([]sched.Decision)) *Loop {
	return &Loop{
		in: ring.New[input](loopQueueSize), start: time.Now(),
		sched: sched.New(p), deliver: deliver, events: events,
		onRollouts: func([]rollout.Status) {}, onOrigins: func(sched.Time, []origin.Record) {},
		onSuspects: func([]quarantine.Record, func(quarantine.Fingerprint) bool) {}, quarantined: map[quarantine.Fingerprint]bool{}, liveLoad: p.LiveLoad,
		onTraits: func([]quarantine.TraitRecord, func(quarantine.Trait) bool) {}, blamed: map[quarantine.Trait]bool{},
	}
}

// SuspectsFunc is called on the loop's goroutine with the changed records of suspects, the
// requests under which servers ended; lifted reports which of them have left quarantine with
// the change. It must not block.
type SuspectsFunc func(changes []quarantine.Record, lifted func(quarantine.Fingerprint) bool)

// OnSuspects sets the function that receives changed records of suspects. It must be called
// before Run.
func (l *Loop) OnSuspects(onSuspects SuspectsFunc) { l.onSuspects = onSuspects }

// push passes an input to the loop. It blocks while the ring is full, since dropping an input
// would leave a request without a decision.
func (l *Loop) push(ctx context.Context, in input) {
	if l.in.TryPush(in) {
		return
	}
	l.events.Record(event.HomeFull, event.Fields{})
	_ = l.in.Push(ctx, in) // fails only when ctx ends, and with it the request
}

// Run runs the scheduler until ctx ends.
func (l *Loop) Run(ctx context.Context) {
	tick := time.NewTimer(idleTick)
	defer tick.Stop()
	nextTick := idleTick // on the loop's clock
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
		if l.now() >= nextTick {
			out = append(out, l.sched.Tick(l.now())...)
			nextTick = l.now() + l.tickPeriod()
		}
		// Other hosts are notified of a quarantined request before its caller is.
		if changes := l.sched.TakeSuspectChanges(l.now()); len(changes) > 0 {
			lifted := l.logSuspects(changes)
			l.onSuspects(changes, func(f quarantine.Fingerprint) bool { return lifted[f] })
		}
		l.publishTraits()
		l.logShares(l.sched.TakeShareChanges())
		if steps := l.sched.TakeRolloutSteps(); len(steps) > 0 {
			l.logRollouts(steps)
			l.onRollouts(steps)
		}
		l.logForecasts(l.sched.TakeForecastChanges())
		l.logEjections(l.sched.TakeEjections())
		untilFlush := l.flushOrigins()
		if len(out) > 0 {
			l.deliver(out)
		}
		// Inputs must not postpone the tick, or it would never come under load.
		nextTick = min(nextTick, l.now()+l.tickPeriod())
		wait := nextTick - l.now()
		if untilFlush > 0 {
			wait = min(wait, untilFlush)
		}
		tick.Reset(wait)
	}
}

func (l *Loop) now() sched.Time { return time.Since(l.start) }

func (l *Loop) tickPeriod() time.Duration {
	if l.sched.Waiting() > 0 {
		return busyTick
	}
	return idleTick
}

// Query runs f on the loop's goroutine and waits for it.
func (l *Loop) Query(ctx context.Context, f func(*sched.Scheduler)) {
	l.QueryAt(ctx, func(_ sched.Time, s *sched.Scheduler) { f(s) })
}

// QueryAt is Query with the time on the loop's clock.
func (l *Loop) QueryAt(ctx context.Context, f func(now sched.Time, s *sched.Scheduler)) {
	done := make(chan struct{})
	l.push(ctx, func(now sched.Time, s *sched.Scheduler) []sched.Decision {
		f(now, s)
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
