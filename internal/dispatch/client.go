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
	"github.com/gentianflow/gentianflow/internal/quarantine"
	"github.com/gentianflow/gentianflow/internal/sched"
	"github.com/gentianflow/gentianflow/internal/wire"
)

// Ask is a request's wish for a place at a backend server.
type Ask struct {
	Request      string // the caller's id, for the log
	Service      string
	Account      string
	Priority     int
	PromptTokens int
	OutputTokens int
	Units        int
	Parts        []sched.Part
	Arrived      time.Time
	Aim          time.Time
	LeavesAt     time.Time // when its caller gives up for want of an event, zero: at the deadline
	Deadline     time.Time
	MaxPause     time.Duration // longest between events of a stream that is on time, 0: any
	Repeat       bool
	Avoid        []string
	Fingerprint  quarantine.Fingerprint
	Route        string
	Repeatable   bool // its run may be cut off: it may run again, or go on, elsewhere
}

// Place is the permission to send a request once to a server.
type Place struct {
	ID      uint64
	Server  string
	Address string
	// Alone: this host gave it, not a home.
	Alone bool
	// ListAge is how old this host's list of servers was when it got the place.
	ListAge time.Duration
}

// ServerList is what this host knows of backend servers.
type ServerList interface {
	// Leaving reports whether this host knows that a server leaves.
	Leaving(server string) bool
	// Age is how long ago the store, or a reader of it, told of servers last.
	Age() time.Duration
}

// Refused is the error of an ask that gets no place. Nothing ran.
type Refused struct{ sched.Decision }

// Error implements error.
func (r *Refused) Error() string {
	return fmt.Sprintf("%s (%d waiting, %d servers usable)", r.Reason, r.Waiting, r.Usable)
}

// Silence bounds. The shortest latency objective is 100 ms, and a fallback
// must leave most of it.
const (
	// The home may take ackShare of an ask's latency objective, between
	// ackLeast and ackMost, to answer it with a place, a refusal or the word
	// that it waits. Between availability zones that is 3 ms when all is well;
	// a home whose processor is a quota may stand still for 80 ms.
	ackShare = 0.4
	ackLeast = 40 * time.Millisecond
	ackMost  = 200 * time.Millisecond
	// silentAfter is how long a home may leave a ping unanswered while
	// requests wait there.
	silentAfter = 300 * time.Millisecond
	pingPeriod  = 150 * time.Millisecond
	// suspectTime is how long asks go on waiting at a home that fell silent. It
	// outlasts the pauses seen of hosts whose processor is a quota or that are
	// frozen for a moment (0.25 to 0.4 s with silentAfter before it), and leaves
	// half of the 1.2 s that the shortest streams may wait.
	suspectTime = 400 * time.Millisecond
	watchPeriod = 20 * time.Millisecond
	// staleAfter is how old a place may be when its holder gets to use it. A
	// holder that was frozen wakes with places whose servers may have left.
	staleAfter   = 500 * time.Millisecond
	redialPeriod = 250 * time.Millisecond
	// startPeriod is the same for a host that has just started or lost its home, and
	// learns of others from one moment to the next.
	startPeriod = 50 * time.Millisecond
)

// pending is an ask that waits, or the run that came of it.
type pending struct {
	ask    *Ask
	via    *homeLink // nil: the loop of this host
	sent   time.Time
	acked  bool
	placed time.Time // zero while it waits
	server string
	done   chan sched.Decision
	revoke func(*Refused) // of a place, nil: nobody is to be told
}

// Client asks for places on behalf of this host. mu guards next, pending, link, whole
// and charges.
type Client struct {
	self    ident.Incarnation
	zone    string
	loop    *Loop
	events  *event.Recorder
	servers ServerList
	notices *notice.Table // what servers said to this host

	mu      sync.Mutex
	next    uint64
	pending map[uint64]*pending
	link    *homeLink // the home that is followed; nil: decide here
	whole   bool      // this host is the home and gives out the whole of each quota
	// charges is what this host's own loop gave out of accounts' quotas while it was not,
	// and the home has not been told.
	charges map[string]int
}

// NewClient makes the asking side. Its DeliverLocal must get the loop's
// decisions.
func NewClient(self ident.Incarnation, zone string, loop *Loop, servers ServerList, events *event.Recorder) *Client {
	return &Client{
		self: self, zone: zone, loop: loop, events: events, servers: servers, notices: notice.NewTable(), pending: map[uint64]*pending{},
		charges: map[string]int{},
	}
}

// Acquire waits for a place. It fails with *Refused, or with the error of ctx.
// The holder of a place must call Finish.
func (c *Client) Acquire(ctx context.Context, ask *Ask) (Place, error) {
	p := &pending{ask: ask, done: make(chan sched.Decision, 1)}
	c.mu.Lock()
	c.next++
	id := c.next
	c.pending[id] = p
	c.send(id, p)
	c.mu.Unlock()
	for {
		select {
		case d := <-p.done:
			if d.Reason != 0 {
				return Place{}, &Refused{d}
			}
			return Place{ID: id, Server: d.Server, Address: d.Address, Alone: c.alone(p), ListAge: c.servers.Age()}, nil
		case <-ctx.Done():
			c.withdraw(id)
			return Place{}, failure.Wrap(failure.Withdrawn, context.Cause(ctx), "while waiting for a place")
		}
	}
}

// alone reports whether the loop of this host decided on p.
func (c *Client) alone(p *pending) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return p.via == nil
}

