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

// duringLoad runs f while calls are sent at the interval, and then checks the promises.
func (s *site) duringLoad(interval time.Duration, f func()) {
	stop, done := make(chan struct{}), make(chan struct{})
	go func() {
		defer GinkgoRecover()
		defer close(done)
		s.load(interval, stop)
	}()
	f()
	close(stop)
	Eventually(done).WithTimeout(20 * time.Second).Should(BeClosed())
	s.checkPromises()
}

var _ = Describe("hosts that fail", func() {
	// Each host in turn is killed under load, including the home, the host that runs the
	// scheduler. A request that ran must not run again, and must not be reported to its
	// caller as not run.
	It("keep their promises while every host is killed in turn", func() {
		s := newSite(siteOptions{hosts: 4, engines: 3, apps: 2})
		s.duringLoad(10*time.Millisecond, func() {
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
		// A host that is down refuses a quarter of the load for part of the time.
		Expect(float64(ok)).To(BeNumerically(">", 0.7*float64(all)))
	})

	// A frozen home keeps its connections open and sends nothing. The other hosts must
	// answer within the callers' deadline of 600 ms.
	It("continue to serve while the home is frozen", func() {
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
		s.checkPromises()
	})

	// The home freezes or loses its power. The membership declares it dead only after three
	// seconds; until there is another home, each host may make only a few placements by
	// itself, too few for a burst. The hosts must notice within a second that the home does
	// not answer, and the next host in the ranking must take over.
	It("have another home before the membership declares the first one dead", func() {
		s := newSite(siteOptions{hosts: 5, engines: 2, apps: 2, largeFirst: true})
		time.Sleep(3 * time.Second) // a host that has just started does not give up on a home yet
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
		// The share of all servers that the new home logs is 1.
		hasNewHome := func() bool {
			return slices.ContainsFunc(others, func(h *host) bool {
				return strings.Contains(string(h.session.Out.Contents()), "servers=1.00")
			})
		}
		Eventually(hasNewHome).WithTimeout(2 * time.Second).WithPolling(10 * time.Millisecond).Should(BeTrue())
		Expect(time.Since(frozen)).To(BeNumerically("<", 2*time.Second))
		s.hosts[0].session.Signal(syscall.SIGCONT)
	})

	// A host is paused while callers connect, send a request and give up. When it continues,
	// it reads these requests and must not send them to servers, as no caller waits for them.
	It("forward no request whose caller gave up while the host was paused", func() {
		s := newSite(siteOptions{hosts: 1, engines: 2, apps: 2})
		h := s.hosts[0]
		h.session.Signal(syscall.SIGSTOP)
		Eventually(h.stopped).Should(BeTrue()) // requests that arrive before may be forwarded
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

	It("serve from their last known state while the store is unreachable", func() {
		s := newSite(siteOptions{hosts: 2, engines: 1, apps: 1})
		s.store.SetDown(true)
		time.Sleep(3 * time.Second) // longer than one long poll for changes
		for _, h := range s.hosts {
			Expect(s.send(h, confirm()).Status).To(Equal(http.StatusOK))
			Expect(s.send(h, appraise()).Status).To(Equal(http.StatusOK))
		}
	})

	It("learn of changes after the store has lost its change history", func() {
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
	// A host is shut down while it answers requests. Callers that know its address use it
	// until it refuses connections; none of their requests may be interrupted.
	It("interrupts no request when a host is shut down", func() {
		s := newSite(siteOptions{hosts: 3, engines: 3, apps: 2})
		leaving := s.hosts[0]
		s.duringLoad(10*time.Millisecond, func() {
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

	It("interrupts no request on SIGHUP", func() {
		s := newSite(siteOptions{hosts: 1, engines: 1, apps: 1})
		s.duringLoad(10*time.Millisecond, func() {
			for range 5 {
				s.hosts[0].session.Signal(syscall.SIGHUP)
				time.Sleep(100 * time.Millisecond)
			}
		})
		ok, all := s.answered()
		Expect(ok).To(Equal(all))
	})

	It("starts to use new servers and hosts", func() {
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

var _ = Describe("backend servers that restart with the same ID", func() {
	// The only server of a service reports that it is draining, crashes, and restarts with
	// the same ID and address. If hosts take the new incarnation for the draining one, they
	// reject callers although a server is idle.
	It("are used again although their former incarnation was draining", func() {
		s := newSite(siteOptions{hosts: 3, engines: 1, apps: 1})
		old := s.servers[1]
		Expect(s.send(s.hosts[0], confirm()).Status).To(Equal(http.StatusOK))
		old.Drain()
		time.Sleep(300 * time.Millisecond) // until all hosts have read the entry
		old.Close()
		s.addServer(old.Spec)
		for _, h := range s.hosts {
			Eventually(func() int { return s.send(h, confirm()).Status }).WithTimeout(3*time.Second).Should(Equal(http.StatusOK), h.name)
		}
		s.checkPromises()
	})

	// The server crashes while it serves streams, and restarts with the same ID before hosts
	// miss its connections. A stream that may be resumed continues at the new incarnation;
	// no other request may run twice.
	It("continue resumable streams and run no other request again", func() {
		s := newSite(siteOptions{hosts: 3, engines: 2, apps: 1, engine: standin.ServerSpec{PerEvent: 20 * time.Millisecond}})
		s.duringLoad(20*time.Millisecond, func() {
			for range 3 {
				time.Sleep(400 * time.Millisecond)
				old := s.servers[0]
				old.Close()
				restarted, err := standin.StartServer(s.store, old.Spec)
				Expect(err).NotTo(HaveOccurred())
				s.mu.Lock()
				s.replaced, s.servers[0] = append(s.replaced, old), restarted
				s.mu.Unlock()
			}
			time.Sleep(400 * time.Millisecond)
		})
	})

	// Another writer puts entries into the table of servers: before, between and after the
	// others, and over one of them. Callers must not be affected.
	It("use no entry of another writer", func() {
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
		s.checkPromises()
	})
})
