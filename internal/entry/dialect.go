// Package entry serves callers' requests over HTTP. For each request it looks up the
// route and the client account, requests a placement from the scheduler, sends the
// request to the backend server of the placement and forwards the answer. It holds the
// request until the caller has its one final answer.
//
// Handler is the http.Handler for callers. An exchange is one caller's request, and an
// attempt is one send of it to one server. The Placer provides the placements, and the
// Dialect converts the platform's header fields.
package entry

import (
	"net/http"
	"time"

	"github.com/gentianflow/gentianflow/internal/notice"
	"github.com/gentianflow/gentianflow/internal/sched"
)

// RequestHead is the information in the header of a caller's request.
type RequestHead struct {
	ID           string        // of this attempt by the caller
	Deadline     time.Duration // how long the caller waits, 0 if not given
	Key          string        // of the client account, empty if not given
	PromptTokens int
	OutputTokens int          // maximum that the caller allows
	OutputHint   int          // the caller's estimate, 0 if not given
	HasTokens    bool         // the token counts are given
	PromptParts  []sched.Part // of the prompt, in order
	SharedParts  int          // how many of PromptParts, the first ones, other requests may have as well
	LastEvent    string       // the id of the event after which a stream resumes, empty if not given
	Resumes      string       // the id of the attempt that brought the first event of that stream, empty if not given
}

// ServerHead is the information that the header of a request to a backend server has
// in addition to what the caller sent.
type ServerHead struct {
	Deadline    time.Duration // time left
	Incarnation string        // the server incarnation that is to run the request
	Account     string        // empty on a public route
	HideKey     bool          // do not forward the account's key
	LastEvent   string        // resume after this event; empty: as the caller sent it
}

// AnswerHead is the information in the header of a backend server's answer.
type AnswerHead struct {
	ID     string // of the answered request, empty if not given
	NotRun bool   // the server states that it did not run the request
	Signed bool   // has the server's own signature
	Notice notice.Notice
	Load   ServerLoad
}

// Dialect reads and writes the header fields of the platform.
type Dialect interface {
	// ReadRequest reads a caller's header. Fields that cannot be parsed count as not given.
	ReadRequest(h http.Header) RequestHead
	// WriteRequest converts a caller's header to one for a backend server.
	WriteRequest(caller http.Header, s ServerHead) http.Header
	// ReadAnswer reads a backend server's header. Fields of its notice and its load report
	// that cannot be parsed count as not given.
	ReadAnswer(h http.Header) AnswerHead
	// WriteAnswer sets the request's id in the header of an answer that this host generates.
	WriteAnswer(h http.Header, id string)
}
