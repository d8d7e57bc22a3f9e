package dispatch

import (
	"time"

	"github.com/gentianflow/gentianflow/internal/ident"
	"github.com/gentianflow/gentianflow/internal/member"
)

// homeOf is the name under which the home is ranked: one home schedules all
// services, so that quotas and retry budgets are counted in one place.
const homeOf = "scheduler"

// HomeOf names the host that schedules for all, false when there is none.
func HomeOf(members *member.Table) (member.Member, bool) {
	ranked := members.First(homeOf, 1)
	if len(ranked) == 0 {
		return member.Member{}, false
	}
	return ranked[0], true
}

// readers is how many hosts may read the store for the others: the home, and who takes
// over when the store does not answer it.
const readers = 5

// ReadersOf lists the hosts that read the store for all, the home first.
func ReadersOf(members *member.Table) []member.Member { return members.First(homeOf, readers) }

// standbys is how many hosts behind the readers read the store for the others while no
// reader has news.
const standbys = 10

// StoreOrder lists the readers of the store and the standbys behind them, and how many of
// them are readers.
func StoreOrder(members *member.Table) (list []member.Member, first int) {
	list = members.First(homeOf, readers+standbys)
	return list, min(readers, len(list))
}

// nextHomes is how many hosts are told what the home has learned: more are lost with it
// only in a failure that leaves little to place.
const nextHomes = 2

// NextHomes lists the hosts that take over when the home is lost.
func NextHomes(members *member.Table) []uint64 {
	var out []uint64
	for _, m := range members.First(homeOf, 1+nextHomes) {
		out = append(out, uint64(m.Incarnation))
	}
	return out
}

// want names the host to follow: the first of the ranking that this host has not lost.
// This host itself never counts as lost.
func (f *Follower) want(now time.Time) (member.Member, bool) {
	ranked := ReadersOf(f.members)
	for _, m := range ranked {
		if m.Incarnation == f.client.self || !f.distrust.has(now, m.Incarnation) {
			return m, true
		}
	}
	if len(ranked) == 0 {
		return member.Member{}, false
	}
	return ranked[0], true
}

// first is the host that the ranking names as the home.
func (f *Follower) first() ident.Incarnation {
	home, _ := HomeOf(f.members)
	return home.Incarnation
}
