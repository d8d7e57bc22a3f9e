package peer

import (
	"encoding/binary"
	"net"
	"sync/atomic"
	"time"
)

// sessionConn is the connection under a session. It counts what the session carries,
// knows when something came last, and sends a frame's header and body together.
//
// yamux writes the two one after the other, from one goroutine. Sent apart, each
// message between hosts costs both ends a packet, a system call and a wake-up more.
type sessionConn struct {
	net.Conn
	traffic *Traffic
	opened  time.Time
	heard   atomic.Int64 // when something came last, since opened
	said    atomic.Int64 // when something was sent last, since opened
	header  []byte       // of a frame whose body comes next; the writer owns it
	muxed   bool         // the greeting is over, what is written are frames; set before they are
	failed  func()       // told before yamux is that the connection has ended, set with muxed
}

func newSessionConn(conn net.Conn, t *Traffic) *sessionConn {
	return &sessionConn{Conn: conn, traffic: t, opened: time.Now()}
}

// quiet is how long nothing has come.
func (c *sessionConn) quiet() time.Duration {
	return time.Since(c.opened) - time.Duration(c.heard.Load())
}

// mute is how long nothing was sent.
func (c *sessionConn) mute() time.Duration {
	return time.Since(c.opened) - time.Duration(c.said.Load())
}

// Read implements net.Conn.
func (c *sessionConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.traffic.Received.Add(int64(n))
	if n > 0 {
		c.heard.Store(int64(time.Since(c.opened)))
	}
	c.tellEnd(err)
	return n, err
}

// Close implements net.Conn.
func (c *sessionConn) Close() error {
	c.tellEnd(net.ErrClosed)
	return c.Conn.Close()
}

func (c *sessionConn) tellEnd(err error) {
	if err != nil && c.failed != nil {
		c.failed()
	}
}

// The layout of a yamux frame's header.
const (
	frameHeader   = 12
	frameType     = 1 // the byte that holds the type
	frameTypeData = 0
	frameLength   = 8 // where the length of the body begins
)

// Write implements net.Conn. The header of a frame that has a body is kept back until
// the body comes, which is the next write.
func (c *sessionConn) Write(b []byte) (int, error) {
	if c.header == nil && c.muxed && bodyFollows(b) {
		c.header = append(make([]byte, 0, frameHeader), b...)
		return len(b), nil
	}
	if c.header == nil {
		return c.send(b)
	}
	frame := append(c.header, b...)
	c.header = nil
	n, err := c.send(frame)
	return max(0, n-frameHeader), err
}

func (c *sessionConn) send(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.traffic.Sent.Add(int64(n))
	c.said.Store(int64(time.Since(c.opened)))
	c.tellEnd(err)
	return n, err
}

// bodyFollows reports whether b is the header of a data frame that is not empty.
func bodyFollows(b []byte) bool {
	return len(b) == frameHeader && b[frameType] == frameTypeData && binary.BigEndian.Uint32(b[frameLength:]) > 0
}
