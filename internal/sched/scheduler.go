package sched

import (
	"slices"
	"time"

	"github.com/gentianflow/gentianflow/internal/quarantine"
	"github.com/gentianflow/gentianflow/internal/rollout"
)

// Scheduler owns the queues of all services. One goroutine owns it; nothing
// in it is safe for concurrent use.
type Scheduler struct {
	policy   Policy
	share    Share
	owner    uint64 // incarnation of the host; decides its lots
	services map[string]*service
	servers  map[string]*server
	quotas   []Account // as configured
	accounts map[string]*bucket
	runs     map[Key]*run
	orphans  int
	suspects *quarantine.Table
	lapse    time.Duration // how long after its end a server is listed, at most
	faults   requestFailures
	copies   map[quarantine.Fingerprint]int    // of runs
	review   map[quarantine.Fingerprint]string // to be judged again, with their service
	versions map[string]*versions              // by service
	notices  map[string]serverNotice           // by server
	bounds   rollout.Bounds
	rollouts []rollout.Standing // steps since RolloutNews
	out      []Decision         // of the running call
}

// service is a service with its queue.
type service struct {
	Service
	servers  []*server // that serve
	onTrial  []*server // of a version that is tried
	versions *versions
	queue    queue
	retries  bucket
	lead     spread        // from a place to the first event or the whole answer
	typical  time.Duration // typicalTokenTime as worked out, 0 when it may have changed
	handover spread        // of a plain call's place, beyond the time that its server has it
	tried    Time          // when a request that has seen two ends was placed last
	// readShare is what an engine takes to read one prompt token, as a part of what it
	// takes to generate one.
	readShare float64
}

// Share is the part that a scheduler has: all as the home, less as a host that
// decides alone.
type Share struct {
	Servers float64 // of every server's places
	Limits  float64 // of every account's quota and service's retry budget
	Sends   float64 // of the requests a second that servers name as their limit
}

// DefaultLapse is how long a server's entry outlives it when the platform does not tell how
// often servers renew theirs.
const DefaultLapse = 4500 * time.Millisecond

// New makes a scheduler with no services.
func New(p Policy) *Scheduler {
	s := &Scheduler{
		policy: p, share: Share{Servers: 1, Limits: 1, Sends: 1},
		services: map[string]*service{}, servers: map[string]*server{},
		accounts: map[string]*bucket{}, runs: map[Key]*run{},
		suspects: quarantine.NewTable(), faults: newRequestFailures(), copies: map[quarantine.Fingerprint]int{},
		review: map[quarantine.Fingerprint]string{}, versions: map[string]*versions{}, notices: map[string]serverNotice{}, bounds: rollout.DefaultBounds(),
	}
	s.SetLapse(DefaultLapse)
	return s
}

// typicalTokenTime is what a server of unknown speed is taken to need for a
// token: the middle of those that are known.
func (svc *service) typicalTokenTime() time.Duration {
	if len(svc.servers) == 0 {
		return defaultTokenTime
	}
	if svc.typical > 0 {
		return svc.typical
	}
	times := make([]time.Duration, 0, len(svc.servers))
	for _, srv := range svc.servers {
		times = append(times, srv.tokenTime)
	}
	slices.Sort(times)
	svc.typical = times[len(times)/2]
	return svc.typical
}

// Submit asks for a place. The decision may come now or after a later event;
// it reports true when the request waits. An ask under a known key replaces the
// earlier one.
func (s *Scheduler) Submit(now Time, r Request) (out []Decision, waits bool) {
	s.out = nil
	s.forget(now, r.Key)
	svc := s.services[r.Service]
	w := &waiting{Request: r, asked: now}
	switch {
	case svc == nil:
		s.refuse(now, w, NoService, s.policy.RetryAfter)
		return s.out, false
	case s.standing(now, &r) == quarantine.Quarantined:
		s.refuseQuarantined(now, w)
		return s.out, false
	case r.Repeat && !s.repeat(now, svc):
		s.refuse(now, w, Budget, s.policy.RetryAfter)
		return s.out, false
	case !r.Repeat:
		svc.retries.give(now, s.policy.RetryRatio)
	}
	if wait := s.quotaQueue(now, svc, &r); s.wholeQuotas() && wait > s.longestQuotaWait(&r) {
		s.refuse(now, w, Quota, max(wait, s.policy.RetryAfter))
		return s.out, false
	}
	lane := svc.queue.lane(r.Priority)
	lane.arrived.add(now)
	w.class = lane.sizes.ask(now, svc.work(&r))
	w.rank = s.rank(now, lane, w)
	svc.queue.add(w)
	placed := s.offerTo(now, svc, w)
	if !placed && s.hopeless(now, svc, lane, w) && s.unqueue(r.Key) {
		s.refuse(now, w, Overload, s.returnAfter(now, w))
	}
	// Other hosts may be served where this one is not.
	if !placed && s.allBackedOff(now, svc, w) && s.unqueue(r.Key) {
		s.refuse(now, w, Overload, s.policy.RetryAfter)
	}
	refused := slices.ContainsFunc(s.out, func(d Decision) bool { return d.Key == r.Key })
	return s.out, !placed && !refused
}

