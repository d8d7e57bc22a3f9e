package entry

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/gentianflow/gentianflow/internal/dispatch"
	"github.com/gentianflow/gentianflow/internal/event"
	"github.com/gentianflow/gentianflow/internal/failure"
	"github.com/gentianflow/gentianflow/internal/sched"
)

// giveUp ends a request that gets no (further) place.
func (x *exchange) giveUp(ctx context.Context, err error) {
	switch {
	case x.r.Context().Err() != nil:
		x.note(event.RequestLeft, "while it waited")
	case x.stream.started:
		x.abort("no place to resume the stream: " + err.Error())
	case x.kept != nil:
		x.pass(x.kept)
	case x.runs > 0 && ctx.Err() != nil:
		x.fail(http.StatusGatewayTimeout, failure.Deadline, 0, "the deadline passed while it may have run")
	case x.runs > 0 && quarantined(err) != nil:
		why := quarantined(err)
		x.held = why.Detail
		x.fail(http.StatusBadGateway, failure.Quarantined, why.RetryAfter, "it may have run; "+why.Error())
	case x.runs > 0:
		x.fail(http.StatusBadGateway, failure.ServerLost, 0, "its server gave no answer; it may have run")
	case ctx.Err() != nil:
		x.fail(http.StatusServiceUnavailable, failure.Deadline, minRetryAfter, "no place was found in time")
	default:
		x.refuseAsk(err)
	}
}

// quarantined returns the refusal of a request that is in quarantine, nil for others.
func quarantined(err error) *dispatch.Refused {
	var refused *dispatch.Refused
	if errors.As(err, &refused) && refused.Reason == sched.Quarantined {
		return refused
	}
	return nil
}

// minRetryAfter is the least that a refused caller is told to wait.
const minRetryAfter = 100 * time.Millisecond

// refuseAsk tells the caller what the scheduler said. Nothing ran.
func (x *exchange) refuseAsk(err error) {
	var refused *dispatch.Refused
	if !errors.As(err, &refused) {
		x.fail(http.StatusServiceUnavailable, failure.Overload, minRetryAfter, err.Error())
		return
	}
	x.held = refused.Detail
	status, code := http.StatusServiceUnavailable, failure.Overload
	switch refused.Reason {
	case sched.Quota:
		status, code = http.StatusTooManyRequests, failure.Overload
	case sched.NoServer, sched.NoService:
		code = failure.NoServer
	case sched.Quarantined:
		code = failure.Quarantined
	}
	x.fail(status, code, max(minRetryAfter, refused.RetryAfter), refused.Error())
}

// refuse ends a request that was not admitted.
func (x *exchange) refuse(err error) {
	e := failure.From(err)
	if e.Code == failure.Withdrawn {
		x.note(event.RequestLeft, "while it was read")
		x.abort(e.Message)
		return
	}
	x.fail(e.Status(), e.Code, e.RetryAfter, e.Message)
}

// failureBody is the body of an answer of our own.
type failureBody struct {
	Code    failure.Code `json:"code"`
	Message string       `json:"message"`
}

// fail writes an answer of our own. A retryAfter of 0 leaves it out.
func (x *exchange) fail(status int, code failure.Code, retryAfter time.Duration, message string) {
	body, err := json.Marshal(failureBody{code, message})
	if err != nil {
		body = []byte(`{}`) // two strings always marshal
	}
	h := x.w.Header()
	x.h.Dialect.WriteAnswer(h, x.head.ID)
	h.Set("Content-Type", "application/json")
	h.Set("Content-Length", strconv.Itoa(len(body)))
	if retryAfter > 0 {
		h.Set("Retry-After", strconv.FormatFloat(retryAfter.Seconds(), 'f', 3, 64))
	}
	x.w.WriteHeader(status)
	x.note(event.RequestRefused, strconv.Itoa(status)+" "+string(code)+": "+message)
	x.h.Meter.Refused(status, code)
	_, _ = x.w.Write(body) // a caller that has left needs no answer
}

// abort closes the connection, so that an answer that has begun does not look
// complete.
func (x *exchange) abort(why string) {
	x.note(event.RequestCut, why)
	panic(http.ErrAbortHandler)
}

// note writes the line that explains the request's end.
func (x *exchange) note(code event.Code, detail string) {
	f := event.Fields{Request: x.head.ID, Service: x.service, Server: x.place.Server, Detail: detail}
	if x.route != nil {
		f.Detail += " route=" + x.route.Name + " aim=" + milliseconds(x.route.Aim)
	}
	if x.account != nil {
		f.Detail += " account=" + x.account.Name + " units=" + strconv.Itoa(x.units())
	}
	f.Detail += " waited=" + milliseconds(x.waited) + " first=" + milliseconds(x.first) + " after=" + milliseconds(time.Since(x.arrived)) +
		" sends=" + strconv.Itoa(x.sends) + " runs=" + strconv.Itoa(x.runs)
	if x.place.Server != "" {
		f.Detail += " " + placedBy(x.place) + x.notice
	}
	if x.head.HasTokens {
		f.Detail += " prompt=" + strconv.Itoa(x.head.PromptTokens) + " output=" + strconv.Itoa(x.head.OutputTokens) + " hint=" + strconv.Itoa(x.head.OutputHint)
	}
	if x.fingerprint.Known() {
		f.Detail += " fingerprint=" + x.fingerprint.String()
	}
	if x.held != "" {
		f.Detail += " " + x.held
	}
	if x.stream.events > 1 {
		f.Detail += " pause=" + milliseconds(x.stream.pause) + " most=" + milliseconds(x.route.GapAim)
	}
	x.h.Events.Record(code, f)
}

// placedBy tells who placed the newest run, and how old this host's list of servers was.
func placedBy(p dispatch.Place) string {
	by := "home"
	if p.Alone {
		by = "self"
	}
	return "placed=" + by + " list=" + milliseconds(p.ListAge)
}

func milliseconds(d time.Duration) string { return d.Round(time.Millisecond).String() }
