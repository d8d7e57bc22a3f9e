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

// startHome runs a home with one server that has one slot.
func startHome() (*Home, *Loop) {
	events := event.NewRecorder("h", "i", 64, log.NewNopLogger())
	var h *Home
	loop := NewLoop(sched.DefaultPolicy(), events, func(out []sched.Decision) { h.Deliver(out) })
	h = NewHome(loop, func() []uint64 { return nil })
	loop.OnSuspects(h.SendSuspects)
	loop.OnTraits(h.SendTraits)
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

// openLink opens a link of a holder; all links have the same incarnation.
func openLink(h *Home) *holderEnd {
	near, far := net.Pipe()
	st := &peer.Stream{Conn: far, Reader: bufio.NewReader(far), Peer: peer.Identity{Incarnation: self}, Open: &wire.Open{Service: "z"}}
	go h.Serve(context.Background(), st)
	DeferCleanup(near.Close)
	return &holderEnd{conn: near, r: bufio.NewReader(near)}
}

func (e *holderEnd) send(m *wire.ToHome) {
	Expect(e.conn.SetWriteDeadline(time.Now().Add(time.Second))).To(Succeed())
	Expect(wire.Write(e.conn, m)).To(Succeed())
}

func (e *holderEnd) request(id uint64) {
	now := time.Now()
	a := request()
	e.send(&wire.ToHome{Asks: []*wire.Ask{encodeRequest(now, id, a)}})
}

// awaitPlacement reads until the home sends the placement for a request.
func (e *holderEnd) awaitPlacement(id uint64) {
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

func countRequests(l *Loop) (running, waiting int) {
	l.Query(context.Background(), func(s *sched.Scheduler) { running, waiting = s.Running(), s.Waiting() })
	return running, waiting
}

var _ = Describe("a holder that reconnects over a new link", func() {
	// The home pauses. Its holders consider it unresponsive, open new links and submit
	// waiting requests again, and the home then reads the same request from both links. If
	// it counted the request twice, the server would lose a slot forever, and callers would
	// be refused while servers are idle.
	It("has a request that it sent over both links counted once", func() {
		h, loop := startHome()
		first := openLink(h)
		first.request(1)
		Eventually(func() int { n, _ := countRequests(loop); return n }).Should(Equal(1))
		second := openLink(h) // the placement sent over the first link was lost with it
		second.request(1)
		second.awaitPlacement(1)
		Expect(countRequests(loop)).To(Equal(1))
		second.send(&wire.ToHome{Outcomes: []*wire.Outcome{{Id: 1, Result: uint32(sched.OK)}}})
		second.request(2)
		second.awaitPlacement(2)
	})

	// As above, but the home reads a withdrawal from the first link after the request from
	// the new one. If it were applied, the request would wait for an answer forever.
	It("has messages on the old link ignored", func() {
		h, loop := startHome()
		first := openLink(h)
		first.request(1)
		Eventually(func() int { n, _ := countRequests(loop); return n }).Should(Equal(1))
		var old *holderLink
		h.mu.Lock()
		old = h.links[self]
		h.mu.Unlock()
		second := openLink(h)
		second.request(1)
		second.awaitPlacement(1)
		h.handle(context.Background(), old, &wire.ToHome{Withdrawn: []uint64{1}, Asks: []*wire.Ask{encodeRequest(time.Now(), 1, request())}})
		Consistently(func() []int { r, w := countRequests(loop); return []int{r, w} }).WithTimeout(50 * time.Millisecond).Should(Equal([]int{1, 0}))
	})
})

// pausedHome is a home that answers only when the test makes it answer.
type pausedHome struct {
	client *Client
	loop   *Loop
	link   *homeLink
	watch  *linkWatch
	clock  time.Time
}

func newPausedHome() *pausedHome {
	c, loop := startHost(neverLeaving) // without servers: local requests wait or are refused
	near, far := net.Pipe()
	DeferCleanup(near.Close)
	l := &homeLink{host: "home", stream: &peer.Stream{Conn: far}, out: ring.New[*wire.ToHome](linkQueueSize), ended: make(chan struct{})}
	c.follow(l)
	return &pausedHome{client: c, loop: loop, link: l, watch: newLinkWatch(c, l), clock: time.Now()}
}

// advance moves the clock forward in steps of watchPeriod and returns the states that the link
// enters.
func (p *pausedHome) advance(d time.Duration) (entered []chart.State) {
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
		p.client.markSuspect(p.link)
	case linkAnswering:
		p.client.follow(p.link)
	case linkLost:
		p.client.unfollow(p.link)
	}
}

// addWaiting makes a placement request wait in the home's queue.
func (p *pausedHome) addWaiting() uint64 {
	a := request()
	a.Deadline = a.Arrived.Add(time.Minute)
	go func() { _, _ = p.client.Acquire(context.Background(), a) }() // ends with the test process
	Eventually(func() bool { return p.client.waitsAt(p.link) }).Should(BeTrue())
	p.client.markQueued([]uint64{1}, p.link)
	return 1
}

func (p *pausedHome) answerPing() { p.link.lastPong.Store(p.watch.ping) }

func (p *pausedHome) via(id uint64) *homeLink {
	p.client.mu.Lock()
	defer p.client.mu.Unlock()
	return p.client.pending[id].via
}

var _ = Describe("a paused home", func() {
	// The home's CPU pauses for a third of a second under load. If each host submitted the
	// requests that wait there to its local loop, the loops would send them to inference engines
	// that are full, and callers would get late answers for seconds.
	It("keeps its queue if it answers again soon", func() {
		h := newPausedHome()
		id := h.addWaiting()
		h.advance(pingPeriod)
		Expect(h.advance(pingTimeout + 2*watchPeriod)).To(Equal([]chart.State{linkSuspect}))
		Expect(h.client.link).To(BeNil(), "new requests go to the local loop")
		Expect(h.via(id)).To(Equal(h.link))
		h.answerPing()
		Expect(h.advance(watchPeriod)).To(Equal([]chart.State{linkAnswering}))
		Expect(h.client.link).To(Equal(h.link))
		Expect(h.via(id)).To(Equal(h.link))
	})

	It("loses its queue if it does not answer for longer", func() {
		h := newPausedHome()
		id := h.addWaiting()
		Expect(h.advance(pingPeriod + pingTimeout + suspectTimeout + 4*watchPeriod)).To(Equal([]chart.State{linkSuspect, linkLost}))
		Expect(h.via(id)).To(BeNil())
	})
})

// meteredRequest is a placement request that costs its account units.
func meteredRequest() *PlacementRequest {
	a := request()
	a.Account, a.Units = "acc", 300
	return a
}

// placeLocally gets a placement from a host's local loop.
func placeLocally() (*Client, Placement) {
	c, loop := startHost(neverLeaving, "a")
	loop.Do(func(now sched.Time, s *sched.Scheduler) {
		s.SetAccounts(now, []sched.Account{{Name: "acc", Rate: 1000, Burst: 1000}})
	})
	placement, err := c.Acquire(context.Background(), meteredRequest())
	Expect(err).NotTo(HaveOccurred())
	return c, placement
}

var _ = Describe("a local placement while the home does not answer", func() {
	// A slow home is repeatedly considered unresponsive. Each time the hosts use their shares
	// of a quota while the home uses all of it, and the account exceeds its quota by a
	// twentieth.
	It("is charged to the account when the host follows a home again", func() {
		c, placement := placeLocally()
		c.Finish(placement.ID, sched.OK, time.Millisecond, 0)
		l := &homeLink{out: ring.New[*wire.ToHome](8)}
		c.sendCharges(l)
		Expect(l.out.Drain(nil)).To(BeEmpty(), "no home is followed yet")
		c.follow(l)
		c.sendCharges(l)
		c.sendCharges(l)
		told := l.out.Drain(nil)
		Expect(told).To(HaveLen(1))
		Expect(told[0].Charges).To(ConsistOf(And(HaveField("Account", "acc"), HaveField("Units", int64(300)))))
	})

	It("is not charged if the request did not run", func() {
		c, placement := placeLocally()
		c.Finish(placement.ID, sched.Rejected, 0, 0)
		Expect(c.charges["acc"]).To(BeZero())
	})

	It("reduces the quota left at the home", func() {
		h, loop := startHome()
		loop.Do(func(now sched.Time, s *sched.Scheduler) {
			s.SetAccounts(now, []sched.Account{{Name: "acc", Rate: 1, Burst: 1000}})
		})
		e := openLink(h)
		e.send(&wire.ToHome{Charges: []*wire.Charge{{Account: "acc", Units: 700}}})
		e.send(&wire.ToHome{Asks: []*wire.Ask{encodeRequest(time.Now(), 1, meteredRequest())}})
		m := &wire.ToHolder{}
		Expect(e.conn.SetReadDeadline(time.Now().Add(time.Second))).To(Succeed())
		Expect(wire.Read(e.r, m)).To(Succeed())
		Expect(m.Refusals).To(ConsistOf(HaveField("Reason", uint32(sched.Quota))))
	})
})

var _ = Describe("a host that takes over from a lost home", func() {
	// A new home without estimates of server speeds sends long prompts to inference engines
	// that are three times slower than others for some seconds.
	It("knows the old home's estimates of server speeds", func() {
		h, loop := startHome()
		loop.Do(func(now sched.Time, s *sched.Scheduler) {
			s.ImportLearned(0, []sched.Learned{{Server: "a", TokenTime: 11 * time.Millisecond}})
		})
		e := openLink(h)
		e.send(&wire.ToHome{Ping: 1})
		m := &wire.ToHolder{}
		Expect(e.conn.SetReadDeadline(time.Now().Add(time.Second))).To(Succeed())
		Expect(wire.Read(e.r, m)).To(Succeed())
		loop.Do(func(_ sched.Time, s *sched.Scheduler) {
			h.sendEstimates([]uint64{self}, s.Learned(), s.LearnedPauses())
		})
		Expect(wire.Read(e.r, m)).To(Succeed())

		c, next := startHost(neverLeaving, "a")
		c.learnEstimates(m)
		var learned []sched.Learned
		next.Query(context.Background(), func(s *sched.Scheduler) { learned = s.Learned() })
		Expect(learned).To(ConsistOf(sched.Learned{Server: "a", TokenTime: 11 * time.Millisecond}))
	})
})
