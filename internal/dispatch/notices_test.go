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

func limited(perSecond float64) notice.Notice {
	return notice.Notice{Limit: notice.Limit{Named: true, PerSecond: perSecond}}
}

// limitsKnown is how many servers a loop knows to name a limit.
func limitsKnown(l *Loop) (n int) {
	l.Query(context.Background(), func(s *sched.Scheduler) { n = s.Limited() })
	return n
}

var _ = Describe("word of servers", func() {
	It("is heeded by the host that hears it", func() {
		c, loop := hostOf(never, "a", "b")
		c.Hear("a", limited(1))
		Expect(limitsKnown(loop)).To(Equal(1))
		c.Hear("a", notice.Notice{})
		Expect(limitsKnown(loop)).To(BeZero())
	})

	// Guards against a limit that stands for good: of two answers heard at once the older one's
	// word is passed on last.
	It("is passed on as it stands then", func() {
		c, loop := hostOf(never, "a")
		for _, said := range []notice.Notice{limited(1), {}} {
			c.notices.Hear(time.Now(), "a", said)
		}
		c.passOn("a") // for the second answer
		c.passOn("a") // for the first
		Expect(limitsKnown(loop)).To(BeZero())
	})

	// Guards against a home that places by the limits that it has heard of itself, or not yet.
	It("reaches a home before anything is asked of it, and whenever it is new", func() {
		c, _ := hostOf(never, "a")
		c.Hear("b", limited(1))
		go func() { _, _ = c.Acquire(context.Background(), ask()) }()
		Eventually(func() int { _, running := c.Pending(); return running }).Should(Equal(1))
		l := &homeLink{out: ring.New[*wire.ToHome](linkOutputs)}
		c.follow(l)
		first := l.out.Drain(nil)[0]
		Expect(decodeNotices(first.Notices)).To(ConsistOf(HaveField("Notice", limited(1))))
		l.out.Drain(nil)
		c.Hear("b", limited(1))
		Expect(l.out.Drain(nil)).To(BeEmpty())
		c.Hear("b", limited(2))
		Expect(decodeNotices(l.out.Drain(nil)[0].Notices)).To(ConsistOf(HaveField("Notice", limited(2))))
	})

	// Guards against a place at a server that has told this host, and not the home, that it leaves.
	It("has a place at a server that leaves given back", func() {
		c, _ := hostOf(never, "a")
		l := &homeLink{out: ring.New[*wire.ToHome](linkOutputs)}
		c.follow(l)
		go func() { _, _ = c.Acquire(context.Background(), ask()) }()
		Eventually(func() int { waiting, _ := c.Pending(); return waiting }).Should(Equal(1))
		c.Hear("a", notice.Notice{Leaving: true})
		l.out.Drain(nil)
		c.deliver([]sched.Decision{{Key: sched.Key{Holder: self, ID: 1}, Server: "a", Address: "a"}}, l)
		said := l.out.Drain(nil)
		Expect(said[0].Outcomes[0].Result).To(Equal(uint32(sched.Gone)))
		Expect(said[1].Asks).To(HaveLen(1))
	})

	// Guards against a place at a server that has asked this host for rest, and which the home
	// gave before it heard of that.
	It("has a place at a server that wants rest given back, when the home has been told", func() {
		c, _ := hostOf(never, "a")
		l := &homeLink{out: ring.New[*wire.ToHome](linkOutputs)}
		c.follow(l)
		go func() { _, _ = c.Acquire(context.Background(), ask()) }()
		Eventually(func() int { waiting, _ := c.Pending(); return waiting }).Should(Equal(1))
		l.out.Drain(nil)
		c.Hear("a", notice.Notice{Rest: time.Second})
		c.deliver([]sched.Decision{{Key: sched.Key{Holder: self, ID: 1}, Server: "a", Address: "a"}}, l)
		said := l.out.Drain(nil)
		Expect(said).To(HaveLen(3))
		Expect(decodeNotices(said[0].Notices)[0].Rest).To(Equal(time.Second))
		Expect(said[1].Outcomes[0].Result).To(Equal(uint32(sched.Unused)))
		Expect(said[2].Asks).To(HaveLen(1))
	})

	It("binds what a home gives to others", func() {
		h, loop := homeFor()
		one := linkTo(h)
		one.say(&wire.ToHome{Notices: encodeNotices([]notice.Record{{Server: "a", Notice: limited(2)}})})
		Eventually(func() int { return limitsKnown(loop) }).Should(Equal(1))
		begun := time.Now()
		for id := range uint64(3) {
			one.ask(id)
			one.placed(id)
			one.say(&wire.ToHome{Outcomes: []*wire.Outcome{{Id: id, Result: uint32(sched.OK)}}})
		}
		Expect(time.Since(begun)).To(BeNumerically(">", 900*time.Millisecond))
	})
})
