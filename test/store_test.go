package test

import (
	"context"
	"fmt"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/gentianflow/gentianflow/caller"
	"github.com/gentianflow/gentianflow/internal/history"
	"github.com/gentianflow/gentianflow/internal/standin"
)

// sendPickups confirms n pickups, each key through two hosts at once.
func (f *fleet) sendPickups(from, n int) {
	clients := []*caller.Client{f.client(plainService, f.hosts[0]), f.client(plainService, f.hosts[1])}
	var wg sync.WaitGroup
	for i := range n {
		for _, c := range clients {
			wg.Go(func() {
				req := &caller.Request{Kind: "pickup", Path: "pickup", Body: []byte("{}"), Key: fmt.Sprintf("locker-%d", from+i), Deadline: 8 * time.Second}
				_, _ = c.Do(context.Background(), req) // the outcome is in the history
			})
		}
		time.Sleep(5 * time.Millisecond)
	}
	wg.Wait()
}

var _ = Describe("non-idempotent requests", func() {
	// Two clients confirm the same pickup at once through two hosts while the
	// platform's table fails. A host inserts a claim for the key into the table before
	// it dispatches the pickup. A claim can take effect although its answer is lost,
	// so its owner does not know that it succeeded. The pickup must not run twice.
	DescribeTable("run at most once for a key",
		func(faults standin.PlatformFaults) {
			f := newFleet(fleetOptions{hosts: 3, engines: 1, speed: 1})
			f.sendPickups(0, 30)
			f.platform.SetFaults(faults)
			f.sendPickups(30, 60)
			f.platform.SetFaults(standin.PlatformFaults{})
			f.sendPickups(90, 30)
			f.checkHistory()
			Expect(f.countOutcome("answered")).To(BeNumerically(">=", 120))
		},
		Entry("with a healthy table", standin.PlatformFaults{}),
		Entry("with the table down", standin.PlatformFaults{TableDown: true}),
		Entry("with a slow table", standin.PlatformFaults{SlowMS: 300}),
		Entry("with lost answers", standin.PlatformFaults{LoseAnswers: 20}),
	)

	// The host that confirms a pickup dies together with the home right after it
	// claimed the key, and the client resends through a third host.
	It("run at most once when holder and home die together", func() {
		f := newFleet(fleetOptions{hosts: 5, engines: 1, speed: 1})
		f.burst(5, 3*time.Second, func() {
			time.Sleep(1500 * time.Millisecond)
			home := f.homeOf(plainService)
			holder := f.otherHost(home)
			home.kill()
			holder.kill()
		})
		f.checkHistory()
	})

	// While the table is down, pickups must be refused at once as not run, with a
	// time to retry after. Idempotent requests need no claim and continue.
	It("are refused immediately as not run while the table is down", func() {
		f := newFleet(fleetOptions{hosts: 3, engines: 1, speed: 1})
		f.platform.SetFaults(standin.PlatformFaults{TableDown: true})
		c := f.client(plainService)
		_, err := c.Do(context.Background(), &caller.Request{Kind: "pickup", Path: "pickup", Body: []byte("{}"), Key: "k"})
		var callErr *caller.Failure
		Expect(err).To(BeAssignableToTypeOf(callErr))
		callErr = err.(*caller.Failure)
		Expect(callErr.NotRun()).To(BeTrue())
		Expect(callErr.RetryAfter).To(BeNumerically(">", 0))
		_, err = c.Do(context.Background(), &caller.Request{Kind: "match", Path: "match", Body: []byte("{}")})
		Expect(err).NotTo(HaveOccurred())
		f.platform.SetFaults(standin.PlatformFaults{})
		_, err = c.Do(context.Background(), &caller.Request{Kind: "pickup", Path: "pickup", Body: []byte("{}"), Key: "k"})
		Expect(err).NotTo(HaveOccurred(), "the same key runs after the table has recovered")
		f.checkHistory()
		starts := 0
		for _, e := range f.log.Events() {
			if e.Kind == history.Started {
				starts++
			}
		}
		Expect(starts).To(Equal(2))
	})
})
