// Package backend speaks to backend servers: model engines, which stream
// tokens and can resume a stream, and plain services, which answer a call.
// Each kind has one adapter.
package backend

import (
	"context"
	"net/http"
	"time"

	"github.com/gentianflow/gentianflow/internal/failure"
	"github.com/gentianflow/gentianflow/internal/ident"
)

// Call is one request as it goes to a backend server.
type Call struct {
	ID          ident.RequestID
	Path        string
	ContentType string
	Body        []byte
	// Allowed is asked with the connection open, right before the first byte, whether the call
	// may still be sent; nil: it may. A call that may not fails with NoServer.
	Allowed func() bool
}

// Part is one event of a model engine's stream. Index counts them from 0.
type Part struct {
	Index int
	Data  []byte
}

// Usage is what the server says it computed.
type Usage struct {
	PromptTokens int // computed; cached ones left out
	CachedTokens int
	OutputTokens int
	// Checksum is the server's xxh64 over the data of all parts, in hex; empty
	// when the server gives none. The holder compares it with what it has,
	// so an answer put together over several connections is checked too.
	Checksum string
}

// Sink takes an answer while it arrives. Begin comes first and once for each
// connection; Part returns false for a part that does not follow the last.
type Sink interface {
	Begin(status int, contentType string)
	Part(p Part) bool
}

// Server is one backend server.
type Server interface {
	// Send dispatches a call and feeds the whole answer to sink. It fails
	// with NoServer when nothing was written (not dispatched), and with
	// ServerLost when the answer broke off (dispatched).
	Send(ctx context.Context, call Call, sink Sink) (Usage, error)
	// Resume continues the answer of an id from an index on a new connection.
	// It fails with UnknownRequest when the server does not know the id.
	Resume(ctx context.Context, id ident.RequestID, from int, sink Sink) (Usage, error)
	// Cancel stops an id; work on it ends.
	Cancel(ctx context.Context, id ident.RequestID) error
}

// SilenceLimit is how long a stream may carry nothing before it is resumed
// on a new connection.
const SilenceLimit = 2 * time.Second

const connectTimeout = 500 * time.Millisecond

// NotDispatched reports whether a failed Send provably wrote nothing.
func NotDispatched(err error) bool { return failure.Is(err, failure.NoServer) }

// Factory makes the adapter of a server at an address.
type Factory func(address string, plain bool) Server

// NewFactory returns the factory for HTTP; all servers share one transport.
func NewFactory() (Factory, *http.Transport) {
	t := newTransport()
	return func(address string, plain bool) Server {
		if plain {
			return &plainServer{base: "http://" + address, http: t}
		}
		return &modelServer{base: "http://" + address, http: t}
	}, t
}
