package member

import (
	"cmp"
	"slices"
	"sort"

	"github.com/cespare/xxhash/v2"

	"github.com/gentianflow/gentianflow/internal/chart"
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
		if mayBeHome(m.State) {
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

func mayBeHome(s chart.State) bool { return s == Alive || s == Suspect }

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
	ranking := t.rankingOf(service)
	if ranking.members == nil {
		for _, c := range ranking.first {
			if m, ok := t.get(c.incarnation); ok {
				ranking.members = append(ranking.members, m)
			}
		}
	}
	return ranking.members[:min(n, len(ranking.members))]
}

// rankingOf returns the ranking of a service, and computes it if it is unknown. The caller holds mu.
func (t *Table) rankingOf(service string) *ranking {
	if r := t.rankings[service]; r != nil && !r.outdated {
		return r
	}
	r := &ranking{}
	t.rankings[service] = r
	self := t.selfMember()
	r.set(service, candidate{incarnation: self.Incarnation, capacity: self.Capacity}, mayBeHome(self.State))
	for _, other := range t.pools[livePool].records {
		r.set(service, other.candidate(), mayBeHome(other.machine.State()))
	}
	return r
}

// candidate is a member in a ranking.
type candidate struct {
	incarnation ident.Incarnation
	capacity    uint32
	weight      uint64
}

func (r *record) candidate() candidate {
	return candidate{incarnation: r.incarnation(), capacity: r.wire.Capacity}
}

// ranking holds the first maxRanked members of a service's ranking. A member that joins or leaves
// changes it only if it is one of them.
type ranking struct {
	first    []candidate
	outdated bool     // one of first has left, so that its successor must be found among all
	members  []Member // first, as First returns it; nil if it must be listed again
}

// set includes a candidate in the ranking or excludes it.
func (r *ranking) set(service string, c candidate, eligible bool) {
	at := slices.IndexFunc(r.first, func(other candidate) bool { return other.incarnation == c.incarnation })
	if !eligible {
		r.outdated = r.outdated || at >= 0
		return
	}
	full := len(r.first) == maxRanked
	if at >= 0 || full && c.capacity < r.first[maxRanked-1].capacity {
		return
	}
	c.weight = weight(service, c.incarnation)
	r.members = nil
	i, _ := slices.BinarySearchFunc(r.first, c, candidate.compare)
	r.first = slices.Insert(r.first, i, c)
	if full {
		r.first = r.first[:maxRanked]
	}
}

// compare orders candidates as Rank does.
func (c candidate) compare(other candidate) int {
	if c.capacity != other.capacity {
		return cmp.Compare(other.capacity, c.capacity)
	}
	return cmp.Compare(other.weight, c.weight)
}
