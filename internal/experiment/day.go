package experiment

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/gentianflow/gentianflow/internal/engine"
	"github.com/gentianflow/gentianflow/internal/sched"
)

const (
	service = "engines"
	holder  = 1
	// tickInterval is the time between two ticks of the scheduler, messageDelay the time
	// that a message takes between caller, holder and server.
	tickInterval = 10 * time.Millisecond
	messageDelay = 2 * time.Millisecond
	// maxRetryAfterShare limits the Retry-After that a caller follows, as a fraction of its
	// time left.
	maxRetryAfterShare = 1.0 / 3
)

// Outcome counts what came of the requests of a kind.
type Outcome struct {
	Asked int
	// OnTime had their first event in time and no pause over what is on time, Late
	// were whole but had not.
	OnTime, Late int
	// Refused were told that they did not run, twice; Left gave up waiting; Cut ran
	// out of time.
	Refused, Left, Cut int
	// Paused are those of Late whose first event was in time.
	Paused int
	// sizes are those of all requests, whole those of the whole answers: tokens read and
	// ten times those generated, as both take an engine's time.
	sizes, answeredSizes []float64
}

// Served is the share of whole answers.
func (o Outcome) Served() float64 { return share(o.OnTime+o.Late, o.Asked) }

// LargestServed is the share of whole answers among the largest tenth.
func (o Outcome) LargestServed() float64 { return o.ServedBySize(0.9, 1) }

// ServedBySize is the share of whole answers among the requests between two parts of them in
// order of size: 0.9 and 1 for the largest tenth.
func (o Outcome) ServedBySize(from, to float64) float64 {
	if len(o.sizes) == 0 {
		return 1
	}
	sizes := slices.Sorted(slices.Values(o.sizes))
	minSize, maxSize := sizes[int(from*float64(len(sizes)))], math.Inf(1)
	if i := int(to * float64(len(sizes))); i < len(sizes) {
		maxSize = sizes[i]
	}
	count := func(in []float64) (n int) {
		for _, size := range in {
			if size >= minSize && size < maxSize {
				n++
			}
		}
		return n
	}
	return share(count(o.answeredSizes), count(o.sizes))
}

// InTime is the share that was on time.
func (o Outcome) InTime() float64 { return share(o.OnTime, o.Asked) }

func share(n, of int) float64 {
	if of == 0 {
		return 1
	}
	return float64(n) / float64(of)
}

// request is a caller's request over its attempts.
type request struct {
	kind        int
	prompt      int
	output      int // real
	hint        int // expected
	submittedAt time.Duration
	retried     bool // this is the caller's second attempt
	placedAt    time.Duration
	running     bool
	firstEvent  time.Duration // since placed
	lastEventAt time.Duration // event
	maxPause    time.Duration // longest
	eventCount  int
}

func (r *request) size() float64 { return float64(r.prompt + 10*r.output) }

// simulation is one run of a load.
type simulation struct {
	load          *Load
	scheduler     *sched.Scheduler
	rng           *rand.Rand
	eventQueue    eventQueue
	engines       map[string]*engine.Engine
	stepScheduled map[string]bool // a step's end is in the agenda
	open          map[uint64]*request
	lastID        uint64
	seq           int
	outcomes      []Outcome
}

// Simulate runs a load with a policy; the same seed gives the same requests.
func Simulate(l *Load, p sched.Policy, seed uint64) []Outcome {
	sim := &simulation{
		load: l, scheduler: sched.New(p), rng: rand.New(rand.NewPCG(seed, 7)),
		engines: map[string]*engine.Engine{}, stepScheduled: map[string]bool{}, open: map[uint64]*request{},
		outcomes: make([]Outcome, len(l.Kinds)),
	}
	sim.scheduler.SetServices(0, []sched.Service{{Name: service, Engine: true, Stride: l.Engines[0].TokensPerEvent}})
	var list []sched.Server
	for i, spec := range l.Engines {
		id := fmt.Sprintf("e%02d", i)
		sim.engines[id] = engine.New(spec)
		list = append(list, sched.Server{ID: id, Service: service, Slots: spec.Slots})
	}
	sim.scheduler.SetServers(0, list)
	sim.schedule(0, sim.arrive)
	sim.schedule(tickInterval, sim.tickScheduler)
	for sim.eventQueue.Len() > 0 {
		ev := heap.Pop(&sim.eventQueue).(scheduledEvent)
		ev.do(ev.at)
	}
	return sim.outcomes
}

func (sim *simulation) schedule(at time.Duration, do func(now time.Duration)) {
	sim.seq++
	heap.Push(&sim.eventQueue, scheduledEvent{at, sim.seq, do})
}

// tickScheduler ticks the scheduler until all requests are answered.
func (sim *simulation) tickScheduler(now time.Duration) {
	sim.apply(now, sim.scheduler.Tick(now))
	if now < sim.load.Length || len(sim.open) > 0 {
		sim.schedule(now+tickInterval, sim.tickScheduler)
	}
}

// lognormal draws a size from a lognormal distribution.
func (sim *simulation) lognormal(median, sigma float64, limit int) int {
	return min(limit, 1+int(median*math.Exp(sigma*sim.rng.NormFloat64())))
}

