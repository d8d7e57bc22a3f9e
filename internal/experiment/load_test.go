package experiment

import (
	"fmt"
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

// leastBySize is how often a tenth of a kind by size is to be served at least, as a part of
// how often the kind is.
const leastBySize = 0.6

// the kinds of the loads, in order of their urgency.
const (
	drafts = iota
	chats
	tags
)

// played plays a load over all seeds with figures of the policy changed.
func played(l *Load, figures string) []Outcome {
	p := sched.DefaultPolicy()
	Expect(p.Set(figures)).To(Succeed())
	sum := Sum(l, p, seeds)
	for k, o := range sum {
		fmt.Fprintf(GinkgoWriter, "%s %q %s %+v\n", l.Name, figures, l.Kinds[k].Name, o)
	}
	return sum
}

var _ = Describe("long prompts before engines of which a third is four times slower", func() {
	// Callers of drafts, the most urgent kind, wait a second for a first event that
	// takes a tenth of it at most engines, and callers of chats see their answers stop
	// for as long: the place that opens in a burst is a slow engine's, a draft takes
	// it, and its prompt is read between the tokens of all streams there.
	//
	// Ground for the bounds: 0.99 of the drafts are on time with both rules and 0.97
	// with neither; answers late by a pause are a fifth as many.
	It("are on time more often when requests wait for an engine that fits them", func() {
		with, without := played(UnlikeEngines(), ""), played(UnlikeEngines(), "await-on-time=0,spare-pauses=0")
		Expect(with[drafts].InTime()).To(BeNumerically(">", 0.985))
		Expect(with[drafts].Late).To(BeNumerically("<", without[drafts].Late/2))
		for k := range with {
			Expect(with[k].InTime()).To(BeNumerically(">", without[k].InTime()), "%s", UnlikeEngines().Kinds[k].Name)
		}
		Expect(with[chats].Paused).To(BeNumerically("<", without[chats].Paused*2/3))
	})

	It("stop the streams beside them less when those are spared", func() {
		with, without := played(LongOverload(), ""), played(LongOverload(), "spare-pauses=0")
		Expect(with[chats].Paused).To(BeNumerically("<", without[chats].Paused/2))
		Expect(with[drafts].Paused).To(BeNumerically("<", without[drafts].Paused/2))
	})
})

var _ = Describe("twice the traffic for ten seconds", func() {
	// Callers of the last kind are refused twice and leave, all through the overload,
	// though their whole work is a tenth of the engines' time.
	//
	// Ground for the bounds: without a floor 0.55 of the tags are served, with it 0.7;
	// the lanes before them give up what it takes: 0.01 of the chats.
	It("leaves the last kind its floor at little cost to the others", func() {
		with, without := played(LongOverload(), ""), played(LongOverload(), "floor-share=0")
		Expect(with[tags].Served()).To(BeNumerically(">", without[tags].Served()+0.1))
		Expect(with[chats].Served()).To(BeNumerically(">", without[chats].Served()-0.02))
		Expect(with[drafts].InTime()).To(BeNumerically(">", without[drafts].InTime()-0.01))
	})

	It("keeps the order of urgency", func() {
		got := played(LongOverload(), "")
		Expect(got[drafts].InTime()).To(BeNumerically(">", got[chats].InTime()))
		Expect(got[chats].InTime()).To(BeNumerically(">", got[tags].InTime()))
	})
})

var _ = Describe("an overload in which a kind has answers of very unlike length", func() {
	// Callers of long answers of the least urgent kind are put off, then too late, then
	// refused, then refused again: the largest tenth was served less than half as often as the
	// kind, through every burst. Cause: within a lane the short ones went first and nothing
	// was kept for the long.
	//
	// Ground for the bound: no part of a kind by size is to fall so far behind the others that
	// its callers are served by a system of their own.
	for _, l := range Loads() {
		It("serves each tenth of it by size: "+l.Name, func() {
			for k, o := range played(l, "") {
				for from := 0.0; from < 0.95; from += 0.1 {
					Expect(o.ServedBySize(from, from+0.1)).To(BeNumerically(">=", leastBySize*o.Served()), "%s from %.1f", l.Kinds[k].Name, from)
				}
			}
		})
	}
})

var _ = Describe("answers that can't end in time any more", func() {
	// Callers whose long answers come to their turn at the end of a burst give up in the middle
	// of them, and others are refused for want of the places that these took in vain.
	It("leave their places to those that can", func() {
		const leastUrgent = 2
		with, without := played(FewPlaces(), "size-floor=0"), played(FewPlaces(), "size-floor=0,ends-in-time=0")
		Expect(with[leastUrgent].Cut).To(BeNumerically("<", without[leastUrgent].Cut))
		Expect(with[leastUrgent].Served()).To(BeNumerically(">", without[leastUrgent].Served()))
		Expect(with[leastUrgent].LargestServed()).To(BeNumerically(">", without[leastUrgent].LargestServed()))
	})
})

var _ = Describe("a play", func() {
	It("is the same each time for one seed, and accounts for every request", func() {
		l := UnlikeEngines()
		first, second := Play(l, sched.DefaultPolicy(), 3), Play(l, sched.DefaultPolicy(), 3)
		Expect(first).To(Equal(second))
		for _, o := range first {
			Expect(o.OnTime + o.Late + o.Refused + o.Left + o.Cut).To(Equal(o.Asked))
		}
	})
})
