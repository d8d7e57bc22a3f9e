package core

import (
	"github.com/gentianflow/gentianflow/internal/fairshare"
	"github.com/gentianflow/gentianflow/internal/ident"
	"github.com/gentianflow/gentianflow/internal/prefix"
)

// item is one waiting request.
type item struct {
	req      Request
	arrived  Time
	startTag float64 // start tag of start-time fair queuing, in seconds of work
	seq      uint64  // order of arrival, breaks ties
	group    *group
	aged     bool // see the terms in the package comment
	timerAt  Time // next timer: aging, then the latest start

	groupIndex, shedIndex, timerIndex int // indexes in the heaps, -1 outside
	agedIndex, agedCachedIndex        int
}

func (a *item) before(b *item) bool {
	if a.startTag != b.startTag {
		return a.startTag < b.startTag
	}
	return a.seq < b.seq
}

// group holds the waiting requests of one tier that share a prefix.
type group struct {
	key            prefix.Key
	tier           *tierQueue
	items          indexedHeap[*item]
	cachingServers []*server // usable servers that have the prefix cached
	uncachedIndex  int       // index in tierQueue.uncached, -1 when cached or empty
}

func (g *group) head() *item { return g.items.min() }

// tierQueue is the priority queue of one tier. Requests are ordered by start
// tags, so that client accounts share the servers by work. An account that
// floods the queue gets late tags and is also the first to be shed.
type tierQueue struct {
	number    int
	rank      int // 0 for the most urgent tier in use
	groups    map[prefix.Key]*group
	uncached  indexedHeap[*group] // non-empty groups whose prefix no usable server has cached
	shedOrder indexedHeap[*item]  // latest start tag first
	aged      indexedHeap[*item]  // aged requests, earliest start tag first
	// agedCached holds the aged requests whose prefix was found to be cached at
	// another server; see firstAged.
	agedCached indexedHeap[*item]
	flows      *fairshare.Flows[ident.AccountID]
	queuedWork float64 // waiting work in seconds at speed 1
}

// newStartTagHeap returns a heap of items ordered by start tag.
func newStartTagHeap(setIndex func(*item, int)) indexedHeap[*item] {
	return indexedHeap[*item]{less: (*item).before, setIndex: setIndex}
}

func newTierQueue(number int) *tierQueue {
	q := &tierQueue{number: number, groups: map[prefix.Key]*group{}, flows: fairshare.New[ident.AccountID]()}
	q.uncached = indexedHeap[*group]{
		less:     func(a, b *group) bool { return a.head().before(b.head()) },
		setIndex: func(g *group, i int) { g.uncachedIndex = i },
	}
	q.shedOrder = indexedHeap[*item]{
		less:     func(a, b *item) bool { return b.before(a) },
		setIndex: func(it *item, i int) { it.shedIndex = i },
	}
	q.aged = newStartTagHeap(func(it *item, i int) { it.agedIndex = i })
	q.agedCached = newStartTagHeap(func(it *item, i int) { it.agedCachedIndex = i })
	return q
}

func (q *tierQueue) len() int { return q.shedOrder.len() }

// group returns the group of a key and creates it on first use.
func (q *tierQueue) group(key prefix.Key) *group {
	g := q.groups[key]
	if g == nil {
		g = &group{key: key, tier: q, uncachedIndex: -1}
		g.items = newStartTagHeap(func(it *item, i int) { it.groupIndex = i })
		q.groups[key] = g
	}
	return g
}

// add puts an item into its group and updates the indexes.
func (q *tierQueue) add(it *item, cachingServers []*server) {
	g := q.group(it.req.Prefix)
	it.group = g
	if g.items.len() == 0 {
		g.cachingServers = append(g.cachingServers[:0], cachingServers...)
		for _, s := range g.cachingServers {
			s.addCachedGroup(g)
		}
	}
	g.items.push(it)
	for _, s := range g.cachingServers {
		s.cachedWaiting[q.rank]++
	}
	q.shedOrder.push(it)
	q.updateUncached(g)
}

// drop removes an item from every index of the tier.
func (q *tierQueue) drop(it *item) {
	g := it.group
	if g.uncachedIndex >= 0 {
		q.uncached.remove(g.uncachedIndex)
	}
	g.items.remove(it.groupIndex)
	for _, s := range g.cachingServers {
		s.cachedWaiting[q.rank]--
	}
	q.shedOrder.remove(it.shedIndex)
	if it.agedIndex >= 0 {
		q.aged.remove(it.agedIndex)
	}
	if it.agedCachedIndex >= 0 {
		q.agedCached.remove(it.agedCachedIndex)
	}
	if g.items.len() > 0 {
		q.updateUncached(g)
		return
	}
	for _, s := range g.cachingServers {
		s.removeCachedGroup(g)
	}
	delete(q.groups, g.key)
}

// updateUncached keeps g in uncached exactly while g is not empty and no
// usable server has its prefix cached.
func (q *tierQueue) updateUncached(g *group) {
	want := len(g.cachingServers) == 0 && g.items.len() > 0
	switch {
	case want && g.uncachedIndex < 0:
		q.uncached.push(g)
	case want:
		q.uncached.fix(g.uncachedIndex)
	case g.uncachedIndex >= 0:
		q.uncached.remove(g.uncachedIndex)
	}
}

// addCachingServer records that a server now has a prefix cached.
func (q *tierQueue) addCachingServer(key prefix.Key, s *server) {
	g := q.groups[key]
	if g == nil {
		return
	}
	g.cachingServers = append(g.cachingServers, s)
	s.addCachedGroup(g)
	q.updateUncached(g)
}

// removeCachingServer records that a server no longer has a prefix cached.
func (q *tierQueue) removeCachingServer(key prefix.Key, s *server) {
	g := q.groups[key]
	if g == nil {
		return
	}
	g.cachingServers = remove(g.cachingServers, s)
	s.removeCachedGroup(g)
	q.updateUncached(g)
}

// remove deletes v from list. It preserves the order, so that Step stays
// deterministic.
func remove[T comparable](list []T, v T) []T {
	for i := range list {
		if list[i] == v {
			return append(list[:i], list[i+1:]...)
		}
	}
	return list
}
