// Package core is the scheduler of one service. It decides which waiting
// request is granted to which backend server, which one is shed, and what
// happens to a request that a caller sends again through another entry host.
// It is a pure state machine: Step takes the time and one event and returns
// actions. It reads no clock, does no I/O and starts no goroutine, so the
// daemon, the replay and the property tests run the same code, and the same
// events always give the same actions. Cell is the main type; the goroutine
// that calls Step owns it.
//
// Terms:
//
//   - An incarnation identifies one running process of an entry host.
//   - A cell is the queue and the scheduler of one service.
//   - The home is the entry host that runs the cell for all hosts.
//   - A holder is the entry host that received a request; it keeps the body,
//     sends the request to a server and answers the caller.
//   - A grant allows the holder to dispatch a request once to one server.
//   - The ledger records which holder has which request id and whether the id
//     was granted. Ids stay in it for the horizon, a configured duration
//     after their last change.
//   - A holder that ended is covered when the ledger has everything that was
//     ever granted to it. Only then does the ledger prove that an id
//     never ran.
//   - To revoke an id is to ask its holder not to dispatch it any more.
//   - A run is a granted request that has not finished. It occupies a slot of
//     its server. It is an orphan once its holder's session has ended.
//   - A tier is a priority class. Tiers with smaller numbers are more urgent; a
//     lower tier is a less urgent one.
//   - A request is aged when it has waited so long that it may go ahead of
//     others, or to a server that does not have its prefix cached.
package core

import (
	"time"

	"github.com/gentianflow/gentianflow/internal/chart"
	"github.com/gentianflow/gentianflow/internal/failure"
	"github.com/gentianflow/gentianflow/internal/ident"
	"github.com/gentianflow/gentianflow/internal/prefix"
)

// Time is nanoseconds on the home's monotonic clock.
type Time int64

// Add returns t moved by d.
func (t Time) Add(d time.Duration) Time { return t + Time(d) }

// Sub returns the duration from u to t.
func (t Time) Sub(u Time) time.Duration { return time.Duration(t - u) }

// Stamp is nanoseconds on the monotonic clock of one holder. Stamps of
// different holders are not comparable.
type Stamp int64

// Request is what the home knows of a request. The body stays at the holder.
type Request struct {
	ID     ident.RequestID
	Holder ident.Incarnation
	// Attempt numbers the holder's attempts at the id. A grant carries the
	// number back, because a grant can cross a revocation or a withdrawal on
	// the network: it then belongs to an ended attempt and must not serve a
	// newer one of the same id.
	Attempt      uint32
	Account      ident.AccountID
	Tier         int
	PromptTokens int
	OutputTokens int
	Prefix       prefix.Key // 0: no shared prefix
	PrefixTokens int
	PromptKey    prefix.Key // key of the whole prompt, cached after prefill
	Deadline     Time

	// Resend is set when another holder may have had the request before;
	// Tried lists those holders. A resend is granted only when none of them
	// can have dispatched the request.
	Resend bool
	Tried  []ident.Incarnation
	// Claimed is set when the holder inserts a claim row into the store before
	// dispatch. The row then proves whether the id ran, so the tried holders
	// need not be covered.
	Claimed bool
}

// ServerSpec describes a backend server as listed in the inventory. Speed is
// relative to a server of speed 1. Plain is set for a service whose requests
// have no tokens.
type ServerSpec struct {
	ID           ident.ServerID
	Speed        float64
	MaxSequences int
	CacheTokens  int
	Plain        bool
	Leaving      bool
}

// LedgerState is the progress of an id.
type LedgerState uint8

// The states of a ledger entry, in order of progress.
const (
	LedgerWaiting LedgerState = iota
	LedgerGranted
	LedgerDone
)

// LedgerEntry is one entry of a holder's or a home's ledger.
type LedgerEntry struct {
	ID     ident.RequestID
	Holder ident.Incarnation
	Server ident.ServerID
	State  LedgerState
	// Prefix and PrefixTokens let a new home rebuild its prefix index.
	Prefix       prefix.Key
	PrefixTokens int
}

// Verdict is a holder's answer to a revocation.
type Verdict uint8

// NeverRan means that the holder has not dispatched the id and will not do so
// from now on. Dispatched means that the id was sent to a server.
const (
	NeverRan Verdict = iota
	Dispatched
)

// Event is an input of Step.
type Event interface{ isEvent() }

