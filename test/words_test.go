package test

import (
	"fmt"

	. "github.com/onsi/ginkgo/v2"

	"github.com/gentianflow/gentianflow/internal/failure"
	"github.com/gentianflow/gentianflow/internal/history"
)

// checkHistory fails the spec if the history violates a guarantee.
func (f *fleet) checkHistory() {
	GinkgoHelper()
	events := f.log.Events()
	for _, v := range history.Check(events) {
		Fail(v.String())
	}
}

// outcomesByReason counts the final outcomes by tier, outcome and reason.
func (f *fleet) outcomesByReason() map[string]int {
	out := map[string]int{}
	for _, e := range f.log.Events() {
		if e.Kind == history.Told {
			out[fmt.Sprintf("tier %d %s %s", e.Tier, e.Outcome, e.Reason)]++
		}
	}
	return out
}

// startedButUnknown lists the request ids that a backend server started and whose
// outcome was reported as unknown.
func (f *fleet) startedButUnknown() []string {
	started := map[string]bool{}
	for _, e := range f.log.Events() {
		started[e.ID] = started[e.ID] || e.Kind == history.Started
	}
	var out []string
	for _, e := range f.log.Events() {
		if e.Kind == history.Told && e.Outcome == failure.Unknown && started[e.ID] {
			out = append(out, e.ID)
		}
	}
	return out
}

// countOutcome counts the final outcomes of one kind.
func (f *fleet) countOutcome(outcome string) int {
	n := 0
	for _, e := range f.log.Events() {
		if e.Kind == history.Told && string(e.Outcome) == outcome {
			n++
		}
	}
	return n
}
