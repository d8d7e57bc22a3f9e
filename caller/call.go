package caller

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/gentianflow/gentianflow/internal/callerapi"
	"github.com/gentianflow/gentianflow/internal/failure"
	"github.com/gentianflow/gentianflow/internal/ident"
)

// Request is one call. Model services take Prompt; plain services take Path
// and Body.
type Request struct {
	Kind         string // request kind of the rules; empty: the least urgent
	Prompt       string
	MaxTokens    int
	Stream       bool
	PrefixTokens int           // length of the shared beginning, if known
	Path         string        // of a plain service's call, without a slash
	Body         []byte        // of a plain service's call
	ContentType  string        // of Body
	Deadline     time.Duration // for the whole answer; 0: the kind's
	Key          string        // Idempotency-Key; empty: an id is minted
	// OnData sees the bytes of a streamed answer as they arrive; may be nil.
	OnData func([]byte)
}

// Answer is a whole answer.
type Answer struct {
	ID       string
	Body     []byte // as the server made it: the events, or the plain body
	FirstIn  time.Duration
	Total    time.Duration
	Attempts int
}

// errCut marks a connection that broke or fell silent after the request was
// sent: the request may be held or run.
var errCut = errors.New("connection cut")

// errNotSent marks a failure before a byte was sent.
var errNotSent = errors.New("not sent")

// call is one Do in progress. Its goroutine owns it.
type call struct {
	c       *Client
	req     *Request
	id      ident.RequestID
	attempt int
	tried   []string // incarnations that may hold the id
	begun   time.Time
	first   time.Duration
	data    []byte
}

// Do makes one call and returns its answer, or a *Failure.
func (c *Client) Do(ctx context.Context, r *Request) (*Answer, error) {
	k := &call{c: c, req: r, begun: time.Now()}
	a, f := k.run(ctx)
	if o := c.opt.Observer; o != nil {
		o.Told(k.idText(), r, a, f)
	}
	if f != nil {
		return nil, f
	}
	return a, nil
}

func (k *call) idText() string {
	if k.id == (ident.RequestID{}) {
		return ""
	}
	return k.id.String()
}

// run tries hosts until there is a final word.
func (k *call) run(ctx context.Context) (*Answer, *Failure) {
	var last *Failure
	for k.attempt < k.c.opt.Attempts {
		hosts, err := k.c.lookup(ctx)
		if err != nil && len(k.tried) == 0 {
			last = asFailure(err)
		}
		for _, h := range hosts {
			a, f, final := k.try(ctx, h)
			if final || ctx.Err() != nil {
				return k.final(ctx, a, f)
			}
			if f != nil {
				last = f
			}
			if k.attempt >= k.c.opt.Attempts {
				break
			}
		}
		if len(hosts) == 0 {
			k.attempt++
		}
		select {
		case <-time.After(retryPause):
		case <-ctx.Done():
			return nil, k.lost("the caller gave up: " + ctx.Err().Error())
		}
	}
	if len(k.tried) > 0 || last == nil {
		return nil, k.lost("no host gave a final word")
	}
	return nil, last
}

func (k *call) final(ctx context.Context, a *Answer, f *Failure) (*Answer, *Failure) {
	if a == nil && f == nil {
		return nil, k.lost("the caller gave up: " + ctx.Err().Error())
	}
	return a, f
}

// lost is the final word when none came: unknown once anything was sent.
func (k *call) lost(why string) *Failure {
	f := &Failure{Code: string(failure.HolderLost), Message: why, Outcome: string(failure.Unknown), RequestID: k.idText()}
	if len(k.tried) == 0 {
		f.Outcome = string(failure.NotRun)
	}
	return f
}

func asFailure(err error) *Failure {
	var f *Failure
	if errors.As(err, &f) {
		return f
	}
	return localFailure(err)
}

// try makes one attempt at one host. final is false when another host should
// be tried.
func (k *call) try(ctx context.Context, h callerapi.LookupHost) (a *Answer, f *Failure, final bool) {
	inc, err := ticket(h)
	if err != nil {
		return nil, localFailure(err), false
	}
	if len(k.tried) == 0 {
		// Nothing was sent so far: a fresh id under this host's ticket.
		k.id = ident.NewRequestID(inc)
		if k.req.Key != "" {
			k.id = ident.RequestID{}
		}
	}
	k.attempt++
	if o := k.c.opt.Observer; o != nil {
		o.Asked(k.idText(), k.attempt, k.req)
	}
	resp, stop, err := k.send(ctx, h)
	defer stop()
	if errors.Is(err, errNotSent) {
		k.c.avoid(h.Address)
		f = &Failure{Code: string(failure.NoHome), Message: err.Error(), Outcome: string(failure.NotRun), RequestID: k.idText()}
		k.abandon(f)
		return nil, f, false
	}
	k.note(h.Ticket)
	if err != nil {
		k.c.avoid(h.Address)
		return nil, nil, false
	}
	defer func() { _ = resp.Body.Close() }()
	a, f, final = k.read(ctx, h, resp)
	if f != nil && f.NotRun() {
		k.forget(h.Ticket)
		if !final {
			k.abandon(f)
		}
	}
	return a, f, final
}

