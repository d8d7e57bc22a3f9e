package callerapi

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/go-kit/kit/endpoint"
	kithttp "github.com/go-kit/kit/transport/http"

	"github.com/gentianflow/gentianflow/internal/configsync"
	"github.com/gentianflow/gentianflow/internal/event"
	"github.com/gentianflow/gentianflow/internal/failure"
	"github.com/gentianflow/gentianflow/internal/holder"
	"github.com/gentianflow/gentianflow/internal/member"
	"github.com/gentianflow/gentianflow/internal/prefix"
)

// MaxHeaderBytes limits the size of the headers of a caller's request.
const MaxHeaderBytes = 16 << 10

// maxSeenBlocks is how many prompt blocks a host remembers to find shared
// prefixes: 32,768 blocks of 64 tokens, about 2 MB.
const maxSeenBlocks = 32768

// AdmissionCheck returns an error if this host does not accept new requests.
type AdmissionCheck func() error

// Dependencies are the components that the API uses.
type Dependencies struct {
	Config         *configsync.Syncer
	Members        *member.Table
	Holder         *holder.Holder
	Events         *event.Recorder
	AdmissionCheck AdmissionCheck
	Meter          *Meter
}

// API is the HTTP interface for callers.
type API struct {
	deps     Dependencies
	prefixes *prefix.BlockSet
}

// New returns the API.
func New(deps Dependencies) (*API, error) {
	seen, err := prefix.NewBlockSet(maxSeenBlocks)
	if err != nil {
		return nil, err
	}
	return &API{deps: deps, prefixes: seen}, nil
}

// Handler returns the HTTP handler for the caller address.
func (a *API) Handler() http.Handler {
	options := []kithttp.ServerOption{kithttp.ServerErrorEncoder(a.encodeError), kithttp.ServerBefore(markResend)}
	submit := a.deps.Meter.middleware(a.submit())
	mux := http.NewServeMux()
	mux.Handle("GET /v1/lookup", kithttp.NewServer(a.lookup(), a.decodeLookup, encodeJSON, options...))
	model := a.limitBody(kithttp.NewServer(submit, a.decodeModel, a.encodeAnswer, options...))
	mux.Handle("POST /v1/completions", model)
	mux.Handle("POST /v1/chat/completions", model)
	mux.Handle("POST /v1/services/{service}/call/{path...}", a.limitBody(kithttp.NewServer(submit, a.decodePlain, a.encodeAnswer, options...)))
	mux.Handle("GET /v1/services/{service}/requests/{id}", kithttp.NewServer(a.reattach(), a.decodeAttach, a.encodeAnswer, options...))
	mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		a.encodeError(r.Context(), failure.New(failure.BadRequest, "no such call: %s %s", r.Method, r.URL.Path), w)
	})
	return mux
}

// limitBody sets the read deadline of the body. readBody checks its size.
func (a *API) limitBody(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if doc, err := a.document(); err == nil {
			control := http.NewResponseController(w)
			_ = control.SetReadDeadline(time.Now().Add(doc.Rules.Limits.ReadTimeout.Std()))
			r.Body = &timedBody{ReadCloser: r.Body, control: control}
		}
		next.ServeHTTP(w, r)
	})
}

// timedBody removes the read deadline at the end of the body. net/http continues
// to read from the connection during the answer, to detect a disconnect of the
// caller. With the deadline still set, that read would fail and cancel every
// answer that takes longer than the time limit of the body.
type timedBody struct {
	io.ReadCloser
	control *http.ResponseController
}

// Read implements io.Reader.
func (b *timedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF {
		_ = b.control.SetReadDeadline(time.Time{})
	}
	return n, err
}

// reply is the record of a request whose answer is sent from an offset, as a stream
// or as one response.
type reply struct {
	record *holder.Record
	offset int
	stream bool
}

func (a *API) submit() endpoint.Endpoint {
	return func(_ context.Context, request any) (any, error) {
		req := request.(*submitRequest)
		// A resend of a request that this host holds is served even if the host
		// does not accept new requests.
		if _, held := a.deps.Holder.Get(req.sub.ID); !held {
			if err := a.deps.AdmissionCheck(); err != nil {
				return nil, err
			}
		}
		r, err := a.deps.Holder.Submit(req.sub, req.limits)
		if err != nil {
			return nil, err
		}
		return &reply{record: r, stream: req.stream}, nil
	}
}

func (a *API) reattach() endpoint.Endpoint {
	return func(_ context.Context, request any) (any, error) {
		req := request.(*attachRequest)
		r, err := a.deps.Holder.Submit(req.sub, req.limits)
		if err != nil {
			return nil, err
		}
		return &reply{record: r, offset: req.offset, stream: req.stream}, nil
	}
}
