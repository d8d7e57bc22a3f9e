package experiment

import (
	"container/heap"
	"encoding/binary"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/gentianflow/gentianflow/internal/engine"
	"github.com/gentianflow/gentianflow/internal/quarantine"
	"github.com/gentianflow/gentianflow/internal/sched"
)

const (
	service = "engines"
	holder  = 1 // ID of the only host that receives requests
	// tickInterval is how often the scheduler's Tick is called, messageDelay the delay of a message
	// between caller, holder and server.
	tickInterval = 10 * time.Millisecond
	messageDelay = 2 * time.Millisecond
	// maxRetryAfterShare is the largest fraction of its remaining time that a caller
	// waits before a retry, whatever Retry-After says.
	maxRetryAfterShare = 1.0 / 3
)

// Outcome counts the requests of a kind by how they ended.
type Outcome struct {
	Asked int // all requests
	// OnTime requests met the latency target of the first event and the limit of pauses
	// between events. Late requests were answered in full, but missed one of them.
	OnTime, Late int
	// Refused requests were refused twice, Left ones ended by the caller timeout before
	// they were placed, Cut ones ran past their deadline.
	Refused, Left, Cut int
	// Paused counts the Late requests whose first event was in time.
	Paused int
	// sizes are the sizes of all requests, answeredSizes those of the requests that were
	// answered in full. A size is the number of prompt tokens plus ten times the number of
	// output tokens, in proportion to the engine time that they take.
	sizes, answeredSizes []float64
}

// Served returns the share of requests that were answered in full.
func (o Outcome) Served() float64 { return share(o.OnTime+o.Late, o.Asked) }

// LargestServed returns the share of the largest tenth of the requests that were answered in full.
func (o Outcome) LargestServed() float64 { return o.ServedBySize(0.9, 1) }

// ServedBySize returns the share answered in full of the requests between two quantiles of size:
// 0.9 and 1 for the largest tenth.
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

// InTime returns the share of requests that were on time.
func (o Outcome) InTime() float64 { return share(o.OnTime, o.Asked) }

func share(n, of int) float64 {
	if of == 0 {
		return 1
	}
	return float64(n) / float64(of)
}

// request is a caller's request with its attempts.
type request struct {
	kind        int
	account     int
	fingerprint quarantine.Fingerprint
	prompt      int
	output      int // tokens that are generated
	hint        int // output tokens expected by the caller
	submittedAt time.Duration
	retried     bool // the caller has retried
	placedAt    time.Duration
	running     bool
	firstEvent  time.Duration // from placement to the first event
	lastEventAt time.Duration
	maxPause    time.Duration // longest pause between events
	eventCount  int
}

func (r *request) size() float64 { return float64(r.prompt + 10*r.output) }

// simulation is one run of a load in virtual time.
type simulation struct {
	load          *Load
	scheduler     *sched.Scheduler
	rng           *rand.Rand
	eventQueue    eventQueue
	engines       map[string]*engine.Engine
	stepScheduled map[string]bool     // by server: the end of its step is in the event queue
	open          map[uint64]*request // by ID
	lastID        uint64
	// lastFingerprint is that of the newest request; its attempts have the same one.
	lastFingerprint uint64
	seq             int
	outcomes        []Outcome // by kind
}

// Simulate runs a load with a policy. The same seed gives the same requests.
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

// tickScheduler calls the scheduler's Tick at intervals until all requests have ended.
func (sim *simulation) tickScheduler(now time.Duration) {
	sim.apply(now, sim.scheduler.Tick(now))
	if now < sim.load.Length || len(sim.open) > 0 {
		sim.schedule(now+tickInterval, sim.tickScheduler)
	}
}

// lognormal draws a number of tokens from a lognormal distribution, at most limit.
func (sim *simulation) lognormal(median, sigma float64, limit int) int {
	return min(limit, 1+int(median*math.Exp(sigma*sim.rng.NormFloat64())))
}

// arrive submits a new request and schedules the arrival of the next one.
func (sim *simulation) arrive(now time.Duration) {
	k := sim.drawKind(now)
	kind := &sim.load.Kinds[k]
	r := &request{
		kind: k, submittedAt: now, prompt: sim.lognormal(kind.MedianPrompt, kind.PromptSigma, kind.MaxPrompt),
		output: sim.lognormal(kind.MedianOutput, kind.OutputSigma, kind.MaxOutput),
	}
	r.hint = 1 + int(float64(r.output)*math.Exp(sim.load.HintError*sim.rng.NormFloat64()))
	if sim.load.Accounts > 0 {
		r.account = sim.rng.IntN(sim.load.Accounts)
	}
	sim.lastFingerprint++
	binary.BigEndian.PutUint64(r.fingerprint[:], sim.lastFingerprint)
	sim.outcomes[k].Asked++
	sim.outcomes[k].sizes = append(sim.outcomes[k].sizes, r.size())
	gap := sim.rng.ExpFloat64() / sim.load.rate(now)
	if next := now + time.Duration(gap*float64(time.Second)); next < sim.load.Length {
		sim.schedule(next, sim.arrive)
	}
	sim.submit(now, r)
}

func (sim *simulation) drawKind(now time.Duration) int {
	x := sim.rng.Float64() * sim.load.totalWeight(now)
	for k := range sim.load.Kinds {
		if x -= sim.load.weight(now, k); x < 0 {
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
		Key: sched.Key{Holder: holder, ID: id}, Service: service, Account: fmt.Sprint("account-", r.account), Priority: kind.Priority, Route: kind.Name, Fingerprint: r.fingerprint,
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

// retryOrRefuse has the caller of a refused request retry once, after the scheduler's delay or
// maxRetryAfterShare of its remaining time, whichever is shorter.
func (sim *simulation) retryOrRefuse(now time.Duration, r *request, retryAfter time.Duration) {
	left := r.submittedAt + sim.load.Kinds[r.kind].Deadline - now
	if r.retried || left <= 0 {
		sim.outcomes[r.kind].Refused++
		return
	}
	r.retried = true
	sim.schedule(now+min(retryAfter, time.Duration(maxRetryAfterShare*float64(left))), func(now time.Duration) { sim.submit(now, r) })
}

// callerTimeout withdraws a request that was not placed before its caller gave up.
func (sim *simulation) callerTimeout(now time.Duration, id uint64) {
	r := sim.open[id]
	if r == nil || r.running {
		return
	}
	delete(sim.open, id)
	sim.outcomes[r.kind].Left++
	sim.apply(now, sim.scheduler.Withdraw(now, sched.Key{Holder: holder, ID: id}))
}

// scheduleStep schedules the end of the server's step in progress.
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
	o := sched.Outcome{Key: sched.Key{Holder: holder, ID: id}, Result: sched.OK, FirstEvent: r.firstEvent, LongestGap: r.maxPause}
	if now > r.submittedAt+kind.Deadline {
		o.Result = sched.CallerLeft
	}
	if r.eventCount > 2 {
		tokensPerEvent := sim.load.Engines[0].TokensPerEvent
		o.TokenTime = (now - r.placedAt - r.firstEvent) / time.Duration((r.eventCount-1)*tokensPerEvent)
	}
	sim.apply(now, sim.scheduler.Finish(now, o))
}
