package experiment

import (
	"fmt"
	"os"
	"regexp"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/gentianflow/gentianflow/internal/sched"
)

func TestExperiment(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "loads")
}

const seeds = 8

// minServedBySize is the smallest share that must be served of each tenth of a kind by size, as
// a fraction of the share of the entire kind.
const minServedBySize = 0.6

// The kinds of the loads, most urgent first.
const (
	drafts = iota
	chats
	tags
)

// outcomes simulates a load over all seeds with changed settings of the policy.
func outcomes(l *Load, settings string) []Outcome {
	p := sched.DefaultPolicy()
	Expect(p.Set(settings)).To(Succeed())
	sum := Sum(l, p, seeds)
	for k, o := range sum {
		fmt.Fprintf(GinkgoWriter, "%s %q %s %+v\n", l.Name, settings, l.Kinds[k].Name, o)
	}
	return sum
}

var _ = Describe("long prompts on engines of which a third is four times slower", func() {
	// Drafts, the most urgent kind, wait a second for a first event that takes a tenth of that
	// on most engines, and chats pause for as long. In a burst the first free slot is often on a
	// slow engine. A draft is placed there and its prefill interrupts all streams of the engine.
	//
	// Bounds: 0.99 of the drafts are on time with both rules (await-on-time, spare-pauses) and
	// 0.97 with neither. With them, a fifth as many answers are late because of a pause.
	It("are on time more often if requests wait for a suitable engine", func() {
		with, without := outcomes(UnlikeEngines(), ""), outcomes(UnlikeEngines(), "await-on-time=0,spare-pauses=0")
		Expect(with[drafts].InTime()).To(BeNumerically(">", 0.985))
		Expect(with[drafts].Late).To(BeNumerically("<", without[drafts].Late/2))
		for k := range with {
			Expect(with[k].InTime()).To(BeNumerically(">", without[k].InTime()), "%s", UnlikeEngines().Kinds[k].Name)
		}
		Expect(with[chats].Paused).To(BeNumerically("<", without[chats].Paused*2/3))
	})

	It("interrupt other streams less if prefill headroom limits placement", func() {
		with, without := outcomes(LongOverload(), ""), outcomes(LongOverload(), "spare-pauses=0")
		Expect(with[chats].Paused).To(BeNumerically("<", without[chats].Paused/2))
		Expect(with[drafts].Paused).To(BeNumerically("<", without[drafts].Paused/2))
	})
})

var _ = Describe("twice the traffic for twelve seconds", func() {
	// Requests of the least urgent kind are refused twice and lost during the whole overload,
	// although they need only a tenth of the engines' time.
	//
	// Bounds: without a minimum share 0.55 of the tags are served, with it 0.7. The more urgent
	// priority queues lose that time: 0.01 of the chats.
	It("leaves the least urgent kind its minimum share at little cost to the others", func() {
		with, without := outcomes(LongOverload(), ""), outcomes(LongOverload(), "floor-share=0")
		Expect(with[tags].Served()).To(BeNumerically(">", without[tags].Served()+0.1))
		Expect(with[chats].Served()).To(BeNumerically(">", without[chats].Served()-0.02))
		Expect(with[drafts].InTime()).To(BeNumerically(">", without[drafts].InTime()-0.01))
	})

	It("serves the kinds in the order of their priority", func() {
		got := outcomes(LongOverload(), "")
		Expect(got[drafts].InTime()).To(BeNumerically(">", got[chats].InTime()))
		Expect(got[chats].InTime()).To(BeNumerically(">", got[tags].InTime()))
	})
})

var _ = Describe("an overload in which the answers of a kind differ greatly in length", func() {
	// Long answers of the least urgent kind are delayed, then too late, then refused twice. In
	// every burst the largest tenth was served less than half as often as the entire kind,
	// because a priority queue served short answers first and reserved nothing for long ones.
	//
	// Bound: no size class of a kind may be served so much less than the others that its callers
	// would need a separate system.
	servesEachTenth := func(l *Load, settings string) {
		for k, o := range outcomes(l, settings) {
			for from := 0.0; from < 0.95; from += 0.1 {
				Expect(o.ServedBySize(from, from+0.1)).To(BeNumerically(">=", minServedBySize*o.Served()), "%s from %.1f", l.Kinds[k].Name, from)
			}
		}
	}
	for _, l := range Loads() {
		It("serves each tenth of each kind by size: "+l.Name, func() { servesEachTenth(l, "") })

		// Only the default policy was tested: with the deployed one the largest tenth was served half as often.
		It("serves each tenth of each kind by size with the deployed policy: "+l.Name, func() { servesEachTenth(l, deployedPolicy()) })
	}
})

// deployedPolicy returns the settings with which the deploy file starts the hosts.
func deployedPolicy() string {
	GinkgoHelper()
	file, err := os.ReadFile("../../deploy/system.toml")
	Expect(err).NotTo(HaveOccurred())
	found := regexp.MustCompile(`--policy ([^" ]+)`).FindSubmatch(file)
	Expect(found).NotTo(BeNil())
	return string(found[1])
}

var _ = Describe("answers that can no longer end before their deadline", func() {
	// Long answers that start at the end of a burst are cut at their deadline, and other requests
	// are refused because the wasted slots were in use.
	It("leave their slots to answers that can", func() {
		const leastUrgent = 2
		with, without := outcomes(FewPlaces(), "size-floor=0"), outcomes(FewPlaces(), "size-floor=0,ends-in-time=0")
		Expect(with[leastUrgent].Cut).To(BeNumerically("<", without[leastUrgent].Cut))
		Expect(with[leastUrgent].Served()).To(BeNumerically(">", without[leastUrgent].Served()))
		Expect(with[leastUrgent].LargestServed()).To(BeNumerically(">", without[leastUrgent].LargestServed()))
	})
})

var _ = Describe("a simulation", func() {
	It("gives the same result for the same seed and counts every request once", func() {
		l := UnlikeEngines()
		first, second := Simulate(l, sched.DefaultPolicy(), 3), Simulate(l, sched.DefaultPolicy(), 3)
		Expect(first).To(Equal(second))
		for _, o := range first {
			Expect(o.OnTime + o.Late + o.Refused + o.Left + o.Cut).To(Equal(o.Asked))
		}
	})
})
