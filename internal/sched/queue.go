package sched

import (
	"slices"
	"time"
)

// waiting is one request in a queue.
type waiting struct {
	Request
	submittedAt    Time // when it was submitted here; Arrived may be earlier
	rank           Time // sort key: Arrived, plus longAnswerDelay and rankShift; the expected turn of its account while that has not come
	adjustedRank   Time // rank with the cache and connections of the choosing server considered
	class          int  // size class within its priority, if classified
	classified     bool
	share          shareEntry
	work           time.Duration // expected, once computed; see admission.go
	summarized     bool          // counted in the summary of its priority, among the late ones if summarizedLate
	summarizedLate bool
	reserved       bool // to be placed next, as its account or priority has had no placement for long
	returned       returnKind
	rankShift      time.Duration // by which a booked return moves its rank; see returns.go
	notBefore      Time          // the moment that it came too early for, 0 if none
}

// priorityQueue holds the waiting requests of one priority. onTime is sorted by rank, except
// for its first Policy.CacheChoiceWindow requests, which preferCached sorts for the server that
// chose last. A request that can no longer meet its latency target moves to late, behind all
// that still can: serving it first would only make the next one late too.
type priorityQueue struct {
	priority      int
	onTime        []*waiting
	late          []*waiting
	arrivalRate   rate // of requests
	placementRate rate
	allocated     serverTime // to the requests placed
	sizeStats     sizeStats
	shares        *accountShares // nil until used
	// nextShareCheck is when the minimum share of this priority is checked again.
	nextShareCheck Time
	forecast       priorityForecast
	lateByRank     bool // late is kept in order of rank
	lateFirst      bool // late goes before onTime; see lateHaveRoom
}

// queue holds the waiting requests of a service, most urgent priority first.
type queue struct {
	priorityQueues []*priorityQueue
	size           int
	keys           map[Key]struct{} // of all waiting requests
}

func (q *queue) add(w *waiting) {
	pq := q.priorityQueue(w.Priority)
	at := len(pq.onTime)
	for at > 0 && compareRank(pq.onTime[at-1], w) > 0 {
		at--
	}
	pq.onTime = slices.Insert(pq.onTime, at, w)
	if q.keys == nil {
		q.keys = map[Key]struct{}{}
	}
	q.keys[w.Key] = struct{}{}
	q.size++
}

func (q *queue) priorityQueue(priority int) *priorityQueue {
	i, found := slices.BinarySearchFunc(q.priorityQueues, priority, func(pq *priorityQueue, p int) int { return pq.priority - p })
	if !found {
		q.priorityQueues = slices.Insert(q.priorityQueues, i, &priorityQueue{priority: priority})
	}
	return q.priorityQueues[i]
}

// has reports whether a request waits here.
func (q *queue) has(k Key) bool {
	_, waits := q.keys[k]
	return waits
}

// find returns a waiting request, nil when it does not wait here.
func (q *queue) find(k Key) (found *waiting) {
	if !q.has(k) {
		return nil
	}
	q.each(func(w *waiting) (drop, stop bool) {
		if w.Key == k {
			found = w
		}
		return false, found != nil
	})
	return found
}

// remove removes a request and returns it, nil when it does not wait here.
func (q *queue) remove(k Key) *waiting {
	if !q.has(k) {
		return nil
	}
	delete(q.keys, k)
	match := func(w *waiting) bool { return w.Key == k }
	for _, pq := range q.priorityQueues {
		for _, list := range []*[]*waiting{&pq.onTime, &pq.late} {
			if i := slices.IndexFunc(*list, match); i >= 0 {
				w := (*list)[i]
				w.leaveShares(false)
				*list = slices.Delete(*list, i, i+1)
				q.size--
				return w
			}
		}
	}
	return nil
}

// each calls f for all waiting requests, most urgent first, and removes those for which it
// returns drop. It stops when f returns stop.
func (q *queue) each(f func(w *waiting) (drop, stop bool)) {
	for _, pq := range q.priorityQueues {
		first, second := &pq.onTime, &pq.late
		if pq.lateFirst {
			first, second = second, first
		}
		if q.eachOf(first, f) || q.eachOf(second, f) {
			return
		}
	}
}

func (q *queue) eachOf(list *[]*waiting, f func(w *waiting) (drop, stop bool)) bool {
	kept := (*list)[:0]
	for i, w := range *list {
		drop, stop := f(w)
		if drop {
			w.leaveShares(false)
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

// demoteLate moves requests that can no longer meet their latency target behind those that can.
// timeToFirstEvent is the time from the placement to the first event.
func (pq *priorityQueue) demoteLate(now Time, timeToFirstEvent time.Duration) {
	kept := pq.onTime[:0]
	for _, w := range pq.onTime {
		if w.LatencyTarget < now+timeToFirstEvent {
			pq.addLate(w)
		} else {
			kept = append(kept, w)
		}
	}
	clear(pq.onTime[len(kept):])
	pq.onTime = kept
}

// addLate adds a request to late, in order of rank if accounts share the servers or refused callers
// return at booked moments; otherwise the order is that in which requests became late.
func (pq *priorityQueue) addLate(w *waiting) {
	byRank := pq.lateByRank
	if e := &w.share; e.charged {
		e.late = true
		e.queue.late += e.cost
		byRank = true
	}
	at := len(pq.late)
	for byRank && at > 0 && compareRank(pq.late[at-1], w) > 0 {
		at--
	}
	pq.late = slices.Insert(pq.late, at, w)
}

// shouldRejectEarly reports whether w, which waits in pq, will almost certainly be refused in the
// end: the requests before it take longer than it may wait to be on time, and more arrive than
// are placed, so that nothing is left for late ones.
func (pq *priorityQueue) shouldRejectEarly(now Time, timeToFirstEvent time.Duration, w *waiting) bool {
	placementRate := pq.placementRate.valueAt(now)
	w.share.ahead = pq.ahead(w)
	if float64(w.share.ahead) < placementRate*(w.LatencyTarget-timeToFirstEvent-now).Seconds() {
		return false
	}
	return pq.arrivalRate.valueAt(now) > earlyRejectionRatio*placementRate
}
