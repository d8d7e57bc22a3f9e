package peer

import (
	"net"
	"sync/atomic"
)

// Traffic counts the bytes of control between hosts, both ways.
type Traffic struct {
	Sent     atomic.Int64
	Received atomic.Int64
}

// countedConn counts what a session carries.
type countedConn struct {
	net.Conn
	t *Traffic
}

// Read implements net.Conn.
func (c countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.t.Received.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.t.Sent.Add(int64(n))
	return n, err
}
