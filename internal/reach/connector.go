package reach

import (
	"context"
	"errors"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/gentianflow/gentianflow/internal/event"
	"github.com/gentianflow/gentianflow/internal/failure"
	"github.com/gentianflow/gentianflow/internal/upstream"
)

const (
	// directStart is how long the own path has before a tunnel is opened as well: more than a connection
	// between regions takes, and less than the shortest latency target.
	directStart = 40 * time.Millisecond
	// lateTime is how long after the end of the time for a connection attempt a request still waits
	// for its outcome.
	lateTime = 10 * time.Millisecond
	// tunnelTime is the shortest time that a tunnel may take to open, also where the time for a
	// connection attempt has nearly passed.
	tunnelTime = 100 * time.Millisecond
)

// TunnelRequest asks other hosts for a connection to a server.
type TunnelRequest struct {
	Server  upstream.Server
	Timeout time.Duration // for the connection attempt of each host
	Check   bool          // only what the hosts find is wanted, not the connection
}

// Tunnels opens connections through other hosts.
type Tunnels interface {
	// Open returns a connection, the host that carries it and what was found. The connection is nil if
	// there is none or only a check was wanted.
	Open(ctx context.Context, r TunnelRequest) (conn net.Conn, via string, found PeerResults)
}

// Servers is this host's list of servers.
type Servers interface {
	// Service returns the service of a server, empty if the server is not listed.
	Service(server string) string
	// Others returns up to n other servers of the same service, or of any service if it has no others.
	Others(server string, n int) []upstream.Server
}

// Observer is told what a Connector finds out. Its methods must not block.
type Observer interface {
	// PathsLost is called when this host loses the paths to all servers, and when it has one again.
	PathsLost(lost bool)
	// ServerReached is called when a server that was found to be unreachable answers again.
	ServerReached(server string)
}

// Connector opens connections to servers. mu guards the fields from paths to cut.
type Connector struct {
	pool     *upstream.Pool
	tunnels  Tunnels // nil: there are no other hosts
	servers  Servers
	observer Observer
	events   *event.Recorder

	mu     sync.Mutex
	paths  *Paths
	checks map[upstream.Server]*check
	// connectedAt is when a connection over an own path last succeeded, by service and of any service.
	// Answers don't count: open connections may live on while new ones fail.
	connectedAt    map[string]time.Time
	connectedToAny time.Time
	cut            bool // as last reported to the observer
	wake           chan struct{}
}

// NewConnector returns a Connector. tunnels and observer may be nil where there is one host only.
func NewConnector(pool *upstream.Pool, tunnels Tunnels, servers Servers, observer Observer, events *event.Recorder) *Connector {
	return &Connector{
		pool: pool, tunnels: tunnels, servers: servers, observer: observer, events: events,
		paths: NewPaths(), checks: map[upstream.Server]*check{}, connectedAt: map[string]time.Time{}, wake: make(chan struct{}, 1),
	}
}

// Failed is the error of a connection that could not be opened. Nothing was sent.
type Failed struct {
	cause   error
	verdict chan Verdict // holds one value once it is known
}

// Error implements error.
func (f *Failed) Error() string { return f.cause.Error() }

// Unwrap returns the cause.
func (f *Failed) Unwrap() error { return f.cause }

// Verdict waits until it is known what is at fault.
func (f *Failed) Verdict() Verdict {
	v := <-f.verdict
	f.verdict <- v
	return v
}

// Get returns a connection to a server: an idle one, a new one within timeout, or a tunnel. via is the
// host that carries a tunnel. It fails with *Failed.
func (c *Connector) Get(ctx context.Context, s upstream.Server, timeout time.Duration) (conn *upstream.Conn, via string, err error) {
	if c.Usable(s.ID) {
		if idle := c.pool.TakeIdle(s); idle != nil {
			return idle, "", nil
		}
		return c.open(ctx, s, timeout)
	}
	c.watch(func(p *Paths, now time.Time) { p.TryLater(now, s.ID, s.Address) })
	raw, via, found := c.tunnels.Open(ctx, TunnelRequest{Server: s, Timeout: max(timeout, tunnelTime)})
	if raw != nil {
		return c.pool.NewTunnel(raw, s), via, nil
	}
	if found.Asked == 0 { // no other host has a path either
		return c.open(ctx, s, timeout)
	}
	f := &Failed{cause: failure.New(failure.NoPath, "this host has no path to %s, and no host that was asked has one", s.Address), verdict: make(chan Verdict, 1)}
	f.verdict <- c.settle(s, false, found)
	return nil, "", f
}

