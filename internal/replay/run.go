package replay

import (
	"container/heap"
	"math/rand/v2"
	"time"
)

const (
	tickPeriod     = 20 * time.Millisecond
	reportPeriod   = 1 * time.Second
	defaultNetwork = 1500 * time.Microsecond
)

// Scheduler decides which server gets a request. now is virtual time; servers and requests have
// the index of their line among the lines of the same kind.
type Scheduler interface {
	Arrive(now time.Duration, index int, a *Line)
	Finished(now time.Duration, server int, f Finish)
	Tick(now time.Duration)
	// Progress reports the output tokens of a server and the sum of the running time of its
	// sequences since the last report.
	Progress(now time.Duration, server, tokens int, seqTime time.Duration)
	// Load reports the number of queued and running requests of a server as it was age ago.
	Load(now time.Duration, server, running int, age time.Duration)
	// Evicted reports the prefixes that a server evicted from its cache, the oldest up to age
	// ago. gap means that events were lost.
	Evicted(now time.Duration, server int, keys []int, gap bool, age time.Duration)
	Fault(now time.Duration, l *Line)
}

// Finish is a holder's report of an answered request.
type Finish struct {
	Index    int
	Computed int           // prompt tokens
	Output   int           // tokens
	First    time.Duration // time to the first token
	Total    time.Duration
}

// Host carries out the decisions of a Scheduler.
type Host interface {
	// Dispatch sends a request to a server.
	Dispatch(now time.Duration, index, server int)
	// Shed refuses a request, which has not run.
	Shed(now time.Duration, index int)
}

// timer is a future event. Timers at the same time run in the order in which they were
// scheduled, so that runs are repeatable.
type timer struct {
	at    time.Duration
	order uint64
	do    func(now time.Duration)
}

type timers []timer

func (t timers) Len() int { return len(t) }
func (t timers) Less(i, j int) bool {
	if t[i].at != t[j].at {
		return t[i].at < t[j].at
	}
	return t[i].order < t[j].order
}
func (t timers) Swap(i, j int) { t[i], t[j] = t[j], t[i] }
func (t *timers) Push(x any)   { *t = append(*t, x.(timer)) }
func (t *timers) Pop() any {
	old := *t
	v := old[len(old)-1]
	*t = old[:len(old)-1]
	return v
}

// run is one replay in progress.
type run struct {
	opt      Line
	engines  []*engine
	names    []string
	arrivals []*Line
	outcome  []outcome
	open     int // requests without an outcome
	sched    Scheduler
	queue    timers
	order    uint64
	lossRand *rand.Rand
	pending  []evictions // by server
	result   Result
	endedAt  time.Duration
}

// evictions are the cache events of one server since its last report.
type evictions struct {
	keys []int
	gap  bool // events were lost
}

// outcome is how one request ended.
type outcome uint8

const (
	noOutcome outcome = iota
	inTime
	late
	shed
)

// Run replays a trace with the scheduler that build returns.
func Run(t Trace, build func(servers []Line, opt Line, h Host) Scheduler) Result {
	r := &run{lossRand: rand.New(rand.NewPCG(1, 2))}
	r.opt.NetworkUS = int64(defaultNetwork / time.Microsecond)
	var servers []Line
	var faults []*Line
	for i := range t.Lines {
		l := &t.Lines[i]
		switch l.Kind {
		case LineServer:
			servers = append(servers, *l)
		case LineOptions:
			r.opt = *l
		case LineArrival:
			r.arrivals = append(r.arrivals, l)
		case LineFault:
			faults = append(faults, l)
		}
	}
	capacity := cacheTokens
	if r.opt.CacheTokens > 0 {
		capacity = r.opt.CacheTokens
	}
	for i, s := range servers {
		r.names = append(r.names, s.Server)
		r.engines = append(r.engines, &engine{index: i, speed: s.Speed, cache: newEngineCache(capacity)})
	}
	r.result.Dispatches = map[string][]time.Duration{}
	r.pending = make([]evictions, len(servers))
	r.outcome = make([]outcome, len(r.arrivals))
	r.open = len(r.arrivals)
	r.sched = build(servers, r.opt, r)
	r.scheduleTrace(faults)
	for r.open > 0 && len(r.queue) > 0 {
		next := heap.Pop(&r.queue).(timer)
		r.endedAt = next.at
		next.do(next.at)
	}
	r.result.finish(r)
	return r.result
}

func (r *run) schedule(when time.Duration, do func(time.Duration)) {
	r.order++
	heap.Push(&r.queue, timer{at: when, order: r.order, do: do})
}

func (r *run) network() time.Duration { return time.Duration(r.opt.NetworkUS) * time.Microsecond }

