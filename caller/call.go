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

// Request is one call. Model services take Prompt. Plain services, which are
// HTTP services without a model, take Path and Body.
type Request struct {
	Kind         string // request kind of the configuration; empty: the least urgent
	Prompt       string
	MaxTokens    int
	Stream       bool
	PrefixTokens int           // length of the prefix shared with other prompts, if known
	Path         string        // for plain services, without a leading slash
	Body         []byte        // for plain services
	ContentType  string        // of Body
	Deadline     time.Duration // for the complete answer; 0: the deadline of the kind
	Key          string        // Idempotency-Key; empty: the client generates a request id
	// OnData receives the bytes of a streamed answer as they arrive; may be nil.
	OnData func([]byte)
}

// Answer is a complete answer.
type Answer struct {
	ID       string
	Body     []byte        // as the server sent it: the events, or the plain body
	FirstIn  time.Duration // from the start of the call to the first data
	Total    time.Duration // from the start of the call to the end of the answer
	Attempts int
}

// errInterrupted marks a connection that broke or timed out after the request was
// sent, or a stream with inconsistent data. A host may hold or run the request.
var errInterrupted = errors.New("connection interrupted")

// errNotSent marks a failure before the first byte of the request was sent.
var errNotSent = errors.New("request not sent")

// call is one Do or Attach in progress. It is used by one goroutine only.
type call struct {
	c           *Client
	req         *Request
	id          ident.RequestID
	attempt     int
	tried       []string // incarnations of the hosts that may hold the request
	started     time.Time
	timeToFirst time.Duration
	data        []byte
}

// Do makes one call and returns its answer. Errors are of type *Failure.
func (c *Client) Do(ctx context.Context, r *Request) (*Answer, error) {
	k := &call{c: c, req: r, started: time.Now()}
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

// run tries hosts until one returns a final result or the attempts are used up.
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
			return nil, k.holderLost("the caller gave up: " + ctx.Err().Error())
		}
	}
	if len(k.tried) > 0 || last == nil {
		return nil, k.holderLost("no host returned a final result")
	}
	return nil, last
}

// final returns the result of the last attempt. If there is none, because the
// caller gave up during the attempt, it returns holderLost.
func (k *call) final(ctx context.Context, a *Answer, f *Failure) (*Answer, *Failure) {
	if a == nil && f == nil {
		return nil, k.holderLost("the caller gave up: " + ctx.Err().Error())
	}
	return a, f
}

// holderLost returns the failure of a call without a final result. The outcome is
// unknown if any host may hold the request.
func (k *call) holderLost(reason string) *Failure {
	f := &Failure{Code: string(failure.HolderLost), Message: reason, Outcome: string(failure.Unknown), RequestID: k.idText()}
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
		// No host can hold the request yet, so it gets a new id under the ticket
		// of this host. With a Key the host derives the id.
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
		k.c.markFailed(h.Address)
		f = &Failure{Code: string(failure.NoHome), Message: err.Error(), Outcome: string(failure.NotRun), RequestID: k.idText()}
		k.reportNotRun(f)
		return nil, f, false
	}
	k.addTried(h.Ticket)
	if err != nil {
		k.c.markFailed(h.Address)
		return nil, nil, false
	}
	defer func() { _ = resp.Body.Close() }()
	a, f, final = k.read(ctx, h, resp)
	if f != nil && f.NotRun() {
		k.removeTried(h.Ticket)
		if !final {
			k.reportNotRun(f)
		}
	}
	return a, f, final
}

// reportNotRun reports to the observer that the request provably did not run under
// the id of an attempt. It does so only if the next attempt uses a new id.
func (k *call) reportNotRun(f *Failure) {
	if o := k.c.opt.Observer; o != nil && len(k.tried) == 0 && k.req.Key == "" {
		o.Told(k.idText(), k.req, nil, f)
	}
}

// removeTried removes a host that answered that the request did not run there. It
// does not hold the request, so the next attempt need not name it.
func (k *call) removeTried(incarnation string) {
	for i, t := range k.tried {
		if t == incarnation {
			k.tried = append(k.tried[:i], k.tried[i+1:]...)
			return
		}
	}
}

// addTried records that an incarnation may hold the request.
func (k *call) addTried(incarnation string) {
	for _, t := range k.tried {
		if t == incarnation {
			return
		}
	}
	k.tried = append(k.tried, incarnation)
}

// send posts the request. The returned function stops the idle timer and cancels
// the request; the caller must call it also after an error.
func (k *call) send(ctx context.Context, h callerapi.LookupHost) (*http.Response, func(), error) {
	path, body, err := k.encode()
	if err != nil {
		return nil, func() {}, errors.Join(errNotSent, err)
	}
	ctx, cancel := context.WithCancel(ctx)
	idleTimer := time.AfterFunc(idleTimeout, cancel)
	stop := func() {
		idleTimer.Stop()
		cancel()
	}
	var conn *countedConn
	var before int64
	trace := &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			if c, ok := info.Conn.(*countedConn); ok {
				conn, before = c, c.written.Load()
				c.idleTimer.Store(idleTimer)
			}
		},
		// Lifts net/http's limit on 1xx responses, which hosts send as keep-alives.
		Got1xxResponse: func(int, textproto.MIMEHeader) error { return nil },
	}
	// NopCloser hides the reader's type, so that the request has no GetBody and
	// net/http never sends it twice on its own.
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
	return nil, stop, errors.Join(errInterrupted, err)
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
	// Always streamed: only a stream can be resumed after the connection breaks.
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

