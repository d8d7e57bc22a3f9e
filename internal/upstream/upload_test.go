package upstream

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

// upload is a request whose body is too large for the buffers of its connection.
func upload() *Request { return post(strings.Repeat("x", 8<<20)) }

// answerDuringUpload reads the header of a request, answers and ends the connection while the request is still
// being written.
func answerDuringUpload(text string, end func(*net.TCPConn)) Server {
	return serveRaw(func(conn net.Conn, r *bufio.Reader, _ *rawServer) {
		if _, err := http.ReadRequest(r); err == nil {
			fmt.Fprint(conn, text)
			end(conn.(*net.TCPConn))
		}
		_ = conn.Close()
	}).server()
}

func reset(conn *net.TCPConn) { _ = conn.SetLinger(0) }

var _ = Describe("an answer that ends while its request is written", func() {
	const part = "HTTP/1.1 200 OK\r\n\r\npart"

	// Guards against a reset that only the write of the request reports, after which the read ends in order.
	DescribeTable("is incomplete when the connection is reset",
		func(after time.Duration) {
			s := answerDuringUpload(part, func(conn *net.TCPConn) {
				time.Sleep(after)
				reset(conn)
			})
			for range 100 {
				_, c, _, err := roundTrip(NewPool(nil), s, upload(), anyAnswer)
				c.Close()
				Expect(err).To(HaveOccurred())
			}
		},
		Entry("at once", time.Duration(0)),
		Entry("after a millisecond", time.Millisecond),
	)

	// Guards against a server that stops reading the request, so that nothing tells whether it was cut off.
	It("is incomplete when the server closes its sending side and reads nothing more", func() {
		s := answerDuringUpload(part, func(conn *net.TCPConn) {
			_ = conn.CloseWrite()
			time.Sleep(3 * time.Second)
		})
		_, c, _, err := roundTrip(NewPool(nil), s, upload(), anyAnswer)
		defer c.Close()
		Expect(err).To(HaveOccurred())
	})

	It("is complete when the server closes its sending side and reads on to the end", func() {
		s := answerDuringUpload(part, func(conn *net.TCPConn) {
			_ = conn.CloseWrite()
			_, _ = io.CopyN(io.Discard, conn, 8<<20-4096) // the reader's buffer may hold the rest
			time.Sleep(100 * time.Millisecond)
		})
		body, c, _, err := roundTrip(NewPool(nil), s, upload(), anyAnswer)
		defer c.Close()
		Expect(err).NotTo(HaveOccurred())
		Expect(body).To(Equal("part"))
	})

	It("is complete with its length although the connection is reset", func() {
		s := answerDuringUpload("HTTP/1.1 413 Too Large\r\nContent-Length: 2\r\n\r\nno", func(conn *net.TCPConn) {
			time.Sleep(50 * time.Millisecond)
			reset(conn)
		})
		body, c, _, err := roundTrip(NewPool(nil), s, upload(), anyAnswer)
		defer c.Close()
		Expect(err).NotTo(HaveOccurred())
		Expect(body).To(Equal("no"))
	})
})
