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
	fatalBody = "fatal"
	// restartTime is how long an engine is away after its end, entryLapse how long the
	// store lists it then.
	restartTime = 1500 * time.Millisecond
	entryLapse  = 3 * time.Second
	// learnTime and fatalRetries bound the sends of a request that ends servers: three
	// ends may be needed to know it, and later than learnTime after the third it may
	// reach three more servers at most.
	learnTime    = 3 * time.Second
	fatalRetries = 3
)

// engineRoom starts engines anew that ended under a request. mu guards its fields.
type engineRoom struct {
	mu   sync.Mutex
	site *site
	ends []time.Time
	// mended is set when engines bear the fatal request.
	mended bool
}

// newFatalSite starts a site whose engines end under fatalBody.
func newFatalSite(o siteOptions) (*site, *engineRoom) {
	room := &engineRoom{}
	o.engine.FatalBody, o.engine.OnCrash = fatalBody, room.ended
	s := newSite(o)
	room.mu.Lock()
	defer room.mu.Unlock()
	room.site = s
	return s, room
}

func (r *engineRoom) ended(old *standin.Server) {
	r.mu.Lock()
	r.ends = append(r.ends, time.Now())
	next := fmt.Sprintf("%s-%d", old.Spec.ID, len(r.ends))
	r.mu.Unlock()
	time.AfterFunc(entryLapse, old.ExpireEntry)
	time.AfterFunc(restartTime, func() { r.restart(old, next) })
}

func (r *engineRoom) restart(old *standin.Server, id string) {
	spec := old.Spec
	spec.ID, spec.Address = id, "127.0.0.1:0"
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.mended {
		spec.FatalBody = ""
	}
	if srv, err := standin.StartServer(r.site.store, spec); err == nil {
		r.site.replace(old, srv)
	}
}

// replace lists a server in the place of one that ended.
func (s *site) replace(old, started *standin.Server) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.left = append(s.left, old)
	i := slices.Index(s.servers, old)
	s.servers[i] = started
}

// mend has engines that start from now on bear the fatal request.
func (r *engineRoom) mend() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.mended = true
	r.site.mu.Lock()
	defer r.site.mu.Unlock()
	for _, srv := range r.site.servers {
		srv.SurviveFatalBody()
	}
}

// endAll ends all engines at once.
func (r *engineRoom) endAll() {
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
			r.ended(srv)
		}
	}
}

func (r *engineRoom) count() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.ends)
}

// runsOfBody lists when requests with a body began to run, in order of time.
func (s *site) runsOfBody(body string) (at []time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, srv := range slices.Concat(s.servers, s.left) {
		for _, run := range srv.Runs() {
			if run.Body == body {
				at = append(at, run.At)
			}
		}
	}
	slices.SortFunc(at, time.Time.Compare)
	return at
}

// lateRuns counts the runs later than learnTime after the third.
func lateRuns(runs []time.Time) int {
	if len(runs) <= fatalRetries {
		return 0
	}
	bound := runs[2].Add(learnTime)
	return len(runs) - slices.IndexFunc(append(runs, bound.Add(time.Hour)), bound.Before)
}

func fatal() standin.Call {
	c := digest()
	c.Body = fatalBody
	return c
}

// keepSending sends the fatal request by each host in turn until stop is closed, as its
// callers come again, and returns the newest reply of each host.
func (s *site) keepSending(each time.Duration, stop <-chan struct{}) []standin.Reply {
	replies := make([]standin.Reply, len(s.hosts))
	for i := 0; ; i++ {
		select {
		case <-stop:
			return replies
		case <-time.After(each):
			replies[i%len(s.hosts)] = s.send(s.hosts[i%len(s.hosts)], fatal())
		}
	}
}

// sendUntilRefused sends the fatal request by each host in turn until it is told that it
// is in quarantine.
func (s *site) sendUntilRefused() {
	for i := 0; ; i++ {
		r := s.send(s.hosts[i%len(s.hosts)], fatal())
		if inQuarantine(r) {
			return
		}
		Expect(i).To(BeNumerically("<", 100), "the request is never put in quarantine")
		time.Sleep(50 * time.Millisecond)
	}
}

// knownEverywhere waits until all hosts know that the request is in quarantine. A home that
// stands still or ends in the millisecond before it has told leaves it to the others to hold
// the request back, which they do without naming quarantine.
func (s *site) knownEverywhere() {
	for _, h := range s.hosts {
		Eventually(func() string { return string(h.session.Out.Contents()) }).Should(ContainSubstring("request_quarantined"), h.name)
	}
}

