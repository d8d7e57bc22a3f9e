// Package fairshare implements start-time fair queuing over flows, for instance the client
// accounts whose requests wait in one queue.
//
// Each flow has a finish tag on a virtual clock. A request gets the start tag max(virtual time,
// finish tag of its flow) and moves the finish tag on by its cost, which is its work divided by
// the weight of the flow. Requests that are served in the order of their start tags give each
// backlogged flow service in proportion to its weight, with an error of at most one request of
// each flow (Goyal, Vin, Cheng: Start-time Fair Queuing, 1996). The virtual time is the start tag
// of the request that was served last. If requests are served out of that order, it is the smallest
// tag at which a backlogged flow goes on. A flow without waiting requests earns no credit.
//
// Costs are in seconds of work at weight 1. A Flows belongs to one goroutine.
package fairshare

import "math"

// maxLag bounds how far the virtual time stays behind the requests that are served, in mean
// costs. A flow whose next request no free server may take would otherwise hold the virtual time
// back, and a flow that becomes active would start with a credit of that length. A queue that
// lets a server choose among the first 16 requests departs from the order by as much.
const maxLag = 16

// meanCostWeight is the weight of a new sample of the mean cost: about the last 50 count.
const meanCostWeight = 0.02

// MaxIdle bounds the flows that have nothing waiting or running and are ahead of the virtual time,
// of which there would be one for each flow while new ones keep coming. Beyond it those closest to
// the virtual time are dropped, which forgives the least.
const MaxIdle = 4096

// Flow is the state of one flow.
type Flow[K comparable] struct {
	Key       K
	finish    float64 // finish tag of the newest request
	waiting   float64 // cost of the waiting requests, part of finish
	requests  int     // waiting
	runs      int     // placed and not ended
	suspended bool
	index     int // in the heap that it is in, -1 in none
}

// Head returns the start tag of the flow's first waiting request. If none waits, it is the
// finish tag of its newest placed one.
func (f *Flow[K]) Head() float64 { return f.finish - f.waiting }

// Finish returns the finish tag.
func (f *Flow[K]) Finish() float64 { return f.finish }

// Waiting returns the cost and the number of the flow's waiting requests.
func (f *Flow[K]) Waiting() (cost float64, requests int) { return f.waiting, f.requests }

// Flows is a set of flows with their virtual time. The state is bounded by the number of flows
// that have a request waiting or running, and MaxIdle others.
type Flows[K comparable] struct {
	virtualTime float64
	flows       map[K]*Flow[K]
	backlogged  flowHeap[K] // with waiting requests and not suspended, by Head
	idle        flowHeap[K] // without waiting and running requests, by finish
	meanCost    float64     // of the placed requests
	requests    int         // waiting
	runs        int         // placed and not ended
}

// New returns a set without flows.
func New[K comparable]() *Flows[K] { return &Flows[K]{flows: map[K]*Flow[K]{}} }

// VirtualTime returns the virtual time.
func (s *Flows[K]) VirtualTime() float64 { return s.virtualTime }

// Next returns the tag at which the next request goes on, if requests are served in order.
func (s *Flows[K]) Next() float64 {
	if len(s.backlogged.items) == 0 {
		return s.virtualTime
	}
	return max(s.virtualTime, s.backlogged.items[0].Head())
}

// Len returns the number of flows with state.
func (s *Flows[K]) Len() int { return len(s.flows) }

// Backlogged returns the number of flows with waiting requests that are not suspended.
func (s *Flows[K]) Backlogged() int { return len(s.backlogged.items) }

// Swaps returns how many exchanges of two flows the heaps have needed so far, a measure of the cost.
func (s *Flows[K]) Swaps() int { return s.backlogged.swaps + s.idle.swaps }

// Error returns the largest distance between the tags at which two backlogged flows go on. It
// is at most one cost of each of the two while requests are placed in the order of their tags.
func (s *Flows[K]) Error() float64 {
	lowest, highest := math.Inf(1), math.Inf(-1)
	for _, f := range s.backlogged.items {
		lowest, highest = min(lowest, f.Head()), max(highest, f.Head())
	}
	return max(0, highest-lowest)
}

// Charge adds cost to a flow and returns the start tag. It is for a caller that moves the virtual
// time itself, with Advance.
func (s *Flows[K]) Charge(key K, cost float64) (start float64) {
	f := s.flow(key)
	start = max(s.virtualTime, f.finish)
	f.finish = start + cost
	s.update(f)
	return start
}

