// Package core decides for one cell (one service): which waiting request is
// granted to which backend server, which one is shed, and what a resend may
// conclude. It is a pure state machine: Step takes the time and one event
// and returns actions. It reads no clock, does no I/O and starts no
// goroutine, so the daemon, the replay and the property tests run the same
// code and the same events always give the same actions.
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

// Request is what the home knows of a request; the body stays at the holder.
type Request struct {
	ID     ident.RequestID
	Holder ident.Incarnation
	// Attempt numbers the holder's attempts at the id. A grant carries it back:
	// one that crossed a revocation or a withdrawal on its way belongs to an
	// attempt that has ended, and must not serve a newer one of the same id.
	Attempt      uint32
	Account      ident.AccountID
	Tier         int
	PromptTokens int
	OutputTokens int
	Prefix       prefix.Key // 0: shares no prefix
	PrefixTokens int
	Whole        prefix.Key // key of the whole prompt, held after prefill
	Deadline     Time

	// Resend says that another holder may have had the request before.
	// Tried lists those holders. A resend is granted only when none of them
	// can have dispatched it.
	Resend bool
	Tried  []ident.Incarnation
	// Claimed says that the holder inserts a claim row before dispatch. The
	// row then proves what the ledger cannot, so coverage is not needed.
	Claimed bool
}

// ServerSpec is the inventory's word on a backend server.
type ServerSpec struct {
	ID           ident.ServerID
	Speed        float64
	MaxSequences int
	CacheTokens  int
	Plain        bool
	Leaving      bool
}

// LedgerState tells how far an id got.
type LedgerState uint8

// The states of a ledger entry, in the order they are reached.
const (
	LedgerWaiting LedgerState = iota
	LedgerGranted
	LedgerDone
)

// LedgerEntry is one line of a holder's or a home's ledger.
type LedgerEntry struct {
	ID     ident.RequestID
	Holder ident.Incarnation
	Server ident.ServerID
	State  LedgerState
	// Prefix and PrefixTokens rebuild the prefix index of a new home.
	Prefix       prefix.Key
	PrefixTokens int
}

// Verdict is a holder's answer to a revocation.
type Verdict uint8

// NeverRan means the holder will not dispatch the id from now on and has not
// before. Dispatched names the server the id went to.
const (
	NeverRan Verdict = iota
	Dispatched
)

// Event is an input of Step.
type Event interface{ isEvent() }

// The events, each with its source.
type (
	// Configure comes from the configuration in force.
	Configure struct {
		Servers []ServerSpec
		Shares  []AccountShare
		Waiting int           // most requests that wait
		Horizon time.Duration // how long ids are remembered
	}
	// Members comes from membership: the live incarnations of this cell.
	Members struct{ Live []ident.Incarnation }
	// Report opens a holder's session: its part of the ledger and its clock.
	Report struct {
		Holder  ident.Incarnation
		Stamp   Stamp
		Entries []LedgerEntry
	}
	// Heard is a holder's heartbeat on its session.
	Heard struct {
		Holder ident.Incarnation
		Stamp  Stamp
	}
	// Left is a holder's goodbye: it follows the cell to another home.
	Left struct{ Holder ident.Incarnation }
	// Gone ends a holder: its session broke or membership lost it. Proved is
	// set when its process is known to have ended (its port refuses, or a
	// newer incarnation answers at its address).
	Gone struct {
		Holder ident.Incarnation
		Proved bool
	}
	// Inherit is the ledger of a home that leaves.
	Inherit struct {
		Entries []LedgerEntry
		Covered []ident.Incarnation
	}
	// Register asks for a grant.
	Register struct{ Request Request }
	// Withdraw takes a waiting request back: nobody wants it any more.
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
	// Returned gives back a grant that was not used. ServerFailed says that
	// the server refused the connection.
	Returned struct {
		ID           ident.RequestID
		Holder       ident.Incarnation
		ServerFailed bool
	}
	// Finished ends a dispatched request.
	Finished struct {
		ID           ident.RequestID
		Holder       ident.Incarnation
		PromptTokens int           // computed, cached ones left out
		OutputTokens int           // 0 when the server did not say
		FirstToken   time.Duration // from dispatch
		Total        time.Duration // from dispatch
		Failed       bool          // the answer did not arrive whole
	}
	// Progress sums what one holder saw of a server since its last one.
	Progress struct {
		Server  ident.ServerID
		Tokens  int
		SeqTime time.Duration // streaming time, added over sequences
	}
	// LoadReport is a server's own word, Age old when it arrives.
	LoadReport struct {
		Server  ident.ServerID
		Age     time.Duration
		Running int
	}
	// CacheUpdate is a batch of a server's cache events. Gap says that some
	// were lost before it; Age is how old the events are at arrival.
	CacheUpdate struct {
		Server  ident.ServerID
		Age     time.Duration
		Gap     bool
		Stored  []prefix.Key
		Evicted []prefix.Key
	}
	// ServerSignal moves a server through its chart.
	ServerSignal struct {
		Server ident.ServerID
		Signal chart.Event
	}
	// ServerRestarted says that a server's cache and streams are gone.
	ServerRestarted struct{ Server ident.ServerID }
	// Locate asks where an id is held.
	Locate struct {
		ID    ident.RequestID
		Asker ident.Incarnation
	}
	// Tick lets time pass.
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
func (Heard) isEvent()           {}
func (Left) isEvent()            {}
func (Gone) isEvent()            {}
func (Inherit) isEvent()         {}
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

// ActionKind tells what a holder is to do.
type ActionKind uint8

// The kinds of actions.
const (
	// Grant allows To to dispatch ID to Server until ValidUntil on To's clock.
	Grant ActionKind = iota
	// Shed ends ID as not run, for Reason, to come back after RetryAfter.
	Shed
	// Revoke asks To to give ID up, or to say where it went.
	Revoke
	// Attach tells To that ID is or was held by Holder and went to Server.
	Attach
	// Unproved tells To that nobody can prove whether ID ran.
	Unproved
	// ServerChanged is news for the log: Server is now in State.
	ServerChanged
	// HolderUncovered is news for the log: Holder ended without its ledger.
	HolderUncovered
)

// Action is an output of Step, addressed to one holder or to the log.
type Action struct {
	Kind       ActionKind
	To         ident.Incarnation
	ID         ident.RequestID
	Server     ident.ServerID
	Holder     ident.Incarnation
	ValidUntil Stamp
	Attempt    uint32 // of a grant
	Reason     failure.Code
	RetryAfter time.Duration
	State      chart.State
}
