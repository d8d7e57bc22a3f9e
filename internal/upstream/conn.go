// Package upstream sends requests to backend servers over kept connections
// and tells apart how an exchange can end. It sends each request exactly once:
// whether one may be sent again is the caller's decision, so connections are
// handled here and not by net/http's Transport, which repeats some requests by
// itself when a kept connection breaks.
package upstream

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/gentianflow/gentianflow/internal/failure"
)

const (
	// readBuffer fits the head of an answer and several events of a stream.
	readBuffer = 2048
	// inlineBody is the largest body that is written before the answer is
	// read. A server may answer a larger one before it has read it, and then
	// both ends would wait for each other.
	inlineBody = 8 << 10
	// maxCrossed bounds the answers to earlier requests that are skipped.
	maxCrossed = 2
)

// Request is what is sent to a server, once.
type Request struct {
	Method string
	Target string // path and query as the caller sent them
	Host   string
	Header http.Header
	Body   []byte
}

// Conn is a connection to one backend server. One goroutine uses it at a time.
type Conn struct {
	net    net.Conn
	r      *bufio.Reader
	pool   *Pool
	server Server
	reused bool
	heard  bool          // a byte of the answer has come
	idle   time.Time     // since when it waits in the pool
	wrote  chan struct{} // closed when a body written beside the answer is out
	failed bool          // the body could not be written whole
	closed sync.Once
}

// Reused reports whether the connection carried a request before.
func (c *Conn) Reused() bool { return c.reused }

// Heard reports whether anything came of the answer to the newest request.
func (c *Conn) Heard() bool { return c.heard }

// Close ends the connection; the server drops what it works on.
func (c *Conn) Close() {
	c.closed.Do(func() {
		_ = c.net.Close() // what it carried is over either way
	})
}

// Send writes a request. sent is false when no byte can have reached the
// server. It fails with ServerLost.
func (c *Conn) Send(req *Request, deadline time.Time) (sent bool, err error) {
	_ = c.net.SetDeadline(deadline) // fails only on a closed connection, as Write then does
	head := appendHead(make([]byte, 0, 1024), req)
	c.wrote, c.heard = nil, false
	if len(req.Body) <= inlineBody {
		n, err := c.net.Write(append(head, req.Body...))
		return n > 0, failure.Wrap(failure.ServerLost, err, "send to %s", c.server.Address)
	}
	n, err := c.net.Write(head)
	if err != nil {
		return n > 0, failure.Wrap(failure.ServerLost, err, "send to %s", c.server.Address)
	}
	wrote := make(chan struct{})
	c.wrote = wrote
	go func() {
		defer close(wrote)
		// The answer's reader meets the error too, and reports it.
		_, err := c.net.Write(req.Body)
		c.failed = err != nil
	}()
	return true, nil
}

// appendHead writes the request line and the header fields.
func appendHead(b []byte, req *Request) []byte {
	b = append(b, req.Method...)
	b = append(b, ' ')
	b = append(b, req.Target...)
	b = append(b, " HTTP/1.1\r\nHost: "...)
	b = append(b, req.Host...)
	b = append(b, "\r\n"...)
	for name, values := range req.Header {
		for _, v := range values {
			b = append(b, name...)
			b = append(b, ": "...)
			b = append(b, v...)
			b = append(b, "\r\n"...)
		}
	}
	if len(req.Body) > 0 || req.Method != http.MethodGet && req.Method != http.MethodHead {
		b = append(b, "Content-Length: "...)
		b = appendInt(b, len(req.Body))
		b = append(b, "\r\n"...)
	}
	return append(b, "\r\n"...)
}

// ReadHead reads the head of the answer. mine reports whether an answer
// belongs to the request: one that does not is a late answer to an earlier
// request on the connection, and is skipped. It fails with ServerLost.
func (c *Conn) ReadHead(method string, mine func(http.Header) bool) (*http.Response, error) {
	for range maxCrossed + 1 {
		resp, err := c.readOne(method)
		if err != nil {
			return nil, failure.Wrap(failure.ServerLost, err, "answer of %s", c.server.Address)
		}
		if mine(resp.Header) {
			return resp, nil
		}
		if _, err := io.Copy(io.Discard, resp.Body); err != nil {
			return nil, failure.Wrap(failure.ServerLost, err, "crossed answer of %s", c.server.Address)
		}
	}
	return nil, failure.New(failure.ServerLost, "%s sends answers to other requests only", c.server.Address)
}

func (c *Conn) readOne(method string) (*http.Response, error) {
	for {
		resp, err := http.ReadResponse(c.r, &http.Request{Method: method})
		c.heard = c.heard || err == nil
		if err != nil {
			return nil, err
		}
		if resp.StatusCode >= http.StatusOK || resp.StatusCode == http.StatusSwitchingProtocols {
			return resp, nil
		}
	}
}

// SetReadDeadline bounds the next reads.
func (c *Conn) SetReadDeadline(t time.Time) {
	_ = c.net.SetReadDeadline(t) // fails only on a closed connection, as Read then does
}

// Release ends an exchange whose answer was read whole. The connection is kept
// unless the answer says otherwise or bytes follow it that belong to nothing.
func (c *Conn) Release(resp *http.Response) {
	if resp.Close || resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 || c.r.Buffered() > 0 || !c.written() {
		c.Close()
		return
	}
	c.pool.put(c, keepAlive(resp.Header))
}

// written reports whether the request's body is out. A server that answered
// before it read the body still expects the rest; a next request sent now
// would be taken for it.
func (c *Conn) written() bool {
	if c.wrote == nil {
		return true
	}
	select {
	case <-c.wrote:
		return !c.failed
	default:
		return false
	}
}

// quiet reports whether nothing has arrived on an idle connection: neither its
// end nor bytes that belong to no request.
func (c *Conn) quiet() bool {
	sc, ok := c.net.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	silent := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		silent = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && silent
}

// probes find connections that have gone silent without a reset, within 2.5 s.
//
// Guard: a kept connection may lead nowhere while new ones work. What is sent on it
// gets no answer, and may not be repeated as a rule. The kernel asks idle ones and
// breaks those that do not answer, which shows before they are used.
var probes = net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: 500 * time.Millisecond, Count: 3}

// dial opens a connection. It fails with NoServer: nothing was sent.
func dial(ctx context.Context, address string) (net.Conn, error) {
	conn, err := connect(ctx, address)
	return conn, failure.Wrap(failure.NoServer, err, "connect to %s", address)
}

// connect opens a connection; its errors are those of package net.
func connect(ctx context.Context, address string) (net.Conn, error) {
	d := net.Dialer{KeepAliveConfig: probes}
	return d.DialContext(ctx, "tcp", address)
}

// Answers reports whether a server accepts a new connection.
func Answers(address string, timeout time.Duration) bool {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	conn, err := dial(ctx, address)
	if err != nil {
		return false
	}
	_ = conn.Close() // nothing was sent
	return true
}

// Refuses reports whether nothing listens at a server's address: the process has ended,
// while its machine still answers. A machine that is gone or cut off says nothing instead.
func Refuses(address string, timeout time.Duration) bool {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	conn, err := connect(ctx, address)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	_ = conn.Close() // nothing was sent
	return false
}
