package callerapi

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/gentianflow/gentianflow/internal/config"
	"github.com/gentianflow/gentianflow/internal/failure"
	"github.com/gentianflow/gentianflow/internal/holder"
	"github.com/gentianflow/gentianflow/internal/ident"
	"github.com/gentianflow/gentianflow/internal/intake"
	"github.com/gentianflow/gentianflow/internal/prefix"
)

const (
	maxKeyBytes      = 256
	maxTried         = 16
	defaultMaxTokens = 256
	maxMaxTokens     = 1 << 20
	// promptCopies is how often the bytes of a prompt's body are copied while it is decoded.
	promptCopies = 3
)

// submitRequest is the decoded form of a request to submit.
type submitRequest struct {
	sub    holder.Submission
	limits config.Limits
	stream bool
}

// attachRequest is the decoded form of a re-attachment.
type attachRequest struct {
	sub    holder.Submission
	limits config.Limits
	offset int
	stream bool
}

// prompt has the fields of an OpenAI-style body that the host reads.
type prompt struct {
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	Stream    bool   `json:"stream"`
	Messages  []struct {
		Content string `json:"content"`
	} `json:"messages"`
}

// text returns the complete prompt as the engine will process it.
func (p *prompt) text() string {
	if len(p.Messages) == 0 {
		return p.Prompt
	}
	var b strings.Builder
	for _, m := range p.Messages {
		b.WriteString(m.Content)
		b.WriteByte('\n')
	}
	return b.String()
}

// document returns the configuration, or a NoHome failure if this host has none
// yet.
func (a *API) document() (*config.Document, error) {
	if c := a.deps.Config.Current(); c != nil {
		return c.Document, nil
	}
	return nil, failure.Retry(failure.NoHome, time.Second, "this host has no configuration yet")
}

// decodeModel decodes a completion or chat completion request.
func (a *API) decodeModel(_ context.Context, r *http.Request) (any, error) {
	doc, account, err := a.authenticateCaller(r)
	if err != nil {
		return nil, err
	}
	body, err := readBody(r, doc.Rules.Limits)
	if err != nil {
		return nil, err
	}
	if err := intake.Reserve(r.Context(), promptCopies*int64(len(body))); err != nil {
		return nil, err
	}
	var p prompt
	if err := json.Unmarshal(body, &p); err != nil {
		return nil, failure.Wrap(failure.BadRequest, err, "body")
	}
	if p.MaxTokens < 0 || p.MaxTokens > maxMaxTokens {
		return nil, failure.New(failure.BadRequest, "max_tokens %d is not within 0 and %d", p.MaxTokens, maxMaxTokens)
	}
	svc, err := authorize(doc, account, p.Model)
	if err != nil {
		return nil, err
	}
	if svc.Kind != config.ModelService {
		return nil, failure.New(failure.BadRequest, "service %q is not a model service", svc.Name)
	}
	req := &submitRequest{limits: doc.Rules.Limits, stream: p.Stream}
	if err := a.setRequestFields(&req.sub, doc, account, svc, r); err != nil {
		return nil, err
	}
	req.sub.Path = r.URL.Path
	req.sub.ContentType = "application/json"
	if req.sub.Body, err = setStream(body); err != nil {
		return nil, err
	}
	return req, a.setPromptFields(&req.sub, &p, r)
}

// setStream sets "stream" in the body, because engines are always requested to
// stream.
func setStream(body []byte) ([]byte, error) {
	var fields map[string]json.RawMessage // unknown fields pass through unchanged
	if err := json.Unmarshal(body, &fields); err != nil {
		return nil, failure.Wrap(failure.BadRequest, err, "body")
	}
	fields["stream"] = json.RawMessage("true")
	out, err := json.Marshal(fields)
	return out, failure.Wrap(failure.Internal, err, "encode body")
}

