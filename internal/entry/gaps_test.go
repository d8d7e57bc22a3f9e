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
		g.record(start)
		Expect(g.longest).To(BeZero())
		for _, at := range []time.Duration{30 * ms, 150 * ms, 190 * ms} {
			g.record(start.Add(at))
			g.written(time.Microsecond)
		}
		Expect(g.longest).To(Equal(120 * ms))
	})

	// Guards against gaps that are learned as pauses of the engine although the caller caused them.
	It("leaves out gaps in which the caller was slow to read", func() {
		var g gapMeter
		g.record(start)
		g.written(400 * ms)
		g.record(start.Add(400 * ms))
		g.written(0)
		g.record(start.Add(430 * ms))
		Expect(g.longest).To(Equal(30 * ms))
	})
})