// arrive brings a new request and plans the next one.
func (sim *simulation) arrive(now time.Duration) {
	k := sim.drawKind()
	kind := &sim.load.Kinds[k]
	r := &request{
		kind: k, submittedAt: now, prompt: sim.lognormal(kind.MedianPrompt, kind.PromptSigma, kind.MaxPrompt),
		output: sim.lognormal(kind.MedianOutput, kind.OutputSigma, kind.MaxOutput),
	}
	r.hint = 1 + int(float64(r.output)*math.Exp(sim.load.HintError*sim.rng.NormFloat64()))
	sim.outcomes[k].Asked++
	sim.outcomes[k].sizes = append(sim.outcomes[k].sizes, r.size())
	gap := sim.rng.ExpFloat64() / sim.load.rate(now)
	if next := now + time.Duration(gap*float64(time.Second)); next < sim.load.Length {
		sim.schedule(next, sim.arrive)
	}
	sim.submit(now, r)
}

func (sim *simulation) drawKind() int {
	x := sim.rng.Float64()
	for k := range sim.load.Kinds {
		if x -= sim.load.Kinds[k].Share; x < 0 {
			return k
		}
	}
	return 0
}

func (sim *simulation) submit(now time.Duration, r *request) {
	kind := &sim.load.Kinds[r.kind]
	sim.lastID++
	id := sim.lastID
	sim.open[id] = r
	deadline := r.submittedAt + kind.Deadline
	timeout := now + kind.CallerTimeout
	sim.schedule(timeout, func(now time.Duration) { sim.callerTimeout(now, id) })
	out, _ := sim.scheduler.Submit(now, sched.Request{
		Key: sched.Key{Holder: holder, ID: id}, Service: service, Priority: kind.Priority,
		PromptTokens: r.prompt, OutputTokens: r.hint, Arrived: now, LatencyTarget: now + kind.LatencyTarget,
		CallerTimeoutAt: timeout, Deadline: deadline, MaxPause: kind.MaxPause,
	})
	sim.apply(now, out)
}

func (sim *simulation) apply(now time.Duration, out []sched.Decision) {
	for _, o := range out {
		r := sim.open[o.ID]
		if r == nil {
			continue
		}
		if o.Reason == 0 {
			r.running, r.placedAt = true, now
			id, server := o.ID, o.Server
			sim.schedule(now+messageDelay, func(now time.Duration) {
				sim.engines[server].Submit(now, id, r.prompt, r.output)
				sim.scheduleStep(server)
			})
			continue
		}
		delete(sim.open, o.ID)
		sim.retryOrRefuse(now, r, o.RetryAfter)
	}
}

// retryOrRefuse handles a refusal: the caller retries once, after retryAfter.
func (sim *simulation) retryOrRefuse(now time.Duration, r *request, retryAfter time.Duration) {
	left := r.submittedAt + sim.load.Kinds[r.kind].Deadline - now
	if r.retried || left <= 0 {
		sim.outcomes[r.kind].Refused++
		return
	}
	r.retried = true
	sim.schedule(now+min(retryAfter, time.Duration(maxRetryAfterShare*float64(left))), func(now time.Duration) { sim.submit(now, r) })
}

// callerTimeout ends a request that has waited for longer than its caller does.
func (sim *simulation) callerTimeout(now time.Duration, id uint64) {
	r := sim.open[id]
	if r == nil || r.running {
		return
	}
	delete(sim.open, id)
	sim.outcomes[r.kind].Left++
	sim.apply(now, sim.scheduler.Withdraw(now, sched.Key{Holder: holder, ID: id}))
}

// scheduleStep schedules the end of the step in progress at a server.
func (sim *simulation) scheduleStep(server string) {
	at, busy := sim.engines[server].StepEnd()
	if !busy || sim.stepScheduled[server] {
		return
	}
	sim.stepScheduled[server] = true
	sim.schedule(at, func(now time.Duration) {
		sim.stepScheduled[server] = false
		for _, ev := range sim.engines[server].Step() {
			sim.deliver(now+messageDelay, ev)
		}
		sim.scheduleStep(server)
	})
}

// deliver passes an event of a stream to its caller.
func (sim *simulation) deliver(now time.Duration, ev engine.Event) {
	r := sim.open[ev.ID]
	if r == nil {
		return
	}
	r.eventCount++
	if r.eventCount == 1 {
		r.firstEvent = now - r.placedAt
	} else {
		r.maxPause = max(r.maxPause, now-r.lastEventAt)
	}
	r.lastEventAt = now
	if ev.Ended {
		delete(sim.open, ev.ID)
		sim.finish(now, ev.ID, r)
	}
}

func (sim *simulation) finish(now time.Duration, id uint64, r *request) {
	kind, out := &sim.load.Kinds[r.kind], &sim.outcomes[r.kind]
	inTime := r.placedAt+r.firstEvent-r.submittedAt <= kind.LatencyTarget
	switch {
	case now > r.submittedAt+kind.Deadline:
		out.Cut++
	case inTime && r.maxPause <= kind.MaxPause:
		out.OnTime++
	default:
		out.Late++
		if inTime {
			out.Paused++
		}
	}
	if now <= r.submittedAt+kind.Deadline {
		out.answeredSizes = append(out.answeredSizes, r.size())
	}
	o := sched.Outcome{Key: sched.Key{Holder: holder, ID: id}, Result: sched.OK, FirstEvent: r.firstEvent}
	if now > r.submittedAt+kind.Deadline {
		o.Result = sched.CallerLeft
	}
	if r.eventCount > 2 {
		tokensPerEvent := sim.load.Engines[0].TokensPerEvent
		o.TokenTime = (now - r.placedAt - r.firstEvent) / time.Duration((r.eventCount-1)*tokensPerEvent)
	}
	sim.apply(now, sim.scheduler.Finish(now, o))
}