// abandon closes the id of an attempt of which nothing was sent: the next
// attempt has another one.
func (k *call) abandon(f *Failure) {
	if o := k.c.opt.Observer; o != nil && len(k.tried) == 0 && k.req.Key == "" {
		o.Told(k.idText(), k.req, nil, f)
	}
}

// forget takes a host back that says the request did not run there: it took
// nothing, so the next attempt is as good as the first.
func (k *call) forget(incarnation string) {
	for i, t := range k.tried {
		if t == incarnation {
			k.tried = append(k.tried[:i], k.tried[i+1:]...)
			return
		}
	}
}

// note remembers that an incarnation may hold the id.
func (k *call) note(incarnation string) {
	for _, t := range k.tried {
		if t == incarnation {
			return
		}
	}
	k.tried = append(k.tried, incarnation)
}

// send posts the request. The returned stop ends the silence watch.
func (k *call) send(ctx context.Context, h callerapi.LookupHost) (*http.Response, func(), error) {
	path, body, err := k.encode()
	if err != nil {
		return nil, func() {}, errors.Join(errNotSent, err)
	}
	ctx, cancel := context.WithCancel(ctx)
	quiet := time.AfterFunc(silenceLimit, cancel)
	stop := func() {
		quiet.Stop()
		cancel()
	}
	var conn *countedConn
	var before int64
	trace := &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			if c, ok := info.Conn.(*countedConn); ok {
				conn, before = c, c.written.Load()
				c.quiet.Store(quiet)
			}
		},
		Got1xxResponse: func(int, textproto.MIMEHeader) error { return nil }, // any number of them
	}
	// The body has no GetBody, so net/http never sends it twice by itself.
	req, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), http.MethodPost, "http://"+h.Address+path, io.NopCloser(bytes.NewReader(body)))
	if err != nil {
		return nil, stop, errors.Join(errNotSent, err)
	}
	req.ContentLength = int64(len(body))
	k.setHeaders(req)
	resp, err := k.c.http.Do(req)
	if err == nil {
		return resp, stop, nil
	}
	if conn == nil || conn.written.Load() == before {
		return nil, stop, errors.Join(errNotSent, err)
	}
	return nil, stop, errors.Join(errCut, err)
}

type modelBody struct {
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	Stream    bool   `json:"stream"`
}

func (k *call) plain() bool { return k.req.Path != "" }

func (k *call) encode() (path string, body []byte, err error) {
	if k.plain() {
		return "/v1/services/" + k.c.opt.Service + "/call/" + k.req.Path, k.req.Body, nil
	}
	// Always streamed: only a stream can be continued after a cut.
	body, err = json.Marshal(modelBody{Model: k.c.opt.Service, Prompt: k.req.Prompt, MaxTokens: k.req.MaxTokens, Stream: true})
	return "/v1/completions", body, err
}

func (k *call) setHeaders(req *http.Request) {
	h := req.Header
	h.Set("Authorization", "Bearer "+k.c.opt.Secret)
	h.Set("Content-Type", "application/json")
	if k.plain() && k.req.ContentType != "" {
		h.Set("Content-Type", k.req.ContentType)
	}
	if k.req.Key != "" {
		h.Set(callerapi.HeaderKey, k.req.Key)
	} else {
		h.Set(callerapi.HeaderRequestID, k.id.String())
	}
	if len(k.tried) > 0 {
		h.Set(callerapi.HeaderAttempt, strconv.Itoa(len(k.tried)+1))
		h.Set(callerapi.HeaderTried, strings.Join(k.tried, ","))
	}
	if k.req.Kind != "" {
		h.Set(callerapi.HeaderKind, k.req.Kind)
	}
	if k.req.Deadline > 0 {
		h.Set(callerapi.HeaderDeadline, strconv.FormatInt(k.req.Deadline.Milliseconds(), 10))
	}
	if k.req.PrefixTokens > 0 {
		h.Set(callerapi.HeaderPrefixTokens, strconv.Itoa(k.req.PrefixTokens))
	}
}

// read takes the response of an attempt to its end.
func (k *call) read(ctx context.Context, h callerapi.LookupHost, resp *http.Response) (*Answer, *Failure, bool) {
	if id, err := ident.ParseRequestID(resp.Header.Get(callerapi.HeaderRequestID)); err == nil {
		k.id = id
	}
	if isFailure(resp) {
		f := readFailure(resp, k.idText())
		return nil, f, !passing(f)
	}
	if k.plain() {
		return k.readWhole(ctx, h, resp)
	}
	return k.readStream(ctx, h, resp)
}