// offerTo places w, which has just come, if a server has room for it, and reports
// whether it did. Whoever waits already was offered what there is when it opened.
func (s *Scheduler) offerTo(now Time, svc *service, w *waiting) bool {
	if s.offerTrial(now, svc, w) || s.offerNewVersion(now, svc, w) {
		svc.queue.remove(w.Key)
		return true
	}
	if free := s.withRoom(now, svc); len(free) > 0 && s.try(now, svc, s.offer(now, svc, free), w) {
		svc.queue.remove(w.Key)
		return true
	}
	return false
}

// hopeless reports whether w, which has just come, is to be refused at once.
//
// Guard: in a burst most of a lane wait as long as they may and are refused then;
// their callers learn late what was plain when they asked, and come back late.
// Requests that may wait for seconds outlast many bursts and are not judged, nor
// are plain calls, which wait for a tenth of a second, nor repeats, whose first run
// would be lost, nor any by a host that decides alone: it has a home again in a
// moment.
func (s *Scheduler) hopeless(now Time, svc *service, l *lane, w *waiting) bool {
	longest := time.Duration(float64(w.Deadline-w.Arrived) * s.policy.WaitShare)
	if !svc.Engine || longest > hopelessWait || s.share.Servers < 1 || w.Repeat {
		return false
	}
	if len(l.fresh)+len(l.late) < s.policy.HopelessFrom {
		return false
	}
	return l.hopeless(now, svc.lead.high(), w)
}

// forget drops what is booked under a key.
//
// Guard: a holder that lost its link to the home, or took it for silent, asks
// anew for what it has no place for, while the home still has the first ask. Were
// both counted, the first one's place would be held for ever: the server takes
// less and less, and callers are refused while it is idle.
func (s *Scheduler) forget(now Time, k Key) {
	s.unqueue(k)
	if r := s.runs[k]; r != nil {
		s.repay(now, r)
		s.drop(r)
	}
}

// unqueue takes a request out of the queue that it waits in, and reports whether
// there was one.
func (s *Scheduler) unqueue(k Key) bool {
	for _, svc := range s.services {
		if svc.queue.remove(k) != nil {
			return true
		}
	}
	return false
}

// rank is the place of a request in its lane. One whose like are placed too seldom is not
// put off.
func (s *Scheduler) rank(now Time, l *lane, w *waiting) Time {
	if l.sizes.behind(now, w.class, s.policy.SizeFloor) {
		return w.Arrived
	}
	return w.Arrived + s.putOff(&w.Request)
}

// putOff is how far a request stands back in its lane for the length of its answer.
func (s *Scheduler) putOff(r *Request) time.Duration {
	length := time.Duration(float64(r.OutputTokens) * float64(defaultTokenTime) * s.policy.LengthWeight)
	most := time.Duration(float64(r.Deadline-r.Arrived) * s.policy.WaitShare * s.policy.LengthMost)
	return min(length, most)
}

// repeat draws on the retry budget of a service.
func (s *Scheduler) repeat(now Time, svc *service) bool {
	if svc.retries.level < 1 {
		return false
	}
	svc.retries.take(now, 1)
	return true
}

// Withdraw takes a request back that waits, or gives back a place that was
// not used.
func (s *Scheduler) Withdraw(now Time, k Key) []Decision {
	if s.unqueue(k) {
		return nil
	}
	return s.Finish(now, Outcome{Key: k, Result: Unused})
}

// Finish ends a run, or with the results Pace and Stalled learns from one that
// goes on.
func (s *Scheduler) Finish(now Time, o Outcome) []Decision {
	s.out = nil
	r := s.runs[o.Key]
	if r == nil {
		return nil
	}
	s.learnVersion(now, r, o)
	s.learnServer(now, r, o)
	s.learnEnd(now, r, o)
	if svc := s.services[r.req.Service]; svc != nil && o.Pace > 0 {
		svc.typical = 0
	}
	if svc := s.services[r.req.Service]; svc != nil && o.First > 0 && !o.Result.Lost() {
		svc.learnReading(r, o.First)
		if o.Result == OK {
			svc.lead.add(o.First)
			svc.learnHandover(now-r.placed, o.First)
		}
	}
	if o.Result == Pace {
		r.server.endIsolation(r)
		s.suspects.Progress(now, r.req.Fingerprint)
	}
	if o.Result == Pace || o.Result == Stalled {
		return nil
	}
	if o.Result.NotRun() {
		s.repay(now, r)
	}
	if svc := s.services[r.req.Service]; svc != nil && r.countedAsServed && o.Result != OK {
		svc.queue.lane(r.req.Priority).sizes.served[r.class].add(now, -1)
	}
	s.drop(r)
	s.reviewSuspects(now)
	listed := s.servers[r.server.ID] == r.server
	if svc := s.services[r.req.Service]; svc != nil && listed && r.server.hasRoom(now, s.places(svc, r.server)) {
		if slices.Contains(svc.servers, r.server) {
			s.fill(now, svc, []*server{r.server})
		} else {
			s.fillTrial(now, svc)
		}
	}
	return s.out
}

