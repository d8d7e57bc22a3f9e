package platform

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/gentianflow/gentianflow/platform/standin"
)

// rawStream is what a caller with a connection of its own saw of a stream.
type rawStream struct {
	host, proto string
	server      string // its seal, which names the server
	status      int
	events      int
	whole       bool // all events arrived
	ended       bool // the answer ended without an error
}

// falseEnd reports whether a part of the stream looked complete.
func (r rawStream) falseEnd() bool { return r.status == http.StatusOK && r.ended && !r.whole }

// rawStreamTimeout bounds a stream that neither ends nor breaks.
const rawStreamTimeout = 20 * time.Second

// askRaw sends a call for a stream over a connection of its own, and begins to read the answer after a delay.
func askRaw(h *host, proto string, n int, readAfter time.Duration, c standin.Call) rawStream {
	r := rawStream{host: h.name, proto: proto}
	conn, err := net.DialTimeout("tcp", h.at(entryPort), time.Second)
	if err != nil {
		return r
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(rawStreamTimeout))
	attempt := fmt.Sprintf("%016x", 1<<40+n)
	_, _ = fmt.Fprintf(conn, "POST %s %s\r\nHost: %s\r\nGentianflow-Attempt-Id: %s\r\nAuthorization: Bearer %s\r\nGentianflow-Model: m\r\n"+
		"Gentianflow-Token-Count: %d,%d\r\nGentianflow-Prompt-Prefix: 5c1e07a2:60,%s:%d\r\nGentianflow-Deadline-Ms: 15000\r\nContent-Length: %d\r\n\r\n%s",
		c.Path, proto, standin.Host, attempt, standin.DefaultAccountKey, c.Prompt, c.Output, attempt, c.Prompt-60, len(c.Body), c.Body)
	time.Sleep(readAfter)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return r
	}
	body, err := io.ReadAll(resp.Body)
	r.status, r.server = resp.StatusCode, resp.Header.Get("Gentianflow-Server-Seal")
	r.events = strings.Count(string(body), "\n\n")
	r.ended, r.whole = err == nil, string(body) == c.Expected(attempt)
	return r
}

var _ = Describe("streams on a host whose process ends", func() {
	const (
		perHost    = 16
		slowReader = 2500 * time.Millisecond // after most of the ends
	)
	end := func(signal syscall.Signal) func(*site) {
		return func(s *site) { s.hosts[1].session.Signal(signal) }
	}
	// Guards against a stream that was cut off by the end of a process and looks complete to its caller.
	DescribeTable("never look complete before their last event",
		func(events int, disrupt func(*site), cutsOff bool) {
			s := newSite(siteOptions{
				hosts: 3, engines: 3, apps: 1, largeFirst: true, engine: standin.ServerSpec{Slots: 24, PerEvent: 160 * time.Millisecond},
				framings: []standin.Framing{standin.ByConnection, standin.ByChunks, standin.ByLength},
			})
			s.changeConfig(func(c *standin.Config) {
				for _, route := range c.Routes {
					route["timeoutMs"] = 15000
				}
			})
			time.Sleep(500 * time.Millisecond) // until it is in force
			c := digest()
			c.Output = events * standin.Stride
			var mu sync.Mutex
			var callers sync.WaitGroup
			var all []rawStream
			for i, h := range s.hosts {
				for j := range perHost {
					proto := []string{"HTTP/1.1", "HTTP/1.0"}[j%2]
					readAfter := []time.Duration{0, slowReader}[j/2%2]
					callers.Go(func() {
						r := askRaw(h, proto, i*perHost+j, readAfter, c)
						mu.Lock()
						defer mu.Unlock()
						all = append(all, r)
					})
				}
			}
			time.Sleep(time.Second)
			disrupt(s)
			callers.Wait()
			falseEnds, cut, whole, servers := []rawStream{}, 0, 0, map[string]bool{}
			for _, r := range all {
				switch {
				case r.falseEnd():
					falseEnds = append(falseEnds, r)
				case r.status == http.StatusOK && r.ended:
					whole++
				case r.status == http.StatusOK:
					cut++
					servers[r.server] = true
				}
			}
			Expect(falseEnds).To(BeEmpty())
			if cutsOff {
				Expect(cut).To(BeNumerically(">=", perHost/2), "streams on the host that ends")
				Expect(servers).To(HaveLen(3), "each framing")
				Expect(whole).To(BeNumerically(">=", 2*perHost-2), "streams on the other hosts")
			} else {
				Expect(whole).To(Equal(len(all)))
			}
		},
		Entry("while nothing ends", 15, func(*site) {}, false),
		Entry("when the settings are read again", 15, end(syscall.SIGHUP), false),
		Entry("when the grace time is over", 77, end(syscall.SIGTERM), true),
		Entry("when it is killed while it shuts down", 25, func(s *site) {
			end(syscall.SIGTERM)(s)
			time.Sleep(500 * time.Millisecond)
			end(syscall.SIGKILL)(s)
		}, true),
		Entry("when it is told to shut down twice and then killed", 25, func(s *site) {
			end(syscall.SIGTERM)(s)
			time.Sleep(200 * time.Millisecond)
			end(syscall.SIGTERM)(s)
			time.Sleep(200 * time.Millisecond)
			end(syscall.SIGKILL)(s)
		}, true),
		Entry("when it is killed", 25, end(syscall.SIGKILL), true),
		Entry("when it crashes", 25, end(syscall.SIGABRT), true),
		Entry("when it is the home and is killed", 25, func(s *site) { s.hosts[0].session.Kill() }, true),
	)
})
