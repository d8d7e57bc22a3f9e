package platform

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/gentianflow/gentianflow/internal/quarantine"
	"github.com/gentianflow/gentianflow/platform"
	"github.com/gentianflow/gentianflow/platform/standin"
)

const (
	// fatalBody is the body of the fatal request, which crashes the servers that run it.
	fatalBody = "fatal"
	// restartDelay is the time from the crash of a server to its restart, entryTTL the time
	// for which the store still lists the crashed one.
	restartDelay = 1500 * time.Millisecond
	entryTTL     = 3 * time.Second
	// detectionTime and maxFatalRuns limit the runs of the fatal request: up to three crashes
	// may be needed to detect it, and later than detectionTime after the third run it may
	// reach at most three more servers.
	detectionTime = 3 * time.Second
	maxFatalRuns  = 3
)

// serverRestarter restarts servers that a request crashed. mu guards its fields.
type serverRestarter struct {
	mu      sync.Mutex
	site    *site
	crashes []time.Time
	// fixed is set when servers no longer crash under the fatal request.
	fixed bool
}

// newFatalSite starts a site whose servers crash under requests with one of FatalParts or, if there are
// none, with fatalBody.
func newFatalSite(o siteOptions) (*site, *serverRestarter) {
	restarter := &serverRestarter{}
	o.engine.OnCrash = restarter.handleCrash
	if len(o.engine.FatalParts) == 0 {
		o.engine.FatalBody = fatalBody
	}
	s := newSite(o)
	restarter.mu.Lock()
	defer restarter.mu.Unlock()
	restarter.site = s
	return s, restarter
}

func (r *serverRestarter) handleCrash(old *standin.Server) {
	r.mu.Lock()
	r.crashes = append(r.crashes, time.Now())
	next := fmt.Sprintf("%s-%d", old.Spec.ID, len(r.crashes))
	r.mu.Unlock()
	time.AfterFunc(entryTTL, old.ExpireEntry)
	time.AfterFunc(restartDelay, func() { r.restart(old, next) })
}

func (r *serverRestarter) restart(old *standin.Server, id string) {
	spec := old.Spec
	spec.ID, spec.Address = id, "127.0.0.1:0"
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.fixed {
		spec.FatalBody, spec.FatalParts = "", nil
	}
	if srv, err := standin.StartServer(r.site.store, spec); err == nil {
		r.site.recordReplacement(old, srv)
	}
}

// recordReplacement lists the server started in place of old, which has ended.
func (s *site) recordReplacement(old, started *standin.Server) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.replaced = append(s.replaced, old)
	i := slices.Index(s.servers, old)
	s.servers[i] = started
}

// fixServers makes all servers, also those that start later, survive the fatal request.
func (r *serverRestarter) fixServers() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.fixed = true
	r.site.mu.Lock()
	defer r.site.mu.Unlock()
	for _, srv := range r.site.servers {
		srv.SurviveFatal()
	}
}

// crashAllEngines ends all engines at once and schedules their restarts.
func (r *serverRestarter) crashAllEngines() {
	r.site.mu.Lock()
	servers := slices.Clone(r.site.servers)
	r.site.mu.Unlock()
	for _, srv := range servers {
		if srv.Spec.Streams {
			srv.Close()
		}
	}
	for _, srv := range servers {
		if srv.Spec.Streams {
			r.handleCrash(srv)
		}
	}
}

// crashOneEngine ends the engine that has run longest and schedules its restart.
func (r *serverRestarter) crashOneEngine() {
	r.site.mu.Lock()
	var oldest *standin.Server
	for _, srv := range r.site.servers {
		if srv.Spec.Streams && !srv.Ended() && (oldest == nil || srv.Started().Before(oldest.Started())) {
			oldest = srv
		}
	}
	r.site.mu.Unlock()
	if oldest != nil {
		oldest.Close()
		r.handleCrash(oldest)
	}
}

func (r *serverRestarter) crashCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.crashes)
}

// runsOfBody returns the start times of the runs of requests with body, in ascending order.
func (s *site) runsOfBody(body string) (at []time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, srv := range slices.Concat(s.servers, s.replaced) {
		for _, run := range srv.Runs() {
			if run.Body == body {
				at = append(at, run.At)
			}
		}
	}
	slices.SortFunc(at, time.Time.Compare)
	return at
}

