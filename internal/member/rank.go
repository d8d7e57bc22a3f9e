package member

import (
	"sort"

	"github.com/cespare/xxhash/v2"

	"github.com/gentianflow/gentianflow/internal/ident"
)

// Rank orders the members that may serve a service: the largest first, by
// rendezvous weight among those of one size, limited to n. The home of a large
// fleet needs more processor than the smallest hosts have. Members that leave or are dead are left out;
// suspects stay until they are dead, so that a lost datagram moves no home.
func Rank(service string, members []Member, n int) []Member {
	type weighed struct {
		Member
		weight uint64
	}
	var all []weighed
	for _, m := range members {
		if m.State == Alive || m.State == Suspect {
			all = append(all, weighed{m, weight(service, m.Incarnation)})
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

// weight hashes by incarnation: a restarted host does not take its cells
// back at once by its name, it competes as a new one.
func weight(service string, inc ident.Incarnation) uint64 {
	return xxhash.Sum64String(service + "\x00" + inc.String())
}

// Home returns the host that schedules a service, false when no member can.
// It follows from the member list alone: no election and nothing stored. Two
// hosts may believe in different homes for a moment; a host follows one home
// at a time, so what it holds is still scheduled once.
func Home(service string, members []Member, n int) (Member, bool) {
	ranked := Rank(service, members, n)
	if len(ranked) == 0 {
		return Member{}, false
	}
	return ranked[0], true
}

// maxRanked is the longest ranking that First gives.
const maxRanked = 16

// First returns the first n hosts of a service's ranking, at most maxRanked; see Rank.
// The list is shared by all callers.
func (t *Table) First(service string, n int) []Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	list := t.all()
	ranked, known := t.ranks[service]
	if !known {
		ranked = Rank(service, list, maxRanked)
		t.ranks[service] = ranked
	}
	return ranked[:min(n, len(ranked))]
}
