package member

import (
	"sort"

	"github.com/cespare/xxhash/v2"

	"github.com/gentianflow/gentianflow/internal/ident"
)

// Rank returns the first n members that may be the home of a service (see Home), ordered
// by capacity and, for equal capacity, by rendezvous weight. The largest hosts come
// first because the home of a large fleet needs more CPU than the smallest hosts
// have. Leaving and dead members are excluded; suspects are included until they are
// dead, so that a lost datagram does not move a home.
func Rank(service string, members []Member, n int) []Member {
	type weighted struct {
		Member
		weight uint64
	}
	var all []weighted
	for _, m := range members {
		if m.State == Alive || m.State == Suspect {
			all = append(all, weighted{m, weight(service, m.Incarnation)})
		}
	}
	sort.Slice(all, func(i, j int) bool {
		if all[i].Capacity != all[j].Capacity {
			return all[i].Capacity > all[j].Capacity
		}
		return all[i].weight > all[j].weight
	})
	out := make([]Member, 0, min(n, len(all)))
	for _, w := range all[:min(n, len(all))] {
		out = append(out, w.Member)
	}
	return out
}

// weight hashes the incarnation rather than the host name, so that a restarted
// host competes as a new one and does not take its services back at once.
func weight(service string, inc ident.Incarnation) uint64 {
	return xxhash.Sum64String(service + "\x00" + inc.String())
}

// Home returns the home of a service, the host that runs the scheduler, or false if
// no member can be it. The home follows from the member list alone, without election
// or stored state. Hosts may briefly disagree on the home; since a host follows one
// home at a time, the requests that it holds are still scheduled only once.
func Home(service string, members []Member, n int) (Member, bool) {
	ranked := Rank(service, members, n)
	if len(ranked) == 0 {
		return Member{}, false
	}
	return ranked[0], true
}

// maxRanked is the maximum length of the rankings that First returns.
const maxRanked = 16

// First returns the first n hosts of a service's ranking, at most maxRanked; see Rank.
// All callers share the list and must not modify it.
func (t *Table) First(service string, n int) []Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	list := t.allLocked()
	ranked, known := t.rankings[service]
	if !known {
		ranked = Rank(service, list, maxRanked)
		t.rankings[service] = ranked
	}
	return ranked[:min(n, len(ranked))]
}
