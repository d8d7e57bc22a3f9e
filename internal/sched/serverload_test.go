package sched

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/gentianflow/gentianflow/internal/serverload"
)

// unevenSimulation plays requests against servers whose speed changes, on a simulated clock. Servers
// admit requests in order of arrival, and report their load with the head of each answer.
type unevenSimulation struct {
	s       *Scheduler
	events  eventQueue
	rng     *rand.Rand
	next    uint64
	servers map[string]*unevenServer
	pending map[uint64]*Request
	silent  bool // servers report nothing

	arrived, inTime, failed int
	latencies               []time.Duration
	placements              map[string][]Time
	reports                 map[string][]Time // times of receipt of reports of more than twice the usual time
}

type unevenServer struct {
	id       string
	slots    int
	running  int
	queue    []func(now Time)
	speed    float64                // 1: nominal
	slowdown func(now Time) float64 // nil: 1
}

func (v *unevenServer) slowAt(now Time) float64 {
	if v.slowdown == nil {
		return 1
	}
	return v.slowdown(now)
}

// lasts is how long work takes that begins now and usually takes d.
func (v *unevenServer) lasts(now Time, d time.Duration) time.Duration {
	const step = 2 * ms
	at, left := now, float64(d)/v.speed
	for left > 0 {
		left -= float64(step) / v.slowAt(at)
		at += step
	}
	return at - now
}

func newUnevenSimulation(seed uint64, services []Service, list []Server, live bool) *unevenSimulation {
	p := DefaultPolicy()
	p.LiveLoad = live
	d := &unevenSimulation{
		s: New(p), rng: rand.New(rand.NewPCG(seed, 7)), servers: map[string]*unevenServer{}, pending: map[uint64]*Request{},
		placements: map[string][]Time{}, reports: map[string][]Time{},
	}
	d.s.SetServices(0, services)
	d.s.SetServers(0, list)
	for _, spec := range list {
		d.servers[spec.ID] = &unevenServer{id: spec.ID, slots: spec.Slots, speed: 1}
	}
	return d
}

// unevenCalls is a plain service of 4 servers with 6 slots.
func unevenCalls(seed uint64, live bool) *unevenSimulation {
	var list []Server
	for i := range 4 {
		list = append(list, Server{ID: fmt.Sprint("p", i), Service: plain, Slots: 6})
	}
	return newUnevenSimulation(seed, []Service{{Name: plain}}, list, live)
}

// unevenEngines is a service of n engines of 6 slots, a third of which run at 0.6 and the others at
// 1.7 of the nominal speed.
func unevenEngines(seed uint64, n int, live bool) *unevenSimulation {
	var list []Server
	for i := range n {
		list = append(list, Server{ID: fmt.Sprintf("e%04d", i), Service: engine, Slots: 6})
	}
	d := newUnevenSimulation(seed, []Service{{Name: engine, Engine: true, KVTokens: 220_000, Stride: 5}}, list, live)
	for i := range n {
		d.servers[fmt.Sprintf("e%04d", i)].speed = []float64{0.6, 1.7, 1.7}[i%3]
	}
	return d
}

func (d *unevenSimulation) at(t Time, do func(Time)) { heap.Push(&d.events, simEvent{t, do}) }

// arrivals submits requests at a rate until an end.
func (d *unevenSimulation) arrivals(perSecond float64, until Time, draw func(now Time) Request) {
	var arrive func(now Time)
	arrive = func(now Time) {
		d.next++
		r := draw(now)
		r.Key, r.Arrived = Key{Holder: 1 + d.next%8, ID: d.next}, now
		d.arrived++
		d.pending[r.ID] = &r
		out, _ := d.s.Submit(now, r)
		d.apply(now, out)
		if now < until {
			d.at(now+time.Duration(d.rng.ExpFloat64()*float64(time.Second)/perSecond), arrive)
		}
	}
	d.at(0, arrive)
}

