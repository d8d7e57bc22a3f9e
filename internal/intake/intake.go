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
)

// Limits are the limits of an Intake.
type Limits struct {
	Connections int // descriptors for all listeners together; 0: no limit
}

// Refusals are what an Intake refused or closed since the last report.
type Refusals struct {
	Closed  int64 // connections that were closed in favor of others
	Refused int64 // connections that were closed at once since no other could be
}

func (r Refusals) any() bool { return r != Refusals{} }

// String implements fmt.Stringer.
func (r Refusals) String() string {
	return fmt.Sprintf("connections_closed=%d connections_refused=%d", r.Closed, r.Refused)
}

// Usage is what the clients hold at a moment.
type Usage struct {
	Connections int
	Limits      Limits
}

// reportPeriod is the shortest time between two reports.
const reportPeriod = time.Second

// Intake is the budget of a process for its clients. mu guards all fields below it.
type Intake struct {
	report func(Refusals)

	mu         sync.Mutex
	limits     Limits
	listeners  []*Listener
	open       int
	pending    Refusals
	reportedAt time.Time
}

// New returns an Intake. report is called when something was refused or closed, at most once in a second.
func New(limits Limits, report func(Refusals)) *Intake {
	return &Intake{limits: limits, report: report}
}

// SetLimits changes the limits, and closes connections that exceed them now.
func (in *Intake) SetLimits(l Limits) {
	in.mu.Lock()
	in.limits = l
	var victims []*Conn
	for _, listener := range in.listeners {
		limit := listener.limit()
		for victim := listener.conns.oldest(); limit > 0 && listener.conns.open > limit && victim != nil; victim = listener.conns.oldest() {
			victim.remove()
			victims = append(victims, victim)
		}
	}
	in.mu.Unlock()
	in.closeAll(victims)
}

// closeAll closes connections that were removed in favor of others.
func (in *Intake) closeAll(victims []*Conn) {
	for _, c := range victims {
		_ = c.Conn.Close()
	}
	if len(victims) > 0 {
		in.count(func(r *Refusals) { r.Closed += int64(len(victims)) })
	}
}

// Usage returns what the clients hold now.
func (in *Intake) Usage() Usage {
	in.mu.Lock()
	defer in.mu.Unlock()
	return Usage{Connections: in.open, Limits: in.limits}
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
	if r.any() && in.report != nil {
		in.report(r)
	}
}

// connections are the connections of a listener, by what the process waits for. The Intake's mu guards them.
type connections struct {
	fresh *list.List // for the first request
	idle  *list.List // for a further request
	open  int
}

func newConnections() connections { return connections{fresh: list.New(), idle: list.New()} }

// oldest returns the connection to close in favor of another, nil if the process is at work for all of them.
func (c *connections) oldest() *Conn {
	for _, waiting := range []*list.List{c.fresh, c.idle} {
		if e := waiting.Front(); e != nil {
			return e.Value.(*Conn)
		}
	}
	return nil
}
