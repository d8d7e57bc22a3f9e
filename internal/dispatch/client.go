package dispatch

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/gentianflow/gentianflow/internal/event"
	"github.com/gentianflow/gentianflow/internal/failure"
	"github.com/gentianflow/gentianflow/internal/ident"
	"github.com/gentianflow/gentianflow/internal/notice"
	"github.com/gentianflow/gentianflow/internal/origin"
	"github.com/gentianflow/gentianflow/internal/quarantine"
	"github.com/gentianflow/gentianflow/internal/sched"
	"github.com/gentianflow/gentianflow/internal/wire"
)

// PlacementRequest is a request for a placement at a backend server.
type PlacementRequest struct {
	Request         string // the caller's request ID, for logs
	Service         string
	Account         string
	Priority        int
	PromptTokens    int
	OutputTokens    int
	Units           int // charged to the account's quota
	PromptParts     []sched.Part
	SharedParts     int // how many of PromptParts, the first ones, other requests may have as well
	Arrived         time.Time
	LatencyTarget   time.Time
	CallerTimeoutAt time.Time // when the caller gives up if it has received no event, zero: at the deadline
	Deadline        time.Time
	MaxPause        time.Duration // longest interval between events of a stream that is on time, 0: no limit
	Retry           bool
	Avoid           []string
	Fingerprint     quarantine.Fingerprint
	Route           string
	Interruptible   bool // the run may be aborted and repeated or resumed on another server
	Origin          origin.Key
	Resumed         *sched.Resumed
}

// sharedPartKeys returns the keys of the prompt parts that other requests may have.
func (r *PlacementRequest) sharedPartKeys() []uint64 {
	var keys []uint64
	for _, p := range r.PromptParts[:min(r.SharedParts, len(r.PromptParts))] {
		keys = append(keys, p.Key)
	}
	return keys
}

// traits returns the traits of the request.
func (r *PlacementRequest) traits() []quarantine.Trait {
	return quarantine.TraitsOf(r.Service, r.Account, r.Route, r.sharedPartKeys())
}

// Placement is the permission to send a request once to a backend server.
type Placement struct {
	ID      uint64
	Server  string
	Address string
	Version string // of the server's software
	// Source is how the version that began a stream was known, empty if it was not asked for.
	Source sched.VersionSource
	// ReportBegin asks for a report of the first event at once.
	ReportBegin bool
	// Local is set if the local loop made the placement, not the home.
	Local bool
	// ListAge is the age of this host's server list when it received the placement.
	ListAge time.Duration
}

// ServerList is this host's view of the backend servers.
type ServerList interface {
	// Leaving reports whether a server is known to be shutting down.
	Leaving(server string) bool
	// Age is the time since the store, or a host that reads it, last reported servers.
	Age() time.Duration
}

// Refused is the error for a refused placement request. Nothing ran.
type Refused struct{ sched.Decision }

// Error implements error.
func (r *Refused) Error() string {
	return fmt.Sprintf("%s (%d waiting, %d servers usable)", r.Reason, r.Waiting, r.Usable)
}

