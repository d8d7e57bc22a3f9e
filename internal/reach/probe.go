package reach

import (
	"context"
	"sync"
	"time"

	"github.com/gentianflow/gentianflow/internal/event"
	"github.com/gentianflow/gentianflow/internal/upstream"
)

const (
	probeTimeout = 250 * time.Millisecond
	// maxProbesAtOnce bounds the paths that are probed at the same time.
	maxProbesAtOnce = 16
)

// Run probes paths that are not known to work, until ctx ends. No caller's request is used for it.
func (c *Connector) Run(ctx context.Context) {
	timer := time.NewTimer(maxProbeInterval)
	defer timer.Stop()
	for {
		select {
		case <-timer.C:
		case <-c.wake:
		case <-ctx.Done():
			return
		}
		c.mu.Lock()
		due, next := c.paths.Due(time.Now(), maxProbesAtOnce)
		c.reportCut()
		c.mu.Unlock()
		var probes sync.WaitGroup
		for _, p := range due {
			probes.Go(func() { c.probe(ctx, upstream.Server{ID: p.Server, Address: p.Address}) })
		}
		probes.Wait()
		timer.Reset(time.Until(next))
	}
}

// probe tries a path once.
func (c *Connector) probe(ctx context.Context, s upstream.Server) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	conn, err := c.Connect(ctx, s)
	if err == nil {
		_ = conn.Close() // nothing was sent
	}
	c.mu.Lock()
	isRestored := c.paths.Probed(time.Now(), s.ID, err == nil)
	c.mu.Unlock()
	if isRestored {
		c.events.Record(event.PathRestored, event.Fields{Server: s.ID, Detail: s.Address})
	}
}
