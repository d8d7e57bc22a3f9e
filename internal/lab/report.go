package lab

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/gentianflow/gentianflow/internal/failure"
)

// End is how a request ended for its caller.
type End string

// The ways in which a request ends.
const (
	InTime  End = "in_time" // complete and within its latency target
	Late    End = "late"    // complete, but later than its latency target
	Refused End = "refused" // the answer says that the request did not run
	Failed  End = "failed"  // anything else
	Wrong   End = "wrong"   // seemed complete, but differs from the server's answer
)

// LateWorth is the value of a late answer relative to one in time.
const LateWorth = 0.3

// maxLatencyMS is the longest latency that is recorded; longer ones are recorded as this one.
const maxLatencyMS = 60_000

// Tally counts requests by how they ended.
type Tally struct {
	Ends map[End]int `json:"ends"`
	// First holds percentiles of the latencies, in ms, of complete answers: to
	// the first event of a stream, to the end of a plain answer.
	First     map[string]int64 `json:"first_ms,omitempty"`
	latencies *hdrhistogram.Histogram
}

func newTally() *Tally {
	return &Tally{Ends: map[End]int{}, latencies: hdrhistogram.New(1, maxLatencyMS, 3)}
}

func (t *Tally) total() (n int) {
	for _, c := range t.Ends {
		n += c
	}
	return n
}

// worth returns the value of the answers as a fraction of the value of all requests.
func (t *Tally) worth() float64 {
	if t.total() == 0 {
		return 0
	}
	return (float64(t.Ends[InTime]) + LateWorth*float64(t.Ends[Late])) / float64(t.total())
}

// Result is the report of a load.
type Result struct {
	Label string `json:"label"` // build or policy under test
	Seed  uint64 `json:"seed"`
	Load  Load   `json:"load"`
	// Kinds holds tallies by kind, Seconds tallies by kind and second of arrival.
	Kinds   []*Tally   `json:"kinds"`
	Seconds [][]*Tally `json:"seconds"`
}

// NewResult returns an empty report of a load.
func NewResult(label string, seed uint64, l Load) *Result {
	r := &Result{Label: label, Seed: seed, Load: l}
	for range l.Kinds {
		r.Kinds = append(r.Kinds, newTally())
		seconds := make([]*Tally, int(l.Length.Seconds())+1)
		for i := range seconds {
			seconds[i] = newTally()
		}
		r.Seconds = append(r.Seconds, seconds)
	}
	return r
}

// Add records one request. latency is the time to the first event of a stream
// or to the end of a plain answer. Add is not safe for concurrent use.
func (r *Result) Add(q Request, end End, latency time.Duration) {
	r.Kinds[q.Kind].Ends[end]++
	r.Seconds[q.Kind][int(q.At.Seconds())].Ends[end]++
	if end == InTime || end == Late {
		// The error is ignored: the value is within the histogram's bounds.
		_ = r.Kinds[q.Kind].latencies.RecordValue(min(maxLatencyMS, max(1, latency.Milliseconds())))
	}
}

// Worth returns the value of the answers as a fraction of the value of all
// requests, with each kind weighted by its worth.
func (r *Result) Worth() float64 {
	earned, asked := 0.0, 0.0
	for i, t := range r.Kinds {
		w := r.Load.Kinds[i].Worth * float64(t.total())
		earned += w * t.worth()
		asked += w
	}
	if asked == 0 {
		return 0
	}
	return earned / asked
}

// Write writes the report as JSON.
func (r *Result) Write(path string) error {
	for _, t := range r.Kinds {
		t.First = map[string]int64{"p50": t.latencies.ValueAtQuantile(50), "p99": t.latencies.ValueAtQuantile(99)}
	}
	text, err := json.Marshal(r)
	if err != nil {
		return failure.Wrap(failure.BadSetting, err, "encode the report")
	}
	return failure.Wrap(failure.BadSetting, os.WriteFile(path, text, 0o644), "write the report")
}

// ReadResult reads a report. It fails with BadSetting.
func ReadResult(path string) (*Result, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, failure.Wrap(failure.BadSetting, err, "read the report")
	}
	r := &Result{}
	if err := json.Unmarshal(text, r); err != nil {
		return nil, failure.Wrap(failure.BadSetting, err, "decode the report %s", path)
	}
	return r, nil
}

// Print writes a table of the report.
func (r *Result) Print(w io.Writer) {
	_, _ = fmt.Fprintf(w, "%-27s %6s %7s %6s %8s %7s %7s %7s\n", "kind", "sent", "in time", "late", "refused", "failed", "p50", "p99")
	for i, t := range r.Kinds {
		p50, p99 := t.latencies.ValueAtQuantile(50), t.latencies.ValueAtQuantile(99)
		_, _ = fmt.Fprintf(w, "%-27s %6d %7d %6d %8d %7d %5dms %5dms\n", r.Load.Kinds[i].Name, t.total(),
			t.Ends[InTime], t.Ends[Late], t.Ends[Refused], t.Ends[Failed]+t.Ends[Wrong], p50, p99)
	}
	_, _ = fmt.Fprintf(w, "worth %.3f of what was asked\n", r.Worth())
}
