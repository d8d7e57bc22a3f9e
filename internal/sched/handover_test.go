package sched

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// The load is ten seconds of plain calls of 60 ms on average, to 6 servers with 6 slots each, at a rate
// that they can just serve if no slot is ever idle. Hosts and servers are spread over five availability
// zones: a placement takes 5 ms to reach the server, and the report of a call's end takes 5 ms back.
const (
	plainServers = 6
	plainSlots   = 6
	meanCallTime = 60 * ms
	networkDelay = 5 * ms
	plainRate    = 580 // calls a second, of 600 that the slots can serve
	plainLength  = 10 * time.Second
	plainTimeout = 800 * ms
)

// plainServer runs calls in order of arrival.
type plainServer struct {
	busy    int // slots in use
	waiting []func(now Time)
}

// plainSimulation plays the load on a simulated clock.
type plainSimulation struct {
	s        *Scheduler
	events   eventQueue
	rng      *rand.Rand
	servers  map[string]*plainServer
	arrivals map[uint64]Time
	served   int
	late     int
}

func newPlainSimulation(handovers bool) *plainSimulation {
	p := DefaultPolicy()
	p.Handovers = handovers
	d := &plainSimulation{
		s: New(p), rng: rand.New(rand.NewPCG(5, 1)),
		servers: map[string]*plainServer{}, arrivals: map[uint64]Time{},
	}
	d.s.SetServices(0, []Service{{Name: "app"}})
	var list []Server
	for i := range plainServers {
		id := fmt.Sprintf("c%d", i)
		d.servers[id] = &plainServer{}
		list = append(list, Server{ID: id, Service: "app", Slots: plainSlots})
	}
	d.s.SetServers(0, list)
	return d
}

func (d *plainSimulation) at(t Time, do func(Time)) { heap.Push(&d.events, simEvent{t, do}) }

func (d *plainSimulation) arrive(now Time) {
	id := uint64(len(d.arrivals) + 1)
	d.arrivals[id] = now
	out, _ := d.s.Submit(now, Request{
		Key: Key{Holder: 1, ID: id}, Service: "app", Arrived: now, LatencyTarget: now + 300*ms, Deadline: now + plainTimeout,
	})
	d.apply(now, out)
	if next := now + time.Duration(d.rng.ExpFloat64()/plainRate*float64(time.Second)); next < plainLength {
		d.at(next, d.arrive)
	}
}

func (d *plainSimulation) apply(now Time, out []Decision) {
	for _, o := range out {
		if o.Reason == 0 {
			d.at(now+networkDelay, func(now Time) { d.begin(now, o) })
		}
	}
}

// begin delivers a call to its server.
func (d *plainSimulation) begin(now Time, o Decision) {
	srv := d.servers[o.Server]
	work := func(start Time) {
		srv.busy++
		d.at(start+time.Duration(float64(meanCallTime)*(0.5+d.rng.Float64())), func(end Time) { d.end(end, now, o) })
	}
	if srv.busy == plainSlots {
		srv.waiting = append(srv.waiting, work)
		return
	}
	work(now)
}

func (d *plainSimulation) end(now, sent Time, o Decision) {
	srv := d.servers[o.Server]
	srv.busy--
	if len(srv.waiting) > 0 {
		next := srv.waiting[0]
		srv.waiting = srv.waiting[1:]
		next(now)
	}
	d.served++
	if now-d.arrivals[o.ID] > 300*ms {
		d.late++
	}
	d.at(now+networkDelay, func(now Time) {
		d.apply(now, d.s.Finish(now, Outcome{Key: o.Key, Result: OK, FirstEvent: now - networkDelay - sent}))
	})
}

func (d *plainSimulation) run() {
	d.at(0, d.arrive)
	for t := 10 * ms; t < plainLength+time.Second; t += 10 * ms {
		d.at(t, func(now Time) { d.apply(now, d.s.Tick(now)) })
	}
	for d.events.Len() > 0 {
		next := heap.Pop(&d.events).(simEvent)
		next.do(next.at)
	}
}

var _ = Describe("plain calls in a burst", func() {
	// Callers are refused for lack of a server while each server is idle for a seventh of its time: the
	// home learns that a slot is free only when the report of the last call's end arrives, and the slot
	// stays idle until the next call reaches the server.
	It("keep the slots busy during handovers", func() {
		with, without := newPlainSimulation(true), newPlainSimulation(false)
		with.run()
		without.run()
		arrivals := len(with.arrivals)
		share := func(n int) float64 { return float64(n) / float64(arrivals) }
		Expect(share(without.served)).To(BeNumerically("<", 0.93))
		Expect(share(with.served)).To(BeNumerically(">", share(without.served)+0.04))
		Expect(share(with.served - with.late)).To(BeNumerically(">", share(without.served-without.late)+0.04))
	})

	It("do not fill a server's own queue when hosts pause", func() {
		svc := &service{Service: Service{Name: "app"}}
		svc.timeToFirstEvent.add(meanCallTime)
		svc.learnHandover(10*time.Second, meanCallTime)
		Expect(svc.handoverSlots(&server{Server: Server{Slots: plainSlots}})).To(BeNumerically("<=", maxHandoverShare*plainSlots))
	})
})
