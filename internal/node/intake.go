package node

import (
	"math"
	"syscall"

	"github.com/gentianflow/gentianflow/internal/event"
	"github.com/gentianflow/gentianflow/internal/intake"
)

const (
	// reservedDescriptors is the part of the limit that the platform keeps for files.
	reservedDescriptors = 200
	// The shares of all sockets that the connections of a listener may have. The rest is for connections to
	// servers, other hosts and the store.
	callerConnections  = 0.6
	lookupConnections  = 0.1
	readyConnections   = 0.02
	metricsConnections = 0.02
	// clientMemory is the share of the memory limit for connections and heads. The collector lets the heap grow
	// to one and a half of what is in use, up to its soft limit.
	clientMemory = 0.3
	// ownMemory is what the host's own work has of the collector's soft limit; bodies may have the rest.
	ownMemory = 8 << 20
)

// intakeLimits returns the limits for what clients may make this host hold.
func intakeLimits(s Settings) intake.Limits {
	limits := intake.Limits{Connections: socketLimit(s.Descriptors)}
	if s.MemoryBytes > 0 {
		limits.Memory = int64(clientMemory * float64(s.MemoryBytes))
		limits.WithBodies = max(limits.Memory, softMemoryLimit(s.MemoryBytes)-ownMemory)
	}
	return limits
}

// socketLimit returns how many sockets the process may have where so many descriptors are allowed, 0 if that
// is unknown.
func socketLimit(descriptors int) int {
	var r syscall.Rlimit
	if syscall.Getrlimit(syscall.RLIMIT_NOFILE, &r) == nil && r.Cur <= math.MaxInt32 && (descriptors <= 0 || int(r.Cur) < descriptors) {
		descriptors = int(r.Cur)
	}
	if descriptors <= 0 {
		return 0
	}
	return max(1, descriptors-reservedDescriptors)
}

// reportIntake records what the intake refused or closed since the last report.
func (n *Node) reportIntake(r intake.Refusals) {
	n.events.Record(event.IntakeLimited, event.Fields{Detail: r.String()})
}

// gaugeIntake sets the gauges of what clients hold, each beside its limit.
func (n *Node) gaugeIntake(gauge func(name string, v int64)) {
	u := n.intake.Usage()
	gauge("client_connections", int64(u.Connections))
	gauge("client_connections_limit", int64(u.Limits.Connections))
	gauge("client_memory_bytes", u.Memory)
	gauge("client_memory_bytes_limit", u.Limits.Memory)
	gauge("client_bodies_bytes", u.Bodies)
	gauge("client_memory_with_bodies_bytes_limit", u.Limits.WithBodies)
}
