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
	Fail   float64       // share of the answers that are failures
	Slow   float64       // times as long, 0 or 1: as long as the others
	After  time.Duration // since the order; sound before
	Loaded bool          // only while most of a server's slots are taken
	Route  string        // only on this route
}

func (b BadVersion) bad() bool { return b.Fail > 0 || b.Slow > 1 }

// Rollout is a play of one roll-out: a service with old and new servers, its requests, and
// troubles that have nothing to do with the version.
type Rollout struct {
	Name    string
	Servers int // of each version
	Slots   int
	Rate    float64 // requests a second over all routes
	Lasts   time.Duration
	Version BadVersion
	// Own is the share of answers that fail on the first route whoever runs them.
	Own float64
	// Grey is the share of all servers that fail 0.4 of their answers from GreyAt on, Slow
	// the share that is four times slower.
	Grey, Slow float64
	TroubleAt  time.Duration
	// Crash is the share of all servers that end at CrashAt, and are back two seconds later
	// as others.
	Crash   float64
	CrashAt time.Duration
	Burst   *Burst
	Bounds  rollout.Bounds
}

// routes of the rig: requests of the last may not be repeated.
var rolloutRoutes = []struct {
	name       string
	share      float64
	work       time.Duration
	repeatable bool
}{
	{"check", 0.3, 25 * time.Millisecond, true},
	{"report", 0.1, 120 * time.Millisecond, true},
	{"confirm", 0.6, 30 * time.Millisecond, false},
}

// RolloutResult is how one roll-out went.
type RolloutResult struct {
	State   rollout.State
	At      time.Duration // when it ended, since the order
	Why     string
	Reached int // requests sent to the service from the order to its deadline
	Exposed int // of them, those sent to the new version
	// Bad counts the new version's bad answers until the verdict; Late the requests sent to
	// a bad version later than lateAfter behind its fiftieth bad answer.
	Bad, Late int
	// Lost are runs that ended with the old servers and may not be repeated.
	Lost int
}

// Exposure is what the new version got, as a part of what a bad one may get.
func (r RolloutResult) Exposure(b rollout.Bounds) float64 {
	return float64(r.Exposed) / (b.Share*float64(r.Reached) + b.Slack)
}

const (
	// orderAt is when the order comes, after the service has run for a while.
	orderAt   = 3 * time.Second
	lateAfter = 2500 * time.Millisecond
	lateFrom  = 50
	storeTime = 20 * time.Millisecond
	greyFails = 0.4
	slowBy    = 4
	fullFrom  = 0.8 // of the slots
	// speedSpread is how far servers' speeds lie from the middle, as a logarithm: the
	// fastest is 2.8 times as fast as the slowest.
	speedSpread = 0.52
)

// rolloutServer is a server of the rig.
type rolloutServer struct {
	spec    sched.Server
	isNew   bool
	speed   float64
	running int
	grey    bool
	slow    bool
	gone    bool
}

// rolloutDay is one play.
type rolloutDay struct {
	r       *Rollout
	s       *sched.Scheduler
	rng     *rand.Rand
	agenda  agenda
	seq     int
	servers map[string]*rolloutServer
	open    map[uint64]*rolloutRun
	next    uint64
	made    int
	bad     int
	fifty   time.Duration // when the fiftieth bad answer came
	over    bool
	out     RolloutResult
}

type rolloutRun struct {
	route  int
	server *rolloutServer
	bad    bool
	over   bool
}

// PlayRollout plays a roll-out; the same seed gives the same one.
func PlayRollout(r *Rollout, seed uint64) RolloutResult {
	d := &rolloutDay{
		r: r, s: sched.New(sched.DefaultPolicy()), rng: rand.New(rand.NewPCG(seed, 11)),
		servers: map[string]*rolloutServer{}, open: map[uint64]*rolloutRun{},
	}
	d.s.SetBounds(r.Bounds)
	d.s.SetServices(0, []sched.Service{{Name: service}})
	for range r.Servers {
		d.start(false)
	}
	d.list(0)
	d.at(0, d.arrive)
	d.at(tick, d.pass)
	d.at(orderAt, d.order)
	if r.Grey > 0 || r.Slow > 0 {
		d.at(orderAt+r.TroubleAt, d.trouble)
	}
	if r.Crash > 0 {
		d.at(orderAt+r.CrashAt, d.crash)
	}
	for d.agenda.Len() > 0 {
		h := heap.Pop(&d.agenda).(happening)
		h.do(h.at)
	}
	if !d.over {
		d.out.State, d.out.At = rollout.Running, d.end()-orderAt
	}
	return d.out
}

