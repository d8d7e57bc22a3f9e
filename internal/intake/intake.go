// Package intake bounds what the clients of a process can make it hold: connections and memory. It needs
// nothing of the clients, and does not depend on who they are.
//
// An Intake is the budget of a process. Its listeners wrap accepted connections, so that each is counted from
// its first byte on. When a limit is reached, connections whose clients the process waits for are closed to
// let others in, those first that have not completed a request, and among these the oldest.
package intake

import (
	"container/list"
	"fmt"
	"sync"
	"time"

	"github.com/gentianflow/gentianflow/internal/failure"
)

// Limits are the limits of an Intake.
type Limits struct {
	Connections int   // descriptors for all listeners together; 0: no limit
	Memory      int64 // bytes that connections and heads may take together; 0: no limit
	WithBodies  int64 // bytes that they and bodies may take together; 0: no limit
}

// Refusals are what an Intake refused or closed since the last report.
type Refusals struct {
	Closed  int64 // connections that were closed in favor of others
	Refused int64 // connections that were closed at once since no other could be
	Heads   int64 // requests that were refused when their head had arrived, for want of memory
	Bodies  int64 // requests whose body was refused, for want of memory
	TooLong int64 // requests whose head was longer than heads may be
}

func (r Refusals) any() bool { return r != Refusals{} }

// String implements fmt.Stringer.
func (r Refusals) String() string {
	return fmt.Sprintf("connections_closed=%d connections_refused=%d heads_refused=%d bodies_refused=%d heads_too_long=%d", r.Closed, r.Refused, r.Heads, r.Bodies, r.TooLong)
}

// Usage is what the clients hold at a moment.
type Usage struct {
	Connections int
	Memory      int64 // of connections and heads
	Bodies      int64 // of bodies
	Limits      Limits
}

// reportPeriod is the shortest time between two reports.
const reportPeriod = time.Second

// Options are the properties of an Intake that do not change.
type Options struct {
	MaxHead     int           // bytes of a request's head, 0: no limit
	HeadTimeout time.Duration // from the first byte of a head to its last one, 0: no limit
	// Refusal returns the body of an answer to a request that the server does not get, from its head as far as
	// it was received. Where it is nil, such answers have no body.
	Refusal func(head []byte, code failure.Code, message string) []byte
	// Report is called when something was refused or closed, at most once in a second; may be nil.
	Report func(Refusals)
}

// Intake is the budget of a process for its clients. mu guards all fields below it.
type Intake struct {
	options Options

	mu         sync.Mutex
	limits     Limits
	listeners  []*Listener
	open       int
	memory     int64 // of connections and heads
	bodies     int64
	pending    Refusals
	reportedAt time.Time
}

// New returns an Intake.
func New(limits Limits, options Options) *Intake { return &Intake{limits: limits, options: options} }

// SetLimits changes the limits, and closes connections that exceed them now.
func (in *Intake) SetLimits(l Limits) {
	in.mu.Lock()
	in.limits = l
	var victims []*Conn
	for _, listener := range in.listeners {
		limit := listener.limit()
		for limit > 0 && listener.conns.open > limit {
			victim := listener.conns.oldest(ever)
			if victim == nil {
				break
			}
			victim.remove()
			victims = append(victims, victim)
		}
	}
	victims = append(victims, in.makeRoom(forHead, 0, ever)...)
	in.mu.Unlock()
	in.closeAll(victims)
}

// closeAll closes connections that were removed in favor of others.
func (in *Intake) closeAll(victims []*Conn) {
	for _, c := range victims {
		c.abandon()
	}
	if len(victims) > 0 {
		in.count(func(r *Refusals) { r.Closed += int64(len(victims)) })
	}
}

// Usage returns what the clients hold now.
func (in *Intake) Usage() Usage {
	in.mu.Lock()
	defer in.mu.Unlock()
	return Usage{Connections: in.open, Memory: in.memory, Bodies: in.bodies, Limits: in.limits}
}

// count adds to the next report, and reports if the last one is long enough ago. It is called without mu.
func (in *Intake) count(add func(*Refusals)) {
	in.mu.Lock()
	add(&in.pending)
	r := Refusals{}
	if now := time.Now(); now.Sub(in.reportedAt) >= reportPeriod {
		r, in.pending, in.reportedAt = in.pending, Refusals{}, now
	}
	in.mu.Unlock()
	if r.any() && in.options.Report != nil {
		in.options.Report(r)
	}
}

// stallTime is how long the process waits for a client before others may get the memory that the client holds.
const stallTime = time.Second

// use is what memory is taken for.
type use int

const (
	forHead use = iota // connections, heads and requests in progress
	forBody
)

