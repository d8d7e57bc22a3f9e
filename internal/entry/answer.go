package entry

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/gentianflow/gentianflow/internal/event"
	"github.com/gentianflow/gentianflow/internal/sched"
	"github.com/gentianflow/gentianflow/internal/upstream"
)

// maxBufferedBytes is the size up to which a plain answer is read completely before
// it is forwarded, so that the request can still be retried if the answer is cut off.
const maxBufferedBytes = 256 << 10

// answerBufferBytes fits the answers of most plain calls.
const answerBufferBytes = 1 << 10

// answer is the answer of a backend server, complete as far as its framing tells.
type answer struct {
	status  int
	header  http.Header
	framing upstream.Framing
	body    []byte
}

// readAnswer reads a body of up to maxBufferedBytes. complete is false when the body is longer, or there is no
// room to buffer it. The memory is given back when the exchange ends.
func (x *exchange) readAnswer(resp *http.Response) (a *answer, complete bool, err error) {
	a = &answer{status: resp.StatusCode, header: resp.Header, framing: x.framing}
	if resp.ContentLength > maxBufferedBytes {
		return a, false, nil
	}
	buf := newAnswerBuffer(&x.h.buffers, answerBufferBytes, maxBufferedBytes)
	for err == nil {
		_, err = buf.readFrom(resp.Body)
	}
	x.buffered = append(x.buffered, buf)
	a.body = buf.bytes
	switch {
	case errors.Is(err, io.EOF):
		return a, true, nil
	case isBufferFull(err):
		return a, false, nil
	}
	return a, false, err
}

// forwardAnswer writes a complete answer to the caller.
func (x *exchange) forwardAnswer(a *answer) {
	x.copyHeader(a.status, a.header)
	if a.framing == upstream.ByLength || a.framing == upstream.ByChunks {
		x.w.Header().Set("Content-Length", strconv.Itoa(len(a.body)))
	}
	x.writeHeader(a.status, a.framing)
	_, err := x.w.Write(a.body)
	x.h.bytes.Add(int64(len(a.body)))
	if err == nil {
		err = x.endAnswer()
	}
	if err != nil && x.r.Method != http.MethodHead {
		x.leave("before the answer was written")
	}
	x.h.Meter.Answered(x.route, a.status, time.Since(x.arrived))
	x.recordEvent(event.RequestAnswered, strconv.Itoa(a.status))
}

func bodyAllowed(status int) bool {
	return status >= 200 && status != http.StatusNoContent && status != http.StatusNotModified
}

// copyHeader copies the header fields of a server's answer, except hop-by-hop fields.
func (x *exchange) copyHeader(status int, from http.Header) {
	h := x.w.Header()
	for name, values := range from {
		if !isHopByHop(name) && name != "Content-Length" {
			h[name] = values
		}
	}
	if _, ok := from["Content-Type"]; !ok && bodyAllowed(status) {
		h["Content-Type"] = nil // keeps net/http from detecting a type
	}
}

func isHopByHop(name string) bool {
	switch name {
	case "Connection", "Keep-Alive", "Transfer-Encoding", "Upgrade", "Te", "Trailer", "Proxy-Connection":
		return true
	}
	return false
}

// forwardUnbuffered forwards an answer that is too long to be buffered. If the answer is
// cut off, abort ends the connection to the caller, so that the answer does not look
// complete.
func (t *attempt) forwardUnbuffered(ctx context.Context, resp *http.Response, a *answer) nextStep {
	x := t.x
	t.setReadTimeout(ctx, 0)
	x.copyHeader(a.status, a.header)
	if resp.ContentLength >= 0 {
		x.w.Header().Set("Content-Length", strconv.FormatInt(resp.ContentLength, 10))
	}
	x.writeHeader(a.status, a.framing)
	x.stream.started = true
	if _, err := x.w.Write(a.body); err != nil {
		return t.handleLost(ctx, err)
	}
	copied, err := io.Copy(x.w, resp.Body)
	x.h.bytes.Add(int64(len(a.body)) + copied)
	if err == nil {
		err = x.endAnswer()
	}
	if err != nil {
		t.conn.Close()
		go t.reportBroken()
		x.abort("an unbuffered answer was cut off: " + err.Error())
	}
	t.release(resp)
	x.h.Placer.Finish(t.placement.ID, sched.OK, time.Since(t.sent), 0)
	x.recordEvent(event.RequestAnswered, strconv.Itoa(a.status))
	return done
}