func inQuarantine(r standin.Reply) bool {
	return r.Status == http.StatusServiceUnavailable && strings.Contains(r.Body, "quarantined")
}

// refusedBy expects that a host refuses the fatal request, and that no engine gets it.
func (s *site) refusedBy(h *host) {
	before := len(s.runsOfBody(fatalBody))
	Expect(inQuarantine(s.send(h, fatal()))).To(BeTrue(), h.name)
	Expect(s.runsOfBody(fatalBody)).To(HaveLen(before), h.name)
}

// killAll kills all hosts at once and starts them anew.
func (s *site) killAll() {
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

// stored counts the rows that the store keeps of requests in quarantine.
func (s *site) stored() int {
	rows, _, err := platform.NewStore(s.address).Snapshot(context.Background(), platform.QuarantineTable)
	Expect(err).NotTo(HaveOccurred())
	return len(rows)
}

var _ = Describe("a request that ends the servers which run it", func() {
	// Story: a poem's review crashes the engine that begins to run it. Its caller sends it
	// again, under a new id, to whatever host it is told of; each host passes it on to the
	// next engine. One engine after the other ends, with all that runs there, and as soon
	// as one is back it ends again. Nothing outlived an attempt, so nobody knew.
	It("is not sent on once it has ended three", func() {
		s, room := newFatalSite(siteOptions{hosts: 3, engines: 6, apps: 1})
		var replies []standin.Reply
		s.under(20*time.Millisecond, func() {
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
		Expect(room.count()).To(BeNumerically(">=", 3), "the request ends engines")
		Expect(lateRuns(runs)).To(BeNumerically("<=", fatalRetries), "%d runs", len(runs))
		for _, r := range replies {
			Expect(r.Status).To(Equal(http.StatusServiceUnavailable))
			Expect(r.RetryAfter).To(BeNumerically(">", learnTime))
		}
	})

	// Story: a plain call crashes the copy of the service that runs it. It may not be repeated
	// by us, and its caller comes again; with three copies the whole service is down.
	It("is not sent on to plain services either", func() {
		s, room := newFatalSite(siteOptions{hosts: 3, engines: 1, apps: 5})
		call := confirm()
		call.Body = fatalBody
		s.under(20*time.Millisecond, func() {
			for i := range 60 {
				s.send(s.hosts[i%3], call)
				time.Sleep(50 * time.Millisecond)
			}
		})
		Expect(inQuarantine(s.send(s.hosts[0], call))).To(BeTrue())
		Expect(room.count()).To(Equal(3))
	})

	// Story: five callers send the same request at once, by different hosts. Were all
	// copies sent on, five engines would end before anybody knew.
	It("runs one copy at a time once it has ended a server", func() {
		s, room := newFatalSite(siteOptions{hosts: 3, engines: 6, apps: 1})
		s.send(s.hosts[0], fatal())
		Eventually(func() string { return string(s.hosts[0].session.Out.Contents()) }).Should(ContainSubstring("server_ended"))
		time.Sleep(100 * time.Millisecond) // word of it is on its way to the home
		s.under(20*time.Millisecond, func() {
			var copies sync.WaitGroup
			for i := range 5 {
				copies.Go(func() {
					defer GinkgoRecover()
					s.send(s.hosts[i%3], fatal())
				})
			}
			copies.Wait()
		})
		Expect(room.count()).To(BeNumerically("<=", 3))
	})

	// Story: the host that knew which request it was loses its power. The next home must
	// know, and so must hosts that have none yet.
	It("is known when the home is lost or frozen", func() {
		s, _ := newFatalSite(siteOptions{hosts: 4, engines: 5, apps: 1, largeFirst: true})
		s.sendUntilRefused()
		s.knownEverywhere()
		s.hosts[0].session.Signal(syscall.SIGSTOP)
		for _, h := range s.hosts[1:] {
			s.refusedBy(h)
		}
		s.hosts[0].session.Signal(syscall.SIGCONT).Kill()
		for range 10 {
			time.Sleep(100 * time.Millisecond)
			for _, h := range s.hosts[1:] {
				s.refusedBy(h)
			}
		}
	})

	// Story: all hosts lose their power at once, also while the store is away. None
	// remembers anything; the request would end three more engines each time.
	It("is known to hosts that start anew, once the store has it", func() {
		s, _ := newFatalSite(siteOptions{hosts: 3, engines: 5, apps: 1})
		s.store.SetDown(true)
		s.sendUntilRefused()
		s.store.SetDown(false)
		Eventually(s.stored).Should(Equal(1))
		s.killAll()
		ended := len(s.runsOfBody(fatalBody))
		time.Sleep(500 * time.Millisecond) // the new home reads what the store keeps
		for _, h := range s.hosts {
			s.refusedBy(h)
		}
		Expect(s.runsOfBody(fatalBody)).To(HaveLen(ended))
	})

	// Story: the home puts the request in quarantine while the store is away, and is lost before it could
	// write that down. The other hosts know; later all of them start anew at once.
	It("is written down by the next home when the first could not", func() {
		s, _ := newFatalSite(siteOptions{hosts: 3, engines: 5, apps: 1, largeFirst: true})
		time.Sleep(3 * time.Second) // a host that has just started waits for its home
		s.store.SetDown(true)
		s.sendUntilRefused()
		s.knownEverywhere()
		s.hosts[0].session.Kill()
		Eventually(s.hosts[0].session.Exited).Should(BeClosed())
		time.Sleep(time.Second) // until there is another home
		for _, h := range s.hosts[1:] {
			s.refusedBy(h)
		}
		s.store.SetDown(false)
		Eventually(s.stored).WithTimeout(15 * time.Second).Should(Equal(1))
	})

	// Story: the engines were mended. The operator releases the request; until then it is
	// refused, and after it its callers get their answers again.
	It("runs again when an operator releases it", func() {
		s, room := newFatalSite(siteOptions{hosts: 2, engines: 5, apps: 1})
		s.sendUntilRefused()
		Eventually(s.stored).Should(Equal(1))
		room.mend()
		rows, _, err := platform.NewStore(s.address).Snapshot(context.Background(), platform.QuarantineTable)
		Expect(err).NotTo(HaveOccurred())
		released, err := quarantine.Row{Released: true}.Encode()
		Expect(err).NotTo(HaveOccurred())
		Expect(platform.NewStore(s.address).Put(context.Background(), platform.QuarantineTable, rows[0].Key, released)).To(Succeed())
		Eventually(func() int { return s.send(s.hosts[0], fatal()).Status }).WithTimeout(15 * time.Second).Should(Equal(http.StatusOK))
		Eventually(s.stored).Should(BeZero())
	})

	// Story: all engines of a service end at the same moment, again and again, for a reason
	// of their own. A caller whose long answer is cut off each time comes again and must
	// not be taken for the cause, at its first try or its fourth.
	It("is not mistaken for one that is there whenever all servers end", func() {
		s, room := newFatalSite(siteOptions{hosts: 2, engines: 4, apps: 1, engine: standin.ServerSpec{PerEvent: 50 * time.Millisecond}})
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
			room.endAll()
			calls.Wait()
			time.Sleep(restartTime + time.Second)
		}
		Expect(s.stored()).To(BeZero())
	})

	// Story: hosts are killed, frozen and restarted and the store goes away while the
	// request comes again and again. When all is well it reaches three engines more at most.
	It("stays known, or is soon known again, under faults of hosts and store", func() {
		faults := []func(*soak) string{
			(*soak).killHost, (*soak).pauseHost, (*soak).restartHost, (*soak).reload, (*soak).forget, (*soak).storeAway,
		}
		for _, seed := range soakSeeds() {
			By(fmt.Sprint("seed ", seed))
			s, _ := newFatalSite(siteOptions{hosts: 4, engines: 6, apps: 2})
			k := &soak{site: s, rng: rand.New(rand.NewPCG(seed, 2))}
			stop, done := make(chan struct{}), make(chan []standin.Reply, 1)
			go func() {
				defer GinkgoRecover()
				done <- s.keepSending(100*time.Millisecond, stop)
			}()
			k.under(20*time.Millisecond, func() {
				k.runOf(faults, soakLength())
				k.wellAgain(seed)
				time.Sleep(learnTime)
			})
			before := len(s.runsOfBody(fatalBody))
			time.Sleep(2 * learnTime)
			close(stop)
			Eventually(done).WithTimeout(10 * time.Second).Should(Receive())
			after := len(s.runsOfBody(fatalBody))
			fmt.Printf("fatal soak: seed %d: %d runs under faults, %d after\n", seed, before, after-before)
			Expect(after-before).To(BeNumerically("<=", fatalRetries), "seed %d", seed)
			s.stop()
		}
	})
})
