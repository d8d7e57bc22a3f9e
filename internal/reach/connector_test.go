package reach

import (
	"context"
	"errors"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/go-kit/log"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/gentianflow/gentianflow/internal/event"
	"github.com/gentianflow/gentianflow/internal/upstream"
)

// link is what a fake network does with connections.
type link int

const (
	works link = iota
	hangs
	refusesAll
)

// network is a fake network to the servers, directly and through another host. mu guards the fields
// below it.
type network struct {
	mu               sync.Mutex
	direct, tunneled link
	delay            time.Duration // of direct connections that work
	dials, tunnels   int
	hangFirst        int // so many direct connections hang before the others
	reached          []string
	lost             []bool
}

func (n *network) dial(ctx context.Context, _ string) (net.Conn, error) {
	n.mu.Lock()
	n.dials++
	l, delay := n.direct, n.delay
	if n.dials <= n.hangFirst {
		l = hangs
	}
	n.mu.Unlock()
	switch l {
	case hangs:
		<-ctx.Done()
		return nil, os.ErrDeadlineExceeded
	case refusesAll:
		return nil, syscall.ECONNREFUSED
	}
	time.Sleep(delay)
	a, _ := net.Pipe()
	return a, nil
}

// Open implements Tunnels.
func (n *network) Open(ctx context.Context, r TunnelRequest) (net.Conn, string, PeerResults) {
	n.mu.Lock()
	n.tunnels++
	l := n.tunneled
	n.mu.Unlock()
	switch l {
	case hangs:
		select {
		case <-ctx.Done():
		case <-time.After(r.Timeout):
		}
		return nil, "", PeerResults{Unreachable: 2, Asked: 2}
	case refusesAll:
		return nil, "", PeerResults{Refused: 2, Asked: 2}
	}
	if r.Check {
		return nil, "other", PeerResults{Reached: true, Asked: 1}
	}
	a, _ := net.Pipe()
	return a, "other", PeerResults{Reached: true, Asked: 1}
}

// Service implements Servers: the first letter of a server's name.
func (n *network) Service(server string) string { return server[:1] }

// Others implements Servers.
func (n *network) Others(server string, _ int) []upstream.Server {
	return []upstream.Server{serverNamed(server[:1] + " other")}
}

// PathsLost implements Observer.
func (n *network) PathsLost(lost bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.lost = append(n.lost, lost)
}

// ServerReached implements Observer.
func (n *network) ServerReached(server string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.reached = append(n.reached, server)
}

func (n *network) set(direct, tunneled link) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.direct, n.tunneled = direct, tunneled
}

func (n *network) counts() (dials, tunnels int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.dials, n.tunnels
}

func newConnector(n *network) *Connector {
	events := event.NewRecorder("h", "i", 64, log.NewNopLogger())
	c := NewConnector(upstream.NewPool(n.dial), n, n, n, events)
	ctx, stop := context.WithCancel(context.Background())
	DeferCleanup(stop)
	go c.Run(ctx)
	return c
}

func serverNamed(id string) upstream.Server { return upstream.Server{ID: id, Address: id} }

const dialTimeout = 60 * time.Millisecond

// timed opens a connection and returns how long that took.
func timed(c *Connector, server string) (via string, took time.Duration, err error) {
	begin := time.Now()
	_, via, err = c.Get(context.Background(), serverNamed(server), dialTimeout)
	return via, time.Since(begin), err
}

var _ = Describe("a connection to a server", func() {
	// Tunnels that are opened without need cost connections at the servers.
	It("uses the own path alone while that works", func() {
		n := &network{delay: 5 * time.Millisecond}
		c := newConnector(n)
		for range 10 {
			via, _, err := timed(c, "a")
			Expect(err).NotTo(HaveOccurred())
			Expect(via).To(BeEmpty())
		}
		_, tunnels := n.counts()
		Expect(tunnels).To(BeZero())
	})

	DescribeTable("goes through another host if the own path fails, and the next one at once",
		func(how link) {
			n := &network{}
			n.set(how, works)
			c := newConnector(n)
			via, took, err := timed(c, "a")
			Expect(err).NotTo(HaveOccurred())
			Expect(via).To(Equal("other"))
			Expect(took).To(BeNumerically("<", dialTimeout))
			Eventually(func() bool { return c.Usable("a") }).Should(BeFalse())
			before, _ := n.counts()
			for range 5 {
				via, took, err = timed(c, "a")
				Expect(err).NotTo(HaveOccurred())
				Expect(via).To(Equal("other"))
				Expect(took).To(BeNumerically("<", directStart))
			}
			after, _ := n.counts()
			Expect(after-before).To(BeNumerically("<=", 1), "callers' requests are not used to probe a path")
		},
		Entry("it hangs", hangs),
		Entry("it refuses", refusesAll),
	)

	// A request for a dead server would wait for all that other hosts find.
	It("fails soon after its time if a server answers nobody, and the verdict follows", func() {
		n := &network{}
		n.set(hangs, hangs)
		c := newConnector(n)
		_, took, err := timed(c, "a")
		var failed *Failed
		Expect(errors.As(err, &failed)).To(BeTrue())
		Expect(took).To(BeNumerically("<", dialTimeout+lateTime+20*time.Millisecond))
		Expect(failed.Verdict()).To(Equal(Unreachable))
		Expect(c.Usable("a")).To(BeTrue(), "the path is not at fault")
	})

	It("fails at once if the server refuses all hosts", func() {
		n := &network{}
		n.set(refusesAll, refusesAll)
		c := newConnector(n)
		_, took, err := timed(c, "a")
		var failed *Failed
		Expect(errors.As(err, &failed)).To(BeTrue())
		Expect(failed.Verdict()).To(Equal(Ended))
		Expect(took).To(BeNumerically("<", directStart))
	})

	It("does not wait for its caller who has left", func() {
		n := &network{}
		n.set(hangs, hangs)
		c := newConnector(n)
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Millisecond)
		defer cancel()
		begin := time.Now()
		_, _, err := c.Get(ctx, serverNamed("a"), time.Second)
		Expect(err).To(HaveOccurred())
		Expect(time.Since(begin)).To(BeNumerically("<", 100*time.Millisecond))
	})

	It("uses the own path again once probes have succeeded", func() {
		n := &network{}
		n.set(refusesAll, works)
		c := newConnector(n)
		_, _, _ = timed(c, "a")
		Expect(c.Usable("a")).To(BeFalse())
		n.set(works, works)
		Eventually(func() bool { return c.Usable("a") }).WithTimeout(3 * time.Second).Should(BeTrue())
		via, _, err := timed(c, "a")
		Expect(err).NotTo(HaveOccurred())
		Expect(via).To(BeEmpty())
	})
})

