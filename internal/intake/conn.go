package intake

import (
	"container/list"
	"context"
	"net"
)

// Conn is a client's connection. The Intake's mu guards the fields below l.
type Conn struct {
	net.Conn
	l *Listener

	counted bool          // among the open connections
	waiting *list.List    // the list it is on while the process waits for its client
	element *list.Element // its place there
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

// wait puts the connection at the end of a list, nil for none. The caller holds in.mu.
func (c *Conn) wait(waiting *list.List) {
	if c.waiting != nil {
		c.waiting.Remove(c.element)
		c.element = nil
	}
	if c.waiting = waiting; waiting != nil {
		c.element = waiting.PushBack(c)
	}
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
}

// begin marks the connection as one that the process is at work for. It returns false if the connection was
// closed in favor of another one while the request arrived.
func (c *Conn) begin() bool {
	c.l.in.mu.Lock()
	defer c.l.in.mu.Unlock()
	if c.counted {
		c.wait(nil)
	}
	return c.counted
}

// end marks the connection as one that waits for its client's next request.
func (c *Conn) end() {
	c.l.in.mu.Lock()
	defer c.l.in.mu.Unlock()
	if c.counted {
		c.wait(c.l.conns.idle)
	}
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	c.l.in.mu.Lock()
	c.remove()
	c.l.in.mu.Unlock()
	return c.Conn.Close()
}
