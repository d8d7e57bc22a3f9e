package core

import (
	"time"

	"github.com/gentianflow/gentianflow/charts"
	"github.com/gentianflow/gentianflow/internal/chart"
	"github.com/gentianflow/gentianflow/internal/ident"
)

// The engine model behind the predictions, at speed 1. The scales of each
// server are learned, so the model needs only the right shape: a step prefills
// up to chunkTokens, and every running sequence makes the step longer.
const (
	chunkTokens         = 512
	prefillStepTime     = 6 * time.Millisecond
	decodeStepTime      = 3 * time.Millisecond
	stepTimePerSequence = 200 * time.Microsecond
	plainCallTime       = 5 * time.Millisecond
	smoothingFactor     = 0.2
	minScale            = 0.2
	maxScale            = 20.0
	// scaleDecayDelay is the time without a new sample after which a scale
	// decays towards 1, by scaleDecayRate at each tick. So a server that was
	// slow once gets work again and new samples.
	scaleDecayDelay  = 5 * time.Second
	scaleDecayRate   = 0.01
	minSampleTokens  = 32 // with fewer tokens, a sample says too little about a server's speed
	stallTimeout     = 3 * time.Second
	minExcessReports = 2
	historySamples   = 64
)

// run is one granted request that has not finished.
type run struct {
	item                *item
	server              *server
	grantedAt           Time
	missTokens          int
	predictedEnd        Time
	predictedFirstToken Time
	usedPrefillScale    float64 // prefill scale that the prediction used
	orphan              bool    // its holder's session has ended; ends at predictedEnd plus OrphanGrace
}

// sample is the number of running requests from a moment on.
type sample struct {
	at Time
	n  int
}

// server is the home's view of one backend server. The home sees every
// dispatch of the cell, so runs is exact; load reports only correct drift.
type server struct {
	spec             ServerSpec
	machine          chart.Machine
	runs             []*run
	foreign          float64 // smoothed number of requests that did not come from this cell
	excessReports    int     // consecutive load reports that showed foreign requests
	prefillEndsAt    Time    // predicted end of the prefill granted so far
	noAgedMissUntil  Time    // no prefill of an aged request with a miss before this time
	prefillScale     float64
	decodeScale      float64
	prefillLearnedAt Time          // time of the newest sample of prefillScale
	decodeLearnedAt  Time          // time of the newest sample of decodeScale
	stalled          time.Duration // streaming time without a token
	cache            cacheModel
	cachedGroups     [][]*group // by tier rank: groups of waiting requests whose prefix is cached
	cachedWaiting    []int      // by tier rank: number of requests in those groups
	predictedEndSum  Time       // sum of the runs' predicted ends
	cacheHitMark     uint64     // equals Cell.currentHitMark if the prefix that chooseServer looks at is cached here
	history          [historySamples]sample
	sampleCount      int
}

var serverChart = charts.MustLoad().Server

// Events of the server's state chart.
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

// prefillTime predicts the prefill time of tokens with n running sequences.
func (s *server) prefillTime(tokens int, n float64) time.Duration {
	step := float64(prefillStepTime) + n*float64(stepTimePerSequence)
	return time.Duration(float64(tokens) / chunkTokens * step * s.prefillScale / s.spec.Speed)
}

// tokenTime predicts the time per output token with n running sequences.
func (s *server) tokenTime(n float64) time.Duration {
	step := float64(decodeStepTime) + n*float64(stepTimePerSequence)
	return time.Duration(step * s.decodeScale / s.spec.Speed)
}

// backlog returns the predicted time until s has finished all prefill granted
// so far.
func (s *server) backlog(now Time) time.Duration {
	return max(0, s.prefillEndsAt.Sub(now))
}

// missTokens returns the number of prompt tokens that s must compute for r.
func (s *server) missTokens(r *Request) int {
	if s.cache.contains(r.Prefix) {
		return max(1, r.PromptTokens-r.PrefixTokens)
	}
	return r.PromptTokens
}

// prediction holds the predicted times from grant to first token and to end,
// for a request granted now.
type prediction struct {
	miss  int // prompt tokens to compute
	first time.Duration
	total time.Duration
}

func (s *server) predict(now Time, r *Request) prediction {
	return s.predictMiss(now, r, s.missTokens(r))
}

// predictMiss predicts r with the given number of prompt tokens to compute.
func (s *server) predictMiss(now Time, r *Request, miss int) prediction {
	if s.spec.Plain {
		call := time.Duration(float64(plainCallTime) * s.decodeScale / s.spec.Speed)
		return prediction{first: call, total: call}
	}
	n := s.load() + 1
	p := prediction{miss: miss}
	p.first = s.backlog(now) + s.prefillTime(p.miss, n)
	p.total = p.first + time.Duration(r.OutputTokens)*s.tokenTime(n)
	return p
}

// start adds a run for a granted request.
func (s *server) start(now Time, it *item) *run {
	p := s.predict(now, &it.req)
	r := &run{
		item: it, server: s, grantedAt: now, missTokens: p.miss,
		predictedEnd: now.Add(p.total), predictedFirstToken: now.Add(p.first), usedPrefillScale: s.prefillScale,
	}
	s.prefillEndsAt = now.Add(p.first)
	s.runs = append(s.runs, r)
	s.predictedEndSum += r.predictedEnd
	s.recordSample(now)
	return r
}

