package intake

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/gentianflow/gentianflow/internal/failure"
)

// The memory in bytes of a request in progress, without its body: for its goroutines and buffers, and for each
// byte and line of its head, which is parsed, copied for a backend server, and more is derived from it.
const (
	requestCost     = 24 << 10
	costPerHeadByte = 6
	costPerHeadLine = 160
)

// serverBuffer is the size of the buffer into which the server reads from a connection. It may hold the beginning
// of a request that was sent behind another one, and the server parses it before it reads on. Its lines are not
// known, and are taken to be as short as lines can be.
const (
	serverBuffer      = 4 << 10
	costPerHiddenByte = costPerHeadByte + costPerHeadLine/4
)

// HeadSlack is how many bytes net/http allows a head to have beyond its limit.
const HeadSlack = 4 << 10

// firstBuffer is the size of the buffer for a head that does not arrive at once.
const firstBuffer = 4 << 10

// headScan finds the end of a head, an empty line, in pieces.
type headScan struct {
	bytes, lines int  // so far
	length       int  // of the line that is not complete
	first        byte // of that line
}

// next takes the next piece. It returns how many bytes of it belong to the head, and whether the head is
// complete.
func (s *headScan) next(piece []byte) (n int, complete bool) {
	for n < len(piece) {
		rest := piece[n:]
		i := bytes.IndexByte(rest, '\n')
		line := rest
		if i >= 0 {
			line = rest[:i]
		}
		if s.length == 0 && len(line) > 0 {
			s.first = line[0]
		}
		s.length += len(line)
		if i < 0 {
			n = len(piece)
			break
		}
		n += i + 1
		s.lines++
		empty := s.length == 0 || s.length == 1 && s.first == '\r'
		s.length = 0
		if empty {
			complete = true
			break
		}
	}
	s.bytes += n
	return n, complete
}

// cost returns the memory of the request once its head is parsed.
func (s *headScan) cost() int64 {
	return int64(requestCost + costPerHeadByte*s.bytes + costPerHeadLine*s.lines)
}

// Read implements net.Conn for the server. It passes on a head only when it is complete and there is memory to
// parse it, so that heads which never end cost their bytes and nothing else.
func (c *Conn) Read(p []byte) (int, error) {
	switch phase(c.phase.Load()) {
	case inRequest:
		return c.readOn(p)
	case afterHead:
		if len(p) == 1 {
			return c.readOn(p) // the server watches for the end of the connection
		}
		c.phase.Store(int32(inHead)) // the server sees the end of the head elsewhere
	}
	if c.ready == 0 {
		if !c.admitHidden(serverBuffer - len(p)) {
			return 0, io.EOF
		}
		n, err := c.readHead(p)
		if n > 0 || err != nil {
			return n, err
		}
	}
	n := c.takeBuffered(p[:min(len(p), c.ready)])
	if c.ready -= n; c.ready == 0 {
		c.phase.Store(int32(afterHead))
	}
	return n, nil
}

// readOn reads what follows a head.
func (c *Conn) readOn(p []byte) (n int, err error) {
	if len(c.buffer) > 0 {
		n = c.takeBuffered(p)
	} else {
		n, err = c.Conn.Read(p)
	}
	if len(p) > 1 {
		c.progress.Store(time.Now().UnixNano())
	}
	if n == 1 && len(p) == 1 && !c.admitEager() {
		return 0, io.EOF
	}
	return n, err
}

// takeBuffered moves bytes from the buffer, and frees it when it is empty.
func (c *Conn) takeBuffered(p []byte) int {
	n := copy(p, c.buffer)
	size := cap(c.buffer)
	if c.buffer = c.buffer[n:]; len(c.buffer) == 0 {
		c.buffer = nil
	}
	c.l.in.release(c, forHead, int64(size-cap(c.buffer)))
	c.resizeBuffer(cap(c.buffer) - size)
	return n
}

// resizeBuffer keeps account of the part of the connection's memory that its buffer has.
func (c *Conn) resizeBuffer(bytes int) {
	c.l.in.mu.Lock()
	defer c.l.in.mu.Unlock()
	c.buffered += int64(bytes)
}

// readHead reads until a head is complete. It returns the bytes that it has read into p, or none when the head
// is in the buffer.
func (c *Conn) readHead(p []byte) (int, error) {
	scanned := 0
	if len(c.buffer) == 0 {
		n, err := c.Conn.Read(p)
		if n == 0 {
			return 0, err
		}
		if _, complete := c.scan.next(p[:n]); complete {
			if !c.admitHead(p[:n]) {
				return 0, io.EOF
			}
			c.phase.Store(int32(afterHead))
			return n, nil
		}
		if !c.grow(n) {
			return 0, io.EOF
		}
		c.buffer, scanned = append(c.buffer, p[:n]...), n
	}
	c.limitHeadTime()
	for {
		if scanned < len(c.buffer) {
			n, complete := c.scan.next(c.buffer[scanned:])
			scanned += n
			if complete {
				if !c.admitHead(c.buffer[:scanned]) {
					return 0, io.EOF
				}
				c.ready = scanned
				return 0, nil
			}
		}
		if limit := c.l.in.options.MaxHead; limit > 0 && c.scan.bytes > limit {
			c.l.in.count(func(r *Refusals) { r.TooLong++ })
			c.refuse(c.buffer, http.StatusRequestHeaderFieldsTooLarge, failure.TooLarge, "the head is longer than "+strconv.Itoa(limit)+" bytes")
			return 0, io.EOF
		}
		if len(c.buffer) == cap(c.buffer) && !c.grow(1) {
			return 0, io.EOF
		}
		n, err := c.Conn.Read(c.buffer[len(c.buffer):cap(c.buffer)])
		if n == 0 && err != nil {
			return 0, err
		}
		c.buffer = c.buffer[:len(c.buffer)+n]
	}
}

