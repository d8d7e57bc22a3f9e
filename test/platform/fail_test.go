package platform

import (
	"context"
	"net/http"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/gentianflow/gentianflow/platform/standin"
)

// under runs f while a load is sent, and checks the promises after it.
func (s *site) under(each time.Duration, f func()) {
	stop, done := make(chan struct{}), make(chan struct{})
	go func() {
		defer GinkgoRecover()
		defer close(done)
		s.load(each, stop)
	}()
	f()
	close(stop)
	Eventually(done).WithTimeout(20 * time.Second).Should(BeClosed())
	s.keepsPromises()
}

var _ = Describe("hosts that fail", func() {
	// Each host in turn is killed under load, so the home is among them. What
	// ran must not run again, and nobody may be told that it did not run.
	It("keeps its promises while every host is killed in turn", func() {
		s := newSite(siteOptions{hosts: 4, engines: 3, apps: 2})
		s.under(10*time.Millisecond, func() {
			for _, h := range s.hosts {
				h.session.Kill()
				Eventually(h.session.Exited).Should(BeClosed())
				time.Sleep(700 * time.Millisecond)
				s.start(h)
				Eventually(func() int { return s.ready(h) }).Should(Equal(http.StatusOK))
				time.Sleep(500 * time.Millisecond)
			}
		})
		ok, all := s.answered()
		// A host that is down refuses a quarter of the load for a part of the time.
		Expect(float64(ok)).To(BeNumerically(">", 0.7*float64(all)))
	})

	// A parent at a locker waits while the home is frozen: its connection is
	// open, nothing comes. The other hosts must answer within the 600 ms.
	It("goes on without a home that is frozen", func() {
		s := newSite(siteOptions{hosts: 3, engines: 2, apps: 2})
		for _, frozen := range s.hosts {
			frozen.session.Signal(syscall.SIGSTOP)
			for _, h := range s.hosts {
				if h == frozen {
					continue
				}
				for range 5 {
					Expect(s.send(h, confirm()).Status).To(Equal(http.StatusOK))
					Expect(s.send(h, check()).Status).To(Equal(http.StatusOK))
				}
			}
			frozen.session.Signal(syscall.SIGCONT)
			time.Sleep(300 * time.Millisecond)
		}
		s.keepsPromises()
	})

	// Story: the home freezes, or loses its power. The others know it dead after three
	// seconds, and in a burst each of them places by itself what little it may until then.
	// They notice within a second that it does not answer, and the next of the ranking
	// schedules for them.
	It("has another home before the membership knows the first one dead", func() {
		s := newSite(siteOptions{hosts: 5, engines: 2, apps: 2, largeFirst: true})
		time.Sleep(3 * time.Second) // a host that has just started waits for its home
		others := s.hosts[1:]
		s.hosts[0].session.Signal(syscall.SIGSTOP)
		frozen := time.Now()
		stop := make(chan struct{})
		defer close(stop)
		for _, h := range others {
			go func() {
				for {
					select {
					case <-stop:
						return
					case <-time.After(20 * time.Millisecond):
						s.send(h, check())
					}
				}
			}()
		}
		leader := func() bool {
			return slices.ContainsFunc(others, func(h *host) bool {
				return strings.Contains(string(h.session.Out.Contents()), "servers=1.00")
			})
		}
		Eventually(leader).WithTimeout(2 * time.Second).WithPolling(10 * time.Millisecond).Should(BeTrue())
		Expect(time.Since(frozen)).To(BeNumerically("<", 2*time.Second))
		s.hosts[0].session.Signal(syscall.SIGCONT)
	})

	// Story: a host stands still for seconds. Callers connect, send, and leave after a second.
	// When it goes on it reads what they sent, and servers got requests that nobody waits for.
	It("sends nothing on for callers that left while it stood still", func() {
		s := newSite(siteOptions{hosts: 1, engines: 2, apps: 2})
		h := s.hosts[0]
		h.session.Signal(syscall.SIGSTOP)
		Eventually(h.stopped).Should(BeTrue()) // what comes before that may be sent on
		attempts := make(chan string, 40)
		var calls sync.WaitGroup
		for range cap(attempts) {
			calls.Go(func() {
				ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
				defer cancel()
				c := check()
				c.Key, c.Deadline = standin.DefaultAccountKey, 10*time.Second
				attempts <- standin.NewCaller().Send(ctx, h.at(entryPort), c).Attempt
			})
		}
		calls.Wait()
		close(attempts)
		h.session.Signal(syscall.SIGCONT)
		Eventually(func() int { return s.send(h, check()).Status }).Should(Equal(http.StatusOK))
		for attempt := range attempts {
			Expect(s.runsOf(attempt)).To(BeEmpty())
		}
	})

	It("serves what it knows while the store is away", func() {
		s := newSite(siteOptions{hosts: 2, engines: 1, apps: 1})
		s.store.SetDown(true)
		time.Sleep(3 * time.Second) // longer than one call that waits for changes
		for _, h := range s.hosts {
			Expect(s.send(h, confirm()).Status).To(Equal(http.StatusOK))
			Expect(s.send(h, appraise()).Status).To(Equal(http.StatusOK))
		}
	})

	It("learns what changed while the store forgot its history", func() {
		s := newSite(siteOptions{hosts: 1, engines: 1, apps: 2})
		s.servers[1].RemoveEntry()
		s.store.DiscardHistory()
		time.Sleep(300 * time.Millisecond)
		before := len(s.servers[1].Runs())
		for range 4 {
			Expect(s.send(s.hosts[0], confirm()).Status).To(Equal(http.StatusOK))
		}
		Expect(s.servers[1].Runs()).To(HaveLen(before))
	})
})

