package entry

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/gentianflow/gentianflow/internal/dispatch"
	"github.com/gentianflow/gentianflow/internal/event"
	"github.com/gentianflow/gentianflow/internal/failure"
	"github.com/gentianflow/gentianflow/internal/notice"
	"github.com/gentianflow/gentianflow/internal/quarantine"
	"github.com/gentianflow/gentianflow/internal/routing"
	"github.com/gentianflow/gentianflow/internal/sched"
	"github.com/gentianflow/gentianflow/internal/upstream"
)

// Places gives out permissions to send a request to a server.
type Places interface {
	Acquire(ctx context.Context, ask *dispatch.Ask) (dispatch.Place, error)
	Finish(id uint64, result sched.Result, first, pace time.Duration)
	Blame(server string)
	OnRevoke(id uint64, f func(*dispatch.Refused))
	// Hear takes what an answer says of its server, Heard returns what one said last.
	Hear(server string, n notice.Notice) (change notice.Change, changed bool)
	Heard(server string) notice.Standing
}

const (
	// configShare is the part of its time that a request waits for the first
	// configuration of a host that has just started, configWait the longest. A fleet
	// that starts anew has it within 0.4 s; a caller that is sent away is back after
	// seconds, and has used up its try.
	configShare = 0.3
	configWait  = 1 * time.Second
	// noConfigRetry is when a caller should come back to a host that knows no
	// configuration yet. A host that reaches the store learns it at its start,
	// so the store is away, as a rule for seconds; callers that have less time
	// left come back sooner by themselves.
	noConfigRetry = 2500 * time.Millisecond
	// defaultWait bounds a request that gives no deadline on a route without
	// a timeout.
	defaultWait = 60 * time.Second
	// writeGrace is how long past its deadline a caller may take to read.
	writeGrace = 500 * time.Millisecond
	// leaveRetry sends the callers of a host that shuts down elsewhere.
	leaveRetry = 50 * time.Millisecond
)

// Sources are what a Handler works with.
type Sources struct {
	Routes  *routing.Current
	Places  Places
	Pool    *upstream.Pool
	Dialect Dialect
	Events  *event.Recorder
	Meter   *Meter
}

// Handler serves callers.
type Handler struct {
	Sources
	leaving atomic.Bool  // answers close their connections
	closed  atomic.Bool  // new requests are refused
	active  atomic.Int64 // requests without their final answer
}

// NewHandler makes the handler for callers.
func NewHandler(src Sources) *Handler { return &Handler{Sources: src} }

// Leave makes answers close their connections, so that callers look up
// another host.
func (h *Handler) Leave() { h.leaving.Store(true) }

// Refuse turns new requests away.
func (h *Handler) Refuse() { h.closed.Store(true) }

// Active returns how many requests have no final answer yet.
func (h *Handler) Active() int { return int(h.active.Load()) }

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.active.Add(1)
	defer h.active.Add(-1)
	x := &exchange{h: h, w: w, r: r, arrived: time.Now(), head: h.Dialect.ReadRequest(r.Header)}
	if h.leaving.Load() {
		w.Header().Set("Connection", "close")
	}
	x.serve()
}

// exchange is one request of a caller on its way to its final answer.
type exchange struct {
	h       *Handler
	w       http.ResponseWriter
	r       *http.Request
	head    Head
	arrived time.Time

	route       *routing.Route
	account     *routing.Account // nil on a public route
	service     string
	deadline    time.Time
	body        []byte
	fingerprint quarantine.Fingerprint // not known until the request is admitted

	sends  int            // to servers, whether they ran it or not
	runs   int            // of sends, those that may have run it
	tried  []string       // servers not to be asked again
	repeat bool           // the next send comes on top of an earlier one
	erred  string         // the server whose failure is kept
	place  dispatch.Place // the newest one
	notice string         // what its server had said when the request was sent there, for the log
	kept   *answer        // a server's failure, for want of anything better
	waited time.Duration  // for places
	held   string         // what was held against the request as it was refused, for the log
	first  time.Duration  // from the newest send to its first event or whole answer
	stream stream
}

func (x *exchange) serve() {
	if err := x.admit(); err != nil {
		x.refuse(err)
		return
	}
	ctx, cancel := context.WithDeadline(x.r.Context(), x.deadline)
	defer cancel()
	// Guard: a caller that stops reading would hold the goroutine, and with it
	// a server's place, for ever.
	_ = http.NewResponseController(x.w).SetWriteDeadline(x.deadline.Add(writeGrace))
	for {
		asked := time.Now()
		place, err := x.h.Places.Acquire(ctx, x.ask())
		x.waited += time.Since(asked)
		if err != nil {
			x.giveUp(ctx, err)
			return
		}
		x.place = place
		if x.try(ctx, place) == final {
			return
		}
	}
}