func (d *unevenSimulation) apply(now Time, out []Decision) {
	for _, o := range out {
		r := d.pending[o.ID]
		if o.Reason != 0 {
			delete(d.pending, o.ID)
			d.failed++
			continue
		}
		v := d.servers[o.Server]
		d.placements[o.Server] = append(d.placements[o.Server], now)
		d.at(now+ms, func(sent Time) { // on the way
			if v.running < v.slots {
				d.start(sent, v, r, sent)
				return
			}
			v.queue = append(v.queue, func(now Time) { d.start(now, v, r, sent) })
		})
	}
}

const (
	callWork        = 60 * ms
	simTokenTime    = 6500 * time.Microsecond
	simPrefillRatio = 1.0 / 250
)

// start begins a run of a request that was sent to the server at a time.
func (d *unevenSimulation) start(now Time, v *unevenServer, r *Request, sent Time) {
	v.running++
	if r.Service == plain {
		took := v.lasts(now, time.Duration(float64(callWork)*(0.8+0.4*d.rng.Float64())))
		d.at(now+took, func(now Time) {
			d.report(now, v)
			d.end(now, v, r, now, now-sent, 0)
		})
		return
	}
	first := v.lasts(now, time.Duration(float64(r.PromptTokens)*simPrefillRatio*float64(simTokenTime))+simTokenTime)
	rest := v.lasts(now+first, time.Duration(r.OutputTokens)*simTokenTime)
	d.at(now+first, func(now Time) { d.report(now, v) })
	d.at(now+first+rest, func(end Time) {
		d.end(end, v, r, now+first, now+first-sent, rest/time.Duration(max(1, r.OutputTokens)))
	})
}

// report sends the server's load. Reports are on the way for up to an interval of flushes and a round
// trip.
func (d *unevenSimulation) report(now Time, v *unevenServer) {
	if d.silent {
		return
	}
	r := serverload.Report{Running: v.running, Waiting: len(v.queue), Slots: v.slots, Slowdown: v.slowAt(now)}
	age := 2*ms + time.Duration(d.rng.Int64N(int64(52*ms)))
	if r.Slowdown > 2 {
		d.reports[v.id] = append(d.reports[v.id], now)
	}
	d.at(now+age, func(now Time) { d.s.LearnLoads(now, []serverload.Record{{Server: v.id, Report: r, Age: age}}) })
}

func (d *unevenSimulation) end(now Time, v *unevenServer, r *Request, firstAt Time, first, tokenTime time.Duration) {
	delete(d.pending, r.ID)
	v.running--
	if firstAt <= r.LatencyTarget && now <= r.Deadline {
		d.inTime++
	}
	d.latencies = append(d.latencies, firstAt-r.Arrived)
	if len(v.queue) > 0 {
		next := v.queue[0]
		v.queue = v.queue[1:]
		next(now)
	}
	d.at(now+ms, func(now Time) { // on the way
		d.apply(now, d.s.Finish(now, Outcome{Key: r.Key, Result: OK, FirstEvent: first, TokenTime: tokenTime}))
	})
}

func (d *unevenSimulation) run(until Time) {
	for tick := 10 * ms; tick < until; tick += 10 * ms {
		d.at(tick, func(now Time) { d.apply(now, d.s.Tick(now)) })
	}
	for d.events.Len() > 0 {
		next := heap.Pop(&d.events).(simEvent)
		next.do(next.at)
	}
}

func (d *unevenSimulation) onTime() float64 { return float64(d.inTime) / float64(d.arrived) }

func (d *unevenSimulation) percentile(p float64) time.Duration {
	sorted := slices.Sorted(slices.Values(d.latencies))
	return sorted[int(p*float64(len(sorted)-1))]
}

// placedBetween counts the placements at a server in a span of time.
func (d *unevenSimulation) placedBetween(server string, from, to Time) (n int) {
	for _, at := range d.placements[server] {
		if at >= from && at < to {
			n++
		}
	}
	return n
}

func lookupCall(now Time) Request {
	return Request{Service: plain, Account: "acc", LatencyTarget: now + 300*ms, Deadline: now + 1500*ms}
}

