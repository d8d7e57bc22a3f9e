package test

import (
	"fmt"
	"os/exec"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/gexec"
	"github.com/onsi/gomega/types"

	"github.com/gentianflow/gentianflow/internal/config"
	"github.com/gentianflow/gentianflow/internal/event"
	"github.com/gentianflow/gentianflow/internal/failure"
	"github.com/gentianflow/gentianflow/internal/history"
	"github.com/gentianflow/gentianflow/internal/standin"
)

func exited(code int) types.GomegaMatcher { return gexec.Exit(code) }

// watchVersions records which version each host has in force, until stop.
func (f *fleet) watchVersions() (stop func()) {
	done := make(chan struct{})
	var all sync.WaitGroup
	all.Go(func() {
		for {
			for _, h := range f.running() {
				if s, err := h.status(); err == nil && s.Version > 0 {
					e := history.Event{Kind: history.InForce, Source: h.name + "/" + h.inc, Version: s.Version}
					if len(h.timeline(event.HostIsolated)) > 0 {
						e.Reason = failure.Isolated
					}
					f.log.Add(e)
				}
			}
			select {
			case <-done:
				return
			case <-time.After(50 * time.Millisecond):
			}
		}
	})
	return func() {
		close(done)
		all.Wait()
	}
}

func (f *fleet) changed(n int) config.Document {
	d := f.doc
	d.Rules.Limits.Waiting = 1000 + n
	return d
}

var _ = Describe("an accepted configuration", func() {
	// Story: two operators change the inventory at the same second through
	// different hosts. Each is told "accepted" or a conflict with both sides;
	// two must never be accepted on one base.
	It("is one of the racing operators' and never reverts", func() {
		f := newFleet(fleetOptions{hosts: 4, engines: 1, speed: 1})
		stop := f.watchVersions()
		for round := range 5 {
			var all sync.WaitGroup
			var mu sync.Mutex
			accepted, conflicts := 0, 0
			for i, h := range f.hosts {
				all.Go(func() {
					defer GinkgoRecover()
					_, err := f.propose(h, f.changed(round*10+i), f.version, fmt.Sprintf("race-%d-%d", round, i))
					mu.Lock()
					defer mu.Unlock()
					if err == nil {
						accepted++
						return
					}
					conflicts++
					Expect(err.Error()).To(ContainSubstring("conflict"))
					Expect(err.Error()).To(ContainSubstring("from theirs to yours"))
				})
			}
			all.Wait()
			Expect(accepted).To(Equal(1))
			Expect(conflicts).To(Equal(3))
			f.version++
			f.eventuallyInForce(f.version)
		}
		stop()
		f.keepsPromises()
	})

	// Story: the store takes a change and its answer is lost; the operator's
	// tool must not report a conflict with itself, nor apply it twice.
	It("is accepted once although the store's answer was lost", func() {
		f := newFleet(fleetOptions{hosts: 3, engines: 1, speed: 1})
		stop := f.watchVersions()
		f.platform.SetFaults(standin.PlatformFaults{LoseAnswers: 1})
		f.apply(f.changed(1))
		Expect(f.version).To(Equal(uint64(2)))
		f.eventuallyInForce(2)
		Expect(f.hosts[0].timeline(event.ConfigInDoubt)).To(HaveLen(1))
		stop()
		f.keepsPromises()
	})

	// Story: the store goes down right after a change was accepted on one
	// host; the others must still get it. A host that starts in the outage
	// must not serve an older one, or none.
	It("spreads by peers while the store is down, to a restarted host too", func() {
		f := newFleet(fleetOptions{hosts: 4, engines: 1, speed: 1})
		stop := f.watchVersions()
		f.apply(f.changed(1))
		f.platform.SetFaults(standin.PlatformFaults{TableDown: true, ObjectsDown: true, HostsDown: true})
		f.eventuallyInForce(f.version)
		f.hosts[3].kill()
		f.hosts = append(f.hosts, f.startHost(4))
		f.eventuallyInForce(f.version)
		stop()
		f.keepsPromises()
	})

	// Story: one host loses the store but not its peers, another loses its
	// peers but not the store, a third loses both. The first two must follow
	// each change; the third must stop taking requests and say so.
	It("reaches hosts cut off from the store or from peers, and isolates one cut off from both", func() {
		f := newFleet(fleetOptions{hosts: 4, engines: 1, speed: 1, relays: true})
		stop := f.watchVersions()
		noStore, noPeers, alone := f.hosts[1], f.hosts[2], f.hosts[3]
		f.store.block(noStore.ip)
		f.store.block(alone.ip)
		for _, h := range f.hosts {
			for _, cut := range []*host{noPeers, alone} {
				if h != cut {
					h.relay.block(cut.ip)
					cut.relay.block(h.ip)
				}
			}
		}
		Eventually(func() int { return len(alone.timeline(event.HostIsolated)) }, 15*time.Second, 100*time.Millisecond).Should(Equal(1))
		f.apply(f.changed(1))
		for _, h := range []*host{f.hosts[0], noStore, noPeers} {
			Eventually(func() uint64 {
				s, _ := h.status()
				return s.Version
			}, 6*time.Second, 50*time.Millisecond).Should(Equal(f.version), h.name)
		}
		word := attempt{f: f, id: f.mint(alone), number: 1, tokens: 5, tier: 2}.send(GinkgoT().Context(), alone)
		Expect(word.Outcome).To(Equal(failure.NotRun))
		Expect(word.Reason).To(Equal(failure.Isolated))
		Expect(noStore.timeline(event.HostIsolated)).To(BeEmpty())
		Expect(noPeers.timeline(event.HostIsolated)).To(BeEmpty())
		f.store.unblock(alone.ip)
		Eventually(func() uint64 {
			s, _ := alone.status()
			return s.Version
		}, 6*time.Second, 50*time.Millisecond).Should(Equal(f.version))
		stop()
		f.keepsPromises()
	})

	// Story: an operator removes a service while requests wait for it and run
	// in it. What runs must end whole; what waits must be told not run.
	It("ends what waits and finishes what runs when a service is removed", func() {
		f := newFleet(fleetOptions{hosts: 3, engines: 1, speed: 0.3, slots: 2})
		f.burst(40, 2*time.Second, func() {
			time.Sleep(1500 * time.Millisecond)
			d := f.doc
			d.Services = d.Services[1:]
			d.ClientAccounts = append([]config.ClientAccount(nil), d.ClientAccounts...)
			d.ClientAccounts[0].Services = []string{plainService}
			d.Rules.RequestKinds = d.Rules.RequestKinds[:2]
			f.apply(d)
		})
		f.keepsPromises()
		Expect(f.reasons()).To(HaveKey(ContainSubstring("not run removed")))
		Expect(f.told("unknown")).To(BeZero())
	})
})