var _ = Describe("a host without paths", func() {
	It("says so after two servers and a second, goes through other hosts to all, and says when it has one again", func() {
		n := &network{}
		n.set(hangs, works)
		c := newConnector(n)
		for _, server := range []string{"a", "b"} {
			_, _, err := timed(c, server)
			Expect(err).NotTo(HaveOccurred())
		}
		Eventually(func() bool { _, cut := c.LostPaths(); return cut }).WithTimeout(2 * time.Second).Should(BeTrue())
		before, _ := n.counts()
		via, took, err := timed(c, "never tried")
		Expect(err).NotTo(HaveOccurred())
		Expect(via).To(Equal("other"))
		Expect(took).To(BeNumerically("<", directStart))
		after, _ := n.counts()
		Expect(after - before).To(BeNumerically("<=", 1))
		n.set(works, works)
		Eventually(func() bool { return c.Usable("never tried") }).WithTimeout(3 * time.Second).Should(BeTrue())
		n.mu.Lock()
		defer n.mu.Unlock()
		Expect(n.lost).To(Equal([]bool{true, false}))
	})
})

var _ = Describe("a server that no host reaches", func() {
	// The ejection of a server that was silent for a second lasts longer than its silence.
	It("is reported as soon as it answers again", func() {
		n := &network{}
		n.set(hangs, hangs)
		c := newConnector(n)
		_, _, err := timed(c, "a")
		var failed *Failed
		Expect(errors.As(err, &failed)).To(BeTrue())
		Expect(failed.Verdict()).To(Equal(Unreachable))
		n.set(works, works)
		Eventually(func() []string {
			n.mu.Lock()
			defer n.mu.Unlock()
			return n.reached
		}).WithTimeout(2 * time.Second).Should(Equal([]string{"a"}))
	})
})

var _ = Describe("a path over which a server answers again", func() {
	// A server that pauses for a moment answers the tunnel's host, which tries later than this one.
	It("is not lost", func() {
		n := &network{hangFirst: 1}
		c := newConnector(n)
		Expect(c.Check(context.Background(), serverNamed("a"))).To(Equal(Reached))
		n.mu.Lock()
		n.hangFirst = n.dials + 1
		n.mu.Unlock()
		via, _, err := timed(c, "a")
		Expect(err).NotTo(HaveOccurred())
		Expect(via).To(Equal("other"))
		Consistently(func() bool { return c.Usable("a") }).WithTimeout(2 * dialTimeout).Should(BeTrue())
	})
})

var _ = Describe("checks after broken connections", func() {
	// All streams at a server break together, and each would connect to it again.
	It("of one server at the same time are one", func() {
		n := &network{}
		n.set(hangs, works)
		c := newConnector(n)
		var checks sync.WaitGroup
		for range 50 {
			checks.Go(func() {
				defer GinkgoRecover()
				Expect(c.Check(context.Background(), serverNamed("a"))).To(Equal(PathLost))
			})
		}
		checks.Wait()
		dials, tunnels := n.counts()
		Expect(dials).To(BeNumerically("<=", 2))
		Expect(tunnels).To(Equal(1))
	})
})

var _ = Describe("a host that is asked about a server", func() {
	// Hosts that have lost their links to one service would report its servers as unreachable, since they
	// reach those of others.
	It("confirms a failure only if it reaches others of the same service", func() {
		n := &network{}
		c := newConnector(n)
		begun := time.Now()
		_, err := c.Connect(context.Background(), serverNamed("plain"))
		Expect(err).NotTo(HaveOccurred())
		n.set(hangs, works)
		Expect(c.ReachesOthers(context.Background(), serverNamed("plain 2"), begun)).To(BeTrue())
		Expect(c.ReachesOthers(context.Background(), serverNamed("engine"), begun)).To(BeFalse())
		n.set(works, works)
		Expect(c.ReachesOthers(context.Background(), serverNamed("engine"), begun)).To(BeTrue())
	})

	// Hosts of a zone lose their links at the same moment and would confirm each other's failures, as each
	// reached servers just before: sound servers would count as ended under their requests.
	It("confirms a failure only if it reaches others after it began to connect itself", func() {
		n := &network{}
		c := newConnector(n)
		_, err := c.Connect(context.Background(), serverNamed("plain"))
		Expect(err).NotTo(HaveOccurred())
		n.set(refusesAll, works)
		Expect(c.ReachesOthers(context.Background(), serverNamed("plain 2"), time.Now())).To(BeFalse())
	})
})
