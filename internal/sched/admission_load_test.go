package sched

import (
	"container/heap"
	"encoding/binary"
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/gentianflow/gentianflow/internal/quarantine"
)

// overloadKind is a kind of request of an overload. Sizes of engine requests are means of exponential
// distributions; a plain call takes plainCall at an idle server.
type overloadKind struct {
	priority, prompt, output int
	latencyTarget, deadline  time.Duration
	callerTimeout            time.Duration // for the first event, 0 for none
	share                    float64       // of all requests at the usual load
}

// overloadKinds are the kinds that the callers of the overloaded deployments send.
var overloadKinds = []overloadKind{
	{0, 2900, 50, 500 * ms, 5 * time.Second, 4 * time.Second, 0.30},
	{1, 1800, 25, 400 * ms, 4 * time.Second, 0, 0.40},
	{2, 540, 280, 500 * ms, 15 * time.Second, 4 * time.Second, 0.30},
}

// plainKinds are the calls of a plain service.
var plainKinds = []overloadKind{{0, 0, 0, 300 * ms, 1500 * ms, 0, 0.5}, {0, 0, 0, 300 * ms, 3 * time.Second, 0, 0.5}}

const plainCall = 60 * ms

// overload is a load on one service: its rate in multiples of what the servers can serve, by kind and
// account as the time passes.
type overload struct {
	name     string
	plain    bool
	kinds    []overloadKind
	servers  int
	slots    int
	accounts int
	length   time.Duration
	factor   func(now Time, kind, account int) float64
	ignoring float64                // fraction of callers that return at once, whatever the refusal says
	usable   func(now Time) (n int) // servers that are listed
}

// overloadResult counts the outcomes of some callers.
type overloadResult struct {
	asked, inTime, answered, refused, refusals, left int
}

func (r overloadResult) onTime() float64 { return float64(r.inTime) / float64(max(1, r.asked)) }
func (r overloadResult) served() float64 { return float64(r.answered) / float64(max(1, r.asked)) }

// refusalsPerLoss is the number of refusals sent for each request that was refused in the end.
func (r overloadResult) refusalsPerLoss() float64 {
	return float64(r.refusals) / float64(max(1, r.refused))
}

func (r *overloadResult) add(o overloadResult) {
	r.asked += o.asked
	r.inTime += o.inTime
	r.answered += o.answered
	r.refused += o.refused
	r.refusals += o.refusals
	r.left += o.left
}

func (r overloadResult) String() string {
	return fmt.Sprintf("asked=%d inTime=%.3f answered=%.3f refusedInTheEnd=%d refusals=%d perLoss=%.2f left=%d", r.asked, r.onTime(), r.served(), r.refused, r.refusals, r.refusalsPerLoss(), r.left)
}

// overloadCaller is a caller with its request, which returns once after a refusal.
type overloadCaller struct {
	kind, account  int
	prompt, output int
	asked          Time
	ignores        bool
	returned       bool
	fingerprint    quarantine.Fingerprint
	holder         uint64
}

type overloadAttempt struct {
	*overloadCaller
	placed bool
}

// overloadSimulation plays an overload against a scheduler on a simulated clock.
type overloadSimulation struct {
	*overload
	s        *Scheduler
	events   eventQueue
	seed     uint64
	rng      *rand.Rand
	next     uint64
	open     map[Key]*overloadAttempt
	byKind   []overloadResult
	keeping  overloadResult
	ignored  overloadResult
	accounts []overloadResult
	onRefuse func(now Time, d Decision, a *overloadAttempt)
	// longestUnserved is the longest time for which an account or a kind asked without a placement.
	unserved        map[string]Time
	longestUnserved time.Duration
	change          []ForecastChange
}

var overloadSpeeds = []float64{0.6, 1.7, 1.7}

func newOverloadSimulation(o *overload, seed uint64, p Policy) *overloadSimulation {
	d := &overloadSimulation{
		overload: o, s: New(p), seed: seed, rng: rand.New(rand.NewPCG(seed, 3)), open: map[Key]*overloadAttempt{},
		byKind: make([]overloadResult, len(o.kinds)), accounts: make([]overloadResult, o.accounts), unserved: map[string]Time{},
		onRefuse: func(Time, Decision, *overloadAttempt) {},
	}
	d.s.SetServices(0, []Service{{Name: engine, Engine: !o.plain, KVTokens: 220_000, Stride: 5}})
	d.list(0)
	return d
}

func (d *overloadSimulation) list(now Time) {
	n := d.servers
	if d.usable != nil {
		n = d.usable(now)
	}
	var list []Server
	for i := range n {
		list = append(list, Server{ID: fmt.Sprintf("s%03d", i), Service: engine, Slots: d.slots})
	}
	d.s.SetServers(now, list)
}

