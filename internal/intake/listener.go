package intake

import (
	"context"
	"errors"
	"net"
	"net/http"
	"syscall"
	"time"
)

// receiveBuffer is the size in bytes that is asked of the kernel for its buffer of what a client has sent and
// the process has not read; unreadBytes is the most that it then keeps.
const (
	receiveBuffer = 16 << 10
	unreadBytes   = 24 << 10
)

// ListenTCP listens on an address. The connections may use a share of the connections of all listeners.
func (in *Intake) ListenTCP(address string, share float64) (*Listener, error) {
	config := net.ListenConfig{Control: func(_, _ string, socket syscall.RawConn) error {
		return socket.Control(func(fd uintptr) {
			// Accepted connections inherit it. Where it can't be set, the system's default holds.
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBuffer)
		})
	}}
	tcp, err := config.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, err
	}
	return in.listen(tcp, share), nil
}

// Listener accepts connections within the limits of an Intake.
type Listener struct {
	net.Listener
	in    *Intake
	share float64     // of all connections
	conns connections // guarded by in.mu
}

func (in *Intake) listen(l net.Listener, share float64) *Listener {
	listener := &Listener{Listener: l, in: in, share: share, conns: newConnections()}
	in.mu.Lock()
	defer in.mu.Unlock()
	in.listeners = append(in.listeners, listener)
	return listener
}

// minConnections is what a listener may accept however small its share is.
const minConnections = 8

// limit returns the largest number of connections, 0 for no limit. The caller holds in.mu.
func (l *Listener) limit() int {
	if l.in.limits.Connections <= 0 {
		return 0
	}
	return max(minConnections, int(l.share*float64(l.in.limits.Connections)))
}

// Accept implements net.Listener. A connection beyond the limit takes the place of another one, or is closed
// if there is none that can be.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.admit(conn); c != nil {
			return c, nil
		}
		_ = conn.Close() // nothing of it was read
	}
}

func (l *Listener) admit(conn net.Conn) *Conn {
	c := &Conn{Conn: conn, l: l}
	l.in.mu.Lock()
	var victims []*Conn
	if limit := l.limit(); limit > 0 && l.conns.open >= limit {
		victim := l.conns.oldest(ever)
		if victim == nil {
			l.in.mu.Unlock()
			l.in.count(func(r *Refusals) { r.Refused++ })
			return nil
		}
		victim.remove()
		victims = append(victims, victim)
	}
	victims = append(victims, l.in.makeRoom(forHead, connectionCost+ordinaryRequest, ever)...)
	c.add()
	l.in.mu.Unlock()
	l.in.closeAll(victims)
	return c
}

// Handle returns a handler that marks the connections of its requests as in use. It and ConnState belong to
// one http.Server that serves this listener.
func (l *Listener) Handle(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := FromContext(r.Context())
		if c == nil {
			next.ServeHTTP(w, r)
			return
		}
		ctx, cancel := context.WithCancel(r.Context())
		defer cancel()
		if !c.begin(cancel) {
			panic(http.ErrAbortHandler) // without running the request, whose client sees the close
		}
		defer l.in.releaseRequest(c)
		if r.ContentLength != 0 {
			// The server waits for the rest of a body that the handler has not read.
			c.beginBody(time.Now().Add(unwantedTime))
			defer LeaveBody(ctx)
		}
		next.ServeHTTP(w, r.WithContext(ctx))
	})
}

// ConnState is the ConnState of the http.Server.
func ConnState(conn net.Conn, state http.ConnState) {
	if c, ok := conn.(*Conn); ok && state == http.StateIdle {
		c.end()
	}
}

// errNotTCP is the error of calls that need a socket below the connection.
var errNotTCP = errors.New("not a socket")

// SyscallConn implements syscall.Conn.
func (c *Conn) SyscallConn() (syscall.RawConn, error) {
	if s, ok := c.Conn.(syscall.Conn); ok {
		return s.SyscallConn()
	}
	return nil, errNotTCP
}

// SetLinger sets the behavior of Close as net.TCPConn does.
func (c *Conn) SetLinger(seconds int) error {
	if s, ok := c.Conn.(interface{ SetLinger(seconds int) error }); ok {
		return s.SetLinger(seconds)
	}
	return errNotTCP
}

// CloseWrite shuts down the sending side as net.TCPConn does, and discards what still arrives. The server calls
// it before it closes a connection whose client may still be sending. The connection gives way to others.
func (c *Conn) CloseWrite() error {
	s, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok {
		return errNotTCP
	}
	c.l.in.mu.Lock()
	if c.counted {
		c.wait(c.l.conns.closing)
	}
	c.l.in.mu.Unlock()
	if err := s.CloseWrite(); err != nil {
		return err
	}
	_ = c.SetReadDeadline(time.Now().Add(lingerTime))
	var scratch [2 << 10]byte
	for discarded := 0; discarded < lingerBytes; {
		n, err := c.Conn.Read(scratch[:])
		if err != nil {
			break
		}
		discarded += n
	}
	return nil
}
