package entry

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/gentianflow/gentianflow/internal/dispatch"
	"github.com/gentianflow/gentianflow/internal/failure"
	"github.com/gentianflow/gentianflow/internal/routing"
	"github.com/gentianflow/gentianflow/internal/sched"
)

// shutdown is how far a host has got in shutting down.
//
// A request that is passed on late would be cut off by the end of the process, and its caller could not tell
// whether it ran. A refused one has not run, and its caller goes to another host.
type shutdown struct {
	closed        context.Context           // done when late requests are refused
	ended         context.Context           // done when requests in progress are given up
	end           atomic.Pointer[time.Time] // when ended will be done; set before closed is
	close, finish context.CancelFunc
}

func newShutdown() *shutdown {
	s := &shutdown{}
	s.closed, s.close = context.WithCancel(context.Background())
	s.ended, s.finish = context.WithCancel(context.Background())
	return s
}

// RefuseRequests makes the handler refuse new requests, and those that no server has got, unless their deadlines
// are before end.
func (h *Handler) RefuseRequests(end time.Time) {
	h.shutdown.end.Store(&end)
	h.shutdown.close()
}

// EndRequests makes the handler give up the requests that are still in progress.
func (h *Handler) EndRequests() { h.shutdown.finish() }

// errShutdown is the error of a request that was not passed on.
var errShutdown = failure.Retry(failure.Leaving, shutdownRetryAfter, "this host shuts down")

// refuses reports whether a request with a deadline is too late to be passed on.
func (s *shutdown) refuses(deadline time.Time) bool {
	return s.closed.Err() != nil && deadline.After(*s.end.Load())
}

// onRefusal calls f when a request with a deadline becomes too late to be passed on, until stop is called.
func (s *shutdown) onRefusal(deadline time.Time, f func()) (stop func() bool) {
	return context.AfterFunc(s.closed, func() {
		if s.refuses(deadline) {
			f()
		}
	})
}

// isCutOff reports whether the end of the host ends the request, not its deadline.
func (x *exchange) isCutOff() bool {
	return x.h.shutdown.ended.Err() != nil && time.Now().Before(x.deadline)
}

// mayBeLate reports whether the request may be passed on however late it is: nothing is lost if its answer is cut
// off then.
func (x *exchange) mayBeLate() bool {
	return x.stream.started || x.runs > 0 && x.route.Kind == routing.Safe
}

// acquire waits for a placement. It fails with errShutdown if it is too late for one.
func (x *exchange) acquire(ctx context.Context) (dispatch.Placement, error) {
	if x.mayBeLate() {
		return x.h.Placer.Acquire(ctx, x.placementRequest())
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer x.h.shutdown.onRefusal(x.deadline, cancel)()
	placement, err := x.h.Placer.Acquire(ctx, x.placementRequest())
	if !x.h.shutdown.refuses(x.deadline) {
		return placement, err
	}
	if err == nil {
		x.h.Placer.Finish(placement.ID, sched.Unused, 0, 0)
	}
	return dispatch.Placement{}, errShutdown
}

// interruptBody ends the read of a body that arrives too late, until stop is called.
func (x *exchange) interruptBody() (stop func() bool) {
	return x.h.shutdown.onRefusal(x.deadline, func() {
		// If it fails, the request is refused once its body is read.
		_ = http.NewResponseController(x.w).SetReadDeadline(time.Now())
	})
}
