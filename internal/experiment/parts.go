package experiment

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/gentianflow/gentianflow/internal/quarantine"
	"github.com/gentianflow/gentianflow/internal/sched"
)

// BadPart is a prompt part that crashes the engines which run requests with it.
type BadPart struct {
	Share float64 // of the bad requests that have it
	First bool    // it is the first part of their prompts, otherwise the second
}

// PartCrashes describes the simulation of an engine service in which prompt parts crash servers,
// among sound requests that share all other parts with the bad ones.
type PartCrashes struct {
	Name      string
	Engines   int
	SoundRate float64 // requests a second
	BadRate   float64
	Bad       []BadPart
	// CrashShare is the share of runs with a bad part that crash their server, the others are
	// answered; 0 means all.
	CrashShare float64
	// AfterEvents crashes servers some events after the first, otherwise before it.
	AfterEvents bool
	// Companion is a sound part that all bad requests have and this share of the sound ones.
	Companion float64
	// NewDocuments is the share of sound requests whose second part is a new document, which
	// documentRequests requests ask about.
	NewDocuments float64
	// BadAccounts is the number of client accounts that send bad requests; sound ones come from
	// soundAccounts accounts, the first of which sends bad ones as well.
	BadAccounts int
	// Repeats is how often a caller sends a bad request again that failed.
	Repeats int
	// BadBodies crashes servers by the bodies of the bad requests instead: their parts are sound.
	BadBodies bool
	// EndEvery is the interval at which engines end by themselves, 0 for never. RackEvery is the
	// same for half of all engines at once.
	EndEvery, RackEvery time.Duration
}

const (
	partsEngineSlots     = 8
	partsQuietTime       = 5 * time.Second // before the first bad request
	partsLength          = 20 * time.Second
	partsFirsts          = 3 // first parts that requests share
	partsMiddles         = 5 // second parts that requests share
	partsShared          = 2 // parts of a sound request that others share
	documentRequests     = 4
	soundAccounts        = 4
	tolerableCrashes     = 5 // under one part, before the last that callers bear
	partReactionTime     = 3 * time.Second
	engineRestartTime    = 2500 * time.Millisecond
	engineListedTime     = 3600 * time.Millisecond // after its end
	partsTokenTime       = 7 * time.Millisecond
	partsReportDelay     = 700 * time.Millisecond // of the progress of a stream after its first event
	partsLatencyTarget   = 800 * time.Millisecond
	badPartKey           = 0xbad0bad0 // of the first bad part
	companionKey         = 0xc0
	firstPartKey         = 0xf0
	middlePartKey        = 0x100
	documentKey          = 0xd0000000
	ownPartKey           = 0x1000000000 // of the last part of each prompt
	outcomeDelay         = 15 * time.Millisecond
	partsCallerRetryTime = 50 * time.Millisecond
)

// PartCrashesResult is the result of one simulation.
type PartCrashesResult struct {
	// Crashes is the number of servers that ended under each bad part, Late how many runs with it
	// began later than partReactionTime after the crashes that are tolerable.
	Crashes, Late []int
	Ended         int // servers, for whatever reason
	// SoundBefore and SoundAfter count the sound requests sent before the first bad one, and those
	// sent later than twice partReactionTime after the last tolerable crash; BegunBefore and
	// BegunAfter count those of them whose first event came at the first attempt.
	SoundBefore, BegunBefore, SoundAfter, BegunAfter int
	Sound, SoundOnTime                               int // of all sound requests
	SoundRefused                                     int // sound requests refused as quarantined
}

// partsRequest is one request of the simulation.
type partsRequest struct {
	sched.Request
	bad      int // index of its bad part, -1: it is sound
	sentAt   time.Duration
	repeats  int
	server   string
	placedAt time.Duration
	begunAt  time.Duration // 0: no event
	done     bool
}

type partsSimulation struct {
	p          *PartCrashes
	s          *sched.Scheduler
	rng        *rand.Rand
	events     eventQueue
	seq        int
	lastID     uint64
	engines    int
	live       map[string]bool
	listed     []sched.Server
	open       map[sched.Key]*partsRequest
	sound      []*partsRequest
	documents  []int // requests left for each new document
	runs       [][]time.Duration
	crashTimes [][]time.Duration
	result     PartCrashesResult
}

