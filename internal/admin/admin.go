// Package admin is the HTTP interface for operators: status, members,
// configuration, timeline, drain and metrics, as go-kit endpoints.
package admin

import (
	"context"
	"crypto/subtle"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/go-kit/kit/endpoint"
	kithttp "github.com/go-kit/kit/transport/http"
	"github.com/rcrowley/go-metrics"

	"github.com/gentianflow/gentianflow/internal/config"
	"github.com/gentianflow/gentianflow/internal/configsync"
	"github.com/gentianflow/gentianflow/internal/event"
	"github.com/gentianflow/gentianflow/internal/failure"
	"github.com/gentianflow/gentianflow/internal/holder"
	"github.com/gentianflow/gentianflow/internal/home"
	"github.com/gentianflow/gentianflow/internal/intake"
	"github.com/gentianflow/gentianflow/internal/member"
)

// Dependencies are the components that the interface uses.
type Dependencies struct {
	Config  *configsync.Syncer
	Members *member.Table
	Homes   *home.Manager
	Holder  *holder.Holder
	Events  *event.Recorder
	Metrics metrics.Registry
	Drain   func()
	Token   string // bearer token required from operators; empty: no authentication
}

// Admin is the HTTP interface for operators.
type Admin struct{ deps Dependencies }

// New returns the interface.
func New(deps Dependencies) *Admin { return &Admin{deps: deps} }

// Handler returns the HTTP handler for the admin address.
func (a *Admin) Handler() http.Handler {
	options := []kithttp.ServerOption{kithttp.ServerErrorEncoder(encodeError)}
	mux := http.NewServeMux()
	handle := func(pattern string, e endpoint.Endpoint, decode kithttp.DecodeRequestFunc) {
		mux.Handle(pattern, kithttp.NewServer(a.recoverPanic(e), a.authorized(decode), encode, options...))
	}
	handle("GET /v1/status", a.status, kithttp.NopRequestDecoder)
	handle("GET /v1/members", a.members, kithttp.NopRequestDecoder)
	handle("GET /v1/config", a.currentConfig, kithttp.NopRequestDecoder)
	handle("GET /v1/config/history", a.history, kithttp.NopRequestDecoder)
	handle("POST /v1/config", a.apply, decodeProposal)
	handle("GET /v1/timeline", a.timeline, decodeFilter)
	handle("POST /v1/drain", a.startDrain, kithttp.NopRequestDecoder)
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		metrics.CaptureRuntimeMemStatsOnce(a.deps.Metrics)
		metrics.WriteJSONOnce(a.deps.Metrics, w)
	})
	return mux
}

// recoverPanic turns a panic in an endpoint into an Internal failure of that call.
func (a *Admin) recoverPanic(next endpoint.Endpoint) endpoint.Endpoint {
	return func(ctx context.Context, request any) (response any, err error) {
		defer func() {
			if p := recover(); p != nil {
				err = failure.New(failure.Internal, "%v", p)
			}
		}()
		return next(ctx, request)
	}
}

func (a *Admin) authorized(decode kithttp.DecodeRequestFunc) kithttp.DecodeRequestFunc {
	return func(ctx context.Context, r *http.Request) (any, error) {
		want := "Bearer " + a.deps.Token
		if a.deps.Token != "" && subtle.ConstantTimeCompare([]byte(r.Header.Get("Authorization")), []byte(want)) != 1 {
			return nil, failure.New(failure.Unauthenticated, "operators need the admin token")
		}
		return decode(ctx, r)
	}
}

// Status is the status of this host: its membership, its configuration version,
// the requests it holds and the homes (service schedulers) it runs.
type Status struct {
	Self    member.Member `json:"self"`
	Version uint64        `json:"config_version"`
	Held    holder.Stats  `json:"held"`
	Homes   []home.Status `json:"homes"`
}

func (a *Admin) status(context.Context, any) (any, error) {
	s := Status{Self: a.deps.Members.Self(), Held: a.deps.Holder.Stats(), Homes: a.deps.Homes.Status()}
	if c := a.deps.Config.Current(); c != nil {
		s.Version = c.Version
	}
	return s, nil
}

// MembersReply lists the members that this host knows.
type MembersReply struct {
	Members []member.Member `json:"members"`
}

func (a *Admin) members(context.Context, any) (any, error) {
	return MembersReply{Members: a.deps.Members.All()}, nil
}

// ConfigReply is the configuration in force on this host.
type ConfigReply struct {
	Version  uint64 `json:"version"`
	ChangeID string `json:"change_id"`
	Text     []byte `json:"text"`
}

func (a *Admin) currentConfig(context.Context, any) (any, error) {
	c := a.deps.Config.Current()
	if c == nil {
		return ConfigReply{}, nil
	}
	return ConfigReply{Version: c.Version, ChangeID: c.ChangeID, Text: c.Text}, nil
}

// HistoryReply lists the accepted configuration changes, oldest first.
type HistoryReply struct {
	Changes []configsync.Change `json:"changes"`
}

func (a *Admin) history(ctx context.Context, _ any) (any, error) {
	changes, err := a.deps.Config.History(ctx)
	return HistoryReply{Changes: changes}, err
}

// proposalTime is how long the text of a proposal may take to arrive.
const proposalTime = 10 * time.Second

func decodeProposal(_ context.Context, r *http.Request) (any, error) {
	var p configsync.Proposal
	text, err := intake.ReadBody(r.Context(), io.LimitReader(r.Body, 2*config.MaxDocumentBytes), -1, time.Now().Add(proposalTime))
	var refused *failure.Error
	if errors.As(err, &refused) {
		return nil, err
	}
	if err != nil {
		return nil, failure.Wrap(failure.BadRequest, err, "body")
	}
	err = json.Unmarshal(text, &p)
	return p, failure.Wrap(failure.BadRequest, err, "proposal")
}

func (a *Admin) apply(ctx context.Context, request any) (any, error) {
	return a.deps.Config.Apply(ctx, request.(configsync.Proposal))
}

func decodeFilter(_ context.Context, r *http.Request) (any, error) {
	q := r.URL.Query()
	return event.Filter{Request: q.Get("request"), Service: q.Get("service"), Server: q.Get("server")}, nil
}

// TimelineReply lists the events that this host has recorded.
type TimelineReply struct {
	Events []event.Event `json:"events"`
}

func (a *Admin) timeline(_ context.Context, request any) (any, error) {
	return TimelineReply{Events: a.deps.Events.Events(request.(event.Filter))}, nil
}

// DrainReply confirms the start of a drain.
type DrainReply struct {
	Draining bool `json:"draining"`
}

func (a *Admin) startDrain(context.Context, any) (any, error) {
	a.deps.Drain()
	return DrainReply{Draining: true}, nil
}

func encode(_ context.Context, w http.ResponseWriter, response any) error {
	w.Header().Set("Content-Type", "application/json")
	return json.NewEncoder(w).Encode(response)
}

// ErrorReply is the JSON body of an error response.
type ErrorReply struct {
	Code    failure.Code `json:"code"`
	Message string       `json:"message"`
}

func encodeError(_ context.Context, err error, w http.ResponseWriter) {
	e := failure.From(err)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(e.Status())
	// The error is ignored: the operator may have disconnected.
	_ = json.NewEncoder(w).Encode(ErrorReply{Code: e.Code, Message: e.Message})
}
