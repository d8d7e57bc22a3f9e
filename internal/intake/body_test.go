package intake

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// post sends the head of a request to /body, and the beginning of its body.
func post(conn net.Conn, length int, body string) {
	framing := fmt.Sprintf("Content-Length: %d", length)
	if length < 0 {
		framing, body = "Transfer-Encoding: chunked", fmt.Sprintf("%x\r\n%s\r\n", len(body), body)
	}
	_, _ = fmt.Fprintf(conn, "POST /body HTTP/1.1\r\nHost: x\r\n%s\r\n\r\n%s", framing, body) // it may be refused
}

func statusOf(conn net.Conn) int {
	_ = conn.SetReadDeadline(time.Now().Add(8 * time.Second))
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode
}

var _ = Describe("a body", func() {
	const half = 50000
	body := strings.Repeat("b", half)

	// Guards against bodies that are held for clients that never send the rest.
	It("that is not complete at its deadline is answered as not run", func() {
		s := newTestServer(Limits{Connections: 100, Memory: 64 << 20, WithBodies: 64 << 20})
		for _, length := range []int{2 * half, -1} {
			conn := s.dial()
			post(conn, length, body)
			Expect(statusOf(conn)).To(Equal(http.StatusRequestTimeout))
		}
		Eventually(s.in.Usage).WithTimeout(3 * time.Second).Should(And(HaveField("Memory", int64(0)), HaveField("Bodies", int64(0))))
	})

	// Guards against clients that fill the memory with bodies and then sit still, and against a close without an
	// answer where a promise can be given.
	It("whose client sends nothing more gives way with a promise", func() {
		s := newTestServer(Limits{Connections: 100, Memory: 1 << 20, WithBodies: 1 << 20})
		var still []net.Conn
		for range 12 {
			still = append(still, s.dial())
			post(still[len(still)-1], 2*half, body)
		}
		Eventually(func() int {
			conn := s.dial()
			defer func() { _ = conn.Close() }()
			post(conn, 200000, strings.Repeat("b", 200000))
			return statusOf(conn)
		}).WithTimeout(2 * bodyTime).WithPolling(100 * time.Millisecond).Should(Equal(http.StatusOK))
		refused := 0
		for _, conn := range still {
			switch statusOf(conn) {
			case http.StatusServiceUnavailable:
				refused++
			case http.StatusRequestTimeout:
			default:
				Fail("a body was ended without a promise")
			}
		}
		Expect(refused).To(BeNumerically(">", 0))
	})

	// Guards against a large body that takes the memory of small ones, and against a slow client whose body is
	// taken for one that sits still.
	It("that is refused for its size does not keep small or slow ones out", func() {
		s := newTestServer(Limits{Connections: 100, Memory: 1 << 20, WithBodies: 1 << 20})
		slow := s.dial()
		post(slow, 300000, "")
		go func() {
			for range 20 {
				time.Sleep(100 * time.Millisecond)
				_, _ = io.WriteString(slow, strings.Repeat("b", 15000))
			}
		}()
		Eventually(s.in.Usage).Should(HaveField("Bodies", BeNumerically(">=", 300000)))
		for end := time.Now().Add(1500 * time.Millisecond); time.Now().Before(end); {
			large, small := s.dial(), s.dial()
			post(large, 900000, "")
			Expect(statusOf(large)).To(Equal(http.StatusServiceUnavailable))
			post(small, 10, "0123456789")
			Expect(statusOf(small)).To(Equal(http.StatusOK))
			_, _ = large.Close(), small.Close()
			time.Sleep(20 * time.Millisecond)
		}
		Expect(statusOf(slow)).To(Equal(http.StatusOK))
	})
})
