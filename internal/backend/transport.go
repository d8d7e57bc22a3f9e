package backend

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"

	"github.com/gentianflow/gentianflow/internal/failure"
	"github.com/gentianflow/gentianflow/internal/upstream"
)

// countingConn counts the bytes that were passed to the socket. If there were
// none, a failed request was not dispatched.
type countingConn struct {
	net.Conn
	written atomic.Int64
	allowed func() bool // called before the first byte; nil allows the write
}

var errNotAllowed = failure.New(failure.NoServer, "the call may no longer be sent")

func (c *countingConn) Write(b []byte) (int, error) {
	if c.written.Load() == 0 && c.allowed != nil && !c.allowed() {
		return 0, errNotAllowed
	}
	c.written.Add(int64(len(b)))
	return c.Conn.Write(b)
}

// maxAnswerHeadBytes bounds the header of a server's answer.
const maxAnswerHeadBytes = 64 << 10

// newTransport returns a transport that opens a new connection for each request.
//
// A reused connection whose state a middlebox has lost accepts a request but
// does not deliver it. Since bytes were written, the outcome must be reported to
// the caller as unknown. The handshake of a new connection proves that it
// works, at the cost of one round trip.
func newTransport() upstream.CheckedTransport {
	dialer := net.Dialer{Timeout: connectTimeout}
	return upstream.CheckedTransport{Transport: &http.Transport{
		DisableKeepAlives:      true,
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxAnswerHeadBytes,
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, addr)
			if err != nil {
				return nil, err
			}
			return &countingConn{Conn: conn}, nil
		},
	}}
}

// dispatch is the only function that sends a request for execution to a backend
// server.
//
// After a broken connection, net/http itself retries requests that it considers
// safe to repeat: those with GET and similar methods, and with any method if
// there is an Idempotency-Key header, provided that the body can be read again.
// Such a retry could run a request twice without being noticed. Therefore
// requests are POSTs, the body is a reader without GetBody, and callers' headers
// are not forwarded.
func dispatch(ctx context.Context, t http.RoundTripper, url string, call Call, header http.Header) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, io.NopCloser(bytes.NewReader(call.Body)))
	if err != nil {
		return nil, failure.Wrap(failure.NoServer, err, "build request")
	}
	req.ContentLength = int64(len(call.Body))
	req.Header = header
	var conn *countingConn
	var writtenBefore int64
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if c, ok := info.Conn.(*countingConn); ok {
			conn, writtenBefore = c, c.written.Load()
			c.allowed = call.Allowed
		}
	}}
	resp, err := t.RoundTrip(req.WithContext(httptrace.WithClientTrace(ctx, trace)))
	if err == nil {
		return resp, nil
	}
	if conn == nil || conn.written.Load() == writtenBefore {
		return nil, failure.Wrap(failure.NoServer, err, "nothing was written")
	}
	return nil, failure.Wrap(failure.ServerLost, err, "request was written")
}
