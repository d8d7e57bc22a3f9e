package intake

import (
	"context"
	"errors"
	"io"
	"os"
	"time"

	"github.com/gentianflow/gentianflow/internal/failure"
)

const (
	// largeBody is the size in bytes of a body for which the kernel's buffer is raised to largeReceiveBuffer,
	// since a small one makes it slow on links with a long round trip. largeUnreadBytes is the most that the
	// kernel then keeps.
	largeBody          = 64 << 10
	largeReceiveBuffer = 32 << 10
	largeUnreadBytes   = 56 << 10
	// firstBody is the first size of the buffer for a body whose length isn't stated.
	firstBody = 4 << 10
)

// ReadBody reads the body of the request with the context ctx, whose length is -1 if it isn't stated. The memory
// is reserved before it is used, and kept until the request has ended.
//
// It fails with HostFull if there is no memory, or if the client sends nothing while others need the memory;
// with TooSlow if the body isn't complete at the deadline; and with the error of body.
func ReadBody(ctx context.Context, body io.Reader, length int64, deadline time.Time) ([]byte, error) {
	r := bodyReader{conn: FromContext(ctx)}
	if r.conn != nil {
		r.conn.beginBody(deadline)
		defer r.conn.endBody()
	}
	var err error
	if length > 0 {
		err = r.readLength(body, length)
	} else {
		err = r.readAll(body)
	}
	return r.bytes, r.explain(err)
}

// Reserve takes further memory for the request with the context ctx, until it has ended. It fails with HostFull.
func Reserve(ctx context.Context, bytes int64) error {
	r := bodyReader{conn: FromContext(ctx)}
	if !r.reserve(bytes) {
		return errNoRoom(bytes)
	}
	return nil
}

func errNoRoom(bytes int64) error {
	return failure.Retry(failure.HostFull, refusalRetryAfter, "this host has no memory for a body of %d bytes", bytes)
}

// bodyReader reads one body.
type bodyReader struct {
	conn  *Conn // nil: memory isn't counted
	bytes []byte
}

func (r *bodyReader) reserve(bytes int64) bool {
	if r.conn == nil || r.conn.l.in.reserve(r.conn, forBody, bytes) {
		return true
	}
	r.conn.l.in.count(func(r *Refusals) { r.Bodies++ })
	return false
}

func (r *bodyReader) readLength(body io.Reader, length int64) error {
	if !r.reserveBuffers(length) {
		return errNoRoom(length)
	}
	r.bytes = make([]byte, length)
	_, err := io.ReadFull(body, r.bytes)
	return err
}

// readAll reads to the end of a body whose length isn't stated.
func (r *bodyReader) readAll(body io.Reader) error {
	for {
		if len(r.bytes) == cap(r.bytes) {
			if err := r.grow(); err != nil {
				return err
			}
		}
		n, err := body.Read(r.bytes[len(r.bytes):cap(r.bytes)])
		r.bytes = r.bytes[:len(r.bytes)+n]
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// grow doubles the buffer. While the bytes are copied both buffers count.
func (r *bodyReader) grow() error {
	size := int64(max(firstBody, 2*cap(r.bytes)))
	if !r.reserveBuffers(size) {
		return errNoRoom(size)
	}
	old := cap(r.bytes)
	r.bytes = append(make([]byte, 0, size), r.bytes...)
	if r.conn != nil {
		r.conn.l.in.release(r.conn, forBody, int64(old))
	}
	return nil
}

// reserveBuffers reserves memory for a buffer, and for what the kernel may hold of a large body beyond what it
// holds of any connection.
func (r *bodyReader) reserveBuffers(bytes int64) bool {
	if r.conn == nil || r.conn.raised || bytes < largeBody {
		return r.reserve(bytes)
	}
	if !r.reserve(bytes + largeUnreadBytes) {
		return false
	}
	r.conn.raised = true
	if s, ok := r.conn.Conn.(interface{ SetReadBuffer(bytes int) error }); ok {
		_ = s.SetReadBuffer(largeReceiveBuffer) // the body is slow if it fails
	}
	return true
}

// explain returns the error of a body as callers get it. A body that was complete only when its connection had
// given way is refused too: the connection is at its end.
func (r *bodyReader) explain(err error) error {
	late := errors.Is(err, os.ErrDeadlineExceeded)
	switch {
	case r.conn == nil || err != nil && !late:
		return err
	case r.conn.gaveWay():
		return failure.Retry(failure.HostFull, refusalRetryAfter, "this host needs the memory of a body that did not arrive")
	case late:
		return failure.New(failure.TooSlow, "the body did not arrive in time")
	}
	return nil
}

// beginBody marks the connection as one that waits for its client's body until a deadline.
func (c *Conn) beginBody(deadline time.Time) {
	_ = c.SetReadDeadline(deadline)
	c.progress.Store(time.Now().UnixNano())
	in := c.l.in
	in.mu.Lock()
	defer in.mu.Unlock()
	if c.counted {
		c.inBody = true
		c.wait(c.l.conns.body)
	}
}

// endBody marks the connection as one that the process is at work for.
func (c *Conn) endBody() {
	_ = c.SetReadDeadline(time.Time{})
	in := c.l.in
	in.mu.Lock()
	defer in.mu.Unlock()
	c.inBody = false
	if c.counted {
		c.wait(nil)
	}
}

// gaveWay reports whether the connection gave way to others.
func (c *Conn) gaveWay() bool {
	c.l.in.mu.Lock()
	defer c.l.in.mu.Unlock()
	return !c.counted
}

const (
	// unwantedTime is the time limit of a body until the handler reads it, which sets another one.
	unwantedTime = 10 * time.Second
	// unreadTime is how long the server waits for the rest of a body once the handler has left it. Until then the
	// client may still be sending, and might not read an answer.
	unreadTime = time.Second
)

// LeaveBody sets the time limit for the rest of a body that the handler has not read and will not read.
func LeaveBody(ctx context.Context) {
	if c := FromContext(ctx); c != nil {
		_ = c.SetReadDeadline(time.Now().Add(unreadTime))
	}
}