// engineRequest draws one of the kinds of engine requests of the deployments.
func (d *unevenSimulation) engineRequest(now Time) Request {
	kinds := []Request{
		{Priority: 0, PromptTokens: 2900, OutputTokens: 50, LatencyTarget: 500 * ms, Deadline: 5 * time.Second, MaxPause: 300 * ms},
		{Priority: 1, PromptTokens: 1800, OutputTokens: 25, LatencyTarget: 400 * ms, Deadline: 3 * time.Second, MaxPause: 300 * ms},
		{Priority: 2, PromptTokens: 540, OutputTokens: 280, LatencyTarget: 300 * ms, Deadline: 15 * time.Second, MaxPause: 500 * ms},
	}
	r := kinds[d.rng.IntN(3)]
	r.Service, r.Account = engine, "acc"
	r.PromptTokens = 1 + int(float64(r.PromptTokens)*(0.5+d.rng.Float64()))
	r.OutputTokens = 1 + int(float64(r.OutputTokens)*(0.5+d.rng.Float64()))
	r.LatencyTarget += now
	r.Deadline += now
	return r
}

// slowBetween is a slow period.
func slowBetween(factor float64, from, to Time) func(Time) float64 {
	return func(now Time) float64 {
		if now >= from && now < to {
			return factor
		}
		return 1
	}
}

func both(play func(live bool) *unevenSimulation) (with, without *unevenSimulation) {
	with, without = play(true), play(false)
	fmt.Fprintf(GinkgoWriter, "with reports: in time %.3f p50 %v p99 %v failed %d moved %d; without: in time %.3f p50 %v p99 %v failed %d\n",
		with.onTime(), with.percentile(0.5), with.percentile(0.99), with.failed, with.s.loads.movedAway,
		without.onTime(), without.percentile(0.5), without.percentile(0.99), without.failed)
	return with, without
}

var _ = Describe("a plain service of which one server is three times slower for 5 s", func() {
	// Without reports the slow server got as many calls as the others, as far as its slots allowed.
	for _, load := range []float64{0.4, 0.7} {
		It(fmt.Sprintf("sends most calls to the others at a load of %g", load), func() {
			with, without := both(func(live bool) *unevenSimulation {
				d := unevenCalls(1, live)
				d.servers["p0"].slowdown = slowBetween(3, time.Second, 6*time.Second)
				d.arrivals(load*24/callWork.Seconds(), 7*time.Second, lookupCall)
				d.run(9 * time.Second)
				return d
			})
			slow := func(d *unevenSimulation) int { return d.placedBetween("p0", 1200*ms, 6*time.Second) }
			fmt.Fprintf(GinkgoWriter, "calls at the slow server %d, without reports %d\n", slow(with), slow(without))
			Expect(with.onTime()).To(BeNumerically(">=", without.onTime()))
			Expect(with.percentile(0.95)).To(BeNumerically("<", without.percentile(0.95)))
			Expect(with.failed).To(BeNumerically("<=", without.failed))
			Expect(slow(with)).To(BeNumerically("<", slow(without)))
		})
	}
})

var _ = Describe("a plain service that needs all of its slots", func() {
	// The slow server's slots are needed too. When the usual duration of a call replaced the real one in what
	// a request may wait, calls were placed just too late: 0.64 in time of what is 0.67 now.
	It("answers as many callers in time although it knows that a server is slow", func() {
		const seeds = 10
		for _, load := range []float64{0.9, 1.3} {
			with, without := 0.0, 0.0
			for seed := range uint64(seeds) {
				for live, sum := range map[bool]*float64{true: &with, false: &without} {
					d := unevenCalls(seed, live)
					d.servers["p0"].slowdown = slowBetween(3, time.Second, 6*time.Second)
					d.arrivals(load*24/callWork.Seconds(), 7*time.Second, lookupCall)
					d.run(12 * time.Second)
					*sum += d.onTime() / seeds
				}
			}
			fmt.Fprintf(GinkgoWriter, "load %g: in time %.3f, without reports %.3f\n", load, with, without)
			Expect(with).To(BeNumerically(">", without))
		}
	})
})

