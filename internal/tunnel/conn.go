// Package tunnel carries connections to backend servers through other entry hosts, for a host that
// has no path of its own to a server.
//
// A tunnel is one stream between two hosts and one connection to one server. An Opener asks other
// hosts for tunnels and chooses these hosts; a Server carries the tunnels that others ask for. The
// carrying host passes on bytes and decides nothing: the request stays with the host that received
// it, which counts it, bounds it and ends it. A host never carries a tunnel over a second host.
//
// Each direction is bounded by the window of its stream, so that a caller or server that does not
// read stops the other end.
package tunnel

import (
	"bufio"
	"io"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/gentianflow/gentianflow/internal/peer"
	"github.com/gentianflow/gentianflow/internal/wire"
)

// conn is the end of a tunnel at the host that asked for it.
type conn struct {
	*peer.Stream
	unread  []byte
	ended   bool // the server closed the connection
	onClose func()
	once    sync.Once
}

// Read implements net.Conn. It fails with io.ErrUnexpectedEOF if the tunnel broke off, so that an
// answer that ends with its connection does not look complete.
func (c *conn) Read(b []byte) (int, error) {
	for len(c.unread) == 0 {
		if c.ended {
			return 0, io.EOF
		}
		m := &wire.TunnelData{}
		if err := wire.Read(c.Reader, m); err != nil {
			return 0, errors.Wrapf(io.ErrUnexpectedEOF, "tunnel through %s: %s", c.Peer.Host, err)
		}
		c.unread, c.ended = m.Data, m.End
	}
	n := copy(b, c.unread)
	c.unread = c.unread[n:]
	return n, nil
}

// Close implements net.Conn. It interrupts a pending Read.
func (c *conn) Close() error {
	c.once.Do(func() {
		c.Abort()
		c.onClose()
	})
	return nil
}

// bufferBytes fits most events of a stream and the header of an answer.
const bufferBytes = 8 << 10

// requestWriter writes to the connection to the server, for one goroutine, and tells another one whether that fails.
//
// The kernel reports a reset once: to a write that is in progress rather than to the next read, which then
// returns the end of the connection.
type requestWriter struct {
	conn net.Conn

	mu      sync.Mutex
	writing chan struct{} // closed when the write in progress ends, nil if there is none
	failed  bool          // a write failed
}

// Write implements io.Writer.
func (w *requestWriter) Write(b []byte) (int, error) {
	ended := make(chan struct{})
	w.mu.Lock()
	w.writing = ended
	w.mu.Unlock()
	n, err := w.conn.Write(b)
	w.mu.Lock()
	w.writing, w.failed = nil, w.failed || err != nil
	w.mu.Unlock()
	close(ended)
	return n, err
}

// broken reports whether a write has failed. It waits for a write in progress, which counts as failed if it takes
// longer than writeEndTime.
func (w *requestWriter) broken() bool {
	w.mu.Lock()
	writing := w.writing
	w.mu.Unlock()
	if writing != nil {
		timer := time.NewTimer(writeEndTime)
		defer timer.Stop()
		select {
		case <-writing:
		case <-timer.C:
			return true
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.failed
}

// forwardAnswer sends what the server sends to the stream until the connection ends, and reports
// whether the server closed it in order.
func forwardAnswer(st *peer.Stream, server net.Conn, request *requestWriter) (closed bool) {
	w := bufio.NewWriterSize(st, bufferBytes+64)
	buf := make([]byte, bufferBytes)
	for {
		n, err := server.Read(buf)
		m := &wire.TunnelData{Data: buf[:n], End: err == io.EOF && !request.broken()}
		if n > 0 || m.End {
			if wire.Write(w, m) != nil || w.Flush() != nil {
				return false
			}
		}
		if err != nil {
			return m.End
		}
	}
}
