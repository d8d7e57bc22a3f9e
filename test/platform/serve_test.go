package platform

import (
	"context"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/gentianflow/gentianflow/platform/standin"
)

var _ = Describe("operation without faults", func() {
	It("answers every kind of request completely, once, through every host", func() {
		s := newSite(siteOptions{hosts: 3, engines: 3, apps: 2})
		for _, h := range s.hosts {
			for _, c := range []standin.Call{confirm(), check(), appraise(), digest(), {Path: standin.PublicPath + "x"}} {
				r := s.send(h, c)
				Expect(r.Status).To(Equal(http.StatusOK), c.Path)
				Expect(r.Complete).To(BeTrue())
				Expect(s.runsOf(r.Attempt)).To(HaveLen(1))
				if c.Path != standin.PublicPath+"x" {
					Expect(s.runsOf(r.Attempt)[0].Account).To(Equal(standin.DefaultAccount))
				}
			}
		}
		s.checkPromises()
	})

	It("exports its counters and state at the metrics address", func() {
		s := newSite(siteOptions{hosts: 1, engines: 1, apps: 1})
		Expect(s.send(s.hosts[0], confirm()).Status).To(Equal(http.StatusOK))
		resp, err := http.Get("http://" + s.hosts[0].at(metricsPort) + "/metrics")
		Expect(err).NotTo(HaveOccurred())
		text, err := io.ReadAll(resp.Body)
		Expect(err).NotTo(HaveOccurred())
		for _, name := range []string{"answered_200", "answer_ms_r/confirm/", "is_home", "config_version", "servers_ready", "scheduler_running"} {
			Expect(string(text)).To(ContainSubstring(name))
		}
	})

	It("answers requests that it cannot forward with the right status", func() {
		s := newSite(siteOptions{hosts: 1, engines: 1, apps: 1})
		h := s.hosts[0]
		unknown := check()
		unknown.Key = "nobody"
		Expect(s.send(h, unknown).Status).To(Equal(http.StatusUnauthorized))
		Expect(s.send(h, standin.Call{Path: "/none/"}).Status).To(Equal(http.StatusNotFound))
		large := confirm()
		large.Body = strings.Repeat("x", 2<<20)
		Expect(s.send(h, large).Status).To(Equal(http.StatusRequestEntityTooLarge))
		// A caller cannot set the header fields that hosts set for servers.
		spoofed := confirm()
		spoofed.Header = map[string]string{"Gentianflow-Tenant": "other", "Gentianflow-Hold": "h", "Kv-From": "x"}
		r := s.send(h, spoofed)
		Expect(r.Status).To(Equal(http.StatusOK))
		Expect(s.runsOf(r.Attempt)[0].Account).To(Equal(standin.DefaultAccount))
	})

	It("limits a client account over all hosts and says when to retry", func() {
		s := newSite(siteOptions{hosts: 2, engines: 2, apps: 1})
		var calls sync.WaitGroup
		for i := range 12 {
			calls.Go(func() {
				c := appraise()
				c.Key = standin.LowQuotaKey
				s.send(s.hosts[i%2], c)
			})
		}
		calls.Wait()
		ok, refused := 0, 0
		for _, r := range s.replies {
			switch r.Status {
			case http.StatusOK:
				ok++
			case http.StatusTooManyRequests:
				refused++
				Expect(r.RetryAfter).To(BeNumerically(">", 0))
			}
		}
		// The quota allows a burst of 2,000 tokens and 2,000 per second during the 2.4 s that a
		// request of 1,060 tokens may wait.
		Expect(ok).To(BeNumerically("~", 5, 3))
		Expect(refused).To(Equal(12 - ok))
		s.checkPromises()
	})
})