func (r *run) scheduleTrace(faults []*Line) {
	for i, a := range r.arrivals {
		when := time.Duration(a.AtMS * float64(time.Millisecond))
		r.schedule(when+r.network(), func(now time.Duration) { r.sched.Arrive(now, i, a) })
	}
	for _, f := range faults {
		r.schedule(time.Duration(f.AtMS*float64(time.Millisecond)), func(now time.Duration) { r.fault(now, f) })
	}
	r.every(tickPeriod, func(now time.Duration) { r.sched.Tick(now) })
	r.every(reportPeriod, r.report)
}

func (r *run) every(period time.Duration, do func(time.Duration)) {
	var repeat func(time.Duration)
	repeat = func(now time.Duration) {
		do(now)
		r.schedule(now+period, repeat)
	}
	r.schedule(period, repeat)
}

func (r *run) fault(now time.Duration, f *Line) {
	if f.Fault == FaultSlow {
		for i := range r.engines {
			if r.serverName(i) == f.Server {
				r.engines[i].speed = f.Speed
			}
		}
	}
	r.sched.Fault(now, f)
}

func (r *run) serverName(i int) string { return r.names[i] }

// report sends the progress, load and cache reports of all servers, each with its delay.
func (r *run) report(now time.Duration) {
	lag := time.Duration(r.opt.LoadLagMS) * time.Millisecond
	cacheLag := time.Duration(r.opt.CacheLagMS) * time.Millisecond
	for i, e := range r.engines {
		tokens, seqTime := e.tokens, e.seqTime
		e.tokens, e.seqTime = 0, 0
		running := e.load() + r.opt.LoadSkew
		events := r.pending[i]
		r.pending[i] = evictions{}
		r.schedule(now+r.network(), func(at time.Duration) { r.sched.Progress(at, i, tokens, seqTime) })
		r.schedule(now+lag+r.network(), func(at time.Duration) { r.sched.Load(at, i, running, at-now) })
		if len(events.keys) > 0 || events.gap {
			r.schedule(now+cacheLag+r.network(), func(at time.Duration) {
				r.sched.Evicted(at, i, events.keys, events.gap, at-now+reportPeriod)
			})
		}
	}
}

// evicted records a cache event for the next report. A share of the events is lost and
// reported as a gap.
func (r *run) evicted(_ time.Duration, e *engine, key int) {
	if key < 0 {
		return // prompt part of a single request, which no other request uses
	}
	if r.opt.CacheLoss > 0 && r.lossRand.Float64() < r.opt.CacheLoss {
		r.pending[e.index].gap = true
		return
	}
	r.pending[e.index].keys = append(r.pending[e.index].keys, key)
}

func (r *run) cachedElsewhere(except *engine, key int) bool {
	for _, e := range r.engines {
		if e != except && e.cache.contains(key) {
			return true
		}
	}
	return false
}

// Dispatch implements Host. The grant goes to the holder, then the request to the server, so
// it takes two network delays.
func (r *run) Dispatch(now time.Duration, index, server int) {
	r.schedule(now+2*r.network(), func(at time.Duration) {
		e := r.engines[server]
		r.result.Dispatches[r.names[server]] = append(r.result.Dispatches[r.names[server]], at)
		e.queue = append(e.queue, &job{arrival: r.arrivals[index], index: index, sent: at})
		r.startStep(at, e)
	})
}

func (r *run) startStep(now time.Duration, e *engine) {
	if e.busy {
		return
	}
	d := e.begin(now, r)
	if d == 0 {
		return
	}
	e.busy = true
	r.schedule(now+d, func(at time.Duration) {
		for _, j := range e.end(at) {
			r.finish(at, e, j)
		}
		e.busy = false
		r.startStep(at, e)
	})
}

// Shed implements Host.
func (r *run) Shed(now time.Duration, index int) { r.setOutcome(now, index, shed) }

func (r *run) setOutcome(now time.Duration, index int, o outcome) {
	if r.outcome[index] != noOutcome {
		return
	}
	r.outcome[index] = o
	r.open--
	r.result.addOutcome(r.arrivals[index], o, now)
}

func (r *run) finish(now time.Duration, e *engine, j *job) {
	a := j.arrival
	deadline := time.Duration(a.AtMS*float64(time.Millisecond)) + time.Duration(a.DeadlineMS)*time.Millisecond
	o := inTime
	if now+2*r.network() > deadline {
		o = late
	}
	r.result.addPrefill(j, o)
	r.setOutcome(now+2*r.network(), j.index, o)
	f := Finish{Index: j.index, Computed: j.computed, Output: j.tokens, First: j.first - j.sent, Total: now - j.sent}
	r.schedule(now+2*r.network(), func(at time.Duration) { r.sched.Finished(at, e.index, f) })
}