// runTime returns the times of a run to its first event and for each token.
func (d *overloadSimulation) runTime(c *overloadCaller, server string) (first, tokenTime time.Duration) {
	var i int
	_, _ = fmt.Sscanf(server, "s%d", &i)
	speed := overloadSpeeds[i%3]
	if d.plain {
		return time.Duration((0.5 + d.rng.Float64()) * float64(plainCall)), 0
	}
	return time.Duration(2 * float64(c.prompt) / 39.3 / speed * float64(ms)), time.Duration(9 * float64(ms) / speed)
}

// capacity is how many requests a second the servers can serve at the usual shares of the kinds.
func (d *overloadSimulation) capacity() float64 {
	if d.plain {
		return float64(d.servers*d.slots) / plainCall.Seconds()
	}
	nominal := 0.0
	for _, k := range d.kinds {
		nominal += k.share * (2*float64(k.prompt)/39.3 + 9*float64(k.output)) / 1000
	}
	speed := 0.0
	for i := range d.servers {
		speed += overloadSpeeds[i%3]
	}
	return speed * float64(d.slots) / nominal
}

func (d *overloadSimulation) at(t Time, do func(Time)) { heap.Push(&d.events, simEvent{t, do}) }

func (d *overloadSimulation) arrive(kind, account int) func(Time) {
	const maxFactor = 30
	perSecond := d.capacity() * d.kinds[kind].share / float64(len(d.accounts)) * maxFactor
	// Arrivals draw from their own source, so that they are the same under each policy.
	rng := rand.New(rand.NewPCG(d.seed, uint64(100*kind+account)))
	var next func(Time)
	next = func(now Time) {
		if rng.Float64()*maxFactor < d.factor(now, kind, account) {
			c := &overloadCaller{kind: kind, account: account, asked: now, ignores: rng.Float64() < d.ignoring, holder: 1}
			c.prompt = int(rng.ExpFloat64() * float64(d.kinds[kind].prompt))
			if m := d.kinds[kind].output; m > 0 {
				c.output = 1 + int(rng.ExpFloat64()*float64(m))
			}
			binary.BigEndian.PutUint64(c.fingerprint[:], rng.Uint64())
			if rng.Float64() < 0.02 {
				c.fingerprint = quarantine.Fingerprint{byte(1 + account)} // identical to others of its account
			}
			d.count(c, func(r *overloadResult) { r.asked++ })
			d.submit(now, c)
		}
		if now < d.length {
			d.at(now+time.Duration(rng.ExpFloat64()*float64(time.Second)/perSecond), next)
		}
	}
	return next
}

func (d *overloadSimulation) count(c *overloadCaller, f func(*overloadResult)) {
	f(&d.byKind[c.kind])
	f(&d.accounts[c.account])
	if c.ignores {
		f(&d.ignored)
	} else {
		f(&d.keeping)
	}
}

func (d *overloadSimulation) submit(now Time, c *overloadCaller) {
	kind := d.kinds[c.kind]
	d.next++
	a := &overloadAttempt{overloadCaller: c}
	r := Request{
		Key: Key{Holder: c.holder, ID: d.next}, Service: engine, Account: fmt.Sprint("a", c.account), Priority: kind.priority,
		PromptTokens: c.prompt, OutputTokens: c.output, Arrived: now, LatencyTarget: now + kind.latencyTarget, Deadline: c.asked + kind.deadline,
		MaxPause: time.Second, Fingerprint: c.fingerprint,
	}
	if kind.callerTimeout > 0 {
		r.CallerTimeoutAt = now + kind.callerTimeout
		d.at(r.CallerTimeoutAt, func(now Time) { d.leave(now, r.Key) })
	}
	d.open[r.Key] = a
	for _, name := range []string{fmt.Sprint("kind ", c.kind), r.Account} {
		if _, asks := d.unserved[name]; !asks {
			d.unserved[name] = now
		}
	}
	out, _ := d.s.Submit(now, r)
	d.apply(now, out)
}

func (d *overloadSimulation) leave(now Time, k Key) {
	if a := d.open[k]; a != nil && !a.placed {
		delete(d.open, k)
		d.count(a.overloadCaller, func(r *overloadResult) { r.left++ })
		d.apply(now, d.s.Withdraw(now, k))
	}
}

