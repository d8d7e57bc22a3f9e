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

// MaxHeaderBytes bounds the headers of a caller's request.
const MaxHeaderBytes = 16 << 10

// seenBlocks is how many prompt blocks a host remembers to find shared
// prefixes: 32,768 blocks of 64 tokens, about 2 MB.
const seenBlocks = 32768

// Gate tells whether this host takes new requests; the error says why not.
type Gate func() error

// Sources are what the API reads from other duties.
type Sources struct {
	Config  *configsync.Syncer
	Members *member.Table
	Holder  *holder.Holder
	Events  *event.Recorder
	Gate    Gate
	Meter   *Meter
}

// API serves callers.
type API struct {
	src      Sources
	prefixes *prefix.BlockSet
}

// New makes the API.
func New(src Sources) (*API, error) {
	seen, err := prefix.NewBlockSet(seenBlocks)
	if err != nil {
		return nil, err
	}
	return &API{src: src, prefixes: seen}, nil
}

// Handler returns the HTTP handler for the callers' address.
func (a *API) Handler() http.Handler {
	options := []kithttp.ServerOption{kithttp.ServerErrorEncoder(a.encodeError), kithttp.ServerBefore(markResend)}
	submit := a.src.Meter.middleware(a.submit())
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

// limitBody gives a body its time; the size is checked while reading.
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

// timedBody lifts the read deadline when the body has ended.
//
// Guard: net/http goes on reading the connection during the answer, to notice
// that the caller left. With the deadline still set, that read would fail
// and cancel an answer that takes longer than a body may.
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

// reply is a record to follow, from an offset, streamed or whole.
type reply struct {
	record *holder.Record
	offset int
	stream bool
}

func (a *API) submit() endpoint.Endpoint {
	return func(_ context.Context, request any) (any, error) {
		req := request.(*submitRequest)
		// A resend of what is held here is served even while this host takes
		// nothing new.
		if _, held := a.src.Holder.Get(req.sub.ID); !held {
			if err := a.src.Gate(); err != nil {
				return nil, err
			}
		}
		r, err := a.src.Holder.Submit(req.sub, req.limits)
		if err != nil {
			return nil, err
		}
		return &reply{record: r, stream: req.stream}, nil
	}
}

func (a *API) reattach() endpoint.Endpoint {
	return func(_ context.Context, request any) (any, error) {
		req := request.(*attachRequest)
		r, err := a.src.Holder.Submit(req.sub, req.limits)
		if err != nil {
			return nil, err
		}
		return &reply{record: r, offset: req.offset, stream: req.stream}, nil
	}
}
