package dispatch

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-kit/log"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/gentianflow/gentianflow/internal/event"
	"github.com/gentianflow/gentianflow/internal/sched"
)

func TestDispatch(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "dispatch")
}

const self = 7

// startHost runs a loop with servers of one service and the client of its host.
func startHost(leaving func(string) bool, servers ...string) (*Client, *Loop) {
	events := event.NewRecorder("h", "i", 64, log.NewNopLogger())
	var c *Client
	loop := NewLoop(sched.DefaultPolicy(), events, func(out []sched.Decision) { c.DeliverLocal(out) })
	c = NewClient(self, "z", loop, serverListFunc(leaving), events)
	loop.Do(func(now sched.Time, s *sched.Scheduler) {
		s.SetServices(now, []sched.Service{{Name: "svc"}})
		var list []sched.Server
		for _, id := range servers {
			list = append(list, sched.Server{ID: id, Service: "svc", Address: id, Slots: 1})
		}
		s.SetServers(now, list)
	})
	ctx, cancel := context.WithCancel(context.Background())
	DeferCleanup(cancel)
	go loop.Run(ctx)
	return c, loop
}

func request() *PlacementRequest {
	now := time.Now()
	return &PlacementRequest{Service: "svc", Arrived: now, LatencyTarget: now.Add(time.Second), Deadline: now.Add(2 * time.Second)}
}

func neverLeaving(string) bool { return false }

// serverListFunc is a ServerList of age 0; the function reports which servers are leaving.
type serverListFunc func(server string) bool

func (l serverListFunc) Leaving(server string) bool { return l(server) }

func (l serverListFunc) Age() time.Duration { return 0 }

var _ = Describe("requesting a placement", func() {
	It("succeeds while a server has room, and waits until a run has finished otherwise", func() {
		c, _ := startHost(neverLeaving, "a")
		first, err := c.Acquire(context.Background(), request())
		Expect(err).NotTo(HaveOccurred())
		Expect(first.Server).To(Equal("a"))
		second := make(chan error, 1)
		go func() {
			_, err := c.Acquire(context.Background(), request())
			second <- err
		}()
		Consistently(second, "50ms").ShouldNot(Receive())
		c.Finish(first.ID, sched.OK, time.Millisecond, 0)
		Eventually(second).Should(Receive(BeNil()))
	})

	It("is refused with a reason if no server has room in time", func() {
		c, _ := startHost(neverLeaving)
		_, err := c.Acquire(context.Background(), request())
		var refused *Refused
		Expect(errors.As(err, &refused)).To(BeTrue())
		Expect(refused.Reason).To(Equal(sched.NoServer))
		Expect(refused.RetryAfter).To(BeNumerically(">", 0))
	})

	It("is withdrawn when the caller leaves", func() {
		c, loop := startHost(neverLeaving, "a")
		_, err := c.Acquire(context.Background(), request())
		Expect(err).NotTo(HaveOccurred())
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		_, err = c.Acquire(ctx, request())
		Expect(err).To(HaveOccurred())
		waiting := -1
		loop.Query(context.Background(), func(s *sched.Scheduler) { waiting = s.Waiting() })
		Expect(waiting).To(BeZero())
	})

	// A home that has lost its connection to the store places at a server for seconds after
	// the server announced its shutdown, and the request is lost. The holder has read the
	// announcement.
	It("does not use a placement at a server that is known to be leaving", func() {
		var leaving atomic.Bool
		leaving.Store(true)
		c, _ := startHost(func(id string) bool { return id == "a" && leaving.Load() }, "a", "b")
		placement, err := c.Acquire(context.Background(), request())
		Expect(err).NotTo(HaveOccurred())
		Expect(placement.Server).To(Equal("b"))
	})
})
