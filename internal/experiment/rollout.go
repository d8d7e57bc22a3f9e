package experiment

import (
	"cmp"
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"runtime"
	"slices"
	"sync"
	"time"

	"github.com/gentianflow/gentianflow/internal/rollout"
	"github.com/gentianflow/gentianflow/internal/sched"
)

// BadVersion is how the servers of a version misbehave. The zero value is a sound version.
type BadVersion struct {
	FailShare  float64       // share of the answers that fail
	Slowdown   float64       // factor by which answers take longer; 0 and 1: no slowdown
	BadAfter   time.Duration // time after the order at which it turns bad; sound before
	OnlyLoaded bool          // bad only while most of a server's slots are in use
	OnlyRoute  string        // bad only on this route; empty: on all routes
}

func (b BadVersion) bad() bool { return b.FailShare > 0 || b.Slowdown > 1 }

// Rollout describes the simulation of a rollout: a service with old and new servers, its
// requests, and faults that are independent of the version. The order is the operator's order to
// move the service from the old version to the new one.
type Rollout struct {
	Name    string
	Servers int // of each version
	Slots   int
	Rate    float64       // requests a second over all routes
	Length  time.Duration // time from the order to its deadline
	Version BadVersion
	// FirstRouteFailShare is the share of answers on the first route that fail on all servers.
	FirstRouteFailShare float64
	// GreyShare is the share of all servers that fail 0.4 of their answers (a grey failure) from
	// FaultsAt after the order, SlowShare the share that is four times slower from then on.
	GreyShare, SlowShare float64
	FaultsAt             time.Duration
	// CrashShare is the share of all servers that crash at CrashAt after the order. New
	// servers replace them two seconds later.
	CrashShare float64
	CrashAt    time.Duration
	Burst      *Burst
	Bounds     rollout.Bounds
}

// rolloutRoutes are the routes of the simulated service. Requests on the last one must not be
// repeated.
var rolloutRoutes = []struct {
	name        string
	share       float64
	serviceTime time.Duration // typical response time without load
	repeatable  bool
}{
	{"check", 0.3, 25 * time.Millisecond, true},
	{"report", 0.1, 120 * time.Millisecond, true},
	{"confirm", 0.6, 30 * time.Millisecond, false},
}

// RolloutResult is the result of one simulated rollout.
type RolloutResult struct {
	State    rollout.State
	Took     time.Duration // time from the order to the decision
	Reason   string
	Requests int // requests sent to servers from the order to its deadline
	Exposed  int // of them, requests sent to the new version
	// Bad counts the new version's bad answers before the decision, Late the requests sent to
	// a bad version more than maxReactionTime after its fiftieth bad answer.
	Bad, Late int
	// Lost counts the requests that the stop of the old servers cut off and that must not be
	// repeated.
	Lost int
}

// Exposure returns the number of requests that the new version got as a fraction of the number
// that the bounds allow for a bad version.
func (r RolloutResult) Exposure(b rollout.Bounds) float64 {
	return float64(r.Exposed) / (b.Share*float64(r.Requests) + b.Slack)
}

const (
	// orderAt is the time of the rollout order, after the service has run for a while.
	orderAt = 3 * time.Second
	// A bad version must get no more requests maxReactionTime after its badAnswerLimit-th bad
	// answer.
	maxReactionTime = 2500 * time.Millisecond
	badAnswerLimit  = 50
	storeWriteTime  = 20 * time.Millisecond
	greyFailShare   = 0.4
	slowFactor      = 4
	loadedFrom      = 0.8 // share of slots in use from which OnlyLoaded versions are bad
	// maxLogSpeed limits the logarithm of a server's speed on both sides of the mean: the
	// fastest server is 2.8 times as fast as the slowest.
	maxLogSpeed = 0.52
)

// rolloutServer is a simulated server.
type rolloutServer struct {
	spec       sched.Server
	isNew      bool
	timeFactor float64 // factor of response times; above 1 is slower
	running    int
	grey       bool // fails greyFailShare of its answers
	slow       bool // takes slowFactor times as long
	stopped    bool
}

