package test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/gentianflow/gentianflow/internal/config"
	"github.com/gentianflow/gentianflow/internal/history"
	"github.com/gentianflow/gentianflow/internal/platform"
)

// leaves notes when a source first said that a server leaves.
func (f *fleet) leaves(source, server string) {
	f.log.Add(history.Event{Kind: history.Leaves, Source: source, Server: server})
}

var _ = Describe("a backend server that leaves", func() {
	// Story: an engine is taken out for repair; a parent's chat is sent to it
	// seconds later and lost with it. Cause: each host learns of the leaving
	// at another time, and a paused host may hold grants for it.
	It("gets nothing new after the operators say so, though a holder was paused", func() {
		f := newFleet(fleetOptions{hosts: 4, engines: 3, speed: 1})
		f.burst(60, 6*time.Second, func() {
			time.Sleep(1500 * time.Millisecond)
			paused := f.other(f.homeOf(modelService), f.running()[0])
			paused.pause()
			d := f.doc
			d.Services = append([]config.Service(nil), d.Services...)
			d.Services[0].BackendServers = append([]config.BackendServer(nil), d.Services[0].BackendServers...)
			d.Services[0].BackendServers[1].State = config.ServerLeaving
			f.apply(d)
			f.leaves("operator", f.engines[1].name)
			time.Sleep(3500 * time.Millisecond)
			paused.resume()
		})
		f.keepsPromises()
		Expect(f.startsAt(f.engines[1].name)).To(BeNumerically(">", 0))
	})

	It("gets nothing new after its own report or the lagging host list says so, though the home dies", func() {
		f := newFleet(fleetOptions{hosts: 4, engines: 3, speed: 1, hostLag: 500 * time.Millisecond})
		f.burst(60, 7*time.Second, func() {
			time.Sleep(time.Second)
			f.engines[0].engine.SetDraining(true)
			f.platform.SetHosts([]platform.Host{{Name: "x", Kind: platform.BackendHost, Address: f.engines[1].relay.address(), State: platform.HostLeaving}})
			// The load report and the list lag themselves; a source knows once
			// it can be read.
			time.Sleep(500 * time.Millisecond)
			f.leaves("load report", f.engines[0].name)
			f.leaves("host list", f.engines[1].name)
			f.homeOf(modelService).kill()
		})
		f.keepsPromises()
		Expect(f.startsAt(f.engines[2].name)).To(BeNumerically(">", 50))
	})
})

func (f *fleet) startsAt(server string) int {
	n := 0
	for _, e := range f.log.Events() {
		if e.Kind == history.Started && e.Server == server {
			n++
		}
	}
	return n
}

var _ = Describe("a graceful shutdown of entry hosts", func() {
	// Story: operators replace hosts in the middle of the day. A reader
	// report that runs for seconds must not be cut off, and callers that
	// still have the address must be served while their look-up is valid.
	It("cuts nothing off when one host, the home, drains in a burst", func() {
		f := newFleet(fleetOptions{hosts: 4, engines: 2, speed: 0.5})
		var h *host
		f.burst(40, 4*time.Second, func() {
			time.Sleep(1500 * time.Millisecond)
			h = f.homeOf(modelService)
			h.drain()
		})
		f.keepsPromises()
		Expect(f.told("unknown")).To(BeZero())
		Eventually(h.session, 20*time.Second).Should(exited(0))
	})

	It("cuts nothing off when two hosts drain at once", func() {
		f := newFleet(fleetOptions{hosts: 5, engines: 2, speed: 0.5})
		var a, b *host
		f.burst(40, 4*time.Second, func() {
			time.Sleep(1500 * time.Millisecond)
			a = f.homeOf(modelService)
			b = f.other(a)
			a.drain()
			b.drain()
		})
		f.keepsPromises()
		Expect(f.told("unknown")).To(BeZero())
		Eventually(a.session, 20*time.Second).Should(exited(0))
		Eventually(b.session, 20*time.Second).Should(exited(0))
	})

	It("keeps every promise when one host drains and another is killed", func() {
		f := newFleet(fleetOptions{hosts: 5, engines: 2, speed: 0.5})
		f.burst(40, 4*time.Second, func() {
			time.Sleep(1500 * time.Millisecond)
			home := f.homeOf(modelService)
			home.drain()
			time.Sleep(300 * time.Millisecond)
			f.other(home).kill()
		})
		f.keepsPromises()
	})
})

var _ = Describe("overload", func() {
	// Story: a burst at several times the capacity arrives, and the host that
	// keeps the queue dies in the middle of it. Digests wait in some hosts
	// while chats are turned away at others. Cause: a queue for each host.
	DescribeTable("sheds lower tiers first over all hosts",
		func(during func(*fleet)) {
			f := newFleet(fleetOptions{hosts: 4, engines: 2, speed: 0.5, slots: 4, waiting: 30})
			f.burst(150, 4*time.Second, func() {
				time.Sleep(2 * time.Second)
				during(f)
			})
			f.keepsPromises()
			Expect(f.told("not run")).To(BeNumerically(">", 50), "it was an overload")
			Expect(f.told("answered")).To(BeNumerically(">", 100))
		},
		Entry("in a burst", func(*fleet) {}),
		Entry("while the home is killed", func(f *fleet) { f.homeOf(modelService).kill() }),
	)
})
