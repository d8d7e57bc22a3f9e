package serverload_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/gentianflow/gentianflow/internal/serverload"
)

var _ = Describe("the usual figure of a server", func() {
	report := func(slowdown float64) serverload.Report {
		return serverload.Report{Running: 1, Slots: 6, Slowdown: slowdown}
	}

	// Engines on slower machines state 170% all the time. Counted as slowed beside their own learned
	// speed, they were taken to be 2.9 times slower than they are, and faster again as reports aged.
	It("is not a slowdown, however far from nominal", func() {
		for _, usual := range []float64{0.6, 1.7} {
			s := serverload.State{}
			now := serverload.Time(0)
			for ; now < 5*time.Second; now += 100 * time.Millisecond {
				s.Learn(now, now, report(usual), 0, 6)
			}
			Expect(s.Slowdown(now)).To(BeNumerically("~", 1, 0.01))
			s.Learn(now, now, report(2.5*usual), 0, 6)
			Expect(s.Slowdown(now)).To(BeNumerically("~", 2.5, 0.01))
		}
	})

	// A slow period would otherwise become usual before it ends.
	It("does not follow a slow period of three seconds", func() {
		s := serverload.State{}
		now := serverload.Time(0)
		for ; now < 5*time.Second; now += 50 * time.Millisecond {
			s.Learn(now, now, report(1), 0, 6)
		}
		for end := now + 2900*time.Millisecond; now < end; now += 50 * time.Millisecond {
			s.Learn(now, now, report(3), 0, 6)
			Expect(s.Slowdown(now)).To(BeNumerically("~", 3, 0.01))
		}
	})

	// A server whose first reports come in a slow moment must not count as fast later.
	It("is the nominal one while little is known", func() {
		s := serverload.State{}
		s.Learn(0, 0, report(3), 0, 6)
		Expect(s.Slowdown(0)).To(BeNumerically("~", 3, 0.01))
	})
})
