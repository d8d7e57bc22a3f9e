package dispatch

import (
	"bufio"
	"context"
	"net"
	"time"

	"github.com/go-kit/log"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/gentianflow/gentianflow/internal/chart"
	"github.com/gentianflow/gentianflow/internal/event"
	"github.com/gentianflow/gentianflow/internal/peer"
	"github.com/gentianflow/gentianflow/internal/ring"
	"github.com/gentianflow/gentianflow/internal/sched"
	"github.com/gentianflow/gentianflow/internal/wire"
)

// homeFor runs a home with one server that has one place.
func homeFor() (*Home, *Loop) {
	events := event.NewRecorder("h", "i", 64, log.NewNopLogger())
	var h *Home
	loop := NewLoop(sched.DefaultPolicy(), events, func(out []sched.Decision) { h.Deliver(out) })
	h = NewHome(loop, func() []uint64 { return nil })
	loop.OnSuspects(h.TellSuspects)
	loop.Do(func(now sched.Time, s *sched.Scheduler) {
		s.SetServices(now, []sched.Service{{Name: "svc"}})
		s.SetServers(now, []sched.Server{{ID: "a", Service: "svc", Address: "a", Slots: 1}})
	})
	ctx, cancel := context.WithCancel(context.Background())
	DeferCleanup(cancel)
	go loop.Run(ctx)
	return h, loop
}

// holderEnd is the holder's end of a link to the home.
type holderEnd struct {
	conn net.Conn
	r    *bufio.Reader
}

// linkTo opens a link of one holder; every link of it bears the same incarnation.
func linkTo(h *Home) *holderEnd {
	near, far := net.Pipe()
	st := &peer.Stream{Conn: far, R: bufio.NewReader(far), Peer: peer.Identity{Incarnation: self}, Open: &wire.Open{Service: "z"}}
	go h.Serve(context.Background(), st)
	DeferCleanup(near.Close)
	return &holderEnd{conn: near, r: bufio.NewReader(near)}
}

func (e *holderEnd) say(m *wire.ToHome) {
	Expect(e.conn.SetWriteDeadline(time.Now().Add(time.Second))).To(Succeed())
	Expect(wire.Write(e.conn, m)).To(Succeed())
}

func (e *holderEnd) ask(id uint64) {
	now := time.Now()
	a := ask()
	e.say(&wire.ToHome{Asks: []*wire.Ask{encodeAsk(now, id, a)}})
}

// placed reads until the home gives an ask its place.
func (e *holderEnd) placed(id uint64) {
	Expect(e.conn.SetReadDeadline(time.Now().Add(time.Second))).To(Succeed())
	for {
		m := &wire.ToHolder{}
		Expect(wire.Read(e.r, m)).To(Succeed())
		for _, p := range m.Places {
			if p.Id == id {
				return
			}
		}
	}
}

func booked(l *Loop) (running, waiting int) {
	l.Query(context.Background(), func(s *sched.Scheduler) { running, waiting = s.Running(), s.Waiting() })
	return running, waiting
}

var _ = Describe("a holder that comes back over a new link", func() {
	// The home stands still for a moment. Its holders take it for silent, open a
	// new link and ask again for what waits; the home wakes and finds the same ask
	// twice, once on each link. Counted twice, the server would lose a place for
	// good: callers are refused while servers are free.
	It("is asked for once what it asked for on both links", func() {
		h, loop := homeFor()
		first := linkTo(h)
		first.ask(1)
		Eventually(func() int { n, _ := booked(loop); return n }).Should(Equal(1))
		second := linkTo(h) // the place of the first link was lost with it
		second.ask(1)
		second.placed(1)
		Expect(booked(loop)).To(Equal(1))
		second.say(&wire.ToHome{Outcomes: []*wire.Outcome{{Id: 1, Result: uint32(sched.OK)}}})
		second.ask(2)
		second.placed(2)
	})

	// The same, but the first link still holds a withdrawal that the home reads
	// after the new link's ask: the request would wait for a word that never comes.
	It("is not heard any more over the old one", func() {
		h, loop := homeFor()
		other := linkTo(h)
		other.ask(1)
		Eventually(func() int { n, _ := booked(loop); return n }).Should(Equal(1))
		var old *holderLink
		h.mu.Lock()
		old = h.links[self]
		h.mu.Unlock()
		second := linkTo(h)
		second.ask(1)
		second.placed(1)
		h.take(context.Background(), old, &wire.ToHome{Withdrawn: []uint64{1}, Asks: []*wire.Ask{encodeAsk(time.Now(), 1, ask())}})
		Consistently(func() []int { r, w := booked(loop); return []int{r, w} }).WithTimeout(50 * time.Millisecond).Should(Equal([]int{1, 0}))
	})
})

