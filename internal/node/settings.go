// Package node puts the duties of one entry host on the prepared platform
// together: entry, scheduler, membership, and what follows the store.
package node

import (
	"time"

	"github.com/gentianflow/gentianflow/internal/rollout"
	"github.com/gentianflow/gentianflow/internal/sched"
)

// Settings are what the platform tells a process about itself, and the operators'
// policy.
type Settings struct {
	Host             string
	AvailabilityZone string
	IP               string
	EntryAddress     string   // callers
	ReadyAddress     string   // the platform's readiness checks
	LookupAddress    string   // callers that ask for addresses
	PeerPort         int      // TCP and UDP between hosts
	Seeds            []string // IP:PeerPort of hosts to join through; they may be gone
	MetricsPort      int
	Store            string // IP:PORT of the platform's store
	ProcessorShare   float64
	MemoryBytes      int64
	Grace            time.Duration // from SIGTERM to SIGKILL
	// EntryLapse is how long the store lists a server after its end at most, 0 when it is
	// not known.
	EntryLapse time.Duration
	// Rollouts bounds what a version on trial may get.
	Rollouts rollout.Bounds
	Policy   sched.Policy
}
