package entry

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/gentianflow/gentianflow/internal/dispatch"
	"github.com/gentianflow/gentianflow/internal/event"
	"github.com/gentianflow/gentianflow/internal/failure"
	"github.com/gentianflow/gentianflow/internal/intake"
	"github.com/gentianflow/gentianflow/internal/sched"
)

// giveUp ends a request that gets no further placement.
func (x *exchange) giveUp(ctx context.Context, err error) {
	switch {
	case x.r.Context().Err() != nil:
		x.leave("while the request waited for a placement")
	case x.stream.started:
		x.abort("no place to resume the stream: " + err.Error())
	case x.errorAnswer != nil:
		x.forwardAnswer(x.errorAnswer)
	case x.runs == 0 && errors.Is(err, errShutdown):
		x.fail(http.StatusServiceUnavailable, failure.Leaving, shutdownRetryAfter, "this host shuts down")
	case x.runs > 0 && x.isCutOff():
		x.fail(http.StatusBadGateway, failure.ServerLost, 0, "this host shuts down; it may have run")
	case x.runs > 0 && ctx.Err() != nil:
		x.fail(http.StatusGatewayTimeout, failure.Deadline, 0, "the deadline passed while it may have run")
	case x.runs > 0 && quarantined(err) != nil:
		refused := quarantined(err)
		x.refusalDetail = refused.Detail
		x.fail(http.StatusBadGateway, failure.Quarantined, refused.RetryAfter, "it may have run; "+refused.Error())
	case x.runs > 0:
		x.fail(http.StatusBadGateway, failure.ServerLost, 0, "its server gave no answer; it may have run")
	case ctx.Err() != nil:
		x.fail(http.StatusServiceUnavailable, failure.Deadline, minRetryAfter, "no place was found in time")
	default:
		x.writeRefusal(err)
	}
}

// quarantined returns the refusal of a quarantined request, nil for other errors.
func quarantined(err error) *dispatch.Refused {
	var refused *dispatch.Refused
	if errors.As(err, &refused) && refused.Reason.Quarantined() {
		return refused
	}
	return nil
}

// minRetryAfter is the shortest Retry-After of a refusal.
const minRetryAfter = 100 * time.Millisecond

// writeRefusal answers a request that the scheduler refused. Nothing ran.
func (x *exchange) writeRefusal(err error) {
	var refused *dispatch.Refused
	if !errors.As(err, &refused) {
		x.fail(http.StatusServiceUnavailable, failure.Overload, minRetryAfter, err.Error())
		return
	}
	x.refusalDetail = refused.Detail
	status, code := http.StatusServiceUnavailable, failure.Overload
	switch refused.Reason {
	case sched.Quota:
		status, code = http.StatusTooManyRequests, failure.Overload
	case sched.NoServer, sched.NoService:
		if code = failure.NoServer; x.noPath {
			code = failure.NoPath
		}
	case sched.Quarantined, sched.QuarantinedPart, sched.QuarantinedCaller:
		code = failure.Quarantined
	case sched.VersionUnknown:
		code = failure.VersionUnknown
	case sched.VersionGone:
		code = failure.VersionGone
	}
	x.fail(status, code, max(minRetryAfter, refused.RetryAfter), refused.Error())
}

// refuse answers a request that was not admitted, or aborts it if the caller withdrew it.
func (x *exchange) refuse(err error) {
	e := failure.From(err)
	if e.Code == failure.Withdrawn {
		x.leave("while the request was read: " + e.Message)
	}
	intake.LeaveBody(x.r.Context())
	x.fail(e.Status(), e.Code, e.RetryAfter, e.Message)
}

// failureBody is the body of an error answer that this host generates.
type failureBody struct {
	Code    failure.Code `json:"code"`
	Message string       `json:"message"`
}

// refusalTime is how long a caller may take to read an error answer.
const refusalTime = 2 * time.Second

// FailureBody returns the body of an error answer.
func FailureBody(code failure.Code, message string) []byte {
	body, err := json.Marshal(failureBody{code, message})
	if err != nil {
		return []byte(`{}`) // cannot happen: two strings always marshal
	}
	return body
}

// fail writes an error answer. A retryAfter of 0 omits the Retry-After field.
func (x *exchange) fail(status int, code failure.Code, retryAfter time.Duration, message string) {
	body := FailureBody(code, message)
	h := x.w.Header()
	x.h.Dialect.WriteAnswer(h, x.head.ID)
	h.Set("Content-Type", "application/json")
	h.Set("Content-Length", strconv.Itoa(len(body)))
	if retryAfter > 0 {
		h.Set("Retry-After", strconv.FormatFloat(retryAfter.Seconds(), 'f', 3, 64))
	}
	// Without a deadline, a caller that does not read would keep its connection in use for good.
	_ = http.NewResponseController(x.w).SetWriteDeadline(time.Now().Add(refusalTime))
	x.w.WriteHeader(status)
	x.recordEvent(event.RequestRefused, strconv.Itoa(status)+" "+string(code)+": "+message)
	x.h.Meter.Refused(status, code)
	_, _ = x.w.Write(body) // fails if the caller has disconnected
}

