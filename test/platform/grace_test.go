package platform

import (
	"bufio"
	"cmp"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"regexp"
	"sync"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/gentianflow/gentianflow/platform/standin"
)

// lateRequest is a request whose body is complete only some time after its header was sent, unless it is answered
// before.
type lateRequest struct {
	attempt  string
	after    time.Duration // from the SIGTERM to the last byte of the body
	read     bool          // the host may have read all of it
	status   int
	complete bool
}

// sendLate sends the header of a call, and its body when it is told to.
func (h *host) sendLate(n int, c standin.Call, sendBody <-chan time.Duration) (r lateRequest) {
	c.Body = cmp.Or(c.Body, "x")
	r.attempt = fmt.Sprintf("%016x", 1<<42+n)
	conn, err := net.DialTimeout("tcp", h.at(entryPort), time.Second)
	if err != nil {
		return r
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(rawStreamTimeout))
	var tokens string
	if c.Prompt > 0 {
		tokens = fmt.Sprintf("Gentianflow-Model: m\r\nGentianflow-Token-Count: %d,%d\r\nGentianflow-Prompt-Prefix: 5c1e07a2:60,%s:%d\r\n", c.Prompt, c.Output, r.attempt, c.Prompt-60)
	}
	_, _ = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: %s\r\nGentianflow-Attempt-Id: %s\r\nAuthorization: Bearer %s\r\nGentianflow-Deadline-Ms: 15000\r\n%sContent-Length: %d\r\n\r\n",
		c.Path, standin.Host, r.attempt, standin.DefaultAccountKey, tokens, len(c.Body))
	answered := make(chan struct{})
	go func() {
		defer close(answered)
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil {
			return
		}
		r.status = resp.StatusCode
		_, err = io.Copy(io.Discard, resp.Body)
		r.complete = err == nil
	}()
	select {
	case r.after = <-sendBody:
		_, err = io.WriteString(conn, c.Body)
		r.read = err == nil
	case <-answered:
	}
	<-answered
	return r
}

// waitOfCut returns how long a request whose answer was cut off had waited for a server, by the host's log. It is
// a very long time if the log does not tell.
func (h *host) waitOfCut(attempt string) time.Duration {
	line := regexp.MustCompile("name=request_cut request=" + attempt + " [^\n]* waited=([0-9a-z.]+) ").FindSubmatch(h.logged())
	if line == nil {
		return math.MaxInt32 * time.Second
	}
	wait, err := time.ParseDuration(string(line[1]))
	Expect(err).NotTo(HaveOccurred())
	return wait
}