// Timeouts for an unresponsive home. The shortest latency target is 100 ms, and a fallback
// must leave most of it.
const (
	// The home has ackFraction of the time to a placement request's latency target, within
	// minAckTimeout and maxAckTimeout, to answer with a placement, a refusal or a
	// confirmation that the request is queued. The answer takes 3 ms between availability
	// zones in normal operation; a home under a CPU quota can be throttled for 80 ms.
	ackFraction   = 0.4
	minAckTimeout = 40 * time.Millisecond
	maxAckTimeout = 200 * time.Millisecond
	// pingTimeout is how long a ping to the home may stay unanswered while requests wait
	// there.
	pingTimeout = 300 * time.Millisecond
	pingPeriod  = 150 * time.Millisecond
	// suspectTimeout is how long requests stay queued at an unresponsive home. Together
	// with the preceding pingTimeout it outlasts the pauses of hosts that are throttled by
	// a CPU quota or briefly frozen (0.25 to 0.4 s), and it leaves half of the 1.2 s that
	// the shortest streams may wait.
	suspectTimeout = 400 * time.Millisecond
	// watchPeriod is how often a link to the home is checked while a request or a ping waits there,
	// idleWatchPeriod how often otherwise.
	watchPeriod     = 20 * time.Millisecond
	idleWatchPeriod = leadingPollPeriod
	// maxPlacementAge is how old a placement may be when the holder receives it. After a
	// freeze a holder can read old placements whose servers may have shut down since.
	maxPlacementAge = 500 * time.Millisecond
	// redialPeriod is how often a Follower checks which home to follow and dials it if there is
	// no link. It is also the timeout of the dial.
	redialPeriod = 250 * time.Millisecond
	// startupPeriod replaces redialPeriod on a host that has just started or lost its home,
	// while its view of the other hosts changes quickly.
	startupPeriod = 50 * time.Millisecond
)

// pending is a placement request that waits, or the run that followed its placement.
type pending struct {
	request  *PlacementRequest
	via      *homeLink // the link to the home that handles it, nil: the local loop
	sentAt   time.Time
	acked    bool      // the home has queued the request or placed it, or the local loop handles it
	placedAt time.Time // zero while it waits
	server   string
	done     chan sched.Decision
	revoke   func(*Refused) // called when the placement is revoked, may be nil
	revoked  *Refused       // the revocation, if revoke was not set yet
	begun    bool           // the local loop knows that the answer has begun
}

// Client requests placements on behalf of this host, from the home (the host that runs the
// scheduler) or from the local loop. mu guards lastID, pending, link, fullQuotas and charges.
type Client struct {
	self    ident.Incarnation
	zone    string
	loop    *Loop
	events  *event.Recorder
	servers ServerList
	notices *notice.Table // server notices that this host has received
	loads   *loadReports  // load reports that this host has received

	mu         sync.Mutex
	lastID     uint64
	pending    map[uint64]*pending
	link       *homeLink // the home that is followed, nil: the local loop decides
	fullQuotas bool      // this host is the home and enforces each quota in full
	// charges holds, by account, the units that the local loop placed while fullQuotas was
	// not set and that have not been reported to the home.
	charges map[string]int
}

// NewClient creates a client. The decisions of loop must be passed to its DeliverLocal.
func NewClient(self ident.Incarnation, zone string, loop *Loop, servers ServerList, events *event.Recorder) *Client {
	return &Client{
		self: self, zone: zone, loop: loop, events: events, servers: servers, notices: notice.NewTable(), loads: newLoadReports(), pending: map[uint64]*pending{},
		charges: map[string]int{},
	}
}

// Acquire waits for a placement. It fails with *Refused, or with Withdrawn when ctx ends.
// The caller must call Finish for each placement.
func (c *Client) Acquire(ctx context.Context, request *PlacementRequest) (Placement, error) {
	p := &pending{request: request, done: make(chan sched.Decision, 1)}
	c.mu.Lock()
	c.lastID++
	id := c.lastID
	c.pending[id] = p
	c.send(id, p)
	c.mu.Unlock()
	for {
		select {
		case d := <-p.done:
			if d.Reason != 0 {
				return Placement{}, &Refused{d}
			}
			return Placement{ID: id, Server: d.Server, Address: d.Address, Version: d.Version, Source: d.Source, ReportBegin: d.ReportBegin, Local: c.decidedLocally(p), ListAge: c.servers.Age()}, nil
		case <-ctx.Done():
			c.withdraw(id)
			return Placement{}, failure.Wrap(failure.Withdrawn, context.Cause(ctx), "while waiting for a place")
		}
	}
}

// decidedLocally reports whether the local loop decided on p.
func (c *Client) decidedLocally(p *pending) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return p.via == nil
}

