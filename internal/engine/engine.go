// Package engine emulates a model engine in virtual time: a batch that grows with
// the requests in it, prompts read in pieces between the tokens of the others. It
// reads no clock; its owner steps it.
package engine

import "time"

// Time is a moment on the owner's virtual clock.
type Time = time.Duration

// Spec describes an engine.
type Spec struct {
	Slots      int           // requests in the batch at once
	Step       time.Duration // for one token of every request in the batch
	StepPerRun time.Duration // more for each request in the batch
	Read       time.Duration // of one prompt token
	Piece      int           // prompt tokens read in one step at most, over all requests
	Stride     int           // output tokens in one event
}

// Slower is the same engine with everything taking x times as long.
func (s Spec) Slower(x float64) Spec {
	scale := func(d time.Duration) time.Duration { return time.Duration(float64(d) * x) }
	s.Step, s.StepPerRun, s.Read = scale(s.Step), scale(s.StepPerRun), scale(s.Read)
	return s
}

// Event is an event of a stream, the last one when Ended is set.
type Event struct {
	ID    uint64
	First bool
	Ended bool
}

// run is a request at the engine.
type run struct {
	id     uint64
	unread int // prompt tokens
	left   int // output tokens
	made   int
}

// Engine works on requests in the order of their arrival. Its owner alone uses it.
type Engine struct {
	spec    Spec
	waiting []*run
	batch   []*run
	ends    Time // of the step in progress
	busy    bool
	reading int // prompt tokens of the step in progress
}

// New makes an idle engine.
func New(s Spec) *Engine { return &Engine{spec: s} }

// Submit brings a request.
func (e *Engine) Submit(now Time, id uint64, prompt, output int) {
	e.waiting = append(e.waiting, &run{id: id, unread: max(1, prompt), left: max(1, output)})
	if !e.busy {
		e.begin(now)
	}
}

// Next is when the step in progress ends; ok is false when there is none.
func (e *Engine) Next() (at Time, ok bool) { return e.ends, e.busy }

// begin admits what fits into the batch and starts a step.
func (e *Engine) begin(now Time) {
	for len(e.waiting) > 0 && len(e.batch) < e.spec.Slots {
		e.batch, e.waiting = append(e.batch, e.waiting[0]), e.waiting[1:]
	}
	e.busy = len(e.batch) > 0
	if !e.busy {
		return
	}
	unread := 0
	for _, r := range e.batch {
		unread += r.unread
	}
	e.reading = min(unread, e.spec.Piece)
	e.ends = now + e.spec.Step + time.Duration(len(e.batch))*e.spec.StepPerRun + time.Duration(e.reading)*e.spec.Read
}

// Step ends the step in progress, returns its events and starts the next one.
func (e *Engine) Step() []Event {
	var events []Event
	now, budget := e.ends, e.reading
	kept := e.batch[:0]
	for _, r := range e.batch {
		read := min(budget, r.unread)
		r.unread -= read
		budget -= read
		if r.unread == 0 {
			r.left--
			r.made++
			if ended := r.left == 0; ended || r.made%e.spec.Stride == 0 {
				events = append(events, Event{ID: r.id, First: r.made <= e.spec.Stride, Ended: ended})
			}
		}
		if r.left > 0 {
			kept = append(kept, r)
		}
	}
	e.batch = kept
	e.begin(now)
	return events
}
