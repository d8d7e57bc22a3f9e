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
	FailShare  float64       // share of the answers that are failures
	Slowdown   float64       // times as long, 0 or 1: as long as the others
	BadAfter   time.Duration // since the order; sound before
	OnlyLoaded bool          // only while most of a server's slots are taken
	OnlyRoute  string        // only on this route
}

func (b BadVersion) bad() bool { return b.FailShare > 0 || b.Slowdown > 1 }

// Rollout is a play of one roll-out: a service with old and new servers, its requests, and
// troubles that have nothing to do with the version.
type Rollout struct {
	Name    string
	Servers int // of each version
	Slots   int
	Rate    float64 // requests a second over all routes
	Length  time.Duration
	Version BadVersion
	// FirstRouteFailShare is the share of answers that fail on the first route at any server.
	FirstRouteFailShare float64
	// GreyShare is the share of all servers that fail 0.4 of their answers from FaultsAt on,
	// SlowShare the share that is four times slower.
	GreyShare, SlowShare float64
	FaultsAt             time.Duration
	// CrashShare is the share of all servers that end at CrashAt; new servers replace them two
	// seconds later.
	CrashShare float64
	CrashAt    time.Duration
	Burst      *Burst
	Bounds     rollout.Bounds
}

// rolloutRoutes are the routes of the simulated service. Requests of the last may not be
// repeated.
var rolloutRoutes = []struct {
	name        string
	share       float64
	serviceTime time.Duration
	repeatable  bool
}{
	{"check", 0.3, 25 * time.Millisecond, true},
	{"report", 0.1, 120 * time.Millisecond, true},
	{"confirm", 0.6, 30 * time.Millisecond, false},
}

// RolloutResult is how one roll-out went.
type RolloutResult struct {
	State    rollout.State
	Took     time.Duration // when it ended, since the order
	Reason   string
	Requests int // requests sent to the service from the order to its deadline
	Exposed  int // of them, those sent to the new version
	// Bad counts the new version's bad answers until the verdict; Late the requests sent to
	// a bad version later than maxReactionTime after its fiftieth bad answer.
	Bad, Late int
	// Lost are runs that ended with the old servers and may not be repeated.
	Lost int
}

// Exposure is what the new version got, as a part of what a bad one may get.
func (r RolloutResult) Exposure(b rollout.Bounds) float64 {
	return float64(r.Exposed) / (b.Share*float64(r.Requests) + b.Slack)
}

const (
	// orderAt is when the order comes, after the service has run for a while.
	orderAt         = 3 * time.Second
	maxReactionTime = 2500 * time.Millisecond
	badAnswerLimit  = 50
	storeWriteTime  = 20 * time.Millisecond
	greyFailShare   = 0.4
	slowFactor      = 4
	loadedFrom      = 0.8 // of the slots
	// maxLogSpeed bounds the logarithm of a server's speed relative to the median: the
	// fastest server is 2.8 times as fast as the slowest.
	maxLogSpeed = 0.52
)

// rolloutServer is a server of the rig.
type rolloutServer struct {
	spec       sched.Server
	isNew      bool
	timeFactor float64
	running    int
	grey       bool
	slow       bool
	stopped    bool
}

// rolloutSimulation is one run of a Rollout.
type rolloutSimulation struct {
	r          *Rollout
	scheduler  *sched.Scheduler
	rng        *rand.Rand
	eventQueue eventQueue
	seq        int
	servers    map[string]*rolloutServer
	open       map[uint64]*rolloutRequest
	lastID     uint64
	started    int
	badAnswers int
	badLimitAt time.Duration // when the fiftieth bad answer came
	decided    bool
	result     RolloutResult
}

type rolloutRequest struct {
	route  int
	server *rolloutServer
	bad    bool
	ended  bool
}

// SimulateRollout simulates a roll-out; the same seed gives the same result.
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

// end is when the play ends: a while after the deadline.
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

// giveOrder starts the new servers and gives the order; the trial starts shortly afterwards.
func (sim *rolloutSimulation) giveOrder(now time.Duration) {
	for range sim.r.Servers {
		sim.startServer(true)
	}
	sim.updateServerList(now)
	o := rollout.Order{Service: service, To: "v2", Timeout: sim.r.Length, Row: 1}
	sim.schedule(now+200*time.Millisecond, func(time.Duration) { sim.scheduler.SetOrder(o) })
	sim.schedule(now+250*time.Millisecond, func(now time.Duration) { sim.scheduler.StartTrial(now, o, 250*time.Millisecond, false) })
}

func (sim *rolloutSimulation) injectFaults(time.Duration) {
	for _, srv := range sim.serversByStart() {
		srv.grey = sim.rng.Float64() < sim.r.GreyShare
		srv.slow = sim.rng.Float64() < sim.r.SlowShare
	}
}

// serversByStart lists the servers in the order of their start.
func (sim *rolloutSimulation) serversByStart() []*rolloutServer {
	out := make([]*rolloutServer, sim.started)
	for _, srv := range sim.servers {
		var n int
		if _, err := fmt.Sscanf(srv.spec.ID[3:], "%d", &n); err != nil {
			panic(err) // ids of this rig end with their number
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

// stopServer ends a server and its requests; its entry in the server list expires later.
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

// processSteps reads the steps of the roll-out from the scheduler.
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

// applyDecision has the platform act on the roll-out's state once it is in the store.
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
	for _, one := range out {
		req := sim.open[one.ID]
		if req == nil {
			continue
		}
		if one.Reason != 0 {
			delete(sim.open, one.ID)
			continue
		}
		req.server = sim.servers[one.Server]
		sim.execute(now, one.ID, req)
	}
}

// execute runs a request at its server.
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

// Rollouts lists roll-outs by name: sound versions, alone and with troubles that both
// versions have, and versions that are bad in each way.
func Rollouts() []*Rollout {
	// Three plain servers at a few hundred calls a second, and thirty at some thousand.
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

// RolloutSummary summarizes many simulations of one roll-out.
type RolloutSummary struct {
	Runs                           int
	Completed, RolledBack, Running int
	MedianExposure, MaxExposure    float64 // as fractions of the allowed exposure
	MedianDuration                 time.Duration
	MaxBadAnswers                  int // bad answers before a verdict
	Late, Lost                     int
}

// SimulateRollouts simulates a roll-out with many seeds, on all processors.
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
	for _, one := range results {
		switch one.State {
		case rollout.Completed:
			summary.Completed++
		case rollout.RolledBack:
			summary.RolledBack++
		default:
			summary.Running++
		}
		exposures = append(exposures, one.Exposure(r.Bounds))
		times = append(times, one.Took)
		summary.MaxBadAnswers = max(summary.MaxBadAnswers, one.Bad)
		summary.Late += one.Late
		summary.Lost += one.Lost
	}
	slices.Sort(exposures)
	slices.Sort(times)
	summary.MedianExposure, summary.MaxExposure, summary.MedianDuration = exposures[seeds/2], exposures[seeds-1], times[seeds/2]
	return summary
}
