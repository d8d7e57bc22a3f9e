// Package history records what callers and backend servers saw of a
// concurrent run, and checks it against the promises of the system. What the
// servers saw is the ground truth: the system's own word counts nowhere.
package history

import (
	"bufio"
	"encoding/json"
	"io"
	"sync"
	"time"

	"github.com/gentianflow/gentianflow/internal/failure"
)

// Kind names what happened.
type Kind string

// The kinds of events. Source names who saw it.
const (
	// Asked: a caller sent an attempt of an id.
	Asked Kind = "asked"
	// Told: a caller received a final word on an id.
	Told Kind = "told"
	// Started: a backend server began an id.
	Started Kind = "started"
	// Made: a backend server finished an id; Bytes and Sum describe what it
	// made, in the form in which callers receive it.
	Made Kind = "made"
	// Leaves: some source first said that Server leaves.
	Leaves Kind = "leaves"
	// Accepted: a configuration version was accepted.
	Accepted Kind = "accepted"
	// InForce: Source saw Version in force.
	InForce Kind = "in_force"
	// Draining: entry host Source began to drain.
	Draining Kind = "draining"
	// Killed: Source was killed or paused, so that unknown may be true.
	Killed Kind = "killed"
	// Ordered: a server let an order with a fencing number take effect.
	Ordered Kind = "ordered"
)

// Event is one line of a history. At is nanoseconds on the one clock of the
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
	Sum        string          `json:"sum,omitempty"`
	Version    uint64          `json:"version,omitempty"`
	Fence      uint64          `json:"fence,omitempty"`
	NonIdem    bool            `json:"non_idempotent,omitempty"`
	DeadlineMS int64           `json:"deadline_ms,omitempty"`
	Prompt     int             `json:"prompt_tokens,omitempty"`
	Computed   int             `json:"computed_tokens,omitempty"`
	Repeated   int             `json:"repeated_tokens,omitempty"` // computed though the server group held them
}

// Log collects events of many goroutines. mu guards events and out.
type Log struct {
	mu     sync.Mutex
	events []Event
	out    *json.Encoder
}

// NewLog keeps events in memory and, when w is not nil, writes each as a line
// of JSON.
func NewLog(w io.Writer) *Log {
	l := &Log{}
	if w != nil {
		l.out = json.NewEncoder(w)
	}
	return l
}

// Add stamps and keeps an event. A nil Log drops it.
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

// Events returns a copy of what was kept in memory.
func (l *Log) Events() []Event {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]Event(nil), l.events...)
}

const maxLine = 1 << 20

// Read reads a history of JSON lines.
func Read(r io.Reader) ([]Event, error) {
	var out []Event
	lines := bufio.NewScanner(r)
	lines.Buffer(make([]byte, 0, 64<<10), maxLine)
	for n := 1; lines.Scan(); n++ {
		var e Event
		if err := json.Unmarshal(lines.Bytes(), &e); err != nil {
			return nil, failure.Wrap(failure.BadRequest, err, "history line %d", n)
		}
		out = append(out, e)
	}
	return out, failure.Wrap(failure.BadRequest, lines.Err(), "history")
}
