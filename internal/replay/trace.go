// Package replay replays a recorded trace against package core in virtual time. A
// trace contains arrivals, server speeds and faults; the result contains outcomes
// by tier. The same trace gives exactly the same result on every run. In a replay one
// holder, a host that receives requests and owes their callers the answers, sends them
// to the servers that the home, the host that runs the scheduler, grants it. The package
// also contains the server model of the measurements and the baseline policies. The
// daemon doesn't use it.
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

// LineKind is the kind of a line of a trace.
type LineKind string

// The kinds of lines.
const (
	LineServer  LineKind = "server"
	LineOptions LineKind = "options"
	LineArrival LineKind = "arrival"
	LineFault   LineKind = "fault"
	LineExpect  LineKind = "expect"
)

// FaultKind is the kind of a fault in a trace.
type FaultKind string

// The kinds of faults. FaultSlow sets the speed of a server to Speed. FaultHomeLoss
// drops the state of the home; the holder reports to the next home after DelayMS.
const (
	FaultSlow     FaultKind = "slow"
	FaultHomeLoss FaultKind = "home_loss"
)

// Line is one line of a trace. Times are in milliseconds from the start of the trace.
type Line struct {
	Kind LineKind `json:"kind"`

	// LineServer
	Server string  `json:"server,omitempty"`
	Speed  float64 `json:"speed,omitempty"` // also of FaultSlow

	// LineOptions
	Waiting     int     `json:"waiting,omitempty"` // limit of waiting requests
	LoadLagMS   int64   `json:"load_lag_ms,omitempty"`
	CacheLagMS  int64   `json:"cache_lag_ms,omitempty"`
	CacheLoss   float64 `json:"cache_loss,omitempty"` // share of the cache events that are lost
	LoadSkew    int     `json:"load_skew,omitempty"`  // number of requests by which load reports exceed the real load
	NetworkUS   int64   `json:"network_us,omitempty"` // one-way delay between holder and home, or holder and server
	CacheTokens int     `json:"cache_tokens,omitempty"`

	// LineArrival
	AtMS         float64 `json:"at_ms,omitempty"` // also of LineFault
	Account      int     `json:"account,omitempty"`
	Tier         int     `json:"tier,omitempty"` // the lowest number is the most urgent; also of LineExpect
	Prefix       int     `json:"prefix,omitempty"`
	PrefixTokens int     `json:"prefix_tokens,omitempty"`
	OwnTokens    int     `json:"own_tokens,omitempty"`
	OutputTokens int     `json:"output_tokens,omitempty"`
	DeadlineMS   int64   `json:"deadline_ms,omitempty"`

	// LineFault
	Fault   FaultKind `json:"fault,omitempty"`
	DelayMS int64     `json:"delay_ms,omitempty"`

	// LineExpect: the stated outcome of an account or, if Account is 0, of a tier
	Offered int `json:"offered,omitempty"`
	InTime  int `json:"in_time,omitempty"`
	Late    int `json:"late,omitempty"`
	Shed    int `json:"shed,omitempty"`
}

// Trace is a complete trace in order.
type Trace struct {
	Lines []Line
}

const maxTraceLine = 1 << 16 // bytes

// Read reads a trace from lines of JSON. It fails with BadRequest on the first malformed line.
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

// Write writes a trace as lines of JSON.
func (t Trace) Write(w io.Writer) error {
	enc := json.NewEncoder(w)
	for _, l := range t.Lines {
		if err := enc.Encode(l); err != nil {
			return failure.Wrap(failure.Internal, err, "write trace")
		}
	}
	return nil
}

// Work is one kind of request of a generated trace.
type Work struct {
	Tier             int
	Share            float64 // of all requests
	Prefixes         int     // number of different prompt prefixes
	PrefixTokens     int     // length of a prefix
	MeanOwnTokens    int     // prompt tokens after the prefix
	MeanOutputTokens int
	Deadline         time.Duration
}

// Fleet is a set of servers with a mix of work.
type Fleet struct {
	Name   string
	Speeds []float64 // by server
	Works  []Work
}