// SimulatePartCrashes plays a scenario in virtual time. The same seed gives the same result.
func SimulatePartCrashes(p *PartCrashes, seed uint64) PartCrashesResult {
	sim := &partsSimulation{
		p: p, s: sched.New(sched.DefaultPolicy()), rng: rand.New(rand.NewPCG(seed, 54)), live: map[string]bool{}, open: map[sched.Key]*partsRequest{},
		runs: make([][]time.Duration, len(p.Bad)), crashTimes: make([][]time.Duration, len(p.Bad)),
	}
	sim.s.SetServices(0, []sched.Service{{Name: service, Engine: true, KVTokens: 300_000, Stride: 3}})
	for range p.Engines {
		sim.startEngine(0)
	}
	sim.arrivals(0, p.SoundRate, sim.sendSound)
	sim.arrivals(partsQuietTime, p.BadRate, sim.sendBad)
	for t := partsQuietTime; p.EndEvery > 0 && t < partsLength; t += p.EndEvery {
		sim.schedule(t, func(now time.Duration) { sim.endEngine(now, sim.randomEngine()) })
	}
	for t := partsQuietTime; p.RackEvery > 0 && t < partsLength; t += p.RackEvery {
		sim.schedule(t, sim.endRack)
	}
	for t := time.Duration(0); t < partsLength+10*time.Second; t += tickInterval {
		sim.schedule(t, func(now time.Duration) { sim.apply(now, sim.s.Tick(now)) })
	}
	for sim.events.Len() > 0 {
		ev := heap.Pop(&sim.events).(scheduledEvent)
		ev.do(ev.at)
	}
	sim.evaluate()
	return sim.result
}

func (sim *partsSimulation) schedule(at time.Duration, do func(now time.Duration)) {
	sim.seq++
	heap.Push(&sim.events, scheduledEvent{at, sim.seq, do})
}

func (sim *partsSimulation) between(lower, upper time.Duration) time.Duration {
	return lower + time.Duration(sim.rng.Int64N(int64(upper-lower)))
}

// arrivals schedules requests at random times from a time on.
func (sim *partsSimulation) arrivals(from time.Duration, rate float64, send func(now time.Duration)) {
	if rate == 0 {
		return
	}
	for at := from; ; {
		at += time.Duration(sim.rng.ExpFloat64() / rate * float64(time.Second))
		if at >= partsLength {
			return
		}
		sim.schedule(at, send)
	}
}

func (sim *partsSimulation) startEngine(now time.Duration) {
	sim.engines++
	id := fmt.Sprintf("e%d", sim.engines)
	sim.live[id] = true
	sim.listed = append(sim.listed, sched.Server{ID: id, Service: service, Address: id, Slots: partsEngineSlots})
	sim.s.SetServers(now, slices.Clone(sim.listed))
}

func (sim *partsSimulation) randomEngine() string {
	var ids []string
	for _, srv := range sim.listed {
		if sim.live[srv.ID] {
			ids = append(ids, srv.ID)
		}
	}
	if len(ids) == 0 {
		return ""
	}
	return ids[sim.rng.IntN(len(ids))]
}

// endRack ends half of the engines at once.
func (sim *partsSimulation) endRack(now time.Duration) {
	for range max(1, len(sim.live)/2) {
		sim.endEngine(now, sim.randomEngine())
	}
}

// endEngine ends an engine and all its runs.
func (sim *partsSimulation) endEngine(now time.Duration, id string) {
	if !sim.live[id] {
		return
	}
	delete(sim.live, id)
	sim.result.Ended++
	var lost []*partsRequest
	for _, r := range sim.open {
		if r.server == id {
			lost = append(lost, r)
		}
	}
	slices.SortFunc(lost, func(a, b *partsRequest) int { return int(a.ID) - int(b.ID) })
	for _, r := range lost {
		r.done = true
		delete(sim.open, r.Key)
		o := sched.Outcome{Key: r.Key, Result: sched.ServerEnded}
		if r.begunAt > 0 {
			o.FirstEvent = r.begunAt - r.placedAt
		}
		sim.schedule(now+sim.between(2*time.Millisecond, 20*time.Millisecond), func(now time.Duration) { sim.apply(now, sim.s.Finish(now, o)) })
		sim.repeat(now, r)
	}
	sim.schedule(now+engineListedTime, func(now time.Duration) {
		sim.listed = slices.DeleteFunc(sim.listed, func(s sched.Server) bool { return s.ID == id })
		sim.s.SetServers(now, slices.Clone(sim.listed))
	})
	sim.schedule(now+engineRestartTime, sim.startEngine)
}

