package reach

import (
	"context"
	"time"

	"github.com/gentianflow/gentianflow/internal/upstream"
)

const (
	// checkTimeout bounds the connection attempts that find out what is at fault, confirmTimeout the last
	// attempt over the own path before it counts as lost.
	checkTimeout   = 300 * time.Millisecond
	confirmTimeout = 100 * time.Millisecond
	// reachedMemory is how long a successful connection shows that this host reaches servers.
	reachedMemory = time.Second
	// controlDials is the number of other servers to which a host connects to find out whether it
	// reaches any, and controlTimeout bounds these attempts.
	controlDials   = 2
	controlTimeout = 150 * time.Millisecond
)

// Check finds out what is at fault after a connection to a server broke or fell silent. Checks of the same
// server at the same time, as when all its streams break, are one.
func (c *Connector) Check(ctx context.Context, s upstream.Server) Verdict {
	c.mu.Lock()
	running := c.checks[s]
	if running == nil {
		running = &check{done: make(chan struct{})}
		c.checks[s] = running
		go func() {
			running.verdict = c.check(context.WithoutCancel(ctx), s)
			c.mu.Lock()
			delete(c.checks, s)
			c.mu.Unlock()
			close(running.done)
		}()
	}
	c.mu.Unlock()
	select {
	case <-running.done:
		return running.verdict
	case <-ctx.Done():
		return Unknown
	}
}

// check is a running check. verdict is set before done is closed.
type check struct {
	done    chan struct{}
	verdict Verdict
}

func (c *Connector) check(ctx context.Context, s upstream.Server) Verdict {
	refused := true // by what other hosts find, if the own path is lost
	if c.Usable(s.ID) {
		dialCtx, cancel := context.WithTimeout(ctx, checkTimeout)
		defer cancel()
		conn, err := c.Connect(dialCtx, s)
		if err == nil {
			_ = conn.Close() // nothing was sent
			return Reached
		}
		refused = refuses(err)
	}
	var found PeerResults
	if c.tunnels != nil {
		ctx, cancel := context.WithTimeout(ctx, checkTimeout+tunnelTime)
		defer cancel()
		_, _, found = c.tunnels.Open(ctx, TunnelRequest{Server: s, Timeout: checkTimeout, Check: true})
	}
	return c.settle(s, refused, found)
}

// settle decides what is at fault and remembers it.
//
// A server that was silent for a moment may have answered another host after this one gave up, so the own
// path is tried once more before it counts as lost.
func (c *Connector) settle(s upstream.Server, refused bool, found PeerResults) Verdict {
	if found.Reached && c.Usable(s.ID) {
		ctx, cancel := context.WithTimeout(context.Background(), confirmTimeout)
		defer cancel()
		if conn, err := c.Connect(ctx, s); err == nil {
			_ = conn.Close() // nothing was sent
			return Reached
		}
	}
	c.mu.Lock()
	cut := c.paths.Cut(time.Now()) || found.Asked > 0 && time.Since(c.connectedToAny) > reachedMemory
	c.mu.Unlock()
	v := diagnose(refused, cut, found)
	switch {
	case v == PathLost && (found.Reached || found.Asked > 0):
		c.Lose(s)
	case v == Unreachable || v == Ended:
		c.watch(func(p *Paths, now time.Time) { p.Down(now, s.ID, s.Address) })
	}
	return v
}

// ReachesOthers reports whether this host has connected to other servers of the service of s since a time, or
// can now. Servers of other services say little: a host may have lost the links to one service. Nor do
// earlier connections: hosts of a zone may lose their links together.
func (c *Connector) ReachesOthers(ctx context.Context, s upstream.Server, since time.Time) bool {
	service := c.servers.Service(s.ID)
	c.mu.Lock()
	reached := c.connectedAt[service].After(since)
	c.mu.Unlock()
	if reached {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	others := c.servers.Others(s.ID, controlDials)
	dials := make(chan bool, len(others))
	for _, other := range others {
		go func() {
			conn, err := c.Connect(ctx, other)
			if err == nil {
				_ = conn.Close() // nothing was sent
			}
			dials <- err == nil
		}()
	}
	for range others {
		if <-dials {
			return true
		}
	}
	return false
}