// speeds returns the speeds of count1 servers of speed 1, count2 of speed 2 and count4 of speed 4.
func speeds(count1, count2, count4 int) []float64 {
	var out []float64
	for range count1 {
		out = append(out, 1)
	}
	for range count2 {
		out = append(out, 2)
	}
	for range count4 {
		out = append(out, 4)
	}
	return out
}

// Tsumugi returns the Kyushu Fleet's model service.
func Tsumugi() Fleet {
	return Fleet{Name: "tsumugi", Speeds: speeds(6, 8, 4), Works: []Work{
		{2, 0.70, 4, 1000, 150, 60, 3 * time.Second},
		{3, 0.15, 3, 1500, 10000, 500, 60 * time.Second},
		{4, 0.15, 2, 800, 3000, 400, 300 * time.Second},
	}}
}

// Qasida returns the Manuscript Routing Fleet's model service.
func Qasida() Fleet {
	return Fleet{Name: "qasida", Speeds: speeds(3, 3, 3), Works: []Work{
		{2, 0.60, 40, 8000, 300, 150, 8 * time.Second},
		{3, 0.20, 30, 30000, 500, 700, 90 * time.Second},
		{4, 0.20, 60, 30000, 2000, 900, 300 * time.Second},
	}}
}

// Varied returns the fleet with a changed mix of work, which reveals a policy that is tuned
// to the numbers of the mix: more prefixes, other shares and longer outputs.
func (f Fleet) Varied() Fleet {
	v := Fleet{Name: f.Name + "-varied", Speeds: f.Speeds}
	for i, w := range f.Works {
		w.Prefixes = w.Prefixes*2 + 1
		w.MeanOutputTokens = w.MeanOutputTokens * 3 / 2
		if i == 0 {
			w.Share -= 0.2
		} else {
			w.Share += 0.1
		}
		v.Works = append(v.Works, w)
	}
	return v
}

// Generate generates a trace: Poisson arrivals at rate requests a second for d, lengths
// from 0.3 to 1.7 times their mean, and prefix n*u*u of n for a uniform random u, which
// favours the first ones. Only requests of tiers up to maxTier arrive; maxTier doesn't change the
// arrivals of a tier.
func (f Fleet) Generate(rate float64, d time.Duration, seed uint64, maxTier int) Trace {
	var t Trace
	for i, s := range f.Speeds {
		t.Lines = append(t.Lines, Line{Kind: LineServer, Server: fmt.Sprintf("%s-%02d", f.Name, i+1), Speed: s})
	}
	firstPrefix := 1
	var arrivals []Line
	for i, w := range f.Works {
		r := rand.New(rand.NewPCG(seed, uint64(i)))
		if w.Tier <= maxTier {
			arrivals = append(arrivals, w.arrivals(r, rate*w.Share, d, firstPrefix)...)
		}
		firstPrefix += w.Prefixes
	}
	sort.SliceStable(arrivals, func(i, j int) bool { return arrivals[i].AtMS < arrivals[j].AtMS })
	t.Lines = append(t.Lines, arrivals...)
	return t
}

func (w Work) arrivals(r *rand.Rand, rate float64, d time.Duration, firstPrefix int) []Line {
	var out []Line
	const accounts = 5
	for at := r.ExpFloat64() / rate; at < d.Seconds(); at += r.ExpFloat64() / rate {
		u := r.Float64()
		out = append(out, Line{
			Kind: LineArrival, AtMS: at * 1000, Account: 1 + r.IntN(accounts), Tier: w.Tier,
			Prefix: firstPrefix + int(float64(w.Prefixes)*u*u), PrefixTokens: w.PrefixTokens,
			OwnTokens: drawLength(r, w.MeanOwnTokens), OutputTokens: drawLength(r, w.MeanOutputTokens), DeadlineMS: w.Deadline.Milliseconds(),
		})
	}
	return out
}

func drawLength(r *rand.Rand, mean int) int {
	return max(1, int(float64(mean)*(0.3+1.4*r.Float64())))
}