// grow makes room for at least so many further bytes in the buffer, if there is memory.
func (c *Conn) grow(bytes int) bool {
	size := max(firstBuffer, 2*cap(c.buffer), len(c.buffer)+bytes)
	if !c.l.in.reserve(c, forHead, int64(size-cap(c.buffer))) {
		c.refuseHead(c.buffer)
		return false
	}
	c.resizeBuffer(size - cap(c.buffer))
	c.buffer = append(make([]byte, 0, size), c.buffer...)
	return true
}

// limitHeadTime sets the time limit of a head that has begun to arrive.
func (c *Conn) limitHeadTime() {
	limit := c.l.in.options.HeadTimeout
	if limit <= 0 {
		return
	}
	c.deadlineMu.Lock()
	defer c.deadlineMu.Unlock()
	if end := time.Now().Add(limit); !c.ended && (c.deadline.IsZero() || end.Before(c.deadline)) {
		_ = c.Conn.SetReadDeadline(end)
	}
}

// SetReadDeadline implements net.Conn.
func (c *Conn) SetReadDeadline(t time.Time) error {
	c.deadlineMu.Lock()
	defer c.deadlineMu.Unlock()
	if c.ended {
		return nil
	}
	c.deadline = t
	return c.Conn.SetReadDeadline(t)
}

// admitHead takes the memory that a head has once it is parsed. It refuses the request if there is none.
func (c *Conn) admitHead(head []byte) bool {
	if c.l.in.reserve(c, forHead, c.scan.cost()) {
		return true
	}
	c.refuseHead(head)
	return false
}

// admitHidden takes the memory for so many bytes of a head that the server has read along with the request
// before.
func (c *Conn) admitHidden(bytes int) bool {
	if c.scan.bytes > 0 || bytes <= 0 {
		return true
	}
	c.scan.bytes = bytes
	if c.l.in.reserve(c, forHead, int64(bytes)*costPerHiddenByte) {
		return true
	}
	c.l.in.count(func(r *Refusals) { r.Heads++ })
	return false // the connection is closed at once, with what is parsed
}

func (c *Conn) refuseHead(head []byte) {
	c.l.in.count(func(r *Refusals) { r.Heads++ })
	c.refuse(head, http.StatusServiceUnavailable, failure.HostFull, "this host has no memory for the request")
}

// admitEager takes the memory for what a client sends behind a request in progress, which stays unread, and lets
// the connection give way to others. Without memory it ends the connection.
func (c *Conn) admitEager() bool {
	in := c.l.in
	in.mu.Lock()
	known := c.eager
	c.eager = true
	in.mu.Unlock()
	if known {
		return true
	}
	unread := int64(unreadBytes)
	if c.raised {
		unread = largeUnreadBytes
	}
	admitted := in.reserve(c, forHead, unread)
	in.mu.Lock()
	var victims []*Conn
	switch {
	case !c.counted:
	case !admitted:
		c.remove()
		victims = append(victims, c)
	case c.cancel != nil: // else the request has not begun yet
		c.wait(c.l.conns.eager)
	}
	in.mu.Unlock()
	in.closeAll(victims)
	return admitted
}

const (
	// refusalRetryAfter is the Retry-After of a refused request; clients retry at another host.
	refusalRetryAfter = 100 * time.Millisecond
	// A refused client has lingerTime to read its answer, and may send lingerBytes meanwhile: the close of a
	// connection with unread bytes is a reset, which may overtake the answer.
	lingerTime  = 500 * time.Millisecond
	lingerBytes = 256 << 10
)

// refuse answers a request that the server does not get to see, and ends the connection.
func (c *Conn) refuse(received []byte, status int, code failure.Code, message string) {
	var body []byte
	if f := c.l.in.options.Refusal; f != nil {
		body = f(received, code, message)
	}
	retry := ""
	if status == http.StatusServiceUnavailable {
		retry = fmt.Sprintf("Retry-After: %.3f\r\n", refusalRetryAfter.Seconds())
	}
	head := fmt.Sprintf("HTTP/1.1 %d %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\n%sConnection: close\r\n\r\n", status, http.StatusText(status), len(body), retry)
	c.resizeBuffer(-cap(c.buffer))
	c.buffer, c.ready = nil, 0
	c.l.in.releaseRequest(c)
	_ = c.Conn.SetDeadline(time.Now().Add(lingerTime))
	if _, err := c.Conn.Write(append([]byte(head), body...)); err == nil {
		_ = c.CloseWrite() // the server closes the connection
	}
}
