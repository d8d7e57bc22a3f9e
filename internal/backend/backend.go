// Package backend contains the HTTP clients for backend servers. There are two
// kinds of servers, each with one adapter: model engines, which stream tokens
// and can resume a stream, and plain services, which send one complete answer.
package backend

import (
	"context"
	"time"

	"github.com/gentianflow/gentianflow/internal/failure"
	"github.com/gentianflow/gentianflow/internal/ident"
	"github.com/gentianflow/gentianflow/internal/upstream"
)

// Call is one request as it goes to a backend server.
type Call struct {
	ID          ident.RequestID
	Path        string
	ContentType string
	Body        []byte
	// Allowed reports whether the call may still be sent; nil means that it
	// may. It is called once the connection is open, right before the first
	// byte. If it returns false, Send fails with NoServer.
	Allowed func() bool
}

// Part is one event of a model engine's stream, or the complete answer of a plain
// service. Index counts the parts from 0.
type Part struct {
	Index int
	Data  []byte
}

// Usage is the work that the server reports for a request.
type Usage struct {
	PromptTokens int // computed; without cached ones
	CachedTokens int
	OutputTokens int
	// Checksum is the server's xxh64 over the data of all parts, in hex; empty
	// when the server sends none. The holder compares it with its own, which
	// also verifies an answer that was assembled over several connections.
	Checksum string
}

// Sink receives an answer while it arrives. Begin is called first, once for
// each connection. Part returns false for a part that does not follow the
// previous one.
type Sink interface {
	Begin(status int, contentType string)
	Part(p Part) bool
}

// Server is one backend server.
type Server interface {
	// Send dispatches a call and passes the answer to sink. It fails with
	// NoServer when nothing was written (not dispatched), and with ServerLost
	// when the connection broke before the end of the answer (dispatched).
	Send(ctx context.Context, call Call, sink Sink) (Usage, error)
	// Resume continues the answer to a request on a new connection, starting
	// with part index from. It fails with UnknownRequest when the server does
	// not know the id.
	Resume(ctx context.Context, id ident.RequestID, from int, sink Sink) (Usage, error)
	// Cancel stops the work on a request.
	Cancel(ctx context.Context, id ident.RequestID) error
}

// StreamIdleTimeout is how long a stream may be idle before it is cancelled. The
// holder (the entry host that received the request) then resumes it on a new
// connection.
const StreamIdleTimeout = 2 * time.Second

const connectTimeout = 500 * time.Millisecond

// NotDispatched reports whether the error of a failed Send proves that nothing
// was written.
func NotDispatched(err error) bool { return failure.Is(err, failure.NoServer) }

// Factory returns the adapter for a server at an address; plain selects the
// adapter for plain services.
type Factory func(address string, plain bool) Server

// NewFactory returns a factory and the HTTP transport that all its servers
// share.
func NewFactory() (Factory, upstream.CheckedTransport) {
	t := newTransport()
	return func(address string, plain bool) Server {
		if plain {
			return &plainServer{base: "http://" + address, http: t}
		}
		return &modelServer{base: "http://" + address, http: t}
	}, t
}