// rolloutSimulation is one run of a rollout in virtual time.
type rolloutSimulation struct {
	r          *Rollout
	scheduler  *sched.Scheduler
	rng        *rand.Rand
	eventQueue eventQueue
	seq        int
	servers    map[string]*rolloutServer
	open       map[uint64]*rolloutRequest
	lastID     uint64
	started    int           // number of servers started
	badAnswers int           // of the new version
	badLimitAt time.Duration // time of the badAnswerLimit-th bad answer; 0 before
	decided    bool          // the rollout was completed or rolled back
	result     RolloutResult
}

// rolloutRequest is a request of the simulation.
type rolloutRequest struct {
	route  int
	server *rolloutServer
	bad    bool // failed or slow because of the new version
	ended  bool // answered or cut off
}

// SimulateRollout simulates a rollout. The same seed gives the same result.
func SimulateRollout(r *Rollout, seed uint64) RolloutResult {
	sim := &rolloutSimulation{
		r: r, scheduler: sched.New(sched.DefaultPolicy()), rng: rand.New(rand.NewPCG(seed, 11)),
		servers: map[string]*rolloutServer{}, open: map[uint64]*rolloutRequest{},
	}
	sim.scheduler.SetBounds(r.Bounds)
	sim.scheduler.SetServices(0, []sched.Service{{Name: service}})
	for range r.Servers {
		sim.startServer(false)
	}
	sim.updateServerList(0)
	sim.schedule(0, sim.arrive)
	sim.schedule(tickInterval, sim.tickScheduler)
	sim.schedule(orderAt, sim.giveOrder)
	if r.GreyShare > 0 || r.SlowShare > 0 {
		sim.schedule(orderAt+r.FaultsAt, sim.injectFaults)
	}
	if r.CrashShare > 0 {
		sim.schedule(orderAt+r.CrashAt, sim.crashServers)
	}
	for sim.eventQueue.Len() > 0 {
		ev := heap.Pop(&sim.eventQueue).(scheduledEvent)
		ev.do(ev.at)
	}
	if !sim.decided {
		sim.result.State, sim.result.Took = rollout.Running, sim.end()-orderAt
	}
	return sim.result
}

// end returns the time at which the simulation ends, a while after the deadline.
func (sim *rolloutSimulation) end() time.Duration { return orderAt + sim.r.Length + 5*time.Second }

func (sim *rolloutSimulation) deadline() time.Duration { return orderAt + sim.r.Length }

func (sim *rolloutSimulation) schedule(at time.Duration, do func(now time.Duration)) {
	sim.seq++
	heap.Push(&sim.eventQueue, scheduledEvent{at, sim.seq, do})
}

func (sim *rolloutSimulation) startServer(isNew bool) *rolloutServer {
	sim.started++
	version := "v1"
	if isNew {
		version = "v2"
	}
	id := fmt.Sprintf("%s-%03d", version, sim.started)
	srv := &rolloutServer{
		spec:  sched.Server{ID: id, Service: service, Version: version, Address: id, Slots: sim.r.Slots},
		isNew: isNew, timeFactor: math.Exp(maxLogSpeed * (2*sim.rng.Float64() - 1)),
	}
	sim.servers[id] = srv
	return srv
}

func (sim *rolloutSimulation) updateServerList(now time.Duration) {
	var list []sched.Server
	for _, srv := range sim.servers {
		if !srv.stopped {
			list = append(list, srv.spec)
		}
	}
	sim.scheduler.SetServers(now, list)
}

// giveOrder starts the new servers, gives the order, and starts the trial of
// the new version a moment later.
func (sim *rolloutSimulation) giveOrder(now time.Duration) {
	for range sim.r.Servers {
		sim.startServer(true)
	}
	sim.updateServerList(now)
	o := rollout.Order{Service: service, To: "v2", Timeout: sim.r.Length, RowVersion: 1}
	sim.schedule(now+200*time.Millisecond, func(time.Duration) { sim.scheduler.SetOrder(o) })
	sim.schedule(now+250*time.Millisecond, func(now time.Duration) { sim.scheduler.StartTrial(now, o, 250*time.Millisecond, false) })
}

