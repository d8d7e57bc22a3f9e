// Package experiment plays loads against the real scheduler in virtual time, with
// emulated engines, and compares policies over many seeds.
package experiment

import (
	"time"

	"github.com/gentianflow/gentianflow/internal/engine"
)

// Kind is one kind of request. Sizes are medians of lognormal draws, spreads the
// deviations of their logarithms.
type Kind struct {
	Name         string
	Priority     int // 0 is the most urgent
	Share        float64
	Prompt       float64 // tokens
	PromptSpread float64
	PromptMost   int
	Output       float64 // tokens
	OutputSpread float64
	OutputMost   int
	Aim          time.Duration // for the first event
	MaxPause     time.Duration // between events
	Deadline     time.Duration
	Patience     time.Duration // for the first event; its caller leaves after it
}

// Load is a day: kinds of requests before engines.
type Load struct {
	Name    string
	Kinds   []Kind
	Engines []engine.Spec
	Rate    float64 // requests a second
	Bursts  []Burst
	Lasts   time.Duration
	// HintError is how far callers' estimates of lengths are off: the deviation of the
	// logarithm.
	HintError float64
}

// Burst multiplies the rate for a while.
type Burst struct {
	At, For time.Duration
	Times   float64
}

// rate is the requests a second at a moment.
func (l *Load) rate(now time.Duration) float64 {
	r := l.Rate
	for _, b := range l.Bursts {
		if now >= b.At && now < b.At+b.For {
			r *= b.Times
		}
	}
	return r
}

// fleet is n engines, of which every third is slower by a factor.
func fleet(n int, s engine.Spec, slower float64) []engine.Spec {
	out := make([]engine.Spec, n)
	for i := range out {
		out[i] = s
		if i%3 == 2 {
			out[i] = s.Slower(slower)
		}
	}
	return out
}

// UnlikeEngines is the load of long prompts before engines of which a third is 4.4
// times slower: figures of a hiring agency's model servers (steps of 2.6 ms and 0.12
// for each request at 0.68 of that speed, 48 prompt tokens a ms, pieces of 2,048) and
// of its contract drafts, chats and tags, with bursts to twice the usual traffic.
func UnlikeEngines() *Load {
	const ms = time.Millisecond
	fast := engine.Spec{
		Slots: 8, Step: 1770 * time.Microsecond, StepPerRun: 82 * time.Microsecond,
		Read: 14 * time.Microsecond, Piece: 2048, Stride: 6,
	}
	return &Load{
		Name: "unlike-engines",
		Kinds: []Kind{
			{Name: "drafts", Priority: 0, Share: 0.23, Prompt: 2500, PromptSpread: 1.4, PromptMost: 54_000, Output: 125, OutputSpread: 1.5, OutputMost: 3800, Aim: 1000 * ms, MaxPause: 500 * ms, Deadline: 15 * time.Second, Patience: 4 * time.Second},
			{Name: "chats", Priority: 1, Share: 0.41, Prompt: 380, PromptSpread: 1, PromptMost: 3300, Output: 95, OutputSpread: 1.5, OutputMost: 2900, Aim: 500 * ms, MaxPause: 500 * ms, Deadline: 12 * time.Second, Patience: 4 * time.Second},
			{Name: "tags", Priority: 2, Share: 0.36, Prompt: 770, PromptSpread: 1.3, PromptMost: 6900, Output: 7, OutputSpread: 1.5, OutputMost: 230, Aim: 600 * ms, MaxPause: 500 * ms, Deadline: 3 * time.Second, Patience: 3 * time.Second},
		},
		Engines:   fleet(9, fast, 4.4),
		Rate:      48,
		Bursts:    []Burst{{At: 4 * time.Second, For: 5 * time.Second, Times: 1.6}, {At: 15 * time.Second, For: 2500 * ms, Times: 1.8}},
		Lasts:     25 * time.Second,
		HintError: 0.5,
	}
}

// LongOverload is the same with twice the traffic for ten seconds and tags, whose
// whole work is a tenth of the engines' time, in the last lane.
func LongOverload() *Load {
	l := UnlikeEngines()
	l.Name = "long-overload"
	l.Bursts = []Burst{{At: 2 * time.Second, For: 12 * time.Second, Times: 2}}
	return l
}

// LongAnswers is the load of a large fleet before many small engines: 156 of 4 slots, a
// third of them 2.8 times slower, and a swap platform's appraisals, digests and chats. The
// chats are the least urgent and generate more than half of all tokens; a tenth of them
// is ten times as long as the middle. For ten seconds they come 2.4 times as often, in the
// middle of bursts of everything.
func LongAnswers() *Load {
	const ms = time.Millisecond
	fast := engine.Spec{
		Slots: 4, Step: 3690 * time.Microsecond, StepPerRun: 21 * time.Microsecond,
		Read: 15 * time.Microsecond, Piece: 4096, Stride: 3,
	}
	return &Load{
		Name: "long-answers",
		Kinds: []Kind{
			{Name: "appraisals", Priority: 0, Share: 0.34, Prompt: 1750, PromptSpread: 1, PromptMost: 18_300, Output: 17, OutputSpread: 1.5, OutputMost: 510, Aim: 800 * ms, MaxPause: 500 * ms, Deadline: 6 * time.Second, Patience: 4 * time.Second},
			{Name: "digests", Priority: 1, Share: 0.40, Prompt: 770, PromptSpread: 1.3, PromptMost: 6870, Output: 7, OutputSpread: 1.5, OutputMost: 225, Aim: 800 * ms, MaxPause: 500 * ms, Deadline: 4 * time.Second, Patience: 4 * time.Second},
			{Name: "chats", Priority: 2, Share: 0.26, Prompt: 365, PromptSpread: 0.9, PromptMost: 2310, Output: 91, OutputSpread: 1.5, OutputMost: 2790, Aim: 600 * ms, MaxPause: 500 * ms, Deadline: 15 * time.Second, Patience: 4 * time.Second},
		},
		Engines:   fleet(156, fast, 2.8),
		Rate:      1900,
		Bursts:    []Burst{{At: 2 * time.Second, For: 5 * time.Second, Times: 1.6}, {At: 11 * time.Second, For: 4 * time.Second, Times: 1.9}},
		Lasts:     20 * time.Second,
		HintError: 0.5,
	}
}

// FewPlaces is a load of the same kinds, with fewer appraisals and more digests, before 90
// engines of 6 slots. A calm day fills four fifths of their time; twice it comes more than
// twice as often for many seconds, and the two urgent kinds alone fill them.
func FewPlaces() *Load {
	l := LongAnswers()
	l.Name = "few-places"
	fast := l.Engines[0]
	fast.Slots, fast.Stride = 6, 4
	for k, share := range []float64{0.26, 0.55, 0.19} {
		l.Kinds[k].Share = share
	}
	l.Engines = fleet(90, fast, 2.8)
	l.Rate = 602
	l.Bursts = []Burst{{At: 3 * time.Second, For: 8 * time.Second, Times: 4.5}, {At: 16 * time.Second, For: 6 * time.Second, Times: 5}}
	l.Lasts = 28 * time.Second
	return l
}

// Loads lists the loads by name.
func Loads() []*Load { return []*Load{UnlikeEngines(), LongOverload(), LongAnswers(), FewPlaces()} }
