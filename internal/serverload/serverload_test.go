package serverload_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/gentianflow/gentianflow/internal/serverload"
)

func TestServerload(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "serverload")
}

const ms = time.Millisecond

func report(running int, slowdown float64) serverload.Report {
	return serverload.Report{Running: running, Slots: 6, Slowdown: slowdown}
}

var _ = Describe("a report", func() {
	// A server that is avoided sends no reports, so an old one must not keep requests from it.
	It("counts half at 300 ms and for nothing from one second on", func() {
		r := report(1, 3)
		Expect(r.SlowdownAt(0)).To(Equal(3.0))
		Expect(r.SlowdownAt(300 * ms)).To(BeNumerically("~", 2, 1e-9))
		Expect(r.SlowdownAt(650 * ms)).To(BeNumerically("~", 1.5, 1e-9))
		Expect(r.SlowdownAt(time.Second)).To(Equal(1.0))
		Expect(r.SlowdownAt(100 * time.Hour)).To(Equal(1.0))
		for age := time.Duration(0); age < time.Second; age += ms {
			Expect(r.SlowdownAt(age + ms)).To(BeNumerically("<=", r.SlowdownAt(age)))
		}
	})

	It("is bounded in what it states", func() {
		Expect(report(1, 1e12).SlowdownAt(0)).To(Equal(20.0))
		Expect(report(1, 0.001).SlowdownAt(0)).To(Equal(0.5))
		Expect(report(1, 0).SlowdownAt(0)).To(Equal(1.0))
		Expect(report(-1, 1).Valid()).To(BeFalse())
		Expect(report(serverload.MaxCount+1, 1).Valid()).To(BeFalse())
		Expect(report(1, math.Inf(1)).Valid()).To(BeFalse())
		Expect(report(1, math.NaN()).Valid()).To(BeFalse())
		Expect(serverload.Percent(1e30)).To(Equal(serverload.MaxPercent))
		Expect(report(2, 1.8).String()).To(Equal("2/0/6/180"))
		Expect(report(2, 0).String()).To(Equal("2/0/6"))
	})

	// A stream of several seconds would seem to miss its deadline for a moment's slowness.
	It("slows only the next second of long work", func() {
		Expect(serverload.Slowed(60*ms, 3)).To(Equal(180 * ms))
		Expect(serverload.Slowed(2*time.Second, 3)).To(BeNumerically("~", 2667*ms, ms))
		Expect(serverload.Slowed(60*ms, 1)).To(Equal(60 * ms))
		Expect(serverload.Slowed(2*time.Second, 0.5)).To(Equal(time.Second))
	})
})

var _ = Describe("the table of a host", func() {
	now := time.Now()
	at := func(ms int) time.Time { return now.Add(time.Duration(ms) * time.Millisecond) }

	// With a message for each answer, 1,500 answers a second would be as many messages at the home.
	It("gives out the newest report of each server once, with its age", func() {
		t := serverload.NewTable()
		Expect(t.Update(at(0), "a", report(1, 1))).To(BeTrue())
		Expect(t.Update(at(10), "a", report(2, 3))).To(BeFalse())
		Expect(t.Update(at(20), "b", report(1, 1))).To(BeFalse())
		Expect(t.Take(at(50))).To(ConsistOf(
			serverload.Record{Server: "a", Report: report(2, 3), Age: 40 * ms}, serverload.Record{Server: "b", Report: report(1, 1), Age: 30 * ms}))
		Expect(t.Take(at(60))).To(BeEmpty())
		Expect(t.Received()).To(Equal(uint64(3)))
		Expect(t.Get("a")).To(Equal(serverload.Received{Report: report(2, 3), At: at(10)}))
		Expect(t.Get("c").Known()).To(BeFalse())
	})

	DescribeTable("gives out a further report if it says something new",
		func(after int, r serverload.Report, given bool) {
			t := serverload.NewTable()
			t.Update(at(0), "a", report(2, 2))
			t.Take(at(0))
			t.Update(at(after), "a", r)
			Expect(t.Take(at(after))).To(HaveLen(map[bool]int{true: 1}[given]))
		},
		Entry("the same at once", 60, report(2, 2), false),
		Entry("one request more", 60, report(3, 2), false),
		Entry("two requests more", 60, report(4, 2), true),
		Entry("hardly another slowdown", 60, report(2, 2.2), false),
		Entry("another slowdown", 60, report(2, 3), true),
		Entry("the end of the slowdown", 60, report(2, 1), true),
		Entry("no slot left", 60, serverload.Report{Running: 2, Waiting: 4, Slots: 6, Slowdown: 2}, true),
		Entry("another number of slots", 60, serverload.Report{Running: 2, Slots: 4, Slowdown: 2}, true),
		Entry("a slowdown that would lose weight at the receiver", 130, report(2, 2), true),
	)

	It("gives out a usual report again only when the last one has aged out", func() {
		t := serverload.NewTable()
		t.Update(at(0), "a", report(2, 1))
		t.Take(at(0))
		t.Update(at(900), "a", report(2, 1))
		Expect(t.Take(at(900))).To(BeEmpty())
		t.Update(at(1000), "a", report(2, 1))
		Expect(t.Take(at(1000))).To(HaveLen(1))
	})

	// A host that was frozen has reports of the time before.
	It("gives out no reports that have aged out", func() {
		t := serverload.NewTable()
		t.Update(at(0), "a", report(2, 3))
		Expect(t.Take(at(1000))).To(BeEmpty())
		Expect(t.Recent(at(1000))).To(BeEmpty())
		t.Update(at(1010), "a", report(2, 3))
		Expect(t.Take(at(1020))).To(HaveLen(1))
		Expect(t.Recent(at(1020))).To(ConsistOf(serverload.Record{Server: "a", Report: report(2, 3), Age: 10 * ms}))
	})

	It("gives out a report again whose message was lost", func() {
		t := serverload.NewTable()
		t.Update(at(0), "a", report(2, 1))
		t.Forget(t.Take(at(0)))
		t.Update(at(60), "a", report(2, 1))
		Expect(t.Take(at(60))).To(HaveLen(1))
	})

	// Each restart of a server is a new name.
	It("forgets servers that report nothing any more", func() {
		t := serverload.NewTable()
		for i := range 1000 {
			t.Update(at(i*100), fmt.Sprint(i), report(1, 1))
			t.Take(at(i * 100))
		}
		kept := 0
		for i := range 1000 {
			if t.Get(fmt.Sprint(i)).Known() {
				kept++
			}
		}
		Expect(kept).To(BeNumerically("<=", 201))
	})
})

