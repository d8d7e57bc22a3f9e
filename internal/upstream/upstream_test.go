package upstream

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/gentianflow/gentianflow/internal/failure"
)

func TestUpstream(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "upstream")
}

// rawServer serves each connection with a function and sends the requests that it read to
// a channel.
type rawServer struct {
	l        net.Listener
	requests chan *http.Request
}

func serveRaw(handle func(conn net.Conn, r *bufio.Reader, s *rawServer)) *rawServer {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	s := &rawServer{l: l, requests: make(chan *http.Request, 64)}
	DeferCleanup(func() { _ = l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go handle(conn, bufio.NewReader(conn), s)
		}
	}()
	return s
}

func (s *rawServer) server() Server { return Server{ID: "i", Address: s.l.Addr().String()} }

// read reads one request with its body.
func (s *rawServer) read(r *bufio.Reader) bool {
	req, err := http.ReadRequest(r)
	if err != nil {
		return false
	}
	if _, err := io.Copy(io.Discard, req.Body); err != nil {
		return false
	}
	s.requests <- req
	return true
}

func anyAnswer(http.Header) bool { return true }

func deadline() time.Time { return time.Now().Add(2 * time.Second) }

// connectTo returns an idle connection to a server or a new one.
func connectTo(p *Pool, s Server) (*Conn, error) {
	if c := p.TakeIdle(s); c != nil {
		return c, nil
	}
	conn, err := p.Dial(context.Background(), s.Address)
	if err != nil {
		return nil, err
	}
	return p.NewConn(conn, s), nil
}

// roundTrip sends a request and reads the complete answer.
func roundTrip(p *Pool, s Server, req *Request, matches func(http.Header) bool) (string, *Conn, *http.Response, error) {
	c, err := connectTo(p, s)
	if err != nil {
		return "", nil, nil, err
	}
	if _, err = c.Send(req, deadline()); err != nil {
		return "", c, nil, err
	}
	resp, err := c.ReadHead(req.Method, matches)
	if err != nil {
		return "", c, nil, err
	}
	body, err := io.ReadAll(resp.Body)
	return string(body), c, resp, err
}

func post(body string) *Request {
	return &Request{Method: http.MethodPost, Target: "/a?b=%20c", Host: "site", Header: http.Header{"X-Own": {"1"}}, Body: []byte(body)}
}

const okAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

