package entry

import (
	"context"
	"errors"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/gentianflow/gentianflow/internal/dispatch"
	"github.com/gentianflow/gentianflow/internal/event"
	"github.com/gentianflow/gentianflow/internal/failure"
	"github.com/gentianflow/gentianflow/internal/intake"
	"github.com/gentianflow/gentianflow/internal/notice"
	"github.com/gentianflow/gentianflow/internal/origin"
	"github.com/gentianflow/gentianflow/internal/quarantine"
	"github.com/gentianflow/gentianflow/internal/reach"
	"github.com/gentianflow/gentianflow/internal/routing"
	"github.com/gentianflow/gentianflow/internal/sched"
	"github.com/gentianflow/gentianflow/internal/serverload"
	"github.com/gentianflow/gentianflow/internal/upstream"
)

// Placer provides placements: permissions to send a request once to a server.
type Placer interface {
	// Acquire waits for a placement. Finish must be called for each placement.
	Acquire(ctx context.Context, request *dispatch.PlacementRequest) (dispatch.Placement, error)
	// Finish reports how the run of a placement ended, or the progress of a run that
	// continues.
	Finish(id uint64, result sched.Result, timeToFirst, tokenTime time.Duration)
	// FinishStream is Finish with all that was observed of a stream's run.
	FinishStream(id uint64, result sched.Result, t sched.RunReport)
	// RecordServerFault reports that a server failed a request which another server then
	// answered.
	RecordServerFault(server string)
	// OnRevoke sets f to be called when the placement is revoked because its request was
	// put in quarantine, at once if it has been.
	OnRevoke(id uint64, f func(*dispatch.Refused))
	// RecordNotice records the notice in a server's answer.
	RecordNotice(server string, n notice.Notice) (change notice.Change, changed bool)
	// ServerNotice returns what a server has stated so far.
	ServerNotice(server string) notice.State
	// RecordLoad records the load report in a server's answer.
	RecordLoad(server string, r serverload.Report)
	// ServerLoad returns the newest load report of a server.
	ServerLoad(server string) serverload.Received
}

const (
	// configWaitShare is the share of its time, and configWait the maximum time, that a
	// request waits for the first configuration of a host that has just started. The hosts
	// of a restarted fleet have one within 0.4 s, while a refused caller comes back only
	// after seconds and has used up an attempt.
	configWaitShare = 0.3
	configWait      = 1 * time.Second
	// noConfigRetryAfter is the Retry-After of a host without a configuration. A host that
	// reaches the store reads the configuration at startup, so the store is down, usually
	// for seconds. Callers with less time left retry sooner on their own.
	noConfigRetryAfter = 2500 * time.Millisecond
	// defaultTimeout bounds a request without a deadline on a route without a timeout.
	defaultTimeout = 60 * time.Second
	// writeGrace is how long after the deadline a caller may still read its answer.
	writeGrace = 500 * time.Millisecond
	// shutdownRetryAfter is the Retry-After of a host that shuts down; callers retry at
	// another host.
	shutdownRetryAfter = 50 * time.Millisecond
)

// Dependencies are the dependencies of a Handler.
type Dependencies struct {
	Routes  *routing.CurrentTable
	Placer  Placer
	Servers Connector
	Dialect Dialect
	Events  *event.Recorder
	Meter   *Meter
	Gate    Gate // nil: every request is admitted
}

// Connector opens connections to backend servers.
type Connector interface {
	// Get returns a connection to a server, and the host that carries it if it is a tunnel. It fails with
	// *reach.Failed; nothing was sent.
	Get(ctx context.Context, s upstream.Server, timeout time.Duration) (conn *upstream.Conn, via string, err error)
	// Check finds out what is at fault after a connection to a server broke or fell silent.
	Check(ctx context.Context, s upstream.Server) reach.Verdict
	// Answered records an answer of a server over this host's own path.
	Answered()
	// CloseIdle closes the idle connections to a server.
	CloseIdle(s upstream.Server)
}

