// Package sched decides for the backend servers of the services: which
// waiting request is placed at which server, which one is refused and when its
// caller should come back. It is a pure state machine: every call takes the
// time, and nothing in it reads a clock, does I/O or starts a goroutine, so
// the daemon and the tests run the same code.
//
// One Scheduler serves all hosts while their home answers. A host that has
// lost its home runs one of its own with a share of every server, quota and
// retry budget.
package sched

import (
	"time"

	"github.com/gentianflow/gentianflow/internal/quarantine"
)

// Time is a moment on the monotonic clock of the process that runs the
// scheduler, counted from its start.
type Time = time.Duration

// Service is a group of backend servers that do the same work.
type Service struct {
	Name     string
	Engine   bool // generates tokens in batches; otherwise a plain service
	KVTokens int  // an engine's memory in tokens, 0 when not known
	// Stride is the number of output tokens in one event of a stream.
	Stride int
}

// Server is one incarnation of a backend server. One that starts again has another
// ID, so that nothing believed of the start before is held for or against it.
type Server struct {
	ID       string
	Service  string
	Version  string // of its software, empty when it is not told
	Address  string // IP:PORT
	Zone     string
	Slots    int // requests it works on at once
	Draining bool
	ColdFor  time.Duration // how much longer it is slow after its start
	Born     int64         // Unix millisecond of its start by its own clock, 0 when not told
}

// Account is a client account with its quota.
type Account struct {
	Name  string
	Rate  float64 // units a second over all hosts, 0: no limit
	Burst float64 // units
}

// Part is one piece of a prompt that requests may share.
type Part struct {
	Key    uint64
	Tokens int
}

// Key names a request: its holder, and the holder's number for it.
type Key struct {
	Holder uint64 // incarnation of the entry host
	ID     uint64
}

// Request is what the scheduler knows of a request; its body stays at the
// holder.
type Request struct {
	Key
	Zone         string // of the holder
	Service      string
	Account      string
	Priority     int // 0 is the most urgent
	PromptTokens int
	OutputTokens int     // expected, 0 for a plain call
	Units        float64 // charged to the account's quota
	Parts        []Part
	Arrived      Time // at the first holder's first ask
	Aim          Time // latency objective: first event, or whole answer
	// LeavesAt is when the caller gives up for want of an event, 0 when it
	// stays until its deadline. Callers of streams leave well before that.
	LeavesAt    Time
	Deadline    Time
	MaxPause    time.Duration // longest between events of a stream that is on time, 0: any
	Repeat      bool          // draws on the service's retry budget
	Avoid       []string      // servers that were tried already
	Fingerprint quarantine.Fingerprint
	Route       string
	Repeatable  bool // its run may be cut off: it may run again, or go on, elsewhere
}

// Result tells how a run ended.
type Result uint8

// The results of a run.
const (
	// Unused: the place was not used; nothing was sent.
	Unused Result = iota
	// OK: the whole answer arrived.
	OK
	// Left: the caller went away or ran out of time. It says nothing about
	// the server.
	Left
	// Unreachable: the connection failed before anything was sent.
	Unreachable
	// Rejected: the server said that it did not run the request.
	Rejected
	// Gone: another incarnation answers at the server's address.
	Gone
	// Errored: the server answered with a failure of its own.
	Errored
	// Broken: the answer was lost or cut off, and the server accepts connections.
	Broken
	// Silent: the server stopped answering, to new connections too.
	Silent
	// Pace: the run goes on; only its speed is reported.
	Pace
	// Stalled: the run goes on, for want of a better, but its server does not
	// answer new connections.
	Stalled
	// Ended: the answer was lost or cut off, and nothing listens at the server's address
	// any more.
	Ended
	// Unblamed: the server answered with a failure that may be the request's own; another
	// server's answer will tell.
	Unblamed
)

// NotRun reports whether nothing ran, so that the account is given back its units.
func (r Result) NotRun() bool {
	return r == Unused || r == Unreachable || r == Rejected || r == Gone
}

// Lost reports whether the answer was lost or cut off.
func (r Result) Lost() bool { return r == Broken || r == Ended }

// Outcome reports on a run.
type Outcome struct {
	Key
	Result Result
	First  time.Duration // from dispatch to the first event, 0 when unknown
	Pace   time.Duration // between output tokens, 0 when unknown
}

// Run is a run that another scheduler placed and that still lasts.
type Run struct {
	Key
	Service      string
	Server       string
	PromptTokens int
	OutputTokens int
	Elapsed      time.Duration
	MaxPause     time.Duration
	Account      string
	Fingerprint  quarantine.Fingerprint
	Repeatable   bool
}

// Reason tells why a request is refused. Nothing of it ran.
type Reason uint8

// The reasons of a refusal.
const (
	// Overload: it waited as long as may be, and no server had room.
	Overload Reason = iota + 1
	// Quota: its account is over its limit.
	Quota
	// NoServer: the service has no usable server.
	NoServer
	// Budget: the retry budget of the service is spent.
	Budget
	// NoService: the service is not in the configuration.
	NoService
	// Quarantined: servers ended while they ran the same request before.
	Quarantined
)

// String tells the reason in words, for logs and callers.
func (r Reason) String() string {
	switch r {
	case Overload:
		return "no server had room in time"
	case Quota:
		return "the account is over its quota"
	case NoServer:
		return "the service has no usable server"
	case Budget:
		return "the retry budget is spent"
	case NoService:
		return "the service is unknown"
	case Quarantined:
		return "the same request is in quarantine: servers ended while they ran it; this attempt was not run"
	}
	return "no reason"
}

// Decision is an output of the scheduler for one request. Server is set when
// it is placed; otherwise Reason and RetryAfter are.
type Decision struct {
	Key
	Server     string
	Address    string
	Waited     time.Duration // between the ask and the place
	Reason     Reason
	RetryAfter time.Duration
	// Waiting and Usable explain a refusal: how many requests of the service
	// waited, and how many of its servers were usable.
	Waiting int
	Usable  int
	// Detail explains a refusal further, for logs.
	Detail string
}
