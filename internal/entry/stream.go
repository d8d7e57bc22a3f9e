package entry

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/gentianflow/gentianflow/internal/event"
	"github.com/gentianflow/gentianflow/internal/failure"
	"github.com/gentianflow/gentianflow/internal/sched"
)

// errUnsigned is the error of an answer that looks successful but is not the server's own.
var errUnsigned = failure.New(failure.ServerError, "the answer has no signature of its server")

// stream is the state of a streamed answer at the caller, over all runs.
type stream struct {
	started  bool          // the header has been written
	events   int           // forwarded
	lastID   string        // of the newest event with an id
	newestAt time.Time     // when the newest event was forwarded
	maxPause time.Duration // the longest between events, over all runs

	version    string // of the software of the server that sent the first event
	eventBegun bool   // a run broke off inside the event after the newest one
}

const (
	eventBufferBytes = 4 << 10
	maxEventBytes    = 256 << 10
	// maxStreamBytes bounds the events of a run.
	maxStreamBytes = 16 << 20
	// tokenTimeReportDelay is how long after its first event a running stream first reports
	// its time per output token to the scheduler; otherwise long streams would report their
	// server's speed too late. The delay doubles with each report: at even intervals, 600
	// streams would send the home (the host that runs the scheduler) as much each second as
	// all placement requests do.
	tokenTimeReportDelay = 700 * time.Millisecond
)

// forwardStream forwards a streamed answer in complete events only. If a server stops in
// the middle of an event, in order or not, another run resumes after the newest complete
// event, within the same answer.
func (t *attempt) forwardStream(ctx context.Context, resp *http.Response) nextStep {
	x := t.x
	tokensPerEvent := x.tokensPerEvent()
	earlierEvents := x.stream.events
	var firstAt, nextReport time.Time // nextReport: of the time per token
	t.conn.BoundBody(maxStreamBytes)
	buf := newAnswerBuffer(&x.h.buffers, eventBufferBytes, maxEventBytes)
	defer buf.release()
	for {
		t.setReadTimeout(ctx, t.readTimeout())
		n, err := buf.readFrom(resp.Body)
		if n > 0 {
			if complete := lastEventEnd(buf.bytes, len(buf.bytes)-n); complete > 0 {
				arrived := time.Now()
				t.gaps.record(arrived, &x.h.pauses)
				if werr := x.forwardEvents(resp, buf.bytes[:complete]); werr != nil {
					t.outputTokens = (x.stream.events - earlierEvents) * tokensPerEvent
					return t.handleLost(ctx, werr)
				}
				buf.drop(complete)
				now := time.Now()
				t.gaps.written(now.Sub(arrived))
				if firstAt.IsZero() {
					t.started.Store(true)
					firstAt, nextReport = now, now.Add(tokenTimeReportDelay)
					t.timeToFirst = now.Sub(t.sent)
					x.timeToFirst = t.timeToFirst
					if t.placement.ReportBegin || x.h.Placer.ServerNotice(t.placement.Server).MaxRejections.Valid {
						x.h.Placer.Finish(t.placement.ID, sched.Progress, t.timeToFirst, 0) // the server had room
					}
				}
				if now.After(nextReport) {
					nextReport = now.Add(now.Sub(firstAt))
					x.h.Placer.Finish(t.placement.ID, sched.Progress, t.timeToFirst, tokenTime(now.Sub(firstAt), x.stream.events-earlierEvents, tokensPerEvent))
				}
			}
		}
		if err == nil {
			continue
		}
		t.outputTokens = (x.stream.events - earlierEvents) * tokensPerEvent
		x.tail = len(buf.bytes)
		if errors.Is(err, io.EOF) {
			err = x.checkEnd(resp, buf.bytes)
		}
		if err != nil {
			x.stream.eventBegun = x.stream.eventBegun || beginsEvent(buf.bytes)
			return t.handleLost(ctx, err)
		}
		t.release(resp)
		perToken := time.Duration(0)
		if !firstAt.IsZero() {
			perToken = tokenTime(time.Since(firstAt), x.stream.events-earlierEvents, tokensPerEvent)
		}
		x.h.Placer.FinishStream(t.placement.ID, sched.OK, sched.RunReport{FirstEvent: t.timeToFirst, TokenTime: perToken, LongestGap: t.gaps.longest, OutputTokens: t.outputTokens})
		return x.endStream(resp, buf.bytes)
	}
}

