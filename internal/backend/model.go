package backend

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/gentianflow/gentianflow/internal/failure"
	"github.com/gentianflow/gentianflow/internal/ident"
)

// Header name and limit of the engine protocol.
const (
	headerRequestID   = "X-Request-Id"
	maxEventLineBytes = 1 << 20
)

// modelServer is the client for a model engine: OpenAI-style calls that are
// answered with server-sent events. Each event's id is "<request id>:<index>",
// so that a part of another answer is detected. An event named "end" (the end
// mark) closes the stream with the number of parts, their checksum and the
// usage.
type modelServer struct {
	base string
	http http.RoundTripper
}

// endMark is the data of the "end" event.
type endMark struct {
	Parts        int    `json:"parts"`
	Checksum     string `json:"xxh64"`
	PromptTokens int    `json:"prompt_tokens"`
	CachedTokens int    `json:"cached_tokens"`
	OutputTokens int    `json:"output_tokens"`
}

// Send implements Server.
func (m *modelServer) Send(ctx context.Context, call Call, sink Sink) (Usage, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	header := http.Header{}
	header.Set("Content-Type", "application/json")
	header.Set(headerRequestID, call.ID.String())
	idle := newIdleTimer(cancel)
	defer idle.stop()
	resp, err := dispatch(ctx, m.http, m.base+call.Path, call, header)
	if err != nil {
		return Usage{}, err
	}
	return m.stream(resp, call.ID, 0, sink, idle)
}

// Resume implements Server. A GET of a stream has no effect at the engine,
// so net/http may repeat it.
func (m *modelServer) Resume(ctx context.Context, id ident.RequestID, from int, sink Sink) (Usage, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	idle := newIdleTimer(cancel)
	defer idle.stop()
	url := fmt.Sprintf("%s/v1/streams/%s?from=%d", m.base, id, from)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return Usage{}, failure.Wrap(failure.Internal, err, "build resume")
	}
	resp, err := m.http.RoundTrip(req)
	if err != nil {
		return Usage{}, failure.Wrap(failure.ServerLost, err, "resume %s", id)
	}
	if resp.StatusCode == http.StatusNotFound {
		_ = resp.Body.Close()
		return Usage{}, failure.New(failure.UnknownRequest, "server does not know %s", id)
	}
	return m.stream(resp, id, from, sink, idle)
}

// Cancel implements Server.
func (m *modelServer) Cancel(ctx context.Context, id ident.RequestID) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodDelete, m.base+"/v1/streams/"+id.String(), nil)
	if err != nil {
		return failure.Wrap(failure.Internal, err, "build cancel")
	}
	resp, err := m.http.RoundTrip(req)
	if err != nil {
		return failure.Wrap(failure.ServerLost, err, "cancel %s", id)
	}
	return failure.Wrap(failure.ServerLost, resp.Body.Close(), "cancel %s", id)
}

// sseEvent is one server-sent event.
type sseEvent struct {
	name, id, data string
}

// stream passes events to sink until the end mark.
func (m *modelServer) stream(resp *http.Response, id ident.RequestID, from int, sink Sink, idle *idleTimer) (Usage, error) {
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(io.LimitReader(resp.Body, maxEventLineBytes))
		return Usage{}, failure.New(failure.ServerError, "server answered %d: %s", resp.StatusCode, strings.TrimSpace(string(text)))
	}
	sink.Begin(resp.StatusCode, resp.Header.Get("Content-Type"))
	r := bufio.NewReaderSize(resp.Body, 4<<10)
	next := from
	for {
		ev, err := readEvent(r)
		if err != nil {
			return Usage{}, failure.Wrap(failure.ServerLost, err, "stream of %s broke off at part %d", id, next)
		}
		idle.reset()
		if ev.name == "end" {
			return readEnd(ev, next)
		}
		index, ok := partIndex(ev.id, id)
		if !ok || index != next || !sink.Part(Part{Index: index, Data: []byte(ev.data)}) {
			return Usage{}, failure.New(failure.ServerLost, "part %q does not follow part %d of %s", ev.id, next, id)
		}
		next++
	}
}

// readEnd decodes the end mark and checks its number of parts.
func readEnd(ev sseEvent, arrived int) (Usage, error) {
	var mark endMark
	if err := json.Unmarshal([]byte(ev.data), &mark); err != nil {
		return Usage{}, failure.Wrap(failure.ServerLost, err, "end mark")
	}
	if mark.Parts != arrived {
		return Usage{}, failure.New(failure.ServerLost, "end mark counts %d parts, %d arrived", mark.Parts, arrived)
	}
	return Usage{
		PromptTokens: mark.PromptTokens, CachedTokens: mark.CachedTokens,
		OutputTokens: mark.OutputTokens, Checksum: mark.Checksum,
	}, nil
}

// partIndex parses an event id. It reports false for a malformed id and for a
// part of another request.
func partIndex(eventID string, id ident.RequestID) (int, bool) {
	owner, index, found := strings.Cut(eventID, ":")
	if !found || owner != id.String() {
		return 0, false
	}
	n, err := strconv.Atoi(index)
	return n, err == nil
}

// readEvent reads one server-sent event and skips comments.
func readEvent(r *bufio.Reader) (sseEvent, error) {
	var ev sseEvent
	for {
		line, err := readLine(r)
		if err != nil {
			return ev, err
		}
		if line == "" {
			if ev != (sseEvent{}) {
				return ev, nil
			}
			continue
		}
		field, value, _ := strings.Cut(line, ":")
		value = strings.TrimPrefix(value, " ")
		switch field {
		case "event":
			ev.name = value
		case "id":
			ev.id = value
		case "data":
			ev.data += value
		}
	}
}

func readLine(r *bufio.Reader) (string, error) {
	var line []byte
	for {
		part, more, err := r.ReadLine()
		if err != nil {
			return "", err
		}
		line = append(line, part...)
		if len(line) > maxEventLineBytes {
			return "", failure.New(failure.BadFrame, "event line over %d bytes", maxEventLineBytes)
		}
		if !more {
			return string(line), nil
		}
	}
}

// idleTimer cancels a request whose stream carries no event for
// StreamIdleTimeout.
//
// A connection whose state a middlebox has lost stays open without traffic, and
// a read on it never returns. The timer ends the read, and the holder resumes
// the stream on a new connection.
type idleTimer struct{ timer *time.Timer }

func newIdleTimer(cancel context.CancelFunc) *idleTimer {
	return &idleTimer{timer: time.AfterFunc(StreamIdleTimeout, cancel)}
}

func (t *idleTimer) reset() { t.timer.Reset(StreamIdleTimeout) }

func (t *idleTimer) stop() { t.timer.Stop() }
