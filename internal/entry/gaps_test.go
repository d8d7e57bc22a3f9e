package entry

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("the longest gap between the events of a run", func() {
	const ms = time.Millisecond
	start := time.Now()

	It("leaves out the time to the first event", func() {
		var g gapMeter
		g.record(start, &hostPauses{})
		Expect(g.longest).To(BeZero())
		for _, at := range []time.Duration{30 * ms, 150 * ms, 190 * ms} {
			g.record(start.Add(at), &hostPauses{})
			g.written(time.Microsecond)
		}
		Expect(g.longest).To(Equal(120 * ms))
	})

	// Guards against gaps that are learned as pauses of the engine although the caller caused them.
	It("leaves out gaps in which the caller was slow to read", func() {
		var g gapMeter
		g.record(start, &hostPauses{})
		g.written(400 * ms)
		g.record(start.Add(400*ms), &hostPauses{})
		g.written(0)
		g.record(start.Add(430*ms), &hostPauses{})
		Expect(g.longest).To(Equal(30 * ms))
	})

	// Guards against gaps that are learned as pauses of the engines although all streams of a paused
	// host have them at once.
	It("leaves out gaps in which the host was paused", func() {
		var p hostPauses
		at := func(d time.Duration) time.Time { return start.Add(time.Second + d) }
		var g gapMeter
		p.tick(at(0))
		g.record(at(0), &p)
		p.tick(at(10 * ms))
		g.record(at(300*ms), &p) // read before the next tick
		Expect(g.longest).To(BeZero())
		p.tick(at(301 * ms))
		g.record(at(305*ms), &p) // the pause ended after the previous event was read
		Expect(g.longest).To(BeZero())
		for d := 310 * ms; d < 400*ms; d += pauseCheckInterval {
			p.tick(at(d))
		}
		g.record(at(400*ms), &p)
		Expect(g.longest).To(Equal(95 * ms))
	})
})
