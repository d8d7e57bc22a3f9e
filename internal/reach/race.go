package reach

import (
	"context"
	"net"
	"time"

	"github.com/gentianflow/gentianflow/internal/failure"
	"github.com/gentianflow/gentianflow/internal/upstream"
)

// connection is an open connection, and the host that carries it if it is a tunnel.
type connection struct {
	net.Conn
	via string
}

// dialed is the outcome of a connection attempt over the own path.
type dialed struct {
	conn net.Conn
	err  error
}

// tunneled is the outcome of an attempt to open a tunnel.
type tunneled struct {
	connection
	results PeerResults
}

// race is an attempt to connect to a server over the own path and, if that fails or takes unusually
// long, in a tunnel. The first connection is used. Either way the race goes on until it is known
// whether the own path works.
type race struct {
	c       *Connector
	server  upstream.Server
	timeout time.Duration
	won     chan connection
	left    chan struct{} // closed when nobody waits for a connection any more
	cause   chan error    // receives the error if there is no connection, after verdict
	verdict chan Verdict  // receives one value
}

func (r *race) run(ctx context.Context) {
	direct := r.dial(ctx)
	start := time.NewTimer(directStart)
	defer start.Stop()
	select {
	case d := <-direct:
		if d.err == nil {
			r.deliver(connection{Conn: d.conn})
			r.verdict <- Reached
			return
		}
		direct <- d
	case <-start.C:
	}
	if r.c.tunnels == nil {
		r.finish(<-direct, tunneled{})
		return
	}
	ctx, cancel := context.WithTimeout(ctx, r.timeout+tunnelTime)
	defer cancel()
	tunnel := make(chan tunneled, 1)
	go func() {
		conn, via, t := r.c.tunnels.Open(ctx, TunnelRequest{Server: r.server, Timeout: r.timeout})
		tunnel <- tunneled{connection{conn, via}, t}
	}()
	var d dialed
	var t tunneled
	for range 2 {
		select {
		case d = <-direct:
			direct = nil
			if d.err == nil {
				r.deliver(connection{Conn: d.conn})
				cancel()
			}
		case t = <-tunnel:
			tunnel = nil
			if t.Conn != nil {
				r.deliver(t.connection)
			}
		}
	}
	r.finish(d, t)
}

// dial connects over the own path.
func (r *race) dial(ctx context.Context) chan dialed {
	out := make(chan dialed, 1)
	go func() {
		ctx, cancel := context.WithTimeout(ctx, r.timeout)
		defer cancel()
		conn, err := r.c.Connect(ctx, r.server)
		out <- dialed{conn, err}
	}()
	return out
}

// deliver hands a connection to the request that waits for one, or closes it.
func (r *race) deliver(c connection) {
	select {
	case r.won <- c:
		close(r.left)
	case <-r.left:
		_ = c.Close() // nothing was sent
	}
}

// finish ends a race of which both outcomes are known.
func (r *race) finish(d dialed, t tunneled) {
	if d.err == nil {
		r.verdict <- Reached
		return
	}
	r.verdict <- r.c.settle(r.server, refuses(d.err), t.results)
	r.cause <- failure.Wrap(failure.NoServer, d.err, "connect to %s", r.server.Address)
}
