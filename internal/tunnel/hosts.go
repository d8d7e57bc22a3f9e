package tunnel

import (
	"slices"
	"time"

	"github.com/gentianflow/gentianflow/internal/ident"
	"github.com/gentianflow/gentianflow/internal/member"
	"github.com/gentianflow/gentianflow/internal/peer"
)

// Host is an entry host that may carry a tunnel.
type Host struct {
	Name   string
	Zone   string
	Target peer.Target
	Home   bool // runs the scheduler for all hosts
}

// Hosts lists hosts that may carry tunnels.
type Hosts interface {
	// Sample returns up to n random hosts that are alive and don't state that they have lost their own
	// paths, without this host.
	Sample(n int) []Host
	// ServerZone returns the availability zone of a server, empty if unknown.
	ServerZone(server string) string
	// Zone is the availability zone of this host.
	Zone() string
}

const (
	// sampleSize is the number of hosts among which the ones to ask are chosen, so that the cost of
	// the choice does not grow with the fleet.
	sampleSize = 16
	// failureMemory is how long a host that could not carry a tunnel is asked after the others.
	failureMemory = 2 * time.Second
	// In the order of the hosts to ask, a host counts as having so many more tunnels: homePenalty if it is
	// the home, whose processor is needed by all hosts; zonePenalty if it is neither in the zone of the
	// server nor in this host's, since the bytes then cross zones twice; failurePenalty if it failed.
	homePenalty    = 8
	zonePenalty    = 4
	failurePenalty = 1000
)

// candidates returns the hosts to ask for a tunnel to a server, in this order.
func (o *Opener) candidates(server string) []Host {
	hosts := o.hosts.Sample(sampleSize)
	zones := []string{o.hosts.Zone(), o.hosts.ServerZone(server)}
	o.mu.Lock()
	defer o.mu.Unlock()
	now := time.Now()
	for inc, at := range o.failed {
		if now.Sub(at) > failureMemory {
			delete(o.failed, inc)
		}
	}
	cost := make(map[ident.Incarnation]int, len(hosts))
	for _, h := range hosts {
		inc := h.Target.Incarnation
		cost[inc] = o.carried[inc]
		if h.Home {
			cost[inc] += homePenalty
		}
		if !slices.Contains(zones, h.Zone) {
			cost[inc] += zonePenalty
		}
		if _, failed := o.failed[inc]; failed {
			cost[inc] += failurePenalty
		}
	}
	slices.SortStableFunc(hosts, func(a, b Host) int { return cost[a.Target.Incarnation] - cost[b.Target.Incarnation] })
	return hosts[:min(len(hosts), maxAsked)]
}

// Members implements Hosts with the members of the fleet.
type Members struct {
	Table *member.Table
	// Home returns the host that runs the scheduler for all hosts.
	Home    func() (member.Member, bool)
	ZoneOf  func(server string) string
	OwnZone string
}

// Sample implements Hosts.
func (m Members) Sample(n int) []Host {
	home, _ := m.Home()
	var out []Host
	for _, have := range m.Table.SampleWithPaths(n) {
		out = append(out, Host{
			Name: have.Host, Zone: have.Zone, Home: have.Incarnation == home.Incarnation,
			Target: peer.Target{Address: have.ControlAddress, Incarnation: have.Incarnation},
		})
	}
	return out
}

// ServerZone implements Hosts.
func (m Members) ServerZone(server string) string { return m.ZoneOf(server) }

// Zone implements Hosts.
func (m Members) Zone() string { return m.OwnZone }
