package experiment

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// named finds a roll-out of the lab.
func named(name string) *Rollout {
	for _, r := range Rollouts() {
		if r.Name == name {
			return r
		}
	}
	Fail("no roll-out is called " + name)
	return nil
}

var _ = Describe("the bound of what any judge of a roll-out can tell", func() {
	const plays = 900
	misses := func(name string) float64 {
		m, ok := BestMisses(named(name), plays)
		Expect(ok).To(BeTrue())
		return m
	}

	It("is nothing where half of the answers fail or take five times as long", func() {
		Expect(misses("fails-50-few")).To(BeZero())
		Expect(misses("slower-5-few")).To(BeZero())
	})

	It("grows as less is to be seen", func() {
		Expect(misses("fails-5-one-route-few")).To(BeNumerically(">", misses("fails-5-few")))
		Expect(misses("fails-5-one-route-few")).To(BeNumerically(">", misses("fails-5-one-route-many")))
	})

	It("is what a coin would do where nothing is to be seen", func() {
		r := *named("fails-5-few")
		r.Version = BadVersion{Fail: 1e-12}
		m, ok := BestMisses(&r, plays)
		Expect(ok).To(BeTrue())
		Expect(m).To(BeNumerically(">", 0.98))
	})

	It("is not told of sound versions, or of ones that are bad under load", func() {
		for _, name := range []string{"sound-few", "fails-20-loaded-few"} {
			_, ok := BestMisses(named(name), plays)
			Expect(ok).To(BeFalse(), name)
		}
	})
})