func (d *overloadSimulation) apply(now Time, out []Decision) {
	for _, o := range out {
		a := d.open[o.Key]
		if o.Reason == 0 {
			a.placed = true
			for _, name := range []string{fmt.Sprint("kind ", a.kind), fmt.Sprint("a", a.account)} {
				if since, asks := d.unserved[name]; asks {
					d.longestUnserved = max(d.longestUnserved, now-since)
				}
				delete(d.unserved, name)
			}
			d.serve(now, o, a)
			continue
		}
		d.onRefuse(now, o, a)
		delete(d.open, o.Key)
		d.count(a.overloadCaller, func(r *overloadResult) { r.refusals++ })
		deadline := a.asked + d.kinds[a.kind].deadline
		if a.returned || now >= deadline {
			d.count(a.overloadCaller, func(r *overloadResult) { r.refused++ })
			continue
		}
		a.returned, a.holder = true, 3-a.holder
		delay := min(o.RetryAfter, (deadline-now)/3)
		if a.ignores {
			delay = 5 * ms
		}
		c := a.overloadCaller
		d.at(now+delay+time.Duration(d.rng.Float64()*float64(20*ms)), func(now Time) { d.submit(now, c) })
	}
}

func (d *overloadSimulation) serve(now Time, o Decision, a *overloadAttempt) {
	first, tokenTime := d.runTime(a.overloadCaller, o.Server)
	kind := d.kinds[a.kind]
	end := now + first + time.Duration(a.output)*tokenTime
	deadline := a.asked + kind.deadline
	d.at(min(end, deadline), func(at Time) {
		delete(d.open, o.Key)
		outcome := Outcome{Key: o.Key, Result: OK, FirstEvent: first, TokenTime: tokenTime}
		if end > deadline {
			outcome.Result = CallerLeft
			d.count(a.overloadCaller, func(r *overloadResult) { r.left++ })
		} else {
			d.count(a.overloadCaller, func(r *overloadResult) {
				r.answered++
				if now+first-a.asked <= kind.latencyTarget {
					r.inTime++
				}
			})
		}
		d.apply(at, d.s.Finish(at, outcome))
	})
}

func (d *overloadSimulation) run() {
	for kind := range d.kinds {
		for account := range d.accounts {
			d.at(0, d.arrive(kind, account))
		}
	}
	for tick := 10 * ms; tick < d.length+20*time.Second; tick += 10 * ms {
		d.at(tick, func(now Time) {
			if d.usable != nil && now%(100*ms) == 0 {
				d.list(now)
			}
			d.apply(now, d.s.Tick(now))
			d.change = append(d.change, d.s.TakeForecastChanges()...)
		})
	}
	for d.events.Len() > 0 {
		next := heap.Pop(&d.events).(simEvent)
		next.do(next.at)
	}
}

func (d *overloadSimulation) total() (t overloadResult) {
	for _, r := range d.byKind {
		t.add(r)
	}
	return t
}

// within returns a function that is high from 2 s on for a length of time, and low otherwise.
func within(now Time, length time.Duration, high, low float64) float64 {
	if now >= 2*time.Second && now < 2*time.Second+length {
		return high
	}
	return low
}

func overloads() []*overload {
	constant := func(f float64) func(Time, int, int) float64 { return func(Time, int, int) float64 { return f } }
	var list []*overload
	for kind := range overloadKinds {
		list = append(list, &overload{
			name: fmt.Sprintf("kind %d at 2.5 times for 6 s", kind), kinds: overloadKinds, servers: 30, slots: 6, accounts: 8, length: 14 * time.Second,
			factor: func(now Time, k, _ int) float64 {
				if k != kind {
					return 1
				}
				return within(now, 6*time.Second, 1*2.5, 1)
			},
		})
	}
	return append(list,
		&overload{
			name: "all kinds at 2.5 times for 6 s", kinds: overloadKinds, servers: 30, slots: 6, accounts: 8, length: 14 * time.Second,
			factor: func(now Time, _, _ int) float64 { return within(now, 6*time.Second, 1*2.5, 1) },
		},
		&overload{
			name: "all kinds at 4 times for 6 s", kinds: overloadKinds, servers: 30, slots: 6, accounts: 8, length: 14 * time.Second,
			factor: func(now Time, _, _ int) float64 { return within(now, 6*time.Second, 4, 0.8) },
		},
		&overload{
			name: "three accounts at once", kinds: overloadKinds, servers: 30, slots: 6, accounts: 16, length: 14 * time.Second,
			factor: func(now Time, _, account int) float64 {
				if account >= 3 {
					return 0.8
				}
				return within(now, 6*time.Second, 8, 0.8)
			},
		},
		&overload{
			name: "a third ignore Retry-After", kinds: overloadKinds, servers: 30, slots: 6, accounts: 8, length: 14 * time.Second, ignoring: 1.0 / 3,
			factor: func(now Time, _, _ int) float64 { return within(now, 6*time.Second, 1*2, 1) },
		},
		&overload{
			name: "a quarter of the engines gone for 5 s", kinds: overloadKinds, servers: 32, slots: 6, accounts: 8, length: 14 * time.Second,
			factor: constant(0.95),
			usable: func(now Time) int { return int(within(now, 5*time.Second, 24, 32)) },
		},
		&overload{
			name: "steady load just under capacity", kinds: overloadKinds, servers: 30, slots: 6, accounts: 8, length: 14 * time.Second,
			factor: constant(0.9),
		},
		&overload{
			name: "a plain service at twice its capacity", plain: true, kinds: plainKinds, servers: 4, slots: 6, accounts: 8, length: 12 * time.Second,
			factor: func(now Time, _, _ int) float64 { return within(now, 6*time.Second, 2, 0.8) },
		},
	)
}

