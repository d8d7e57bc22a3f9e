package entry

import (
	"bytes"
	"mime"
	"net/http"

	"github.com/gentianflow/gentianflow/internal/failure"
	"github.com/gentianflow/gentianflow/internal/upstream"
)

// How answers end. The end of a server's bytes is the end of its answer only if the answer's framing says so.
// Otherwise the answer to the caller has no other end mark either.

// checkEnd finds out whether a streamed answer whose bytes have ended was broken off before its end. tail is
// what the server sent after its last complete event. Nothing is known of an answer that ends with its
// connection between two events, which passes.
func (x *exchange) checkEnd(resp *http.Response, tail []byte) error {
	if !isEventStream(resp.Header) {
		return nil
	}
	resumed := x.head.LastEvent != "" || x.stream.lastID != ""
	switch {
	case endsInsideEvent(tail):
		return failure.New(failure.ServerLost, "the stream ended inside an event")
	case x.stream.eventBegun:
		return failure.New(failure.ServerLost, "the stream ended before an event that another run had begun")
	case x.framing == upstream.ByConnection && x.stream.events == 0 && !resumed:
		return failure.New(failure.ServerLost, "the connection ended before the first event")
	}
	return nil
}

// isEventStream reports whether an answer of a streaming route has events. An answer without a type counts
// as one that has.
func isEventStream(h http.Header) bool {
	contentType := h.Get("Content-Type")
	if contentType == "" {
		return true
	}
	mediaType, _, err := mime.ParseMediaType(contentType)
	return err == nil && mediaType == "text/event-stream"
}

// endsInsideEvent reports whether a stream that ends with tail, after its last complete event, was broken
// off. Only whole comments may follow that event.
func endsInsideEvent(tail []byte) bool {
	if len(tail) == 0 {
		return false
	}
	_, lineEnded := cutLineEnd(tail)
	return !lineEnded || beginsEvent(tail)
}

// beginsEvent reports whether tail has a line, or a part of one, of an event.
func beginsEvent(tail []byte) bool {
	for _, line := range bytes.Split(withLF(tail), []byte{'\n'}) {
		if len(line) > 0 && line[0] != ':' {
			return true
		}
	}
	return false
}

// writeHeader writes the header of the answer to the caller. server is the framing of the server's answer.
//
// Where only the end of the connection marks the end of the answer, closing it is a reset until endAnswer.
// An answer is cut off by any close before, also when the process is killed and the kernel closes it.
func (x *exchange) writeHeader(status int, server upstream.Framing) {
	h := x.w.Header()
	switch {
	case x.r.Method == http.MethodHead || !bodyAllowed(status):
		x.sentFraming = upstream.NoBody
	case server == upstream.ByConnection:
		x.sentFraming = upstream.ByConnection
		h.Set("Transfer-Encoding", "identity") // net/http then sends neither a length nor chunks
	case h.Get("Content-Length") != "":
		x.sentFraming = upstream.ByLength
	case x.r.ProtoAtLeast(1, 1):
		x.sentFraming = upstream.ByChunks
	default:
		x.sentFraming = upstream.ByConnection
	}
	if x.sentFraming == upstream.ByConnection {
		setResetOnClose(x.r.Context(), true)
	}
	x.w.WriteHeader(status)
}

// endAnswer ends an answer that was written completely.
func (x *exchange) endAnswer() error {
	if x.sentFraming != upstream.ByConnection {
		return nil
	}
	if err := http.NewResponseController(x.w).Flush(); err != nil {
		return failure.Wrap(failure.Withdrawn, err, "flush the end of the answer")
	}
	setResetOnClose(x.r.Context(), false)
	return nil
}

// mayEnd reports whether the answer to the caller may end in order now that the newest server's has. Chunks
// that end in order would say more than a server whose answer ended with its connection.
func (x *exchange) mayEnd() bool {
	return x.framing != upstream.ByConnection || x.sentFraming == upstream.ByConnection || x.sentFraming == upstream.NoBody
}
