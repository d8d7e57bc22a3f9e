package sched

import (
	"math"
	"slices"
	"time"

	"github.com/gentianflow/gentianflow/internal/quarantine"
)

// run is a request that was placed at a server.
type run struct {
	req             *Request
	server          *server
	placed          Time
	predictedFirst  time.Duration // predicted time to the first event, 0 once a sample was taken
	predictedEnd    Time          // when the run is predicted to end
	reservedTokens  int           // KV cache tokens reserved at the engine
	orphan          bool          // its holder is gone; it is dropped after predictedEnd
	refunded        bool
	class           int  // size class within its priority queue
	countedAsServed bool // in the served count of its size class
	charge          shareCharge
	accepted        bool               // the server has begun to answer, so it will not reject the request
	begun           bool               // it has been reported that the answer has begun
	isolated        bool               // nothing else is placed at the server until the run shows progress
	isolatedToEnd   bool               // or, with this, until it ends
	tested          []quarantine.Trait // the traits that it tests; see suspicionOf
	slowdownAtStart float64            // of the server when the run was placed
	elapsedAtStart  float64            // see serverload.State.Elapsed
	prefillEnd      Time               // when the prefill of its prompt is predicted to end
	// concurrentPrefill is the most prefill of later prompts that was pending at once beside the run,
	// first at concurrentPrefillAt.
	concurrentPrefill   time.Duration
	concurrentPrefillAt Time
}

// server is the scheduler's view of one backend server. Each placement is
// recorded here at once, so the server's load is known without load reports.
type server struct {
	Server
	running           int
	runs              []*run
	isolatedRuns      int  // how many of runs are isolated
	reservedTokens    int  // KV cache tokens reserved by the runs
	prefillFreeAt     Time // when prefill of the prompts placed so far is predicted to end
	tokenTime         time.Duration
	load              *serverLoad // as it reports it, nil until the first report that is used
	tokenTimeMeasured bool        // tokenTime comes from the server's own answers
	slowSampleAt      Time        // of the first implausible sample of the token time, 0 if the newest was plausible
	failureRate       float64     // moving average of the fraction of answers that failed, as of failureUpdatedAt
	failureUpdatedAt  Time
	ejectedUntil      Time
	firstEjection     time.Duration // length of the first ejection
	nextEjection      time.Duration // length of the next ejection
	pausedUntil       Time          // no requests until then, since it rejected one
	coldUntil         Time          // end of its warm-up, until which it is slower
	hashFraction      float64       // 0 to 1, differs by host and server
	roundingFraction  float64       // 0 to 1, differs by host and server; rounds a host's fractional share of the slots
	cache             prefixCache
	idleConnections   idleConnections
	firstListedAt     Time // when the server list first had it
	lastAnswerAt      Time // last complete answer or progress
	answers           answerTimes
	ended             bool // nothing listens at its address any more
	endedAt           Time
	leaving           bool              // it was known to shut down before it ended
	brokenAnswers     []quarantine.Loss // recent answers that were cut off
	pacer             pacer
	rejections        rejections
	backoffs          map[uint64]Time // by holder, until when nothing is sent for that holder
	serving           *service        // the service that places requests here, nil if unlisted or on trial
	entry             indexEntry      // its place in the index of serving
}

func newServer(now Time, spec Server, svc *service, firstEjection time.Duration) *server {
	s := &server{Server: spec, tokenTime: svc.typicalTokenTime(), firstEjection: firstEjection, nextEjection: firstEjection, firstListedAt: now, leaving: spec.Draining}
	s.coldUntil = now + spec.WarmUp
	s.cache.capacity = svc.KVTokens
	return s
}

// usable reports whether s is neither draining nor unlisted nor ejected.
func (s *server) usable(now Time) bool {
	return !s.Draining && !s.Unlisted && now >= s.ejectedUntil
}

// hasRoom reports whether s may be sent one more request now, with at most maxRunning at
// once.
//
// A server whose ejection is over may still be down, so it gets one request at a time until
// one is answered. A server with an isolated run gets nothing else: the run may end the
// server, and all that is sent there meanwhile would be lost.
func (s *server) hasRoom(now Time, maxRunning int) bool {
	if s.isolatedRuns > 0 || s.nextEjection > s.firstEjection && s.running > 0 {
		return false
	}
	return s.usable(now) && now >= s.pausedUntil && s.running < maxRunning && s.pacer.ready(now) && s.toleratesRejection(now)
}

// eligible reports whether s may be sent r: r was not tried there, s has not asked the holder
// to back off, and has the version of the stream that r goes on with.
func (s *server) eligible(now Time, r *Request) bool {
	if r.Resumed != nil && (!r.Resumed.Known || r.Resumed.Version != s.Version) {
		return false
	}
	return now >= s.backoffs[r.Holder] && !slices.Contains(r.Avoid, s.ID)
}

// hasMemory reports whether r fits into the engine's KV cache together with the runs there. A
// request larger than the whole KV cache goes to an idle engine, which rejects it.
func (s *server) hasMemory(svc *service, r *Request) bool {
	return svc.KVTokens == 0 || s.running == 0 || s.reservedTokens+r.PromptTokens+r.OutputTokens <= svc.KVTokens
}

// prediction estimates a request that is placed now.
type prediction struct {
	prefill time.Duration // of its own prompt
	first   time.Duration // until its first event
	total   time.Duration // until its end
}

func (s *server) predict(now Time, svc *service, r *Request) prediction {
	return s.predictAt(now, svc, r, s.slowdown(now))
}