var _ = Describe("a server that is slow for 600 ms", func() {
	const from, to, seeds = 2 * time.Second, 2600 * ms, 20
	play := func(seed uint64, factor float64) *unevenSimulation {
		d := unevenCalls(seed, true)
		d.servers["p0"].slowdown = slowBetween(factor, from, to)
		d.arrivals(0.5*24/callWork.Seconds(), 4*time.Second, lookupCall)
		d.run(5 * time.Second)
		return d
	}

	// A slow period that is noticed or forgotten after as long as it lasts is of no use to callers. A
	// server that is f times slower can carry 1/f of its usual calls as well as the others theirs.
	for _, factor := range []float64{2.5, 3, 5, 10} {
		It(fmt.Sprintf("is avoided within 100 ms of its first report and used again within 200 ms of its end: %g times slower", factor), func() {
			usual, avoided, latest := 0.0, 0.0, time.Duration(0)
			for seed := range uint64(seeds) {
				d := play(seed, factor)
				first := d.reports["p0"][0]
				usual += float64(d.placedBetween("p0", time.Second, from)) / (from - time.Second).Seconds() / seeds
				avoided += float64(d.placedBetween("p0", first+100*ms, to)) / (to - first - 100*ms).Seconds() / seeds
				again, _ := slices.BinarySearch(d.placements["p0"], to)
				latest = max(latest, d.placements["p0"][again]-to)
				Expect(d.onTime()).To(BeNumerically(">", 0.985))
			}
			fmt.Fprintf(GinkgoWriter, "calls a second: usually %.1f, while slow %.1f; used again after at most %v\n", usual, avoided, latest)
			Expect(avoided).To(BeNumerically("<", usual/factor))
			Expect(latest).To(BeNumerically("<=", 200*ms))
		})
	}
})

var _ = Describe("servers that are slow for 600 ms in every second", func() {
	// Calls of 300 ms are late. A placement by averages would avoid such servers always or never.
	It("serve more callers in time at a plain service", func() {
		with, without := both(func(live bool) *unevenSimulation {
			d := unevenCalls(2, live)
			for i := range 2 {
				shift := time.Duration(i) * 500 * ms
				d.servers[fmt.Sprint("p", i)].slowdown = func(now Time) float64 {
					if (now+shift)%time.Second < 600*ms {
						return 5
					}
					return 1
				}
			}
			d.arrivals(0.45*24/callWork.Seconds(), 8*time.Second, lookupCall)
			d.run(10 * time.Second)
			return d
		})
		Expect(with.onTime()).To(BeNumerically(">", without.onTime()))
		Expect(with.percentile(0.9)).To(BeNumerically("<", without.percentile(0.9)))
	})

	It("serve more callers in time at 90 engines of unlike speed", func() {
		with, without := both(func(live bool) *unevenSimulation {
			d := unevenEngines(3, 90, live)
			for i := range 30 {
				shift := time.Duration(i) * 33 * ms
				d.servers[fmt.Sprintf("e%04d", 3*i+1)].slowdown = func(now Time) float64 {
					if (now+shift)%time.Second < 600*ms {
						return 3
					}
					return 1
				}
			}
			d.arrivals(600, 5*time.Second, d.engineRequest)
			d.run(10 * time.Second)
			return d
		})
		Expect(with.onTime()).To(BeNumerically(">=", without.onTime()))
		Expect(with.percentile(0.9)).To(BeNumerically("<", without.percentile(0.9)))
	})
})

// reportAt applies one report of a server that a scheduler received a time ago.
func reportAt(s *Scheduler, now Time, server string, age time.Duration, r serverload.Report) []serverload.Record {
	return s.LearnLoads(now, []serverload.Record{{Server: server, Report: r, Age: age}})
}

func slowReport(factor float64) serverload.Report {
	return serverload.Report{Running: 1, Slots: 4, Slowdown: factor}
}

// newLiveScheduler is newScheduler with the use of load reports switched on.
func newLiveScheduler(n, slots int) *Scheduler {
	s := newScheduler(n, slots)
	s.policy.LiveLoad = true
	return s
}