// admit finds out who sends what where, and reads the body. Its errors are
// told to the caller; nothing was sent.
func (x *exchange) admit() error {
	if x.h.closed.Load() {
		return failure.Retry(failure.Leaving, leaveRetry, "this host shuts down")
	}
	table := x.h.Routes.First(x.r.Context().Done(), x.configWait())
	if table == nil {
		return failure.Retry(failure.StoreDown, noConfigRetry, "no configuration is known yet")
	}
	path, _, _ := strings.Cut(x.r.RequestURI, "?")
	if x.route = table.Match(x.r.Host, path); x.route == nil {
		return failure.New(failure.UnknownService, "no route for %s%s", x.r.Host, path)
	}
	if table.HasAccounts() && !x.route.Public {
		if x.account = table.Account(x.head.Key); x.account == nil {
			return failure.New(failure.Unauthenticated, "the key belongs to no account")
		}
	}
	x.service = x.route.Service()
	x.setDeadline()
	if err := x.readBody(table.MaxBody); err != nil {
		return err
	}
	x.fingerprint = quarantine.Of(x.r.Method, x.r.Host, x.r.RequestURI, x.caller(), x.body)
	return nil
}

// caller names who sends the request: its account, which may have several keys, or on a
// public route the key, if there is one.
func (x *exchange) caller() string {
	if x.account != nil {
		return x.account.Name
	}
	return x.head.Key
}

// configWait is how long the request may wait for a configuration.
func (x *exchange) configWait() time.Duration {
	if x.head.Deadline <= 0 {
		return configWait
	}
	return min(configWait, time.Duration(float64(x.head.Deadline)*configShare))
}

func (x *exchange) setDeadline() {
	wait := x.route.Timeout
	if wait <= 0 {
		wait = defaultWait
	}
	if x.head.Deadline > 0 {
		wait = min(wait, x.head.Deadline)
	}
	x.deadline = x.arrived.Add(wait)
}

func (x *exchange) readBody(most int64) error {
	if x.r.ContentLength == 0 {
		return nil
	}
	if most > 0 && x.r.ContentLength > most {
		return failure.New(failure.TooLarge, "the body is longer than %d bytes", most)
	}
	body := x.r.Body
	if most > 0 {
		body = http.MaxBytesReader(x.w, body, most)
	}
	var err error
	if n := x.r.ContentLength; n > 0 {
		x.body = make([]byte, n)
		_, err = io.ReadFull(body, x.body)
	} else {
		x.body, err = io.ReadAll(body)
	}
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return failure.New(failure.TooLarge, "the body is longer than %d bytes", most)
	}
	return failure.Wrap(failure.Withdrawn, err, "read the body")
}

// ask describes the request to the scheduler.
func (x *exchange) ask() *dispatch.Ask {
	a := &dispatch.Ask{
		Request: x.head.ID, Service: x.service, Priority: priority(x.route, x.account),
		PromptTokens: x.head.PromptTokens, OutputTokens: x.expectedOutput(), Parts: x.head.Parts,
		Arrived: x.arrived, Aim: x.arrived.Add(x.route.Aim), Deadline: x.deadline,
		MaxPause: x.route.GapAim, Repeat: x.repeat, Avoid: x.tried, Fingerprint: x.fingerprint,
		Route: x.route.Name, Repeatable: x.route.Repeatable(),
	}
	if x.account != nil {
		a.Account = x.account.Name
		if x.runs == 0 {
			a.Units = x.units() // a repeat was charged before
		}
	}
	now := time.Now()
	since := x.arrived
	if x.stream.events > 0 {
		a.Aim = now // the caller waits for the next event
		since = x.stream.newest
	}
	if x.route.Patience > 0 {
		a.LeavesAt = since.Add(x.route.Patience)
	}
	return a
}

// routeRanks is above any priority of a route.
const routeRanks = 1000

// priority ranks a request by its account first and by its route within that.
// Accounts often share one priority; without the second rank a bulk request of
// such an account would wait in one line with its urgent ones (on the heaviest
// days a third less of the urgent work was then in time).
func priority(r *routing.Route, a *routing.Account) int {
	first := r.Priority
	if a != nil && a.Ranked {
		first = a.Priority
	}
	return first*routeRanks + min(r.Priority, routeRanks-1)
}

// units is what the request costs its account.
func (x *exchange) units() int {
	switch {
	case !x.account.InTokens:
		return 1
	case x.head.HasTokens:
		return x.head.PromptTokens + x.head.OutputTokens
	}
	return x.account.PlainUnits
}

// expectedOutput is the caller's estimate, within the most that it allows.
func (x *exchange) expectedOutput() int {
	if x.head.OutputHint > 0 {
		return min(x.head.OutputHint, x.head.OutputTokens)
	}
	return x.head.OutputTokens
}

// mayRunAgain reports whether the request may be run once more after a run
// that did not answer.
func (x *exchange) mayRunAgain() bool {
	if x.runs >= x.route.MaxAttempts || time.Until(x.deadline) < minTry {
		return false
	}
	switch x.route.Kind {
	case routing.Safe:
		return true
	case routing.Streaming:
		return x.route.Resumable
	}
	return false
}
