package dispatch

import (
	"context"
	"time"

	"github.com/go-kit/log"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/gentianflow/gentianflow/internal/event"
	"github.com/gentianflow/gentianflow/internal/sched"
	"github.com/gentianflow/gentianflow/internal/wire"
)

// startPauseLoop runs a loop whose scheduler learns the pauses of the service "engines".
func startPauseLoop() *Loop {
	p := sched.DefaultPolicy()
	p.LearnPauses = true
	loop := NewLoop(p, event.NewRecorder("h", "i", 64, log.NewNopLogger()), func([]sched.Decision) {})
	loop.Do(func(now sched.Time, s *sched.Scheduler) {
		s.SetServices(now, []sched.Service{{Name: "engines", Engine: true, Stride: 5}})
	})
	ctx, cancel := context.WithCancel(context.Background())
	DeferCleanup(cancel)
	go loop.Run(ctx)
	return loop
}

var _ = Describe("estimates of stream pauses", func() {
	// A new home without them leaves slots idle until it has learned them from runs.
	It("reach the host that takes over from a lost home", func() {
		loop := startPauseLoop()
		loop.Do(func(now sched.Time, s *sched.Scheduler) {
			s.ImportPauses(now, []sched.PauseEstimate{{Service: "engines", EventTimes: 3, Samples: 1000}})
		})
		h := NewHome(loop, func() []uint64 { return nil })
		e := openLink(h)
		e.send(&wire.ToHome{Ping: 1})
		m := &wire.ToHolder{}
		Expect(e.conn.SetReadDeadline(time.Now().Add(time.Second))).To(Succeed())
		Expect(wire.Read(e.r, m)).To(Succeed())
		sent := make(chan []sched.PauseEstimate, 1)
		loop.Do(func(_ sched.Time, s *sched.Scheduler) {
			sent <- s.LearnedPauses()
			h.sendEstimates([]uint64{self}, s.Learned(), s.LearnedPauses())
		})
		Expect(wire.Read(e.r, m)).To(Succeed())
		Expect(m.Pauses).To(HaveLen(1))

		next := startPauseLoop()
		c := NewClient(self, "z", next, serverListFunc(neverLeaving), event.NewRecorder("h", "i", 64, log.NewNopLogger()))
		c.learnEstimates(m)
		var learned []sched.PauseEstimate
		next.Query(context.Background(), func(s *sched.Scheduler) { learned = s.LearnedPauses() })
		Expect(learned).To(HaveLen(1))
		Expect(learned[0].EventTimes).To(BeNumerically("~", (<-sent)[0].EventTimes, 0.5))
	})

	It("are learned from the longest gap in an outcome, which another build may not state", func() {
		o := sched.Outcome{Key: sched.Key{Holder: self, ID: 7}, Result: sched.OK, LongestGap: 123 * time.Millisecond}
		Expect(decodeOutcome(self, encodeOutcome(o))).To(Equal(o))
		Expect(decodeOutcome(self, &wire.Outcome{Id: 7}).LongestGap).To(BeZero())
	})
})