var _ = Describe("a load report", func() {
	// Reports come late, twice, from hosts that were frozen and from servers with faults. None of these
	// may keep requests from a server for longer than a second, or all requests at one.
	It("counts half after 300 ms and for nothing after one second", func() {
		s := newLiveScheduler(2, 4)
		srv := s.servers["e0"]
		reportAt(s, time.Second, "e0", 0, slowReport(3))
		Expect(srv.slowdown(time.Second)).To(Equal(3.0))
		Expect(srv.slowdown(1300 * ms)).To(BeNumerically("~", 2, 0.001))
		Expect(srv.slowdown(2 * time.Second)).To(Equal(1.0))
	})

	It("gives way to a newer one, whichever arrives last", func() {
		s := newLiveScheduler(2, 4)
		reportAt(s, time.Second, "e0", 0, slowReport(1))
		reportAt(s, 1020*ms, "e0", 50*ms, slowReport(5))
		Expect(s.servers["e0"].slowdown(1020 * ms)).To(Equal(1.0))
		reportAt(s, 1030*ms, "e0", 5*ms, slowReport(5))
		Expect(s.servers["e0"].slowdown(1030 * ms)).To(BeNumerically(">", 4.9))
	})

	DescribeTable("that is false is not believed, or has a bounded effect",
		func(age time.Duration, r serverload.Report, atMost float64) {
			s := newLiveScheduler(2, 4)
			for i := range 5 {
				reportAt(s, time.Second+Time(i)*50*ms, "e0", age, r)
			}
			now := 1250 * ms
			Expect(s.servers["e0"].slowdown(now)).To(And(BeNumerically(">=", 0.5), BeNumerically("<=", atMost)))
			Expect(s.concurrencyLimit(s.services[engine], s.servers["e0"])).To(BeNumerically(">=", 1))
			for id := range uint64(8) { // both servers are still used when all slots are needed
				s.Submit(now, stream(id, now, 0))
			}
			s.Tick(3 * time.Second)
			Expect(s.servers["e0"].running + s.servers["e1"].running).To(Equal(8))
		},
		Entry("100 hours old", 100*time.Hour, slowReport(3), 1.0),
		Entry("older than the scheduler", 10*time.Second, slowReport(3), 1.0),
		Entry("from the future", -time.Hour, slowReport(3), 3.0),
		Entry("a slowdown of 0", time.Duration(0), slowReport(0), 1.0),
		Entry("a negative slowdown", time.Duration(0), slowReport(-3), 1.0),
		Entry("a huge slowdown", time.Duration(0), slowReport(1e9), 20.0),
		Entry("a tiny slowdown", time.Duration(0), slowReport(1e-9), 1.0),
		Entry("negative counts", time.Duration(0), serverload.Report{Running: -5, Waiting: -5, Slots: -5, Slowdown: 3}, 1.0),
		Entry("huge counts", time.Duration(0), serverload.Report{Running: 1 << 30, Slots: 1 << 30, Slowdown: 1}, 1.0),
		Entry("more requests than it has slots", time.Duration(0), serverload.Report{Running: 1000, Waiting: 1000, Slots: 4, Slowdown: 1}, 1.0),
	)

	It("of an earlier incarnation concerns no other server", func() {
		s := newLiveScheduler(2, 4)
		reportAt(s, time.Second, "e0", 0, slowReport(3))
		s.SetServers(time.Second, []Server{{ID: "e0-restarted", Service: engine, Address: "e0", Slots: 4}})
		Expect(s.servers["e0-restarted"].slowdown(time.Second)).To(Equal(1.0))
		reportAt(s, time.Second, "e0", 0, slowReport(3))
		Expect(s.servers["e0-restarted"].slowdown(time.Second)).To(Equal(1.0))
		Expect(s.servers).To(HaveLen(1))
	})

	It("changes nothing while the policy is off", func() {
		s := newScheduler(2, 4)
		Expect(reportAt(s, time.Second, "e0", 0, slowReport(9))).To(BeEmpty())
		Expect(s.servers["e0"].slowdown(time.Second)).To(Equal(1.0))
		Expect(s.LoadStats()).To(BeZero())
	})

	// With each report of each host an event, a slow period would fill the log.
	It("is logged when a server becomes slow, at most once a second", func() {
		s := newLiveScheduler(2, 4)
		events := 0
		for now := time.Second; now < 4*time.Second; now += 10 * ms {
			events += len(reportAt(s, now, "e0", 0, slowReport([]float64{1, 3}[int(now/(50*ms))%2])))
		}
		Expect(events).To(BeNumerically("<=", 3))
		Expect(events).To(BeNumerically(">=", 2))
		Expect(s.LoadStats().Received).To(Equal(uint64(300)))
		reportAt(s, 4*time.Second, "e0", 0, slowReport(3))
		Expect(s.LoadStats().Slowed).To(Equal(1))
	})
})

