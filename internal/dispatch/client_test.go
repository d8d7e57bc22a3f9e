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

// hostOf runs a loop with servers of one service and the client of its host.
func hostOf(leaving func(string) bool, servers ...string) (*Client, *Loop) {
	events := event.NewRecorder("h", "i", 64, log.NewNopLogger())
	var c *Client
	loop := NewLoop(sched.DefaultPolicy(), events, func(out []sched.Decision) { c.DeliverLocal(out) })
	c = NewClient(self, "z", loop, listed(leaving), events)
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

func ask() *Ask {
	now := time.Now()
	return &Ask{Service: "svc", Arrived: now, Aim: now.Add(time.Second), Deadline: now.Add(2 * time.Second)}
}

func never(string) bool { return false }

// listed is a list of servers that is always fresh, told by who leaves.
type listed func(server string) bool

func (l listed) Leaving(server string) bool { return l(server) }

func (l listed) Age() time.Duration { return 0 }

var _ = Describe("asking for a place", func() {
	It("gets one, and the next waits until it is finished", func() {
		c, _ := hostOf(never, "a")
		first, err := c.Acquire(context.Background(), ask())
		Expect(err).NotTo(HaveOccurred())
		Expect(first.Server).To(Equal("a"))
		second := make(chan error, 1)
		go func() {
			_, err := c.Acquire(context.Background(), ask())
			second <- err
		}()
		Consistently(second, "50ms").ShouldNot(Receive())
		c.Finish(first.ID, sched.OK, time.Millisecond, 0)
		Eventually(second).Should(Receive(BeNil()))
	})

	It("is refused with a reason when nothing has room in time", func() {
		c, _ := hostOf(never)
		_, err := c.Acquire(context.Background(), ask())
		var refused *Refused
		Expect(errors.As(err, &refused)).To(BeTrue())
		Expect(refused.Reason).To(Equal(sched.NoServer))
		Expect(refused.RetryAfter).To(BeNumerically(">", 0))
	})

	It("takes the ask back when its caller leaves", func() {
		c, loop := hostOf(never, "a")
		_, err := c.Acquire(context.Background(), ask())
		Expect(err).NotTo(HaveOccurred())
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		_, err = c.Acquire(ctx, ask())
		Expect(err).To(HaveOccurred())
		waiting := -1
		loop.Query(context.Background(), func(s *sched.Scheduler) { waiting = s.Waiting() })
		Expect(waiting).To(BeZero())
	})

	// A parent's confirmation goes to a service copy that has shut down and is
	// lost. The home had been cut off from the store and went on placing there
	// for seconds after the copy had said that it leaves; the holder had read
	// that it does.
	It("does not use a place at a server that this host knows to leave", func() {
		var gone atomic.Bool
		gone.Store(true)
		c, _ := hostOf(func(id string) bool { return id == "a" && gone.Load() }, "a", "b")
		place, err := c.Acquire(context.Background(), ask())
		Expect(err).NotTo(HaveOccurred())
		Expect(place.Server).To(Equal("b"))
	})
})