// send submits a placement request to the home, or to the local loop if no home is followed
// or its output queue is full. The caller holds mu.
func (c *Client) send(id uint64, p *pending) {
	now := time.Now()
	p.sentAt, p.acked, p.via = now, false, c.link
	if p.via != nil && p.via.request(encodeRequest(now, id, p.request)) {
		return
	}
	c.sendLocal(id, p)
}

// sendLocal submits a placement request to the local loop. The caller holds mu.
func (c *Client) sendLocal(id uint64, p *pending) {
	p.sentAt, p.acked, p.via = time.Now(), true, nil
	m := encodeRequest(p.sentAt, id, p.request)
	c.pushLocal(func(at sched.Time, s *sched.Scheduler) []sched.Decision {
		out, _ := s.Submit(at, decodeRequest(at, uint64(c.self), c.zone, m))
		return out
	})
}

// pushLocal passes an input to the local loop. The caller holds mu, so pushLocal must not
// block: the loop needs mu to deliver decisions.
func (c *Client) pushLocal(in input) {
	if !c.loop.in.TryPush(in) {
		go c.loop.push(context.Background(), in)
	}
}

// withdraw cancels a placement request whose caller has stopped waiting.
func (c *Client) withdraw(id uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.pending[id]
	if p == nil {
		return
	}
	delete(c.pending, id)
	if p.via != nil {
		p.via.withdraw(id)
		return
	}
	c.pushLocal(func(now sched.Time, s *sched.Scheduler) []sched.Decision {
		return s.Withdraw(now, sched.Key{Holder: uint64(c.self), ID: id})
	})
}

// Finish reports how the run of a placement ended, or, with the results Progress and Stalled,
// the state of a run that continues. timeToFirst is the time from dispatch to the first
// event and tokenInterval the time per output token; both are 0 if unknown.
func (c *Client) Finish(id uint64, result sched.Result, timeToFirst, tokenInterval time.Duration) {
	c.FinishStream(id, result, sched.RunReport{FirstEvent: timeToFirst, TokenTime: tokenInterval})
}

// FinishStream is Finish for the run of a stream, with all that was observed.
func (c *Client) FinishStream(id uint64, result sched.Result, t sched.RunReport) {
	o := sched.Outcome{Key: sched.Key{Holder: uint64(c.self), ID: id}, Result: result, FirstEvent: t.FirstEvent, TokenTime: t.TokenTime, LongestGap: t.LongestGap, OutputTokens: t.OutputTokens}
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.pending[id]
	if p == nil {
		return
	}
	if result != sched.Progress && result != sched.Stalled {
		delete(c.pending, id)
	}
	if result == sched.ServerEnded && p.via != nil {
		c.learnLoss(p, t.FirstEvent > 0)
	}
	if p.via != nil {
		c.recordAnswer(p, o)
		p.via.finish(o)
		return
	}
	if result.NotRun() {
		c.charge(p.request, -1)
	}
	c.pushLocal(func(now sched.Time, s *sched.Scheduler) []sched.Decision { return s.Finish(now, o) })
}

// learnEstimates adopts the home's estimates of server speeds and stream pauses.
func (c *Client) learnEstimates(m *wire.ToHolder) {
	if len(m.Paces) == 0 && len(m.Pauses) == 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pushLocal(func(now sched.Time, s *sched.Scheduler) []sched.Decision {
		s.ImportLearned(now, decodePaces(m.Paces))
		s.ImportPauses(now, decodePauses(m.Pauses))
		return nil
	})
}

// RecordServerFault reports that a server failed a request which another server then answered.
func (c *Client) RecordServerFault(server string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.link != nil {
		c.link.push(&wire.ToHome{Blamed: []string{server}}) // dropped if the queue is full: the next failure is reported as well
		return
	}
	c.pushLocal(func(now sched.Time, s *sched.Scheduler) []sched.Decision {
		s.RecordServerFault(now, server)
		return nil
	})
}

