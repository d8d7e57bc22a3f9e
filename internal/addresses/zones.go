package addresses

import (
	"time"
)

const (
	// highLoad is the load of a zone, the mean of its hosts by what they can carry, from which callers are
	// sent to other zones. A step ends at aimedLoad, so far below that it does not cause the opposite one.
	highLoad  = 0.75
	aimedLoad = 0.6
	// Below highLoad each step lets the part that stays grow, by probe at least and twofold at most.
	// Memory in use falls long after its callers have gone, so the load alone doesn't tell whether more
	// can return. A zone that has too many callers then varies between aimedLoad and highLoad.
	probe     = 1.05
	maxGrowth = 2
	// fullLoad is the load from which the demand beyond it can't be seen. The zone's part is then
	// halved.
	fullLoad = 0.95
	// stepTime is the time until a step shows in the load figures: answers are kept for 2 s, a load
	// figure covers the last second, and gossip takes up to 2 s within a zone. Shorter steps would
	// be repeated before their effect is seen.
	stepTime = 5 * time.Second
	// minShare is the smallest part of a zone's callers that stays. With it the zone's load tells when
	// more can return.
	minShare = 0.05
	// otherZonesMargin is how much less loaded the other zones must be for callers to be sent there.
	// In a fleet that is full everywhere, sending callers across would only cost bytes between zones.
	otherZonesMargin = 0.1
)

// Zones decides which part of each availability zone's callers stays in the zone. Other hosts get the
// rest. The zero value is ready for use.
//
// The demand of a zone isn't known, and a full zone shows only that it is full. So the part changes in
// steps by the ratio of the aimed load to the load seen, each of which waits until the one before shows.
type Zones struct {
	zones map[string]*zoneState
}

type zoneState struct {
	share   float64
	stepped time.Time
}

// Share returns the part of a zone's callers that stays in it.
func (z *Zones) Share(zone string) float64 {
	if s := z.zones[zone]; s != nil {
		return s.share
	}
	return 1
}

// Update adapts the parts to the load of the hosts. It forgets zones without hosts.
func (z *Zones) Update(now time.Time, hosts []Host) {
	loads, rest := zoneLoads(hosts)
	states := make(map[string]*zoneState, len(loads))
	for name, l := range loads {
		s := z.zones[name]
		if s == nil {
			s = &zoneState{share: 1}
		}
		states[name] = s
		if !s.stepped.IsZero() && now.Sub(s.stepped) < stepTime {
			continue
		}
		if share := nextShare(s.share, l.mean(), rest.without(l)); share != s.share {
			s.share, s.stepped = share, now
		}
	}
	z.zones = states
}

// nextShare returns the part of a zone's callers that is to stay in it, which carries a load while the
// part is share.
func nextShare(share, load, elsewhere float64) float64 {
	switch {
	case load <= highLoad:
		return min(1, share*min(maxGrowth, max(probe, aimedLoad/max(load, aimedLoad/maxGrowth))))
	case elsewhere > load-otherZonesMargin:
		return share
	case load >= fullLoad:
		return max(minShare, share/2)
	}
	return max(minShare, share*aimedLoad/load)
}

// zoneLoad sums, for the hosts with a known load, what they can carry and what of it is in use.
type zoneLoad struct {
	hosts         int // with and without a known load
	carried, used float64
}

// mean returns the load, 0 if none is known.
func (l zoneLoad) mean() float64 {
	if l.carried <= 0 {
		return 0
	}
	return l.used / l.carried
}

// without returns the load of the hosts that are not in o: 1 if there are none, 0 if it is unknown. Those
// of other zones often are in a large fleet.
func (l zoneLoad) without(o zoneLoad) float64 {
	if l.hosts == o.hosts {
		return 1
	}
	rest := zoneLoad{carried: l.carried - o.carried, used: l.used - o.used}
	if rest.carried <= l.carried*1e-9 { // what rounding leaves
		return 0
	}
	return rest.mean()
}

// zoneLoads returns the load of each zone and of all together.
func zoneLoads(hosts []Host) (byZone map[string]zoneLoad, all zoneLoad) {
	byZone = map[string]zoneLoad{}
	carried, _ := carriedBy(hosts)
	for i := range hosts {
		l := byZone[hosts[i].Zone]
		l.hosts++
		all.hosts++
		if load, known := hosts[i].knownLoad(); known {
			l.carried += carried[i]
			l.used += carried[i] * load
			all.carried += carried[i]
			all.used += carried[i] * load
		}
		byZone[hosts[i].Zone] = l
	}
	return byZone, all
}