// The events and their sources.
type (
	// Configure carries the configuration in force.
	Configure struct {
		Servers []ServerSpec
		Shares  []AccountShare
		Waiting int           // maximum number of waiting requests
		Horizon time.Duration // how long the ledger keeps ids
	}
	// Members lists the incarnations of the live entry hosts, from membership.
	Members struct{ Live []ident.Incarnation }
	// Report opens a holder's session with its part of the ledger and the
	// current value of its clock.
	Report struct {
		Holder  ident.Incarnation
		Stamp   Stamp
		Entries []LedgerEntry
	}
	// Heartbeat is a heartbeat of a holder on its session.
	Heartbeat struct {
		Holder ident.Incarnation
		Stamp  Stamp
	}
	// HolderLeft says that a holder ends its session to move to another home.
	HolderLeft struct{ Holder ident.Incarnation }
	// HolderLost says that a holder's session broke or that membership lost it.
	// Proved is set when its process is known to have ended: its port refuses
	// connections, or a newer incarnation answers at its address.
	HolderLost struct {
		Holder ident.Incarnation
		Proved bool
	}
	// LedgerHandover is the ledger of the previous home, which hands it over
	// when another host becomes the home. Covered lists the ended holders that
	// the ledger covers.
	LedgerHandover struct {
		Entries []LedgerEntry
		Covered []ident.Incarnation
	}
	// Register asks for a grant.
	Register struct{ Request Request }
	// Withdraw takes a request back that its holder will not dispatch any more.
	Withdraw struct {
		ID     ident.RequestID
		Holder ident.Incarnation
	}
	// RevokeAnswer answers a Revoke action.
	RevokeAnswer struct {
		ID      ident.RequestID
		Holder  ident.Incarnation
		Verdict Verdict
		Server  ident.ServerID
	}
	// Returned gives back an unused grant. ServerFailed is set when the server
	// refused the connection.
	Returned struct {
		ID           ident.RequestID
		Holder       ident.Incarnation
		ServerFailed bool
	}
	// Finished reports the end of a dispatched request.
	Finished struct {
		ID           ident.RequestID
		Holder       ident.Incarnation
		PromptTokens int           // computed tokens, without cached ones
		OutputTokens int           // 0 when the server did not report it
		FirstToken   time.Duration // from dispatch
		Total        time.Duration // from dispatch
		Failed       bool          // the answer did not arrive completely
	}
	// Progress sums up what one holder received from a server since its last
	// Progress.
	Progress struct {
		Server     ident.ServerID
		Tokens     int
		StreamTime time.Duration // streaming time, summed over sequences
	}
	// LoadReport is a load report by the server itself, Age old on arrival.
	LoadReport struct {
		Server  ident.ServerID
		Age     time.Duration
		Running int
	}
	// CacheUpdate is a batch of a server's cache events. Gap is set when events
	// before it were lost. Age is the age of the events on arrival.
	CacheUpdate struct {
		Server  ident.ServerID
		Age     time.Duration
		Gap     bool
		Stored  []prefix.Key
		Evicted []prefix.Key
	}
	// ServerSignal is an event of the server's state chart.
	ServerSignal struct {
		Server ident.ServerID
		Signal chart.Event
	}
	// ServerRestarted says that a server has lost its cache and its streams.
	ServerRestarted struct{ Server ident.ServerID }
	// Locate asks which holder has an id.
	Locate struct {
		ID    ident.RequestID
		Asker ident.Incarnation
	}
	// Tick triggers time-based work such as timers and expiry.
	Tick struct{}
)

// AccountShare is a client account's weight within a tier.
type AccountShare struct {
	Account ident.AccountID
	Share   float64
}

func (Configure) isEvent()       {}
func (Members) isEvent()         {}
func (Report) isEvent()          {}
func (Heartbeat) isEvent()       {}
func (HolderLeft) isEvent()      {}
func (HolderLost) isEvent()      {}
func (LedgerHandover) isEvent()  {}
func (Register) isEvent()        {}
func (Withdraw) isEvent()        {}
func (RevokeAnswer) isEvent()    {}
func (Returned) isEvent()        {}
func (Finished) isEvent()        {}
func (Progress) isEvent()        {}
func (LoadReport) isEvent()      {}
func (CacheUpdate) isEvent()     {}
func (ServerSignal) isEvent()    {}
func (ServerRestarted) isEvent() {}
func (Locate) isEvent()          {}
func (Tick) isEvent()            {}

// ActionKind is the kind of an action.
type ActionKind uint8

// The kinds of actions. To, ID, Server and so on are the fields of Action.
const (
	// Grant allows To to dispatch ID to Server until ValidUntil on To's clock.
	Grant ActionKind = iota
	// Shed ends ID as not run, for Reason; the caller may retry after
	// RetryAfter.
	Shed
	// Revoke asks To to give ID up, or to report where it was dispatched.
	Revoke
	// Attach informs To that Holder has or had ID, and which Server it was
	// granted to; 0 if none is known.
	Attach
	// Unproved informs To that it can't be proved whether ID ran.
	Unproved
	// ServerChanged is for the log only: the state of Server is now State.
	ServerChanged
	// HolderUncovered is for the log only: Holder ended and is not covered.
	HolderUncovered
)

// Action is an output of Step, for one holder or for the log.
type Action struct {
	Kind       ActionKind
	To         ident.Incarnation
	ID         ident.RequestID
	Server     ident.ServerID
	Holder     ident.Incarnation
	ValidUntil Stamp
	Attempt    uint32 // of the granted request
	Reason     failure.Code
	RetryAfter time.Duration
	State      chart.State
}
