package experiment

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// rolloutByName finds a simulated rollout.
func rolloutByName(name string) *Rollout {
	for _, r := range Rollouts() {
		if r.Name == name {
			return r
		}
	}
	Fail("no roll-out is called " + name)
	return nil
}

var _ = Describe("the lower bound of the bad versions that any test of a roll-out misses", func() {
	const runs = 900
	misses := func(name string) float64 {
		m, ok := MinMissRate(rolloutByName(name), runs)
		Expect(ok).To(BeTrue())
		return m
	}

	It("is zero if half of the answers fail or take five times as long", func() {
		Expect(misses("fails-50-few")).To(BeZero())
		Expect(misses("slower-5-few")).To(BeZero())
	})

	It("grows as fewer answers show the defect", func() {
		Expect(misses("fails-5-one-route-few")).To(BeNumerically(">", misses("fails-5-few")))
		Expect(misses("fails-5-one-route-few")).To(BeNumerically(">", misses("fails-5-one-route-many")))
	})

	It("is close to 1 if no answer shows the defect", func() {
		r := *rolloutByName("fails-5-few")
		r.Version = BadVersion{FailShare: 1e-12}
		m, ok := MinMissRate(&r, runs)
		Expect(ok).To(BeTrue())
		Expect(m).To(BeNumerically(">", 0.98))
	})

	It("does not exist for sound versions and versions that are bad only under load", func() {
		for _, name := range []string{"sound-few", "fails-20-loaded-few"} {
			_, ok := MinMissRate(rolloutByName(name), runs)
			Expect(ok).To(BeFalse(), name)
		}
	})
})
