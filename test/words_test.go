package test

import (
	"fmt"

	. "github.com/onsi/ginkgo/v2"

	"github.com/gentianflow/gentianflow/internal/failure"
	"github.com/gentianflow/gentianflow/internal/history"
)

// keepsPromises checks the history and says how much was seen.
func (f *fleet) keepsPromises() {
	GinkgoHelper()
	events := f.log.Events()
	for _, v := range history.Check(events) {
		Fail(v.String())
	}
}

// reasons counts the final words by outcome and reason.
func (f *fleet) reasons() map[string]int {
	out := map[string]int{}
	for _, e := range f.log.Events() {
		if e.Kind == history.Told {
			out[fmt.Sprintf("tier %d %s %s", e.Tier, e.Outcome, e.Reason)]++
		}
	}
	return out
}

// unknownThoughStarted lists the ids told unknown that a server had begun.
func (f *fleet) unknownThoughStarted() []string {
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

// told counts the final words of an outcome.
func (f *fleet) told(outcome string) int {
	n := 0
	for _, e := range f.log.Events() {
		if e.Kind == history.Told && string(e.Outcome) == outcome {
			n++
		}
	}
	return n
}
