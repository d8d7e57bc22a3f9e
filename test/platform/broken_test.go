package platform

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/gentianflow/gentianflow/platform/standin"
)

// brokenAnswer is what a faulty server sends once it has read the header of a request.
type brokenAnswer struct {
	text  string
	reset bool          // the connection is reset after the answer, not closed
	after time.Duration // from the answer to the end of the connection
}

// startBroken starts a faulty server of a service. requests counts what reaches it.
func (s *site) startBroken(service string, a brokenAnswer) (requests *atomic.Int64) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() { _ = l.Close() })
	requests = &atomic.Int64{}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go a.serve(conn.(*net.TCPConn), requests)
		}
	}()
	s.store.Put("servers", "i-broken-"+service, map[string]any{
		"service": service, "address": l.Addr().String(), "zone": s.zone(0), "version": "v1", "slots": 64, "state": "ready",
		"coldRemainingMs": 0, "sequence": 1, "born": time.Now().UnixMilli(),
	})
	return requests
}

func (a brokenAnswer) serve(conn *net.TCPConn, requests *atomic.Int64) {
	defer func() { _ = conn.Close() }()
	r, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	requests.Add(1)
	id := r.Header.Get("Gentianflow-Attempt-Id")
	_, _ = io.WriteString(conn, strings.NewReplacer("{id}", id, "{event}", standin.Event(id, 1)).Replace(a.text))
	time.Sleep(a.after)
	if a.reset {
		_ = conn.SetLinger(0)
	}
}

// rawAnswer is what a caller with a connection of its own got.
type rawAnswer struct {
	status int
	body   string
	whole  bool
}

// sendRaw sends a call over a connection of its own and reads the answer to its end.
func (s *site) sendRaw(h *host, n int, c standin.Call) (a rawAnswer) {
	conn, err := net.DialTimeout("tcp", h.at(entryPort), time.Second)
	if err != nil {
		return a
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(rawStreamTimeout))
	id := fmt.Sprintf("%016x", 1<<41+n)
	var tokens string
	if c.Prompt > 0 {
		tokens = fmt.Sprintf("Gentianflow-Model: m\r\nGentianflow-Token-Count: %d,%d\r\nGentianflow-Prompt-Prefix: 5c1e07a2:60,%s:%d\r\n", c.Prompt, c.Output, id, c.Prompt-60)
	}
	go func() {
		_, _ = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: %s\r\nGentianflow-Attempt-Id: %s\r\nAuthorization: Bearer %s\r\nGentianflow-Deadline-Ms: 4000\r\n%sContent-Length: %d\r\n\r\n%s",
			c.Path, standin.Host, id, standin.DefaultAccountKey, tokens, len(c.Body), c.Body)
	}()
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return a
	}
	body, err := io.ReadAll(resp.Body)
	return rawAnswer{status: resp.StatusCode, body: string(body), whole: err == nil}
}

