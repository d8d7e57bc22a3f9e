package replay

import (
	"sort"
	"time"
)

func sortInts(v []int) { sort.Ints(v) }

// baselineHosts is how many hosts a baseline has, each deciding alone.
const baselineHosts = 6

// baseline dispatches each request at once: no queue, no tiers. It stands for
// what users would do without the system.
type baseline struct {
	host     Host
	servers  []Line
	next     int     // round robin
	inFlight [][]int // by host and server; nil for round robin
	owner    map[int]int
}

// RoundRobin sends each request to the next server in turn.
func RoundRobin(servers []Line, _ Line, h Host) Scheduler {
	return &baseline{host: h, servers: servers, owner: map[int]int{}}
}

// LeastInFlight sends each request to the server with the fewest requests in
// flight from the same host; hosts do not know of each other.
func LeastInFlight(servers []Line, _ Line, h Host) Scheduler {
	b := &baseline{host: h, servers: servers, owner: map[int]int{}}
	for range baselineHosts {
		b.inFlight = append(b.inFlight, make([]int, len(servers)))
	}
	return b
}

func (b *baseline) Arrive(now time.Duration, index int, _ *Line) {
	if b.inFlight == nil {
		b.host.Dispatch(now, index, b.next%len(b.servers))
		b.next++
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
	b.owner[index] = host
	b.host.Dispatch(now, index, best)
}

func (b *baseline) Finished(_ time.Duration, server int, f Finish) {
	if host, ok := b.owner[f.Index]; ok {
		b.inFlight[host][server]--
		delete(b.owner, f.Index)
	}
}

func (b *baseline) Tick(time.Duration)                                     {}
func (b *baseline) Progress(time.Duration, int, int, time.Duration)        {}
func (b *baseline) Load(time.Duration, int, int, time.Duration)            {}
func (b *baseline) Evicted(time.Duration, int, []int, bool, time.Duration) {}
func (b *baseline) Fault(time.Duration, *Line)                             {}