// setPromptFields sets the token counts and the shared prefix of a prompt. The
// caller can state the prefix length; otherwise it is the length shared with
// earlier prompts.
func (a *API) setPromptFields(s *holder.Submission, p *prompt, r *http.Request) error {
	text := p.text()
	s.PromptTokens = max(1, prefix.Tokens(text))
	s.OutputTokens = p.MaxTokens
	if s.OutputTokens == 0 {
		s.OutputTokens = defaultMaxTokens
	}
	s.PromptKey = prefix.FullKey(text)
	tokens, given, err := intHeader(r, HeaderPrefixTokens, len(text))
	if err != nil {
		return err
	}
	if given {
		s.Prefix, s.PrefixTokens = prefix.KeyAt(text, tokens)
		return nil
	}
	s.Prefix, s.PrefixTokens = a.prefixes.Observe(text)
	return nil
}

// decodePlain decodes a call of a plain service, which is an HTTP service without
// a model.
func (a *API) decodePlain(_ context.Context, r *http.Request) (any, error) {
	doc, account, svc, err := a.authorizeCaller(r, r.PathValue("service"))
	if err != nil {
		return nil, err
	}
	if svc.Kind != config.PlainService {
		return nil, failure.New(failure.BadRequest, "service %q is not a plain service", svc.Name)
	}
	req := &submitRequest{limits: doc.Rules.Limits}
	if req.sub.Body, err = readBody(r, doc.Rules.Limits); err != nil {
		return nil, err
	}
	req.sub.Plain = true
	req.sub.Path = "/" + r.PathValue("path")
	req.sub.ContentType = r.Header.Get("Content-Type")
	return req, a.setRequestFields(&req.sub, doc, account, svc, r)
}

// decodeAttach decodes a re-attachment to the answer of a request id.
func (a *API) decodeAttach(_ context.Context, r *http.Request) (any, error) {
	doc, account, svc, err := a.authorizeCaller(r, r.PathValue("service"))
	if err != nil {
		return nil, err
	}
	id, err := ident.ParseRequestID(r.PathValue("id"))
	if err != nil {
		return nil, err
	}
	req := &attachRequest{limits: doc.Rules.Limits, stream: r.URL.Query().Get("stream") == "true"}
	if text := r.URL.Query().Get("offset"); text != "" {
		if req.offset, err = strconv.Atoi(text); err != nil || req.offset < 0 {
			return nil, failure.New(failure.BadRequest, "offset %q is not a number from 0", text)
		}
	}
	kind, _ := doc.DefaultKind(svc.Name)
	req.sub = holder.Submission{
		ID: id, Account: account.Name, Service: svc.Name, Kind: kind.Name, Tier: kind.Tier,
		Plain: svc.Kind == config.PlainService, LocateOnly: true, Deadline: time.Now().Add(kind.Deadline.Std()),
	}
	return req, nil
}

// authenticateCaller returns the configuration and the client account of the
// request.
func (a *API) authenticateCaller(r *http.Request) (*config.Document, *config.ClientAccount, error) {
	doc, err := a.document()
	if err != nil {
		return nil, nil, err
	}
	account, err := authenticate(doc, r)
	return doc, account, err
}

// authorizeCaller authenticates the caller and checks that its account may use the
// service.
func (a *API) authorizeCaller(r *http.Request, service string) (*config.Document, *config.ClientAccount, *config.Service, error) {
	doc, account, err := a.authenticateCaller(r)
	if err != nil {
		return nil, nil, nil, err
	}
	svc, err := authorize(doc, account, service)
	return doc, account, svc, err
}

// setRequestFields sets account, service, request kind, deadline and id from the
// headers and the configuration.
func (a *API) setRequestFields(s *holder.Submission, doc *config.Document, account *config.ClientAccount, svc *config.Service, r *http.Request) error {
	s.Account, s.Service = account.Name, svc.Name
	kind, ok := doc.DefaultKind(svc.Name)
	if name := r.Header.Get(HeaderKind); name != "" {
		named, found := doc.Kind(svc.Name, name)
		if !found {
			return failure.New(failure.BadRequest, "service %q has no request kind %q", svc.Name, name)
		}
		kind = *named
	}
	if !ok {
		return failure.New(failure.BadRequest, "service %q has no request kinds", svc.Name)
	}
	s.Kind, s.Tier, s.NonIdempotent = kind.Name, kind.Tier, kind.NonIdempotent
	limit := kind.Deadline.Std()
	ms, given, err := intHeader(r, HeaderDeadline, int(limit.Milliseconds()))
	if err != nil {
		return err
	}
	if given {
		limit = time.Duration(ms) * time.Millisecond
	}
	s.Deadline = time.Now().Add(limit)
	return a.setRequestID(s, r)
}

