package platform

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/gentianflow/gentianflow/internal/quarantine"
	"github.com/gentianflow/gentianflow/platform"
	"github.com/gentianflow/gentianflow/platform/standin"
)

// configTime is how long after its acknowledgement a configuration may still be missing at a host.
const configTime = 2 * time.Second

// lostVersions is the number of transactions on other tables between the copy and the restore.
const lostVersions = 500

// storeAway is how long the store is away before it comes back from a copy.
const storeAway = 600 * time.Millisecond

// restore makes the store go away and come back from a copy. write is called before the store answers
// any host again; it may be nil. Entries of servers that the copy lacks return with their heartbeats.
func (s *site) restore(c standin.StoreCopy, write func()) {
	s.store.SetDown(true)
	time.Sleep(storeAway)
	s.store.Restore(c)
	if write != nil {
		write()
	}
	s.store.SetDown(false)
}

// changeConfig writes the next version of the configuration.
func (s *site) changeConfig(change func(*standin.Config)) {
	s.config.Version += 3
	change(s.config)
	s.config.Put(s.store)
}

// takeKeyAway removes the key of LowQuotaAccount.
func takeKeyAway(c *standin.Config) {
	c.Tenants = slices.DeleteFunc(slices.Clone(c.Tenants), func(t map[string]any) bool { return t["name"] == standin.LowQuotaAccount })
}

// statusOfKey returns a host's answer to a call with the key of LowQuotaAccount.
func (s *site) statusOfKey(h *host) int {
	return s.send(h, standin.Call{Path: standin.CheckPath + "a", Key: standin.LowQuotaKey}).Status
}

// expectInForce checks that all hosts refuse the key that takeKeyAway removed, configTime after now.
func (s *site) expectInForce() {
	written := time.Now()
	var waits sync.WaitGroup
	for _, h := range s.hosts {
		waits.Go(func() {
			defer GinkgoRecover()
			Eventually(func() int { return s.statusOfKey(h) }).WithTimeout(configTime).WithPolling(50*time.Millisecond).
				Should(Equal(http.StatusUnauthorized), h.name)
		})
	}
	waits.Wait()
	AddReportEntry(fmt.Sprintf("in force on %d hosts after %s", len(s.hosts), time.Since(written)))
}

