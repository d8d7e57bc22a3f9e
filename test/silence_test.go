package test

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/gentianflow/gentianflow/caller"
)

var _ = Describe("connections that stop delivering data without closing", func() {
	// A middlebox between host and backend server drops the state of a connection in
	// the middle of an answer. Neither side sees a close, so a read never returns
	// and the caller's stream stalls. The stream must continue over a new
	// connection, without a second start.
	It("resumes streams whose connection to the server went silent", func() {
		f := newFleet(fleetOptions{hosts: 3, engines: 2, speed: 1})
		f.burst(30, 4*time.Second, func() {
			time.Sleep(2 * time.Second)
			Expect(f.engines[0].relay.freezeOpenConns()).To(BeNumerically(">", 0))
			Expect(f.engines[1].relay.freezeOpenConns()).To(BeNumerically(">", 0))
		})
		f.checkHistory()
		Expect(f.startedButUnknown()).To(BeEmpty(), "every stream that had started continues")
		Expect(f.countOutcome("unknown")).To(BeNumerically("<=", 4), "only messages in flight at that moment are lost")
	})

	// A session between two hosts goes silent: the holder receives no more
	// placements, and its callers wait forever although the home has free servers.
	It("replaces silent sessions between hosts", func() {
		f := newFleet(fleetOptions{hosts: 3, engines: 2, speed: 1, relays: true})
		frozen := 0
		f.burst(30, 4*time.Second, func() {
			time.Sleep(2 * time.Second)
			for _, h := range f.hosts {
				frozen += h.relay.freezeOpenConns()
			}
		})
		Expect(frozen).To(BeNumerically(">", 0))
		f.checkHistory()
		Expect(f.countOutcome("unknown")).To(BeZero())
		Expect(f.countOutcome("answered")).To(BeNumerically(">", 150))
	})

	// A caller's connection goes silent while its request waits or runs. The client
	// must detect the missing keep-alives and get the answer from another host.
	It("lets a caller attach to its answer through another host", func() {
		f := newFleet(fleetOptions{hosts: 3, engines: 1, speed: 0.2, maxSequences: 2})
		front := newRelay(f.ip(200), false)
		front.forward(f.hosts[0].callerAddr)
		DeferCleanup(front.close)
		id := f.newRequestID(f.hosts[0])
		ctx, stop := context.WithTimeout(context.Background(), 2500*time.Millisecond)
		defer stop()
		viaFront := *f.hosts[0]
		viaFront.callerAddr = front.address()
		go func() {
			time.Sleep(time.Second)
			front.freezeOpenConns()
		}()
		attempt{f: f, id: id, number: 1, tokens: 60, tier: 2}.send(ctx, &viaFront)
		c := caller.New(caller.Options{Service: modelService, Secret: secret, Hosts: []string{f.hosts[1].callerAddr, f.hosts[2].callerAddr}})
		DeferCleanup(c.Close)
		a, err := c.Attach(context.Background(), id)
		Expect(err).NotTo(HaveOccurred())
		Expect(a.ID).To(Equal(id))
		Expect(len(a.Body)).To(BeNumerically(">", 60*10))
		f.checkHistory()
	})

	// The connections to the table service go silent, and new ones work. A pickup
	// must still be confirmed once instead of being refused forever.
	It("claims over new connections when those to the table went silent", func() {
		f := newFleet(fleetOptions{hosts: 3, engines: 1, speed: 1})
		f.burst(10, 4*time.Second, func() {
			time.Sleep(1500 * time.Millisecond)
			Expect(f.store.freezeOpenConns()).To(BeNumerically(">", 0))
		})
		f.checkHistory()
		Expect(f.countOutcome("answered")).To(BeNumerically(">", 120))
	})
})

var _ = Describe("a backend server that restarts", func() {
	// An engine restarts at the same address in the middle of answers and loses its
	// streams and its cache. Requests that it had started must be reported as
	// unknown: a partial answer must not pass as complete, and no request may be
	// started again elsewhere.
	It("never turns a lost stream into a complete answer or a second start", func() {
		f := newFleet(fleetOptions{hosts: 3, engines: 2, speed: 1})
		f.burst(30, 4*time.Second, func() {
			time.Sleep(2 * time.Second)
			f.engines[1].engine.Restart()
		})
		f.checkHistory()
		Expect(f.countOutcome("unknown")).To(BeNumerically(">", 0), "the engine was running requests when it restarted")
	})
})