var _ = Describe("servers that misbehave", func() {
	// A stream breaks in the middle of an event. The caller must get one complete answer with
	// no event missing or repeated.
	It("resumes a broken stream within the same answer", func() {
		s := newSite(siteOptions{hosts: 1, engines: 2, apps: 1})
		for _, srv := range s.servers[:2] {
			srv.SetFault(standin.Fault{CutAfter: 5})
		}
		c := appraise()
		c.Output = 30 // ten events: five at each of the two servers
		r := s.send(s.hosts[0], c)
		Expect(r.Status).To(Equal(http.StatusOK))
		Expect(r.Body).To(Equal(c.Expected(r.Attempt)))
		Expect(s.runsOf(r.Attempt)).To(HaveLen(2))
	})

	// Guards against a stream whose server ends it in order, without framing, inside an event.
	It("resumes a stream that ends in order inside an event, or does not let it look complete", func() {
		s := newSite(siteOptions{hosts: 1, engines: 2, apps: 1})
		for _, srv := range s.servers[:2] {
			srv.SetFault(standin.Fault{EndAfter: 5})
		}
		c := appraise()
		c.Output = 30 // ten events: five at each of the two servers
		r := s.send(s.hosts[0], c)
		Expect(r.Complete).To(BeTrue(), "%v", r.Err)
		Expect(r.Body).To(Equal(c.Expected(r.Attempt)))
		Expect(s.runsOf(r.Attempt)).To(HaveLen(2))
		r = s.send(s.hosts[0], digest())
		Expect(r.Status).To(Equal(http.StatusOK))
		Expect(r.Complete).To(BeFalse())
		Expect(s.runsOf(r.Attempt)).To(HaveLen(1))
		s.checkPromises()
	})

	// A server stops sending in the middle of a stream while its connection stays open.
	It("resumes a stream whose server falls silent", func() {
		s := newSite(siteOptions{hosts: 1, engines: 2, apps: 1})
		for _, srv := range s.servers[:2] {
			srv.SetFault(standin.Fault{SilentAfter: 5})
		}
		c := appraise()
		c.Output = 30
		r := s.send(s.hosts[0], c)
		Expect(r.Body).To(Equal(c.Expected(r.Attempt)))
		Expect(r.Duration).To(BeNumerically("<", 4*time.Second))
	})

	// A digest may not be resumed. When it is interrupted, it must not look complete.
	It("does not let an interrupted stream look complete", func() {
		s := newSite(siteOptions{hosts: 1, engines: 1, apps: 1})
		s.servers[0].SetFault(standin.Fault{CutAfter: 5})
		r := s.send(s.hosts[0], digest())
		Expect(r.Complete).To(BeFalse())
		Expect(s.runsOf(r.Attempt)).To(HaveLen(1))
	})

	// A confirmation runs and its answer is lost. If it were reported as not run, the caller
	// would send it again and two callers could be confirmed for one item.
	It("neither retries a lost confirmation nor reports it as not run, and retries a lost check", func() {
		s := newSite(siteOptions{hosts: 1, engines: 1, apps: 2})
		s.servers[1].SetFault(standin.Fault{LoseAnswer: true})
		for range 10 {
			r := s.send(s.hosts[0], confirm())
			Expect(r.Status).To(BeElementOf(http.StatusOK, http.StatusBadGateway))
			Expect(s.send(s.hosts[0], check()).Status).To(Equal(http.StatusOK))
		}
		s.checkPromises()
	})

	It("forwards no corrupted answers", func() {
		s := newSite(siteOptions{hosts: 1, engines: 1, apps: 2})
		for _, f := range []standin.Fault{{CutAnswer: true}, {NoSeal: true}, {ExtraAnswer: true}, {FailEvery: 2}} {
			s.servers[1].SetFault(f)
			for range 5 {
				Expect(s.send(s.hosts[0], check()).Status).To(Equal(http.StatusOK))
				s.send(s.hosts[0], confirm())
			}
		}
		s.checkPromises()
	})

	It("tries another server when one states that it did not run a request", func() {
		s := newSite(siteOptions{hosts: 1, engines: 1, apps: 2})
		s.servers[1].SetFault(standin.Fault{RejectAll: true})
		for range 5 {
			Expect(s.send(s.hosts[0], confirm()).Status).To(Equal(http.StatusOK))
		}
		s.servers[2].SetFault(standin.Fault{RejectAll: true})
		r := s.send(s.hosts[0], confirm())
		Expect(r.Status).To(Equal(http.StatusServiceUnavailable))
		Expect(r.RetryAfter).To(BeNumerically(">", 0))
		s.checkPromises()
	})

	It("sends nothing to a server that drains, or whose entry is gone", func() {
		s := newSite(siteOptions{hosts: 2, engines: 1, apps: 3})
		s.servers[1].Drain()
		s.servers[2].RemoveEntry()
		time.Sleep(300 * time.Millisecond) // the bound is seconds; the change feed takes milliseconds
		before := len(s.servers[1].Runs()) + len(s.servers[2].Runs())
		for i := range 10 {
			Expect(s.send(s.hosts[i%2], confirm()).Status).To(Equal(http.StatusOK))
		}
		Expect(len(s.servers[1].Runs()) + len(s.servers[2].Runs())).To(Equal(before))
	})

	// A server restarts at the same address, or another service gets the address, before the
	// old entry is gone.
	It("does not run a request at another incarnation", func() {
		s := newSite(siteOptions{hosts: 1, engines: 1, apps: 2})
		old := s.servers[1]
		address := old.Spec.Address
		old.Close()
		spec := old.Spec
		spec.ID, spec.Service, spec.Address = "i-other", standin.EngineService, address
		other := s.addServer(spec)
		for range 4 {
			Expect(s.send(s.hosts[0], confirm()).Status).To(Equal(http.StatusOK))
		}
		for _, r := range other.Runs() {
			Expect(r.Target).NotTo(HavePrefix(standin.ConfirmPath))
		}
	})

	It("stops the run at the server when its caller leaves", func() {
		s := newSite(siteOptions{hosts: 1, engines: 1, apps: 1, engine: standin.ServerSpec{PerEvent: 100 * time.Millisecond}})
		ctx, cancel := context.WithCancel(context.Background())
		c := appraise()
		c.Key, c.Deadline = standin.DefaultAccountKey, 8*time.Second
		var caller sync.WaitGroup
		caller.Go(func() { s.caller.Send(ctx, s.hosts[0].at(entryPort), c) })
		Eventually(func() int { return len(s.servers[0].Runs()) }).Should(Equal(1))
		cancel()
		Eventually(func() bool { return s.servers[0].Runs()[0].Disconnected }).WithTimeout(500 * time.Millisecond).Should(BeTrue())
		caller.Wait()
	})
})