// read reads the response of an attempt to its end.
func (k *call) read(ctx context.Context, h callerapi.LookupHost, resp *http.Response) (*Answer, *Failure, bool) {
	if id, err := ident.ParseRequestID(resp.Header.Get(callerapi.HeaderRequestID)); err == nil {
		k.id = id
	}
	if isFailure(resp) {
		f := readFailure(resp, k.idText())
		return nil, f, !retryable(f)
	}
	if k.plain() {
		return k.readPlain(ctx, h, resp)
	}
	return k.readStream(ctx, h, resp)
}

// isFailure reports whether the response is an error of an entry host. It does
// not look at the status, because plain services may answer with any. Only
// answers have a checksum or are event streams.
func isFailure(resp *http.Response) bool {
	return resp.Header.Get(callerapi.HeaderChecksum) == "" && !strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream")
}

// retryable reports whether the call should try another host: this one is
// leaving, isolated or knows no home (the host that runs the scheduler), or the
// request has moved elsewhere.
func retryable(f *Failure) bool {
	switch failure.Code(f.Code) {
	case failure.Leaving, failure.Isolated, failure.Moved, failure.NoHome:
		return true
	}
	return false
}

func (k *call) readPlain(ctx context.Context, h callerapi.LookupHost, resp *http.Response) (*Answer, *Failure, bool) {
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	sum := strconv.FormatUint(xxhash.Sum64(body), 16)
	if err != nil || sum != resp.Header.Get(callerapi.HeaderChecksum) {
		k.c.markFailed(h.Address)
		return nil, nil, ctx.Err() != nil
	}
	k.data = body
	k.timeToFirst = time.Since(k.started)
	return k.answer(), nil, true
}

func (k *call) answer() *Answer {
	return &Answer{ID: k.idText(), Body: k.data, FirstIn: k.timeToFirst, Total: time.Since(k.started), Attempts: k.attempt}
}

// readStream reads events until the end event. If the connection breaks, it
// attaches again at the current offset, through this or any other host.
func (k *call) readStream(ctx context.Context, h callerapi.LookupHost, resp *http.Response) (*Answer, *Failure, bool) {
	a, f, err := k.readEvents(resp.Body, 0)
	if err == nil {
		return a, f, f == nil || !retryable(f)
	}
	k.c.markFailed(h.Address)
	for ctx.Err() == nil && k.attempt < k.c.opt.Attempts && len(k.data) > 0 {
		k.attempt++
		hosts, lerr := k.c.lookup(ctx)
		if lerr != nil || len(hosts) == 0 {
			continue
		}
		if a, f, err = k.reattach(ctx, hosts[0]); err == nil && (f == nil || !retryable(f)) {
			return a, f, true
		}
		k.c.markFailed(hosts[0].Address)
	}
	if ctx.Err() != nil {
		return nil, k.holderLost(ctx.Err().Error()), true
	}
	return nil, nil, false
}

// reattach reads the rest of the answer, from the end of the data received so far.
func (k *call) reattach(ctx context.Context, h callerapi.LookupHost) (*Answer, *Failure, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	idleTimer := time.AfterFunc(idleTimeout, cancel)
	defer idleTimer.Stop()
	trace := &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			if c, ok := info.Conn.(*countedConn); ok {
				c.idleTimer.Store(idleTimer)
			}
		},
		// Lifts net/http's limit on 1xx responses, which hosts send as keep-alives.
		Got1xxResponse: func(int, textproto.MIMEHeader) error { return nil },
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

// Attach reads the answer to the request with this id from its start, through
// any host. It returns once the answer is complete.
func (c *Client) Attach(ctx context.Context, id string) (*Answer, error) {
	rid, err := ident.ParseRequestID(id)
	if err != nil {
		return nil, localFailure(err)
	}
	k := &call{c: c, req: &Request{}, id: rid, started: time.Now()}
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
		if f != nil && !retryable(f) {
			return nil, f
		}
		last = err
	}
	return nil, k.attachFailure(last)
}

func (k *call) attachFailure(err error) *Failure {
	f := &Failure{Code: string(failure.HolderLost), Outcome: string(failure.Unknown), RequestID: k.idText(), Message: "no host answered"}
	if err != nil {
		f.Message = err.Error()
	}
	return f
}

// countedConn counts the bytes written and resets the idle timer of the current
// request when data arrives.
type countedConn struct {
	net.Conn
	written   atomic.Int64
	idleTimer atomic.Pointer[time.Timer]
}

// Write implements net.Conn.
func (c *countedConn) Write(b []byte) (int, error) {
	c.written.Add(int64(len(b)))
	return c.Conn.Write(b)
}
