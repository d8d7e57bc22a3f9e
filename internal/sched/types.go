// Package sched decides at which backend server a waiting request is placed, which
// requests are refused, and when the caller of a refused request should retry. It is a pure
// state machine: each call is given the time, and nothing in it reads a clock, does I/O or
// starts a goroutine, so the daemon and the tests run the same code.
//
// Submit queues a Request, Finish ends its run (its execution at the server where it was
// placed), and Tick handles the passing of time. Each returns the Decisions made. Policy
// holds the parameters.
//
// One Scheduler, on the home (the entry host that runs the scheduler), serves all entry
// hosts. A host that has lost its home schedules alone: it runs a Scheduler of its own with
// a share of each server, quota and retry budget.
package sched

import (
	"fmt"
	"time"

	"github.com/gentianflow/gentianflow/internal/origin"
	"github.com/gentianflow/gentianflow/internal/quarantine"
)

// Time is a time on the monotonic clock of the process that runs the scheduler, counted
// from the start of the process.
type Time = time.Duration

// Service is a group of backend servers. A new request may go to any of them; a stream goes on only at
// those of the software version that began it.
type Service struct {
	Name     string
	Engine   bool // true for inference engines, which generate tokens in batches; false for plain services
	KVTokens int  // KV cache capacity of an engine in tokens, 0 if unknown
	// Stride is the number of output tokens in one event of a stream.
	Stride int
}

// Server is one incarnation of a backend server. A restarted server has a new ID, so no
// estimate of the earlier incarnation applies to it.
type Server struct {
	ID        string
	Service   string
	Version   string // software version, empty if unknown
	Address   string // IP:PORT
	Zone      string
	Slots     int // concurrent requests
	Draining  bool
	Unlisted  bool          // its entry was lost in a restore of the store; it gets no requests until it writes one
	WarmUp    time.Duration // remaining warm-up time, in which it is slower
	StartedMs int64         // start time in Unix milliseconds by its own clock, 0 if unknown
}

// Account is a client account and its quota, in the units of Request.Units.
type Account struct {
	Name  string
	Rate  float64 // units per second over all hosts, 0 for no limit
	Burst float64 // units
}

// Part is a prompt part, which requests may share.
type Part struct {
	Key    uint64
	Tokens int
}

// Name returns the hexadecimal form of the key, used in logs.
func (p Part) Name() string { return fmt.Sprintf("%08x", p.Key) }

// Key identifies a request by its holder and the holder's ID for it. The holder is the
// entry host that received the request and owes the caller its answer.
type Key struct {
	Holder uint64 // incarnation of the entry host
	ID     uint64
}

// Request is what the scheduler knows of a request. The body stays at the holder.
type Request struct {
	Key
	Zone          string // of the holder
	Service       string
	Account       string
	Priority      int // 0 is the most urgent
	PromptTokens  int
	OutputTokens  int     // expected, 0 for a plain call
	Units         float64 // charged to the account's quota
	PromptParts   []Part
	SharedParts   int  // how many of PromptParts, the first ones, other requests may have as well
	Arrived       Time // when its first holder first requested a placement
	LatencyTarget Time // for the first event of a stream or the complete answer of a plain call
	// CallerTimeoutAt is when the caller gives up if it has received no event,
	// 0 if it waits until its deadline. Callers of streams give up well before the deadline.
	CallerTimeoutAt Time
	Deadline        Time
	MaxPause        time.Duration          // longest pause between events for a stream to count as on time, 0 for no bound
	Retry           bool                   // sent again by its holder after a failed run; draws on the service's retry budget
	Avoid           []string               // servers that were already tried
	Fingerprint     quarantine.Fingerprint // the same for all attempts of a request
	Route           string                 // name of the configured route; trials of new versions compare answers by route
	Interruptible   bool                   // its run may be interrupted and repeated or resumed elsewhere
	Origin          origin.Key             // under which the version of a stream that may be taken up is remembered, 0: it is not
	Resumed         *Resumed               // the stream that it goes on with, nil if it begins one or is a plain call
	traits          []quarantine.Trait     // see traitsOf
	suspicion       cachedSuspicion
}

// Resumed is a stream that a request goes on with. Its caller has events already, so it may run only at
// servers of the software version that began it.
type Resumed struct {
	From    origin.Key // the attempt that began it, 0 if it is not named
	Version string     // that began it, if Known
	Known   bool
	Source  VersionSource
}

// VersionSource tells how the version that began a stream is known.
type VersionSource string

// The sources of a version.
const (
	FromHolder VersionSource = "holder" // the host that the request came to forwarded the events
	FromRecord VersionSource = "record" // of the attempt that began the stream
	FromList   VersionSource = "list"   // the service has had one version only
)

// Result is how a run ended.
type Result uint8

