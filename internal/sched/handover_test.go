package sched

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// The load of confirmations at lockers: a plain service of 6 copies with 6 slots, calls of
// 60 ms, and as many of them for ten seconds as the copies can do when none of their slots
// is ever idle. Hosts and copies are spread over five availability zones: a place is 5 ms
// on its way to the copy, and the word of a call's end 5 ms on its way back.
const (
	plainCopies  = 6
	plainSlots   = 6
	plainMean    = 60 * ms
	plainReach   = 5 * ms
	plainRate    = 580 // calls a second, of 600 that the slots can do
	plainLength  = 10 * time.Second
	plainTimeout = 800 * ms
)

// plainCopy works on calls in the order of their arrival.
type plainCopy struct {
	busy    int
	waiting []func(now Time)
}

// plainDay plays the load.
type plainDay struct {
	s      *Scheduler
	agenda agenda
	rng    *rand.Rand
	copies map[string]*plainCopy
	asked  map[uint64]Time
	served int
	late   int
}

func newPlainDay(handovers bool) *plainDay {
	p := DefaultPolicy()
	p.Handovers = handovers
	d := &plainDay{
		s: New(p), rng: rand.New(rand.NewPCG(5, 1)),
		copies: map[string]*plainCopy{}, asked: map[uint64]Time{},
	}
	d.s.SetServices(0, []Service{{Name: "app"}})
	var list []Server
	for i := range plainCopies {
		id := fmt.Sprintf("c%d", i)
		d.copies[id] = &plainCopy{}
		list = append(list, Server{ID: id, Service: "app", Slots: plainSlots})
	}
	d.s.SetServers(0, list)
	return d
}

func (d *plainDay) at(t Time, do func(Time)) { heap.Push(&d.agenda, happening{t, do}) }

func (d *plainDay) arrive(now Time) {
	id := uint64(len(d.asked) + 1)
	d.asked[id] = now
	out, _ := d.s.Submit(now, Request{
		Key: Key{Holder: 1, ID: id}, Service: "app", Arrived: now, Aim: now + 300*ms, Deadline: now + plainTimeout,
	})
	d.apply(now, out)
	if next := now + time.Duration(d.rng.ExpFloat64()/plainRate*float64(time.Second)); next < plainLength {
		d.at(next, d.arrive)
	}
}

func (d *plainDay) apply(now Time, out []Decision) {
	for _, o := range out {
		if o.Reason == 0 {
			d.at(now+plainReach, func(now Time) { d.begin(now, o) })
		}
	}
}

// begin brings a call to its copy.
func (d *plainDay) begin(now Time, o Decision) {
	c := d.copies[o.Server]
	work := func(start Time) {
		c.busy++
		d.at(start+time.Duration(float64(plainMean)*(0.5+d.rng.Float64())), func(end Time) { d.end(end, now, o) })
	}
	if c.busy == plainSlots {
		c.waiting = append(c.waiting, work)
		return
	}
	work(now)
}

func (d *plainDay) end(now, sent Time, o Decision) {
	c := d.copies[o.Server]
	c.busy--
	if len(c.waiting) > 0 {
		next := c.waiting[0]
		c.waiting = c.waiting[1:]
		next(now)
	}
	d.served++
	if now-d.asked[o.ID] > 300*ms {
		d.late++
	}
	d.at(now+plainReach, func(now Time) {
		d.apply(now, d.s.Finish(now, Outcome{Key: o.Key, Result: OK, First: now - plainReach - sent}))
	})
}

func (d *plainDay) play() {
	d.at(0, d.arrive)
	for t := 10 * ms; t < plainLength+time.Second; t += 10 * ms {
		d.at(t, func(now Time) { d.apply(now, d.s.Tick(now)) })
	}
	for d.agenda.Len() > 0 {
		h := heap.Pop(&d.agenda).(happening)
		h.do(h.at)
	}
}

var _ = Describe("plain calls in a burst", func() {
	// A parent stands at a locker and is told that no server had room, while each copy of
	// the service stands still for a seventh of its time: a place is free at the home only
	// when the word of the last call's end has come, and taken at the copy only when the
	// next call has.
	It("are served by slots that do not wait for them", func() {
		with, without := newPlainDay(true), newPlainDay(false)
		with.play()
		without.play()
		asked := len(with.asked)
		share := func(n int) float64 { return float64(n) / float64(asked) }
		Expect(share(without.served)).To(BeNumerically("<", 0.93))
		Expect(share(with.served)).To(BeNumerically(">", share(without.served)+0.04))
		Expect(share(with.served - with.late)).To(BeNumerically(">", share(without.served-without.late)+0.04))
	})

	It("do not fill a copy's own queue when hosts stand still", func() {
		svc := &service{Service: Service{Name: "app"}}
		svc.lead.add(plainMean)
		svc.learnHandover(10*time.Second, plainMean)
		Expect(svc.handoverPlaces(&server{Server: Server{Slots: plainSlots}})).To(BeNumerically("<=", mostHandover*plainSlots))
	})
})