// repeat sends a bad request again, as its caller does.
func (sim *partsSimulation) repeat(now time.Duration, r *partsRequest) {
	if r.bad < 0 || r.repeats >= sim.p.Repeats {
		return
	}
	again := &partsRequest{Request: r.Request, bad: r.bad, repeats: r.repeats + 1}
	sim.schedule(now+partsCallerRetryTime, func(now time.Duration) { sim.submit(now, again) })
}

func (sim *partsSimulation) sharedFirst() sched.Part {
	return sched.Part{Key: firstPartKey + sim.rng.Uint64N(partsFirsts), Tokens: 60}
}

func (sim *partsSimulation) sharedMiddle() sched.Part {
	return sched.Part{Key: middlePartKey + sim.rng.Uint64N(partsMiddles), Tokens: 60}
}

// newDocument returns the part of a document that few requests ask about.
func (sim *partsSimulation) newDocument() sched.Part {
	if n := len(sim.documents); n == 0 || sim.documents[n-1] == 0 || sim.rng.IntN(2) == 0 {
		sim.documents = append(sim.documents, documentRequests)
	}
	n := len(sim.documents) - 1
	sim.documents[n]--
	return sched.Part{Key: documentKey + uint64(n), Tokens: 60}
}

func (sim *partsSimulation) sendSound(now time.Duration) {
	second := sim.sharedMiddle()
	switch x := sim.rng.Float64(); {
	case x < sim.p.NewDocuments:
		second = sim.newDocument()
	case x < sim.p.NewDocuments+sim.p.Companion:
		second = sched.Part{Key: companionKey, Tokens: 60}
	}
	r := &partsRequest{bad: -1}
	r.Account = fmt.Sprintf("account-%d", sim.rng.IntN(soundAccounts))
	r.PromptParts = []sched.Part{sim.sharedFirst(), second}
	sim.sound = append(sim.sound, r)
	sim.submit(now, r)
}

func (sim *partsSimulation) sendBad(now time.Duration) {
	r := &partsRequest{}
	x := sim.rng.Float64()
	for r.bad = range sim.p.Bad {
		if x -= sim.p.Bad[r.bad].Share; x < 0 {
			break
		}
	}
	first, second := sim.sharedFirst(), sim.sharedMiddle()
	if sim.p.Companion > 0 {
		second = sched.Part{Key: companionKey, Tokens: 60}
	}
	bad := sched.Part{Key: badPartKey + uint64(r.bad), Tokens: 60}
	switch {
	case sim.p.BadBodies:
		r.PromptParts = []sched.Part{first, second}
	case sim.p.Bad[r.bad].First:
		r.PromptParts = []sched.Part{bad, first, second}
	default:
		r.PromptParts = []sched.Part{first, bad, second}
	}
	r.Account = fmt.Sprintf("account-%d", sim.rng.IntN(max(1, sim.p.BadAccounts)))
	if sim.p.BadBodies {
		r.Account = "other"
	}
	sim.submit(now, r)
}

// submit sends a new request, or one again.
func (sim *partsSimulation) submit(now time.Duration, r *partsRequest) {
	sim.lastID++
	if r.repeats == 0 {
		r.SharedParts = len(r.PromptParts)
		r.PromptParts = append(r.PromptParts, sched.Part{Key: ownPartKey + sim.lastID, Tokens: 400})
		r.Fingerprint = quarantine.NewFingerprint("POST", "h", "/", r.Account, fmt.Append(nil, sim.lastID))
	}
	r.Key = sched.Key{Holder: sim.lastID % 7, ID: sim.lastID}
	r.Service, r.Route, r.sentAt = service, "route", now
	r.PromptTokens, r.OutputTokens = 500, 40+sim.rng.IntN(200)
	r.Arrived, r.LatencyTarget, r.Deadline = now, now+partsLatencyTarget, now+8*time.Second
	sim.open[r.Key] = r
	out, _ := sim.s.Submit(now, r.Request)
	sim.apply(now, out)
}

