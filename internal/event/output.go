package event

import (
	"context"
	"fmt"
	"io"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"github.com/gentianflow/gentianflow/internal/ring"
)

// Limits for the log of one process. In the largest deployment a host answers 30
// requests per second with one to three lines each; a home also logs its state
// changes. A line costs about 15 us of processor time and has 250 bytes.
const (
	maxLinesPerSecond  = 150
	maxLineBurst       = 1500
	maxQueuedLines     = 512
	dropReportInterval = 5 * time.Second
)

// Output writes log lines in the background. It never blocks: it drops lines that
// exceed the rate limit or arrive while the log's reader is stalled, and logs how
// many it dropped.
type Output struct {
	w       io.Writer
	limiter *rate.Limiter
	lines   *ring.Ring[[]byte]
	dropped atomic.Int64
}

// NewOutput returns an output to w. Run writes the lines.
func NewOutput(w io.Writer) *Output {
	return &Output{w: w, limiter: rate.NewLimiter(maxLinesPerSecond, maxLineBurst), lines: ring.New[[]byte](maxQueuedLines)}
}

// Write implements io.Writer for a logger; p is one line.
func (o *Output) Write(p []byte) (int, error) {
	if !o.limiter.Allow() || !o.lines.TryPush(append([]byte(nil), p...)) {
		o.dropped.Add(1)
	}
	return len(p), nil
}

// Dropped returns the number of lines dropped so far.
func (o *Output) Dropped() int64 { return o.dropped.Load() }

// Run writes lines until ctx ends, then writes those still queued.
func (o *Output) Run(ctx context.Context) {
	ticker := time.NewTicker(dropReportInterval)
	defer ticker.Stop()
	reported := int64(0)
	for {
		select {
		case <-o.lines.Ready():
		case <-ticker.C:
			if n := o.dropped.Load(); n > reported {
				_, _ = fmt.Fprintf(o.w, "level=warn event=%d name=%s count=%d\n", LinesDropped, Catalogue[LinesDropped].Name, n-reported)
				reported = n
			}
		case <-ctx.Done():
			o.flush()
			return
		}
		o.flush()
	}
}

// flush writes the queued lines in one call. It ignores the error because a failing
// log must not stop a request.
func (o *Output) flush() {
	var text []byte
	for _, line := range o.lines.Drain(nil) {
		text = append(text, line...)
	}
	if len(text) > 0 {
		_, _ = o.w.Write(text)
	}
}