// Gate decides whether this host can take a further request.
type Gate interface {
	// Admit fails with failure.HostFull if a request with a body of so many bytes would exhaust
	// this host; -1 is an unknown length. After release, the body counts as memory in use.
	Admit(bodyBytes int64) (release func(), err error)
}

// Handler is the HTTP handler for callers.
type Handler struct {
	Dependencies
	leaving  atomic.Bool  // answers close their connections
	active   atomic.Int64 // requests without a final answer
	bytes    atomic.Int64 // of bodies of requests and answers that were forwarded
	pauses   hostPauses
	buffers  bufferLimit // for what servers send
	shutdown *shutdown
}

// NewHandler returns a handler for callers.
func NewHandler(deps Dependencies) *Handler {
	return &Handler{Dependencies: deps, shutdown: newShutdown()}
}

// LimitBuffers bounds the memory of all buffers for answers.
func (h *Handler) LimitBuffers(bytes int64) { h.buffers.set(bytes) }

// CloseConnections makes answers close their connections, so that callers look up another host.
func (h *Handler) CloseConnections() { h.leaving.Store(true) }

// Active returns the number of requests without a final answer.
func (h *Handler) Active() int { return int(h.active.Load()) }

// ForwardedBytes returns how many bytes of bodies were forwarded. Each was received and sent once.
func (h *Handler) ForwardedBytes() int64 { return h.bytes.Load() }

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.active.Add(1)
	defer h.active.Add(-1)
	x := &exchange{h: h, w: w, r: r, arrived: time.Now(), head: h.Dialect.ReadRequest(r.Header)}
	if h.leaving.Load() {
		w.Header().Set("Connection", "close")
	}
	defer x.releaseBuffers()
	x.serve()
}

func (x *exchange) releaseBuffers() {
	for _, b := range x.buffered {
		b.release()
	}
}

// exchange is the state of one caller's request until its final answer.
type exchange struct {
	h       *Handler
	w       http.ResponseWriter
	r       *http.Request
	head    RequestHead
	arrived time.Time

	route       *routing.Route
	account     *routing.Account // nil on a public route
	service     string
	deadline    time.Time
	body        []byte
	fingerprint quarantine.Fingerprint // zero until the request is admitted

	sends          int                // to servers, whether they ran the request or not
	runs           int                // sends after which the request may have run
	tried          []string           // servers not to be tried again
	isRetry        bool               // the request was sent before
	errorServer    string             // the server that sent errorAnswer
	placement      dispatch.Placement // the newest placement
	via            string             // the host that carries the connection to its server, empty if none does
	noPath         bool               // no connection to one of the servers was found
	serverNotice   string             // what its server had stated when the request was sent there, for the log
	errorAnswer    *answer            // a server's error, forwarded if no other server answers
	buffered       []*answerBuffer    // of complete answers
	waited         time.Duration      // total time spent waiting for placements
	refusalDetail  string             // the scheduler's detail of a refusal, for the log
	timeToFirst    time.Duration      // from the newest send to its first event or complete answer
	framing        upstream.Framing   // of the newest server's answer, empty before there is one
	configVersion  int64              // of the configuration by which it was handled, 0 before one is known
	configEvidence routing.Evidence   // that it was the newest
	sentFraming    upstream.Framing   // of the answer to the caller, empty until its header is written
	tail           int                // bytes of the newest server's answer after its last complete event
	stream         stream
}

func (x *exchange) serve() {
	if err := x.admit(); err != nil {
		x.refuse(err)
		return
	}
	ctx, cancel := context.WithDeadline(x.r.Context(), x.deadline)
	defer cancel()
	defer context.AfterFunc(x.h.shutdown.ended, cancel)()
	// Without a write deadline, a caller that stops reading would hold the goroutine and
	// its placement at a server forever.
	_ = http.NewResponseController(x.w).SetWriteDeadline(x.deadline.Add(writeGrace))
	for {
		requested := time.Now()
		placement, err := x.acquire(ctx)
		x.waited += time.Since(requested)
		if err != nil {
			x.giveUp(ctx, err)
			return
		}
		x.placement = placement
		if x.try(ctx, placement) == done {
			return
		}
	}
}