var _ = Describe("a host that shuts down in calm", func() {
	const (
		requests = 16
		apart    = 450 * time.Millisecond
		perEvent = 100 * time.Millisecond
		// sentBeforeEnd is how long before SIGTERM the first requests of a spec are sent, and latestSend how long
		// after it a request whose answer may be cut off reaches a server.
		sentBeforeEnd = 300 * time.Millisecond
		latestSend    = 3 * time.Second
	)
	calm := func() *site {
		s := newSite(siteOptions{hosts: 3, engines: 2, engine: standin.ServerSpec{Slots: 24, PerEvent: perEvent}})
		for i := range 2 {
			s.addServer(standin.ServerSpec{
				ID: fmt.Sprintf("i-app%d", i), Service: standin.AppService, Zone: s.zone(i), Address: "127.0.0.1:0",
				Slots: 24, Queue: 24, Work: 1500 * time.Millisecond,
			})
		}
		s.changeConfig(func(c *standin.Config) {
			for _, route := range c.Routes {
				route["timeoutMs"], route["targetLatencyMs"] = 15000, 3000
			}
		})
		time.Sleep(500 * time.Millisecond) // until it is in force
		return s
	}
	lasting := func(c standin.Call, d time.Duration) standin.Call {
		c.Output = int(d/perEvent) * standin.Stride
		return c
	}
	// A request that the host has read gets a whole answer, and one that is refused has not run. Only a stream that
	// was passed on in time, to a server that began it late, may outlast the grace time.
	check := func(s *site, all []lateRequest) {
		for _, r := range all {
			if r.read && !r.complete {
				Expect(r.after).To(BeNumerically("<", latestSend), "%+v", r)
				Expect(r.after+s.hosts[0].waitOfCut(r.attempt)).To(BeNumerically("<", sentBeforeEnd+latestSend), "%+v", r)
				continue
			}
			if !r.read {
				Expect(s.runsOf(r.attempt)).To(BeEmpty(), "%+v", r)
				continue
			}
			Expect(r.complete).To(BeTrue(), "%+v", r)
			Expect(r.status).To(BeElementOf(http.StatusOK, http.StatusServiceUnavailable), "%+v", r)
			if r.status != http.StatusOK {
				Expect(s.runsOf(r.attempt)).To(BeEmpty(), "%+v", r)
			}
		}
	}

	// Guards against requests that are passed on so late that the end of the process cuts off their answers.
	DescribeTable("answers or refuses requests whose bodies arrive late",
		func(c standin.Call) {
			s := calm()
			var mu sync.Mutex
			var callers sync.WaitGroup
			var all []lateRequest
			bodies := make([]chan time.Duration, requests)
			for i := range requests {
				bodies[i] = make(chan time.Duration, 1)
				callers.Go(func() {
					r := s.hosts[0].sendLate(i, c, bodies[i])
					mu.Lock()
					defer mu.Unlock()
					all = append(all, r)
				})
			}
			time.Sleep(sentBeforeEnd) // until the host has read the headers
			s.hosts[0].session.Signal(syscall.SIGTERM)
			start := time.Now()
			for i := range requests {
				after := time.Duration(i+1) * apart
				time.Sleep(time.Until(start.Add(after)))
				bodies[i] <- after
			}
			callers.Wait()
			Expect(all).To(HaveLen(requests))
			check(s, all)
		},
		Entry("streams of 1.5 s", lasting(digest(), 1500*time.Millisecond)),
		Entry("streams of 3 s", lasting(digest(), 3*time.Second)),
		Entry("resumable streams of 3 s", lasting(appraise(), 3*time.Second)),
		Entry("unsafe calls of 1.5 s", confirm()),
	)

	// Guards against callers that get no answer, since their server has not answered by the end of the process.
	It("answers requests that outlast the grace time", func() {
		s := newSite(siteOptions{hosts: 3, engines: 1})
		slow := s.addServer(standin.ServerSpec{ID: "i-app0", Service: standin.AppService, Zone: s.zone(0), Address: "127.0.0.1:0", Slots: 24, Queue: 24, Work: 12 * time.Second})
		s.changeConfig(func(c *standin.Config) {
			for _, route := range c.Routes {
				route["timeoutMs"] = 15000
			}
		})
		time.Sleep(500 * time.Millisecond) // until it is in force
		now := make(chan time.Duration)
		close(now)
		var callers sync.WaitGroup
		var r lateRequest
		callers.Go(func() { r = s.hosts[0].sendLate(0, confirm(), now) })
		Eventually(func() int { return len(slow.Runs()) }).Should(Equal(1))
		s.hosts[0].session.Signal(syscall.SIGTERM)
		callers.Wait()
		Expect(r.complete).To(BeTrue(), "%+v", r)
		Expect(r.status).To(Equal(http.StatusBadGateway), "%+v", r)
	})

	// Guards against requests that wait for a server until it is too late for their answers.
	It("answers or refuses requests that wait for a server", func() {
		s := calm()
		const waiting = 120 // the servers run 48 at a time
		var mu sync.Mutex
		var callers sync.WaitGroup
		var all []lateRequest
		now := make(chan time.Duration)
		close(now)
		for i := range waiting {
			callers.Go(func() {
				r := s.hosts[0].sendLate(i, lasting(digest(), 4*time.Second), now)
				mu.Lock()
				defer mu.Unlock()
				all = append(all, r)
			})
		}
		time.Sleep(sentBeforeEnd)
		s.hosts[0].session.Signal(syscall.SIGTERM)
		callers.Wait()
		check(s, all)
	})
})