var _ = Describe("the configuration", func() {
	It("is accepted and applied by every host within a second and never reverts to an older version", func() {
		s := newSite(siteOptions{hosts: 3, engines: 1, apps: 1})
		s.config.Version = 5
		s.config.Tenants[0]["apiKeys"] = []string{"new-key"}
		s.config.Put(s.store)
		fresh := check()
		fresh.Key = "new-key"
		for _, h := range s.hosts {
			Eventually(func() int { return s.send(h, fresh).Status }).WithTimeout(time.Second).Should(Equal(http.StatusOK))
		}
		older := standin.NewConfig()
		older.Version = 3
		older.Put(s.store)
		Consistently(func() int { return s.send(s.hosts[0], fresh).Status }, "500ms").Should(Equal(http.StatusOK))
		Expect(s.send(s.hosts[0], check()).Status).To(Equal(http.StatusUnauthorized))
	})

	It("is needed to serve: a host without one answers that requests did not run", func() {
		s := newSite(siteOptions{hosts: 1, engines: 1, apps: 1})
		s.store.SetDown(true)
		s.hosts[0].session.Kill()
		Eventually(s.hosts[0].session.Exited).Should(BeClosed())
		s.start(s.hosts[0])
		Eventually(func() int { return s.send(s.hosts[0], check()).Status }).Should(Equal(http.StatusServiceUnavailable))
		s.store.SetDown(false)
		Eventually(func() int { return s.send(s.hosts[0], check()).Status }).Should(Equal(http.StatusOK))
	})
})