var _ = Describe("a configuration that follows a restore of the store", func() {
	// The store comes back from a copy and gives out its versions again. If hosts compare those with
	// versions from before, a key that was taken away is accepted for as long as the store needs to
	// pass them.
	DescribeTable("is in force on all hosts in time",
		func(hosts int, during func(s *site, old standin.StoreCopy)) {
			s := newSite(siteOptions{hosts: hosts, apps: 3, largeFirst: true})
			time.Sleep(time.Second)
			old := s.store.Copy()
			time.Sleep(2 * time.Second)
			s.store.Skip(lostVersions)
			s.changeConfig(func(c *standin.Config) { c.Limits["maxBodyBytes"] = 1 << 19 })
			time.Sleep(500 * time.Millisecond)
			during(s, old)
			time.Sleep(2 * time.Second)
			for _, h := range s.hosts {
				Expect(s.statusOfKey(h)).To(Equal(http.StatusOK), h.name)
			}
			s.changeConfig(takeKeyAway)
			s.expectInForce()
		},
		Entry("without a restore", 4, func(*site, standin.StoreCopy) {}),
		Entry("of 4 hosts", 4, func(s *site, old standin.StoreCopy) { s.restore(old, func() { s.config.Put(s.store) }) }),
		Entry("of 12 hosts", 12, func(s *site, old standin.StoreCopy) { s.restore(old, func() { s.config.Put(s.store) }) }),
		Entry("that lost the newest configuration for good", 4, func(s *site, old standin.StoreCopy) { s.restore(old, nil) }),
		Entry("whose versions pass the known ones before a host reads", 4, func(s *site, old standin.StoreCopy) {
			s.restore(old, func() { s.store.Skip(2 * lostVersions) })
		}),
		Entry("with the home killed and started again", 4, func(s *site, old standin.StoreCopy) {
			s.restore(old, func() { s.hosts[0].session.Kill().Wait() })
			s.start(s.hosts[0])
			Eventually(func() int { return s.ready(s.hosts[0]) }).Should(Equal(http.StatusOK))
		}),
		Entry("that comes twice within seconds", 4, func(s *site, old standin.StoreCopy) {
			s.restore(old, func() { s.config.Put(s.store) })
			time.Sleep(2300*time.Millisecond - storeAway)
			s.restore(old, func() { s.config.Put(s.store) })
		}),
		Entry("while hosts stand still", 4, func(s *site, old standin.StoreCopy) {
			s.hosts[0].session.Signal(syscall.SIGSTOP)
			s.hosts[1].session.Signal(syscall.SIGSTOP)
			s.restore(old, func() { s.config.Put(s.store) })
			time.Sleep(time.Second)
			s.hosts[0].session.Signal(syscall.SIGCONT)
			s.hosts[1].session.Signal(syscall.SIGCONT)
		}),
	)

	// The store is away for so short a time that no call fails, and its versions have passed the known
	// ones. Nothing but the era shows the restore.
	It("is in force on all hosts in time if no call to the store failed", func() {
		s := newSite(siteOptions{hosts: 4, apps: 3, largeFirst: true})
		time.Sleep(time.Second)
		old := s.store.Copy()
		s.store.Skip(lostVersions)
		time.Sleep(2 * time.Second) // until hosts know the newest version
		s.config.Version += 3
		takeKeyAway(s.config)
		s.store.RestoreAndSkip(old, 2*lostVersions, standin.Change{Table: "op", Key: "config", Value: s.config})
		s.expectInForce()
	})

	// The copy holds an older configuration than the one in force. A host that applied it would undo
	// a change that the store had acknowledged.
	It("is never an older one than that in force", func() {
		s := newSite(siteOptions{hosts: 4, apps: 3, largeFirst: true})
		old := s.store.Copy()
		time.Sleep(time.Second)
		s.changeConfig(takeKeyAway)
		s.expectInForce()
		s.restore(old, nil)
		for start := time.Now(); time.Since(start) < 3*time.Second; time.Sleep(100 * time.Millisecond) {
			for _, h := range s.hosts {
				Expect(s.statusOfKey(h)).To(Equal(http.StatusUnauthorized), h.name)
			}
		}
		for _, h := range s.hosts {
			Expect(string(h.logged())).To(ContainSubstring(fmt.Sprint("config=", s.config.Version)), h.name)
			Expect(string(h.logged())).To(ContainSubstring("name=store_restored"), h.name)
		}
	})
})

var _ = Describe("servers that leave around a restore of the store", func() {
	// Their words have versions that hosts take for known, or were lost with the copy. If hosts skip them, or
	// believe the copy, the servers get requests until the next whole read, or for good.
	DescribeTable("get no requests after the drain time",
		func(restore func(s *site, old standin.StoreCopy, changes []standin.Change)) {
			s := newSite(siteOptions{hosts: 4, apps: 10, largeFirst: true})
			time.Sleep(time.Second)
			old := s.store.Copy()
			s.store.Skip(lostVersions)
			time.Sleep(2 * time.Second)
			stop := make(chan struct{})
			var load sync.WaitGroup
			for _, h := range s.hosts {
				load.Go(func() { s.sendChecks(h, &load, stop) })
			}
			time.Sleep(500 * time.Millisecond)
			leftAt := map[*standin.Server]time.Time{}
			leave := func(srv *standin.Server, how func(*standin.Server)) {
				how(srv)
				leftAt[srv] = time.Now()
			}
			leave(s.servers[0], (*standin.Server).RemoveEntry) // its entry stays in the copy
			leave(s.servers[1], (*standin.Server).RemoveEntry) // its entry is removed again
			leave(s.servers[2], (*standin.Server).Drain)       // ready in the copy
			time.Sleep(500 * time.Millisecond)
			restore(s, old, []standin.Change{s.servers[3].PrepareRemoval(), s.servers[4].PrepareDrain()})
			leftAt[s.servers[3]], leftAt[s.servers[4]] = time.Now(), time.Now()
			time.Sleep(300 * time.Millisecond)
			s.servers[1].RemoveEntry()
			time.Sleep(time.Second)
			leave(s.servers[5], (*standin.Server).RemoveEntry)
			leave(s.servers[6], (*standin.Server).Drain)
			time.Sleep(drainTime + 4*time.Second)
			close(stop)
			load.Wait()
			for srv, since := range leftAt {
				for _, run := range srv.Runs() {
					Expect(run.At.Sub(since)).To(BeNumerically("<", drainTime), srv.Spec.ID)
				}
			}
			ok, all := s.answered()
			Expect(all).To(BeNumerically(">", 1000))
			Expect(all-ok).To(BeNumerically("<", all/100+20), "of %d", all)
		},
		Entry("that calls notice", func(s *site, old standin.StoreCopy, changes []standin.Change) {
			s.store.SetDown(true)
			time.Sleep(storeAway)
			s.store.Restore(old, changes...)
			s.store.SetDown(false)
		}),
		Entry("that no call notices", func(s *site, old standin.StoreCopy, changes []standin.Change) {
			s.store.RestoreAndSkip(old, 2*lostVersions, changes...)
		}),
		Entry("with the home killed", func(s *site, old standin.StoreCopy, changes []standin.Change) {
			s.store.SetDown(true)
			time.Sleep(storeAway)
			s.hosts[0].session.Kill().Wait()
			s.store.Restore(old, changes...)
			s.store.SetDown(false)
		}),
		Entry("that comes twice", func(s *site, old standin.StoreCopy, changes []standin.Change) {
			s.restore(old, nil)
			time.Sleep(1500 * time.Millisecond)
			s.store.Restore(old, changes...)
		}),
	)
})

