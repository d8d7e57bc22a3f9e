package intake

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/gentianflow/gentianflow/internal/failure"
)

func TestIntake(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "intake")
}

// testServer is an http.Server on loopback behind a listener of an Intake. Its handler answers "ok", and
// requests of /wait only once release is closed.
type testServer struct {
	in      *Intake
	address string
	waiting chan struct{} // receives when a request of /wait has begun
	release chan struct{}
}

func newTestServer(limits Limits) *testServer {
	s := &testServer{in: New(limits, Options{MaxHead: 64 << 10, HeadTimeout: 5 * time.Second}), waiting: make(chan struct{}, 100), release: make(chan struct{})}
	l, err := s.in.ListenTCP("127.0.0.1:0", 1)
	Expect(err).NotTo(HaveOccurred())
	s.address = l.Addr().String()
	srv := &http.Server{
		ConnState: ConnState, ConnContext: WithConn, ReadHeaderTimeout: 5 * time.Second, IdleTimeout: 30 * time.Second,
		Handler: l.Handle(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/wait" {
				s.waiting <- struct{}{}
				<-s.release
			}
			if r.URL.Path == "/body" {
				s.serveBody(w, r)
				return
			}
			if r.URL.Path == "/echo" {
				body, _ := ReadBody(r.Context(), r.Body, r.ContentLength, time.Now().Add(10*time.Second))
				_, _ = fmt.Fprintf(w, "%s %d %s", r.Header.Get("Number"), len(r.Header), body)
				return
			}
			_, _ = io.WriteString(w, "ok")
		})),
	}
	go func() { _ = srv.Serve(l) }()
	DeferCleanup(func() { _ = srv.Close() })
	return s
}

// bodyTime is the time limit of bodies of /body.
const bodyTime = 3 * time.Second

// serveBody answers with the length of the body, or with the status of its failure.
func (s *testServer) serveBody(w http.ResponseWriter, r *http.Request) {
	body, err := ReadBody(r.Context(), r.Body, r.ContentLength, time.Now().Add(bodyTime))
	if err != nil {
		w.Header().Set("Connection", "close")
		LeaveBody(r.Context())
		w.WriteHeader(failure.From(err).Status())
		return
	}
	_, _ = fmt.Fprint(w, len(body))
}

func (s *testServer) dial() net.Conn {
	conn, err := net.Dial("tcp", s.address)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() { _ = conn.Close() }) // the spec may have closed it
	return conn
}

// dialCounted is dial, and waits until the connection counts, if the limit allows one more.
func (s *testServer) dialCounted() net.Conn {
	u := s.in.Usage()
	conn := s.dial()
	if u.Connections < u.Limits.Connections {
		Eventually(func() int { return s.in.Usage().Connections }).Should(Equal(u.Connections + 1))
	}
	return conn
}

// ask sends a GET and returns the status of the answer.
func ask(conn net.Conn, path string) (int, error) {
	if _, err := fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: x\r\n\r\n", path); err != nil {
		return 0, err
	}
	_ = conn.SetReadDeadline(time.Now().Add(5 * time.Second))
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, err
	}
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, errors.Join(err, resp.Body.Close())
}

func expectAnswer(conn net.Conn) {
	GinkgoHelper()
	status, err := ask(conn, "/")
	Expect(err).NotTo(HaveOccurred())
	Expect(status).To(Equal(http.StatusOK))
}

// closedByServer reports whether the server has closed the connection.
func closedByServer(conn net.Conn) bool {
	_ = conn.SetReadDeadline(time.Now().Add(20 * time.Millisecond))
	_, err := conn.Read(make([]byte, 1))
	var timeout net.Error
	return err != nil && !(errors.As(err, &timeout) && timeout.Timeout())
}

var _ = Describe("connections beyond the limit", func() {
	// Guards against clients that keep others out by opening connections, and against closing the connection of
	// a request in progress.
	It("take the place of the oldest without a request, then of the longest idle, never of one at work", func() {
		s := newTestServer(Limits{Connections: minConnections})
		busy := s.dialCounted()
		go func() { _, _ = ask(busy, "/wait") }()
		Eventually(s.waiting).Should(Receive())
		var idle, fresh []net.Conn
		for range 3 {
			idle = append(idle, s.dialCounted())
			expectAnswer(idle[len(idle)-1])
		}
		for len(fresh) < 4 {
			fresh = append(fresh, s.dialCounted())
		}
		time.Sleep(stallTime)
		for i, victim := range append(fresh, idle...) {
			last := s.dialCounted()
			Eventually(func() bool { return closedByServer(victim) }).Should(BeTrue(), "victim %d", i)
			expectAnswer(last)
			Expect(s.in.Usage().Connections).To(Equal(minConnections))
		}
		close(s.release)
	})

	// Guards against a client that is turned away in its first moment, while others are idle.
	It("take the place of idle ones rather than of the only one without a request", func() {
		s := newTestServer(Limits{Connections: minConnections})
		for range minConnections - 1 {
			expectAnswer(s.dialCounted())
		}
		for range 2 * minConnections {
			first, second := s.dial(), s.dial()
			expectAnswer(second)
			expectAnswer(first)
		}
	})

	// Guards against a listener that accepts nothing any more, and against more connections than allowed.
	It("are closed at once while all others are at work", func() {
		s := newTestServer(Limits{Connections: minConnections})
		for range minConnections {
			conn := s.dialCounted()
			go func() { _, _ = ask(conn, "/wait") }()
			Eventually(s.waiting).Should(Receive())
		}
		refused := s.dialCounted()
		Eventually(func() bool { return closedByServer(refused) }).Should(BeTrue())
		close(s.release)
		Eventually(func() error {
			_, err := ask(s.dial(), "/")
			return err
		}).Should(Succeed())
	})

	// Guards against a lower limit that takes effect only for the next process.
	It("are closed by a lower limit", func() {
		s := newTestServer(Limits{Connections: 1000})
		for range 20 {
			s.dialCounted()
		}
		s.in.SetLimits(Limits{Connections: minConnections})
		Expect(s.in.Usage().Connections).To(BeNumerically("<=", minConnections))
		expectAnswer(s.dialCounted())
	})
})

var _ = Describe("a report", func() {
	// Guards against a log that grows with the number of refused clients.
	It("is made at most once in a second", func() {
		reports := 0
		in := New(Limits{}, Options{Report: func(Refusals) { reports++ }})
		for range 10000 {
			in.count(func(r *Refusals) { r.Closed++ })
		}
		Expect(reports).To(Equal(1))
	})
})