var _ = Describe("the slots of a server that others use too", func() {
	limit := func(s *Scheduler) int { return s.concurrencyLimit(s.services[engine], s.servers["e0"]) }
	busy := func(n int) serverload.Report { return serverload.Report{Running: n, Slots: 6, Slowdown: 1} }

	// Servers that state no slowdown share their machines with nobody. What they run beyond the runs of the
	// scheduler has just ended there or was placed by another home, and the slots would be lost to both.
	It("are not taken away at a server that states no slowdown", func() {
		s := newLiveScheduler(1, 6)
		for now := time.Second; now < 2*time.Second; now += 100 * ms {
			reportAt(s, now, "e0", 0, serverload.Report{Running: 4, Slots: 6})
			Expect(limit(s)).To(Equal(6))
		}
	})

	It("are left to them once two reports show it, and come back when reports age", func() {
		s := newLiveScheduler(1, 6)
		reportAt(s, time.Second, "e0", 0, busy(4))
		Expect(limit(s)).To(Equal(6), "one report is not enough")
		reportAt(s, 1100*ms, "e0", 0, busy(3))
		Expect(limit(s)).To(Equal(3))
		reportAt(s, 1200*ms, "e0", 0, busy(9))
		reportAt(s, 1300*ms, "e0", 0, busy(9))
		Expect(limit(s)).To(Equal(3), "the least of the reports counts")
		reportAt(s, 1400*ms, "e0", 0, busy(0))
		Expect(limit(s)).To(Equal(6))
		for _, now := range []Time{1500 * ms, 1600 * ms} {
			reportAt(s, now, "e0", 0, busy(50))
		}
		Expect(limit(s)).To(Equal(1), "one request at a time shows whether they are free again")
		s.Tick(1700 * ms)
		Expect(limit(s)).To(Equal(1))
		s.Tick(2700 * ms)
		Expect(limit(s)).To(Equal(6))
	})

	// The figure is that of the moment at which the answer left the server. Runs of this scheduler that
	// began or ended meanwhile are not others'.
	It("are not mistaken for its own while requests are on the way", func() {
		d := unevenEngines(5, 18, true)
		lowest := 6
		for tick := 10 * ms; tick < 5*time.Second; tick += 10 * ms {
			d.at(tick, func(Time) {
				for _, srv := range d.s.servers {
					lowest = min(lowest, d.s.concurrencyLimit(d.s.services[engine], srv))
				}
			})
		}
		d.arrivals(220, 4*time.Second, d.engineRequest)
		d.run(8 * time.Second)
		Expect(lowest).To(Equal(6))
		Expect(d.s.LoadStats().Received).To(BeNumerically(">", 500))
	})

	It("are halved for a moment when the server is full and rejects, and grow as it answers", func() {
		s := newLiveScheduler(1, 6)
		for id := range uint64(6) {
			s.Submit(time.Second, stream(id, time.Second, 0))
		}
		full := serverload.Report{Running: 6, Waiting: 2, Slots: 6}
		reportAt(s, 1010*ms, "e0", 0, full)
		finish(s, 1010*ms, 0, Rejected)
		finish(s, 1010*ms, 1, Rejected)
		Expect(limit(s)).To(Equal(3), "rejections of requests that were placed together count once")
		finish(s, 1050*ms, 2, OK)
		finish(s, 1060*ms, 3, OK)
		Expect(limit(s)).To(BeNumerically(">", 3))
		s.Tick(2100 * ms)
		Expect(limit(s)).To(Equal(6))
	})

	It("are not halved for a rejection by a server that is not full", func() {
		s := newLiveScheduler(1, 6)
		s.Submit(time.Second, stream(0, time.Second, 0))
		reportAt(s, 1010*ms, "e0", 0, busy(1))
		finish(s, 1010*ms, 0, Rejected)
		Expect(limit(s)).To(Equal(6))
	})

	It("are no matter to a host that schedules alone, which has a share of them", func() {
		s := newLiveScheduler(1, 6)
		s.SetShare(0, Share{Servers: 0.5, Quotas: 1, RateLimits: 1})
		for _, now := range []Time{1500 * ms, 1600 * ms} {
			reportAt(s, now, "e0", 0, busy(6))
		}
		Expect(limit(s)).To(Equal(3))
	})
})

