package entry

import (
	"io"
	"net"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// oneConn is a listener with one connection.
type oneConn struct{ conns chan net.Conn }

func (l oneConn) Accept() (net.Conn, error) {
	if c, ok := <-l.conns; ok {
		return c, nil
	}
	return nil, net.ErrClosed
}
func (l oneConn) Close() error   { return nil }
func (l oneConn) Addr() net.Addr { return &net.TCPAddr{} }

var _ = Describe("a refusal", func() {
	// Guards against a connection that is in use for good, since its client does not read the answer.
	It("that is not read ends the connection", func() {
		client, server := net.Pipe() // holds no bytes that are not read
		closed := make(chan struct{})
		l := oneConn{make(chan net.Conn, 1)}
		l.conns <- server
		srv := &http.Server{Handler: newGatedHandler(nil, 0), ConnState: func(_ net.Conn, s http.ConnState) {
			if s == http.StateClosed {
				close(closed)
			}
		}}
		go func() { _ = srv.Serve(l) }()
		DeferCleanup(func() {
			close(l.conns) // ends Serve, for which Close waits
			_ = srv.Close()
			_ = client.Close()
		})
		_, err := io.WriteString(client, "GET /a HTTP/1.1\r\nHost: elsewhere\r\n\r\n")
		Expect(err).NotTo(HaveOccurred())
		Eventually(closed).WithTimeout(5 * time.Second).Should(BeClosed())
	})
})
