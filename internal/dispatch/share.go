package dispatch

import (
	"math"
	"time"

	"github.com/gentianflow/gentianflow/internal/ident"
	"github.com/gentianflow/gentianflow/internal/member"
	"github.com/gentianflow/gentianflow/internal/sched"
)

// A standalone host, which has no home and schedules only for itself, takes these fractions of
// its even share (one n-th, for n hosts). Of servers it takes the whole even share: when the
// home pauses, all hosts schedule locally at once, and with 1.6 they overload inference engines
// that are already full (in a run with many such pauses, the value of the answers drops by
// 0.03). Of quotas and of the rate limits that servers state it takes less, because the home
// continues to use all of them and the total over all hosts is bounded.
const (
	standaloneServerShare = 1.0
	standaloneQuotaShare  = 0.7
	standaloneRateShare   = 0.4
)

const (
	// settleTime is how long a host that has just started may need to discover the others.
	settleTime = member.SettleTime
	// A host that discovers no other host within discoveryTimeout assumes that it is the
	// only one. Until then it assumes a fleet of unknownFleetHosts for its share of servers
	// and takes unknownFleetLimitShare of quotas and rate limits. That is less than an even
	// share of any fleet; requests beyond it wait briefly until the store has reported the
	// other hosts.
	discoveryTimeout       = 3 * time.Second
	unknownFleetHosts      = 6
	unknownFleetLimitShare = 0.001
	// partitionTimeout is how long a host that stopped responding may still be scheduling
	// on the other side of a network partition. Partitions usually heal within it.
	partitionTimeout = 15 * time.Second
)

// lead makes this host schedule for all hosts and sets its share, or sets the standalone share
// if it must not lead yet. takesOver is set if the ranking still names another host as the
// home.
//
// After a power loss all hosts start at the same time, and each knows only itself at first.
// If each acted as the home for all, every account would get its quota once per host. So a
// host that has just started schedules only for itself until it has had time to discover
// others. A home on the smaller side of a network partition takes only that side's share.
//
// Until a host knows the fleet (charts/discovery.yaml), it has no proof that nobody else schedules, however
// long it has run. If the listed hosts don't answer, it leads with the part of those that it has found.
//
// A host that knows no services yet, since the store does not answer it, would refuse the requests of hosts that do.
//
// A host that takes over from a home which others may still follow leads once most hosts
// follow it, with their share of the quotas. A home that most hosts have left, or have not
// found within discoveryTimeout, takes the share of the hosts that follow it.
func (f *Follower) lead(takesOver bool) {
	if f.informed != nil && !f.informed() {
		f.goStandalone()
		return
	}
	live, silent := f.countHosts()
	uptime, fleet := time.Since(f.started), f.fleet()
	if !fleet.Known() || uptime < settleTime && !f.membershipComplete(live) || live == 1 && f.listedHosts() != 1 && uptime < discoveryTimeout {
		f.goStandalone()
		return
	}
	share := sched.Share{Servers: 1, Quotas: 1}
	if all := live + silent; 2*live < all {
		share.Quotas = float64(live) / float64(all)
	}
	if fleet.Missing > 0 {
		share.Quotas = min(share.Quotas, float64(live)/float64(live+fleet.Missing))
	}
	followFraction := float64(f.followers()+1) / float64(live)
	// Hosts that do not follow use their own shares, or another home uses theirs.
	share.RateLimits = share.Quotas * roundUpFraction(followFraction)
	if takesOver && followFraction < majority {
		f.goStandalone()
		return
	}
	if f.leadsSince.IsZero() {
		f.leadsSince = time.Now()
		f.burstsSpent = f.homes.changedBefore(f.leadsSince) || fleet.Joined && uptime < burstMemory
	}
	share.BurstsSpent = f.burstsSpent
	lostMajority := followFraction < majority && time.Since(f.leadsSince) > discoveryTimeout
	if takesOver || lostMajority {
		share = scaleShare(share, followFraction)
	}
	f.partialQuotas = share.Quotas < 1
	f.client.setFullQuotas(share.Quotas == 1)
	f.setLeading(true)
	f.setShare(share)
}

// burstMemory is how long the bursts that a home has given out count, and how long a host that joins a fleet
// has to run to know how often its home has changed. Each home begins with half of the bursts, since the one
// before may have given out the other half; further homes within this time have nothing left of them.
const burstMemory = 10 * time.Second

