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

// pickups confirms n pickups, each key through two hosts at once.
func (f *fleet) pickups(from, n int) {
	clients := []*caller.Client{f.client(plainService, f.hosts[0]), f.client(plainService, f.hosts[1])}
	var all sync.WaitGroup
	for i := range n {
		for _, c := range clients {
			all.Go(func() {
				req := &caller.Request{Kind: "pickup", Path: "pickup", Body: []byte("{}"), Key: fmt.Sprintf("locker-%d", from+i), Deadline: 8 * time.Second}
				_, _ = c.Do(context.Background(), req) // the word is in the history
			})
		}
		time.Sleep(5 * time.Millisecond)
	}
	all.Wait()
}

var _ = Describe("non-idempotent requests", func() {
	// Story: two phones of a family confirm the same pickup at once through
	// two hosts while the platform's table misbehaves. Two families must not
	// turn up for one coat. Cause: a claim can take effect while its answer
	// is lost, and its owner then does not know.
	DescribeTable("run at most once for a key",
		func(faults standin.PlatformFaults) {
			f := newFleet(fleetOptions{hosts: 3, engines: 1, speed: 1})
			f.pickups(0, 30)
			f.platform.SetFaults(faults)
			f.pickups(30, 60)
			f.platform.SetFaults(standin.PlatformFaults{})
			f.pickups(90, 30)
			f.keepsPromises()
			Expect(f.told("answered")).To(BeNumerically(">=", 120))
		},
		Entry("with a sound table", standin.PlatformFaults{}),
		Entry("with the table down", standin.PlatformFaults{TableDown: true}),
		Entry("with a slow table", standin.PlatformFaults{SlowMS: 300}),
		Entry("with answers lost", standin.PlatformFaults{LoseAnswers: 20}),
	)

	// Story: the host that confirms a pickup dies right after it claimed, and
	// the home with it; the phone resends through a third host.
	It("run at most once when holder and home die together", func() {
		f := newFleet(fleetOptions{hosts: 5, engines: 1, speed: 1})
		f.burst(5, 3*time.Second, func() {
			time.Sleep(1500 * time.Millisecond)
			home := f.homeOf(plainService)
			holder := f.other(home)
			home.kill()
			holder.kill()
		})
		f.keepsPromises()
	})

	// Story: the table is down. Callers of pickups are told at once that
	// nothing ran and when to come back; plain look-ups go on.
	It("are refused as not run, at once, while the table is down", func() {
		f := newFleet(fleetOptions{hosts: 3, engines: 1, speed: 1})
		f.platform.SetFaults(standin.PlatformFaults{TableDown: true})
		c := f.client(plainService)
		_, err := c.Do(context.Background(), &caller.Request{Kind: "pickup", Path: "pickup", Body: []byte("{}"), Key: "k"})
		var fail *caller.Failure
		Expect(err).To(BeAssignableToTypeOf(fail))
		fail = err.(*caller.Failure)
		Expect(fail.NotRun()).To(BeTrue())
		Expect(fail.RetryAfter).To(BeNumerically(">", 0))
		_, err = c.Do(context.Background(), &caller.Request{Kind: "match", Path: "match", Body: []byte("{}")})
		Expect(err).NotTo(HaveOccurred())
		f.platform.SetFaults(standin.PlatformFaults{})
		_, err = c.Do(context.Background(), &caller.Request{Kind: "pickup", Path: "pickup", Body: []byte("{}"), Key: "k"})
		Expect(err).NotTo(HaveOccurred(), "the same key runs once the table is back")
		f.keepsPromises()
		starts := 0
		for _, e := range f.log.Events() {
			if e.Kind == history.Started {
				starts++
			}
		}
		Expect(starts).To(Equal(2))
	})
})
