package dispatch

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/gentianflow/gentianflow/internal/ring"
	"github.com/gentianflow/gentianflow/internal/sched"
	"github.com/gentianflow/gentianflow/internal/wire"
)

var _ = Describe("what the home needs to settle accounts' shares", func() {
	// An account would stay charged for the longest answer that it allows.
	It("includes the output tokens of a run in its outcome", func() {
		c, _ := startHost(neverLeaving, "a")
		l := &homeLink{out: ring.New[*wire.ToHome](linkQueueSize)}
		c.follow(l)
		done := make(chan Placement, 1)
		go func() {
			p, _ := c.Acquire(context.Background(), request())
			done <- p
		}()
		Eventually(func() int { waiting, _ := c.Pending(); return waiting }).Should(Equal(1))
		c.deliver([]sched.Decision{{Key: sched.Key{Holder: self, ID: 1}, Server: "a", Address: "a"}}, l)
		p := <-done
		l.out.Drain(nil)
		c.FinishStream(p.ID, sched.OK, sched.RunReport{FirstEvent: time.Millisecond, OutputTokens: 35})
		o := decodeOutcome(self, l.out.Drain(nil)[0].Outcomes[0])
		Expect(o.OutputTokens).To(Equal(35))
	})

	// A home that takes over could not tell which shares a run counts for. Hosts of another build don't
	// state the priority, and 0 is the most urgent one.
	It("includes the priority of a run that goes on, if the holder knows it", func() {
		now := time.Now()
		m := encodeRunning(now, 1, &pending{request: &PlacementRequest{Priority: 0, Account: "acc"}, placedAt: now})
		Expect(decodeRunning(self, m).Priority).To(BeZero())
		m.Priority = 0
		Expect(decodeRunning(self, m).Priority).To(Equal(-1))
	})
})