var _ = Describe("planned work", func() {
	// A host is stopped while it answers. Callers that know it go on using it
	// until it refuses; none of them may be cut off.
	It("cuts nothing off when a host is stopped", func() {
		s := newSite(siteOptions{hosts: 3, engines: 3, apps: 2})
		leaving := s.hosts[0]
		s.under(10*time.Millisecond, func() {
			time.Sleep(300 * time.Millisecond)
			leaving.session.Terminate()
			Eventually(func() int { return s.ready(leaving) }).WithTimeout(time.Second).ShouldNot(Equal(http.StatusOK))
			Eventually(func() []string { return s.lookup(s.hosts[1]) }).WithTimeout(2 * time.Second).
				ShouldNot(ContainElement(leaving.at(entryPort)))
			Eventually(leaving.session.Exited).WithTimeout(8 * time.Second).Should(BeClosed())
		})
		for i, r := range s.replies {
			if r.Status == 0 {
				// Refused before it was read, so the caller may go elsewhere.
				Expect(s.runsOf(r.Attempt)).To(BeEmpty(), s.sent[i].Path)
				continue
			}
			Expect(r.Complete).To(BeTrue(), s.sent[i].Path)
		}
	})

	It("cuts nothing off on SIGHUP", func() {
		s := newSite(siteOptions{hosts: 1, engines: 1, apps: 1})
		s.under(10*time.Millisecond, func() {
			for range 5 {
				s.hosts[0].session.Signal(syscall.SIGHUP)
				time.Sleep(100 * time.Millisecond)
			}
		})
		ok, all := s.answered()
		Expect(ok).To(Equal(all))
	})

	It("takes new servers and hosts in", func() {
		s := newSite(siteOptions{hosts: 1, engines: 1, apps: 1})
		added := &host{name: "front-new", ip: s.subnet + "100"}
		s.hosts = append(s.hosts, added)
		s.start(added)
		Eventually(func() int { return len(s.lookup(s.hosts[0])) }).Should(Equal(2))
		Eventually(func() int { return s.send(added, confirm()).Status }).Should(Equal(http.StatusOK))
		srv := s.addServer(standin.ServerSpec{ID: "i-app-new", Service: standin.AppService, Address: "127.0.0.1:0", Slots: 6, Queue: 24, Work: time.Millisecond})
		s.servers[1].Drain()
		Eventually(func() int { s.send(added, confirm()); return len(srv.Runs()) }).Should(BeNumerically(">", 0))
	})
})

var _ = Describe("backend servers that start again under their names", func() {
	// The only server of a service reports that it leaves, crashes, and starts again
	// under its name and address. Callers are refused for want of a server though
	// one is idle, when hosts go on taking it for the one that leaves.
	It("serves with the new start after the one before was leaving", func() {
		s := newSite(siteOptions{hosts: 3, engines: 1, apps: 1})
		old := s.servers[1]
		Expect(s.send(s.hosts[0], confirm()).Status).To(Equal(http.StatusOK))
		old.Drain()
		time.Sleep(300 * time.Millisecond) // all hosts have read it
		old.Close()
		s.addServer(old.Spec)
		for _, h := range s.hosts {
			Eventually(func() int { return s.send(h, confirm()).Status }).WithTimeout(3*time.Second).Should(Equal(http.StatusOK), h.name)
		}
		s.keepsPromises()
	})

	// The server crashes while streams run there, and is back under its name before
	// its connections are missed. A stream that may be resumed goes on at the new
	// start; nothing else of it may run twice.
	It("goes on with what may be resumed and runs nothing else again", func() {
		s := newSite(siteOptions{hosts: 3, engines: 2, apps: 1, engine: standin.ServerSpec{PerEvent: 20 * time.Millisecond}})
		s.under(20*time.Millisecond, func() {
			for range 3 {
				time.Sleep(400 * time.Millisecond)
				old := s.servers[0]
				old.Close()
				again, err := standin.StartServer(s.store, old.Spec)
				Expect(err).NotTo(HaveOccurred())
				s.mu.Lock()
				s.left, s.servers[0] = append(s.left, old), again
				s.mu.Unlock()
			}
			time.Sleep(400 * time.Millisecond)
		})
	})

	// Somebody else writes into the table of servers: before, between and behind the
	// others, and over one of them. Callers must not notice.
	It("uses no entry that another writer left", func() {
		s := newSite(siteOptions{hosts: 3, engines: 1, apps: 2})
		for _, key := range []string{"0", "i-between", "~"} {
			s.store.Put("servers", key, map[string]any{"service": standin.AppService, "state": "ready", "slots": "6"})
			s.store.Put("servers", key+"x", map[string]any{
				"service": standin.AppService, "address": "127.0.0.1:1", "zone": "fukuoka-hall", "version": "v1",
				"slots": 60, "state": "ready", "coldRemainingMs": 0, "sequence": 1,
			})
		}
		s.store.Put("servers", s.servers[2].Spec.ID, "nothing of a server")
		time.Sleep(300 * time.Millisecond)
		for range 10 {
			for _, h := range s.hosts {
				Expect(s.send(h, confirm()).Status).To(Equal(http.StatusOK))
			}
		}
		s.keepsPromises()
	})
})