// apply carries out the scheduler's decisions.
func (sim *partsSimulation) apply(now time.Duration, out []sched.Decision) {
	for _, d := range out {
		r := sim.open[d.Key]
		switch {
		case r == nil:
		case d.Reason == 0:
			sim.run(now, r, d)
		case r.server != "": // revoked
			if r.begunAt == 0 {
				r.done = true
				delete(sim.open, r.Key)
				sim.schedule(now+outcomeDelay, func(now time.Duration) {
					sim.apply(now, sim.s.Finish(now, sched.Outcome{Key: r.Key, Result: sched.CallerLeft}))
				})
			}
		default:
			delete(sim.open, r.Key)
			if r.bad < 0 && d.Reason.Quarantined() {
				sim.result.SoundRefused++
			}
		}
	}
}

func (sim *partsSimulation) run(now time.Duration, r *partsRequest, d sched.Decision) {
	r.server, r.placedAt = d.Server, now
	if !sim.live[d.Server] {
		sim.schedule(now+3*time.Millisecond, func(now time.Duration) {
			sim.apply(now, sim.s.Finish(now, sched.Outcome{Key: r.Key, Result: sched.Unreachable}))
			r.server = ""
			out, _ := sim.s.Submit(now, r.Request)
			sim.apply(now, out)
		})
		return
	}
	if r.bad >= 0 {
		sim.runs[r.bad] = append(sim.runs[r.bad], now)
	}
	crashes := r.bad >= 0 && (sim.p.CrashShare == 0 || sim.rng.Float64() < sim.p.CrashShare)
	toFirst := sim.between(60*time.Millisecond, 200*time.Millisecond)
	if crashes && !sim.p.AfterEvents {
		sim.schedule(now+toFirst, func(now time.Duration) { sim.crash(now, r) })
		return
	}
	sim.schedule(now+toFirst, func(now time.Duration) { sim.begin(now, r, d, crashes) })
}

func (sim *partsSimulation) crash(now time.Duration, r *partsRequest) {
	if r.done {
		return
	}
	sim.crashTimes[r.bad] = append(sim.crashTimes[r.bad], now)
	sim.endEngine(now, r.server)
}

// begin sends the first event of a run.
func (sim *partsSimulation) begin(now time.Duration, r *partsRequest, d sched.Decision, crashes bool) {
	if r.done {
		return
	}
	r.begunAt = now
	report := func(now time.Duration) {
		if !r.done {
			sim.apply(now, sim.s.Finish(now, sched.Outcome{Key: r.Key, Result: sched.Progress, FirstEvent: r.begunAt - r.placedAt}))
		}
	}
	delay := partsReportDelay
	if d.ReportBegin {
		delay = 0
	}
	sim.schedule(now+delay+outcomeDelay, report)
	if crashes {
		sim.schedule(now+sim.between(50*time.Millisecond, 400*time.Millisecond), func(now time.Duration) { sim.crash(now, r) })
		return
	}
	sim.schedule(now+time.Duration(r.OutputTokens)*partsTokenTime, func(now time.Duration) {
		if r.done {
			return
		}
		r.done = true
		delete(sim.open, r.Key)
		o := sched.Outcome{Key: r.Key, Result: sched.OK, FirstEvent: r.begunAt - r.placedAt, TokenTime: partsTokenTime}
		sim.schedule(now+outcomeDelay, func(now time.Duration) { sim.apply(now, sim.s.Finish(now, o)) })
	})
}

// evaluate counts what the simulation recorded.
func (sim *partsSimulation) evaluate() {
	recovered := time.Duration(0)
	for i, crashes := range sim.crashTimes {
		sim.result.Crashes = append(sim.result.Crashes, len(crashes))
		late := 0
		if len(crashes) >= tolerableCrashes {
			bound := crashes[tolerableCrashes-1] + partReactionTime
			for _, at := range sim.runs[i] {
				if at > bound {
					late++
				}
			}
		}
		sim.result.Late = append(sim.result.Late, late)
		if len(crashes) > 0 {
			recovered = max(recovered, crashes[min(len(crashes), tolerableCrashes)-1]+2*partReactionTime)
		}
	}
	for _, r := range sim.sound {
		sim.result.Sound++
		begun := r.begunAt > 0
		if begun && r.begunAt <= r.sentAt+partsLatencyTarget {
			sim.result.SoundOnTime++
		}
		switch {
		case r.sentAt < partsQuietTime-time.Second:
			sim.result.SoundBefore++
			sim.result.BegunBefore += count(begun)
		case r.sentAt > recovered:
			sim.result.SoundAfter++
			sim.result.BegunAfter += count(begun)
		}
	}
}

func count(b bool) int {
	if b {
		return 1
	}
	return 0
}