// end is when the play ends: a while after the deadline.
func (d *rolloutDay) end() time.Duration { return orderAt + d.r.Lasts + 5*time.Second }

func (d *rolloutDay) deadline() time.Duration { return orderAt + d.r.Lasts }

func (d *rolloutDay) at(t time.Duration, do func(now time.Duration)) {
	d.seq++
	heap.Push(&d.agenda, happening{t, d.seq, do})
}

func (d *rolloutDay) start(isNew bool) *rolloutServer {
	d.made++
	version := "v1"
	if isNew {
		version = "v2"
	}
	id := fmt.Sprintf("%s-%03d", version, d.made)
	srv := &rolloutServer{
		spec:  sched.Server{ID: id, Service: service, Version: version, Address: id, Slots: d.r.Slots},
		isNew: isNew, speed: math.Exp(speedSpread * (2*d.rng.Float64() - 1)),
	}
	d.servers[id] = srv
	return srv
}

func (d *rolloutDay) list(now time.Duration) {
	var list []sched.Server
	for _, srv := range d.servers {
		if !srv.gone {
			list = append(list, srv.spec)
		}
	}
	d.s.SetServers(now, list)
}

// order starts the new servers, gives the order, and has it taken up a moment later.
func (d *rolloutDay) order(now time.Duration) {
	for range d.r.Servers {
		d.start(true)
	}
	d.list(now)
	o := rollout.Order{Service: service, To: "v2", Timeout: d.r.Lasts, Row: 1}
	d.at(now+200*time.Millisecond, func(time.Duration) { d.s.SetOrder(o) })
	d.at(now+250*time.Millisecond, func(now time.Duration) { d.s.StartTrial(now, o, 250*time.Millisecond, false) })
}

func (d *rolloutDay) trouble(time.Duration) {
	for _, srv := range d.sorted() {
		srv.grey = d.rng.Float64() < d.r.Grey
		srv.slow = d.rng.Float64() < d.r.Slow
	}
}

// sorted lists the servers in the order of their start.
func (d *rolloutDay) sorted() []*rolloutServer {
	out := make([]*rolloutServer, d.made)
	for _, srv := range d.servers {
		var n int
		if _, err := fmt.Sscanf(srv.spec.ID[3:], "%d", &n); err != nil {
			panic(err) // ids of this rig end with their number
		}
		out[n-1] = srv
	}
	return out
}

func (d *rolloutDay) crash(now time.Duration) {
	for _, srv := range d.sorted() {
		if srv.gone || d.rng.Float64() >= d.r.Crash {
			continue
		}
		d.stop(now, srv, sched.ServerEnded)
		isNew := srv.isNew
		d.at(now+2*time.Second, func(now time.Duration) {
			if !d.over {
				d.start(isNew)
				d.list(now)
			}
		})
	}
}

// stop ends a server with what it runs; its entry lapses later.
func (d *rolloutDay) stop(now time.Duration, srv *rolloutServer, how sched.Result) {
	srv.gone = true
	for id, run := range d.open {
		if run.server != srv || run.over {
			continue
		}
		run.over = true
		delete(d.open, id)
		if !rolloutRoutes[run.route].repeatable && how == sched.Broken {
			d.out.Lost++
		}
		d.apply(now, d.s.Finish(now, sched.Outcome{Key: sched.Key{Holder: holder, ID: id}, Result: how}))
	}
	d.at(now+3600*time.Millisecond, d.list)
}

func (d *rolloutDay) pass(now time.Duration) {
	d.apply(now, d.s.Tick(now))
	d.news(now)
	if now < d.end() {
		d.at(now+tick, d.pass)
	}
}

