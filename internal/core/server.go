package core

import (
	"time"

	"github.com/gentianflow/gentianflow/charts"
	"github.com/gentianflow/gentianflow/internal/chart"
	"github.com/gentianflow/gentianflow/internal/ident"
)

// The engine model behind the predictions, at speed 1. The scales of each
// server are learned, so these only have to have the right shape: a step
// prefills up to chunkTokens, and every running sequence makes it longer.
const (
	chunkTokens = 512
	prefillStep = 6 * time.Millisecond
	decodeStep  = 3 * time.Millisecond
	stepPerSeq  = 200 * time.Microsecond
	plainCall   = 5 * time.Millisecond
	learnRate   = 0.2
	minScale    = 0.2
	maxScale    = 20.0
	// forgetAfter is how long a scale stands without news; after it the scale
	// goes back to 1, by forgetRate at each tick, so that a server that was
	// slow once gets work again and is learned anew.
	forgetAfter    = 5 * time.Second
	forgetRate     = 0.01
	learnTokens    = 32 // fewer tokens say too little about a server's speed
	stallTime      = 3 * time.Second
	driftReports   = 2
	historySamples = 64
)

// run is one granted request that has not finished.
type run struct {
	item       *item
	server     *server
	grantedAt  Time
	missTokens int
	predicted  Time    // end
	firstAt    Time    // predicted first token
	scale      float64 // prefill scale that the prediction used
	orphan     bool    // its holder died; ends by the clock
}

// sample is the number of running requests from a moment on.
type sample struct {
	at Time
	n  int
}

// server is the home's view of one backend server. It sees every dispatch of
// the cell, so runs is exact; load reports only correct drift.
type server struct {
	spec         ServerSpec
	machine      chart.Machine
	runs         []*run
	foreign      float64 // requests in the server that are not ours, smoothed
	drifted      int     // load reports in a row that showed foreign work
	prefillFree  Time    // when the prefill granted so far is predicted to end
	missUntil    Time    // no aged miss before this time
	prefillScale float64
	decodeScale  float64
	prefillAt    Time          // when prefillScale was last learned
	decodeAt     Time          // when decodeScale was last learned
	stalled      time.Duration // streaming time without a single token
	cache        cacheModel
	ready        [][]*group // per tier rank: held groups with waiting requests
	readyItems   []int      // per tier rank: requests in those groups
	endSum       Time       // sum of the runs' predicted ends
	heldMark     uint64     // equals Cell.markNow while choose looks at a prefix it holds
	history      [historySamples]sample
	samples      int
}

var serverChart = charts.MustLoad().Server

// Signals of the server chart.
const (
	SignalFail    chart.Event = "fail"
	SignalRecover chart.Event = "recover"
	SignalLeave   chart.Event = "leave"
	SignalRestore chart.Event = "restore"
	SignalRemove  chart.Event = "remove"
)

const stateUp chart.State = "up"

func newServer(spec ServerSpec) *server {
	return &server{
		spec: spec, machine: serverChart.Start(), prefillScale: 1, decodeScale: 1,
		cache: newCacheModel(),
	}
}

func (s *server) id() ident.ServerID { return s.spec.ID }

func (s *server) usable() bool { return s.machine.State() == stateUp }

func (s *server) load() float64 { return float64(len(s.runs)) + s.foreign }

// prefillTime predicts the prefill of tokens with n sequences running.
func (s *server) prefillTime(tokens int, n float64) time.Duration {
	step := float64(prefillStep) + n*float64(stepPerSeq)
	return time.Duration(float64(tokens) / chunkTokens * step * s.prefillScale / s.spec.Speed)
}

// tokenTime predicts the time between tokens with n sequences running.
func (s *server) tokenTime(n float64) time.Duration {
	step := float64(decodeStep) + n*float64(stepPerSeq)
	return time.Duration(step * s.decodeScale / s.spec.Speed)
}

// backlog is the prefill that is predicted to wait in the server.
func (s *server) backlog(now Time) time.Duration {
	return max(0, s.prefillFree.Sub(now))
}

// missTokens counts the prompt tokens that s would have to compute for r.
func (s *server) missTokens(r *Request) int {
	if s.cache.holds(r.Prefix) {
		return max(1, r.PromptTokens-r.PrefixTokens)
	}
	return r.PromptTokens
}

// prediction is when r would show its first token and end if granted now.
type prediction struct {
	miss  int
	first time.Duration
	total time.Duration
}

func (s *server) predict(now Time, r *Request) prediction {
	return s.predictMiss(now, r, s.missTokens(r))
}

func (s *server) predictMiss(now Time, r *Request, miss int) prediction {
	if s.spec.Plain {
		call := time.Duration(float64(plainCall) * s.decodeScale / s.spec.Speed)
		return prediction{first: call, total: call}
	}
	n := s.load() + 1
	p := prediction{miss: miss}
	p.first = s.backlog(now) + s.prefillTime(p.miss, n)
	p.total = p.first + time.Duration(r.OutputTokens)*s.tokenTime(n)
	return p
}

