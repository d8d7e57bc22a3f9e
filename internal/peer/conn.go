package peer

import (
	"encoding/binary"
	"net"
	"sync/atomic"
	"time"
)

// sessionConn is the connection of a session. It counts bytes, records the times of the
// last read and write, and sends a frame's header and body in one write.
//
// yamux writes header and body one after the other, from one goroutine. Separate writes
// would cost both hosts an additional packet, system call and wake-up for each message.
type sessionConn struct {
	net.Conn
	traffic       *Traffic
	opened        time.Time
	lastReceived  atomic.Int64 // time of the last read, since opened
	lastSent      atomic.Int64 // time of the last write, since opened
	pendingHeader []byte       // held back until the body is written; owned by the writer
	framed        bool         // writes are yamux frames; set after the handshake, before the first frame
	onEnd         func()       // called when the connection ends, before yamux learns of it; set with framed
}

func newSessionConn(conn net.Conn, t *Traffic) *sessionConn {
	return &sessionConn{Conn: conn, traffic: t, opened: time.Now()}
}

// receiveIdle returns the time since the last read.
func (c *sessionConn) receiveIdle() time.Duration {
	return time.Since(c.opened) - time.Duration(c.lastReceived.Load())
}

// sendIdle returns the time since the last write.
func (c *sessionConn) sendIdle() time.Duration {
	return time.Since(c.opened) - time.Duration(c.lastSent.Load())
}

// Read implements net.Conn.
func (c *sessionConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.traffic.Received.Add(int64(n))
	if n > 0 {
		c.lastReceived.Store(int64(time.Since(c.opened)))
	}
	c.reportEnd(err)
	return n, err
}

// Close implements net.Conn.
func (c *sessionConn) Close() error {
	c.reportEnd(net.ErrClosed)
	return c.Conn.Close()
}

func (c *sessionConn) reportEnd(err error) {
	if err != nil && c.onEnd != nil {
		c.onEnd()
	}
}

// The layout of a yamux frame's header.
const (
	frameHeaderSize   = 12 // bytes
	frameTypeOffset   = 1  // of the type byte
	frameTypeData     = 0
	frameLengthOffset = 8 // of the body length, 4 bytes in big endian
)

// Write implements net.Conn. It holds back the header of a frame that has a body until
// the next write, which is the body.
func (c *sessionConn) Write(b []byte) (int, error) {
	if c.pendingHeader == nil && c.framed && isHeaderWithBody(b) {
		c.pendingHeader = append(make([]byte, 0, frameHeaderSize), b...)
		return len(b), nil
	}
	if c.pendingHeader == nil {
		return c.send(b)
	}
	frame := append(c.pendingHeader, b...)
	c.pendingHeader = nil
	n, err := c.send(frame)
	return max(0, n-frameHeaderSize), err
}

func (c *sessionConn) send(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.traffic.Sent.Add(int64(n))
	c.lastSent.Store(int64(time.Since(c.opened)))
	c.reportEnd(err)
	return n, err
}

// isHeaderWithBody reports whether b is the header of a non-empty data frame.
func isHeaderWithBody(b []byte) bool {
	return len(b) == frameHeaderSize && b[frameTypeOffset] == frameTypeData && binary.BigEndian.Uint32(b[frameLengthOffset:]) > 0
}
