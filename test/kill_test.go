package test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

const (
	burstRate = 60
	burstTime = 4 * time.Second
)

var _ = Describe("entry hosts that die or are paused in a burst", func() {
	// Story: a host dies with parents' requests waiting and running in it.
	// They resend through other hosts. Nobody may get two coats reserved, and
	// nobody may be told "not run" of what ran. Cause: the new holder cannot
	// know by itself what the dead one had dispatched.
	It("keeps every promise when a holder is killed", func() {
		f := newFleet(fleetOptions{hosts: 4, engines: 3, speed: 1})
		f.burst(burstRate, burstTime, func() {
			time.Sleep(burstTime / 2)
			f.other(f.homeOf(modelService), f.homeOf(plainService)).kill()
		})
		f.keepsPromises()
		Expect(f.told("answered")).To(BeNumerically(">", 200))
	})

	// Story: the host that queues a service dies. Requests waiting at other
	// hosts must go on with the next home, and what was granted must not be
	// granted again. Cause: the queue and the ledger died with it.
	It("keeps every promise when the home is killed, and grants again soon", func() {
		f := newFleet(fleetOptions{hosts: 4, engines: 3, speed: 1})
		var killed time.Time
		f.burst(burstRate, burstTime, func() {
			time.Sleep(burstTime / 2)
			home := f.homeOf(modelService)
			home.kill()
			killed = time.Now()
		})
		f.keepsPromises()
		Expect(f.told("answered")).To(BeNumerically(">", 200))
		AddReportEntry("killed", killed)
	})

	It("keeps every promise when a holder and the home are killed together", func() {
		f := newFleet(fleetOptions{hosts: 5, engines: 3, speed: 1})
		f.burst(burstRate, burstTime, func() {
			time.Sleep(burstTime / 2)
			home := f.homeOf(modelService)
			holder := f.other(home)
			home.kill()
			holder.kill()
		})
		f.keepsPromises()
	})

	// Story: a host is paused for longer than its peers wait for it, wakes,
	// and still holds grants that look valid. Meanwhile its callers resent
	// through others. Cause: a pause is invisible to the paused one.
	It("keeps every promise when a holder is paused and wakes", func() {
		f := newFleet(fleetOptions{hosts: 4, engines: 3, speed: 1})
		f.burst(burstRate, burstTime, func() {
			time.Sleep(burstTime / 3)
			h := f.other(f.homeOf(modelService), f.homeOf(plainService))
			h.pause()
			time.Sleep(4 * time.Second)
			h.resume()
		})
		f.keepsPromises()
	})

	It("keeps every promise when the home is paused and wakes", func() {
		f := newFleet(fleetOptions{hosts: 4, engines: 3, speed: 1})
		f.burst(burstRate, burstTime, func() {
			time.Sleep(burstTime / 3)
			h := f.homeOf(modelService)
			h.pause()
			time.Sleep(5 * time.Second)
			h.resume()
		})
		f.keepsPromises()
	})
})
