package tunnel

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/gentianflow/gentianflow/internal/peer"
	"github.com/gentianflow/gentianflow/internal/upstream"
	"github.com/gentianflow/gentianflow/internal/wire"
)

const (
	// maxServed bounds the tunnels that a host carries at once. Each takes a connection, two buffers of
	// bufferBytes and at most two windows of unread bytes.
	maxServed = 256
	// maxConnectTime bounds the connection attempts that other hosts ask for.
	maxConnectTime = 500 * time.Millisecond
	requestTimeout = time.Second
	// lingerTime is how long the other end may take to close a tunnel whose server has closed the
	// connection.
	lingerTime = 5 * time.Second
	// writeEndTime is how long a write to a server may go on after the server has closed its sending side.
	writeEndTime = time.Second
)

// Paths is what this host knows of its own paths to servers.
type Paths interface {
	// Connect opens a connection to a server over this host's own path.
	Connect(ctx context.Context, s upstream.Server) (net.Conn, error)
	// Usable reports whether the path to a server is believed to work.
	Usable(server string) bool
	// ReachesOthers reports whether this host has connected to other servers of the service of s since a
	// time, or can now. It may connect to some of them to find out.
	ReachesOthers(ctx context.Context, s upstream.Server, since time.Time) bool
	// Lose records that this host alone does not reach a server.
	Lose(s upstream.Server)
}

// Server carries tunnels that other hosts ask for.
type Server struct {
	paths   Paths
	listed  func(id, address string) bool
	metrics metrics.Registry
	active  sync.WaitGroup
	slots   chan struct{}
}

// NewServer returns a Server. listed reports whether a server is in this host's list; connections to
// other addresses are never opened.
func NewServer(paths Paths, listed func(id, address string) bool, registry metrics.Registry) *Server {
	return &Server{paths: paths, listed: listed, metrics: registry, slots: make(chan struct{}, maxServed)}
}

// Serve carries one tunnel until it ends.
func (v *Server) Serve(st *peer.Stream) {
	defer st.Abort()
	v.active.Add(1)
	defer v.active.Done()
	m := &wire.TunnelRequest{}
	_ = st.SetDeadline(time.Now().Add(requestTimeout))
	if wire.Read(st.Reader, m) != nil {
		return
	}
	conn, status := v.connect(m)
	if conn != nil {
		defer func() { _ = conn.Close() }() // the tunnel has ended
		if !m.Check {
			defer func() { <-v.slots }()
		}
	}
	v.count(status)
	_ = st.SetDeadline(time.Now().Add(requestTimeout))
	if wire.Write(st, &wire.TunnelReply{Status: status}) != nil || conn == nil || m.Check {
		return
	}
	_ = st.SetDeadline(time.Time{})
	v.carry(st, conn)
}

// connect opens the connection for a tunnel. A connection that is not only for a check takes a slot.
func (v *Server) connect(m *wire.TunnelRequest) (net.Conn, wire.TunnelStatus) {
	s := upstream.Server{ID: m.Server, Address: m.Address}
	switch {
	case !v.listed(s.ID, s.Address):
		return nil, wire.TunnelStatus_TUNNEL_UNKNOWN
	case !v.paths.Usable(s.ID):
		return nil, wire.TunnelStatus_TUNNEL_NO_PATH
	}
	if !m.Check {
		select {
		case v.slots <- struct{}{}:
		default:
			return nil, wire.TunnelStatus_TUNNEL_BUSY
		}
	}
	begun := time.Now()
	timeout := min(maxConnectTime, time.Duration(m.TimeoutMs)*time.Millisecond)
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	conn, err := v.paths.Connect(ctx, s)
	if err == nil {
		return conn, wire.TunnelStatus_TUNNEL_CONNECTED
	}
	if !m.Check {
		<-v.slots
	}
	ctx, cancel = context.WithTimeout(context.Background(), timeout)
	defer cancel()
	if !v.paths.ReachesOthers(ctx, s, begun) {
		v.paths.Lose(s)
		return nil, wire.TunnelStatus_TUNNEL_NO_PATH
	}
	if errors.Is(err, syscall.ECONNREFUSED) {
		return nil, wire.TunnelStatus_TUNNEL_REFUSED
	}
	return nil, wire.TunnelStatus_TUNNEL_UNREACHABLE
}

// carry forwards bytes both ways until one end closes.
//
// The connection to the server ends with the stream, so that the server stops the request when its
// caller has left.
func (v *Server) carry(st *peer.Stream, server net.Conn) {
	request := &requestWriter{conn: server}
	requestEnded := make(chan struct{})
	go func() {
		defer close(requestEnded)
		_, _ = io.CopyBuffer(request, st.Reader, make([]byte, bufferBytes))
		_ = server.Close() // the other end is gone, or the server is
	}()
	if forwardAnswer(st, server, request) {
		select {
		case <-requestEnded:
		case <-time.After(lingerTime):
		}
	}
	st.Abort()
	_ = server.Close()
	<-requestEnded
}

func (v *Server) count(status wire.TunnelStatus) {
	name := map[wire.TunnelStatus]string{
		wire.TunnelStatus_TUNNEL_CONNECTED: "connected", wire.TunnelStatus_TUNNEL_REFUSED: "refused",
		wire.TunnelStatus_TUNNEL_UNREACHABLE: "unreachable", wire.TunnelStatus_TUNNEL_NO_PATH: "no_path",
		wire.TunnelStatus_TUNNEL_BUSY: "busy", wire.TunnelStatus_TUNNEL_UNKNOWN: "unknown_server",
	}[status]
	metrics.GetOrRegisterCounter("tunnels_asked_"+name, v.metrics).Inc(1)
}

// Active returns the number of tunnels that carry a connection.
func (v *Server) Active() int { return len(v.slots) }

// Wait waits until no tunnel is left, or until ctx ends.
func (v *Server) Wait(ctx context.Context) {
	done := make(chan struct{})
	go func() {
		v.active.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-ctx.Done():
	}
}