func (sim *rolloutSimulation) injectFaults(time.Duration) {
	for _, srv := range sim.serversByStart() {
		srv.grey = sim.rng.Float64() < sim.r.GreyShare
		srv.slow = sim.rng.Float64() < sim.r.SlowShare
	}
}

// serversByStart returns the servers in the order of their start.
func (sim *rolloutSimulation) serversByStart() []*rolloutServer {
	out := make([]*rolloutServer, sim.started)
	for _, srv := range sim.servers {
		var n int
		if _, err := fmt.Sscanf(srv.spec.ID[3:], "%d", &n); err != nil {
			panic(err) // the IDs of simulated servers end with a number
		}
		out[n-1] = srv
	}
	return out
}

func (sim *rolloutSimulation) crashServers(now time.Duration) {
	for _, srv := range sim.serversByStart() {
		if srv.stopped || sim.rng.Float64() >= sim.r.CrashShare {
			continue
		}
		sim.stopServer(now, srv, sched.ServerEnded)
		isNew := srv.isNew
		sim.schedule(now+2*time.Second, func(now time.Duration) {
			if !sim.decided {
				sim.startServer(isNew)
				sim.updateServerList(now)
			}
		})
	}
}

// stopServer stops a server and ends its requests with the given outcome. The server stays listed
// until its registration expires.
func (sim *rolloutSimulation) stopServer(now time.Duration, srv *rolloutServer, outcome sched.Result) {
	srv.stopped = true
	for id, req := range sim.open {
		if req.server != srv || req.ended {
			continue
		}
		req.ended = true
		delete(sim.open, id)
		if !rolloutRoutes[req.route].repeatable && outcome == sched.Broken {
			sim.result.Lost++
		}
		sim.apply(now, sim.scheduler.Finish(now, sched.Outcome{Key: sched.Key{Holder: holder, ID: id}, Result: outcome}))
	}
	sim.schedule(now+3600*time.Millisecond, sim.updateServerList)
}

func (sim *rolloutSimulation) tickScheduler(now time.Duration) {
	sim.apply(now, sim.scheduler.Tick(now))
	sim.processSteps(now)
	if now < sim.end() {
		sim.schedule(now+tickInterval, sim.tickScheduler)
	}
}

// processSteps records the scheduler's decision to complete the rollout or to roll it back.
func (sim *rolloutSimulation) processSteps(now time.Duration) {
	for _, step := range sim.scheduler.TakeRolloutSteps() {
		if sim.decided || step.Phase != rollout.Moved && step.Phase != rollout.PhaseRolledBack {
			continue
		}
		sim.decided = true
		sim.result.Took, sim.result.Reason, sim.result.Bad = now-orderAt, step.Why, sim.badAnswers
		sim.result.State = rollout.Completed
		if step.Phase == rollout.PhaseRolledBack {
			sim.result.State = rollout.RolledBack
		}
		sim.schedule(now+storeWriteTime, sim.applyDecision)
	}
}

// applyDecision stops the old servers or drains the new ones, as the platform does once the
// decision is in the store.
func (sim *rolloutSimulation) applyDecision(now time.Duration) {
	for _, srv := range sim.serversByStart() {
		switch {
		case sim.result.State == rollout.Completed && !srv.isNew && !srv.stopped:
			sim.stopServer(now, srv, sched.Broken)
		case sim.result.State == rollout.RolledBack && srv.isNew:
			srv.spec.Draining = true
		}
	}
	sim.updateServerList(now)
}

func (sim *rolloutSimulation) rate(now time.Duration) float64 {
	rate := sim.r.Rate
	if b := sim.r.Burst; b != nil && now >= orderAt+b.At && now < orderAt+b.At+b.For {
		rate *= b.Times
	}
	return rate
}

