package test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/gentianflow/gentianflow/internal/config"
	"github.com/gentianflow/gentianflow/internal/history"
	"github.com/gentianflow/gentianflow/internal/platform"
)

// recordLeaving records that a source first reported a server as leaving.
func (f *fleet) recordLeaving(source, server string) {
	f.log.Add(history.Event{Kind: history.Leaves, Source: source, Server: server})
}

var _ = Describe("a backend server that leaves", func() {
	// An engine is removed for repair, and a request that is sent to it seconds later
	// is lost. Hosts learn of the removal at different times, and a paused host may
	// still hold placements for it.
	It("gets no new requests after the operators mark it as leaving, though a holder was paused", func() {
		f := newFleet(fleetOptions{hosts: 4, engines: 3, speed: 1})
		f.burst(60, 6*time.Second, func() {
			time.Sleep(1500 * time.Millisecond)
			paused := f.otherHost(f.homeOf(modelService), f.running()[0])
			paused.pause()
			d := f.doc
			d.Services = append([]config.Service(nil), d.Services...)
			d.Services[0].BackendServers = append([]config.BackendServer(nil), d.Services[0].BackendServers...)
			d.Services[0].BackendServers[1].State = config.ServerLeaving
			f.apply(d)
			f.recordLeaving("operator", f.engines[1].name)
			time.Sleep(3500 * time.Millisecond)
			paused.resume()
		})
		f.checkHistory()
		Expect(f.countStarts(f.engines[1].name)).To(BeNumerically(">", 0))
	})

	It("gets no new requests after its own report or the delayed host list shows that it leaves, though the home dies", func() {
		f := newFleet(fleetOptions{hosts: 4, engines: 3, speed: 1, hostListLag: 500 * time.Millisecond})
		f.burst(60, 7*time.Second, func() {
			time.Sleep(time.Second)
			f.engines[0].engine.SetDraining(true)
			f.platform.SetHosts([]platform.Host{{Name: "x", Kind: platform.BackendHost, Address: f.engines[1].relay.address(), State: platform.HostLeaving}})
			// The load report and the host list show a change late. Hosts cannot know of
			// it before, so record it only then.
			time.Sleep(500 * time.Millisecond)
			f.recordLeaving("load report", f.engines[0].name)
			f.recordLeaving("host list", f.engines[1].name)
			f.homeOf(modelService).kill()
		})
		f.checkHistory()
		Expect(f.countStarts(f.engines[2].name)).To(BeNumerically(">", 50))
	})
})

// countStarts counts the requests that a backend server started.
func (f *fleet) countStarts(server string) int {
	n := 0
	for _, e := range f.log.Events() {
		if e.Kind == history.Started && e.Server == server {
			n++
		}
	}
	return n
}

var _ = Describe("a graceful shutdown of entry hosts", func() {
	// Operators replace hosts under load. An answer that runs for seconds must not be
	// interrupted, and callers that still have the host's address must be served
	// while their lookup result is valid.
	It("interrupts no request when the home drains in a burst", func() {
		f := newFleet(fleetOptions{hosts: 4, engines: 2, speed: 0.5})
		var h *host
		f.burst(40, 4*time.Second, func() {
			time.Sleep(1500 * time.Millisecond)
			h = f.homeOf(modelService)
			h.drain()
		})
		f.checkHistory()
		Expect(f.countOutcome("unknown")).To(BeZero())
		Eventually(h.session, 20*time.Second).Should(exited(0))
	})

	It("interrupts no request when two hosts drain at once", func() {
		f := newFleet(fleetOptions{hosts: 5, engines: 2, speed: 0.5})
		var a, b *host
		f.burst(40, 4*time.Second, func() {
			time.Sleep(1500 * time.Millisecond)
			a = f.homeOf(modelService)
			b = f.otherHost(a)
			a.drain()
			b.drain()
		})
		f.checkHistory()
		Expect(f.countOutcome("unknown")).To(BeZero())
		Eventually(a.session, 20*time.Second).Should(exited(0))
		Eventually(b.session, 20*time.Second).Should(exited(0))
	})

	It("meets all guarantees when one host drains and another is killed", func() {
		f := newFleet(fleetOptions{hosts: 5, engines: 2, speed: 0.5})
		f.burst(40, 4*time.Second, func() {
			time.Sleep(1500 * time.Millisecond)
			home := f.homeOf(modelService)
			home.drain()
			time.Sleep(300 * time.Millisecond)
			f.otherHost(home).kill()
		})
		f.checkHistory()
	})
})

var _ = Describe("overload", func() {
	// A burst of several times the capacity arrives, and in one case the home dies
	// during it. With a separate queue on each host, digests would wait on some hosts
	// while more urgent chats are refused on others.
	DescribeTable("sheds less urgent tiers first across all hosts",
		func(during func(*fleet)) {
			f := newFleet(fleetOptions{hosts: 4, engines: 2, speed: 0.5, maxSequences: 4, maxWaiting: 30})
			f.burst(150, 4*time.Second, func() {
				time.Sleep(2 * time.Second)
				during(f)
			})
			f.checkHistory()
			Expect(f.countOutcome("not run")).To(BeNumerically(">", 50), "the load must exceed the capacity")
			Expect(f.countOutcome("answered")).To(BeNumerically(">", 100))
		},
		Entry("in a burst", func(*fleet) {}),
		Entry("while the home is killed", func(f *fleet) { f.homeOf(modelService).kill() }),
	)
})