// predictAt predicts r at s with a slowdown. The pending prefill was predicted with the slowdown that
// held at its placement.
func (s *server) predictAt(now Time, svc *service, r *Request, slowdown float64) prediction {
	if !svc.Engine {
		d := svc.usualCallTime() * time.Duration(s.running+s.Slots) / time.Duration(max(1, s.Slots))
		return prediction{first: d, total: d}.slowedBy(slowdown)
	}
	prompt := r.PromptTokens - s.cache.cachedTokens(r.PromptParts)
	var p prediction
	p.prefill = time.Duration(float64(prompt) * svc.prefillRatio * float64(s.tokenTime))
	p.first = p.prefill + s.tokenTime
	p.total = p.first + time.Duration(r.OutputTokens)*s.tokenTime
	p = p.slowedBy(slowdown)
	pending := max(0, s.prefillFreeAt-now)
	p.first += pending
	p.total += pending
	if now < s.coldUntil {
		p.first *= 2
		p.total *= 2
	}
	return p
}

// failureRateAt returns the failure rate, decayed by the time since its last update.
func (s *server) failureRateAt(now Time) float64 {
	if s.failureRate == 0 {
		return 0
	}
	return s.failureRate * math.Exp2(-float64(now-s.failureUpdatedAt)/float64(failureHalfLife))
}

func (s *server) start(now Time, svc *service, r *Request) *run {
	p := s.predict(now, svc, r)
	s.prefillFreeAt = max(s.prefillFreeAt, now) + p.prefill
	s.noteConcurrentPrefill(now)
	s.running++
	s.load.add(now, s.running)
	reservedTokens := r.PromptTokens + r.OutputTokens
	s.reservedTokens += reservedTokens
	s.cache.use(now, r.PromptParts)
	s.idleConnections.acquire(r.Holder)
	placed := &run{
		req: r, server: s, placed: now, predictedFirst: p.first, predictedEnd: now + min(p.total, maxPredictedTime), reservedTokens: reservedTokens,
		prefillEnd: s.prefillFreeAt, slowdownAtStart: s.slowdown(now), elapsedAtStart: s.load.elapsed(now),
	}
	s.runs = append(s.runs, placed)
	return placed
}

func (s *server) finish(r *run) {
	s.running--
	s.endIsolation(r)
	s.reservedTokens -= r.reservedTokens
	s.runs = slices.DeleteFunc(s.runs, func(have *run) bool { return have == r })
}

// endIsolation lets the server take other requests again, after r has ended or shown
// progress.
func (s *server) endIsolation(r *run) {
	if r.isolated {
		r.isolated = false
		s.isolatedRuns--
	}
}

// learn updates the server's estimates from the outcome of a run, and ejects the server
// when the outcome calls for it. spare tells that enough others are usable; otherwise a server
// that accepts connections is not ejected for answers that broke.
func (s *server) learn(now Time, o Outcome, spare bool) {
	if o.Result == OK || o.Result == Progress {
		s.lastAnswerAt = now
		s.answers.add(now, o.Holder)
	}
	if o.TokenTime > 0 {
		s.learnTokenTime(min(max(o.TokenTime, minTokenTime), maxTokenTime))
	}
	switch o.Result {
	case OK:
		s.idleConnections.release(now, o.Holder)
		s.failureRate = s.failureRateAt(now) * (1 - failureWeight)
		s.failureUpdatedAt = now
		s.nextEjection = s.firstEjection
	case ServerError:
		s.recordFailure(now)
	case Broken, Unresponsive, Unreachable, ServerEnded:
		s.recordFailure(now)
		if o.Result != Broken || spare && s.failureRate > ejectionFailureRate {
			s.eject(now)
		}
	case Stalled:
		s.eject(now)
	case Rejected:
		s.pausedUntil = now + rejectedBackoff
	case Replaced:
		s.Draining = true
	}
}

// learnTokenTime updates the time per output token from a run. The first sample counts in
// full: engines differ in speed by a factor of several, and a newly started home would
// otherwise send long prompts to slow engines until it had seen a dozen answers.
func (s *server) learnTokenTime(sample time.Duration) {
	weight := tokenTimeWeight
	if !s.tokenTimeMeasured {
		weight, s.tokenTimeMeasured = 1, true
	}
	s.tokenTime += time.Duration(float64(sample-s.tokenTime) * weight)
}

// maxPlausibleSlowness is the multiple of the typical token time up to which one run suffices as a
// sample. Engines of a service differ by a factor of three.
const maxPlausibleSlowness = 4

// plausible reports whether a sample of the token time is to be learned, from a run placed at a
// time, where other servers typically take typical.
//
// A host that was paused counts the pause as the time of the streams that it was reading. Its
// sample made a server look so slow that nothing was placed there and no better sample ever came.
// So an implausible one must be confirmed by a run that was placed after it.
func (s *server) plausible(now, placed Time, sample, typical time.Duration) bool {
	if sample <= maxPlausibleSlowness*typical {
		s.slowSampleAt = 0
		return true
	}
	if s.slowSampleAt == 0 {
		s.slowSampleAt = now
	}
	return placed > s.slowSampleAt
}

// eject stops sending to the server for a while, twice as long each time up to a limit, until
// an answer arrives. Failures during an ejection don't extend it, since runs that were placed
// together fail together.
func (s *server) eject(now Time) {
	if now < s.ejectedUntil {
		return
	}
	s.ejectedUntil = now + s.nextEjection
	s.nextEjection = min(maxEjectionFactor*s.firstEjection, 2*s.nextEjection)
}

// recordFailure adds a failed answer to the failure rate.
func (s *server) recordFailure(now Time) {
	f := s.failureRateAt(now)
	s.failureRate = f + (1-f)*failureWeight
	s.failureUpdatedAt = now
}