func (sim *rolloutSimulation) arrive(now time.Duration) {
	if next := now + time.Duration(sim.rng.ExpFloat64()/sim.rate(now)*float64(time.Second)); next < sim.end() {
		sim.schedule(next, sim.arrive)
	}
	route, x := 0, sim.rng.Float64()
	for route = range rolloutRoutes {
		if x -= rolloutRoutes[route].share; x < 0 {
			break
		}
	}
	sim.lastID++
	id := sim.lastID
	sim.open[id] = &rolloutRequest{route: route}
	out, _ := sim.scheduler.Submit(now, sched.Request{
		Key: sched.Key{Holder: holder, ID: id}, Service: service, Arrived: now, LatencyTarget: now + 150*time.Millisecond,
		Deadline: now + time.Second, Route: rolloutRoutes[route].name, Interruptible: rolloutRoutes[route].repeatable,
	})
	sim.apply(now, out)
}

func (sim *rolloutSimulation) apply(now time.Duration, out []sched.Decision) {
	for _, decision := range out {
		req := sim.open[decision.ID]
		if req == nil {
			continue
		}
		if decision.Reason != 0 { // refused
			delete(sim.open, decision.ID)
			continue
		}
		req.server = sim.servers[decision.Server]
		sim.execute(now, decision.ID, req)
	}
}

// execute runs a request on its server and schedules its answer.
func (sim *rolloutSimulation) execute(now time.Duration, id uint64, req *rolloutRequest) {
	srv := req.server
	if now >= orderAt && now < sim.deadline() {
		sim.result.Requests++
		if srv.isNew {
			sim.result.Exposed++
		}
	}
	if srv.isNew && sim.r.Version.bad() && sim.badLimitAt > 0 && now > sim.badLimitAt+maxReactionTime {
		sim.result.Late++
	}
	srv.running++
	serviceTime := rolloutRoutes[req.route].serviceTime
	responseTime := float64(serviceTime) * srv.timeFactor * math.Exp(0.3*sim.rng.NormFloat64()) * (1 + 0.3*float64(srv.running)/float64(sim.r.Slots))
	if srv.slow {
		responseTime *= slowFactor
	}
	fails := req.route == 0 && sim.rng.Float64() < sim.r.FirstRouteFailShare || srv.grey && sim.rng.Float64() < greyFailShare
	if srv.isNew && sim.misbehaves(now, srv, req.route) {
		req.bad = sim.rng.Float64() < sim.r.Version.FailShare
		fails = fails || req.bad
		if sim.r.Version.Slowdown > 1 {
			responseTime *= sim.r.Version.Slowdown
			req.bad = true
		}
	}
	sim.schedule(now+time.Duration(responseTime), func(now time.Duration) { sim.answered(now, id, req, fails, time.Duration(responseTime)) })
}

func (sim *rolloutSimulation) misbehaves(now time.Duration, srv *rolloutServer, route int) bool {
	v := sim.r.Version
	return now >= orderAt+v.BadAfter && (v.OnlyRoute == "" || v.OnlyRoute == rolloutRoutes[route].name) &&
		(!v.OnlyLoaded || float64(srv.running) >= loadedFrom*float64(sim.r.Slots))
}

func (sim *rolloutSimulation) answered(now time.Duration, id uint64, req *rolloutRequest, fails bool, responseTime time.Duration) {
	if req.ended {
		return
	}
	req.ended = true
	req.server.running--
	delete(sim.open, id)
	if req.bad {
		if sim.badAnswers++; sim.badAnswers == badAnswerLimit {
			sim.badLimitAt = now
		}
	}
	o := sched.Outcome{Key: sched.Key{Holder: holder, ID: id}, Result: sched.OK, FirstEvent: responseTime}
	if fails {
		o.Result = sched.ServerError
		if rolloutRoutes[req.route].repeatable {
			o.Result = sched.UnattributedError
		}
	}
	sim.apply(now, sim.scheduler.Finish(now, o))
	sim.processSteps(now)
}

