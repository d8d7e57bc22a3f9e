package experiment

import (
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// The bounds of these specs are the platform's: how many requests a bad version may get, and for
// how long after its fiftieth bad answer.
var _ = Describe("simulated roll-outs", func() {
	rolloutNamed := func(name string) *Rollout {
		for _, r := range Rollouts() {
			if r.Name == name {
				return r
			}
		}
		Fail("no roll-out is named " + name)
		return nil
	}

	// A new version has one of many defects. Whatever the decision, it must not get more
	// requests than the platform allows.
	It("keep within the bounds of a bad version", func() {
		for _, r := range Rollouts() {
			if strings.HasSuffix(r.Name, "-few") && r.Version.bad() {
				Expect(SimulateRollouts(r, 4).MaxExposure).To(BeNumerically("<=", 1), r.Name)
			}
		}
	})

	It("roll back versions that fail at least a fifth of their answers or are three times slower", func() {
		for _, name := range []string{"fails-20-many", "fails-50-many", "fails-50-one-route-many", "slower-3-many", "slower-5-many", "fails-50-few", "slower-5-few"} {
			summary := SimulateRollouts(rolloutNamed(name), 4)
			Expect(summary.RolledBack).To(Equal(summary.Runs), name)
			Expect(summary.Late).To(BeZero(), name)
		}
	})

	It("complete sound versions in time and lose no request when the old servers stop", func() {
		for _, name := range []string{"sound-few", "sound-many", "sound-own-failures-many", "sound-crashes-many", "sound-burst-few"} {
			r := rolloutNamed(name)
			summary := SimulateRollouts(r, 4)
			Expect(summary.Completed).To(Equal(summary.Runs), name)
			Expect(summary.MedianDuration).To(BeNumerically("<=", r.Length), name)
			Expect(summary.Lost).To(BeZero(), name)
		}
	})
})