// news takes the steps of the roll-out.
func (d *rolloutDay) news(now time.Duration) {
	for _, step := range d.s.TakeRolloutSteps() {
		if d.over || step.Phase != rollout.Moved && step.Phase != rollout.PhaseRolledBack {
			continue
		}
		d.over = true
		d.out.At, d.out.Why, d.out.Bad = now-orderAt, step.Why, d.bad
		d.out.State = rollout.Completed
		if step.Phase == rollout.PhaseRolledBack {
			d.out.State = rollout.RolledBack
		}
		d.at(now+storeTime, d.written)
	}
}

// written has the platform do what follows from the state.
func (d *rolloutDay) written(now time.Duration) {
	for _, srv := range d.sorted() {
		switch {
		case d.out.State == rollout.Completed && !srv.isNew && !srv.gone:
			d.stop(now, srv, sched.Broken)
		case d.out.State == rollout.RolledBack && srv.isNew:
			srv.spec.Draining = true
		}
	}
	d.list(now)
}

func (d *rolloutDay) rate(now time.Duration) float64 {
	rate := d.r.Rate
	if b := d.r.Burst; b != nil && now >= orderAt+b.At && now < orderAt+b.At+b.For {
		rate *= b.Times
	}
	return rate
}

func (d *rolloutDay) arrive(now time.Duration) {
	if next := now + time.Duration(d.rng.ExpFloat64()/d.rate(now)*float64(time.Second)); next < d.end() {
		d.at(next, d.arrive)
	}
	route, x := 0, d.rng.Float64()
	for route = range rolloutRoutes {
		if x -= rolloutRoutes[route].share; x < 0 {
			break
		}
	}
	d.next++
	id := d.next
	d.open[id] = &rolloutRun{route: route}
	out, _ := d.s.Submit(now, sched.Request{
		Key: sched.Key{Holder: holder, ID: id}, Service: service, Arrived: now, LatencyTarget: now + 150*time.Millisecond,
		Deadline: now + time.Second, Route: rolloutRoutes[route].name, Interruptible: rolloutRoutes[route].repeatable,
	})
	d.apply(now, out)
}

func (d *rolloutDay) apply(now time.Duration, out []sched.Decision) {
	for _, one := range out {
		run := d.open[one.ID]
		if run == nil {
			continue
		}
		if one.Reason != 0 {
			delete(d.open, one.ID)
			continue
		}
		run.server = d.servers[one.Server]
		d.sent(now, one.ID, run)
	}
}

// sent runs a request at its server.
func (d *rolloutDay) sent(now time.Duration, id uint64, run *rolloutRun) {
	srv := run.server
	if now >= orderAt && now < d.deadline() {
		d.out.Reached++
		if srv.isNew {
			d.out.Exposed++
		}
	}
	if srv.isNew && d.r.Version.bad() && d.fifty > 0 && now > d.fifty+lateAfter {
		d.out.Late++
	}
	srv.running++
	work := rolloutRoutes[run.route].work
	takes := float64(work) * srv.speed * math.Exp(0.3*d.rng.NormFloat64()) * (1 + 0.3*float64(srv.running)/float64(d.r.Slots))
	if srv.slow {
		takes *= slowBy
	}
	fails := run.route == 0 && d.rng.Float64() < d.r.Own || srv.grey && d.rng.Float64() < greyFails
	if srv.isNew && d.misbehaves(now, srv, run.route) {
		run.bad = d.rng.Float64() < d.r.Version.Fail
		fails = fails || run.bad
		if d.r.Version.Slow > 1 {
			takes *= d.r.Version.Slow
			run.bad = true
		}
	}
	d.at(now+time.Duration(takes), func(now time.Duration) { d.answered(now, id, run, fails, time.Duration(takes)) })
}

func (d *rolloutDay) misbehaves(now time.Duration, srv *rolloutServer, route int) bool {
	v := d.r.Version
	return now >= orderAt+v.After && (v.Route == "" || v.Route == rolloutRoutes[route].name) &&
		(!v.Loaded || float64(srv.running) >= fullFrom*float64(d.r.Slots))
}