// lateRuns counts the runs that start later than detectionTime after the third one.
func lateRuns(runs []time.Time) int {
	if len(runs) <= maxFatalRuns {
		return 0
	}
	bound := runs[2].Add(detectionTime)
	return len(runs) - slices.IndexFunc(append(runs, bound.Add(time.Hour)), bound.Before)
}

func fatalCall() standin.Call {
	c := digest()
	c.Body = fatalBody
	return c
}

// keepSending sends the fatal request to each host in turn until stop is closed, as retrying
// callers do, and returns the latest reply of each host.
func (s *site) keepSending(interval time.Duration, stop <-chan struct{}) []standin.Reply {
	replies := make([]standin.Reply, len(s.hosts))
	for i := 0; ; i++ {
		select {
		case <-stop:
			return replies
		case <-time.After(interval):
			replies[i%len(s.hosts)] = s.send(s.hosts[i%len(s.hosts)], fatalCall())
		}
	}
}

// sendUntilRefused sends the fatal request to each host in turn until a reply says that it
// is in quarantine.
func (s *site) sendUntilRefused() {
	for i := 0; ; i++ {
		r := s.send(s.hosts[i%len(s.hosts)], fatalCall())
		if inQuarantine(r) {
			return
		}
		Expect(i).To(BeNumerically("<", 100), "the request is never put in quarantine")
		time.Sleep(50 * time.Millisecond)
	}
}

// waitForQuarantineEverywhere waits until all hosts know that the request is in quarantine.
// If the home is paused or ends in the millisecond before it notifies them, the other hosts
// hold the request back by themselves, but their refusals do not mention quarantine.
func (s *site) waitForQuarantineEverywhere() {
	for _, h := range s.hosts {
		Eventually(func() string { return string(h.session.Out.Contents()) }).Should(ContainSubstring("request_quarantined"), h.name)
	}
}

func inQuarantine(r standin.Reply) bool {
	return r.Status == http.StatusServiceUnavailable && strings.Contains(r.Body, "quarantined")
}

// expectRefusal checks that a host refuses the fatal request as quarantined and that it does
// not run.
func (s *site) expectRefusal(h *host) {
	before := len(s.runsOfBody(fatalBody))
	Expect(inQuarantine(s.send(h, fatalCall()))).To(BeTrue(), h.name)
	Expect(s.runsOfBody(fatalBody)).To(HaveLen(before), h.name)
}

// killAndRestartAll kills all hosts at once, restarts them and waits until they are ready and
// there is a home.
func (s *site) killAndRestartAll() {
	for _, h := range s.hosts {
		h.session.Kill()
	}
	for _, h := range s.hosts {
		Eventually(h.session.Exited).Should(BeClosed())
		s.start(h)
	}
	for _, h := range s.hosts {
		Eventually(func() int { return s.ready(h) }).Should(Equal(http.StatusOK), h.name)
	}
	Eventually(s.hasHome).Should(BeTrue())
}

// quarantineRows counts the rows of quarantined requests in the store.
func (s *site) quarantineRows() int {
	rows, _, err := platform.NewStore(s.storeAddress).Snapshot(context.Background(), platform.QuarantineTable)
	Expect(err).NotTo(HaveOccurred())
	return len(rows)
}

