package entry

import (
	"bytes"
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

// errNoSeal is an answer that looks like a success but is not the server's.
var errNoSeal = failure.New(failure.ServerError, "the answer bears no signature of its server")

// stream is what the caller has of a streamed answer, over all its runs.
type stream struct {
	started bool          // the head has been written
	events  int           // passed on whole
	lastID  string        // of the newest event
	newest  time.Time     // when it was passed on
	pause   time.Duration // the longest between events, over all runs
}

const (
	eventBuffer = 4 << 10
	maxEvent    = 1 << 20
	// paceFirst is when the pace of a stream is first reported while it lasts, and again
	// after twice as long each time: long streams would otherwise teach their server's
	// speed too late. Reported evenly, 600 streams tell a home as much each second as all
	// requests ask of it.
	paceFirst = 700 * time.Millisecond
)

var endOfEvent = []byte("\n\n")

// passStream passes a streamed answer on, whole events only: a server that
// stops in the middle of one is replaced by another run that goes on behind
// the newest whole event, within the same answer.
func (t *attempt) passStream(ctx context.Context, resp *http.Response) verdict {
	x := t.x
	stride := x.stride()
	firstEvents := x.stream.events
	var firstAt, report time.Time // report: when the pace is told next
	buf := make([]byte, 0, eventBuffer)
	for {
		t.patience(ctx, t.silence())
		n, err := readMore(resp.Body, &buf)
		if n > 0 {
			whole := bytes.LastIndex(buf, endOfEvent) + len(endOfEvent)
			if whole >= len(endOfEvent) {
				if werr := x.passEvents(resp, buf[:whole]); werr != nil {
					return t.lost(ctx, werr)
				}
				buf = append(buf[:0], buf[whole:]...)
				now := time.Now()
				if firstAt.IsZero() {
					t.begun.Store(true)
					firstAt, report = now, now.Add(paceFirst)
					t.first = now.Sub(t.sent)
					x.first = t.first
				}
				if now.After(report) {
					report = now.Add(now.Sub(firstAt))
					x.h.Places.Finish(t.place.ID, sched.Pace, t.first, pace(now.Sub(firstAt), x.stream.events-firstEvents, stride))
				}
			}
		}
		if err == nil {
			continue
		}
		if !errors.Is(err, io.EOF) {
			return t.lost(ctx, err)
		}
		t.release(resp)
		took := time.Duration(0)
		if !firstAt.IsZero() {
			took = pace(time.Since(firstAt), x.stream.events-firstEvents, stride)
		}
		x.h.Places.Finish(t.place.ID, sched.OK, t.first, took)
		return x.endStream(resp, buf)
	}
}

// readMore reads what has arrived behind what is in buf.
func readMore(r io.Reader, buf *[]byte) (int, error) {
	b := *buf
	if len(b) == cap(b) {
		if len(b) >= maxEvent {
			return 0, failure.New(failure.ServerError, "an event is longer than %d bytes", maxEvent)
		}
		b = append(make([]byte, 0, 2*cap(b)), b...)
	}
	n, err := r.Read(b[len(b):cap(b)])
	*buf = b[:len(b)+n]
	return n, err
}

// pace is the time between output tokens over a number of events, 0 when there
// are too few to tell.
func pace(d time.Duration, events, stride int) time.Duration {
	if events < 3 {
		return 0
	}
	return d / time.Duration((events-1)*stride)
}

// stride is the number of tokens in an event.
func (x *exchange) stride() int {
	table := x.h.Routes.Get()
	for _, s := range table.Services {
		if s.Name == x.service && s.Stride > 0 {
			return s.Stride
		}
	}
	return 1
}

// passEvents writes whole events and remembers how far the caller is.
func (x *exchange) passEvents(resp *http.Response, events []byte) error {
	x.beginStream(resp)
	if _, err := x.w.Write(events); err != nil {
		return failure.Wrap(failure.Withdrawn, err, "write events")
	}
	if err := http.NewResponseController(x.w).Flush(); err != nil {
		return failure.Wrap(failure.Withdrawn, err, "flush events")
	}
	now := time.Now()
	if x.stream.events > 0 {
		x.stream.pause = max(x.stream.pause, now.Sub(x.stream.newest))
	}
	x.stream.events += bytes.Count(events, endOfEvent)
	x.stream.newest = now
	if id := lastID(events); id != "" {
		x.stream.lastID = id
	}
	return nil
}

// beginStream writes the head of the first run's answer, once.
func (x *exchange) beginStream(resp *http.Response) {
	if x.stream.started {
		return
	}
	x.stream.started = true
	x.h.Meter.Started(x.route, time.Since(x.arrived))
	x.copyHeader(resp.StatusCode, resp.Header)
	x.w.WriteHeader(resp.StatusCode)
}

// endStream ends an answer whose last event has arrived. rest is what follows
// it, which is the server's too.
func (x *exchange) endStream(resp *http.Response, rest []byte) verdict {
	x.beginStream(resp)
	if len(rest) > 0 {
		if _, err := x.w.Write(rest); err != nil {
			x.note(event.RequestLeft, "before it read the end")
			return final
		}
	}
	x.h.Meter.Answered(x.route, resp.StatusCode, time.Since(x.arrived))
	x.note(event.RequestAnswered, strconv.Itoa(resp.StatusCode)+" events="+strconv.Itoa(x.stream.events))
	return final
}

var idField = []byte("id:")

// lastID finds the id of the newest event that has one.
func lastID(events []byte) string {
	for end := len(events); end > 0; {
		start := bytes.LastIndexByte(events[:end-1], '\n') + 1
		line := events[start:end]
		if bytes.HasPrefix(line, idField) {
			return string(bytes.TrimSpace(line[len(idField):]))
		}
		end = start
	}
	return ""
}
