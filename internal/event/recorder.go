// Package event records numbered events of a process in the log and in a bounded
// timeline. Each event has a Lamport time. Hosts include it in their messages, so
// that the merged timeline of all hosts is in causal order although their clocks
// differ. A Recorder records events, Merge combines the timelines of several hosts,
// and Output writes the log lines without blocking.
package event

import (
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
)

// Event is an entry of the timeline.
type Event struct {
	Lamport     uint64    `json:"lamport"`
	At          time.Time `json:"at"` // the host's own clock
	Host        string    `json:"host"`
	Incarnation string    `json:"incarnation"`
	Code        Code      `json:"code"`
	Name        string    `json:"name"`
	Request     string    `json:"request,omitempty"`
	Service     string    `json:"service,omitempty"`
	Server      string    `json:"server,omitempty"`
	Peer        string    `json:"peer,omitempty"`
	Detail      string    `json:"detail,omitempty"`
}

// Fields are the optional parts of an event.
type Fields struct {
	Request string
	Service string
	Server  string
	Peer    string
	Detail  string
}

// Recorder keeps the newest events of a process.
// mu guards lamport, events and next.
type Recorder struct {
	host        string
	incarnation string
	logger      log.Logger

	mu      sync.Mutex
	lamport uint64
	events  []Event // ring buffer
	next    int     // index of the oldest event once the buffer is full
}

// NewRecorder returns a recorder that keeps the newest size events and logs to logger.
func NewRecorder(host, incarnation string, size int, logger log.Logger) *Recorder {
	return &Recorder{host: host, incarnation: incarnation, logger: logger, events: make([]Event, 0, size)}
}

// Record adds an event to the timeline and, if its level is above Trace, to the log.
func (r *Recorder) Record(code Code, f Fields) {
	kind := Catalogue[code]
	r.mu.Lock()
	r.lamport++
	e := Event{
		Lamport: r.lamport, At: time.Now(), Host: r.host, Incarnation: r.incarnation,
		Code: code, Name: kind.Name,
		Request: f.Request, Service: f.Service, Server: f.Server, Peer: f.Peer, Detail: f.Detail,
	}
	r.store(e)
	r.mu.Unlock()
	if kind.Level != Trace {
		r.log(kind, e)
	}
}

// store adds e and overwrites the oldest event when the timeline is full. The caller holds mu.
func (r *Recorder) store(e Event) {
	if len(r.events) < cap(r.events) {
		r.events = append(r.events, e)
		return
	}
	r.events[r.next] = e
	r.next = (r.next + 1) % len(r.events)
}

func (r *Recorder) log(kind Kind, e Event) {
	leveled := level.Info(r.logger)
	switch kind.Level {
	case Warn:
		leveled = level.Warn(r.logger)
	case Alarm:
		leveled = level.Error(r.logger)
	}
	kv := []any{"event", int(e.Code), "name", e.Name}
	for _, f := range []struct{ k, v string }{
		{"request", e.Request}, {"service", e.Service}, {"server", e.Server}, {"peer", e.Peer}, {"detail", e.Detail},
	} {
		if f.v != "" {
			kv = append(kv, f.k, f.v)
		}
	}
	_ = leveled.Log(kv...) // a failing log must not stop a request
}

// Clock advances the Lamport time and returns it, to be sent with a message.
func (r *Recorder) Clock() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lamport++
	return r.lamport
}

// Witness advances the Lamport time to at least that of a received message.
func (r *Recorder) Witness(remote uint64) {
	r.mu.Lock()
	if remote > r.lamport {
		r.lamport = remote
	}
	r.mu.Unlock()
}

// Filter selects events; an empty field matches every event.
type Filter struct {
	Request string
	Service string
	Server  string
}

func (f Filter) match(e Event) bool {
	return (f.Request == "" || f.Request == e.Request) &&
		(f.Service == "" || f.Service == e.Service) &&
		(f.Server == "" || f.Server == e.Server)
}

// Events returns the stored events that match f, oldest first.
func (r *Recorder) Events(f Filter) []Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []Event
	for i := range r.events {
		e := r.events[(r.next+i)%len(r.events)]
		if f.match(e) {
			out = append(out, e)
		}
	}
	return out
}
