// Package upstream sends requests to backend servers over persistent connections and
// distinguishes the ways an exchange can end. It sends each request once and never retries
// it, since the user of the package decides about retries. Therefore it manages connections
// itself instead of using net/http's Transport, which retries some requests when an idle
// connection breaks.
//
// A Pool holds the idle connections of a host. The user of a Conn sends one request on it and then
// returns it with Release or ends it with Close.
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
	// readBufferBytes fits the header of an answer and several events of a stream.
	readBufferBytes = 2048
	// maxInlineBodyBytes is the largest body that is written before the answer is read. A
	// server may answer before it has read a larger body, and then both ends would wait
	// for each other.
	maxInlineBodyBytes = 8 << 10
	// requestEndTime is how long the write of a request may go on after its answer has ended.
	requestEndTime = time.Second
	// maxStaleAnswers bounds the late answers to earlier requests that are skipped.
	maxStaleAnswers = 2
)

// Request is a request to a server.
type Request struct {
	Method string
	Target string // path and query, as the caller sent them
	Host   string
	Header http.Header
	Body   []byte
}

// Conn is a connection to one backend server. One goroutine uses it at a time; only Close may
// be called from others meanwhile.
type Conn struct {
	net           net.Conn
	in            *boundedReader // of net
	r             *bufio.Reader  // of in
	pool          *Pool
	server        Server
	reused        bool
	singleUse     bool
	answerStarted bool          // an answer header has arrived since the newest request
	idleSince     time.Time     // when it was put into the pool
	bodyWritten   chan struct{} // closed when the concurrent write of a large body ends
	bodyFailed    bool          // the body was not written completely
	closeOnce     sync.Once
}

// Reused reports whether the connection was used for an earlier request.
func (c *Conn) Reused() bool { return c.reused }

// AnswerStarted reports whether an answer header has arrived since the newest request.
func (c *Conn) AnswerStarted() bool { return c.answerStarted }

// TooLong reports whether more was sent than an answer may have.
func (c *Conn) TooLong() bool { return c.in.tooLong }

// Close closes the connection; the server then stops the request that it runs.
func (c *Conn) Close() {
	c.closeOnce.Do(func() {
		_ = c.net.Close() // the exchange ends in any case
	})
}