var _ = Describe("gentianctl", func() {
	It("applies, shows, explains conflicts and tells where it is in force", func() {
		f := newFleet(fleetOptions{hosts: 3, engines: 1, speed: 1})
		run := func(args ...string) (string, int) {
			s, err := gexec.Start(exec.Command(gentianctl, append([]string{"--admin", f.hosts[1].admin}, args...)...), nil, nil)
			Expect(err).NotTo(HaveOccurred())
			Eventually(s, 20*time.Second).Should(gexec.Exit())
			return string(s.Out.Contents()) + string(s.Err.Contents()), s.ExitCode()
		}
		out, code := run("config", "apply", "--author", "kumi", "../examples/demo.yaml")
		Expect(code).To(BeZero(), out)
		Expect(out).To(ContainSubstring("in force on 3 hosts"))
		out, code = run("config", "apply", "--base", "1", "../examples/tsumugi.yaml")
		Expect(code).To(Equal(3))
		Expect(out).To(ContainSubstring(`version 2 by "kumi"`))
		out, code = run("config", "history")
		Expect(code).To(BeZero())
		Expect(strings.Count(out, "\n")).To(Equal(2))
		_, code = run("config", "check", "suite_test.go")
		Expect(code).To(Equal(2))
		out, code = run("status")
		Expect(code).To(BeZero())
		Expect(out).To(ContainSubstring("config 2"))
		out, code = run("drain", "entry-3")
		Expect(code).To(BeZero(), out)
		Eventually(f.hosts[2].session, 15*time.Second).Should(exited(0))
	})
})