func forecastPolicy() Policy {
	p := DefaultPolicy()
	p.ForecastAdmission, p.BookReturns = true, true
	return p
}

// comparison is the outcome of a load under the present rules and with forecasts and bookings, over the same seeds.
type comparison struct {
	before, after    overloadSums
	unservedFor      time.Duration // longest, with forecasts
	refusedWhileIdle int
	stats            ForecastStats
	beginnings, ends int // of refusals by forecast, as reported
}

type overloadSums struct {
	total, keeping, ignoring overloadResult
	kinds                    []overloadResult
}

func (s *overloadSums) add(d *overloadSimulation) {
	s.total.add(d.total())
	s.keeping.add(d.keeping)
	s.ignoring.add(d.ignored)
	if s.kinds == nil {
		s.kinds = make([]overloadResult, len(d.byKind))
	}
	for k, r := range d.byKind {
		s.kinds[k].add(r)
	}
}

const overloadSeeds = 3

// comparisons keeps the outcomes by load, as several specs look at the same one.
var comparisons = map[string]comparison{}

func compareOverload(o *overload) (c comparison) {
	key := fmt.Sprint(o.name, o.ignoring)
	if known, ok := comparisons[key]; ok {
		return known
	}
	defer func() { comparisons[key] = c }()
	for seed := range uint64(overloadSeeds) {
		d := newOverloadSimulation(o, seed, DefaultPolicy())
		d.run()
		c.before.add(d)
		d = newOverloadSimulation(o, seed, forecastPolicy())
		d.onRefuse = func(now Time, r Decision, a *overloadAttempt) {
			for _, srv := range d.s.services[engine].servers {
				if r.Reason == Overload && srv.running == 0 && srv.hasRoom(now, d.slots) {
					c.refusedWhileIdle++
				}
			}
			left := a.asked + d.kinds[a.kind].deadline - now
			Expect(r.RetryAfter).To(BeNumerically("<=", left/3+ms), "callers honor no more")
			Expect(r.RetryAfter).To(BeNumerically(">", 0))
		}
		d.run()
		c.after.add(d)
		c.unservedFor = max(c.unservedFor, d.longestUnserved)
		stats := d.s.ForecastStats()
		c.stats.Refused += stats.Refused
		c.stats.Right += stats.Right
		c.stats.Wrong += stats.Wrong
		c.stats.Kept += stats.Kept
		c.stats.Early += stats.Early
		c.stats.Late += stats.Late
		c.stats.MeanError += stats.MeanError / overloadSeeds
		for _, change := range d.change {
			if change.Refusing {
				c.beginnings++
			} else {
				c.ends++
			}
		}
		Expect(d.s.Waiting()).To(BeZero())
		Expect(d.s.bookings.size).To(BeZero(), "bookings expire")
		Expect(d.s.bookings.byFingerprint).To(BeEmpty())
	}
	for k := range c.before.kinds {
		fmt.Fprintf(GinkgoWriter, "FIG %s, kind %d: %v\nFIG %s, kind %d: %v\n", o.name, k, c.before.kinds[k], o.name, k, c.after.kinds[k])
	}
	fmt.Fprintf(GinkgoWriter, "FIG %s, all: %v\nFIG %s, all: %v\n", o.name, c.before.total, o.name, c.after.total)
	if o.ignoring > 0 {
		fmt.Fprintf(GinkgoWriter, "FIG keeping: %v\nFIG keeping: %v\nFIG ignoring: %v\nFIG ignoring: %v\n", c.before.keeping, c.after.keeping, c.before.ignoring, c.after.ignoring)
	}
	fmt.Fprintf(GinkgoWriter, "FIG unserved %v, changes %d/%d, %+v\n", c.unservedFor, c.beginnings, c.ends, c.stats)
	return c
}

