package entry

import (
	"context"
	"sync/atomic"
	"time"
)

const (
	// pauseCheckInterval is how often a host notes that it runs. minHostPause is the delay beyond it
	// that counts as a pause: much longer than the usual delays of a busy host, and shorter than the
	// pauses of streams that matter to callers.
	pauseCheckInterval = 10 * time.Millisecond
	minHostPause       = 30 * time.Millisecond
)

// hostPauses notices when this host was paused, as its processor time was used up or it was frozen.
// All streams that it forwards then seem to pause, though their engines didn't.
//
// The zero value notices nothing until tick is called.
type hostPauses struct {
	lastTick  atomic.Int64 // in nanoseconds since processStart, 0 before the first
	lastPause atomic.Int64 // end of the newest pause
}

var processStart = time.Now()

// tick notes that the host runs at a time.
func (p *hostPauses) tick(at time.Time) {
	now := int64(at.Sub(processStart))
	if last := p.lastTick.Load(); last > 0 && now-last > int64(pauseCheckInterval+minHostPause) {
		p.lastPause.Store(now)
	}
	p.lastTick.Store(now)
}

// pausedBetween reports whether the host was paused at some time between from and now. After a
// pause, a stream may be read before the next tick.
func (p *hostPauses) pausedBetween(from, now time.Time) bool {
	last := p.lastTick.Load()
	if last == 0 {
		return false
	}
	return p.lastPause.Load() > int64(from.Sub(processStart)) ||
		int64(now.Sub(processStart))-last > int64(pauseCheckInterval+minHostPause)
}

// WatchPauses notices pauses of this host until ctx ends, so that they don't count as pauses of
// streams.
func (h *Handler) WatchPauses(ctx context.Context) {
	t := time.NewTicker(pauseCheckInterval)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			h.pauses.tick(time.Now())
		case <-ctx.Done():
			return
		}
	}
}
