// Package home runs the scheduler duty: for each service whose home this
// host is, one goroutine owns a core.Cell and feeds it from a bounded ring.
//
// Which host is the home follows from the member list alone, by rendezvous
// hashing: no election and nothing stored. Two hosts may believe in different
// homes for a moment; that is safe, because a holder follows one home at a
// time, and a resend is only granted with the word of every holder tried.
package home

import (
	"sort"

	"github.com/cespare/xxhash/v2"

	"github.com/gentianflow/gentianflow/internal/ident"
	"github.com/gentianflow/gentianflow/internal/member"
)

// Rank orders the members that may serve a service: by rendezvous weight,
// highest first, limited to n. Members that leave or are dead are left out;
// suspects stay until they are dead, so that a lost datagram moves no home.
func Rank(service string, members []member.Member, n int) []member.Member {
	type weighed struct {
		member.Member
		weight uint64
	}
	var all []weighed
	for _, m := range members {
		if m.State == member.Alive || m.State == member.Suspect {
			all = append(all, weighed{m, weight(service, m.Incarnation)})
		}
	}
	sort.Slice(all, func(i, j int) bool { return all[i].weight > all[j].weight })
	out := make([]member.Member, 0, min(n, len(all)))
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

// Of returns the home of a service, false when no member can be one.
func Of(service string, members []member.Member, n int) (member.Member, bool) {
	ranked := Rank(service, members, n)
	if len(ranked) == 0 {
		return member.Member{}, false
	}
	return ranked[0], true
}
