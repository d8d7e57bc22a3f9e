package daemon

import (
	"math"
	"runtime/debug"
	"syscall"

	"github.com/gentianflow/gentianflow/internal/intake"
	"github.com/gentianflow/gentianflow/internal/settings"
)

const (
	// The shares of the process's descriptors that the connections of callers and operators may have. The rest is
	// for connections to servers, other hosts and the platform.
	callerConnections = 0.6
	adminConnections  = 0.1
	// clientMemory is the share of the Go runtime's soft memory limit for what clients make this host hold, and
	// defaultClientMemory applies in bytes where there is no such limit.
	clientMemory        = 0.4
	defaultClientMemory = 256 << 20
)

// intakeLimits returns the limits for what clients may make this host hold.
func intakeLimits(set settings.Daemon) intake.Limits {
	limits := intake.Limits{Memory: int64(set.ClientMemoryMB) << 20}
	if limits.Memory == 0 {
		limits.Memory = defaultClientMemory
		if soft := debug.SetMemoryLimit(-1); soft < math.MaxInt64 { // -1 only returns it
			limits.Memory = int64(clientMemory * float64(soft))
		}
	}
	limits.WithBodies = limits.Memory
	var r syscall.Rlimit
	if syscall.Getrlimit(syscall.RLIMIT_NOFILE, &r) == nil && r.Cur <= math.MaxInt32 {
		limits.Connections = int(r.Cur)
	}
	return limits
}
