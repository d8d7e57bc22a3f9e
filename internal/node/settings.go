// Package node assembles one entry host: the HTTP entry for callers, the scheduler, the
// membership of the hosts, and the watchers of the store's tables. The home is the host that
// runs the scheduler for all hosts.
//
// Node owns the listeners and goroutines of a host. Platform is what the adapter of the
// platform provides to it, and Settings what the platform's settings state. The type servers
// holds the list of backend servers, quarantineStore writes the requests in quarantine to the
// store, and rollouts carries out the operators' rollout orders.
package node

import (
	"net"
	"time"

	"github.com/gentianflow/gentianflow/internal/peer"
	"github.com/gentianflow/gentianflow/internal/rollout"
	"github.com/gentianflow/gentianflow/internal/sched"
	"github.com/gentianflow/gentianflow/internal/upstream"
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
	Descriptors      int           // limit of open files and sockets, 0: unknown
	LinkMbps         uint32        // bandwidth of the host's link, 0: unknown
	Grace            time.Duration // from SIGTERM to SIGKILL
	// DrainTime is how long after the store's acknowledgement a server that leaves may get requests; 0
	// means unknown.
	DrainTime time.Duration
	// ConfigTime is how long after the store's acknowledgement a configuration may still be missing at a host;
	// 0 means unknown.
	ConfigTime time.Duration
	// EntryTTL is the longest time that the store lists a server after it has ended; 0 means
	// unknown.
	EntryTTL time.Duration
	// RolloutBounds limits the share of requests that the new version of a service may get
	// during a rollout's trial.
	RolloutBounds rollout.Bounds
	Policy        sched.Policy
	// LookupByCapacity makes look-ups choose hosts by availability zone, capacity and load, and this
	// host refuse requests that would exhaust its memory or descriptors. It is the same on all hosts.
	LookupByCapacity bool
	// ConnectServer, if set, opens the connections to backend servers in place of TCP.
	ConnectServer upstream.DialFunc
	// ConnectHost, if set, opens the connections to other hosts in place of TCP, and WrapPackets wraps the
	// socket of the datagrams between hosts.
	ConnectHost peer.DialFunc
	WrapPackets func(net.PacketConn) net.PacketConn
}

// PropagationBound is the time within which changes in the store must reach this host, 0 if it is unknown.
func (s Settings) PropagationBound() time.Duration {
	if s.ConfigTime <= 0 || s.DrainTime <= 0 {
		return max(s.ConfigTime, s.DrainTime)
	}
	return min(s.ConfigTime, s.DrainTime)
}