// learnServer takes in what a run's end tells of its server.
func (s *Scheduler) learnServer(now Time, r *run, o Outcome) {
	if s.faults.recordOutcome(now, r.req.Fingerprint, r.server.ID, o.Result) {
		o.Result = Left // it says nothing about the server
	}
	if (o.Result == OK || o.Result == Pace) && r.placed > r.server.endedAt {
		r.server.ended = false // it was not its end
	}
	r.server.learn(now, o)
}

// Blame counts a failure against a server: it failed a request that another
// server then answered. A failure alone does not tell, since some requests fail
// wherever they run; were those counted, every server would look like a faulty
// one, and the faulty one like the others.
func (s *Scheduler) Blame(now Time, server string) {
	if srv := s.servers[server]; srv != nil {
		srv.recordFailure(now)
	}
}

// repay gives an account back what a request that did not run was charged.
func (s *Scheduler) repay(now Time, r *run) {
	if b := s.accounts[r.req.Account]; b != nil && !r.refunded {
		b.give(now, r.req.Units)
		r.refunded = true
	}
}

func (s *Scheduler) drop(r *run) {
	if r.orphan {
		s.orphans--
	}
	r.server.finish(r)
	s.addCopies(r.req.Fingerprint, -1)
	delete(s.runs, r.req.Key)
}

// Adopt books a run that another scheduler placed, or one of its own that its
// holder still has. Its holder reports its end.
func (s *Scheduler) Adopt(now Time, a Run) {
	if old := s.runs[a.Key]; old != nil && old.server.ID == a.Server {
		if old.orphan {
			old.orphan = false
			s.orphans--
		}
		return
	}
	s.forget(now, a.Key)
	srv, svc := s.servers[a.Server], s.services[a.Service]
	if srv == nil || svc == nil {
		return
	}
	req := &Request{Key: a.Key, Service: a.Service, PromptTokens: a.PromptTokens, OutputTokens: a.OutputTokens, MaxPause: a.MaxPause, Account: a.Account, Fingerprint: a.Fingerprint, Repeatable: a.Repeatable}
	r := srv.start(now, svc, req)
	if a.Elapsed < countedRun {
		srv.pacer.take(now)
	}
	r.predictedEnd = max(now, r.predictedEnd-a.Elapsed)
	r.refunded = true // charged elsewhere
	s.runs[a.Key] = r
	s.addCopies(a.Fingerprint, 1)
}

// HolderGone drops what a holder had waiting. Its runs go on at their servers
// until their predicted end, unless it comes back and reports them.
func (s *Scheduler) HolderGone(now Time, holder uint64) {
	for _, svc := range s.services {
		svc.queue.each(func(w *waiting) (bool, bool) { return w.Holder == holder, false })
	}
	for k, r := range s.runs {
		if k.Holder == holder && !r.orphan {
			r.orphan = true
			r.predictedEnd = max(now, r.predictedEnd) + orphanGrace
			s.orphans++
		}
	}
}

// Tick lets time pass: requests that waited too long are refused, orphaned
// runs end, places of benched servers open again.
func (s *Scheduler) Tick(now Time) []Decision {
	s.out = nil
	s.expireOrphans(now)
	s.reviewSuspects(now)
	s.advanceTrials(now)
	for _, svc := range s.services {
		if svc.queue.size > 0 {
			s.fillTrial(now, svc)
			s.fill(now, svc, s.withRoom(now, svc))
			s.expire(now, svc)
		}
	}
	return s.out
}

func (s *Scheduler) expireOrphans(now Time) {
	if s.orphans == 0 {
		return
	}
	for _, r := range s.runs {
		if r.orphan && now >= r.predictedEnd {
			s.drop(r)
		}
	}
}

// Waiting returns how many requests wait, over all services.
func (s *Scheduler) Waiting() int {
	n := 0
	for _, svc := range s.services {
		n += svc.queue.size
	}
	return n
}

// Running returns how many runs are booked.
func (s *Scheduler) Running() int { return len(s.runs) }

// refuseQuarantined refuses w until it may be tried again.
func (s *Scheduler) refuseQuarantined(now Time, w *waiting) {
	s.refuse(now, w, Quarantined, max(s.policy.RetryAfter, s.suspects.RetryIn(now, w.Fingerprint)))
}

func (s *Scheduler) refuse(now Time, w *waiting, why Reason, after time.Duration) {
	d := Decision{Key: w.Key, Reason: why, RetryAfter: after, Detail: s.suspects.Explain(now, w.Fingerprint)}
	if svc := s.services[w.Service]; svc != nil {
		d.Waiting = svc.queue.size
		for _, srv := range svc.servers {
			if srv.usable(now) {
				d.Usable++
			}
		}
	}
	s.out = append(s.out, d)
}