// admit determines route, account, service and deadline, and reads the body. Its errors
// go to the caller; nothing was sent.
func (x *exchange) admit() error {
	if x.h.shutdown.closed.Err() != nil {
		return errShutdown
	}
	table := x.h.Routes.WaitFirst(x.r.Context().Done(), x.configWait())
	if table == nil {
		return failure.Retry(failure.StoreDown, noConfigRetryAfter, "no configuration is known yet")
	}
	x.configVersion, x.configEvidence = table.Version, x.h.Routes.Evidence()
	path, _, _ := strings.Cut(x.r.RequestURI, "?")
	if x.route = table.Match(x.r.Host, path); x.route == nil {
		return failure.New(failure.UnknownService, "no route for %s%s", x.r.Host, path)
	}
	if table.HasAccounts() && !x.route.Public {
		if x.account = table.Account(x.head.Key); x.account == nil {
			return failure.New(failure.Unauthenticated, "the key belongs to no account")
		}
	}
	x.service = x.route.PickService()
	x.setDeadline()
	release, err := x.passGate(table.MaxBody)
	if err != nil {
		return err
	}
	defer release()
	if err := x.readBody(table.MaxBody); err != nil {
		return err
	}
	x.h.bytes.Add(int64(len(x.body)))
	x.fingerprint = quarantine.NewFingerprint(x.r.Method, x.r.Host, x.r.RequestURI, x.callerName(), x.body)
	return nil
}

// passGate asks the gate before the body is read, since reading it takes the memory that is short. The
// connection of a refused caller closes, so that it connects to another host.
func (x *exchange) passGate(maxBody int64) (release func(), err error) {
	if x.h.Gate == nil {
		return func() {}, nil
	}
	length := x.r.ContentLength
	if maxBody > 0 && length > maxBody {
		length = 0 // is not going to be read
	}
	release, err = x.h.Gate.Admit(length)
	if err != nil {
		x.w.Header().Set("Connection", "close")
	}
	return release, err
}

// callerName identifies the sender of the request by its account, which may have several
// keys, or on a public route by its key, if there is one.
func (x *exchange) callerName() string {
	if x.account != nil {
		return x.account.Name
	}
	return x.head.Key
}

// callerAccount returns the name of the client account, empty on a public route.
func (x *exchange) callerAccount() string {
	if x.account == nil {
		return ""
	}
	return x.account.Name
}

// configWait returns how long the request may wait for a configuration.
func (x *exchange) configWait() time.Duration {
	if x.head.Deadline <= 0 {
		return configWait
	}
	return min(configWait, time.Duration(float64(x.head.Deadline)*configWaitShare))
}

func (x *exchange) setDeadline() {
	wait := x.route.Timeout
	if wait <= 0 {
		wait = defaultTimeout
	}
	if x.head.Deadline > 0 {
		wait = min(wait, x.head.Deadline)
	}
	x.deadline = x.arrived.Add(wait)
}

func (x *exchange) readBody(maxBytes int64) error {
	if x.r.ContentLength == 0 {
		return nil
	}
	if maxBytes > 0 && x.r.ContentLength > maxBytes {
		return failure.New(failure.TooLarge, "the body is longer than %d bytes", maxBytes)
	}
	body := x.r.Body
	if maxBytes > 0 {
		body = http.MaxBytesReader(x.w, body, maxBytes)
	}
	stop := x.interruptBody()
	read, err := intake.ReadBody(x.r.Context(), body, x.r.ContentLength, x.deadline)
	stop()
	if err != nil && x.h.shutdown.refuses(x.deadline) {
		err = errShutdown
	}
	if err == nil {
		x.body = read
		return nil
	}
	x.w.Header().Set("Connection", "close") // the rest of the body is not read
	var tooLarge *http.MaxBytesError
	var failed *failure.Error
	switch {
	case errors.As(err, &tooLarge):
		return failure.New(failure.TooLarge, "the body is longer than %d bytes", maxBytes)
	case errors.As(err, &failed):
		return err
	}
	return failure.Wrap(failure.Withdrawn, err, "read the body")
}

