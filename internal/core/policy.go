package core

import "time"

// Policy holds the numbers that placement turns on. The values of
// DefaultPolicy were chosen by the measurements in docs/MEASUREMENTS.md.
type Policy struct {
	// MissPrice multiplies the compute time of prefix tokens that another
	// server holds: a miss also pushes another prefix out.
	MissPrice float64
	// EvictPrice multiplies the compute time of the shared prefixes that a
	// missed one would push out of a server's cache.
	EvictPrice float64
	// PriceShare bounds both prices by a part of the time that a request has
	// left: that long it may wait for a holder rather than be computed anew.
	PriceShare float64
	// ServerPicks lets a server that frees up choose a waiting request whose
	// prefix it holds. Off, the first request of a tier takes any slot.
	ServerPicks bool
	// AgeShare is the part of its deadline window that a request whose prefix
	// nobody holds waits behind others before it goes first. HeldAgeShare is
	// the part that one waits for the holders of its prefix before any server
	// may take it.
	AgeShare     float64
	HeldAgeShare float64
	// MissBudget bounds the time a busy server spends on aged requests whose
	// prefix another server holds: one such prefill, then MissBudget times
	// its length without.
	MissBudget float64
	// Headroom is how many sequences of a server each tier leaves free for
	// the tiers above it.
	Headroom int
	// UrgentPrefill and BulkPrefill cap the prefill that waits in a server
	// when the most urgent tier, or any other one, is granted: engines are
	// first come, first served, so what is inside cannot be overtaken.
	UrgentPrefill time.Duration
	BulkPrefill   time.Duration
}

// DefaultPolicy is the policy the daemon runs.
func DefaultPolicy() Policy {
	return Policy{
		MissPrice:     48,
		EvictPrice:    8,
		PriceShare:    0.3,
		ServerPicks:   true,
		AgeShare:      0.3,
		HeldAgeShare:  0.8,
		MissBudget:    1.5,
		Headroom:      1,
		UrgentPrefill: 400 * time.Millisecond,
		BulkPrefill:   10 * time.Millisecond,
	}
}

// Timing constants of the protocol between holder and home.
const (
	// GrantTTL is how long a grant may be used, counted on the holder's own
	// clock from the newest stamp that the home had seen of it. A holder that
	// was paused wakes with a grant that has run out by its own clock.
	GrantTTL = 2 * time.Second
	// HolderStale is the age of a holder's newest stamp at which the home
	// stops granting to it: the grant would have little life left.
	HolderStale = 1 * time.Second
	// MoveHold is how long a holder that leaves a home without its goodbye
	// waits before it uses grants of another one. A holder whose end is
	// proved within MoveHold of its last stamp cannot have been granted
	// anything elsewhere, so the home's ledger covers it.
	MoveHold = 2 * time.Second
	// OpenWait is how long a new home waits for the reports of the live
	// holders before its first grant, so that it knows what runs.
	OpenWait = 300 * time.Millisecond
	// OrphanGrace is added to the predicted end of a request whose holder
	// died, before its place in the server counts as free.
	OrphanGrace = 2 * time.Second
)
