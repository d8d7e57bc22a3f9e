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

// watchVersions records the version that each host has in force until stop is
// called.
func (f *fleet) watchVersions() (stop func()) {
	done := make(chan struct{})
	var wg sync.WaitGroup
	wg.Go(func() {
		for {
			for _, h := range f.running() {
				if s, err := h.status(); err == nil && s.Version > 0 {
					e := history.Event{Kind: history.InForce, Source: h.name + "/" + h.incarnation, Version: s.Version}
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
		wg.Wait()
	}
}

// changedDocument returns the initial document with a limit that depends on n.
func (f *fleet) changedDocument(n int) config.Document {
	d := f.doc
	d.Rules.Limits.Waiting = 1000 + n
	return d
}

var _ = Describe("an accepted configuration", func() {
	// Operators change the configuration at the same time through different hosts.
	// Each must get either acceptance or a conflict that shows both sides; two
	// changes must never be accepted on the same base version.
	It("comes from exactly one of several concurrent operators and never reverts", func() {
		f := newFleet(fleetOptions{hosts: 4, engines: 1, speed: 1})
		stop := f.watchVersions()
		for round := range 5 {
			var wg sync.WaitGroup
			var mu sync.Mutex
			accepted, conflicts := 0, 0
			for i, h := range f.hosts {
				wg.Go(func() {
					defer GinkgoRecover()
					_, err := f.propose(h, f.changedDocument(round*10+i), f.version, fmt.Sprintf("race-%d-%d", round, i))
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
			wg.Wait()
			Expect(accepted).To(Equal(1))
			Expect(conflicts).To(Equal(3))
			f.version++
			f.eventuallyInForce(f.version)
		}
		stop()
		f.checkHistory()
	})

	// The store applies a change and its answer is lost. The retry must neither
	// report a conflict with the change itself nor apply it twice.
	It("is accepted once although the store's answer was lost", func() {
		f := newFleet(fleetOptions{hosts: 3, engines: 1, speed: 1})
		stop := f.watchVersions()
		f.platform.SetFaults(standin.PlatformFaults{LoseAnswers: 1})
		f.apply(f.changedDocument(1))
		Expect(f.version).To(Equal(uint64(2)))
		f.eventuallyInForce(2)
		Expect(f.hosts[0].timeline(event.ConfigInDoubt)).To(HaveLen(1))
		stop()
		f.checkHistory()
	})

	// The store goes down right after one host accepted a change. The other hosts
	// must still receive it, and a host that starts during the outage must not serve
	// an older configuration or none.
	It("spreads through peers while the store is down, to a restarted host too", func() {
		f := newFleet(fleetOptions{hosts: 4, engines: 1, speed: 1})
		stop := f.watchVersions()
		f.apply(f.changedDocument(1))
		f.platform.SetFaults(standin.PlatformFaults{TableDown: true, ObjectsDown: true, HostsDown: true})
		f.eventuallyInForce(f.version)
		f.hosts[3].kill()
		f.hosts = append(f.hosts, f.startHost(4))
		f.eventuallyInForce(f.version)
		stop()
		f.checkHistory()
	})

	// One host loses the store, another its peers, a third both. The first two must
	// follow each change; the third must refuse requests as isolated.
	It("reaches hosts disconnected from the store or from peers, and isolates one disconnected from both", func() {
		f := newFleet(fleetOptions{hosts: 4, engines: 1, speed: 1, relays: true})
		stop := f.watchVersions()
		noStore, noPeers, isolated := f.hosts[1], f.hosts[2], f.hosts[3]
		f.store.block(noStore.ip)
		f.store.block(isolated.ip)
		for _, h := range f.hosts {
			for _, partitioned := range []*host{noPeers, isolated} {
				if h != partitioned {
					h.relay.block(partitioned.ip)
					partitioned.relay.block(h.ip)
				}
			}
		}
		Eventually(func() int { return len(isolated.timeline(event.HostIsolated)) }, 15*time.Second, 100*time.Millisecond).Should(Equal(1))
		f.apply(f.changedDocument(1))
		for _, h := range []*host{f.hosts[0], noStore, noPeers} {
			Eventually(func() uint64 {
				s, _ := h.status()
				return s.Version
			}, 6*time.Second, 50*time.Millisecond).Should(Equal(f.version), h.name)
		}
		result := attempt{f: f, id: f.newRequestID(isolated), number: 1, tokens: 5, tier: 2}.send(GinkgoT().Context(), isolated)
		Expect(result.Outcome).To(Equal(failure.NotRun))
		Expect(result.Reason).To(Equal(failure.Isolated))
		Expect(noStore.timeline(event.HostIsolated)).To(BeEmpty())
		Expect(noPeers.timeline(event.HostIsolated)).To(BeEmpty())
		f.store.unblock(isolated.ip)
		Eventually(func() uint64 {
			s, _ := isolated.status()
			return s.Version
		}, 6*time.Second, 50*time.Millisecond).Should(Equal(f.version))
		stop()
		f.checkHistory()
	})

	// An operator removes a service that has waiting and running requests. Running
	// requests must complete; waiting ones must be refused as not run.
	It("refuses waiting requests and completes running ones when a service is removed", func() {
		f := newFleet(fleetOptions{hosts: 3, engines: 1, speed: 0.3, maxSequences: 2})
		f.burst(40, 2*time.Second, func() {
			time.Sleep(1500 * time.Millisecond)
			d := f.doc
			d.Services = d.Services[1:]
			d.ClientAccounts = append([]config.ClientAccount(nil), d.ClientAccounts...)
			d.ClientAccounts[0].Services = []string{plainService}
			d.Rules.RequestKinds = d.Rules.RequestKinds[:2]
			f.apply(d)
		})
		f.checkHistory()
		Expect(f.outcomesByReason()).To(HaveKey(ContainSubstring("not run removed")))
		Expect(f.countOutcome("unknown")).To(BeZero())
	})
})

var _ = Describe("gentianctl", func() {
	It("applies and shows configurations, explains conflicts and reports where a version is in force", func() {
		f := newFleet(fleetOptions{hosts: 3, engines: 1, speed: 1})
		run := func(args ...string) (string, int) {
			s, err := gexec.Start(exec.Command(gentianctl, append([]string{"--admin", f.hosts[1].adminAddr}, args...)...), nil, nil)
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