// ServerReached reports that a server which was found to be unreachable answers again.
func (c *Client) ServerReached(server string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.link != nil {
		c.link.push(&wire.ToHome{Reached: []string{server}}) // dropped if the queue is full: the ejection then ends by itself
	}
	c.pushLocal(func(now sched.Time, s *sched.Scheduler) []sched.Decision { return s.ServerReached(now, server) })
}

// DeliverLocal accepts decisions of the local loop.
func (c *Client) DeliverLocal(out []sched.Decision) { c.deliver(out, nil) }

// deliver accepts decisions for this host, from a home or, if via is nil, from the local loop.
func (c *Client) deliver(out []sched.Decision, via *homeLink) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, d := range out {
		c.applyDecision(d, via)
	}
}

// applyDecision applies one decision. If the home changed after the request was sent, the
// decision may come from the previous scheduler. The request has been submitted to another
// one since, so such a placement is returned.
func (c *Client) applyDecision(d sched.Decision, via *homeLink) {
	p := c.pending[d.ID]
	if p != nil && !p.placedAt.IsZero() && d.Reason.Quarantined() {
		if p.revoke != nil {
			p.revoke(&Refused{d})
		} else {
			p.revoked = &Refused{d}
		}
		return
	}
	if p == nil || p.via != via || !p.placedAt.IsZero() {
		if d.Reason == 0 {
			c.returnPlacement(d.ID, via, sched.Unused)
		}
		return
	}
	now := time.Now()
	if d.Reason != 0 {
		delete(c.pending, d.ID)
		p.done <- d
		return
	}
	if now.Sub(p.sentAt)-d.Waited > maxPlacementAge {
		c.returnPlacement(d.ID, via, sched.Unused)
		c.send(d.ID, p)
		return
	}
	// A home that has lost its connection to the store still places at servers that have
	// shut down since. If this host knows of the shutdown, it returns the placement with
	// the result Replaced, which informs the home, and submits the request again.
	if c.leaving(d.Server) {
		c.returnPlacement(d.ID, via, sched.Replaced)
		c.send(d.ID, p)
		return
	}
	// The notice was sent to the home before, so the home knows of the backoff when the
	// placement is returned.
	if c.notices.Get(d.Server).Backoff(now) > 0 {
		c.returnPlacement(d.ID, via, sched.Unused)
		c.send(d.ID, p)
		return
	}
	p.placedAt, p.server, p.acked = now, d.Server, true
	if via == nil {
		c.charge(p.request, 1)
	} else {
		c.noteOrigin(now, p.request, d.Version)
	}
	p.done <- d
}

// leaving reports whether a server is known to be shutting down, from the server list or
// from a notice of the server itself.
func (c *Client) leaving(server string) bool {
	return c.servers.Leaving(server) || c.notices.Get(server).Leaving
}

// returnPlacement returns an unused placement to the scheduler that made it.
func (c *Client) returnPlacement(id uint64, via *homeLink, result sched.Result) {
	o := sched.Outcome{Key: sched.Key{Holder: uint64(c.self), ID: id}, Result: result}
	if via != nil {
		via.finish(o)
		return
	}
	c.pushLocal(func(now sched.Time, s *sched.Scheduler) []sched.Decision { return s.Finish(now, o) })
}

// markQueued records that the home has queued the placement requests.
func (c *Client) markQueued(ids []uint64, via *homeLink) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, id := range ids {
		if p := c.pending[id]; p != nil && p.via == via {
			p.acked = true
		}
	}
}

// FollowsHome reports whether new placement requests go to a home on another host.
func (c *Client) FollowsHome() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.link != nil
}

// Pending returns the numbers of waiting placement requests and of current runs.
func (c *Client) Pending() (waiting, running int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, p := range c.pending {
		if p.placedAt.IsZero() {
			waiting++
		} else {
			running++
		}
	}
	return waiting, running
}