// abort ends the caller's connection, so that a partly written answer does not look complete: without the
// length or the last chunk that the header promised or, where nothing marks the end of the answer, with the
// reset that writeHeader has set. It does not return: it panics with http.ErrAbortHandler.
func (x *exchange) abort(reason string) {
	x.recordEvent(event.RequestCut, reason)
	panic(http.ErrAbortHandler)
}

// leave ends a request whose caller has left. The caller may only have closed its sending side, and would
// take the end of a response that net/http completes for the end of its answer. It does not return: it
// panics with http.ErrAbortHandler.
func (x *exchange) leave(when string) {
	x.recordEvent(event.RequestLeft, when)
	panic(http.ErrAbortHandler)
}

// recordEvent records an event of the request with the state of its exchange.
func (x *exchange) recordEvent(code event.Code, detail string) {
	f := event.Fields{Request: x.head.ID, Service: x.service, Server: x.placement.Server, Detail: detail + x.configFields()}
	if x.route != nil {
		f.Detail += " route=" + x.route.Name + " aim=" + formatDuration(x.route.LatencyTarget)
	}
	if x.account != nil {
		f.Detail += " account=" + x.account.Name + " units=" + strconv.Itoa(x.units())
	}
	f.Detail += " waited=" + formatDuration(x.waited) + " first=" + formatDuration(x.timeToFirst) + " after=" + formatDuration(time.Since(x.arrived)) +
		" sends=" + strconv.Itoa(x.sends) + " runs=" + strconv.Itoa(x.runs)
	if x.head.LastEvent != "" || x.head.Resumes != "" {
		f.Detail += " resumes=" + shorten(x.head.Resumes) + " last_event=" + shorten(x.head.LastEvent)
	}
	if x.placement.Server != "" {
		f.Detail += " " + placementFields(x.placement) + x.serverNotice
		if x.via != "" {
			f.Detail += " via=" + x.via
		}
	}
	f.Detail += x.endFields()
	if x.head.HasTokens {
		f.Detail += " prompt=" + strconv.Itoa(x.head.PromptTokens) + " output=" + strconv.Itoa(x.head.OutputTokens) + " hint=" + strconv.Itoa(x.head.OutputHint)
	}
	if x.fingerprint.Known() {
		f.Detail += " fingerprint=" + x.fingerprint.String()
	}
	f.Detail += x.partFields()
	if x.refusalDetail != "" {
		f.Detail += " " + x.refusalDetail
	}
	if x.stream.events > 1 {
		f.Detail += " pause=" + formatDuration(x.stream.maxPause) + " most=" + formatDuration(x.route.EventGapTarget)
	}
	x.h.Events.Record(code, f)
}

// configFields formats the version by which the request was handled, how old the evidence was that it is the newest,
// and the host from which the evidence came.
func (x *exchange) configFields() string {
	out := " config=" + strconv.FormatInt(x.configVersion, 10)
	if e := x.configEvidence; !e.At.IsZero() {
		out += " news=" + formatDuration(x.arrived.Sub(e.At)) + "/" + cmp.Or(e.Source, "store")
	}
	return out
}

// maxLoggedParts is the number of shared prompt parts up to which a request's parts are logged.
const maxLoggedParts = 8

// partFields formats the prompt parts that other requests may share.
func (x *exchange) partFields() string {
	if x.head.SharedParts == 0 {
		return ""
	}
	names := make([]string, 0, maxLoggedParts)
	for _, p := range x.head.PromptParts[:min(x.head.SharedParts, maxLoggedParts)] {
		names = append(names, p.Name())
	}
	fields := " parts=" + strings.Join(names, ",")
	if more := x.head.SharedParts - maxLoggedParts; more > 0 {
		fields += " more_parts=" + strconv.Itoa(more)
	}
	return fields
}

// endFields formats how the answer of the newest server was framed and how many bytes came after its last
// complete event, and how the answer to the caller is framed.
func (x *exchange) endFields() (fields string) {
	if x.framing != "" {
		fields += " framing=" + string(x.framing)
	}
	if x.tail > 0 {
		fields += " tail=" + strconv.Itoa(x.tail)
	}
	if x.sentFraming != "" {
		fields += " sent_framing=" + string(x.sentFraming)
	}
	return fields
}

// placementFields formats which host gave a placement and how old this host's list of
// servers was.
func placementFields(p dispatch.Placement) string {
	by := "home"
	if p.Local {
		by = "self"
	}
	fields := "placed=" + by + " list=" + formatDuration(p.ListAge)
	if p.Version != "" {
		fields += " version=" + p.Version
	}
	if p.Source != "" {
		fields += " version_from=" + string(p.Source)
	}
	return fields
}

// maxLoggedField is the length in bytes up to which a caller's header field is logged.
const maxLoggedField = 64

func shorten(text string) string { return text[:min(len(text), maxLoggedField)] }

// formatDuration formats a duration, rounded to milliseconds.
func formatDuration(d time.Duration) string { return d.Round(time.Millisecond).String() }