// homeChanges remembers when the home changed.
type homeChanges struct {
	home           ident.Incarnation // 0 before one was known
	last, previous time.Time         // when it changed from one to another
}

func (c *homeChanges) note(now time.Time, home ident.Incarnation) {
	if home == c.home {
		return
	}
	if c.home != 0 {
		c.previous, c.last = c.last, now
	}
	c.home = home
}

// changedBefore reports whether the home changed within burstMemory before its newest change.
func (c *homeChanges) changedBefore(now time.Time) bool {
	return !c.previous.IsZero() && now.Sub(c.previous) < burstMemory
}

const (
	// A home that at least the fraction fullShareThreshold of the live hosts follow has the
	// full share: a few hosts are always switching from one home to another.
	fullShareThreshold = 0.9
	// majority is a fraction of the hosts that at most one home can exceed.
	majority   = 0.5
	shareSteps = 10
)

// scaleShare reduces the share of a home to the fraction of the live hosts that follow it. The
// share changes in steps of a tenth, since each change of a quota costs the account some of its
// accumulated burst allowance. The share of servers is not reduced while most hosts follow:
// hosts that failed together with the previous home count as live for some seconds.
func scaleShare(share sched.Share, followFraction float64) sched.Share {
	followFraction = roundUpFraction(followFraction)
	share.Quotas *= followFraction
	if followFraction < majority {
		share.Servers *= followFraction
	}
	return share
}

// roundUpFraction rounds the fraction of the live hosts that follow a home up to a tenth, and to
// 1 from fullShareThreshold on.
func roundUpFraction(fraction float64) float64 {
	if fraction >= fullShareThreshold {
		return 1
	}
	return math.Ceil(fraction*shareSteps) / shareSteps
}

// completeFraction is the fraction of the listed hosts that must be discovered for the
// membership of a restarting fleet to count as complete. Some hosts may not come back after
// the outage that stopped the fleet.
const completeFraction = 0.9

// membershipComplete reports whether nearly all hosts that other hosts or the store report
// have been discovered.
func (f *Follower) membershipComplete(live int) bool {
	listedHosts := f.listedHosts()
	return listedHosts > 1 && float64(live) >= completeFraction*float64(listedHosts)
}

// goStandalone stops leading and sets the share of a host that schedules only for itself.
func (f *Follower) goStandalone() {
	f.client.setFullQuotas(false)
	f.setLeading(false)
	f.leadsSince, f.partialQuotas = time.Time{}, false
	live, silent := f.countHosts()
	fleet := f.fleet()
	n, uptime := max(live+silent+fleet.Missing, f.listedHosts()), time.Since(f.started)
	f.standaloneHosts = n
	if !fleet.Known() || n == 1 && uptime < discoveryTimeout || f.listedHosts() == 0 && uptime < settleTime {
		f.standaloneHosts = 0
		f.setShare(sched.Share{Servers: standaloneServerShare / unknownFleetHosts, Quotas: unknownFleetLimitShare, RateLimits: unknownFleetLimitShare})
		return
	}
	even := 1 / float64(n)
	f.setShare(sched.Share{Servers: min(1, standaloneServerShare*even), Quotas: standaloneQuotaShare * even, RateLimits: standaloneRateShare * even})
}

// hostCountChangeFactor is the factor by which the number of hosts must change for the
// standalone share of a host that follows a home to be recomputed.
const hostCountChangeFactor = 1.1

// refreshStandaloneShare updates the share that a host which follows a home uses when the home
// stops answering.
//
// A host that has just started does not know the size of the fleet and takes a minimal share
// of the quotas. If it kept that share after finding the home, its callers would be refused
// for exceeding their accounts' quotas as soon as the home froze.
func (f *Follower) refreshStandaloneShare() {
	live, silent := f.countHosts()
	n := float64(max(live+silent, f.listedHosts()))
	previous := float64(f.standaloneHosts)
	if n > previous*hostCountChangeFactor || previous > n*hostCountChangeFactor {
		f.goStandalone()
	}
}

// countHosts returns how many hosts are live, this one included, and how many recently stopped
// responding without proof that they ended.
func (f *Follower) countHosts() (live, silent int) {
	return f.members.LiveCount(), f.members.SilentCount(partitionTimeout)
}
