package dispatch

import (
	"math"
	"time"

	"github.com/gentianflow/gentianflow/internal/member"
	"github.com/gentianflow/gentianflow/internal/sched"
)

// A host without a home takes these parts of its even share. Of servers just
// that: when a home stands still all hosts are alone at once, and with 1.6 they
// put that much more into engines that were full (a day of such moments was
// worth 0.03 less). Of quotas, and of the requests a second that servers name as
// their limit, less: the home goes on giving out all of them, and what all hosts
// give out together is bounded.
const (
	aloneServers = 1.0
	aloneLimits  = 0.7
	aloneSends   = 0.4
)

const (
	// A host that hears of nobody for lonelyTime takes itself for the
	// only one. Until then it reckons with unknownHosts for servers, and with
	// unknownLimits of quotas and limits, less than an even part of any fleet's: what
	// goes beyond it waits a moment until the store has told of the others.
	settleTime    = member.SettleTime
	lonelyTime    = 3 * time.Second
	unknownHosts  = 6
	unknownLimits = 0.001
	// silentHosts is how long a host that fell silent may still be at work on
	// the other side of a cut; cuts heal within it as a rule.
	silentHosts = 15 * time.Second
)

// lead sets the share of a host that is the home.
//
// Guard: all hosts start at once after a loss of power, and each knows only
// itself at first. Were each the home of all, every account would get its
// quota once for each host. So a host that has just started decides for itself
// until it has had time to hear of others; one that is cut off with the fewer
// hosts takes only their part.
//
// A host that takes over from a home that others may still follow leads when most hosts
// have turned to it, and has their part of the quotas; a home that most have left, or not
// found within lonelyTime, has the part of the rest.
func (f *Follower) lead(takesOver bool) {
	live, silent := f.count()
	age := time.Since(f.started)
	if age < settleTime && !f.complete(live) || live == 1 && f.listed() != 1 && age < lonelyTime {
		f.alone()
		return
	}
	share := sched.Share{Servers: 1, Limits: 1}
	if all := live + silent; 2*live < all {
		share.Limits = float64(live) / float64(all)
	}
	follow := float64(f.followers()+1) / float64(live)
	// Those that do not follow give out their parts, or another home gives out theirs.
	share.Sends = share.Limits * followed(follow)
	if takesOver && follow < mostFollow {
		f.alone()
		return
	}
	if f.leadsSince.IsZero() {
		f.leadsSince = time.Now()
	}
	left := follow < mostFollow && time.Since(f.leadsSince) > lonelyTime
	if takesOver || left {
		share = part(share, follow)
	}
	f.partial = share.Limits < 1
	f.client.setWhole(share.Limits == 1)
	f.leads(true)
	f.setShare(share)
}

const (
	// From nearlyAll of the live hosts on a home has all: a few are always on their way
	// from one to another.
	nearlyAll = 0.9
	// mostFollow is the part of the hosts of which two homes cannot both have more.
	mostFollow = 0.5
	shareSteps = 10
)

// part is the share of a home that a part of the live hosts follows. It changes in tenths,
// since each change of a quota costs what its account had saved. Servers are given out
// whole while most follow: hosts that fell silent with the home before count as live for
// some seconds.
func part(share sched.Share, follow float64) sched.Share {
	follow = followed(follow)
	share.Limits *= follow
	if follow < mostFollow {
		share.Servers *= follow
	}
	return share
}

// followed rounds the part of the live hosts that follow a home up to a tenth.
func followed(follow float64) float64 {
	if follow >= nearlyAll {
		return 1
	}
	return math.Ceil(follow*shareSteps) / shareSteps
}

// completeShare is the part of the hosts listed that must be heard of to take a fleet that
// starts anew for complete: some may have been lost with what stopped it.
const completeShare = 0.9

// complete reports whether nearly all hosts are heard of that others or the store tell of.
func (f *Follower) complete(live int) bool {
	listed := f.listed()
	return listed > 1 && float64(live) >= completeShare*float64(listed)
}

// alone sets the share of a host that decides for itself.
func (f *Follower) alone() {
	f.client.setWhole(false)
	f.leads(false)
	f.leadsSince, f.partial = time.Time{}, false
	live, silent := f.count()
	n, age := max(live+silent, f.listed()), time.Since(f.started)
	f.hosts = n
	if n == 1 && age < lonelyTime || f.listed() == 0 && age < settleTime {
		f.hosts = 0
		f.setShare(sched.Share{Servers: aloneServers / unknownHosts, Limits: unknownLimits, Sends: unknownLimits})
		return
	}
	even := 1 / float64(n)
	f.setShare(sched.Share{Servers: min(1, aloneServers*even), Limits: aloneLimits * even, Sends: aloneSends * even})
}

// shareChange is the factor by which the number of hosts must change for the share of a
// host that follows a home to be worked out anew.
const shareChange = 1.1

// keepShare works out the share of a host that follows a home, for when that falls silent.
//
// Guard: a host knows little of the fleet when it starts and has next to nothing of the
// quotas then. One that found its home at once kept that share, and when the home froze
// its callers were told that their accounts were over their quotas.
func (f *Follower) keepShare() {
	live, silent := f.count()
	n := float64(max(live+silent, f.listed()))
	was := float64(f.hosts)
	if n > was*shareChange || was > n*shareChange {
		f.alone()
	}
}

// count returns how many hosts answer, this one included, and how many fell
// silent lately without proof of their end.
func (f *Follower) count() (live, silent int) {
	for _, m := range f.members.All() {
		switch {
		case m.State != member.Dead:
			live++
		case !m.Proved && time.Since(m.Since) < silentHosts:
			silent++
		}
	}
	return max(1, live), silent
}