var _ = Describe("what a scheduler knows of a server", func() {
	It("is the newest report by the time of its receipt from the server", func() {
		var s serverload.State
		Expect(s.Learn(time.Second, time.Second, report(1, 3), 0, 6)).To(BeTrue())
		Expect(s.Learn(1010*ms, 990*ms, report(1, 1), 0, 6)).To(BeFalse())
		Expect(s.Slowdown(1010 * ms)).To(BeNumerically(">", 2.9))
		Expect(s.Learn(1020*ms, 20*ms, report(1, 1), 0, 6)).To(BeFalse())
		Expect(s.Learn(1020*ms, 5*time.Second, report(1, 1), 0, 6)).To(BeTrue(), "a time in the future counts as now")
		Expect(s.Slowdown(1020 * ms)).To(Equal(1.0))
		Expect(s.Learn(1030*ms, 1030*ms, report(1, 2), 0, 6)).To(BeTrue())
	})

	It("has slots taken by others only when two reports show it", func() {
		var s serverload.State
		s.Learn(time.Second, time.Second, report(3, 0), 3, 6)
		Expect(s.Occupied(time.Second)).To(BeZero())
		s.Learn(1005*ms, 1005*ms, report(3, 0), 3, 6)
		Expect(s.Occupied(1005*ms)).To(BeZero(), "reports of the same moment don't confirm each other")
		s.Learn(1050*ms, 1050*ms, report(3, 0), 2, 6)
		Expect(s.Occupied(1050 * ms)).To(Equal(2))
		Expect(s.Occupied(2050 * ms)).To(BeZero())
		s.Learn(1060*ms, 1060*ms, report(0, 0), 0, 6)
		Expect(s.Occupied(1060 * ms)).To(BeZero())
		s.Learn(2*time.Second, 2*time.Second, serverload.Report{Slots: 4}, 0, 6)
		s.Learn(2050*ms, 2050*ms, serverload.Report{Slots: 4}, 0, 6)
		Expect(s.Occupied(2050*ms)).To(Equal(2), "two of the listed slots are not there")
	})

	// The slowdown that held during a run divides the token time that is learned from it.
	It("includes how far work has come", func() {
		var s serverload.State
		Expect(s.Elapsed(time.Second)).To(Equal(float64(time.Second)))
		for now := time.Second; now < 2*time.Second; now += 100 * ms {
			s.Learn(now, now, report(1, 4), 0, 6)
		}
		s.Learn(2*time.Second, 2*time.Second, report(1, 1), 0, 6)
		Expect(s.Elapsed(3*time.Second) - float64(time.Second)).To(BeNumerically("~", float64(1250*ms), 1e3))
		s.Learn(3*time.Second, 3*time.Second, report(1, 2), 0, 6)
		Expect(s.Elapsed(5*time.Second)-s.Elapsed(3*time.Second)).To(BeNumerically("~", float64(1800*ms), 1e3), "a slowdown without a further report is taken to last 400 ms")
	})
})
