package sched

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/gentianflow/gentianflow/internal/rollout"
)

// versionDay is a plain service whose servers have versions.
type versionDay struct {
	*Scheduler
	next uint64
}

func newVersionDay() *versionDay {
	d := &versionDay{Scheduler: New(DefaultPolicy())}
	d.SetServices(0, []Service{{Name: "app"}})
	return d
}

// list has so many servers of each version listed.
func (d *versionDay) list(now Time, counts map[string]int) {
	var list []Server
	for version, n := range counts {
		for i := range n {
			id := fmt.Sprint(version, "-", i)
			list = append(list, Server{ID: id, Service: "app", Version: version, Address: id, Slots: 4})
		}
	}
	d.SetServers(now, list)
}

// used sends calls, of which some run at once, and tells which versions ran them.
func (d *versionDay) used(now Time, calls int) map[string]int {
	const atOnce = 5 // more than a server's slots
	used := map[string]int{}
	var open []Key
	for i := range calls {
		at := now + time.Duration(i)*ms
		d.next++
		key := Key{Holder: 1, ID: d.next}
		out, _ := d.Submit(at, Request{Key: key, Service: "app", Route: "r", Arrived: at, Aim: at + 100*ms, Deadline: at + time.Second})
		if len(out) != 1 || out[0].Reason != 0 {
			used["refused"]++
			continue
		}
		used[d.servers[out[0].Server].Version]++
		if open = append(open, key); len(open) > atOnce {
			d.Finish(at, Outcome{Key: open[0], Result: OK, First: 10 * ms})
			open = open[1:]
		}
	}
	for _, key := range open {
		d.Finish(now+time.Duration(calls)*ms, Outcome{Key: key, Result: OK, First: 10 * ms})
	}
	return used
}

var _ = Describe("servers of several versions", func() {
	order := rollout.Order{Service: "app", To: "v2", Lasts: 10 * time.Second, Row: 5}
	var d *versionDay
	BeforeEach(func() {
		d = newVersionDay()
		d.list(0, map[string]int{"v1": 4})
	})

	It("get nothing of a version that nobody ordered, until they replace the others", func() {
		d.list(time.Second, map[string]int{"v1": 4, "v2": 4})
		Expect(d.used(time.Second, 100)).To(Equal(map[string]int{"v1": 100}))
		d.list(2*time.Second, map[string]int{"v1": 1, "v2": 4})
		Expect(d.used(2*time.Second, 100)).To(HaveKey("v2"))
	})

	It("serve when nothing else is left", func() {
		d.list(time.Second, map[string]int{"v2": 2})
		Expect(d.used(time.Second, 10)).To(Equal(map[string]int{"v2": 10}))
	})

	// Story: a host is alone in the middle of a roll-out. It knows neither how much was tried
	// nor whether the version is bad.
	It("get nothing of an ordered version from a host that does not carry the order", func() {
		d.SetOrder(order)
		d.list(time.Second, map[string]int{"v1": 4, "v2": 4})
		Expect(d.used(time.Second, 100)).To(Equal(map[string]int{"v1": 100}))
		d.SettleOrder(order, rollout.Trying)
		Expect(d.used(2*time.Second, 100)).To(Equal(map[string]int{"v1": 100}))
		d.SettleOrder(order, rollout.Moved)
		Expect(d.used(3*time.Second, 100)).To(Equal(map[string]int{"v2": 100}))
	})

	// Story: a version was taken back, and the old servers end. Nothing may be sent to it, even
	// if nobody is served.
	It("get nothing of a version that was taken back", func() {
		d.SetOrder(order)
		d.list(time.Second, map[string]int{"v1": 4, "v2": 4})
		d.SettleOrder(order, rollout.TakenBack)
		Expect(d.used(time.Second, 100)).To(Equal(map[string]int{"v1": 100}))
		d.list(2*time.Second, map[string]int{"v2": 4})
		Expect(d.used(2*time.Second, 10)).To(Equal(map[string]int{"refused": 10}))
	})

	It("get a small part of an ordered version from the home", func() {
		d.SetBounds(rollout.Bounds{Share: 0.1, Slack: 50})
		d.SetOrder(order)
		d.list(time.Second, map[string]int{"v1": 4, "v2": 4})
		d.StartTrial(time.Second, order, 0, false)
		used := d.used(time.Second, 1000)
		Expect(used["v2"]).To(BeNumerically(">", 0))
		Expect(used["v2"]).To(BeNumerically("<=", 75), "half of a tenth and of the slack")
	})

	// Story: the operator thinks better of it and orders the version that runs, while the new
	// one is tried.
	It("are moved back at once by an order of the version that runs", func() {
		d.SetOrder(order)
		d.list(time.Second, map[string]int{"v1": 4, "v2": 4})
		d.StartTrial(time.Second, order, 0, false)
		back := rollout.Order{Service: "app", To: "v1", Lasts: 10 * time.Second, Row: 6}
		d.SetOrder(back)
		d.StartTrial(2*time.Second, back, 0, false)
		d.Tick(2100 * ms)
		Expect(d.RolloutNews()).To(ContainElement(And(HaveField("Order.To", "v1"), HaveField("Phase", rollout.Moved))))
		Expect(d.used(3*time.Second, 100)).To(Equal(map[string]int{"v1": 100}))
	})

	It("ignore an order that was read before", func() {
		d.SetOrder(order)
		d.list(time.Second, map[string]int{"v1": 4, "v2": 4})
		d.StartTrial(time.Second, order, 0, false)
		d.SetOrder(order)
		d.StartTrial(2*time.Second, order, 0, false)
		Expect(d.Rollouts()).To(HaveLen(1))
		Expect(d.Rollouts()[0].Phase).To(Equal(rollout.Trying))
	})
})