// The results of a run.
const (
	// Unused: nothing was sent on the placement.
	Unused Result = iota
	// OK: the complete answer arrived.
	OK
	// CallerLeft: the caller disconnected or its deadline passed. This says nothing about the
	// server.
	CallerLeft
	// Unreachable: the connection failed before anything was sent.
	Unreachable
	// Rejected: the server stated that it did not run the request.
	Rejected
	// Replaced: another incarnation answers at the server's address.
	Replaced
	// ServerError: the server answered with an error that is attributed to the server.
	ServerError
	// Broken: the answer was lost or cut off, and the server still accepts connections.
	Broken
	// Unresponsive: the server stopped answering and does not answer new connections either.
	Unresponsive
	// Progress: the run continues; only its time per output token is reported.
	Progress
	// Stalled: the run continues for lack of an alternative, but its server does not answer
	// new connections.
	Stalled
	// ServerEnded: the answer was lost or cut off, and nothing listens at the server's address.
	ServerEnded
	// UnattributedError: the server answered with an error that the request itself may have
	// caused; the answer of another server decides which of them is at fault.
	UnattributedError
	// PathLost: the connection between the holder and the server failed, while the server is reached by
	// other hosts or the holder reaches no server. This says nothing about the server, which may work on
	// the run to its end.
	PathLost
)

// String names the result for logs.
func (r Result) String() string {
	names := [...]string{"unused", "ok", "caller_left", "unreachable", "rejected", "replaced", "server_error", "broken", "unresponsive", "progress", "stalled", "server_ended", "unattributed_error", "path_lost"}
	if int(r) < len(names) {
		return names[r]
	}
	return "unknown"
}

// NotRun reports whether the request did not run, so that its quota units are refunded.
func (r Result) NotRun() bool {
	return r == Unused || r == Unreachable || r == Rejected || r == Replaced
}

// Lost reports whether the answer was lost or cut off.
func (r Result) Lost() bool { return r == Broken || r == ServerEnded }

// Outcome is a report about a run.
type Outcome struct {
	Key
	Result     Result
	FirstEvent time.Duration // from dispatch to the first event, 0 if unknown
	TokenTime  time.Duration // time per output token, 0 if unknown
	// OutputTokens is how many output tokens the run has generated, 0 if unknown.
	OutputTokens int
	LongestGap   time.Duration // between two events of the run, 0 if unknown
}

// RunReport is what a holder observes of a stream's run, 0 where unknown.
type RunReport struct {
	FirstEvent   time.Duration // from dispatch to the first event
	TokenTime    time.Duration // per output token
	LongestGap   time.Duration // between two events
	OutputTokens int           // that the run has generated
}

// AdoptedRun is an unfinished run that another scheduler placed.
type AdoptedRun struct {
	Key
	Service       string
	Server        string
	PromptTokens  int
	OutputTokens  int
	Elapsed       time.Duration
	MaxPause      time.Duration
	Account       string
	Route         string
	SharedParts   []uint64               // keys of the prompt parts that other requests may have
	Fingerprint   quarantine.Fingerprint // the same for all attempts of a request
	Interruptible bool
	Priority      int // -1 if unknown
}

// Reason is why a request was refused without having run.
type Reason uint8

// The reasons of a refusal.
const (
	// Overload: no server had room within the time that the request may wait.
	Overload Reason = iota + 1
	// Quota: the account is over its quota.
	Quota
	// NoServer: the service has no usable server.
	NoServer
	// RetryBudget: the retry budget of the service is spent.
	RetryBudget
	// NoService: the service is not in the configuration.
	NoService
	// Quarantined: servers ended while they ran the same request.
	Quarantined
	// VersionUnknown: it goes on with a stream, and it is not known at which software version that began.
	VersionUnknown
	// VersionGone: no server of the software version that began its stream is left.
	VersionGone
	// QuarantinedPart: servers ended while they ran requests with one of its prompt parts.
	QuarantinedPart
	// QuarantinedCaller: servers ended while they ran requests of its account on its route.
	QuarantinedCaller
)

// Quarantined reports whether a request is refused since servers ended under it or others like it.
func (r Reason) Quarantined() bool {
	return r == Quarantined || r == QuarantinedPart || r == QuarantinedCaller
}

// String describes the reason for logs and callers.
func (r Reason) String() string {
	switch r {
	case Overload:
		return "no server had room in time"
	case Quota:
		return "the account is over its quota"
	case NoServer:
		return "the service has no usable server"
	case RetryBudget:
		return "the retry budget is spent"
	case NoService:
		return "the service is unknown"
	case Quarantined:
		return "the same request is in quarantine: servers ended while they ran it; this attempt was not run"
	case QuarantinedPart:
		return "a part of the prompt is in quarantine: servers ended while they ran requests with it; this attempt was not run"
	case QuarantinedCaller:
		return "the account's requests on this route are in quarantine: servers ended while they ran them; this attempt was not run"
	case VersionUnknown:
		return "it is not known at which software version the stream began"
	case VersionGone:
		return "no server of the software version that began the stream is left"
	}
	return "no reason"
}

// Decision is the scheduler's decision on one request. Server is set if the request is
// placed; otherwise Reason and RetryAfter are set. A decision with the reason Quarantined
// may also concern a request that was placed earlier: it asks the holder to cancel the run
// if it has had no event yet.
type Decision struct {
	Key
	Server     string
	Address    string
	Version    string        // of the server's software
	Source     VersionSource // how the version that began the stream was known, empty if it was not asked for
	Waited     time.Duration // from the placement request to the placement
	Reason     Reason
	RetryAfter time.Duration
	// Waiting and Usable describe the service at a refusal: the number of waiting requests
	// and of usable servers.
	Waiting int
	Usable  int
	// Detail explains a refusal in logs.
	Detail string
	// ReportBegin asks the holder to report the first event of the answer at once.
	ReportBegin bool
}
