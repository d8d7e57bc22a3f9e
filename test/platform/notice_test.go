package platform

import (
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/gentianflow/gentianflow/platform/standin"
)

const (
	// A limit binds from limitGrace after it was first named, and a host from hostGrace after
	// it has passed on an answer that names it. In limitWindow at most limitOver times the
	// limit and limitSlack requests may come.
	limitGrace  = 3 * time.Second
	hostGrace   = 500 * time.Millisecond
	limitWindow = 4 * time.Second
	limitOver   = 1.5
	limitSlack  = 5
)

// sentCall is a call as its host and its caller know it.
type sentCall struct {
	host  *host
	reply standin.Reply
	sent  time.Time
	at    time.Time // when the head of its answer came
}

// callers send calls to all hosts until they are stopped. mu guards calls.
type callers struct {
	site *site
	stop chan struct{}
	done sync.WaitGroup

	mu    sync.Mutex
	calls map[string]sentCall // by attempt
}

// newCallers has some callers for each host send calls, each as soon as the one before is
// answered and pause is over.
func newCallers(s *site, perHost int, pause time.Duration, call func() standin.Call) *callers {
	c := &callers{site: s, stop: make(chan struct{}), calls: map[string]sentCall{}}
	for _, h := range s.hosts {
		for range perHost {
			c.done.Go(func() {
				defer GinkgoRecover()
				c.send(h, pause, call)
			})
		}
	}
	return c
}

func (c *callers) send(h *host, pause time.Duration, call func() standin.Call) {
	for {
		select {
		case <-c.stop:
			return
		case <-time.After(pause):
		}
		sent := time.Now()
		reply := c.site.send(h, call())
		c.mu.Lock()
		c.calls[reply.Attempt] = sentCall{host: h, reply: reply, sent: sent, at: sent.Add(reply.FirstByte)}
		c.mu.Unlock()
	}
}

// end stops the callers and returns what they sent.
func (c *callers) end() map[string]sentCall {
	close(c.stop)
	c.done.Wait()
	return c.calls
}

// told lists when each host first passed on an answer that has a field.
func told(calls map[string]sentCall, srv *standin.Server, field string) map[*host]time.Time {
	first := map[*host]time.Time{}
	for _, c := range calls {
		if c.reply.Header.Get(field) == "" || c.reply.Header.Get("Gentianflow-Server-Seal") != "seal-"+srv.Spec.ID {
			continue
		}
		if at, ok := first[c.host]; !ok || c.at.Before(at) {
			first[c.host] = c.at
		}
	}
	return first
}

// mostInWindow is how many requests of told hosts reach a server in a window that begins
// between from and to, at most.
func mostInWindow(arrivals []standin.Arrival, calls map[string]sentCall, told map[*host]time.Time, from, to time.Time) (most int) {
	var bound []time.Time
	for _, a := range arrivals {
		at, ok := told[calls[a.Attempt].host]
		if ok && a.At.Sub(at) >= hostGrace && !a.At.Before(from) && a.At.Before(to.Add(limitWindow)) {
			bound = append(bound, a.At)
		}
	}
	slices.SortFunc(bound, time.Time.Compare)
	for i, begin := range bound {
		end, _ := slices.BinarySearchFunc(bound, begin.Add(limitWindow), time.Time.Compare)
		most = max(most, end-i)
	}
	return most
}

func allowed(limit float64) int { return int(limit*limitWindow.Seconds()*limitOver) + limitSlack }

// arrivedSince counts the requests that reached a server since a moment.
func arrivedSince(srv *standin.Server, since time.Time) (n int) {
	for _, a := range srv.Arrivals() {
		if a.At.After(since) {
			n++
		}
	}
	return n
}