// finish removes a run.
func (s *server) finish(now Time, r *run) {
	before := len(s.runs)
	s.runs = remove(s.runs, r)
	if len(s.runs) < before {
		s.predictedEndSum -= r.predictedEnd
	}
	s.recordSample(now)
}

func (s *server) recordSample(now Time) {
	s.history[s.sampleCount%historySamples] = sample{at: now, n: len(s.runs)}
	s.sampleCount++
}

// runsAt returns how many requests ran at a past moment. It returns false when
// the history does not reach back that far.
func (s *server) runsAt(at Time) (int, bool) {
	oldest := max(0, s.sampleCount-historySamples)
	for i := s.sampleCount - 1; i >= oldest; i-- {
		if h := s.history[i%historySamples]; h.at <= at {
			return h.n, true
		}
	}
	return 0, s.sampleCount <= historySamples
}

// applyLoadReport updates foreign from a load report. The report is compared
// with the runs at the time it describes, so that a late report does not count
// this cell's own requests as foreign. An excess counts only after several
// consecutive reports.
func (s *server) applyLoadReport(now Time, rep LoadReport) {
	known, ok := s.runsAt(now.Add(-rep.Age))
	if !ok {
		return
	}
	excess := float64(rep.Running - known)
	if excess <= 0 {
		s.excessReports = 0
		s.foreign = max(0, s.foreign+excess*smoothingFactor)
		return
	}
	s.excessReports++
	if s.excessReports >= minExcessReports {
		s.foreign += (excess - s.foreign) * smoothingFactor
	}
}

// learn updates the speed scales from a finished request.
//
// Many requests predicted with the same scale finish one after another. Each
// is therefore compared with the scale that its own prediction used. Compared
// with the current scale, which the earlier ones have already raised, the same
// error would be added once per request and the scale would run away.
func (s *server) learn(now Time, r *run, f Finished) {
	if f.Failed {
		return
	}
	if s.spec.Plain {
		s.decodeLearnedAt = now
		s.decodeScale = smoothScale(s.decodeScale, f.Total, time.Duration(float64(plainCallTime)/s.spec.Speed))
		return
	}
	expected := r.predictedFirstToken.Sub(r.grantedAt)
	if f.PromptTokens >= chunkTokens && f.FirstToken > 0 && expected > 0 {
		s.prefillLearnedAt = now
		target := r.usedPrefillScale * float64(f.FirstToken) / float64(expected)
		s.prefillScale = clampScale(s.prefillScale + (target-s.prefillScale)*smoothingFactor)
	}
}

// decayScales moves scales without new samples back towards 1.
func (s *server) decayScales(now Time) {
	if now.Sub(s.prefillLearnedAt) > scaleDecayDelay {
		s.prefillScale += (1 - s.prefillScale) * scaleDecayRate
	}
	if now.Sub(s.decodeLearnedAt) > scaleDecayDelay {
		s.decodeScale += (1 - s.decodeScale) * scaleDecayRate
	}
}

// progress updates the decode scale and reports whether the server stalls.
// Progress events come once a second, so they show a slow server long before
// its answers end.
func (s *server) progress(now Time, p Progress) (stalled bool) {
	if p.Tokens > 0 {
		s.stalled = 0
	} else {
		s.stalled += p.StreamTime
	}
	if p.Tokens >= minSampleTokens {
		s.decodeLearnedAt = now
		observed := p.StreamTime / time.Duration(p.Tokens)
		s.decodeScale = adjustScale(s.decodeScale, observed, s.tokenTime(s.load()))
	}
	return s.stalled > stallTimeout*time.Duration(max(1, len(s.runs)))
}

// adjustScale moves a scale towards the value at which expected equals
// observed.
func adjustScale(scale float64, observed, expected time.Duration) float64 {
	if expected <= 0 || observed <= 0 {
		return scale
	}
	target := scale * float64(observed) / float64(expected)
	return clampScale(scale + (target-scale)*smoothingFactor)
}

// smoothScale moves a scale towards the ratio of observed to unit.
func smoothScale(scale float64, observed, unit time.Duration) float64 {
	target := float64(observed) / float64(unit)
	return clampScale(scale + (target-scale)*smoothingFactor)
}

func clampScale(v float64) float64 { return min(maxScale, max(minScale, v)) }

// addCachedGroup and removeCachedGroup maintain the groups of waiting requests
// whose prefix s has cached.
func (s *server) addCachedGroup(g *group) {
	rank := g.tier.rank
	for len(s.cachedGroups) <= rank {
		s.cachedGroups = append(s.cachedGroups, nil)
		s.cachedWaiting = append(s.cachedWaiting, 0)
	}
	s.cachedGroups[rank] = append(s.cachedGroups[rank], g)
	s.cachedWaiting[rank] += g.items.len()
}

func (s *server) removeCachedGroup(g *group) {
	if rank := g.tier.rank; rank < len(s.cachedGroups) {
		s.cachedGroups[rank] = remove(s.cachedGroups[rank], g)
		s.cachedWaiting[rank] -= g.items.len()
	}
}

// firstCached returns the earliest waiting request whose prefix s has cached.
func (s *server) firstCached(rank int) *item {
	if rank >= len(s.cachedGroups) {
		return nil
	}
	var best *item
	for _, g := range s.cachedGroups[rank] {
		if it := g.head(); best == nil || it.before(best) {
			best = it
		}
	}
	return best
}
