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
)

// countedConn counts the bytes that were handed to the socket, so that a
// failed request can be told from a dispatched one.
type countedConn struct {
	net.Conn
	written atomic.Int64
	allowed func() bool // asked before the first byte, nil: it may be written
}

var errNotAllowed = failure.New(failure.NoServer, "it may not be sent any more")

func (c *countedConn) Write(b []byte) (int, error) {
	if c.written.Load() == 0 && c.allowed != nil && !c.allowed() {
		return 0, errNotAllowed
	}
	c.written.Add(int64(len(b)))
	return c.Conn.Write(b)
}

// newTransport makes one connection for each exchange.
//
// Guard: a kept connection that something in between forgot takes a request
// and carries it nowhere; the server never learns of it, and since bytes were
// written the caller can only be told unknown. A new connection has just
// shown that it works, for the price of one round trip.
func newTransport() *http.Transport {
	dialer := net.Dialer{Timeout: connectTimeout}
	return &http.Transport{
		DisableKeepAlives:  true,
		DisableCompression: true,
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, addr)
			if err != nil {
				return nil, err
			}
			return &countedConn{Conn: conn}, nil
		},
	}
}

// dispatch is the one place that sends a request to a backend server.
//
// Guard: net/http repeats a request by itself after a broken connection when
// it believes that this is safe: for GET and like methods, and for any method
// with an Idempotency-Key header, if the body can be had again. A repeated
// request would run twice with nobody knowing. So requests are POSTs, the
// body is a reader without GetBody, and callers' headers are not passed on.
func dispatch(ctx context.Context, t http.RoundTripper, url string, call Call, header http.Header) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, io.NopCloser(bytes.NewReader(call.Body)))
	if err != nil {
		return nil, failure.Wrap(failure.NoServer, err, "build request")
	}
	req.ContentLength = int64(len(call.Body))
	req.Header = header
	var conn *countedConn
	var before int64
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if c, ok := info.Conn.(*countedConn); ok {
			conn, before = c, c.written.Load()
			c.allowed = call.Allowed
		}
	}}
	resp, err := t.RoundTrip(req.WithContext(httptrace.WithClientTrace(ctx, trace)))
	if err == nil {
		return resp, nil
	}
	if conn == nil || conn.written.Load() == before {
		return nil, failure.Wrap(failure.NoServer, err, "nothing was written")
	}
	return nil, failure.Wrap(failure.ServerLost, err, "request was written")
}