var _ = Describe("a request that crashes the servers which run it", func() {
	// A request crashes the engine that begins to run it. Its caller retries it with a new ID
	// at any host, and each host sends it to the next engine. Engine after engine crashes with
	// all requests that it runs, and crashes again after its restart. This happens when hosts
	// keep nothing of a request beyond an attempt.
	It("is not sent any more once it has crashed three", func() {
		s, restarter := newFatalSite(siteOptions{hosts: 3, engines: 6, apps: 1})
		var replies []standin.Reply
		s.duringLoad(20*time.Millisecond, func() {
			stop, done := make(chan struct{}), make(chan []standin.Reply, 1)
			go func() {
				defer GinkgoRecover()
				done <- s.keepSending(50*time.Millisecond, stop)
			}()
			time.Sleep(10 * time.Second)
			close(stop)
			Eventually(done).WithTimeout(10 * time.Second).Should(Receive(&replies))
		})
		runs := s.runsOfBody(fatalBody)
		Expect(restarter.crashCount()).To(BeNumerically(">=", 3), "the request crashes engines")
		Expect(lateRuns(runs)).To(BeNumerically("<=", maxFatalRuns), "%d runs", len(runs))
		for _, r := range replies {
			Expect(r.Status).To(Equal(http.StatusServiceUnavailable))
			Expect(r.RetryAfter).To(BeNumerically(">", detectionTime))
		}
	})

	// A plain call crashes the server that runs it. Hosts may not retry it, but its caller
	// does; a service of three servers would be down entirely.
	It("is not sent any more to plain services either", func() {
		s, restarter := newFatalSite(siteOptions{hosts: 3, engines: 1, apps: 5})
		call := confirm()
		call.Body = fatalBody
		s.duringLoad(20*time.Millisecond, func() {
			for i := range 60 {
				s.send(s.hosts[i%3], call)
				time.Sleep(50 * time.Millisecond)
			}
		})
		Expect(inQuarantine(s.send(s.hosts[0], call))).To(BeTrue())
		Expect(restarter.crashCount()).To(Equal(3))
	})

	// Five callers send the same request at once through different hosts. If all copies were
	// sent, five engines would crash before the request is detected.
	It("runs one copy at a time once it has crashed a server", func() {
		s, restarter := newFatalSite(siteOptions{hosts: 3, engines: 6, apps: 1})
		s.send(s.hosts[0], fatalCall())
		Eventually(func() string { return string(s.hosts[0].session.Out.Contents()) }).Should(ContainSubstring("server_ended"))
		time.Sleep(100 * time.Millisecond) // until the report has reached the home
		s.duringLoad(20*time.Millisecond, func() {
			var copies sync.WaitGroup
			for i := range 5 {
				copies.Go(func() {
					defer GinkgoRecover()
					s.send(s.hosts[i%3], fatalCall())
				})
			}
			copies.Wait()
		})
		Expect(restarter.crashCount()).To(BeNumerically("<=", 3))
	})

	// The home that put the request in quarantine is lost. The next home must refuse the
	// request, and so must hosts that do not follow a home yet.
	It("stays in quarantine when the home is lost or frozen", func() {
		s, _ := newFatalSite(siteOptions{hosts: 4, engines: 5, apps: 1, largeFirst: true})
		s.sendUntilRefused()
		s.waitForQuarantineEverywhere()
		s.hosts[0].session.Signal(syscall.SIGSTOP)
		for _, h := range s.hosts[1:] {
			s.expectRefusal(h)
		}
		s.hosts[0].session.Signal(syscall.SIGCONT).Kill()
		for range 10 {
			time.Sleep(100 * time.Millisecond)
			for _, h := range s.hosts[1:] {
				s.expectRefusal(h)
			}
		}
	})

	// All hosts lose their power at once, after the request was quarantined while the store was
	// unreachable. The restarted hosts have no state in memory, so without the row in the
	// store the request would crash three more engines each time.
	It("stays in quarantine when all hosts restart, once the store has it", func() {
		s, _ := newFatalSite(siteOptions{hosts: 3, engines: 5, apps: 1})
		s.store.SetDown(true)
		s.sendUntilRefused()
		s.store.SetDown(false)
		Eventually(s.quarantineRows).Should(Equal(1))
		s.killAndRestartAll()
		runsBefore := len(s.runsOfBody(fatalBody))
		time.Sleep(500 * time.Millisecond) // until the new home has read the store
		for _, h := range s.hosts {
			s.expectRefusal(h)
		}
		Expect(s.runsOfBody(fatalBody)).To(HaveLen(runsBefore))
	})

	// The home puts the request in quarantine while the store is unreachable, and is lost
	// before it can write the row. The other hosts know of the quarantine but would lose it if
	// all of them restarted at once, so the next home must write the row.
	It("is written to the store by the next home when the first could not", func() {
		s, _ := newFatalSite(siteOptions{hosts: 3, engines: 5, apps: 1, largeFirst: true})
		time.Sleep(3 * time.Second) // a host that has just started does not give up on a home yet
		s.store.SetDown(true)
		s.sendUntilRefused()
		s.waitForQuarantineEverywhere()
		s.hosts[0].session.Kill()
		Eventually(s.hosts[0].session.Exited).Should(BeClosed())
		time.Sleep(time.Second) // until there is another home
		for _, h := range s.hosts[1:] {
			s.expectRefusal(h)
		}
		s.store.SetDown(false)
		Eventually(s.quarantineRows).WithTimeout(15 * time.Second).Should(Equal(1))
	})

	// The engines were fixed. The request is refused until the operator releases it; after
	// that its callers get answers again.
	It("runs again when an operator releases it", func() {
		s, restarter := newFatalSite(siteOptions{hosts: 2, engines: 5, apps: 1})
		s.sendUntilRefused()
		Eventually(s.quarantineRows).Should(Equal(1))
		restarter.fixServers()
		rows, _, err := platform.NewStore(s.storeAddress).Snapshot(context.Background(), platform.QuarantineTable)
		Expect(err).NotTo(HaveOccurred())
		released, err := quarantine.Row{Released: true}.Encode()
		Expect(err).NotTo(HaveOccurred())
		Expect(platform.NewStore(s.storeAddress).Put(context.Background(), platform.QuarantineTable, rows[0].Key, released)).To(Succeed())
		Eventually(func() int { return s.send(s.hosts[0], fatalCall()).Status }).WithTimeout(15 * time.Second).Should(Equal(http.StatusOK))
		Eventually(s.quarantineRows).Should(BeZero())
	})

	// All engines of a service repeatedly end at the same moment, for a reason unrelated to
	// requests. A caller whose long answer is interrupted each time retries, and its request
	// must not be taken for the cause, neither at the first attempt nor at the fourth.
	It("is not confused with one that runs whenever all servers end", func() {
		s, restarter := newFatalSite(siteOptions{hosts: 2, engines: 4, apps: 1, engine: standin.ServerSpec{PerEvent: 50 * time.Millisecond}})
		for round := range 5 {
			var calls sync.WaitGroup
			for i := range 8 {
				c := digest()
				c.Output, c.Body = 90, fmt.Sprint("caller ", i)
				calls.Go(func() {
					defer GinkgoRecover()
					r := s.send(s.hosts[i%2], c)
					Expect(r.Body).NotTo(ContainSubstring("quarantined"), "round %d", round)
				})
			}
			time.Sleep(500 * time.Millisecond)
			restarter.crashAllEngines()
			calls.Wait()
			time.Sleep(restartDelay + time.Second)
		}
		Expect(s.quarantineRows()).To(BeZero())
	})

	// Hosts are killed, frozen and restarted and the store is unreachable at times while
	// callers keep retrying the request. After the faults it may reach at most three more
	// engines.
	It("stays in quarantine, or soon returns to it, under faults of hosts and store", func() {
		faults := []func(*soak) string{
			(*soak).killHost, (*soak).pauseHost, (*soak).restartHost, (*soak).reloadSettings, (*soak).loseStoreHistory, (*soak).takeStoreDown,
		}
		for _, seed := range soakSeeds(failedSeeds) {
			By(fmt.Sprint("seed ", seed))
			s, _ := newFatalSite(siteOptions{hosts: 4, engines: 6, apps: 2})
			k := &soak{site: s, rng: rand.New(rand.NewPCG(seed, 2))}
			stop, done := make(chan struct{}), make(chan []standin.Reply, 1)
			go func() {
				defer GinkgoRecover()
				done <- s.keepSending(100*time.Millisecond, stop)
			}()
			k.duringLoad(20*time.Millisecond, func() {
				k.runOf(faults, soakLength())
				k.waitForRecovery(seed)
				time.Sleep(detectionTime)
			})
			before := len(s.runsOfBody(fatalBody))
			time.Sleep(2 * detectionTime)
			close(stop)
			Eventually(done).WithTimeout(10 * time.Second).Should(Receive())
			after := len(s.runsOfBody(fatalBody))
			fmt.Printf("fatal soak: seed %d: %d runs under faults, %d after\n", seed, before, after-before)
			Expect(after-before).To(BeNumerically("<=", maxFatalRuns), "seed %d", seed)
			s.stop()
		}
	})
})