func (d *rolloutDay) answered(now time.Duration, id uint64, run *rolloutRun, fails bool, took time.Duration) {
	if run.over {
		return
	}
	run.over = true
	run.server.running--
	delete(d.open, id)
	if run.bad {
		if d.bad++; d.bad == lateFrom {
			d.fifty = now
		}
	}
	o := sched.Outcome{Key: sched.Key{Holder: holder, ID: id}, Result: sched.OK, FirstEvent: took}
	if fails {
		o.Result = sched.ServerError
		if rolloutRoutes[run.route].repeatable {
			o.Result = sched.UnattributedError
		}
	}
	d.apply(now, d.s.Finish(now, o))
	d.news(now)
}

// Rollouts lists roll-outs by name: sound versions, alone and with troubles that both
// versions have, and versions that are bad in each way.
func Rollouts() []*Rollout {
	// Three plain servers at a few hundred calls a second, and thirty at some thousand.
	few := Rollout{Servers: 3, Slots: 6, Rate: 250, Lasts: 12 * time.Second, Bounds: rollout.Bounds{Share: 0.1, Slack: 50}}
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
		add("sound-own-failures", func(r *Rollout) { r.Own = 0.14 })
		add("sound-grey", func(r *Rollout) { r.Grey, r.TroubleAt = 0.15, 2*time.Second })
		add("sound-slow", func(r *Rollout) { r.Slow, r.TroubleAt = 0.15, 2*time.Second })
		add("sound-crashes", func(r *Rollout) { r.Crash, r.CrashAt = 0.3, 4*time.Second })
		add("sound-burst", func(r *Rollout) { r.Burst = &Burst{At: 3 * time.Second, For: 4 * time.Second, Times: 4} })
		for _, share := range []float64{0.05, 0.2, 0.5} {
			part := fmt.Sprintf("fails-%.0f", 100*share)
			add(part, func(r *Rollout) { r.Version.Fail = share })
			add(part+"-later", func(r *Rollout) { r.Version.Fail, r.Version.After = share, 6*time.Second })
			add(part+"-loaded", func(r *Rollout) { r.Version.Fail, r.Version.Loaded = share, true })
			add(part+"-one-route", func(r *Rollout) { r.Version.Fail, r.Version.Route = share, "report" })
			add(part+"-grey", func(r *Rollout) { r.Version.Fail, r.Grey = share, 0.15 })
		}
		for _, times := range []float64{2, 3, 5} {
			part := fmt.Sprintf("slower-%.0f", times)
			add(part, func(r *Rollout) { r.Version.Slow = times })
			add(part+"-later", func(r *Rollout) { r.Version.Slow, r.Version.After = times, 6*time.Second })
			add(part+"-loaded", func(r *Rollout) { r.Version.Slow, r.Version.Loaded = times, true })
		}
	}
	slices.SortFunc(out, func(a, b *Rollout) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

// RolloutSum is what came of many plays of one roll-out.
type RolloutSum struct {
	Plays                          int
	Completed, RolledBack, Running int
	Exposure, MostExposure         float64 // the middle and the most, as parts of what is allowed
	Ended                          time.Duration
	Bad                            int // most bad answers before a verdict
	Late, Lost                     int
}

// SumRollouts plays a roll-out with many seeds, on all processors.
func SumRollouts(r *Rollout, seeds int) RolloutSum {
	results := make([]RolloutResult, seeds)
	var plays sync.WaitGroup
	turns := make(chan struct{}, runtime.GOMAXPROCS(0))
	for seed := range seeds {
		plays.Go(func() {
			turns <- struct{}{}
			results[seed] = PlayRollout(r, uint64(seed))
			<-turns
		})
	}
	plays.Wait()
	sum := RolloutSum{Plays: seeds}
	var exposures []float64
	var ends []time.Duration
	for _, one := range results {
		switch one.State {
		case rollout.Completed:
			sum.Completed++
		case rollout.RolledBack:
			sum.RolledBack++
		default:
			sum.Running++
		}
		exposures = append(exposures, one.Exposure(r.Bounds))
		ends = append(ends, one.At)
		sum.Bad = max(sum.Bad, one.Bad)
		sum.Late += one.Late
		sum.Lost += one.Lost
	}
	slices.Sort(exposures)
	slices.Sort(ends)
	sum.Exposure, sum.MostExposure, sum.Ended = exposures[seeds/2], exposures[seeds-1], ends[seeds/2]
	return sum
}