// open opens a connection over the own path or in a tunnel, whichever is first.
func (c *Connector) open(ctx context.Context, s upstream.Server, timeout time.Duration) (*upstream.Conn, string, error) {
	r := &race{c: c, server: s, timeout: timeout, won: make(chan connection), left: make(chan struct{}), verdict: make(chan Verdict, 1), cause: make(chan error, 1)}
	go r.run(context.WithoutCancel(ctx))
	// When the time is over the request is tried elsewhere, though the cause may show only later.
	timer := time.NewTimer(timeout + lateTime)
	defer timer.Stop()
	select {
	case won := <-r.won:
		if won.via != "" {
			return c.pool.NewTunnel(won.Conn, s), won.via, nil
		}
		return c.pool.NewConn(won.Conn, s), "", nil
	case cause := <-r.cause:
		return nil, "", &Failed{cause: cause, verdict: r.verdict}
	case <-timer.C:
		close(r.left)
		return nil, "", &Failed{cause: failure.New(failure.NoServer, "connect to %s: no connection within %s", s.Address, timeout), verdict: r.verdict}
	case <-ctx.Done():
		close(r.left)
		return nil, "", &Failed{cause: failure.Wrap(failure.Withdrawn, ctx.Err(), "connect to %s", s.Address), verdict: r.verdict}
	}
}

// CloseIdle closes the idle connections to a server.
func (c *Connector) CloseIdle(s upstream.Server) { c.pool.CloseIdle(s) }

// Connect opens a connection over this host's own path. It returns errors of package net.
func (c *Connector) Connect(ctx context.Context, s upstream.Server) (net.Conn, error) {
	conn, err := c.pool.Dial(ctx, s.Address)
	if err != nil {
		return nil, err
	}
	service := c.servers.Service(s.ID)
	c.mu.Lock()
	now := time.Now()
	c.connectedAt[service], c.connectedToAny = now, now
	wasDown := c.paths.Connected(now, s.ID)
	c.reportCut()
	c.mu.Unlock()
	if wasDown && c.observer != nil {
		c.observer.ServerReached(s.ID)
	}
	return conn, nil
}

// Answered records an answer of a server over this host's own path.
func (c *Connector) Answered() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.paths.Answered(time.Now())
}

// Usable reports whether the path to a server is believed to work.
func (c *Connector) Usable(server string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.tunnels == nil || c.paths.Usable(time.Now(), server)
}

// Lose records that this host does not reach a server that others reach.
func (c *Connector) Lose(s upstream.Server) {
	isNew := false
	c.watch(func(p *Paths, now time.Time) { isNew = p.Lose(now, s.ID, s.Address) })
	if isNew {
		c.pool.CloseIdle(s) // as likely to be silent
		c.events.Record(event.PathLost, event.Fields{Server: s.ID, Detail: s.Address})
	}
}

// watch changes the paths and lets the prober look at them.
func (c *Connector) watch(change func(p *Paths, now time.Time)) {
	c.mu.Lock()
	change(c.paths, time.Now())
	c.reportCut()
	c.mu.Unlock()
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// reportCut reports a change of whether this host is cut off from all servers. The caller holds mu.
func (c *Connector) reportCut() {
	if cut := c.paths.Cut(time.Now()); cut != c.cut {
		c.cut = cut
		if c.observer != nil {
			c.observer.PathsLost(cut)
		}
	}
}

// Retain forgets the servers that are not listed.
func (c *Connector) Retain(listed func(server string) bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.paths.Retain(time.Now(), listed)
	c.reportCut()
}

// LostPaths returns the number of lost paths, and whether this host is cut off from all servers.
func (c *Connector) LostPaths() (n int, cut bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.paths.Lost(), c.paths.Cut(time.Now())
}

// refuses reports whether an error means that nothing listens at the address.
func refuses(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }
