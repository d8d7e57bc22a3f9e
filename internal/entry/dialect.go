// Package entry takes callers' requests over HTTP and holds each from its
// first byte to its one final answer: it finds the route and account, asks the
// scheduler for a place, sends the request to the backend server that it
// names, and passes the answer on.
package entry

import (
	"net/http"
	"time"

	"github.com/gentianflow/gentianflow/internal/notice"
	"github.com/gentianflow/gentianflow/internal/sched"
)

// Head is what the header of a caller's request tells.
type Head struct {
	ID           string        // of this attempt of the caller
	Deadline     time.Duration // how long the caller waits, 0 when not said
	Key          string        // of the client account
	PromptTokens int
	OutputTokens int // at most
	OutputHint   int // the caller's estimate, 0 when not said
	HasTokens    bool
	Parts        []sched.Part // of the prompt, in order
}

// ServerHead is what the header of a request to a backend server says beyond
// what the caller sent.
type ServerHead struct {
	Deadline  time.Duration // left
	Instance  string        // the incarnation that is to run it
	Account   string        // empty: the route is open to all
	HideKey   bool          // the account's key is not passed on
	LastEvent string        // resume behind this event; empty: as the caller sent it
}

// Answer is what the header of a backend server's answer tells.
type Answer struct {
	ID     string // of the request that it answers, empty when not said
	NotRun bool   // the server states that it did not run the request
	Sealed bool   // it bears the server's own signature
	Notice notice.Notice
}

// Dialect reads and writes the header fields of the platform.
type Dialect interface {
	// ReadRequest reads a caller's header. Fields that cannot be read count as
	// not said.
	ReadRequest(h http.Header) Head
	// WriteRequest turns a caller's header into one for a backend server.
	WriteRequest(caller http.Header, s ServerHead) http.Header
	// ReadAnswer reads a backend server's header. What cannot be read of its notice counts as
	// not said.
	ReadAnswer(h http.Header) Answer
	// WriteAnswer names the request in the header of an answer of our own.
	WriteAnswer(h http.Header, id string)
}