var _ = Describe("a server that sends broken answers", func() {
	const (
		callers  = 24
		bodySize = 1_000_000
		signed   = "Gentianflow-Server-Seal: s\r\nGentianflow-Attempt-Id: {id}\r\n"
		events   = signed + "Content-Type: text/event-stream\r\n"
	)
	large := func(c standin.Call) standin.Call {
		c.Body = strings.Repeat("x", bodySize)
		return c
	}
	// Guards against an answer that was cut off, or is none, and reaches callers as a whole answer.
	DescribeTable("reaches no caller as a whole answer",
		func(service string, call standin.Call, answer brokenAnswer) {
			options := siteOptions{hosts: 2, engines: 1, apps: 1}
			if service == standin.AppService {
				options.apps = 0
			} else {
				options.engines = 0
			}
			s := newSite(options)
			requests := s.startBroken(service, answer)
			time.Sleep(500 * time.Millisecond) // until the hosts know it
			var mu sync.Mutex
			var all sync.WaitGroup
			var passed []rawAnswer
			for i := range callers {
				all.Go(func() {
					a := s.sendRaw(s.hosts[i%2], i, call)
					mu.Lock()
					defer mu.Unlock()
					// The host's own refusals have these status.
					if a.whole && a.status != http.StatusBadGateway && a.status != http.StatusServiceUnavailable && a.status != http.StatusGatewayTimeout {
						passed = append(passed, a)
					}
				})
				time.Sleep(20 * time.Millisecond)
			}
			all.Wait()
			Expect(requests.Load()).To(BeNumerically(">", 0))
			Expect(passed).To(BeEmpty())
		},
		Entry("an upload reset at once", standin.AppService, large(confirm()), brokenAnswer{"HTTP/1.1 200 OK\r\n" + signed + "\r\npart", true, 0}),
		Entry("an upload reset after a while", standin.AppService, large(confirm()), brokenAnswer{"HTTP/1.1 200 OK\r\n" + signed + "\r\npart", true, 40 * time.Millisecond}),
		Entry("an upload reset at once, large answer", standin.AppService, large(confirm()), brokenAnswer{"HTTP/1.1 200 OK\r\n" + signed + "\r\n" + strings.Repeat("y", 400<<10), true, 0}),
		Entry("an upload reset at once, safe", standin.AppService, large(check()), brokenAnswer{"HTTP/1.1 200 OK\r\n" + signed + "\r\npart", true, 0}),
		Entry("a stream reset during the upload", standin.EngineService, large(digest()), brokenAnswer{"HTTP/1.1 200 OK\r\n" + events + "\r\n{event}", true, 0}),
		Entry("a resumable stream reset during the upload", standin.EngineService, large(appraise()), brokenAnswer{"HTTP/1.1 200 OK\r\n" + events + "\r\n{event}", true, 0}),
		Entry("status 000", standin.AppService, check(), brokenAnswer{"HTTP/1.1 000 Trouble\r\n" + signed + "Content-Length: 2\r\n\r\nok", false, 0}),
		Entry("status 000 with an answer as its body", standin.AppService, check(), brokenAnswer{"HTTP/1.1 000 Trouble\r\n\r\nHTTP/1.1 200 OK\r\n" + signed + "Content-Length: 2\r\n\r\nok", false, 0}),
		Entry("status 101 that was not asked for", standin.AppService, check(), brokenAnswer{"HTTP/1.1 101 Switching Protocols\r\n" + signed + "\r\n", false, 0}),
		Entry("a blank in a name", standin.AppService, check(), brokenAnswer{"HTTP/1.1 200 OK\r\n" + signed + "X Bad: 1\r\nContent-Length: 2\r\n\r\nok", false, 0}),
		Entry("a control byte in a name", standin.AppService, check(), brokenAnswer{"HTTP/1.1 200 OK\r\n" + signed + "X\x01Bad: 1\r\nContent-Length: 2\r\n\r\nok", false, 0}),
		Entry("a blank after the name of the length", standin.AppService, check(), brokenAnswer{"HTTP/1.1 200 OK\r\n" + signed + "Content-Length : 2\r\n\r\nok, and more", false, 0}),
		Entry("a blank after the name of the coding", standin.AppService, check(), brokenAnswer{"HTTP/1.1 200 OK\r\n" + signed + "Transfer-Encoding : chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", false, 0}),
		Entry("a blank in a name of a trailer", standin.AppService, check(), brokenAnswer{"HTTP/1.1 200 OK\r\n" + signed + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nX Bad: 1\r\n\r\n", false, 0}),
		Entry("a stream with a blank in a name", standin.EngineService, digest(), brokenAnswer{"HTTP/1.1 200 OK\r\n" + events + "X Bad: 1\r\n\r\n{event}", false, 0}),
		Entry("a stream with status 101", standin.EngineService, appraise(), brokenAnswer{"HTTP/1.1 101 Switching Protocols\r\n" + events + "\r\n{event}", false, 0}),
	)
})