// start books a granted request.
func (s *server) start(now Time, it *item) *run {
	p := s.predict(now, &it.req)
	r := &run{
		item: it, server: s, grantedAt: now, missTokens: p.miss,
		predicted: now.Add(p.total), firstAt: now.Add(p.first), scale: s.prefillScale,
	}
	s.prefillFree = now.Add(p.first)
	s.runs = append(s.runs, r)
	s.endSum += r.predicted
	s.note(now)
	return r
}

// finish takes a run out of the books.
func (s *server) finish(now Time, r *run) {
	before := len(s.runs)
	s.runs = remove(s.runs, r)
	if len(s.runs) < before {
		s.endSum -= r.predicted
	}
	s.note(now)
}

func (s *server) note(now Time) {
	s.history[s.samples%historySamples] = sample{at: now, n: len(s.runs)}
	s.samples++
}

// runsAt returns how many requests ran at a past moment, as far as known.
func (s *server) runsAt(at Time) (int, bool) {
	oldest := max(0, s.samples-historySamples)
	for i := s.samples - 1; i >= oldest; i-- {
		if h := s.history[i%historySamples]; h.at <= at {
			return h.n, true
		}
	}
	return 0, s.samples <= historySamples
}

// correct uses a load report: it is compared with what was known at the time
// it speaks of, so a late report of our own work is not counted again. Only
// an excess seen in several reports in a row counts as foreign work.
func (s *server) correct(now Time, rep LoadReport) {
	known, ok := s.runsAt(now.Add(-rep.Age))
	if !ok {
		return
	}
	excess := float64(rep.Running - known)
	if excess <= 0 {
		s.drifted = 0
		s.foreign = max(0, s.foreign+excess*learnRate)
		return
	}
	s.drifted++
	if s.drifted >= driftReports {
		s.foreign += (excess - s.foreign) * learnRate
	}
}

// learn corrects the speed scales by a finished request.
//
// Guard: many requests predicted with one scale finish one after another.
// Each is compared with the scale that its own prediction used; compared with
// the scale of now, which the ones before it have raised already, the same
// error would be added once for each of them and the scale run away.
func (s *server) learn(now Time, r *run, f Finished) {
	if f.Failed {
		return
	}
	if s.spec.Plain {
		s.decodeAt = now
		s.decodeScale = blend(s.decodeScale, f.Total, time.Duration(float64(plainCall)/s.spec.Speed))
		return
	}
	expected := r.firstAt.Sub(r.grantedAt)
	if f.PromptTokens >= chunkTokens && f.FirstToken > 0 && expected > 0 {
		s.prefillAt = now
		target := r.scale * float64(f.FirstToken) / float64(expected)
		s.prefillScale = clampScale(s.prefillScale + (target-s.prefillScale)*learnRate)
	}
}

// forget lets scales without news go back to 1.
func (s *server) forget(now Time) {
	if now.Sub(s.prefillAt) > forgetAfter {
		s.prefillScale += (1 - s.prefillScale) * forgetRate
	}
	if now.Sub(s.decodeAt) > forgetAfter {
		s.decodeScale += (1 - s.decodeScale) * forgetRate
	}
}

// progress corrects the decode scale and notices a server that stalls. It
// comes once a second, long before the answers of a server that slowed down.
func (s *server) progress(now Time, p Progress) (stalled bool) {
	if p.Tokens > 0 {
		s.stalled = 0
	} else {
		s.stalled += p.SeqTime
	}
	if p.Tokens >= learnTokens {
		s.decodeAt = now
		seen := p.SeqTime / time.Duration(p.Tokens)
		s.decodeScale = blendRatio(s.decodeScale, seen, s.tokenTime(s.load()))
	}
	return s.stalled > stallTime*time.Duration(max(1, len(s.runs)))
}

// blendRatio moves a scale towards the one at which expected equals seen.
func blendRatio(scale float64, seen, expected time.Duration) float64 {
	if expected <= 0 || seen <= 0 {
		return scale
	}
	target := scale * float64(seen) / float64(expected)
	return clampScale(scale + (target-scale)*learnRate)
}

func blend(scale float64, seen, unit time.Duration) float64 {
	target := float64(seen) / float64(unit)
	return clampScale(scale + (target-scale)*learnRate)
}

func clampScale(v float64) float64 { return min(maxScale, max(minScale, v)) }

// addReady and dropReady keep the held groups with waiting requests.
func (s *server) addReady(g *group) {
	rank := g.tier.rank
	for len(s.ready) <= rank {
		s.ready = append(s.ready, nil)
		s.readyItems = append(s.readyItems, 0)
	}
	s.ready[rank] = append(s.ready[rank], g)
	s.readyItems[rank] += g.items.len()
}

func (s *server) dropReady(g *group) {
	if rank := g.tier.rank; rank < len(s.ready) {
		s.ready[rank] = remove(s.ready[rank], g)
		s.readyItems[rank] -= g.items.len()
	}
}

// firstReady returns the earliest waiting request whose prefix s holds.
func (s *server) firstReady(rank int) *item {
	if rank >= len(s.ready) {
		return nil
	}
	var best *item
	for _, g := range s.ready[rank] {
		if it := g.head(); best == nil || it.before(best) {
			best = it
		}
	}
	return best
}
