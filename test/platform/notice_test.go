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
	// A limit applies from limitGrace after a server first states it, and to a host from
	// hostGrace after the host has forwarded an answer that states it. In any limitWindow, at
	// most limitFactor times the limit plus limitSlack requests may arrive.
	limitGrace  = 3 * time.Second
	hostGrace   = 500 * time.Millisecond
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5
)

// sentCall is a call with the host it was sent to and its reply.
type sentCall struct {
	host  *host
	reply standin.Reply
	sent  time.Time
	at    time.Time // when the head of its answer arrived
}

// callers sends calls to all hosts until it is stopped. mu guards calls.
type callers struct {
	site *site
	stop chan struct{}
	done sync.WaitGroup

	mu    sync.Mutex
	calls map[string]sentCall // by attempt
}

// newCallers starts perHost callers for each host. Each sends its next call after the last
// one is answered and pause has passed.
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

// end stops the callers and returns the calls that they sent, by attempt.
func (c *callers) end() map[string]sentCall {
	close(c.stop)
	c.done.Wait()
	return c.calls
}

// noticeTimes returns when each host first forwarded an answer of a server that has a header
// field.
func noticeTimes(calls map[string]sentCall, srv *standin.Server, field string) map[*host]time.Time {
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

// maxInWindow returns the largest number of requests that reach a server within a limitWindow
// between from and to+limitWindow. It counts only requests of hosts in noticeAt, from
// hostGrace after the notice.
func maxInWindow(arrivals []standin.Arrival, calls map[string]sentCall, noticeAt map[*host]time.Time, from, to time.Time) (maxCount int) {
	var limited []time.Time
	for _, a := range arrivals {
		at, ok := noticeAt[calls[a.Attempt].host]
		if ok && a.At.Sub(at) >= hostGrace && !a.At.Before(from) && a.At.Before(to.Add(limitWindow)) {
			limited = append(limited, a.At)
		}
	}
	slices.SortFunc(limited, time.Time.Compare)
	for i, begin := range limited {
		end, _ := slices.BinarySearchFunc(limited, begin.Add(limitWindow), time.Time.Compare)
		maxCount = max(maxCount, end-i)
	}
	return maxCount
}

// allowedInWindow returns how many requests may reach a server in a limitWindow under a limit
// of requests per second.
func allowedInWindow(limit float64) int {
	return int(limit*limitWindow.Seconds()*limitFactor) + limitSlack
}

// arrivedSince counts the requests that reached a server after a point in time.
func arrivedSince(srv *standin.Server, since time.Time) (n int) {
	for _, a := range srv.Arrivals() {
		if a.At.After(since) {
			n++
		}
	}
	return n
}

var _ = Describe("servers that state a limit of requests per second", func() {
	// An overloaded server must not get more requests than the limit that it states. It would
	// if hosts ignored the notice, if each host applied the limit to itself alone, or if the
	// limit were lost with the home.
	DescribeTable("get no more than that from all hosts together, and callers are served by others",
		func(fault func(*site)) {
			const hosts, engines, limit = 5, 1, 1
			s := newSite(siteOptions{hosts: hosts, engines: engines, apps: 4, largeFirst: true})
			time.Sleep(3 * time.Second) // hosts that have just started do not know the home
			c := newCallers(s, 2, 40*time.Millisecond, check)
			time.Sleep(500 * time.Millisecond)
			limited := s.servers[engines : engines+2]
			noticeSent := time.Now()
			for _, srv := range limited {
				srv.SetNotice(standin.Notice{Limit: "1"})
			}
			time.Sleep(limitGrace)
			fault(s)
			time.Sleep(limitWindow + time.Second)
			until := time.Now()
			for _, srv := range limited {
				srv.SetNotice(standin.Notice{})
			}
			for _, srv := range limited { // their next answers carry no limit
				Eventually(func() int { return arrivedSince(srv, until) }).Should(BeNumerically(">", 4*limit+limitSlack), srv.Spec.ID)
			}
			calls := c.end()
			for _, srv := range limited {
				noticeAt := noticeTimes(calls, srv, standin.LimitField)
				Expect(noticeAt).NotTo(BeEmpty())
				maxCount := maxInWindow(srv.Arrivals(), calls, noticeAt, noticeSent.Add(limitGrace), until.Add(-limitWindow))
				Expect(maxCount).To(BeNumerically("<=", allowedInWindow(limit)), srv.Spec.ID)
				Expect(maxCount).To(BeNumerically(">", 0), "%s gets no requests although its limit allows them", srv.Spec.ID)
			}
			answered := 0
			for _, call := range calls {
				if call.reply.Status == http.StatusOK {
					answered++
				}
			}
			GinkgoWriter.Printf("%d of %d calls answered\n", answered, len(calls))
			s.checkPromises()
		},
		Entry("while the home runs", func(*site) {}),
		Entry("when the home is killed", func(s *site) {
			s.hosts[0].session.Kill()
			Eventually(s.hosts[0].session.Exited).Should(BeClosed())
		}),
		Entry("when the home is paused", func(s *site) {
			s.hosts[0].session.Signal(syscall.SIGSTOP)
			Eventually(s.hosts[0].stopped).Should(BeTrue())
			time.Sleep(limitWindow)
			s.hosts[0].session.Signal(syscall.SIGCONT)
		}),
	)
})

// sentAfter counts the requests that reach a server although their callers sent them later
// than bound after the host had forwarded the server's notice.
func sentAfter(bound time.Duration, arrivals []standin.Arrival, calls map[string]sentCall, noticeAt map[*host]time.Time) (late int) {
	for _, a := range arrivals {
		call := calls[a.Attempt]
		if at, ok := noticeAt[call.host]; ok && call.sent.Sub(at) > bound {
			late++
		}
	}
	return late
}

var _ = Describe("servers that announce in their answers that they leave, while the store is unreachable", func() {
	// A server must not get requests after it has announced in an answer that it leaves. It
	// would if hosts waited for the change in the store, or if the host that forwarded the
	// answer needed the home to act on it.
	DescribeTable("get no more requests from hosts that saw the notice, and callers are served by others",
		func(fault func(*site)) {
			const engines = 1
			s := newSite(siteOptions{hosts: 5, engines: engines, apps: 4, largeFirst: true})
			time.Sleep(3 * time.Second) // hosts that have just started do not know the home
			c := newCallers(s, 2, 40*time.Millisecond, check)
			time.Sleep(500 * time.Millisecond)
			s.store.SetDown(true)
			fault(s)
			leaving := s.servers[engines : engines+2]
			for _, srv := range leaving {
				srv.SetNotice(standin.Notice{Leaving: true})
			}
			time.Sleep(drainTime + 3*time.Second)
			s.store.SetDown(false)
			s.hosts[0].session.Signal(syscall.SIGCONT)
			calls := c.end()
			for _, srv := range leaving {
				noticeAt := noticeTimes(calls, srv, standin.LeavingField)
				Expect(noticeAt).NotTo(BeEmpty())
				Expect(sentAfter(drainTime, srv.Arrivals(), calls, noticeAt)).To(BeZero(), srv.Spec.ID)
			}
			s.checkPromises()
		},
		Entry("and the home runs", func(*site) {}),
		Entry("and the home is paused", func(s *site) {
			s.hosts[0].session.Signal(syscall.SIGSTOP)
			Eventually(s.hosts[0].stopped).Should(BeTrue())
		}),
	)
})

const (
	// From backoffGrace after a server has rejected a request of a host until the end of the
	// backoff that it asked for, at most maxBackoffSends requests of that host may reach it.
	backoffGrace    = 500 * time.Millisecond
	maxBackoffSends = 2
)

// maxSentInBackoff returns the largest number of requests that reach a server from one host
// during a backoff that the server asked that host for.
func maxSentInBackoff(backoff time.Duration, arrivals []standin.Arrival, calls map[string]sentCall) (maxCount int) {
	for _, asked := range arrivals {
		if !asked.Rejected {
			continue
		}
		n := 0
		for _, a := range arrivals {
			since := a.At.Sub(asked.At)
			if calls[a.Attempt].host == calls[asked.Attempt].host && since > backoffGrace && since < backoff {
				n++
			}
		}
		maxCount = max(maxCount, n)
	}
	return maxCount
}

var _ = Describe("servers that reject requests and ask for a backoff", func() {
	// A server must not get request after request during a backoff that it asked for. It would
	// if hosts ignored the notice, or did not apply it to their next requests.
	DescribeTable("get almost no requests from the rejected hosts during it, and callers are served by others",
		func(fault func(*site)) {
			const backoff = 3 * time.Second
			s := newSite(siteOptions{hosts: 3, engines: 4, apps: 1, largeFirst: true, engine: standin.ServerSpec{PerEvent: 10 * time.Millisecond}})
			time.Sleep(3 * time.Second)                         // hosts that have just started do not know the home
			c := newCallers(s, 16, 10*time.Millisecond, digest) // more than two engines can run
			time.Sleep(500 * time.Millisecond)
			fault(s)
			overloaded := s.servers[:2]
			for _, srv := range overloaded {
				srv.SetNotice(standin.Notice{Rest: "3"})
			}
			time.Sleep(2 * backoff)
			for _, srv := range overloaded {
				srv.SetNotice(standin.Notice{})
			}
			noticeEnded := time.Now()
			s.hosts[0].session.Signal(syscall.SIGCONT)
			for _, srv := range overloaded {
				Eventually(func() int { return arrivedSince(srv, noticeEnded) }).Should(BeNumerically(">", 10), srv.Spec.ID)
			}
			calls := c.end()
			for _, srv := range overloaded {
				Expect(maxSentInBackoff(backoff, srv.Arrivals(), calls)).To(BeNumerically("<=", maxBackoffSends), srv.Spec.ID)
			}
			s.checkPromises()
		},
		Entry("while the home runs", func(*site) {}),
		Entry("when the home is paused", func(s *site) {
			s.hosts[0].session.Signal(syscall.SIGSTOP)
			Eventually(s.hosts[0].stopped).Should(BeTrue())
		}),
	)
})

var _ = Describe("the check of limits", func() {
	It("counts the requests of hosts that saw the notice, in any window", func() {
		a, b := &host{name: "a"}, &host{name: "b"}
		at := func(d time.Duration) time.Time { return time.Unix(100, 0).Add(d) }
		calls := map[string]sentCall{"a": {host: a}, "b": {host: b}}
		noticeAt := map[*host]time.Time{a: at(0)}
		var arrivals []standin.Arrival
		for i := range 10 {
			arrivals = append(arrivals,
				standin.Arrival{Attempt: "a", At: at(time.Duration(i) * time.Second)},
				standin.Arrival{Attempt: "b", At: at(time.Duration(i) * time.Second)})
		}
		Expect(maxInWindow(arrivals, calls, noticeAt, at(0), at(20*time.Second))).To(Equal(4))
		Expect(maxInWindow(arrivals, calls, noticeAt, at(8*time.Second), at(20*time.Second))).To(Equal(2))
		noticeAt[b] = at(0)
		Expect(maxInWindow(arrivals, calls, noticeAt, at(0), at(20*time.Second))).To(Equal(8))
		Expect(allowedInWindow(1.1)).To(Equal(11))
	})
})
