package serverload_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/gentianflow/gentianflow/internal/serverload"
)

var _ = Describe("the usual figure of an engine", func() {
	// states has an engine state a figure for a time, every 50 ms.
	states := func(u *serverload.Usual, now *serverload.Time, figure float64, period time.Duration) (relative float64) {
		for end := *now + period; *now < end; *now += 50 * ms {
			relative = u.Relative(*now, figure)
		}
		return relative
	}

	// Engines on slower machines state 170% all the time. Counted as slowed beside their own learned
	// speed, they were taken to be 2.9 times slower than they are, and faster again as reports aged.
	It("is not a slowdown, however far from nominal", func() {
		for _, usual := range []float64{0.6, 1.7} {
			u, now := serverload.Usual{}, serverload.Time(0)
			Expect(states(&u, &now, usual, 5*time.Second)).To(BeNumerically("~", 1, 0.01))
			Expect(u.Relative(now, 2.5*usual)).To(BeNumerically("~", 2.5, 0.01))
		}
	})

	// A slow period would otherwise become usual before it ends.
	It("does not follow a slow period of three seconds", func() {
		u, now := serverload.Usual{}, serverload.Time(0)
		states(&u, &now, 1, 5*time.Second)
		Expect(states(&u, &now, 3, 2900*ms)).To(BeNumerically("~", 3, 0.01))
	})

	// An engine would attract all requests after a slow period that had become usual.
	It("does not make the nominal time look fast", func() {
		u, now := serverload.Usual{}, serverload.Time(0)
		states(&u, &now, 3, 10*time.Second)
		Expect(u.Relative(now, 1)).To(Equal(1.0))
	})

	// An engine whose first reports come in a slow moment must not count as fast later.
	It("is the nominal one while little is known", func() {
		u := serverload.Usual{}
		Expect(u.Relative(0, 3)).To(BeNumerically("~", 3, 0.01))
	})
})