// Send writes a request. sent is false if no byte can have reached the server. It fails
// with ServerLost.
func (c *Conn) Send(req *Request, deadline time.Time) (sent bool, err error) {
	_ = c.net.SetDeadline(deadline) // fails only on a closed connection, as Write does then
	head := appendHead(make([]byte, 0, 1024), req)
	c.bodyWritten, c.answerStarted = nil, false
	if len(req.Body) <= maxInlineBodyBytes {
		n, err := c.net.Write(append(head, req.Body...))
		return n > 0, failure.Wrap(failure.ServerLost, err, "send to %s", c.server.Address)
	}
	n, err := c.net.Write(head)
	if err != nil {
		return n > 0, failure.Wrap(failure.ServerLost, err, "send to %s", c.server.Address)
	}
	bodyWritten := make(chan struct{})
	c.bodyWritten = bodyWritten
	go func() {
		defer close(bodyWritten)
		_, err := c.net.Write(req.Body)
		c.bodyFailed = err != nil
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

// ReadHead reads the header of the answer. matches reports whether an answer belongs to
// the request; others are late answers to earlier requests on the connection and are
// skipped. It fails with ServerLost.
func (c *Conn) ReadHead(method string, matches func(http.Header) bool) (*http.Response, error) {
	for range maxStaleAnswers + 1 {
		resp, err := c.readFinalAnswer(method)
		if err != nil {
			return nil, failure.Wrap(failure.ServerLost, err, "answer of %s", c.server.Address)
		}
		if matches(resp.Header) {
			if resp.ContentLength > maxBodyBytes && FramingOf(method, resp) == ByLength {
				c.in.tooLong = true
				return nil, failure.New(failure.ServerLost, "the answer of %s has %d bytes, more than %d", c.server.Address, resp.ContentLength, maxBodyBytes)
			}
			c.in.begin("the answer's body", maxBodyBytes)
			if FramingOf(method, resp) == ByConnection {
				resp.Body = &closeDelimitedBody{ReadCloser: resp.Body, conn: c}
			}
			return resp, nil
		}
		if err := c.Discard(resp); err != nil {
			return nil, failure.Wrap(failure.ServerLost, err, "stale answer of %s", c.server.Address)
		}
	}
	return nil, failure.New(failure.ServerLost, "%s sent only answers to other requests", c.server.Address)
}

// BoundBody sets a smaller bound than maxBodyBytes for the body of the answer whose header was read.
func (c *Conn) BoundBody(bytes int64) { c.in.begin("the answer's body", bytes) }

// Discard reads a body that is not needed to its end, up to maxDiscardedBytes.
func (c *Conn) Discard(resp *http.Response) error {
	c.in.begin("the body of an answer that is not needed", maxDiscardedBytes)
	body := resp.Body
	if b, ok := body.(*closeDelimitedBody); ok {
		body = b.ReadCloser // whether it is complete does not matter
	}
	_, err := io.Copy(io.Discard, body)
	return err
}

// closeDelimitedBody is the body of an answer that ends with its connection. It is complete only if its request
// was written completely.
//
// The kernel reports a reset once: to a write that is in progress rather than to the next read, which then
// returns the end of the connection.
type closeDelimitedBody struct {
	io.ReadCloser
	conn *Conn
}

// Read implements io.Reader. It fails with ServerLost instead of io.EOF if the request was not written.
func (b *closeDelimitedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF {
		if lost := b.conn.awaitRequestWritten(); lost != nil {
			err = lost
		}
	}
	return n, err
}

// readFinalAnswer reads the header of an answer and skips interim (1xx) answers.
func (c *Conn) readFinalAnswer(method string) (*http.Response, error) {
	c.in.begin("the answer's header", maxHeadBytes)
	for {
		resp, err := c.readHead(method)
		if err != nil || !isInterim(resp) {
			return resp, err
		}
	}
}

// readHead reads the header of an answer, which may be an interim one, and checks it.
func (c *Conn) readHead(method string) (*http.Response, error) {
	buffered, _ := c.r.Peek(c.r.Buffered()) // cannot fail
	c.in.record(buffered)
	resp, err := http.ReadResponse(c.r, &http.Request{Method: method})
	read := c.in.recorded()
	if err != nil {
		return nil, err
	}
	c.answerStarted = true
	if err := CheckHead(resp); err != nil {
		return nil, err
	}
	if err := checkFraming(resp, read[:len(read)-c.r.Buffered()]); err != nil {
		return nil, err
	}
	checkTrailer(resp)
	return resp, nil
}

// SetReadDeadline sets the deadline of the next reads.
func (c *Conn) SetReadDeadline(t time.Time) {
	_ = c.net.SetReadDeadline(t) // fails only on a closed connection, as Read does then
}

// Release ends an exchange whose answer was read completely. It returns the connection to
// the pool, unless the answer forbids that or is followed by unexpected bytes.
func (c *Conn) Release(resp *http.Response) {
	if c.singleUse || resp.Close || resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 || c.r.Buffered() > 0 || !c.requestWritten() {
		c.Close()
		return
	}
	c.pool.put(c, keepAliveTimeout(resp.Header))
}

// requestWritten reports whether the body of the request was written completely. A server
// that answered before it read the whole body expects the remainder and would take the
// next request for it.
func (c *Conn) requestWritten() bool {
	if c.bodyWritten == nil {
		return true
	}
	select {
	case <-c.bodyWritten:
		return !c.bodyFailed
	default:
		return false
	}
}

// awaitRequestWritten waits until the write of the request's body has ended. It fails with ServerLost if the
// body was not written completely.
func (c *Conn) awaitRequestWritten() error {
	if c.bodyWritten == nil {
		return nil
	}
	timer := time.NewTimer(requestEndTime)
	defer timer.Stop()
	select {
	case <-c.bodyWritten:
		if !c.bodyFailed {
			return nil
		}
	case <-timer.C:
	}
	return failure.New(failure.ServerLost, "%s ended the connection before it had received the request", c.server.Address)
}

// noPendingInput reports whether nothing has arrived on an idle connection: neither its
// end nor unexpected bytes.
func (c *Conn) noPendingInput() bool {
	sc, ok := c.net.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	empty := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		empty = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && empty
}

// keepAliveProbes detect connections that are dead without a reset, within 2.5 s.
//
// An idle connection may be dead although new connections work. A request sent on it gets
// no answer and usually may not be retried. The kernel probes idle connections and closes
// those without a reply, which is detected before their next use.
var keepAliveProbes = net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: 500 * time.Millisecond, Count: 3}

func connectTCP(ctx context.Context, address string) (net.Conn, error) {
	d := net.Dialer{KeepAliveConfig: keepAliveProbes}
	return d.DialContext(ctx, "tcp", address)
}
