// Package node assembles one entry host on the prepared platform: the entry for callers, the
// scheduler, membership, and the watchers of the store's tables. The home is the host that runs
// the scheduler for all.
package node

import (
	"time"

	"github.com/gentianflow/gentianflow/internal/rollout"
	"github.com/gentianflow/gentianflow/internal/sched"
)

// Settings are the platform's settings for this process and the operators' policy.
type Settings struct {
	Host             string
	AvailabilityZone string
	IP               string
	EntryAddress     string   // callers
	ReadyAddress     string   // the platform's readiness checks
	LookupAddress    string   // look-ups of entry addresses
	PeerPort         int      // TCP and UDP between hosts
	Seeds            []string // IP:PeerPort of hosts to join through; they may no longer exist
	MetricsPort      int
	Store            string // IP:PORT of the platform's store
	ProcessorShare   float64
	MemoryBytes      int64
	Grace            time.Duration // from SIGTERM to SIGKILL
	// EntryTTL is the longest time that the store lists a server after it has ended; 0 means
	// unknown.
	EntryTTL time.Duration
	// RolloutBounds limits the share of requests that a version on trial may get.
	RolloutBounds rollout.Bounds
	Policy        sched.Policy
}
