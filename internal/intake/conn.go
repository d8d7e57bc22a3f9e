package intake

import (
	"container/list"
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// connectionCost is the memory in bytes of a connection without a request: its buffers, its goroutine with
// the stack, and its socket.
const connectionCost = 12 << 10

// ordinaryRequest is the memory in bytes of a request with an ordinary head. There is room for one when a
// connection is accepted, so that its client isn't refused for what others hold without sending.
const ordinaryRequest = 36 << 10

// phase is what a connection's next byte belongs to.
type phase int32

const (
	inHead    phase = iota // the head of a request
	afterHead              // a body or a further request; the server has not taken up the request yet
	inRequest              // the same, while a handler runs
)

// Conn is a client's connection. The fields of the first group are used by the goroutine that reads, the
// Intake's mu guards those of the last one.
type Conn struct {
	net.Conn
	l *Listener

	raised bool   // the kernel's buffer
	buffer []byte // received, not passed on to the server
	ready  int    // bytes of buffer that belong to a complete head
	scan   headScan

	phase    atomic.Int32
	progress atomic.Int64 // when bytes of a body last arrived, in ns

	deadlineMu sync.Mutex
	deadline   time.Time // of reads, as the server has set it
	ended      bool      // reads fail for good

	counted  bool          // among the open connections
	memory   int64         // reserved for the connection and heads
	buffered int64         // of which for buffer
	body     int64         // reserved for a body
	inBody   bool          // the request has a body that is not read yet
	eager    bool          // the client has sent more behind the request in progress
	cancel   func()        // ends the request in progress, nil without one
	waiting  *list.List    // the list it is on while it may give way to others
	element  *list.Element // its place there
	since    time.Time     // when it got there
}

type contextKey struct{}

// WithConn stores a connection in the context of its requests. It is the ConnContext of an http.Server.
func WithConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, contextKey{}, c)
}

// FromContext returns the connection of a request, nil if it is not one of an Intake.
func FromContext(ctx context.Context) *Conn {
	c, _ := ctx.Value(contextKey{}).(*Conn)
	return c
}

// add counts the connection as open and waiting for its first request. The caller holds in.mu.
func (c *Conn) add() {
	c.counted = true
	c.l.conns.open++
	c.l.in.open++
	c.l.in.add(c, forHead, connectionCost)
	c.wait(c.l.conns.fresh)
}

// remove takes the connection out of all counts. The caller holds in.mu.
func (c *Conn) remove() {
	if !c.counted {
		return
	}
	c.counted = false
	c.wait(nil)
	c.l.conns.open--
	c.l.in.open--
	c.l.in.add(c, forHead, -c.memory)
	c.l.in.add(c, forBody, -c.body)
}

// wait puts the connection at the end of a list, nil for none. The caller holds in.mu.
func (c *Conn) wait(waiting *list.List) {
	if c.waiting != nil {
		c.waiting.Remove(c.element)
		c.element = nil
	}
	if c.waiting = waiting; waiting != nil {
		c.element = waiting.PushBack(c)
		c.since = time.Now()
	}
}

// begin marks the connection as one that the process is at work for. It returns false if the connection was
// closed in favor of another one while the request arrived.
func (c *Conn) begin(cancel func()) bool {
	c.phase.Store(int32(inRequest))
	in := c.l.in
	in.mu.Lock()
	defer in.mu.Unlock()
	if !c.counted {
		return false
	}
	c.cancel = cancel
	if c.eager {
		c.wait(c.l.conns.eager)
	} else {
		c.wait(nil)
	}
	return true
}

// end marks the connection as one that waits for its client's next request.
func (c *Conn) end() {
	c.scan = headScan{}
	c.phase.Store(int32(inHead))
	in := c.l.in
	in.releaseRequest(c)
	in.mu.Lock()
	defer in.mu.Unlock()
	c.cancel, c.eager, c.inBody = nil, false, false
	if c.counted {
		c.wait(c.l.conns.idle)
	}
}

// abandon ends a connection that was removed in favor of others, and its request in progress. One whose body is
// being read gets an answer; the read fails.
func (c *Conn) abandon() {
	c.l.in.mu.Lock()
	inBody, cancel := c.inBody, c.cancel
	c.l.in.mu.Unlock()
	if inBody {
		c.deadlineMu.Lock()
		defer c.deadlineMu.Unlock()
		c.ended = true
		_ = c.Conn.SetReadDeadline(time.Unix(1, 0))
		return
	}
	_ = c.Conn.Close()
	if cancel != nil {
		cancel()
	}
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	c.l.in.mu.Lock()
	c.remove()
	c.l.in.mu.Unlock()
	return c.Conn.Close()
}