var _ = Describe("what is learned of a server that is slow for a moment", func() {
	// A token time that was learned in a slow moment kept requests from an engine for seconds after it.
	It("is its usual token time", func() {
		learned := func(live bool) time.Duration {
			d := unevenEngines(1, 3, live)
			for _, v := range d.servers {
				v.speed = 1
			}
			d.servers["e0000"].slowdown = slowBetween(3, time.Second, 3*time.Second)
			d.arrivals(12, 3*time.Second, d.engineRequest)
			highest := time.Duration(0)
			for tick := 10 * ms; tick < 6*time.Second; tick += 10 * ms {
				d.at(tick, func(Time) { highest = max(highest, d.s.servers["e0000"].tokenTime) })
			}
			d.run(8 * time.Second)
			return highest
		}
		with, without := learned(true), learned(false)
		fmt.Fprintf(GinkgoWriter, "highest token time learned: with reports %v, without %v, usual %v\n", with, without, simTokenTime)
		Expect(with).To(BeNumerically("<", 1.6*float64(simTokenTime)))
		Expect(without).To(BeNumerically(">", 2*float64(simTokenTime)))
	})

	It("is the usual duration of a plain call", func() {
		callTime := func(live bool) time.Duration {
			d := unevenCalls(1, live)
			for _, v := range d.servers {
				v.slowdown = slowBetween(3, time.Second, 4*time.Second)
			}
			d.arrivals(60, 4*time.Second, lookupCall)
			d.run(6 * time.Second)
			return d.s.services[plain].usualCallTime()
		}
		Expect(callTime(true)).To(BeNumerically("~", callWork, callWork/4))
		Expect(callTime(false)).To(BeNumerically(">", 2*callWork))
	})
})

var _ = Describe("hosts that schedule alone", func() {
	// All of them have the same figures, of which one server looks best. Each placed its next request
	// there, and together they overran it.
	It("don't all choose the server that looks best", func() {
		const hosts, servers = 90, 6
		for _, age := range []time.Duration{0, 300 * ms, 900 * ms} {
			chosen := map[string]int{}
			for host := range uint64(hosts) {
				s := New(DefaultPolicy())
				s.policy.LiveLoad = true
				s.SetOwner(host*7919 + 1)
				s.SetServices(0, []Service{{Name: plain}})
				s.SetShare(0, Share{Servers: 1.0 / 3, Quotas: 1, RateLimits: 1})
				var list []Server
				for i := range servers {
					list = append(list, Server{ID: fmt.Sprint("p", i), Service: plain, Slots: 6})
				}
				s.SetServers(0, list)
				for i := range servers {
					reportAt(s, 2*time.Second, fmt.Sprint("p", i), age, serverload.Report{Slots: 6, Slowdown: []float64{0.5, 1, 1, 1, 1, 3}[i]})
				}
				r := lookupCall(2 * time.Second)
				r.Key, r.Arrived = Key{Holder: host, ID: 1}, 2*time.Second
				out, _ := s.Submit(2*time.Second, r)
				chosen[out[0].Server]++
			}
			fmt.Fprintf(GinkgoWriter, "age %v: %v\n", age, chosen)
			for server, n := range chosen {
				Expect(n).To(BeNumerically("<=", 2*hosts/(servers-1)), "%s at age %v", server, age)
			}
			if age == 0 {
				Expect(chosen["p5"]).To(BeZero())
			}
		}
	})
})