// pausedHome is a home whose answers come only when the test sends them.
type pausedHome struct {
	client *Client
	loop   *Loop
	link   *homeLink
	watch  *linkWatch
	clock  time.Time
}

func newPausedHome() *pausedHome {
	c, loop := hostOf(never) // without servers: what is asked for here waits or is refused here
	near, far := net.Pipe()
	DeferCleanup(near.Close)
	l := &homeLink{host: "home", stream: &peer.Stream{Conn: far}, out: ring.New[*wire.ToHome](linkOutputs), ended: make(chan struct{})}
	c.follow(l)
	return &pausedHome{client: c, loop: loop, link: l, watch: newLinkWatch(c, l), clock: time.Now()}
}

// pass lets time go by in the steps of the watch and returns the states that its
// link enters meanwhile.
func (p *pausedHome) pass(d time.Duration) (entered []chart.State) {
	for end := p.clock.Add(d); p.clock.Before(end) && p.watch.state() != linkLost; {
		p.clock = p.clock.Add(watchPeriod)
		if p.watch.check(p.clock) {
			entered = append(entered, p.watch.state())
			p.apply(p.watch.state())
		}
	}
	return entered
}

func (p *pausedHome) apply(s chart.State) {
	switch s {
	case linkSuspect:
		p.client.suspect(p.link)
	case linkAnswering:
		p.client.follow(p.link)
	case linkLost:
		p.client.unfollow(p.link)
	}
}

// waitAt makes an ask wait in the queue of the home.
func (p *pausedHome) waitAt() uint64 {
	a := ask()
	a.Deadline = a.Arrived.Add(time.Minute)
	go func() { _, _ = p.client.Acquire(context.Background(), a) }() // ends with the test's process
	Eventually(func() bool { return p.client.waitsAt(p.link) }).Should(BeTrue())
	p.client.queued([]uint64{1}, p.link)
	return 1
}

func (p *pausedHome) answerPing() { p.link.ponged.Store(p.watch.ping) }

func (p *pausedHome) via(id uint64) *homeLink {
	p.client.mu.Lock()
	defer p.client.mu.Unlock()
	return p.client.pending[id].via
}

var _ = Describe("a home that stands still", func() {
	// The home's processor stands still for a third of a second under load. Were
	// all that waits there asked for anew on each host, their own loops would put
	// it into engines that are full, and callers would see seconds of late answers.
	It("keeps what waits in its queue when it is back within a moment", func() {
		h := newPausedHome()
		id := h.waitAt()
		h.pass(pingPeriod)
		Expect(h.pass(silentAfter + 2*watchPeriod)).To(Equal([]chart.State{linkSuspect}))
		Expect(h.client.link).To(BeNil(), "new asks are decided here")
		Expect(h.via(id)).To(Equal(h.link))
		h.answerPing()
		Expect(h.pass(watchPeriod)).To(Equal([]chart.State{linkAnswering}))
		Expect(h.client.link).To(Equal(h.link))
		Expect(h.via(id)).To(Equal(h.link))
	})

	It("loses it when the silence lasts", func() {
		h := newPausedHome()
		id := h.waitAt()
		Expect(h.pass(pingPeriod + silentAfter + suspectTime + 4*watchPeriod)).To(Equal([]chart.State{linkSuspect, linkLost}))
		Expect(h.via(id)).To(BeNil())
	})
})

