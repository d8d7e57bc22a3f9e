package replay

import (
	"sort"
	"time"
)

func sortInts(v []int) { sort.Ints(v) }

// baselineHosts is the number of hosts of a baseline. Each decides on its own.
const baselineHosts = 6

// baseline dispatches each request at once, without queues or tiers, as users would do
// without the scheduler.
type baseline struct {
	host       Host
	servers    []Line
	dispatched int         // number of requests dispatched by round robin
	inFlight   [][]int     // by host and server; nil for round robin
	hostOf     map[int]int // host of each request in flight
}

// RoundRobin returns a scheduler that sends each request to the next server in turn.
func RoundRobin(servers []Line, _ Line, h Host) Scheduler {
	return &baseline{host: h, servers: servers, hostOf: map[int]int{}}
}

// LeastInFlight returns a scheduler that sends each request to the server with the fewest
// requests in flight from the same host. Hosts don't know of each other's requests.
func LeastInFlight(servers []Line, _ Line, h Host) Scheduler {
	b := &baseline{host: h, servers: servers, hostOf: map[int]int{}}
	for range baselineHosts {
		b.inFlight = append(b.inFlight, make([]int, len(servers)))
	}
	return b
}

func (b *baseline) Arrive(now time.Duration, index int, _ *Line) {
	if b.inFlight == nil {
		b.host.Dispatch(now, index, b.dispatched%len(b.servers))
		b.dispatched++
		return
	}
	host := index % baselineHosts
	best := 0
	for i, n := range b.inFlight[host] {
		if n < b.inFlight[host][best] {
			best = i
		}
	}
	b.inFlight[host][best]++
	b.hostOf[index] = host
	b.host.Dispatch(now, index, best)
}

func (b *baseline) Finished(_ time.Duration, server int, f Finish) {
	if host, ok := b.hostOf[f.Index]; ok {
		b.inFlight[host][server]--
		delete(b.hostOf, f.Index)
	}
}

func (b *baseline) Tick(time.Duration)                                     {}
func (b *baseline) Progress(time.Duration, int, int, time.Duration)        {}
func (b *baseline) Load(time.Duration, int, int, time.Duration)            {}
func (b *baseline) Evicted(time.Duration, int, []int, bool, time.Duration) {}
func (b *baseline) Fault(time.Duration, *Line)                             {}
