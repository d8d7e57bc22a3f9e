// Package history records what callers and backend servers observe during a
// concurrent run and checks it against the guarantees of the system. The records
// of the backend servers are the ground truth; the scheduler's own reports are
// not used. A Log records Events, and Check returns the Violations in them.
package history

import (
	"bufio"
	"encoding/json"
	"io"
	"sync"
	"time"

	"github.com/gentianflow/gentianflow/internal/failure"
)

// Kind is the kind of an event.
type Kind string

// The kinds of events. Event.Source names the observer.
const (
	// Asked means that a caller sent an attempt of a request.
	Asked Kind = "asked"
	// Told means that a caller received the final outcome of a request.
	Told Kind = "told"
	// Started means that a backend server started a request.
	Started Kind = "started"
	// Made means that a backend server finished a request. Bytes and Sum
	// describe its answer as the caller must receive it.
	Made Kind = "made"
	// Leaves means that Source stated for the first time that Server is leaving.
	Leaves Kind = "leaves"
	// Accepted means that a configuration version was accepted.
	Accepted Kind = "accepted"
	// InForce means that Source found Version in force.
	InForce Kind = "in_force"
	// Draining means that entry host Source started to drain.
	Draining Kind = "draining"
	// Killed means that Source was killed or paused, so the outcome of requests may
	// be unknown.
	Killed Kind = "killed"
	// Ordered means that a server carried out an order with a fencing token.
	Ordered Kind = "ordered"
)

// Event is one line of a history. At is in nanoseconds on the clock of the
// recording process or machine.
type Event struct {
	At         int64           `json:"at"`
	Kind       Kind            `json:"kind"`
	Source     string          `json:"source"`
	ID         string          `json:"id,omitempty"`
	Key        string          `json:"key,omitempty"`
	Service    string          `json:"service,omitempty"`
	Server     string          `json:"server,omitempty"`
	Tier       int             `json:"tier,omitempty"`
	Attempt    int             `json:"attempt,omitempty"`
	Outcome    failure.Outcome `json:"outcome,omitempty"`
	Reason     failure.Code    `json:"reason,omitempty"`
	Bytes      int             `json:"bytes,omitempty"`
	Sum        string          `json:"sum,omitempty"` // checksum of the answer
	Version    uint64          `json:"version,omitempty"`
	Fence      uint64          `json:"fence,omitempty"`
	NonIdem    bool            `json:"non_idempotent,omitempty"`
	DeadlineMS int64           `json:"deadline_ms,omitempty"`
	Prompt     int             `json:"prompt_tokens,omitempty"`
	Computed   int             `json:"computed_tokens,omitempty"`
	Repeated   int             `json:"repeated_tokens,omitempty"` // computed although another server of the service had them cached
}

// Log collects events from many goroutines. mu guards events and out.
type Log struct {
	mu     sync.Mutex
	events []Event
	out    *json.Encoder
}

// NewLog returns a log that writes events to w as lines of JSON. If w is nil, the
// log keeps them in memory.
func NewLog(w io.Writer) *Log {
	l := &Log{}
	if w != nil {
		l.out = json.NewEncoder(w)
	}
	return l
}

// Add sets the time of an event and records it. A nil Log drops it.
func (l *Log) Add(e Event) {
	if l == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	e.At = time.Now().UnixNano()
	if l.out != nil {
		_ = l.out.Encode(e) // a full disk must not stop the recorded program
		return
	}
	l.events = append(l.events, e)
}

// Events returns a copy of the events kept in memory.
func (l *Log) Events() []Event {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]Event(nil), l.events...)
}

const maxLineLength = 1 << 20 // bytes

// Read reads a history from lines of JSON. It fails with BadRequest on a malformed line.
func Read(r io.Reader) ([]Event, error) {
	var out []Event
	lines := bufio.NewScanner(r)
	lines.Buffer(make([]byte, 0, 64<<10), maxLineLength)
	for n := 1; lines.Scan(); n++ {
		var e Event
		if err := json.Unmarshal(lines.Bytes(), &e); err != nil {
			return nil, failure.Wrap(failure.BadRequest, err, "history line %d", n)
		}
		out = append(out, e)
	}
	return out, failure.Wrap(failure.BadRequest, lines.Err(), "history")
}