// sendChecks sends calls to a host until stop is closed or the host has ended.
func (s *site) sendChecks(h *host, calls *sync.WaitGroup, stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-h.session.Exited:
			return
		case <-time.After(8 * time.Millisecond):
			calls.Go(func() { s.send(h, check()) })
		}
	}
}

var _ = Describe("the system's own rows after a restore of the store", func() {
	// They are in the store for a fleet that starts anew. If nobody wrote them again, a request that crashes
	// servers would end as many again after a power loss.
	It("are written again if the copy lacks them", func() {
		s, _ := newFatalSite(siteOptions{hosts: 3, engines: 5, apps: 1, largeFirst: true})
		old := s.store.Copy()
		s.sendUntilRefused()
		Eventually(s.quarantineRows).Should(Equal(1))
		Eventually(func() []string { return s.store.Keys("hosts") }).ShouldNot(BeEmpty())
		Eventually(func() []string { return s.store.Keys("versions") }).Should(HaveLen(2))
		for _, table := range []string{"hosts", "versions"} {
			for _, key := range s.store.Keys(table) {
				old = old.Without(table, key)
			}
		}
		s.restore(old, nil)
		Eventually(s.quarantineRows).WithTimeout(4 * time.Second).Should(Equal(1))
		Eventually(func() []string { return s.store.Keys("hosts") }).WithTimeout(4 * time.Second).ShouldNot(BeEmpty())
		Eventually(func() []string { return s.store.Keys("versions") }).WithTimeout(4 * time.Second).Should(HaveLen(2))
		s.killAndRestartAll()
		s.expectRefusal(s.hosts[1])
	})

	// An operator has released a request from quarantine, and the row was deleted. The copy still has it.
	It("are deleted again if they were deleted since the copy", func() {
		s, restarter := newFatalSite(siteOptions{hosts: 3, engines: 5, apps: 1, largeFirst: true})
		s.sendUntilRefused()
		Eventually(s.quarantineRows).Should(Equal(1))
		s.waitForQuarantineEverywhere()
		old := s.store.Copy()
		restarter.fixServers()
		rows, _, err := platform.NewStore(s.storeAddress).Snapshot(context.Background(), platform.QuarantineTable)
		Expect(err).NotTo(HaveOccurred())
		released, err := quarantine.Row{Released: true}.Encode()
		Expect(err).NotTo(HaveOccurred())
		Expect(platform.NewStore(s.storeAddress).Put(context.Background(), platform.QuarantineTable, rows[0].Key, released)).To(Succeed())
		Eventually(s.quarantineRows).WithTimeout(15 * time.Second).Should(BeZero())
		s.restore(old, nil)
		Eventually(s.quarantineRows).WithTimeout(4 * time.Second).Should(BeZero())
		for _, h := range s.hosts {
			Expect(inQuarantine(s.send(h, fatalCall()))).To(BeFalse(), h.name)
		}
	})
})