// Advance moves the virtual time on to the start tag of a request that is served, unless it has
// passed that already.
func (s *Flows[K]) Advance(start float64) {
	s.virtualTime = max(s.virtualTime, start)
	s.dropPassed()
}

// Enqueue adds a waiting request to a flow and returns the flow and the request's start tag.
func (s *Flows[K]) Enqueue(key K, cost float64) (f *Flow[K], start float64) {
	f = s.flow(key)
	if f.requests == 0 {
		f.finish, f.waiting = max(s.virtualTime, f.finish), 0
	}
	start = f.finish
	f.finish += cost
	f.waiting += cost
	f.requests++
	s.requests++
	s.update(f)
	return f, start
}

// Place records that a waiting request is served. The flow stays until End.
func (s *Flows[K]) Place(f *Flow[K], cost float64) {
	start := f.Head()
	if s.meanCost == 0 {
		s.meanCost = cost
	}
	s.meanCost += (cost - s.meanCost) * meanCostWeight
	f.runs++
	s.runs++
	s.leave(f, cost)
	lowest := start
	if len(s.backlogged.items) > 0 {
		lowest = min(start, s.backlogged.items[0].Head())
	}
	s.Advance(max(lowest, start-maxLag*s.meanCost))
}

// Cancel removes a waiting request that is not served, and refunds its cost.
func (s *Flows[K]) Cancel(f *Flow[K], cost float64) {
	f.finish -= cost
	s.leave(f, cost)
	s.endBusyPeriod()
	s.dropPassed()
}

// leave takes one waiting request out of a flow. The sum of costs is reset when it was the last
// one, so that rounding errors don't add up.
func (s *Flows[K]) leave(f *Flow[K], cost float64) {
	f.waiting -= cost
	f.requests--
	s.requests--
	if f.requests == 0 {
		f.finish -= f.waiting
		f.waiting = 0
	}
	s.update(f)
}

// Adopt charges a flow for a run that another scheduler placed. It does not wait here.
func (s *Flows[K]) Adopt(key K, cost float64) *Flow[K] {
	f := s.flow(key)
	if f.requests == 0 {
		f.finish = max(s.virtualTime, f.finish)
	}
	f.finish += cost
	f.runs++
	s.runs++
	s.update(f)
	return f
}

// End ends a run. change is what it used beyond its charge, below 0 if it used less.
func (s *Flows[K]) End(f *Flow[K], change float64) {
	f.finish += change
	f.runs--
	s.runs--
	s.update(f)
	s.endBusyPeriod()
	s.dropPassed()
}

// endBusyPeriod moves the virtual time on to the last finish tag once nothing waits or runs: what
// the flows used before counts no more.
func (s *Flows[K]) endBusyPeriod() {
	if s.requests > 0 || s.runs > 0 {
		return
	}
	for _, f := range s.idle.items {
		s.virtualTime = max(s.virtualTime, f.finish)
	}
	s.dropPassed()
}

// Suspend excludes a flow with waiting requests from the virtual time: its requests may not be
// served now, for instance because the account is over its quota.
func (s *Flows[K]) Suspend(f *Flow[K]) {
	if !f.suspended {
		f.suspended = true
		s.update(f)
	}
}

// Resume ends the suspension of a flow. It goes on at the virtual time, since it could not have
// used its share meanwhile.
func (s *Flows[K]) Resume(f *Flow[K]) {
	if f.suspended {
		f.suspended = false
		f.finish += max(0, s.virtualTime-f.Head())
		s.update(f)
	}
}

// dropPassed drops the idle flows whose finish tag has been passed, since a new flow is treated in
// the same way, and those beyond MaxIdle.
func (s *Flows[K]) dropPassed() {
	for len(s.idle.items) > 0 && (s.idle.items[0].finish <= s.virtualTime || len(s.idle.items) > MaxIdle) {
		f := s.idle.items[0]
		s.idle.remove(f)
		delete(s.flows, f.Key)
	}
}

func (s *Flows[K]) flow(key K) *Flow[K] {
	f := s.flows[key]
	if f == nil {
		f = &Flow[K]{Key: key, index: -1}
		s.flows[key] = f
	}
	return f
}

// update moves a flow to the heap that its state belongs to, and to its place there.
func (s *Flows[K]) update(f *Flow[K]) {
	s.backlogged.remove(f)
	s.idle.remove(f)
	switch {
	case f.requests > 0 && !f.suspended:
		s.backlogged.push(f, f.Head())
	case f.requests == 0 && f.runs == 0:
		f.suspended = false
		s.idle.push(f, f.finish)
	case f.requests == 0:
		f.suspended = false
	}
}