// setRequestID sets the request id: derived from the caller's idempotency key, the
// caller's own id, or a new one, which the caller cannot resend. An id under the
// ticket (incarnation) of another host marks the request as a resend.
func (a *API) setRequestID(s *holder.Submission, r *http.Request) error {
	attempt, given, err := intHeader(r, HeaderAttempt, 1<<20)
	if err != nil {
		return err
	}
	s.Resend = given && attempt > 1
	if s.Tried, err = parseTried(r.Header.Get(HeaderTried)); err != nil {
		return err
	}
	key, id := r.Header.Get(HeaderKey), r.Header.Get(HeaderRequestID)
	switch {
	case len(key) > maxKeyBytes:
		return failure.New(failure.BadRequest, "%s of %d bytes; at most %d are allowed", HeaderKey, len(key), maxKeyBytes)
	case key != "":
		s.ID, s.HasIdempotencyKey = ident.KeyedRequestID(s.Account, key), true
		return nil
	case id == "":
		s.ID = ident.NewRequestID(a.deps.Members.Self().Incarnation)
		return nil
	}
	if s.ID, err = ident.ParseRequestID(id); err != nil {
		return err
	}
	if s.ID.Ticket() != a.deps.Members.Self().Incarnation {
		s.Resend = true
	}
	if s.Resend {
		s.Tried = append(s.Tried, s.ID.Ticket())
	}
	return nil
}

// parseTried parses the incarnations of the hosts that the request was sent to
// before.
func parseTried(text string) ([]ident.Incarnation, error) {
	if text == "" {
		return nil, nil
	}
	fields := strings.Split(text, ",")
	if len(fields) > maxTried {
		return nil, failure.New(failure.BadRequest, "%s names %d hosts; at most %d are allowed", HeaderTried, len(fields), maxTried)
	}
	var out []ident.Incarnation
	for _, f := range fields {
		inc, err := ident.ParseIncarnation(strings.TrimSpace(f))
		if err != nil {
			return nil, err
		}
		out = append(out, inc)
	}
	return out, nil
}

// intHeader parses a header with a number from 1 to maxValue. The second result
// reports whether the header is present.
func intHeader(r *http.Request, name string, maxValue int) (int, bool, error) {
	text := r.Header.Get(name)
	if text == "" {
		return 0, false, nil
	}
	n, err := strconv.Atoi(text)
	if err != nil || n < 1 || n > maxValue {
		return 0, false, failure.New(failure.BadRequest, "%s %q is not a number from 1 to %d", name, text, maxValue)
	}
	return n, true, nil
}

// readBody reads the complete body. It fails if the body exceeds the size limit
// or the read timeout.
func readBody(r *http.Request, limits config.Limits) ([]byte, error) {
	if r.ContentLength > int64(limits.BodyBytes) {
		return nil, failure.New(failure.TooLarge, "body of %d bytes; at most %d are allowed", r.ContentLength, limits.BodyBytes)
	}
	deadline := time.Now().Add(limits.ReadTimeout.Std())
	body, err := intake.ReadBody(r.Context(), io.LimitReader(r.Body, int64(limits.BodyBytes)+1), r.ContentLength, deadline)
	var refused *failure.Error
	var timeout net.Error
	switch {
	case errors.As(err, &refused):
		return nil, err
	case errors.As(err, &timeout) && timeout.Timeout():
		return nil, failure.New(failure.TooSlow, "body did not arrive within %s", limits.ReadTimeout.Std())
	case err != nil:
		return nil, failure.Wrap(failure.BadRequest, err, "body")
	case len(body) > limits.BodyBytes:
		return nil, failure.New(failure.TooLarge, "body over %d bytes", limits.BodyBytes)
	}
	return body, nil
}
