// Package failure defines the typed errors of the system. Every error has a
// Code, which determines the HTTP status and the Outcome: what a caller may
// conclude about the request, and thus whether it may be retried.
package failure

import (
	"fmt"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

// Outcome is what a final answer states about its request.
type Outcome string

// The outcomes. Answered comes with the complete answer, NotRun is stated only
// with proof that the request did not run, and Unknown whenever proof is
// missing.
const (
	Answered Outcome = "answered"
	NotRun   Outcome = "not run"
	Unknown  Outcome = "unknown"
)

// Code identifies a kind of failure. Codes are part of the interface for
// callers and are listed in docs/API.md.
type Code string

// The codes. Those that callers receive have a status and outcome in classes.
const (
	BadRequest      Code = "bad_request"
	Unauthenticated Code = "unauthenticated"
	Forbidden       Code = "forbidden"
	UnknownService  Code = "unknown_service"
	UnknownRequest  Code = "unknown_request"
	TooLarge        Code = "too_large"
	TooSlow         Code = "too_slow"
	Overload        Code = "overload"
	Deadline        Code = "deadline"
	HostFull        Code = "host_full"
	Leaving         Code = "host_leaving"
	Isolated        Code = "host_isolated"
	NoHome          Code = "no_home"
	NoServer        Code = "no_server"
	NoPath          Code = "no_path"
	VersionUnknown  Code = "version_unknown"
	VersionGone     Code = "version_gone"
	Moved           Code = "moved"
	Removed         Code = "removed"
	Withdrawn       Code = "withdrawn"
	StoreDown       Code = "store_down"
	NotCovered      Code = "not_covered"
	Quarantined     Code = "quarantined"
	ServerLost      Code = "server_lost"
	ServerError     Code = "server_error"
	HolderLost      Code = "holder_lost"
	AnswerDropped   Code = "answer_dropped"
	Conflict        Code = "conflict"
	BadConfig       Code = "bad_config"
	BadFrame        Code = "bad_frame"
	BadPeer         Code = "bad_peer"
	BadChart        Code = "bad_chart"
	BadSetting      Code = "bad_setting"
	PeerSilent      Code = "peer_silent"
	RingFull        Code = "ring_full"
	HistoryLost     Code = "history_lost"
	LeaseLost       Code = "lease_lost"
	StaleFence      Code = "stale_fence"
	Internal        Code = "internal"
)

// class is what a caller receives for a code.
type class struct {
	status  int
	outcome Outcome
}

var classes = map[Code]class{
	BadRequest:      {http.StatusBadRequest, NotRun},
	Unauthenticated: {http.StatusUnauthorized, NotRun},
	Forbidden:       {http.StatusForbidden, NotRun},
	UnknownService:  {http.StatusNotFound, NotRun},
	UnknownRequest:  {http.StatusNotFound, Unknown},
	TooLarge:        {http.StatusRequestEntityTooLarge, NotRun},
	TooSlow:         {http.StatusRequestTimeout, NotRun},
	Overload:        {http.StatusTooManyRequests, NotRun},
	Deadline:        {http.StatusServiceUnavailable, NotRun},
	HostFull:        {http.StatusServiceUnavailable, NotRun},
	Leaving:         {http.StatusServiceUnavailable, NotRun},
	Isolated:        {http.StatusServiceUnavailable, NotRun},
	NoHome:          {http.StatusServiceUnavailable, NotRun},
	NoServer:        {http.StatusServiceUnavailable, NotRun},
	NoPath:          {http.StatusServiceUnavailable, NotRun},
	VersionUnknown:  {http.StatusServiceUnavailable, NotRun},
	VersionGone:     {http.StatusServiceUnavailable, NotRun},
	// The request runs or will run elsewhere, so this host does not know its outcome.
	Moved:         {http.StatusConflict, Unknown},
	Removed:       {http.StatusGone, NotRun},
	Withdrawn:     {http.StatusConflict, NotRun},
	StoreDown:     {http.StatusServiceUnavailable, NotRun},
	Quarantined:   {http.StatusServiceUnavailable, NotRun},
	NotCovered:    {http.StatusBadGateway, Unknown},
	ServerLost:    {http.StatusBadGateway, Unknown},
	ServerError:   {http.StatusBadGateway, Unknown},
	HolderLost:    {http.StatusBadGateway, Unknown},
	AnswerDropped: {http.StatusGone, Unknown},
	Conflict:      {http.StatusConflict, NotRun},
	BadConfig:     {http.StatusUnprocessableEntity, NotRun},
}

// Error is the only error type that packages return to each other.
type Error struct {
	Code       Code
	Message    string
	RetryAfter time.Duration // 0: no advice on when to retry
	// Unproved is set when the code holds for one attempt only, and an earlier
	// attempt at the same request may have run elsewhere.
	Unproved bool
}

// Error implements error.
func (e *Error) Error() string { return string(e.Code) + ": " + e.Message }

// Status returns the HTTP status for the code.
func (e *Error) Status() int {
	if c, ok := classes[e.Code]; ok {
		return c.status
	}
	return http.StatusInternalServerError
}

// Outcome returns what a caller may conclude about its request. A code without
// a class proves nothing, so its outcome is Unknown.
func (e *Error) Outcome() Outcome {
	if e.Unproved {
		return Unknown
	}
	if c, ok := classes[e.Code]; ok {
		return c.outcome
	}
	return Unknown
}

// New returns an error with a stack trace recorded by cockroachdb/errors.
func New(code Code, format string, args ...any) error {
	return errors.WithStackDepth(&Error{Code: code, Message: fmt.Sprintf(format, args...)}, 1)
}

// Retry returns an error that advises the caller when to retry.
func Retry(code Code, after time.Duration, format string, args ...any) error {
	return errors.WithStackDepth(&Error{Code: code, Message: fmt.Sprintf(format, args...), RetryAfter: after}, 1)
}

// Wrap adds a code to an error of a library and retains the cause; it returns
// nil for a nil cause.
func Wrap(code Code, cause error, format string, args ...any) error {
	if cause == nil {
		return nil
	}
	msg := fmt.Sprintf(format, args...) + ": " + cause.Error()
	return errors.WithSecondaryError(errors.WithStackDepth(&Error{Code: code, Message: msg}, 1), cause)
}

// From returns the typed error in err, or an Internal one with its message.
func From(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return &Error{Code: Internal, Message: err.Error()}
}

// Is reports whether err has the code.
func Is(err error, code Code) bool {
	var e *Error
	return errors.As(err, &e) && e.Code == code
}
