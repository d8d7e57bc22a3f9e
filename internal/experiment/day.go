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
	// tick is how often time passes at the scheduler, reach what a message takes
	// between caller, holder and server.
	tick  = 10 * time.Millisecond
	reach = 2 * time.Millisecond
	// returnMost is the part of its time left that a caller honours of what it is
	// told to wait.
	returnMost = 1.0 / 3
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
	sizes, whole []float64
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
	least, most := sizes[int(from*float64(len(sizes)))], math.Inf(1)
	if i := int(to * float64(len(sizes))); i < len(sizes) {
		most = sizes[i]
	}
	count := func(of []float64) (n int) {
		for _, size := range of {
			if size >= least && size < most {
				n++
			}
		}
		return n
	}
	return share(count(o.whole), count(o.sizes))
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
	kind    int
	prompt  int
	output  int // real
	hint    int // expected
	started time.Duration
	again   bool // this is the caller's second attempt
	placed  time.Duration
	running bool
	first   time.Duration // since placed
	newest  time.Duration // event
	pause   time.Duration // longest
	events  int
}

func (r *request) size() float64 { return float64(r.prompt + 10*r.output) }

// day is one play of a load.
type day struct {
	load    *Load
	s       *sched.Scheduler
	rng     *rand.Rand
	agenda  agenda
	engines map[string]*engine.Engine
	stepped map[string]bool // a step's end is in the agenda
	open    map[uint64]*request
	next    uint64
	seq     int
	result  []Outcome
}

// Play plays a load with a policy; the same seed gives the same requests.
func Play(l *Load, p sched.Policy, seed uint64) []Outcome {
	d := &day{
		load: l, s: sched.New(p), rng: rand.New(rand.NewPCG(seed, 7)),
		engines: map[string]*engine.Engine{}, stepped: map[string]bool{}, open: map[uint64]*request{},
		result: make([]Outcome, len(l.Kinds)),
	}
	d.s.SetServices(0, []sched.Service{{Name: service, Engine: true, Stride: l.Engines[0].Stride}})
	var list []sched.Server
	for i, spec := range l.Engines {
		id := fmt.Sprintf("e%02d", i)
		d.engines[id] = engine.New(spec)
		list = append(list, sched.Server{ID: id, Service: service, Slots: spec.Slots})
	}
	d.s.SetServers(0, list)
	d.at(0, d.arrive)
	d.at(tick, d.pass)
	for d.agenda.Len() > 0 {
		h := heap.Pop(&d.agenda).(happening)
		h.do(h.at)
	}
	return d.result
}

func (d *day) at(t time.Duration, do func(now time.Duration)) {
	d.seq++
	heap.Push(&d.agenda, happening{t, d.seq, do})
}

// pass lets time pass at the scheduler until all is answered.
func (d *day) pass(now time.Duration) {
	d.apply(now, d.s.Tick(now))
	if now < d.load.Lasts || len(d.open) > 0 {
		d.at(now+tick, d.pass)
	}
}

// size draws a lognormal size.
func (d *day) size(median, spread float64, most int) int {
	return min(most, 1+int(median*math.Exp(spread*d.rng.NormFloat64())))
}

// arrive brings a new request and plans the next one.
func (d *day) arrive(now time.Duration) {
	k := d.draw()
	kind := &d.load.Kinds[k]
	r := &request{
		kind: k, started: now, prompt: d.size(kind.Prompt, kind.PromptSpread, kind.PromptMost),
		output: d.size(kind.Output, kind.OutputSpread, kind.OutputMost),
	}
	r.hint = 1 + int(float64(r.output)*math.Exp(d.load.HintError*d.rng.NormFloat64()))
	d.result[k].Asked++
	d.result[k].sizes = append(d.result[k].sizes, r.size())
	gap := d.rng.ExpFloat64() / d.load.rate(now)
	if next := now + time.Duration(gap*float64(time.Second)); next < d.load.Lasts {
		d.at(next, d.arrive)
	}
	d.submit(now, r)
}