var _ = Describe("an exchange", func() {
	It("sends the request unchanged and keeps the connection", func() {
		s := serveRaw(func(conn net.Conn, r *bufio.Reader, s *rawServer) {
			for s.read(r) {
				fmt.Fprint(conn, okAnswer)
			}
		})
		p := NewPool(nil)
		body, c, resp, err := roundTrip(p, s.server(), post("payload"), anyAnswer)
		Expect(err).NotTo(HaveOccurred())
		Expect(body).To(Equal("ok"))
		c.Release(resp)
		got := <-s.requests
		Expect(got.RequestURI).To(Equal("/a?b=%20c"))
		Expect(got.Host).To(Equal("site"))
		Expect(got.Header.Get("X-Own")).To(Equal("1"))
		_, again, _, err := roundTrip(p, s.server(), post(""), anyAnswer)
		Expect(err).NotTo(HaveOccurred())
		Expect(again.Reused()).To(BeTrue())
	})

	// If an idle connection breaks while a request is sent on it, a transport that retries
	// on its own may run the request twice.
	It("never retries a request", func() {
		s := serveRaw(func(conn net.Conn, r *bufio.Reader, s *rawServer) {
			if s.read(r) {
				fmt.Fprint(conn, okAnswer)
			}
			s.read(r)
			_ = conn.Close()
		})
		p := NewPool(nil)
		for _, method := range []string{http.MethodGet, http.MethodPost} {
			_, c, resp, err := roundTrip(p, s.server(), post(""), anyAnswer)
			Expect(err).NotTo(HaveOccurred())
			c.Release(resp)
			<-s.requests
			req := post("")
			req.Method = method
			req.Header.Set("Idempotency-Key", "k")
			_, _, _, err = roundTrip(p, s.server(), req, anyAnswer)
			Expect(failure.Is(err, failure.ServerLost)).To(BeTrue())
			Expect(s.requests).To(Receive())
			Consistently(s.requests, "50ms").ShouldNot(Receive())
		}
	})

	It("does not reuse an idle connection that was closed or has unexpected input", func() {
		for _, last := range []string{"", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nextra"} {
			ended := make(chan struct{}, 1)
			s := serveRaw(func(conn net.Conn, r *bufio.Reader, s *rawServer) {
				if s.read(r) {
					fmt.Fprint(conn, okAnswer)
					time.Sleep(20 * time.Millisecond)
					fmt.Fprint(conn, last)
					if last == "" {
						_ = conn.Close()
					}
					ended <- struct{}{}
				}
			})
			p := NewPool(nil)
			_, c, resp, err := roundTrip(p, s.server(), post(""), anyAnswer)
			Expect(err).NotTo(HaveOccurred())
			c.Release(resp)
			<-ended
			Eventually(c.noPendingInput).Should(BeFalse())
			body, again, _, err := roundTrip(p, s.server(), post(""), anyAnswer)
			Expect(err).NotTo(HaveOccurred())
			Expect(again.Reused()).To(BeFalse())
			Expect(body).To(Equal("ok"))
		}
	})

	// When a server is cut off without a reset, all idle connections to it are dead. After
	// one request failed on such a connection, the next ones must not fail on the others.
	It("closes all idle connections to a server when one broke before any answer", func() {
		s := serveRaw(func(conn net.Conn, r *bufio.Reader, s *rawServer) {
			for s.read(r) {
				fmt.Fprint(conn, okAnswer)
			}
		})
		p := NewPool(nil)
		_, first, resp1, err := roundTrip(p, s.server(), post(""), anyAnswer)
		Expect(err).NotTo(HaveOccurred())
		_, second, resp2, err := roundTrip(p, s.server(), post(""), anyAnswer)
		Expect(err).NotTo(HaveOccurred())
		Expect(second.AnswerStarted()).To(BeTrue())
		first.Release(resp1)
		second.Release(resp2)
		again, err := connectTo(p, s.server())
		Expect(err).NotTo(HaveOccurred())
		_, err = again.Send(post(""), deadline())
		Expect(err).NotTo(HaveOccurred())
		Expect(again.Reused()).To(BeTrue())
		Expect(again.AnswerStarted()).To(BeFalse())
		p.CloseIdle(s.server())
		fresh, err := connectTo(p, s.server())
		Expect(err).NotTo(HaveOccurred())
		Expect(fresh.Reused()).To(BeFalse())
	})

	It("skips an answer that belongs to another request", func() {
		s := serveRaw(func(conn net.Conn, r *bufio.Reader, s *rawServer) {
			s.read(r)
			fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nX-Id: old\r\nContent-Length: 3\r\n\r\nold"+
				"HTTP/1.1 200 OK\r\nX-Id: new\r\nContent-Length: 3\r\n\r\nnew")
		})
		body, _, _, err := roundTrip(NewPool(nil), s.server(), post(""), func(h http.Header) bool { return h.Get("X-Id") == "new" })
		Expect(err).NotTo(HaveOccurred())
		Expect(body).To(Equal("new"))
	})

	DescribeTable("distinguishes a complete answer from one that is cut off",
		func(text string, whole bool) {
			s := serveRaw(func(conn net.Conn, r *bufio.Reader, s *rawServer) {
				s.read(r)
				fmt.Fprint(conn, text)
				_ = conn.Close()
			})
			_, _, _, err := roundTrip(NewPool(nil), s.server(), post(""), anyAnswer)
			Expect(err == nil).To(Equal(whole))
		},
		Entry("with a length", okAnswer, true),
		Entry("with a length, cut", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nok", false),
		Entry("in chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", true),
		Entry("in chunks, cut", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n", false),
		Entry("without a length, ended by the close of its connection", "HTTP/1.1 200 OK\r\n\r\nok", true),
		Entry("not an HTTP answer", "rubbish\r\n\r\n", false),
		Entry("after an interim answer", "HTTP/1.1 100 Continue\r\n\r\n"+okAnswer, true),
	)

	It("treats an answer without a length as incomplete when the connection is reset", func() {
		s := serveRaw(func(conn net.Conn, r *bufio.Reader, s *rawServer) {
			s.read(r)
			fmt.Fprint(conn, "HTTP/1.1 200 OK\r\n\r\nok")
			time.Sleep(50 * time.Millisecond)
			_ = conn.(*net.TCPConn).SetLinger(0)
			_ = conn.Close()
		})
		_, _, _, err := roundTrip(NewPool(nil), s.server(), post(""), anyAnswer)
		Expect(err).To(HaveOccurred())
	})

	// A server may answer before it has read a long body, keep the connection and read on.
	// It would take the next request on the connection for the remainder of the body.
	It("does not keep a connection whose request is not completely written", func() {
		s := serveRaw(func(conn net.Conn, r *bufio.Reader, _ *rawServer) {
			_, err := http.ReadRequest(r)
			if err == nil {
				fmt.Fprint(conn, "HTTP/1.1 413 Too Large\r\nContent-Length: 2\r\n\r\nno")
			}
			time.Sleep(time.Second) // reads nothing more
		})
		p := NewPool(nil)
		body, c, resp, err := roundTrip(p, s.server(), post(strings.Repeat("x", 16<<20)), anyAnswer)
		Expect(err).NotTo(HaveOccurred())
		Expect(body).To(Equal("no"))
		c.Release(resp)
		Expect(p.idle).To(BeEmpty())
	})

	It("reports that nothing was sent when no connection opens", func() {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		address := l.Addr().String()
		_ = l.Close()
		_, _, _, err = roundTrip(NewPool(nil), Server{Address: address}, post(""), anyAnswer)
		Expect(err).To(MatchError(syscall.ECONNREFUSED))
	})
})

var _ = Describe("a connection to a server", func() {
	// A user timeout would decide when keep-alive probes give up, whatever their number: a path that is
	// cut for a moment, or a server that pauses, would end a run that goes on.
	It("is probed as configured and has no user timeout", func() {
		s := serveRaw(func(net.Conn, *bufio.Reader, *rawServer) {})
		conn, err := NewPool(nil).Dial(context.Background(), s.server().Address)
		Expect(err).NotTo(HaveOccurred())
		raw, err := conn.(*net.TCPConn).SyscallConn()
		Expect(err).NotTo(HaveOccurred())
		option := func(level, name int) (value int) {
			Expect(raw.Control(func(fd uintptr) {
				value, err = syscall.GetsockoptInt(int(fd), level, name)
			})).To(Succeed())
			Expect(err).NotTo(HaveOccurred())
			return value
		}
		const userTimeout = 18 // TCP_USER_TIMEOUT, which package syscall does not name
		Expect(option(syscall.SOL_SOCKET, syscall.SO_KEEPALIVE)).To(Equal(1))
		Expect(option(syscall.IPPROTO_TCP, syscall.TCP_KEEPIDLE)).To(Equal(1))
		Expect(option(syscall.IPPROTO_TCP, syscall.TCP_KEEPCNT)).To(Equal(3))
		Expect(option(syscall.IPPROTO_TCP, userTimeout)).To(BeZero())
	})
})
