package dispatch

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/gentianflow/gentianflow/internal/notice"
	"github.com/gentianflow/gentianflow/internal/ring"
	"github.com/gentianflow/gentianflow/internal/sched"
	"github.com/gentianflow/gentianflow/internal/wire"
)

func limitNotice(perSecond float64) notice.Notice {
	return notice.Notice{Limit: notice.Limit{Valid: true, PerSecond: perSecond}}
}

// countLimits returns the number of servers for which a loop knows a rate limit.
func countLimits(l *Loop) (n int) {
	l.Query(context.Background(), func(s *sched.Scheduler) { n = s.LimitedServers() })
	return n
}

var _ = Describe("a server notice", func() {
	It("is applied by the host that receives it", func() {
		c, loop := startHost(neverLeaving, "a", "b")
		c.RecordNotice("a", limitNotice(1))
		Expect(countLimits(loop)).To(Equal(1))
		c.RecordNotice("a", notice.Notice{})
		Expect(countLimits(loop)).To(BeZero())
	})

	// Two answers arrive at once and the older one is forwarded last. If its notice were
	// forwarded as received, an outdated limit would stay in force.
	It("is forwarded in its newest version", func() {
		c, loop := startHost(neverLeaving, "a")
		for _, received := range []notice.Notice{limitNotice(1), {}} {
			c.notices.Update(time.Now(), "a", received)
		}
		c.forwardNotice("a") // for the second answer
		c.forwardNotice("a") // for the first
		Expect(countLimits(loop)).To(BeZero())
	})

	// Without the notices of other hosts, a home would place by the limits that it has received
	// itself, or by none.
	It("reaches a home before any placement request, and again when it has changed", func() {
		c, _ := startHost(neverLeaving, "a")
		c.RecordNotice("b", limitNotice(1))
		go func() { _, _ = c.Acquire(context.Background(), request()) }()
		Eventually(func() int { _, running := c.Pending(); return running }).Should(Equal(1))
		l := &homeLink{out: ring.New[*wire.ToHome](linkQueueSize)}
		c.follow(l)
		first := l.out.Drain(nil)[0]
		Expect(decodeNotices(first.Notices)).To(ConsistOf(HaveField("Notice", limitNotice(1))))
		l.out.Drain(nil)
		c.RecordNotice("b", limitNotice(1))
		Expect(l.out.Drain(nil)).To(BeEmpty())
		c.RecordNotice("b", limitNotice(2))
		Expect(decodeNotices(l.out.Drain(nil)[0].Notices)).To(ConsistOf(HaveField("Notice", limitNotice(2))))
	})

	// A server has announced its shutdown to this host, but not to the home, which places there.
	It("makes the host return a placement at a leaving server", func() {
		c, _ := startHost(neverLeaving, "a")
		l := &homeLink{out: ring.New[*wire.ToHome](linkQueueSize)}
		c.follow(l)
		go func() { _, _ = c.Acquire(context.Background(), request()) }()
		Eventually(func() int { waiting, _ := c.Pending(); return waiting }).Should(Equal(1))
		c.RecordNotice("a", notice.Notice{Leaving: true})
		l.out.Drain(nil)
		c.deliver([]sched.Decision{{Key: sched.Key{Holder: self, ID: 1}, Server: "a", Address: "a"}}, l)
		sent := l.out.Drain(nil)
		Expect(sent[0].Outcomes[0].Result).To(Equal(uint32(sched.Replaced)))
		Expect(sent[1].Asks).To(HaveLen(1))
	})

	// The home places at a server before it learns that the server has asked this host for a
	// backoff.
	It("makes the host return a placement during a backoff, after notifying the home", func() {
		c, _ := startHost(neverLeaving, "a")
		l := &homeLink{out: ring.New[*wire.ToHome](linkQueueSize)}
		c.follow(l)
		go func() { _, _ = c.Acquire(context.Background(), request()) }()
		Eventually(func() int { waiting, _ := c.Pending(); return waiting }).Should(Equal(1))
		l.out.Drain(nil)
		c.RecordNotice("a", notice.Notice{Backoff: time.Second})
		c.deliver([]sched.Decision{{Key: sched.Key{Holder: self, ID: 1}, Server: "a", Address: "a"}}, l)
		sent := l.out.Drain(nil)
		Expect(sent).To(HaveLen(3))
		Expect(decodeNotices(sent[0].Notices)[0].Backoff).To(Equal(time.Second))
		Expect(sent[1].Outcomes[0].Result).To(Equal(uint32(sched.Unused)))
		Expect(sent[2].Asks).To(HaveLen(1))
	})

	It("limits the home's placements for other hosts", func() {
		h, loop := startHome()
		holder := openLink(h)
		holder.send(&wire.ToHome{Notices: encodeNotices([]notice.Record{{Server: "a", Notice: limitNotice(2)}})})
		Eventually(func() int { return countLimits(loop) }).Should(Equal(1))
		begun := time.Now()
		for id := range uint64(3) {
			holder.request(id)
			holder.awaitPlacement(id)
			holder.send(&wire.ToHome{Outcomes: []*wire.Outcome{{Id: id, Result: uint32(sched.OK)}}})
		}
		Expect(time.Since(begun)).To(BeNumerically(">", 900*time.Millisecond))
	})
})