// maxWriteTime is how long writing events to the caller may take for the gap after them to be
// measured. Until the write ends, the next events are not read.
const maxWriteTime = 10 * time.Millisecond

// gapMeter measures the longest gap between two events of a run. Gaps for which the server is not the
// cause are left out: those in which the caller was slow to read, or this host was paused.
type gapMeter struct {
	previous time.Time // arrival of the previous event, zero if the next gap isn't measured
	longest  time.Duration
}

// record notes the arrival of events.
func (g *gapMeter) record(at time.Time, pauses *hostPauses) {
	if !g.previous.IsZero() && !pauses.pausedBetween(g.previous, at) {
		g.longest = max(g.longest, at.Sub(g.previous))
	}
	g.previous = at
}

// written notes how long the events recorded last took to be written to the caller.
func (g *gapMeter) written(took time.Duration) {
	if took > maxWriteTime {
		g.previous = time.Time{}
	}
}

// tokenTime returns the time per output token over a number of events, 0 when there are
// too few events.
func tokenTime(d time.Duration, events, tokensPerEvent int) time.Duration {
	if events < 3 {
		return 0
	}
	return d / time.Duration((events-1)*tokensPerEvent)
}

// tokensPerEvent returns the number of tokens in an event of the service.
func (x *exchange) tokensPerEvent() int {
	table := x.h.Routes.Get()
	for _, s := range table.Services {
		if s.Name == x.service && s.Stride > 0 {
			return s.Stride
		}
	}
	return 1
}

// forwardEvents writes complete events and records the caller's position in the stream.
func (x *exchange) forwardEvents(resp *http.Response, events []byte) error {
	x.beginStream(resp)
	x.h.bytes.Add(int64(len(events)))
	if _, err := x.w.Write(events); err != nil {
		return failure.Wrap(failure.Withdrawn, err, "write events")
	}
	if err := http.NewResponseController(x.w).Flush(); err != nil {
		return failure.Wrap(failure.Withdrawn, err, "flush events")
	}
	now := time.Now()
	if x.stream.events == 0 {
		x.stream.version = x.placement.Version
	} else {
		x.stream.maxPause = max(x.stream.maxPause, now.Sub(x.stream.newestAt))
	}
	x.stream.events += countEvents(events)
	x.stream.eventBegun = false
	x.stream.newestAt = now
	if id := lastID(events); id != "" {
		x.stream.lastID = id
	}
	return nil
}

// beginStream writes the header of the first run's answer, once.
func (x *exchange) beginStream(resp *http.Response) {
	if x.stream.started {
		return
	}
	x.stream.started = true
	x.h.Meter.StreamStarted(x.route, time.Since(x.arrived))
	x.copyHeader(resp.StatusCode, resp.Header)
	x.writeHeader(resp.StatusCode, x.framing)
}

// endStream ends an answer whose last event has been forwarded. tail is what the server
// sent after that event.
func (x *exchange) endStream(resp *http.Response, tail []byte) nextStep {
	x.beginStream(resp)
	if !x.mayEnd() {
		x.abort("the last server's answer ended with its connection")
	}
	_, err := x.w.Write(tail)
	if err == nil {
		err = x.endAnswer()
	}
	if err != nil {
		x.leave("before the end of the stream was written")
	}
	x.h.Meter.Answered(x.route, resp.StatusCode, time.Since(x.arrived))
	x.recordEvent(event.RequestAnswered, strconv.Itoa(resp.StatusCode)+" events="+strconv.Itoa(x.stream.events))
	return done
}
