package node

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/gentianflow/gentianflow/internal/addresses"
	"github.com/gentianflow/gentianflow/internal/dispatch"
	"github.com/gentianflow/gentianflow/internal/ident"
	"github.com/gentianflow/gentianflow/internal/member"
)

const (
	// directoryPeriod is how long a directory is used, plus directoryPeriodPerHost for each host:
	// load figures change once a second, and come in more slowly in a larger fleet. A directory of
	// 2,000 hosts takes about 1 ms to build.
	directoryPeriod        = time.Second
	directoryPeriodPerHost = time.Millisecond
	// When the members have changed, it is used for this part of the time. A fleet that starts
	// changes all the time, and a directory from its first second names only a few hosts.
	directoryPeriodShare = 0.1
)

// directory chooses the addresses of look-ups by availability zone, capacity and load. mu guards
// the fields below it.
type directory struct {
	members *member.Table
	changed <-chan struct{}

	mu      sync.Mutex
	zones   addresses.Zones
	current *addresses.Directory
	built   time.Time
	hosts   int  // when current was built
	dirty   bool // the members have changed since then
	rng     *rand.Rand
}

func newDirectory(members *member.Table) *directory {
	return &directory{members: members, changed: members.Subscribe(), rng: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))}
}

// list returns the addresses for a caller of a zone, in random order. It returns none when the hosts
// are alike and in one zone, so that any will do.
func (d *directory) list(now time.Time, zone string) []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.expired(now) {
		d.build(now)
	}
	if d.current.Uniform() {
		return nil
	}
	hosts := d.current.List(zone, d.rng)
	list := make([]string, 0, len(hosts))
	for _, h := range hosts {
		if d.members.IsAlive(ident.Incarnation(h.ID)) {
			list = append(list, h.Address)
		}
	}
	return list
}

// expired reports whether current must be built again. The caller holds mu.
func (d *directory) expired(now time.Time) bool {
	select {
	case <-d.changed:
		d.dirty = true
	default:
	}
	period := directoryPeriod + time.Duration(d.hosts)*directoryPeriodPerHost
	if d.dirty {
		period = time.Duration(float64(period) * directoryPeriodShare)
	}
	return d.current == nil || now.Sub(d.built) >= period
}

// build builds current from the live members. The caller holds mu.
func (d *directory) build(now time.Time) {
	loads := d.members.Loads()
	home, _ := dispatch.HomeOf(d.members)
	hosts := make([]addresses.Host, 0, len(loads))
	withPaths := 0
	for _, m := range loads {
		if !m.PathsLost {
			withPaths++
		}
	}
	leaveOut := withPaths >= minWithPaths(len(loads))
	for _, m := range loads {
		if m.CallerAddress != "" && !(leaveOut && m.PathsLost) {
			hosts = append(hosts, addresses.Host{
				ID: uint64(m.Incarnation), Address: m.CallerAddress, Zone: m.Zone,
				Capacity: m.Capacity, LinkMbps: m.LinkMbps, Load: m.Load, LoadAge: now.Sub(m.LoadAt),
				Home: m.Incarnation == home.Incarnation,
			})
		}
	}
	d.zones.Update(now, hosts)
	d.current = addresses.NewDirectory(hosts, &d.zones, d.rng)
	d.built, d.hosts, d.dirty = now, len(hosts), false
}

// zoneShare returns the part of a zone's callers that this host's look-ups leave in the zone.
func (d *directory) zoneShare(zone string) float64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.zones.Share(zone)
}