var _ = Describe("load reports of thousands of servers", func() {
	// A rebuild of the index for each report would cost more than all decisions together.
	for _, n := range []int{90, 2890} {
		It(fmt.Sprintf("neither rebuild the index nor make decisions look at more servers: %d", n), func() {
			s, next := unlikeEngines(n, 2)
			usual := looksPerDecision(s, next)
			s, next = unlikeEngines(n, 2)
			s.policy.LiveLoad = true
			next++
			s.Submit(0, patient(next)) // builds the index
			svc := s.services[engine]
			for i := range n {
				reportAt(s, 0, fmt.Sprint("e", i), 0, serverload.Report{Running: 2, Slots: 4, Slowdown: []float64{1, 1.4, 3}[i%7%3]})
				Expect(svc.index.outdated).To(BeFalse())
			}
			looks := looksPerDecision(s, next)
			fmt.Fprintf(GinkgoWriter, "looks %.1f, without reports %.1f\n", looks, usual)
			Expect(looks).To(BeNumerically("<=", 1.1*usual))
		})
	}

	It("keep requests from slow engines", func() {
		s, next := unlikeEngines(2890, 2)
		s.policy.LiveLoad = true
		slow := map[string]bool{}
		for i := range 2890 {
			if id := fmt.Sprint("e", i); i%2 == 0 {
				slow[id] = true
				reportAt(s, 0, id, 0, slowReport(4))
			}
		}
		atSlow := 0
		for range 1000 {
			next++
			out, _ := s.Submit(0, patient(next))
			if slow[out[0].Server] {
				atSlow++
			}
		}
		fmt.Fprintf(GinkgoWriter, "%d of 1000 at slow engines\n", atSlow)
		Expect(atSlow).To(BeNumerically("<", 100))
	})
})

// A server that the index loses gets no requests until the list of servers changes.
var _ = Describe("the index of a large service with load reports", func() {
	for seed := range uint64(3) {
		It(fmt.Sprint("has every server with room, whatever servers report, seed ", seed), func() {
			const servers = 200
			s := newLiveScheduler(servers, 4)
			svc := s.services[engine]
			rng := rand.New(rand.NewPCG(seed, 5))
			now, next := Time(0), uint64(0)
			for range 3000 {
				now += time.Duration(rng.IntN(10)) * ms
				next++
				s.Submit(now, stream(next, now, int(next%3)))
				for range 3 {
					reportAt(s, now, fmt.Sprint("e", rng.IntN(servers/10)), time.Duration(rng.IntN(100))*ms, serverload.Report{
						Running: rng.IntN(8), Waiting: rng.IntN(3), Slots: 2 + rng.IntN(3), Slowdown: 4 * rng.Float64(),
					})
				}
				s.Finish(now, Outcome{Key: Key{Holder: 1, ID: rng.Uint64N(next + 1)}, Result: []Result{OK, OK, Rejected}[rng.IntN(3)], FirstEvent: 50 * ms, TokenTime: 5 * ms})
				if rng.IntN(10) == 0 {
					s.Tick(now)
				}
				if rng.IntN(200) == 0 {
					s.SetServers(now, someServers(rng, servers))
				}
				index := s.indexOf(now, svc)
				for _, srv := range svc.servers {
					limit := s.concurrencyLimit(svc, srv)
					Expect(limit).To(And(BeNumerically(">=", 1), BeNumerically("<=", 4)))
					if srv.hasRoom(now, limit) {
						Expect(srv.entry.roomyClass).To(BeNumerically(">=", 0), "%s at %v", srv.ID, now)
					}
				}
				Expect(index).NotTo(BeNil())
			}
			s.Tick(now + 5*time.Second)
			Expect(s.LoadStats().Reduced).To(BeZero())
			Expect(s.LoadStats().Slowed).To(BeZero())
			for _, srv := range svc.servers {
				Expect(s.concurrencyLimit(svc, srv)).To(Equal(4))
			}
		})
	}
})
