package sched

import (
	"math"
	"slices"
	"time"

	"github.com/gentianflow/gentianflow/internal/quarantine"
)

// run is one placed request.
type run struct {
	req     *Request
	server  *server
	placed  Time
	first   time.Duration // predicted, 0 when it has been learned from
	ends    Time          // predicted
	tokens  int           // of engine memory
	orphan  bool          // its holder is gone; it ends by the clock
	repaid  bool
	class   int  // by size, in its lane
	counted bool // in its lane as served
	trial   bool // isolated, and has shown no progress yet
}

// server is the scheduler's view of one backend server. Every placement is
// booked here at once, so no load report is needed to know what it works on.
type server struct {
	Server
	running     int
	runs        []*run
	trials      int  // of runs, those isolated
	tokens      int  // of memory, that the runs need
	prefillFree Time // when the prompts placed so far are predicted to be read
	tokenTime   time.Duration
	paced       bool    // tokenTime was learned from it
	failing     float64 // share of the newest answers that failed
	failedAt    Time
	benchUntil  Time
	timeOut     time.Duration // the first
	bench       time.Duration // the next
	fullUntil   Time
	coldUntil   Time
	lot         float64 // 0 to 1, drawn for this scheduler; see Scheduler.places
	cache       prefixCache
	kept        idleConnections
	known       Time // when it was first listed
	wellAt      Time // when it answered last
	ended       bool // nothing listens there any more
	endedAt     Time
	leaves      bool              // it was listed as leaving before it ended
	breaks      []quarantine.Loss // answers that broke off lately
	pacer       pacer
	rests       map[uint64]Time // by holder, until when it wants nothing from it
}

func newServer(now Time, spec Server, svc *service, timeOut time.Duration) *server {
	s := &server{Server: spec, tokenTime: svc.typicalTokenTime(), timeOut: timeOut, bench: timeOut, known: now, leaves: spec.Draining}
	s.coldUntil = now + spec.ColdFor
	s.cache.capacity = svc.KVTokens
	return s
}

func (s *server) usable(now Time) bool {
	return !s.Draining && now >= s.benchUntil
}

// room reports whether s may take one more request now, with limit places.
//
// Guard: a server that comes back from time out may still be gone. It gets one
// request at a time until one was answered, not as many as it has places. One that runs a
// request isolated may be about to end, with all that is sent there meanwhile.
func (s *server) room(now Time, limit int) bool {
	if s.trials > 0 || s.bench > s.timeOut && s.running > 0 {
		return false
	}
	return s.usable(now) && now >= s.fullUntil && s.running < limit && s.pacer.ready(now)
}

// open reports whether s may be sent r: it was not tried already and has not asked the
// holder for rest.
func (s *server) open(now Time, r *Request) bool {
	return now >= s.rests[r.Holder] && !slices.Contains(r.Avoid, s.ID)
}

// hasMemory reports whether an engine's memory holds r beside what runs there. One
// that is larger than the memory is left to an idle engine to reject.
func (s *server) hasMemory(svc *service, r *Request) bool {
	return svc.KVTokens == 0 || s.running == 0 || s.tokens+r.PromptTokens+r.OutputTokens <= svc.KVTokens
}

// prediction is when a request placed now would show its first event and end.
type prediction struct {
	prefill time.Duration // of its own prompt
	first   time.Duration
	total   time.Duration
}

func (s *server) predict(now Time, svc *service, r *Request) prediction {
	if !svc.Engine {
		d := svc.callTime() * time.Duration(s.running+s.Slots) / time.Duration(max(1, s.Slots))
		return prediction{first: d, total: d}
	}
	prompt := r.PromptTokens - s.cache.cachedTokens(r.Parts)
	var p prediction
	p.prefill = time.Duration(float64(prompt) * svc.prefillRatio * float64(s.tokenTime))
	p.first = max(0, s.prefillFree-now) + p.prefill + s.tokenTime
	p.total = p.first + time.Duration(r.OutputTokens)*s.tokenTime
	if now < s.coldUntil {
		p.first *= 2
		p.total *= 2
	}
	return p
}

// failureShare is the share of failures, faded by the time since the newest.
func (s *server) failureShare(now Time) float64 {
	if s.failing == 0 {
		return 0
	}
	return s.failing * math.Exp2(-float64(now-s.failedAt)/float64(failureHalfLife))
}

func (s *server) start(now Time, svc *service, r *Request) *run {
	p := s.predict(now, svc, r)
	s.prefillFree = max(s.prefillFree, now) + p.prefill
	s.running++
	tokens := r.PromptTokens + r.OutputTokens
	s.tokens += tokens
	s.cache.use(now, r.Parts)
	s.kept.acquire(r.Holder)
	placed := &run{req: r, server: s, placed: now, first: p.first, ends: now + min(p.total, maxPredictedTime), tokens: tokens}
	s.runs = append(s.runs, placed)
	return placed
}

func (s *server) finish(r *run) {
	s.running--
	s.endTrial(r)
	s.tokens -= r.tokens
	s.runs = slices.DeleteFunc(s.runs, func(have *run) bool { return have == r })
}

// endTrial opens the server to others again: r has ended, or is well on its way.
func (s *server) endTrial(r *run) {
	if r.trial {
		r.trial = false
		s.trials--
	}
}

// learn takes in how a run went. It reports whether the server is to be left
// alone for a while.
func (s *server) learn(now Time, o Outcome) {
	if o.Result == OK || o.Result == Pace {
		s.wellAt = now
	}
	if o.Pace > 0 {
		s.learnPace(min(max(o.Pace, minTokenTime), maxTokenTime))
	}
	switch o.Result {
	case OK:
		s.kept.release(now, o.Holder)
		s.failing = s.failureShare(now) * (1 - failureWeight)
		s.failedAt = now
		s.bench = s.timeOut
	case Errored:
		s.failed(now)
	case Broken, Silent, Unreachable, Ended:
		s.failed(now)
		if o.Result != Broken || s.failing > ejectionFailureShare {
			s.leaveAlone(now)
		}
	case Stalled:
		s.leaveAlone(now)
	case Rejected:
		s.fullUntil = now + rejectedBackoff
	case Gone:
		s.Draining = true
	}
}

// learnPace takes in the time between output tokens of a run. The first sample
// counts in full: engines differ several times in speed, and a home that has just
// begun would send long prompts to slow ones until it has seen a dozen answers.
func (s *server) learnPace(pace time.Duration) {
	rate := tokenTimeWeight
	if !s.paced {
		rate, s.paced = 1, true
	}
	s.tokenTime += time.Duration(float64(pace-s.tokenTime) * rate)
}

// leaveAlone takes the server out for a while, twice as long each time until
// an answer arrives. Runs that were placed together fail together: they count
// once.
func (s *server) leaveAlone(now Time) {
	if now < s.benchUntil {
		return
	}
	s.benchUntil = now + s.bench
	s.bench = min(maxEjectionFactor*s.timeOut, 2*s.bench)
}

func (s *server) failed(now Time) {
	f := s.failureShare(now)
	s.failing = f + (1-f)*failureWeight
	s.failedAt = now
}
