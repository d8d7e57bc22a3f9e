package test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

const (
	burstRate     = 60 // requests per second to the model service
	burstDuration = 4 * time.Second
)

var _ = Describe("entry hosts that are killed or paused during a burst", func() {
	// A host dies with waiting and running requests, and the callers resend through
	// other hosts. The new holder does not know by itself what the dead one had
	// dispatched. No request may run twice, and none that ran may be reported as
	// "not run".
	It("meets all guarantees when a holder is killed", func() {
		f := newFleet(fleetOptions{hosts: 4, engines: 3, speed: 1})
		f.burst(burstRate, burstDuration, func() {
			time.Sleep(burstDuration / 2)
			f.otherHost(f.homeOf(modelService), f.homeOf(plainService)).kill()
		})
		f.checkHistory()
		Expect(f.countOutcome("answered")).To(BeNumerically(">", 200))
	})

	// The home of a service dies, and the queue and the record of placements are lost
	// with it. Requests that wait at other hosts must continue with the next home,
	// and no placement may be granted a second time.
	It("meets all guarantees when the home is killed, and soon grants placements again", func() {
		f := newFleet(fleetOptions{hosts: 4, engines: 3, speed: 1})
		var killed time.Time
		f.burst(burstRate, burstDuration, func() {
			time.Sleep(burstDuration / 2)
			home := f.homeOf(modelService)
			home.kill()
			killed = time.Now()
		})
		f.checkHistory()
		Expect(f.countOutcome("answered")).To(BeNumerically(">", 200))
		AddReportEntry("killed", killed)
	})

	It("meets all guarantees when a holder and the home are killed together", func() {
		f := newFleet(fleetOptions{hosts: 5, engines: 3, speed: 1})
		f.burst(burstRate, burstDuration, func() {
			time.Sleep(burstDuration / 2)
			home := f.homeOf(modelService)
			holder := f.otherHost(home)
			home.kill()
			holder.kill()
		})
		f.checkHistory()
	})

	// A host is paused until its peers consider it dead, and its callers resend
	// through other hosts. A process cannot detect its own pause, so after it resumes
	// it holds placements that look valid but must not be used.
	It("keeps every promise when a holder is paused and wakes", func() {
		f := newFleet(fleetOptions{hosts: 4, engines: 3, speed: 1})
		f.burst(burstRate, burstDuration, func() {
			time.Sleep(burstDuration / 3)
			h := f.otherHost(f.homeOf(modelService), f.homeOf(plainService))
			h.pause()
			time.Sleep(4 * time.Second)
			h.resume()
		})
		f.checkHistory()
	})

	It("meets all guarantees when the home is paused and resumes", func() {
		f := newFleet(fleetOptions{hosts: 4, engines: 3, speed: 1})
		f.burst(burstRate, burstDuration, func() {
			time.Sleep(burstDuration / 3)
			h := f.homeOf(modelService)
			h.pause()
			time.Sleep(5 * time.Second)
			h.resume()
		})
		f.checkHistory()
	})
})