// Under the loads below, callers return once after a refusal, at the moment that it states but after no more than a
// third of their time left, through another entry host. Each load is played with three seeds under the present
// rules and with forecasts and bookings. Requests are in time if their first event comes within the
// latency target of their caller's first attempt.
var _ = Describe("admission by forecast with booked returns", func() {
	// No kind may lose requests, in time or at all, but for chance; the most urgent kind may lose 0.01 in time.
	for _, o := range overloads() {
		It("is no worse than the present rules: "+o.name, func() {
			c := compareOverload(o)
			Expect(c.refusedWhileIdle).To(BeZero(), "refused while a server had no run")
			Expect(c.unservedFor).To(BeNumerically("<", 2*time.Second), "an account or a kind got nothing")
			Expect(c.after.kinds[0].onTime()).To(BeNumerically(">", c.before.kinds[0].onTime()-0.01))
			Expect(c.after.total.onTime()).To(BeNumerically(">", c.before.total.onTime()-0.01))
			Expect(c.after.total.served()).To(BeNumerically(">", c.before.total.served()-0.02))
			noWorse := func(after, before float64, n int, what string, kind int) {
				Expect(after).To(BeNumerically(">=", before-chance(before, n)), "%s, kind %d", what, kind)
			}
			for k, before := range c.before.kinds {
				after := c.after.kinds[k]
				noWorse(after.onTime(), before.onTime(), before.asked, "in time", k)
				noWorse(after.served(), before.served(), before.asked, "answered", k)
				Expect(after.left).To(BeNumerically("<=", before.left+after.asked/300), "runs that ended after the deadline, kind %d", k)
			}
			Expect(float64(c.after.total.refusals)).To(BeNumerically("<=", 10+0.97*float64(c.before.total.refusals)))
			Expect(c.beginnings).To(Equal(c.ends), "each start of refusals has an end")
		})
	}

	It("refuses nothing under a steady load just under the capacity", func() {
		d := newOverloadSimulation(findOverload("steady load just under capacity"), 7, forecastPolicy())
		d.run()
		Expect(d.total().refusals).To(BeZero())
	})

	It("sends fewer refusals where callers may wait until their deadline", func() {
		c := compareOverload(findOverload("a plain service at twice its capacity"))
		Expect(float64(c.after.total.refusals)).To(BeNumerically("<", 0.9*float64(c.before.total.refusals)))
		Expect(c.after.total.refusalsPerLoss()).To(BeNumerically("<", c.before.total.refusalsPerLoss()-0.3))
		Expect(c.after.total.onTime()).To(BeNumerically(">", c.before.total.onTime()+0.1))
	})

	// Whoever is refused twice is lost, so the refusals are twice the lost requests plus those that were served on
	// their return. The lost ones fall here by more than the refusals do.
	It("loses fewer callers in a long overload of all kinds", func() {
		for _, name := range []string{"all kinds at 2.5 times for 6 s", "all kinds at 4 times for 6 s", "three accounts at once"} {
			c := compareOverload(findOverload(name))
			Expect(float64(c.after.total.refused)).To(BeNumerically("<", 0.85*float64(c.before.total.refused)), name)
		}
	})

	It("rewards those who keep to their moment over those who ignore it", func() {
		o := findOverload("a third ignore Retry-After")
		c := compareOverload(o)
		Expect(c.after.ignoring.served()).To(BeNumerically("<", c.after.keeping.served()-0.03))
		Expect(c.after.ignoring.served()).To(BeNumerically("<", c.before.ignoring.served()), "ignoring gains nothing")
		Expect(c.after.keeping.served()).To(BeNumerically(">", c.before.keeping.served()-0.01))
		Expect(c.after.keeping.onTime()).To(BeNumerically(">", c.before.keeping.onTime()))
		// With everyone keeping to their moment, the callers that kept to theirs above fare no better.
		all := *o
		all.ignoring = 0
		honest := compareOverload(&all)
		Expect(c.after.keeping.served()).To(BeNumerically(">", honest.after.keeping.served()-0.01), "others' early returns cost them nothing")
	})
})

// chance is two standard errors of the difference between two shares of n requests each, around p. Two plays
// of a load with different decisions differ by it without either being better. It is 0.02 at most.
func chance(p float64, n int) float64 {
	return min(0.02, 2*math.Sqrt(2*p*(1-p)/float64(max(1, n))))
}

func findOverload(name string) *overload {
	for _, o := range overloads() {
		if o.name == name {
			return o
		}
	}
	panic("unknown load " + name)
}