// send passes an ask to the home, or to the loop here. The caller holds mu.
func (c *Client) send(id uint64, p *pending) {
	now := time.Now()
	p.sent, p.acked, p.via = now, false, c.link
	if p.via != nil && p.via.ask(encodeAsk(now, id, p.ask)) {
		return
	}
	c.sendLocal(id, p)
}

// sendLocal asks the loop of this host. The caller holds mu.
func (c *Client) sendLocal(id uint64, p *pending) {
	p.sent, p.acked, p.via = time.Now(), true, nil
	m := encodeAsk(p.sent, id, p.ask)
	c.local(func(at sched.Time, s *sched.Scheduler) []sched.Decision {
		out, _ := s.Submit(at, decodeAsk(at, uint64(c.self), c.zone, m))
		return out
	})
}

// local gives the loop of this host an input. It is called with mu held and
// must not wait, since the loop's deliveries need mu.
func (c *Client) local(in input) {
	if !c.loop.in.TryPush(in) {
		go c.loop.push(context.Background(), in)
	}
}

// withdraw ends an ask whose caller does not wait for it any more.
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
	c.local(func(now sched.Time, s *sched.Scheduler) []sched.Decision {
		return s.Withdraw(now, sched.Key{Holder: uint64(c.self), ID: id})
	})
}

// Finish reports how the run of a place ended; with the results Pace and
// Stalled, how it goes while it lasts.
func (c *Client) Finish(id uint64, result sched.Result, first, pace time.Duration) {
	o := sched.Outcome{Key: sched.Key{Holder: uint64(c.self), ID: id}, Result: result, First: first, Pace: pace}
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.pending[id]
	if p == nil {
		return
	}
	if result != sched.Pace && result != sched.Stalled {
		delete(c.pending, id)
	}
	if result == sched.Ended && p.via != nil {
		c.learnLoss(p, first > 0)
	}
	if p.via != nil {
		p.via.finish(o)
		return
	}
	if result.NotRun() {
		c.charge(p.ask, -1)
	}
	c.local(func(now sched.Time, s *sched.Scheduler) []sched.Decision { return s.Finish(now, o) })
}

// taught takes over what the home has learned of servers.
func (c *Client) taught(paces []*wire.Pace) {
	if len(paces) == 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.local(func(_ sched.Time, s *sched.Scheduler) []sched.Decision {
		s.Teach(decodePaces(paces))
		return nil
	})
}

// Blame tells that a server failed a request that another one then answered.
func (c *Client) Blame(server string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.link != nil {
		c.link.push(&wire.ToHome{Blamed: []string{server}}) // lost when the ring is full: the next failure tells too
		return
	}
	c.local(func(now sched.Time, s *sched.Scheduler) []sched.Decision {
		s.Blame(now, server)
		return nil
	})
}

// DeliverLocal takes decisions of the loop of this host.
func (c *Client) DeliverLocal(out []sched.Decision) { c.deliver(out, nil) }

// deliver takes decisions for this host, from the loop here or from a home.
func (c *Client) deliver(out []sched.Decision, via *homeLink) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, d := range out {
		c.decide(d, via)
	}
}

// decide applies one decision. One that comes from elsewhere than the ask went
// to crossed a change of home: the ask was sent anew, so the place goes back.
func (c *Client) decide(d sched.Decision, via *homeLink) {
	p := c.pending[d.ID]
	if p != nil && !p.placed.IsZero() && d.Reason == sched.Quarantined {
		if p.revoke != nil {
			p.revoke(&Refused{d})
		}
		return
	}
	if p == nil || p.via != via || !p.placed.IsZero() {
		if d.Reason == 0 {
			c.giveBack(d.ID, via, sched.Unused)
		}
		return
	}
	now := time.Now()
	if d.Reason != 0 {
		delete(c.pending, d.ID)
		p.done <- d
		return
	}
	if now.Sub(p.sent)-d.Waited > staleAfter {
		c.giveBack(d.ID, via, sched.Unused)
		c.send(d.ID, p)
		return
	}
	// Guard: a home that is cut off from the store goes on placing at servers
	// that have left since. This host may know better; giving the place back
	// so tells the home, and the request asks again.
	if c.leaving(d.Server) {
		c.giveBack(d.ID, via, sched.Gone)
		c.send(d.ID, p)
		return
	}
	// The home has been told before it gets the place back.
	if c.notices.Of(d.Server).Rest(now) > 0 {
		c.giveBack(d.ID, via, sched.Unused)
		c.send(d.ID, p)
		return
	}
	p.placed, p.server, p.acked = now, d.Server, true
	if via == nil {
		c.charge(p.ask, 1)
	}
	p.done <- d
}

// leaving reports whether this host knows that a server leaves: from the list, or from the
// server itself.
func (c *Client) leaving(server string) bool {
	return c.servers.Leaving(server) || c.notices.Of(server).Leaving
}

func (c *Client) giveBack(id uint64, via *homeLink, why sched.Result) {
	o := sched.Outcome{Key: sched.Key{Holder: uint64(c.self), ID: id}, Result: why}
	if via != nil {
		via.finish(o)
		return
	}
	c.local(func(now sched.Time, s *sched.Scheduler) []sched.Decision { return s.Finish(now, o) })
}

// queued notes that the home has an ask in its queue.
func (c *Client) queued(ids []uint64, via *homeLink) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, id := range ids {
		if p := c.pending[id]; p != nil && p.via == via {
			p.acked = true
		}
	}
}

// Pending returns how many asks wait and how many runs last.
func (c *Client) Pending() (waiting, running int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, p := range c.pending {
		if p.placed.IsZero() {
			waiting++
		} else {
			running++
		}
	}
	return waiting, running
}
