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

// timeToNextStart is the time from a kill to the first start of a model request
// that was sent after it, or an hour if there is none.
func (f *fleet) timeToNextStart(killedAt time.Time) time.Duration {
	asked := map[string]bool{}
	for _, e := range f.log.Events() {
		switch {
		case e.Kind == history.Asked && e.Service == modelService && e.At > killedAt.UnixNano():
			asked[e.ID] = true
		case e.Kind == history.Started && asked[e.ID]:
			return time.Duration(e.At - killedAt.UnixNano())
		}
	}
	return time.Hour
}

// goodput returns a text with the fraction of answered requests, by tier, among the
// final outcomes of a time span.
func (f *fleet) goodput(from, to time.Time) string {
	total, answered := map[int]int{}, map[int]int{}
	for _, e := range f.log.Events() {
		if e.Kind != history.Told || e.At < from.UnixNano() || e.At >= to.UnixNano() {
			continue
		}
		total[e.Tier]++
		if e.Outcome == failure.Answered {
			answered[e.Tier]++
		}
	}
	var tiersSeen []int
	for t := range total {
		tiersSeen = append(tiersSeen, t)
	}
	sort.Ints(tiersSeen)
	text := ""
	for _, t := range tiersSeen {
		text += fmt.Sprintf(" %d: %.3f of %d", t, float64(answered[t])/float64(total[t]), total[t])
	}
	return text
}

var _ = Describe("recovery", func() {
	// While a service has no home, no request is placed. The next home must take over
	// in a short time.
	It("grants placements again within two seconds after the home is killed", func() {
		f := newFleet(fleetOptions{hosts: 4, engines: 3, speed: 1})
		var killedAt time.Time
		f.burst(60, 4*time.Second, func() {
			time.Sleep(2 * time.Second)
			home := f.homeOf(modelService)
			killedAt = time.Now()
			home.kill()
		})
		f.checkHistory()
		recoveryTime := f.timeToNextStart(killedAt)
		AddReportEntry("grants again after", recoveryTime.String())
		AddReportEntry("words", fmt.Sprint(f.outcomesByReason()))
		Expect(recoveryTime).To(BeNumerically("<", 2*time.Second))
	})

	// All entry hosts of one availability zone fail at once.
	It("continues when all hosts of one availability zone die", func() {
		f := newFleet(fleetOptions{hosts: 6, engines: 3, speed: 1})
		var killedAt time.Time
		f.burst(60, 6*time.Second, func() {
			time.Sleep(2 * time.Second)
			killedAt = time.Now()
			f.hosts[0].kill()
			f.hosts[3].kill()
		})
		f.checkHistory()
		recoveryTime := f.timeToNextStart(killedAt)
		AddReportEntry("grants again after", recoveryTime.String())
		AddReportEntry("before", f.goodput(time.Unix(0, 1), killedAt))
		AddReportEntry("after", f.goodput(killedAt, time.Now()))
		Expect(recoveryTime).To(BeNumerically("<", 2*time.Second))
	})

	// The platform's table is down for a few seconds. Only non-idempotent requests may
	// be refused: a host inserts a claim into the table before it dispatches one.
	It("answers all requests but those that need a claim while the table is down", func() {
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
		f.checkHistory()
		AddReportEntry("before", f.goodput(time.Unix(0, 1), down))
		AddReportEntry("in the outage", f.goodput(down, up))
		AddReportEntry("after", f.goodput(up, time.Now()))
		for reason, n := range f.outcomesByReason() {
			Expect(reason).To(Or(HaveSuffix("answered "), Equal("tier 1 not run store_down")), "%d times", n)
		}
	})
})