var _ = Describe("servers that name a limit of requests a second", func() {
	// Guards against a server in need that gets more than the limit that it names: its word
	// goes unread, or each host keeps it for itself alone, or it is lost with the home.
	DescribeTable("get no more than that from all hosts together, and callers are served by others",
		func(trouble func(*site)) {
			const hosts, engines, limit = 5, 1, 1
			s := newSite(siteOptions{hosts: hosts, engines: engines, apps: 4, largeFirst: true})
			time.Sleep(3 * time.Second) // hosts that have just started know no home
			c := newCallers(s, 2, 40*time.Millisecond, check)
			time.Sleep(500 * time.Millisecond)
			limited := s.servers[engines : engines+2]
			named := time.Now()
			for _, srv := range limited {
				srv.SetNotice(standin.Notice{Limit: "1"})
			}
			time.Sleep(limitGrace)
			trouble(s)
			time.Sleep(limitWindow + time.Second)
			until := time.Now()
			for _, srv := range limited {
				srv.SetNotice(standin.Notice{})
			}
			for _, srv := range limited { // their next answers say so
				Eventually(func() int { return arrivedSince(srv, until) }).Should(BeNumerically(">", 4*limit+limitSlack), srv.Spec.ID)
			}
			calls := c.end()
			for _, srv := range limited {
				hosts := told(calls, srv, standin.LimitField)
				Expect(hosts).NotTo(BeEmpty())
				most := mostInWindow(srv.Arrivals(), calls, hosts, named.Add(limitGrace), until.Add(-limitWindow))
				Expect(most).To(BeNumerically("<=", allowed(limit)), srv.Spec.ID)
				Expect(most).To(BeNumerically(">", 0), "%s may take more", srv.Spec.ID)
			}
			answered := 0
			for _, call := range calls {
				if call.reply.Status == http.StatusOK {
					answered++
				}
			}
			GinkgoWriter.Printf("%d of %d calls answered\n", answered, len(calls))
			s.keepsPromises()
		},
		Entry("while the home goes on", func(*site) {}),
		Entry("when the home is killed", func(s *site) {
			s.hosts[0].session.Kill()
			Eventually(s.hosts[0].session.Exited).Should(BeClosed())
		}),
		Entry("when the home stands still", func(s *site) {
			s.hosts[0].session.Signal(syscall.SIGSTOP)
			Eventually(s.hosts[0].stopped).Should(BeTrue())
			time.Sleep(limitWindow)
			s.hosts[0].session.Signal(syscall.SIGCONT)
		}),
	)
})

// sentAfter counts the requests that reach a server though their callers sent them later than
// bound after their host had passed on its word.
func sentAfter(bound time.Duration, arrivals []standin.Arrival, calls map[string]sentCall, told map[*host]time.Time) (late int) {
	for _, a := range arrivals {
		call := calls[a.Attempt]
		if at, ok := told[call.host]; ok && call.sent.Sub(at) > bound {
			late++
		}
	}
	return late
}

var _ = Describe("servers that say in their answers that they leave, while the store is away", func() {
	// Guards against a server that gets work after it has said that it leaves: hosts wait for
	// the store to tell them, or the host that was told does not keep to it without the home.
	DescribeTable("get nothing more from hosts that were told, and callers are served by others",
		func(trouble func(*site)) {
			const engines = 1
			s := newSite(siteOptions{hosts: 5, engines: engines, apps: 4, largeFirst: true})
			time.Sleep(3 * time.Second) // hosts that have just started know no home
			c := newCallers(s, 2, 40*time.Millisecond, check)
			time.Sleep(500 * time.Millisecond)
			s.store.SetDown(true)
			trouble(s)
			leaving := s.servers[engines : engines+2]
			for _, srv := range leaving {
				srv.SetNotice(standin.Notice{Leaving: true})
			}
			time.Sleep(drainTime + 3*time.Second)
			s.store.SetDown(false)
			s.hosts[0].session.Signal(syscall.SIGCONT)
			calls := c.end()
			for _, srv := range leaving {
				hosts := told(calls, srv, standin.LeavingField)
				Expect(hosts).NotTo(BeEmpty())
				Expect(sentAfter(drainTime, srv.Arrivals(), calls, hosts)).To(BeZero(), srv.Spec.ID)
			}
			s.keepsPromises()
		},
		Entry("and the home goes on", func(*site) {}),
		Entry("and the home stands still", func(s *site) {
			s.hosts[0].session.Signal(syscall.SIGSTOP)
			Eventually(s.hosts[0].stopped).Should(BeTrue())
		}),
	)
})

