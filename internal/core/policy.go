package core

import "time"

// Policy holds the parameters of placement. docs/MEASUREMENTS.md has the
// measurements behind DefaultPolicy.
type Policy struct {
	// MissPrice multiplies the compute time of prefix tokens that another
	// server has cached, because a miss also evicts another prefix.
	MissPrice float64
	// EvictPrice multiplies the compute time of the shared prefixes that a
	// miss would evict from a server's cache.
	EvictPrice float64
	// MaxPriceShare limits the sum of both prices to a share of the time left
	// until the request's deadline. This limits how long a request waits for a
	// server that has its prefix cached rather than have it computed again.
	MaxPriceShare float64
	// PickCached lets a server with a free slot choose a waiting request whose
	// prefix it has cached. Without it, the first request of a tier takes any
	// free slot.
	PickCached bool
	// UncachedAgeShare is the share of the time from arrival to deadline after
	// which a request whose prefix no server has cached goes ahead of others.
	// CachedAgeShare is the share after which any server may take a request that
	// has waited for the servers that have its prefix cached.
	UncachedAgeShare float64
	CachedAgeShare   float64
	// MissBudget limits the time that a busy server spends on aged requests
	// whose prefix it does not have cached. After one has been granted to
	// it, it takes no other for MissBudget times the predicted time of that
	// prefill, except one whose prefix no server has cached, when no request
	// waits whose prefix it has cached.
	MissBudget float64
	// Headroom is how many sequences of a server each tier leaves free for
	// the tiers above it.
	Headroom int
	// UrgentPrefill and BulkPrefill limit the prefill backlog of a server at
	// which a request of the most urgent tier, or of any other tier, is
	// granted. Engines work first come, first served, so a request can't
	// overtake the prefill that is already in a server.
	UrgentPrefill time.Duration
	BulkPrefill   time.Duration
}

// DefaultPolicy is the policy the daemon runs.
func DefaultPolicy() Policy {
	return Policy{
		MissPrice:        48,
		EvictPrice:       8,
		MaxPriceShare:    0.3,
		PickCached:       true,
		UncachedAgeShare: 0.3,
		CachedAgeShare:   0.8,
		MissBudget:       1.5,
		Headroom:         1,
		UrgentPrefill:    400 * time.Millisecond,
		BulkPrefill:      10 * time.Millisecond,
	}
}

// Timing constants of the protocol between holder and home.
const (
	// GrantTTL is the validity of a grant, counted on the holder's own clock
	// from the newest stamp that the home had received from it. When a paused
	// holder resumes, its grants have expired by its own clock.
	GrantTTL = 2 * time.Second
	// MaxStampAge is the age of a holder's newest stamp from which on the home
	// grants nothing to it, because a grant would expire soon after arrival.
	MaxStampAge = 1 * time.Second
	// MoveHold is how long a holder that leaves a home without HolderLeft
	// waits before it uses grants of another home. A holder whose end is proved
	// within MoveHold of its last stamp can't have been granted anything
	// elsewhere, so the home's ledger covers it.
	MoveHold = 2 * time.Second
	// ReportTimeout is how long a new home waits for the reports of the live
	// holders before its first grant. The reports list the running requests.
	ReportTimeout = 300 * time.Millisecond
	// OrphanGrace is added to the predicted end of a request whose holder died
	// or left, before its slot at the server counts as free.
	OrphanGrace = 2 * time.Second
)