// Rollouts returns all rollouts, sorted by name: sound versions, with and without faults that
// affect both versions, and versions with each kind of defect.
func Rollouts() []*Rollout {
	// Three plain servers at 250 calls a second, and thirty at 2,000.
	few := Rollout{Servers: 3, Slots: 6, Rate: 250, Length: 12 * time.Second, Bounds: rollout.Bounds{Share: 0.1, Slack: 50}}
	many := few
	many.Servers, many.Rate = 30, 2000
	var out []*Rollout
	for size, base := range map[string]Rollout{"few": few, "many": many} {
		add := func(name string, change func(*Rollout)) {
			r := base
			r.Name = name + "-" + size
			change(&r)
			out = append(out, &r)
		}
		add("sound", func(*Rollout) {})
		add("sound-own-failures", func(r *Rollout) { r.FirstRouteFailShare = 0.14 })
		add("sound-grey", func(r *Rollout) { r.GreyShare, r.FaultsAt = 0.15, 2*time.Second })
		add("sound-slow", func(r *Rollout) { r.SlowShare, r.FaultsAt = 0.15, 2*time.Second })
		add("sound-crashes", func(r *Rollout) { r.CrashShare, r.CrashAt = 0.3, 4*time.Second })
		add("sound-burst", func(r *Rollout) { r.Burst = &Burst{At: 3 * time.Second, For: 4 * time.Second, Times: 4} })
		for _, share := range []float64{0.05, 0.2, 0.5} {
			prefix := fmt.Sprintf("fails-%.0f", 100*share)
			add(prefix, func(r *Rollout) { r.Version.FailShare = share })
			add(prefix+"-later", func(r *Rollout) { r.Version.FailShare, r.Version.BadAfter = share, 6*time.Second })
			add(prefix+"-loaded", func(r *Rollout) { r.Version.FailShare, r.Version.OnlyLoaded = share, true })
			add(prefix+"-one-route", func(r *Rollout) { r.Version.FailShare, r.Version.OnlyRoute = share, "report" })
			add(prefix+"-grey", func(r *Rollout) { r.Version.FailShare, r.GreyShare = share, 0.15 })
		}
		for _, times := range []float64{2, 3, 5} {
			prefix := fmt.Sprintf("slower-%.0f", times)
			add(prefix, func(r *Rollout) { r.Version.Slowdown = times })
			add(prefix+"-later", func(r *Rollout) { r.Version.Slowdown, r.Version.BadAfter = times, 6*time.Second })
			add(prefix+"-loaded", func(r *Rollout) { r.Version.Slowdown, r.Version.OnlyLoaded = times, true })
		}
	}
	slices.SortFunc(out, func(a, b *Rollout) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

// RolloutSummary summarizes many runs of one rollout.
type RolloutSummary struct {
	Runs                           int
	Completed, RolledBack, Running int
	MedianExposure, MaxExposure    float64       // median and maximum of RolloutResult.Exposure
	MedianDuration                 time.Duration // median time from the order to the decision
	MaxBadAnswers                  int           // maximum number of bad answers before the decision
	Late, Lost                     int           // sums of RolloutResult.Late and Lost
}

// SimulateRollouts simulates a rollout with the seeds from 0 to seeds-1 on all processors.
func SimulateRollouts(r *Rollout, seeds int) RolloutSummary {
	results := make([]RolloutResult, seeds)
	var running sync.WaitGroup
	slots := make(chan struct{}, runtime.GOMAXPROCS(0))
	for seed := range seeds {
		running.Go(func() {
			slots <- struct{}{}
			results[seed] = SimulateRollout(r, uint64(seed))
			<-slots
		})
	}
	running.Wait()
	summary := RolloutSummary{Runs: seeds}
	var exposures []float64
	var times []time.Duration
	for _, result := range results {
		switch result.State {
		case rollout.Completed:
			summary.Completed++
		case rollout.RolledBack:
			summary.RolledBack++
		default:
			summary.Running++
		}
		exposures = append(exposures, result.Exposure(r.Bounds))
		times = append(times, result.Took)
		summary.MaxBadAnswers = max(summary.MaxBadAnswers, result.Bad)
		summary.Late += result.Late
		summary.Lost += result.Lost
	}
	slices.Sort(exposures)
	slices.Sort(times)
	summary.MedianExposure, summary.MaxExposure, summary.MedianDuration = exposures[seeds/2], exposures[seeds-1], times[seeds/2]
	return summary
}
