package sched

import (
	"slices"
	"time"
)

// waiting is one request in a queue.
type waiting struct {
	Request
	asked Time // when this ask came in; Arrived may be earlier
	rank  Time // place in its lane: Arrived, put off by the length of its answer
	order Time // rank as the server that chooses sees it
	class int  // by size, in its lane
}

// lane holds the waiting requests of one priority. fresh is in order of rank, but
// for its first Policy.ChoosesFrom, which preferKept puts in the order of the server that
// chose last. A request that can no longer meet its latency objective moves to
// late, behind all that still can: serving it first would only make the next one
// late too.
type lane struct {
	priority int
	fresh    []*waiting
	late     []*waiting
	arrived  rate // of requests
	placed   rate
	given    serverTime // to the requests placed
	sizes    sizes
	// floorFrom is when the floor of this lane is looked at again.
	floorFrom Time
}

// queue holds the waiting requests of a service, most urgent lane first.
type queue struct {
	lanes []*lane
	size  int
	keys  map[Key]struct{} // of all that wait
}

func (q *queue) add(w *waiting) {
	l := q.lane(w.Priority)
	at := len(l.fresh)
	for at > 0 && l.fresh[at-1].rank > w.rank {
		at--
	}
	l.fresh = slices.Insert(l.fresh, at, w)
	if q.keys == nil {
		q.keys = map[Key]struct{}{}
	}
	q.keys[w.Key] = struct{}{}
	q.size++
}

func (q *queue) lane(priority int) *lane {
	i, found := slices.BinarySearchFunc(q.lanes, priority, func(l *lane, p int) int { return l.priority - p })
	if !found {
		q.lanes = slices.Insert(q.lanes, i, &lane{priority: priority})
	}
	return q.lanes[i]
}

// remove takes a request out and returns it, nil when it does not wait here.
func (q *queue) remove(k Key) *waiting {
	if _, waits := q.keys[k]; !waits {
		return nil
	}
	delete(q.keys, k)
	match := func(w *waiting) bool { return w.Key == k }
	for _, l := range q.lanes {
		for _, list := range []*[]*waiting{&l.fresh, &l.late} {
			if i := slices.IndexFunc(*list, match); i >= 0 {
				w := (*list)[i]
				*list = slices.Delete(*list, i, i+1)
				q.size--
				return w
			}
		}
	}
	return nil
}

// each calls f for all that wait, most urgent first, and drops those for
// which it returns true. It stops when f returns stop.
func (q *queue) each(f func(w *waiting) (drop, stop bool)) {
	for _, l := range q.lanes {
		if q.eachOf(&l.fresh, f) || q.eachOf(&l.late, f) {
			return
		}
	}
}

func (q *queue) eachOf(list *[]*waiting, f func(w *waiting) (drop, stop bool)) bool {
	kept := (*list)[:0]
	for i, w := range *list {
		drop, stop := f(w)
		if drop {
			delete(q.keys, w.Key)
			q.size--
		} else {
			kept = append(kept, w)
		}
		if stop {
			kept = append(kept, (*list)[i+1:]...)
			clear((*list)[len(kept):])
			*list = kept
			return true
		}
	}
	clear((*list)[len(kept):])
	*list = kept
	return false
}

// age moves what can no longer meet its objective behind what can. lead is the
// time from a place to the first event.
func (l *lane) age(now Time, lead time.Duration) {
	kept := l.fresh[:0]
	for _, w := range l.fresh {
		if w.Aim < now+lead {
			l.late = append(l.late, w)
		} else {
			kept = append(kept, w)
		}
	}
	clear(l.fresh[len(kept):])
	l.fresh = kept
}

// hopeless reports whether w, which waits in l, will as good as surely be refused
// in the end: those before it take longer than it may wait to be on time, and more
// come than are placed, so that nothing is left for late ones.
func (l *lane) hopeless(now Time, lead time.Duration, w *waiting) bool {
	placed := l.placed.now(now)
	ahead := float64(slices.Index(l.fresh, w))
	if ahead < placed*(w.Aim-lead-now).Seconds() {
		return false
	}
	return l.arrived.now(now) > hopelessExcess*placed
}