// placementRequest describes the request to the scheduler.
func (x *exchange) placementRequest() *dispatch.PlacementRequest {
	req := &dispatch.PlacementRequest{
		Request: x.head.ID, Service: x.service, Priority: priority(x.route, x.account),
		PromptTokens: x.head.PromptTokens, OutputTokens: x.expectedOutput(), PromptParts: x.head.PromptParts, SharedParts: x.head.SharedParts,
		Arrived: x.arrived, LatencyTarget: x.arrived.Add(x.route.LatencyTarget), Deadline: x.deadline,
		MaxPause: x.route.EventGapTarget, Retry: x.isRetry, Avoid: x.tried, Fingerprint: x.fingerprint,
		Route: x.route.Name, Interruptible: x.route.Repeatable(),
	}
	req.Origin, req.Resumed = x.streamOrigin()
	if x.account != nil {
		req.Account = x.account.Name
		if x.runs == 0 {
			req.Units = x.units() // a request that may have run was charged before
		}
	}
	now := time.Now()
	since := x.arrived
	if x.stream.events > 0 {
		req.LatencyTarget = now // the caller waits for the next event
		since = x.stream.newestAt
	}
	if x.route.CallerTimeout > 0 {
		req.CallerTimeoutAt = since.Add(x.route.CallerTimeout)
	}
	return req
}

// streamOrigin returns the key under which the version of a resumable stream is remembered, and the stream
// that the request goes on with, nil if it begins one. A caller that names the attempt that began its
// stream, but no event, begins anew.
func (x *exchange) streamOrigin() (key origin.Key, resumed *sched.Resumed) {
	if x.route.Kind != routing.Streaming {
		return 0, nil
	}
	if x.route.Resumable {
		key = origin.KeyOf(x.callerName(), x.service, x.head.ID)
	}
	switch {
	case x.stream.events > 0:
		resumed = &sched.Resumed{Known: true, Version: x.stream.version}
	case x.head.LastEvent != "":
		resumed = &sched.Resumed{}
	default:
		return key, nil
	}
	resumed.From = origin.KeyOf(x.callerName(), x.service, x.head.Resumes)
	return key, resumed
}

// routePriorityLevels is the number of route priorities that are distinguished. Higher ones
// count as the last.
const routePriorityLevels = 1000

// priority orders requests by account, and by route within the same account priority.
// Accounts often share one priority; without the route's priority, bulk requests of such
// an account would share a priority queue with its urgent ones. Under the heaviest load, a
// third less of the urgent requests were then in time.
func priority(r *routing.Route, a *routing.Account) int {
	accountPriority := r.Priority
	if a != nil && a.HasPriority {
		accountPriority = a.Priority
	}
	return accountPriority*routePriorityLevels + min(r.Priority, routePriorityLevels-1)
}

// units returns the quota units that the request costs its account.
func (x *exchange) units() int {
	switch {
	case !x.account.InTokens:
		return 1
	case x.head.HasTokens:
		return x.head.PromptTokens + x.head.OutputTokens
	}
	return x.account.DefaultUnits
}

// expectedOutput returns the caller's estimate of the output tokens, capped at its maximum.
func (x *exchange) expectedOutput() int {
	if x.head.OutputHint > 0 {
		return min(x.head.OutputHint, x.head.OutputTokens)
	}
	return x.head.OutputTokens
}

// mayRetry reports whether the request may run again, or resume, after a run without a
// complete answer.
func (x *exchange) mayRetry() bool {
	if x.runs >= x.route.MaxAttempts || time.Until(x.deadline) < minRetryTime {
		return false
	}
	switch x.route.Kind {
	case routing.Safe:
		return true
	case routing.Streaming:
		return x.route.Resumable && (x.stream.events == 0 || x.stream.lastID != "")
	}
	return false
}
