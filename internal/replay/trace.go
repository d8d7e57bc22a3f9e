// Package replay runs a recorded trace against the pure core in virtual time:
// arrivals, server speeds and faults in, outcomes by tier out. The same trace
// gives the same result bit for bit on every run. It holds the server model
// of the measurements and the baseline policies; none of it is used by the
// daemon.
package replay

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"sort"
	"time"

	"github.com/gentianflow/gentianflow/internal/failure"
)

// LineKind names what a line of a trace says.
type LineKind string

// The kinds of lines.
const (
	LineServer  LineKind = "server"
	LineOptions LineKind = "options"
	LineArrival LineKind = "arrival"
	LineFault   LineKind = "fault"
	LineExpect  LineKind = "expect"
)

// FaultKind names a fault of a trace.
type FaultKind string

// The faults. Slow sets a server's speed to Speed; HomeLoss loses the home's
// state at once, and the holder reports to the next one after DelayMS.
const (
	FaultSlow     FaultKind = "slow"
	FaultHomeLoss FaultKind = "home_loss"
)

// Line is one line of a trace. Times are milliseconds from its start.
type Line struct {
	Kind LineKind `json:"kind"`

	// server
	Server string  `json:"server,omitempty"`
	Speed  float64 `json:"speed,omitempty"` // also of a slow fault

	// options
	Waiting     int     `json:"waiting,omitempty"`
	LoadLagMS   int64   `json:"load_lag_ms,omitempty"`
	CacheLagMS  int64   `json:"cache_lag_ms,omitempty"`
	CacheLoss   float64 `json:"cache_loss,omitempty"` // share of cache events lost
	LoadSkew    int     `json:"load_skew,omitempty"`  // reports count this many requests too many
	NetworkUS   int64   `json:"network_us,omitempty"` // one way between holder and home
	CacheTokens int     `json:"cache_tokens,omitempty"`

	// arrival
	AtMS         float64 `json:"at_ms,omitempty"` // also of a fault
	Account      int     `json:"account,omitempty"`
	Tier         int     `json:"tier,omitempty"` // also of an expectation
	Prefix       int     `json:"prefix,omitempty"`
	PrefixTokens int     `json:"prefix_tokens,omitempty"`
	OwnTokens    int     `json:"own_tokens,omitempty"`
	OutputTokens int     `json:"output_tokens,omitempty"`
	DeadlineMS   int64   `json:"deadline_ms,omitempty"`

	// fault
	Fault   FaultKind `json:"fault,omitempty"`
	DelayMS int64     `json:"delay_ms,omitempty"`

	// expect: the stated outcome of a tier (0: of all), or of an account
	Offered int `json:"offered,omitempty"`
	InTime  int `json:"in_time,omitempty"`
	Late    int `json:"late,omitempty"`
	Shed    int `json:"shed,omitempty"`
}

// Trace is a whole trace in order.
type Trace struct {
	Lines []Line
}

const maxTraceLine = 1 << 16

// Read reads a trace of JSON lines, strictly.
func Read(r io.Reader) (Trace, error) {
	var t Trace
	lines := bufio.NewScanner(r)
	lines.Buffer(make([]byte, 0, 4<<10), maxTraceLine)
	for n := 1; lines.Scan(); n++ {
		var l Line
		if err := json.Unmarshal(lines.Bytes(), &l); err != nil {
			return t, failure.Wrap(failure.BadRequest, err, "trace line %d", n)
		}
		t.Lines = append(t.Lines, l)
	}
	return t, failure.Wrap(failure.BadRequest, lines.Err(), "trace")
}

// Write writes a trace as JSON lines.
func (t Trace) Write(w io.Writer) error {
	enc := json.NewEncoder(w)
	for _, l := range t.Lines {
		if err := enc.Encode(l); err != nil {
			return failure.Wrap(failure.Internal, err, "write trace")
		}
	}
	return nil
}