// metered is an ask that costs its account units.
func metered() *Ask {
	a := ask()
	a.Account, a.Units = "acc", 300
	return a
}

// placeAlone gets a place from a host's own loop.
func placeAlone() (*Client, Place) {
	c, loop := hostOf(never, "a")
	loop.Do(func(now sched.Time, s *sched.Scheduler) {
		s.SetAccounts(now, []sched.Account{{Name: "acc", Rate: 1000, Burst: 1000}})
	})
	place, err := c.Acquire(context.Background(), metered())
	Expect(err).NotTo(HaveOccurred())
	return c, place
}

var _ = Describe("what a host gives out while its home is silent", func() {
	// An account runs a twentieth more than its quota on a calm day. The home was slow:
	// hosts took it for silent again and again and gave out their parts of the quota,
	// while it went on giving out the whole.
	It("is charged to the account when the host follows a home again", func() {
		c, place := placeAlone()
		c.Finish(place.ID, sched.OK, time.Millisecond, 0)
		l := &homeLink{out: ring.New[*wire.ToHome](8)}
		c.tellCharges(l)
		Expect(l.out.Drain(nil)).To(BeEmpty(), "no home is followed yet")
		c.follow(l)
		c.tellCharges(l)
		c.tellCharges(l)
		told := l.out.Drain(nil)
		Expect(told).To(HaveLen(1))
		Expect(told[0].Charges).To(ConsistOf(And(HaveField("Account", "acc"), HaveField("Units", int64(300)))))
	})

	It("is not charged when it did not run", func() {
		c, place := placeAlone()
		c.Finish(place.ID, sched.Rejected, 0, 0)
		Expect(c.charges["acc"]).To(BeZero())
	})

	It("is paid back at the home", func() {
		h, loop := homeFor()
		loop.Do(func(now sched.Time, s *sched.Scheduler) {
			s.SetAccounts(now, []sched.Account{{Name: "acc", Rate: 1, Burst: 1000}})
		})
		e := linkTo(h)
		e.say(&wire.ToHome{Charges: []*wire.Charge{{Account: "acc", Units: 700}}})
		e.say(&wire.ToHome{Asks: []*wire.Ask{encodeAsk(time.Now(), 1, metered())}})
		m := &wire.ToHolder{}
		Expect(e.conn.SetReadDeadline(time.Now().Add(time.Second))).To(Succeed())
		Expect(wire.Read(e.r, m)).To(Succeed())
		Expect(m.Refusals).To(ConsistOf(HaveField("Reason", uint32(sched.Quota))))
	})
})

var _ = Describe("a host that takes over from a lost home", func() {
	// In the seconds after the home was lost long prompts went to engines three times
	// slower than others: the new home knew none of them.
	It("knows the speeds that the home had learned", func() {
		h, loop := homeFor()
		loop.Do(func(now sched.Time, s *sched.Scheduler) {
			s.Teach([]sched.Learned{{Server: "a", TokenTime: 11 * time.Millisecond}})
		})
		e := linkTo(h)
		e.say(&wire.ToHome{Ping: 1})
		m := &wire.ToHolder{}
		Expect(e.conn.SetReadDeadline(time.Now().Add(time.Second))).To(Succeed())
		Expect(wire.Read(e.r, m)).To(Succeed())
		loop.Do(func(_ sched.Time, s *sched.Scheduler) { h.teach([]uint64{self}, s.Learned()) })
		Expect(wire.Read(e.r, m)).To(Succeed())

		c, next := hostOf(never, "a")
		c.taught(m.Paces)
		var learned []sched.Learned
		next.Query(context.Background(), func(s *sched.Scheduler) { learned = s.Learned() })
		Expect(learned).To(ConsistOf(sched.Learned{Server: "a", TokenTime: 11 * time.Millisecond}))
	})
})
