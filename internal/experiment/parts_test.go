package experiment

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// The bounds of these specs are the platform's: five crashes under a part are borne, three more runs with it
// may come later than 3 s after them, and sound requests must begin as before from 6 s on.
var _ = Describe("simulated prompt parts that crash servers", func() {
	const (
		seeds         = 4
		maxLate       = 3
		minBegunShare = 0.9
	)
	scenarioNamed := func(name string) *PartCrashes {
		for _, p := range PartCrashScenarios() {
			if p.Name == name {
				return p
			}
		}
		Fail("no scenario is named " + name)
		return nil
	}

	// No two requests with the part are alike, so engine after engine crashed.
	DescribeTable("are found in a few crashes",
		func(name string) {
			sum := SimulatePartCrashesWithSeeds(scenarioNamed(name), seeds)
			Expect(sum.MedianCrashes).To(BeNumerically("<=", tolerableCrashes))
			Expect(sum.MaxLate).To(BeNumerically("<=", maxLate))
			Expect(sum.BegunAfter).To(BeNumerically(">=", minBegunShare*sum.BegunBefore))
			Expect(sum.SoundRefused).To(BeZero())
		},
		Entry("in the middle of prompts", "middle"),
		Entry("in first place", "first"),
		Entry("two at once", "two"),
		Entry("four at once", "four"),
		Entry("about one request a second", "rare"),
		Entry("thirty requests a second", "frequent"),
		Entry("three engines", "few-engines"),
		Entry("forty engines", "many-engines"),
		Entry("three sound requests a second", "little-traffic"),
		Entry("one run in ten is answered", "nine-in-ten"),
		Entry("crashes after the first event", "after-events"),
		Entry("a sound part on all bad requests and one sound one in ten", "companion"),
		Entry("sound parts that are new", "new-documents"),
		Entry("bad requests from all accounts", "accounts"),
		Entry("bad requests that are sent again", "repeated"),
		Entry("engines that end by themselves as well", "middle-own-ends"),
	)

	// Parts stand on servers that end for other reasons too, and a caller can put the parts of others on
	// requests that crash servers by their bodies.
	DescribeTable("are not seen in sound parts",
		func(name string) {
			Expect(SimulatePartCrashesWithSeeds(scenarioNamed(name), seeds).SoundRefused).To(BeZero())
		},
		Entry("engines end by themselves", "own-ends"),
		Entry("half of the engines end at once", "racks"),
		Entry("a caller's bodies crash engines", "bodies"),
		Entry("every second run with a bad part is answered", "half"),
	)

	It("are compared with the fewest crashes that any test needs", func() {
		Expect(BestCrashes(0.02, 1, 1)).To(BeNumerically("~", 2.5, 0.1))
		Expect(BestCrashes(0.02, 1, 30)).To(BeNumerically("~", 3.4, 0.1))
		Expect(BestCrashes(0.02, 0.5, 1)).To(BeNumerically(">", BestCrashes(0.02, 1, 1)))
	})
})
