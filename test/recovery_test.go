package test

import (
	"fmt"
	"sort"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/gentianflow/gentianflow/internal/failure"
	"github.com/gentianflow/gentianflow/internal/history"
	"github.com/gentianflow/gentianflow/internal/standin"
)

// grantsAgain is the time from a kill to the first start of a model request
// that was asked after it.
func (f *fleet) grantsAgain(kill time.Time) time.Duration {
	asked := map[string]bool{}
	for _, e := range f.log.Events() {
		switch {
		case e.Kind == history.Asked && e.Service == modelService && e.At > kill.UnixNano():
			asked[e.ID] = true
		case e.Kind == history.Started && asked[e.ID]:
			return time.Duration(e.At - kill.UnixNano())
		}
	}
	return time.Hour
}

// goodput is the share answered by tier among the words told in a span.
func (f *fleet) goodput(from, to time.Time) string {
	told, good := map[int]int{}, map[int]int{}
	for _, e := range f.log.Events() {
		if e.Kind != history.Told || e.At < from.UnixNano() || e.At >= to.UnixNano() {
			continue
		}
		told[e.Tier]++
		if e.Outcome == failure.Answered {
			good[e.Tier]++
		}
	}
	var tiersSeen []int
	for t := range told {
		tiersSeen = append(tiersSeen, t)
	}
	sort.Ints(tiersSeen)
	text := ""
	for _, t := range tiersSeen {
		text += fmt.Sprintf(" %d: %.3f of %d", t, float64(good[t])/float64(told[t]), told[t])
	}
	return text
}

var _ = Describe("recovery", func() {
	// Story: the home dies at noon. How long does nobody get an answer?
	It("grants again within two seconds of the death of the home", func() {
		f := newFleet(fleetOptions{hosts: 4, engines: 3, speed: 1})
		var kill time.Time
		f.burst(60, 4*time.Second, func() {
			time.Sleep(2 * time.Second)
			home := f.homeOf(modelService)
			kill = time.Now()
			home.kill()
		})
		f.keepsPromises()
		again := f.grantsAgain(kill)
		AddReportEntry("grants again after", again.String())
		AddReportEntry("words", fmt.Sprint(f.reasons()))
		Expect(again).To(BeNumerically("<", 2*time.Second))
	})

	// Story: one availability zone's entry hosts go at once.
	It("goes on when all hosts of one availability zone die", func() {
		f := newFleet(fleetOptions{hosts: 6, engines: 3, speed: 1})
		var kill time.Time
		f.burst(60, 6*time.Second, func() {
			time.Sleep(2 * time.Second)
			kill = time.Now()
			f.hosts[0].kill()
			f.hosts[3].kill()
		})
		f.keepsPromises()
		again := f.grantsAgain(kill)
		AddReportEntry("grants again after", again.String())
		AddReportEntry("before", f.goodput(time.Unix(0, 1), kill))
		AddReportEntry("after", f.goodput(kill, time.Now()))
		Expect(again).To(BeNumerically("<", 2*time.Second))
	})

	// Story: the table is down for a while. Only what needs a claim may stop.
	It("answers everything but claimed requests while the table is down", func() {
		f := newFleet(fleetOptions{hosts: 3, engines: 3, speed: 1})
		var down, up time.Time
		f.burst(60, 9*time.Second, func() {
			time.Sleep(3 * time.Second)
			down = time.Now()
			f.platform.SetFaults(standin.PlatformFaults{TableDown: true, ObjectsDown: true, HostsDown: true})
			time.Sleep(3 * time.Second)
			f.platform.SetFaults(standin.PlatformFaults{})
			up = time.Now()
		})
		f.keepsPromises()
		AddReportEntry("before", f.goodput(time.Unix(0, 1), down))
		AddReportEntry("in the outage", f.goodput(down, up))
		AddReportEntry("after", f.goodput(up, time.Now()))
		for reason, n := range f.reasons() {
			Expect(reason).To(Or(HaveSuffix("answered "), Equal("tier 1 not run store_down")), "%d times", n)
		}
	})
})
