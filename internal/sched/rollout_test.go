package sched

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/gentianflow/gentianflow/internal/rollout"
)

// versionDriver drives the scheduler of a plain service whose servers have versions.
type versionDriver struct {
	*Scheduler
	next uint64
}

func newVersionDriver() *versionDriver {
	d := &versionDriver{Scheduler: New(DefaultPolicy())}
	d.SetServices(0, []Service{{Name: "app"}})
	return d
}

// list lists the given number of servers of each version.
func (d *versionDriver) list(now Time, counts map[string]int) {
	var list []Server
	for version, n := range counts {
		for i := range n {
			id := fmt.Sprint(version, "-", i)
			list = append(list, Server{ID: id, Service: "app", Version: version, Address: id, Slots: 4})
		}
	}
	d.SetServers(now, list)
}

// usedVersions sends calls, some of them concurrent, and counts them by the version that ran
// them.
func (d *versionDriver) usedVersions(now Time, calls int) map[string]int {
	const maxOpen = 5 // concurrent calls; more than a server's slots
	usedVersions := map[string]int{}
	var open []Key
	for i := range calls {
		at := now + time.Duration(i)*ms
		d.next++
		key := Key{Holder: 1, ID: d.next}
		out, _ := d.Submit(at, Request{Key: key, Service: "app", Route: "r", Arrived: at, LatencyTarget: at + 100*ms, Deadline: at + time.Second})
		if len(out) != 1 || out[0].Reason != 0 {
			usedVersions["refused"]++
			continue
		}
		usedVersions[d.servers[out[0].Server].Version]++
		if open = append(open, key); len(open) > maxOpen {
			d.Finish(at, Outcome{Key: open[0], Result: OK, FirstEvent: 10 * ms})
			open = open[1:]
		}
	}
	for _, key := range open {
		d.Finish(now+time.Duration(calls)*ms, Outcome{Key: key, Result: OK, FirstEvent: 10 * ms})
	}
	return usedVersions
}

var _ = Describe("servers of several versions", func() {
	order := rollout.Order{Service: "app", To: "v2", Timeout: 10 * time.Second, RowVersion: 5}
	var d *versionDriver
	BeforeEach(func() {
		d = newVersionDriver()
		d.list(0, map[string]int{"v1": 4})
	})

	It("get no requests for a version that nobody ordered until they replace the others", func() {
		d.list(time.Second, map[string]int{"v1": 4, "v2": 4})
		Expect(d.usedVersions(time.Second, 100)).To(Equal(map[string]int{"v1": 100}))
		d.list(2*time.Second, map[string]int{"v1": 1, "v2": 4})
		Expect(d.usedVersions(2*time.Second, 100)).To(HaveKey("v2"))
	})

	// Guards against new servers that stay idle because the first servers were not counted.
	It("get requests once half of the first servers leave with their arrival", func() {
		d.UpdateServers(time.Second, []Server{
			{ID: "v1-0", Service: "app", Version: "v1", Address: "v1-0", Slots: 8, Draining: true},
			{ID: "v1-1", Service: "app", Version: "v1", Address: "v1-1", Slots: 8, Draining: true},
			{ID: "v2-0", Service: "app", Version: "v2", Address: "v2-0", Slots: 8},
		}, nil)
		Expect(d.usedVersions(time.Second, 100)).To(HaveKey("v2"))
	})

	It("serve when no others are left", func() {
		d.list(time.Second, map[string]int{"v2": 2})
		Expect(d.usedVersions(time.Second, 10)).To(Equal(map[string]int{"v2": 10}))
	})

	// A host that schedules alone during a rollout knows neither how many requests the new
	// version had nor whether it is bad.
	It("get no requests for an ordered version from a host that does not run the roll-out", func() {
		d.SetOrder(order)
		d.list(time.Second, map[string]int{"v1": 4, "v2": 4})
		Expect(d.usedVersions(time.Second, 100)).To(Equal(map[string]int{"v1": 100}))
		d.SetOrderPhase(order, rollout.Trying)
		Expect(d.usedVersions(2*time.Second, 100)).To(Equal(map[string]int{"v1": 100}))
		d.SetOrderPhase(order, rollout.Moved)
		Expect(d.usedVersions(3*time.Second, 100)).To(Equal(map[string]int{"v2": 100}))
	})

	// After a rollback the old servers end. Nothing may be sent to the version that was rolled
	// back, even if all callers are refused.
	It("get no requests for a version that was rolled back", func() {
		d.SetOrder(order)
		d.list(time.Second, map[string]int{"v1": 4, "v2": 4})
		d.SetOrderPhase(order, rollout.PhaseRolledBack)
		Expect(d.usedVersions(time.Second, 100)).To(Equal(map[string]int{"v1": 100}))
		d.list(2*time.Second, map[string]int{"v2": 4})
		Expect(d.usedVersions(2*time.Second, 10)).To(Equal(map[string]int{"refused": 10}))
	})

	It("get a small share of requests for an ordered version from the home", func() {
		d.SetBounds(rollout.Bounds{Share: 0.1, Slack: 50})
		d.SetOrder(order)
		d.list(time.Second, map[string]int{"v1": 4, "v2": 4})
		d.StartTrial(time.Second, order, 0, false)
		usedVersions := d.usedVersions(time.Second, 1000)
		Expect(usedVersions["v2"]).To(BeNumerically(">", 0))
		Expect(usedVersions["v2"]).To(BeNumerically("<=", 75), "half of the bounds, a tenth of the requests plus the slack")
	})

	// The operator orders the current version again while the new one is on trial.
	It("are moved back at once by an order for the current version", func() {
		d.SetOrder(order)
		d.list(time.Second, map[string]int{"v1": 4, "v2": 4})
		d.StartTrial(time.Second, order, 0, false)
		back := rollout.Order{Service: "app", To: "v1", Timeout: 10 * time.Second, RowVersion: 6}
		d.SetOrder(back)
		d.StartTrial(2*time.Second, back, 0, false)
		d.Tick(2100 * ms)
		Expect(d.TakeRolloutSteps()).To(ContainElement(And(HaveField("Order.To", "v1"), HaveField("Phase", rollout.Moved))))
		Expect(d.usedVersions(3*time.Second, 100)).To(Equal(map[string]int{"v1": 100}))
	})

	It("ignore an order that was already read", func() {
		d.SetOrder(order)
		d.list(time.Second, map[string]int{"v1": 4, "v2": 4})
		d.StartTrial(time.Second, order, 0, false)
		d.SetOrder(order)
		d.StartTrial(2*time.Second, order, 0, false)
		Expect(d.Rollouts()).To(HaveLen(1))
		Expect(d.Rollouts()[0].Phase).To(Equal(rollout.Trying))
	})
})
