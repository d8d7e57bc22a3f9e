package dispatch

import (
	"time"

	"github.com/gentianflow/gentianflow/internal/ident"
	"github.com/gentianflow/gentianflow/internal/member"
)

// homeRankingKey is the key by which hosts are ranked as home. One home schedules all
// services, so that quotas and retry budgets are counted in one place.
const homeRankingKey = "scheduler"

// HomeOf returns the home, the host that schedules for all hosts, and false if there is none.
func HomeOf(members *member.Table) (member.Member, bool) {
	ranked := members.First(homeRankingKey, 1)
	if len(ranked) == 0 {
		return member.Member{}, false
	}
	return ranked[0], true
}

// readerCount is how many hosts may read the store for the others: the home, and the hosts
// that take over if the store does not answer it.
const readerCount = 5

// ReadersOf lists the hosts that read the store for all hosts, the home first.
func ReadersOf(members *member.Table) []member.Member {
	return members.First(homeRankingKey, readerCount)
}

// standbyCount is how many hosts ranked behind the readers read the store for the others
// while no reader gets updates.
const standbyCount = 10

// StoreReaders lists the readers of the store followed by the standbys, and returns the number
// of readers.
func StoreReaders(members *member.Table) (list []member.Member, readers int) {
	list = members.First(homeRankingKey, readerCount+standbyCount)
	return list, min(readerCount, len(list))
}

// nextHomeCount is how many hosts ranked behind the home receive its estimates of server
// speeds. A failure that takes down the home and all of them at once leaves few requests to
// place.
const nextHomeCount = 2

// HomeAndSuccessors lists the incarnations of the hosts ranked first: the home and those
// that take over if it is lost.
func HomeAndSuccessors(members *member.Table) []uint64 {
	var out []uint64
	for _, m := range members.First(homeRankingKey, 1+nextHomeCount) {
		out = append(out, uint64(m.Incarnation))
	}
	return out
}

// desiredHome returns the host to follow: the first of the ranking that this host has not
// recently lost. This host itself never counts as lost.
func (f *Follower) desiredHome(now time.Time) (member.Member, bool) {
	ranked := ReadersOf(f.members)
	for _, m := range ranked {
		if m.Incarnation == f.client.self || !f.lostHomes.has(now, m.Incarnation) {
			return m, true
		}
	}
	if len(ranked) == 0 {
		return member.Member{}, false
	}
	return ranked[0], true
}

// rankedHome returns the host that the ranking names as the home.
func (f *Follower) rankedHome() ident.Incarnation {
	home, _ := HomeOf(f.members)
	return home.Incarnation
}