const (
	// From restGrace after a server has turned a host away until the end of the rest that it
	// asked for, restSends requests from that host may reach it.
	restGrace = 500 * time.Millisecond
	restSends = 2
)

// sentInRest is the most requests that reach a server from one host in a rest that it had
// asked that host for.
func sentInRest(rest time.Duration, arrivals []standin.Arrival, calls map[string]sentCall) (most int) {
	for _, asked := range arrivals {
		if !asked.Rejected {
			continue
		}
		n := 0
		for _, a := range arrivals {
			since := a.At.Sub(asked.At)
			if calls[a.Attempt].host == calls[asked.Attempt].host && since > restGrace && since < rest {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

var _ = Describe("servers that turn hosts away and ask for rest", func() {
	// Guards against a server that is asked again and again while it has asked for rest: its
	// word goes unread, or the next request does not know of it.
	DescribeTable("get next to nothing from these until then, and callers are served by others",
		func(trouble func(*site)) {
			const rest = 3 * time.Second
			s := newSite(siteOptions{hosts: 3, engines: 4, apps: 1, largeFirst: true, engine: standin.ServerSpec{PerEvent: 10 * time.Millisecond}})
			time.Sleep(3 * time.Second)                         // hosts that have just started know no home
			c := newCallers(s, 16, 10*time.Millisecond, digest) // more than two engines have places for
			time.Sleep(500 * time.Millisecond)
			trouble(s)
			resting := s.servers[:2]
			for _, srv := range resting {
				srv.SetNotice(standin.Notice{Rest: "3"})
			}
			time.Sleep(2 * rest)
			for _, srv := range resting {
				srv.SetNotice(standin.Notice{})
			}
			well := time.Now()
			s.hosts[0].session.Signal(syscall.SIGCONT)
			for _, srv := range resting {
				Eventually(func() int { return arrivedSince(srv, well) }).Should(BeNumerically(">", 10), srv.Spec.ID)
			}
			calls := c.end()
			for _, srv := range resting {
				Expect(sentInRest(rest, srv.Arrivals(), calls)).To(BeNumerically("<=", restSends), srv.Spec.ID)
			}
			s.keepsPromises()
		},
		Entry("while the home goes on", func(*site) {}),
		Entry("when the home stands still", func(s *site) {
			s.hosts[0].session.Signal(syscall.SIGSTOP)
			Eventually(s.hosts[0].stopped).Should(BeTrue())
		}),
	)
})

var _ = Describe("the check of limits", func() {
	It("counts what comes from hosts that were told, in any window", func() {
		a, b := &host{name: "a"}, &host{name: "b"}
		at := func(d time.Duration) time.Time { return time.Unix(100, 0).Add(d) }
		calls := map[string]sentCall{"a": {host: a}, "b": {host: b}}
		toldAt := map[*host]time.Time{a: at(0)}
		var arrivals []standin.Arrival
		for i := range 10 {
			arrivals = append(arrivals,
				standin.Arrival{Attempt: "a", At: at(time.Duration(i) * time.Second)},
				standin.Arrival{Attempt: "b", At: at(time.Duration(i) * time.Second)})
		}
		Expect(mostInWindow(arrivals, calls, toldAt, at(0), at(20*time.Second))).To(Equal(4))
		Expect(mostInWindow(arrivals, calls, toldAt, at(8*time.Second), at(20*time.Second))).To(Equal(2))
		toldAt[b] = at(0)
		Expect(mostInWindow(arrivals, calls, toldAt, at(0), at(20*time.Second))).To(Equal(8))
		Expect(allowed(1.1)).To(Equal(11))
	})
})