func (d *day) draw() int {
	x := d.rng.Float64()
	for k := range d.load.Kinds {
		if x -= d.load.Kinds[k].Share; x < 0 {
			return k
		}
	}
	return 0
}

func (d *day) submit(now time.Duration, r *request) {
	kind := &d.load.Kinds[r.kind]
	d.next++
	id := d.next
	d.open[id] = r
	deadline := r.started + kind.Deadline
	leaves := now + kind.Patience
	d.at(leaves, func(now time.Duration) { d.leave(now, id) })
	out, _ := d.s.Submit(now, sched.Request{
		Key: sched.Key{Holder: holder, ID: id}, Service: service, Priority: kind.Priority,
		PromptTokens: r.prompt, OutputTokens: r.hint, Arrived: now, LatencyTarget: now + kind.Aim,
		CallerTimeoutAt: leaves, Deadline: deadline, MaxPause: kind.MaxPause,
	})
	d.apply(now, out)
}

func (d *day) apply(now time.Duration, out []sched.Decision) {
	for _, o := range out {
		r := d.open[o.ID]
		if r == nil {
			continue
		}
		if o.Reason == 0 {
			r.running, r.placed = true, now
			id, server := o.ID, o.Server
			d.at(now+reach, func(now time.Duration) {
				d.engines[server].Submit(now, id, r.prompt, r.output)
				d.watch(server)
			})
			continue
		}
		delete(d.open, o.ID)
		d.refused(now, r, o.RetryAfter)
	}
}

// refused lets the caller come back once, when told.
func (d *day) refused(now time.Duration, r *request, after time.Duration) {
	left := r.started + d.load.Kinds[r.kind].Deadline - now
	if r.again || left <= 0 {
		d.result[r.kind].Refused++
		return
	}
	r.again = true
	d.at(now+min(after, time.Duration(returnMost*float64(left))), func(now time.Duration) { d.submit(now, r) })
}

// leave ends a request that has waited for longer than its caller does.
func (d *day) leave(now time.Duration, id uint64) {
	r := d.open[id]
	if r == nil || r.running {
		return
	}
	delete(d.open, id)
	d.result[r.kind].Left++
	d.apply(now, d.s.Withdraw(now, sched.Key{Holder: holder, ID: id}))
}

// watch plans the end of the step in progress at a server.
func (d *day) watch(server string) {
	at, busy := d.engines[server].Next()
	if !busy || d.stepped[server] {
		return
	}
	d.stepped[server] = true
	d.at(at, func(now time.Duration) {
		d.stepped[server] = false
		for _, ev := range d.engines[server].Step() {
			d.event(now+reach, ev)
		}
		d.watch(server)
	})
}

// event takes an event of a stream to its caller.
func (d *day) event(now time.Duration, ev engine.Event) {
	r := d.open[ev.ID]
	if r == nil {
		return
	}
	r.events++
	if r.events == 1 {
		r.first = now - r.placed
	} else {
		r.pause = max(r.pause, now-r.newest)
	}
	r.newest = now
	if ev.Ended {
		delete(d.open, ev.ID)
		d.ended(now, ev.ID, r)
	}
}

func (d *day) ended(now time.Duration, id uint64, r *request) {
	kind, out := &d.load.Kinds[r.kind], &d.result[r.kind]
	inTime := r.placed+r.first-r.started <= kind.Aim
	switch {
	case now > r.started+kind.Deadline:
		out.Cut++
	case inTime && r.pause <= kind.MaxPause:
		out.OnTime++
	default:
		out.Late++
		if inTime {
			out.Paused++
		}
	}
	if now <= r.started+kind.Deadline {
		out.whole = append(out.whole, r.size())
	}
	o := sched.Outcome{Key: sched.Key{Holder: holder, ID: id}, Result: sched.OK, FirstEvent: r.first}
	if now > r.started+kind.Deadline {
		o.Result = sched.CallerLeft
	}
	if r.events > 2 {
		stride := d.load.Engines[0].Stride
		o.TokenTime = (now - r.placed - r.first) / time.Duration((r.events-1)*stride)
	}
	d.apply(now, d.s.Finish(now, o))
}
