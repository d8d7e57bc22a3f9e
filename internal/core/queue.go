package core

import (
	"github.com/gentianflow/gentianflow/internal/ident"
	"github.com/gentianflow/gentianflow/internal/prefix"
)

// item is one waiting request.
type item struct {
	req     Request
	arrived Time
	tag     float64 // start tag of start-time fair queuing, in seconds of work
	seq     uint64  // order of arrival, breaks ties
	group   *group
	aged    bool
	timerAt Time // next time that matters: aging, then the latest start

	inGroup, inShed, inTimer int // places in the heaps, -1 outside
	inAged, inAgedHeld       int
}

func (a *item) before(b *item) bool {
	if a.tag != b.tag {
		return a.tag < b.tag
	}
	return a.seq < b.seq
}

// group holds the waiting requests of one tier that share a prefix.
type group struct {
	key      prefix.Key
	tier     *tierQueue
	items    indexedHeap[*item]
	holders  []*server // usable servers that hold the prefix
	inUnheld int       // place in tierQueue.unheld, -1 when held or empty
}

func (g *group) head() *item { return g.items.min() }

// flow is a client account within a tier.
type flow struct{ finish float64 }

// tierQueue is the queue of one tier. Requests are ordered by start tags, so
// client accounts share by work; a flood of one account gets late tags and
// is also the first to be shed.
type tierQueue struct {
	number int
	rank   int // 0 for the most urgent tier in use
	groups map[prefix.Key]*group
	unheld indexedHeap[*group] // non-empty groups that no usable server holds
	shed   indexedHeap[*item]  // latest tag first
	aged   indexedHeap[*item]  // waited long, earliest tag first
	// agedHeld has the aged ones whose prefix some server holds.
	agedHeld indexedHeap[*item]
	flows    map[ident.AccountID]*flow
	vtime    float64
	work     float64 // seconds of work that wait, at speed 1
}

// earliestFirst makes a heap of items by tag that tells each its place.
func earliestFirst(moved func(*item, int)) indexedHeap[*item] {
	return indexedHeap[*item]{less: (*item).before, moved: moved}
}

func newTierQueue(number int) *tierQueue {
	q := &tierQueue{number: number, groups: map[prefix.Key]*group{}, flows: map[ident.AccountID]*flow{}}
	q.unheld = indexedHeap[*group]{
		less:  func(a, b *group) bool { return a.head().before(b.head()) },
		moved: func(g *group, i int) { g.inUnheld = i },
	}
	q.shed = indexedHeap[*item]{
		less:  func(a, b *item) bool { return b.before(a) },
		moved: func(it *item, i int) { it.inShed = i },
	}
	q.aged = earliestFirst(func(it *item, i int) { it.inAged = i })
	q.agedHeld = earliestFirst(func(it *item, i int) { it.inAgedHeld = i })
	return q
}

func (q *tierQueue) len() int { return q.shed.len() }

// tagFor gives a new request its start tag and charges its account.
func (q *tierQueue) tagFor(account ident.AccountID, work, share float64) float64 {
	f := q.flows[account]
	if f == nil {
		f = &flow{}
		q.flows[account] = f
	}
	tag := max(q.vtime, f.finish)
	f.finish = tag + work/share
	return tag
}

// group returns the group of a key, made on first use.
func (q *tierQueue) group(key prefix.Key) *group {
	g := q.groups[key]
	if g == nil {
		g = &group{key: key, tier: q, inUnheld: -1}
		g.items = earliestFirst(func(it *item, i int) { it.inGroup = i })
		q.groups[key] = g
	}
	return g
}

// add puts an item into its group and keeps the indexes of ready groups.
func (q *tierQueue) add(it *item, holders []*server) {
	g := q.group(it.req.Prefix)
	it.group = g
	if g.items.len() == 0 {
		g.holders = append(g.holders[:0], holders...)
		for _, s := range g.holders {
			s.addReady(g)
		}
	}
	g.items.push(it)
	for _, s := range g.holders {
		s.readyItems[q.rank]++
	}
	q.shed.push(it)
	q.placeGroup(g)
}

// drop takes an item out of every index of the tier.
func (q *tierQueue) drop(it *item) {
	g := it.group
	if g.inUnheld >= 0 {
		q.unheld.remove(g.inUnheld)
	}
	g.items.remove(it.inGroup)
	for _, s := range g.holders {
		s.readyItems[q.rank]--
	}
	q.shed.remove(it.inShed)
	if it.inAged >= 0 {
		q.aged.remove(it.inAged)
	}
	if it.inAgedHeld >= 0 {
		q.agedHeld.remove(it.inAgedHeld)
	}
	if g.items.len() > 0 {
		q.placeGroup(g)
		return
	}
	for _, s := range g.holders {
		s.dropReady(g)
	}
	delete(q.groups, g.key)
}

// placeGroup keeps g in unheld exactly while it is not empty and not held.
func (q *tierQueue) placeGroup(g *group) {
	want := len(g.holders) == 0 && g.items.len() > 0
	switch {
	case want && g.inUnheld < 0:
		q.unheld.push(g)
	case want:
		q.unheld.fix(g.inUnheld)
	case g.inUnheld >= 0:
		q.unheld.remove(g.inUnheld)
	}
}

// held tells the queue that a server began to hold a key.
func (q *tierQueue) held(key prefix.Key, s *server) {
	g := q.groups[key]
	if g == nil {
		return
	}
	g.holders = append(g.holders, s)
	s.addReady(g)
	q.placeGroup(g)
}

// unheldBy tells the queue that a server stopped holding a key.
func (q *tierQueue) unheldBy(key prefix.Key, s *server) {
	g := q.groups[key]
	if g == nil {
		return
	}
	g.holders = remove(g.holders, s)
	s.dropReady(g)
	q.placeGroup(g)
}

// remove deletes v from list and keeps the order, which keeps Step
// deterministic.
func remove[T comparable](list []T, v T) []T {
	for i := range list {
		if list[i] == v {
			return append(list[:i], list[i+1:]...)
		}
	}
	return list
}