// reserve takes memory for a connection and reports whether the limit allows it. Only a half of what is left is
// given to one, so that small requests still find room when large ones have been refused. Clients that the
// process has waited for since stallTime give way.
func (in *Intake) reserve(c *Conn, u use, bytes int64) bool {
	in.mu.Lock()
	victims := in.makeRoom(u, bytes, time.Now().Add(-stallTime))
	fits := c.counted && in.fits(u, bytes)
	if fits {
		in.add(c, u, bytes)
	}
	in.mu.Unlock()
	in.closeAll(victims)
	return fits
}

// add counts memory of a connection. The caller holds mu.
func (in *Intake) add(c *Conn, u use, bytes int64) {
	if u == forBody {
		in.bodies += bytes
		c.body += bytes
		return
	}
	in.memory += bytes
	c.memory += bytes
}

// fits reports whether so much memory may be given to one connection. The caller holds mu.
//
// Bodies take just what they state, while heads and what belongs to a request in progress are estimates; so heads
// have a smaller limit.
func (in *Intake) fits(u use, bytes int64) bool {
	if in.limits.WithBodies > 0 && bytes > (in.limits.WithBodies-in.memory-in.bodies)/2 {
		return false
	}
	return u == forBody || in.limits.Memory <= 0 || bytes <= (in.limits.Memory-in.memory)/2
}

// makeRoom removes connections that have waited for their clients since before a time until so much memory may
// be given to one, or none is left. The caller holds mu, and closes them.
func (in *Intake) makeRoom(u use, bytes int64, before time.Time) (victims []*Conn) {
	for !in.fits(u, bytes) {
		victim := in.oldest(before)
		if victim == nil {
			break
		}
		victim.remove()
		victims = append(victims, victim)
	}
	return victims
}

// oldest returns the connection that gives way first among those that have waited since before a time.
func (in *Intake) oldest(before time.Time) (first *Conn) {
	for _, l := range in.listeners {
		if c := l.conns.oldest(before); c != nil && (first == nil || c.since.Before(first.since)) {
			first = c
		}
	}
	return first
}

// release gives memory of a connection back.
func (in *Intake) release(c *Conn, u use, bytes int64) {
	in.mu.Lock()
	defer in.mu.Unlock()
	if c.counted {
		in.add(c, u, -bytes)
	}
}

// releaseRequest gives back the memory of a connection but that of the connection itself and of its buffer.
func (in *Intake) releaseRequest(c *Conn) {
	in.mu.Lock()
	defer in.mu.Unlock()
	if c.counted {
		in.add(c, forHead, connectionCost+c.buffered-c.memory)
		in.add(c, forBody, -c.body)
	}
}

// connections are the connections of a listener, by what the process waits for. The Intake's mu guards them.
type connections struct {
	fresh   *list.List // for the first request
	idle    *list.List // for a further request
	eager   *list.List // for nothing: the client has sent more behind a request in progress
	body    *list.List // for the rest of a body
	closing *list.List // for the client to read a refusal
	open    int
}

func newConnections() connections {
	return connections{fresh: list.New(), idle: list.New(), eager: list.New(), body: list.New(), closing: list.New()}
}

// ever is later than any time since which a connection has waited.
var ever = time.Unix(1<<40, 0)

// oldest returns the connection to close in favor of another among those that have waited since before a time,
// nil if there is none: the process is at work for the rest.
//
// A connection without a request is not closed for being the only one while the others are idle: it is as
// likely an ordinary client's as theirs.
func (c *connections) oldest(before time.Time) *Conn {
	order := []*list.List{c.closing, c.idle, c.fresh, c.eager}
	if e := c.fresh.Front(); e != nil && (c.fresh.Len() > c.idle.Len() || time.Since(e.Value.(*Conn).since) > stallTime) {
		order = []*list.List{c.closing, c.fresh, c.idle, c.eager}
	}
	for _, waiting := range order {
		if e := waiting.Front(); e != nil && e.Value.(*Conn).since.Before(before) {
			return e.Value.(*Conn)
		}
	}
	if slowest := c.slowestBody(); slowest != nil && slowest.since.Before(before) {
		return slowest
	}
	return nil
}

// slowestBody returns the connection whose body has not progressed for longest, nil if none is being read. A
// body that has progressed since it was put on the list goes to its end.
func (c *connections) slowestBody() *Conn {
	for range c.body.Len() {
		first := c.body.Front().Value.(*Conn)
		progress := time.Unix(0, first.progress.Load())
		if !progress.After(first.since) {
			return first
		}
		c.body.MoveToBack(first.element)
		first.since = time.Now()
	}
	if e := c.body.Front(); e != nil {
		return e.Value.(*Conn)
	}
	return nil
}