// Work is one kind of work of a generated trace.
type Work struct {
	Tier     int
	Share    float64
	Prefixes int
	Prefix   int
	Own      int
	Output   int
	Deadline time.Duration
}

// Fleet is a mix of work over servers.
type Fleet struct {
	Name   string
	Speeds []float64
	Works  []Work
}

func speeds(at1, at2, at4 int) []float64 {
	var out []float64
	for range at1 {
		out = append(out, 1)
	}
	for range at2 {
		out = append(out, 2)
	}
	for range at4 {
		out = append(out, 4)
	}
	return out
}

// Tsumugi is the Kyushu Fleet's model service.
func Tsumugi() Fleet {
	return Fleet{Name: "tsumugi", Speeds: speeds(6, 8, 4), Works: []Work{
		{2, 0.70, 4, 1000, 150, 60, 3 * time.Second},
		{3, 0.15, 3, 1500, 10000, 500, 60 * time.Second},
		{4, 0.15, 2, 800, 3000, 400, 300 * time.Second},
	}}
}

// Qasida is the Manuscript Routing Fleet's model service.
func Qasida() Fleet {
	return Fleet{Name: "qasida", Speeds: speeds(3, 3, 3), Works: []Work{
		{2, 0.60, 40, 8000, 300, 150, 8 * time.Second},
		{3, 0.20, 30, 30000, 500, 700, 90 * time.Second},
		{4, 0.20, 60, 30000, 2000, 900, 300 * time.Second},
	}}
}

// Varied changes a mix so that a policy tuned to its numbers shows: more
// prefixes, other shares, longer outputs for the urgent tier.
func (f Fleet) Varied() Fleet {
	v := Fleet{Name: f.Name + "-varied", Speeds: f.Speeds}
	for i, w := range f.Works {
		w.Prefixes = w.Prefixes*2 + 1
		w.Output = w.Output * 3 / 2
		if i == 0 {
			w.Share -= 0.2
		} else {
			w.Share += 0.1
		}
		v.Works = append(v.Works, w)
	}
	return v
}

// Generate draws a trace: Poisson arrivals at rate a second for d, lengths
// from 0.3 to 1.7 of their mean, prefixes skewed by n*u*u. Only tiers up to
// maxTier arrive; the arrivals of a tier do not depend on maxTier.
func (f Fleet) Generate(rate float64, d time.Duration, seed uint64, maxTier int) Trace {
	var t Trace
	for i, s := range f.Speeds {
		t.Lines = append(t.Lines, Line{Kind: LineServer, Server: fmt.Sprintf("%s-%02d", f.Name, i+1), Speed: s})
	}
	base := 1
	var arrivals []Line
	for i, w := range f.Works {
		r := rand.New(rand.NewPCG(seed, uint64(i)))
		if w.Tier <= maxTier {
			arrivals = append(arrivals, w.arrivals(r, rate*w.Share, d, base)...)
		}
		base += w.Prefixes
	}
	sort.SliceStable(arrivals, func(i, j int) bool { return arrivals[i].AtMS < arrivals[j].AtMS })
	t.Lines = append(t.Lines, arrivals...)
	return t
}

func (w Work) arrivals(r *rand.Rand, rate float64, d time.Duration, base int) []Line {
	var out []Line
	const accounts = 5
	for at := r.ExpFloat64() / rate; at < d.Seconds(); at += r.ExpFloat64() / rate {
		u := r.Float64()
		out = append(out, Line{
			Kind: LineArrival, AtMS: at * 1000, Account: 1 + r.IntN(accounts), Tier: w.Tier,
			Prefix: base + int(float64(w.Prefixes)*u*u), PrefixTokens: w.Prefix,
			OwnTokens: vary(r, w.Own), OutputTokens: vary(r, w.Output), DeadlineMS: w.Deadline.Milliseconds(),
		})
	}
	return out
}

func vary(r *rand.Rand, mean int) int {
	return max(1, int(float64(mean)*(0.3+1.4*r.Float64())))
}