// isFailure tells a failure of the system from an answer of a plain service,
// which may have any status: only answers carry a checksum or are streams.
func isFailure(resp *http.Response) bool {
	return resp.Header.Get(callerapi.HeaderChecksum) == "" && !strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream")
}

// passing reports whether a failure only means that another host should be
// tried: this one leaves, is cut off, or gave the request up for a resend.
func passing(f *Failure) bool {
	switch failure.Code(f.Code) {
	case failure.Leaving, failure.Isolated, failure.Moved, failure.NoHome:
		return true
	}
	return false
}

func (k *call) readWhole(ctx context.Context, h callerapi.LookupHost, resp *http.Response) (*Answer, *Failure, bool) {
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer))
	sum := strconv.FormatUint(xxhash.Sum64(body), 16)
	if err != nil || sum != resp.Header.Get(callerapi.HeaderChecksum) {
		k.c.avoid(h.Address)
		return nil, nil, ctx.Err() != nil
	}
	k.data = body
	k.first = time.Since(k.begun)
	return k.answer(), nil, true
}

func (k *call) answer() *Answer {
	return &Answer{ID: k.idText(), Body: k.data, FirstIn: k.first, Total: time.Since(k.begun), Attempts: k.attempt}
}

// readStream reads events until the end mark. After a cut it attaches again
// at its offset, through this or any other host.
func (k *call) readStream(ctx context.Context, h callerapi.LookupHost, resp *http.Response) (*Answer, *Failure, bool) {
	a, f, err := k.readEvents(resp.Body, 0)
	if err == nil {
		return a, f, f == nil || !passing(f)
	}
	k.c.avoid(h.Address)
	for ctx.Err() == nil && k.attempt < k.c.opt.Attempts && len(k.data) > 0 {
		k.attempt++
		hosts, lerr := k.c.lookup(ctx)
		if lerr != nil || len(hosts) == 0 {
			continue
		}
		if a, f, err = k.reattach(ctx, hosts[0]); err == nil && (f == nil || !passing(f)) {
			return a, f, true
		}
		k.c.avoid(hosts[0].Address)
	}
	if ctx.Err() != nil {
		return nil, k.lost(ctx.Err().Error()), true
	}
	return nil, nil, false
}

// reattach follows the answer from the offset that is here.
func (k *call) reattach(ctx context.Context, h callerapi.LookupHost) (*Answer, *Failure, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	quiet := time.AfterFunc(silenceLimit, cancel)
	defer quiet.Stop()
	trace := &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			if c, ok := info.Conn.(*countedConn); ok {
				c.quiet.Store(quiet)
			}
		},
		Got1xxResponse: func(int, textproto.MIMEHeader) error { return nil }, // any number of them
	}
	path := "/v1/services/" + k.c.opt.Service + "/requests/" + k.idText() + "?stream=true&offset=" + strconv.Itoa(len(k.data))
	req, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), http.MethodGet, "http://"+h.Address+path, nil)
	if err != nil {
		return nil, nil, err
	}
	req.Header.Set("Authorization", "Bearer "+k.c.opt.Secret)
	resp, err := k.c.http.Do(req)
	if err != nil {
		return nil, nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	if isFailure(resp) {
		return nil, readFailure(resp, k.idText()), nil
	}
	return k.readEvents(resp.Body, len(k.data))
}

// Attach follows an id to its whole answer through any host, from its start.
func (c *Client) Attach(ctx context.Context, id string) (*Answer, error) {
	rid, err := ident.ParseRequestID(id)
	if err != nil {
		return nil, localFailure(err)
	}
	k := &call{c: c, req: &Request{}, id: rid, begun: time.Now()}
	hosts, err := c.lookup(ctx)
	if err != nil {
		return nil, err
	}
	var last error
	for _, h := range hosts {
		k.data = nil
		a, f, err := k.reattach(ctx, h)
		if err == nil && f == nil {
			return a, nil
		}
		if f != nil && !passing(f) {
			return nil, f
		}
		last = err
	}
	return nil, k.lostWith(last)
}

func (k *call) lostWith(err error) *Failure {
	f := &Failure{Code: string(failure.HolderLost), Outcome: string(failure.Unknown), RequestID: k.idText(), Message: "no host answered"}
	if err != nil {
		f.Message = err.Error()
	}
	return f
}

// countedConn counts what was written and tells the silence watch of the
// request in progress when something arrives.
type countedConn struct {
	net.Conn
	written atomic.Int64
	quiet   atomic.Pointer[time.Timer]
}

// Write implements net.Conn.
func (c *countedConn) Write(b []byte) (int, error) {
	c.written.Add(int64(len(b)))
	return c.Conn.Write(b)
}
