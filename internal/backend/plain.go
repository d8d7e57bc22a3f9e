package backend

import (
	"context"
	"io"
	"net/http"

	"github.com/gentianflow/gentianflow/internal/failure"
	"github.com/gentianflow/gentianflow/internal/ident"
	"github.com/gentianflow/gentianflow/internal/upstream"
)

// maxPlainAnswerBytes is the maximum size of a plain service's answer.
const maxPlainAnswerBytes = 8 << 20

// plainServer is the client for a plain service: one POST, one answer. It can
// neither resume nor cancel, so the outcome of a request whose answer broke off
// stays unknown.
type plainServer struct {
	base string
	http http.RoundTripper
}

// Send implements Server.
func (p *plainServer) Send(ctx context.Context, call Call, sink Sink) (Usage, error) {
	header := http.Header{}
	header.Set("Content-Type", call.ContentType)
	header.Set(headerRequestID, call.ID.String())
	resp, err := dispatch(ctx, p.http, p.base+call.Path, call, header)
	if err != nil {
		return Usage{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxPlainAnswerBytes+1))
	if err != nil {
		return Usage{}, failure.Wrap(failure.ServerLost, err, "answer broke off")
	}
	if upstream.FramingOf(http.MethodPost, resp) == upstream.ByConnection {
		// The answer gets a checksum, which says that it is whole.
		return Usage{}, failure.New(failure.ServerLost, "an answer without a length or chunks may be cut off")
	}
	if len(body) > maxPlainAnswerBytes {
		return Usage{}, failure.New(failure.ServerError, "answer over %d bytes", maxPlainAnswerBytes)
	}
	sink.Begin(resp.StatusCode, resp.Header.Get("Content-Type"))
	if !sink.Part(Part{Index: 0, Data: body}) {
		return Usage{}, failure.New(failure.ServerLost, "answer to %s is there already", call.ID)
	}
	return Usage{}, nil
}

// Resume implements Server.
func (p *plainServer) Resume(context.Context, ident.RequestID, int, Sink) (Usage, error) {
	return Usage{}, failure.New(failure.UnknownRequest, "a plain service keeps no answers")
}

// Cancel implements Server.
func (p *plainServer) Cancel(context.Context, ident.RequestID) error { return nil }
