package entry

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/gentianflow/gentianflow/internal/event"
	"github.com/gentianflow/gentianflow/internal/sched"
)

// maxBuffered is the largest plain answer that is read whole before it is
// passed on, so that one that breaks off can still be replaced.
const maxBuffered = 256 << 10

// answer is a backend server's whole answer.
type answer struct {
	status int
	header http.Header
	body   []byte
}

// readAnswer reads a body of up to maxBuffered bytes. whole is false when
// there is more.
func readAnswer(resp *http.Response) (a *answer, whole bool, err error) {
	a = &answer{status: resp.StatusCode, header: resp.Header}
	if resp.ContentLength > maxBuffered {
		return a, false, nil
	}
	a.body, err = io.ReadAll(io.LimitReader(resp.Body, maxBuffered))
	if err != nil {
		return a, false, err
	}
	if len(a.body) < maxBuffered {
		return a, true, nil
	}
	return a, false, nil
}

// pass writes a server's whole answer.
func (x *exchange) pass(a *answer) {
	x.copyHeader(a.status, a.header)
	if x.r.Method != http.MethodHead && bodyAllowed(a.status) {
		x.w.Header().Set("Content-Length", strconv.Itoa(len(a.body)))
	}
	x.w.WriteHeader(a.status)
	_, err := x.w.Write(a.body)
	if err != nil && x.r.Method != http.MethodHead {
		x.note(event.RequestLeft, "before it read the answer")
		return
	}
	x.h.Meter.Answered(x.route, a.status, time.Since(x.arrived))
	x.note(event.RequestAnswered, strconv.Itoa(a.status))
}

func bodyAllowed(status int) bool {
	return status >= 200 && status != http.StatusNoContent && status != http.StatusNotModified
}

// copyHeader copies a server's header fields, without those of its connection.
func (x *exchange) copyHeader(status int, from http.Header) {
	h := x.w.Header()
	for name, values := range from {
		if !hopHeader(name) && name != "Content-Length" {
			h[name] = values
		}
	}
	if _, ok := from["Content-Type"]; !ok && bodyAllowed(status) {
		h["Content-Type"] = nil // keeps net/http from guessing one
	}
}

func hopHeader(name string) bool {
	switch name {
	case "Connection", "Keep-Alive", "Transfer-Encoding", "Upgrade", "Te", "Trailer", "Proxy-Connection":
		return true
	}
	return false
}

// passLong passes on an answer that is too long to be read first. Broken off,
// it must not look complete.
func (t *attempt) passLong(ctx context.Context, resp *http.Response, a *answer) verdict {
	x := t.x
	t.patience(ctx, 0)
	x.copyHeader(a.status, a.header)
	if resp.ContentLength >= 0 {
		x.w.Header().Set("Content-Length", strconv.FormatInt(resp.ContentLength, 10))
	}
	x.w.WriteHeader(a.status)
	x.stream.started = true
	if _, err := x.w.Write(a.body); err != nil {
		return t.lost(ctx, err)
	}
	if _, err := io.Copy(x.w, resp.Body); err != nil {
		t.conn.Close()
		go t.reportBroken()
		x.abort("a long answer broke off: " + err.Error())
	}
	t.release(resp)
	x.h.Places.Finish(t.place.ID, sched.OK, time.Since(t.sent), 0)
	x.note(event.RequestAnswered, strconv.Itoa(a.status))
	return final
}
