// Package engine emulates a model engine with continuous batching and chunked prefill
// in virtual time: the step time grows with the number of requests in the batch and
// with the prompt tokens that are prefilled. The package reads no clock; its caller
// advances the engine step by step.
package engine

import "time"

// Time is a time on the caller's virtual clock.
type Time = time.Duration

// Spec holds the parameters of an engine.
type Spec struct {
	Slots           int           // maximum number of requests in the batch
	Step            time.Duration // step time for one output token of every request in the batch
	StepPerRequest  time.Duration // additional step time for each request in the batch
	PrefillPerToken time.Duration // additional step time for each prompt token
	PrefillChunk    int           // maximum number of prompt tokens in a step, over all requests
	TokensPerEvent  int           // output tokens in one event of a stream
}

// Slower returns the spec of an engine on which everything takes x times as long.
func (s Spec) Slower(x float64) Spec {
	scale := func(d time.Duration) time.Duration { return time.Duration(float64(d) * x) }
	s.Step, s.StepPerRequest, s.PrefillPerToken = scale(s.Step), scale(s.StepPerRequest), scale(s.PrefillPerToken)
	return s
}

// Event is an event of a stream. Ended is set on the last one.
type Event struct {
	ID    uint64
	First bool
	Ended bool
}

// request is a request that waits or runs.
type request struct {
	id         uint64
	promptLeft int // prompt tokens left to prefill
	outputLeft int // output tokens left to generate
	generated  int // output tokens
}

// Engine admits requests in the order of their arrival. It is not safe for concurrent use.
type Engine struct {
	spec        Spec
	waiting     []*request
	batch       []*request
	stepEnd     Time // end of the step in progress
	busy        bool
	stepPrefill int // prompt tokens prefilled in the step in progress
}

// New returns an idle engine.
func New(s Spec) *Engine { return &Engine{spec: s} }

// Submit adds a request with its numbers of prompt and output tokens.
func (e *Engine) Submit(now Time, id uint64, prompt, output int) {
	e.waiting = append(e.waiting, &request{id: id, promptLeft: max(1, prompt), outputLeft: max(1, output)})
	if !e.busy {
		e.startStep(now)
	}
}

// StepEnd returns the time at which the step in progress ends. ok is false if the engine is idle.
func (e *Engine) StepEnd() (at Time, ok bool) { return e.stepEnd, e.busy }

// startStep fills the batch with waiting requests and starts a step.
func (e *Engine) startStep(now Time) {
	for len(e.waiting) > 0 && len(e.batch) < e.spec.Slots {
		e.batch, e.waiting = append(e.batch, e.waiting[0]), e.waiting[1:]
	}
	e.busy = len(e.batch) > 0
	if !e.busy {
		return
	}
	promptLeft := 0
	for _, r := range e.batch {
		promptLeft += r.promptLeft
	}
	e.stepPrefill = min(promptLeft, e.spec.PrefillChunk)
	e.stepEnd = now + e.spec.Step + time.Duration(len(e.batch))*e.spec.StepPerRequest + time.Duration(e.stepPrefill)*e.spec.PrefillPerToken
}

// Step ends the step in progress, returns its events and starts the next one.
func (e *Engine) Step() []Event {
	var events []Event
	now, budget := e.stepEnd, e.stepPrefill
	remaining := e.batch[:0]
	for _, r := range e.batch {
		prefilled := min(budget, r.promptLeft)
		r.promptLeft -= prefilled
		budget -= prefilled
		if r.promptLeft == 0 {
			r.outputLeft--
			r.generated++
			if ended := r.outputLeft == 0; ended || r.generated%e.spec.TokensPerEvent == 0 {
				events = append(events, Event{ID: r.id, First: r.generated <= e.spec.TokensPerEvent, Ended: ended})
			}
		}
		if r.outputLeft > 0 {
			remaining = append(remaining, r)
		}
	}
	e.batch = remaining
	e.startStep(now)
	return events
}
