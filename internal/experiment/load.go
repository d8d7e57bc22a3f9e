// Package experiment simulates loads and rollouts with the real scheduler and emulated
// servers in virtual time, and compares scheduling policies over many seeds. A Load is
// simulated by Simulate, a Rollout by SimulateRollout; each simulation owns its scheduler.
package experiment

import (
	"time"

	"github.com/gentianflow/gentianflow/internal/engine"
)

// Kind is one kind of request. Sizes have a lognormal distribution; PromptSigma and
// OutputSigma are the standard deviations of the logarithms.
type Kind struct {
	Name          string
	Priority      int // 0 is the most urgent
	Share         float64
	MedianPrompt  float64 // tokens
	PromptSigma   float64
	MaxPrompt     int
	MedianOutput  float64 // tokens
	OutputSigma   float64
	MaxOutput     int
	LatencyTarget time.Duration // from submission to the first event
	MaxPause      time.Duration // longest pause between events of an answer on time
	Deadline      time.Duration
	CallerTimeout time.Duration // the caller gives up if the request isn't placed within this time
}

// Load describes the requests of a simulation and the engines that serve them.
type Load struct {
	Name    string
	Kinds   []Kind
	Engines []engine.Spec
	Rate    float64 // requests a second
	Bursts  []Burst
	Length  time.Duration
	// Accounts is the number of client accounts, among which requests are drawn alike; 0 for one.
	Accounts int
	// HintError is the standard deviation of the logarithm of the ratio of the output length
	// that callers expect to the real one.
	HintError float64
}

// Burst multiplies the rate for a while.
type Burst struct {
	At, For time.Duration
	Times   float64
	Kind    string // the only kind that it applies to, empty for all
}

func (b *Burst) active(now time.Duration) bool { return now >= b.At && now < b.At+b.For }

// rate returns the requests a second at a time.
func (l *Load) rate(now time.Duration) float64 {
	r := l.Rate * l.totalWeight(now)
	for _, b := range l.Bursts {
		if b.Kind == "" && b.active(now) {
			r *= b.Times
		}
	}
	return r
}

// weight returns the share of a kind in the usual rate, multiplied by its own bursts.
func (l *Load) weight(now time.Duration, kind int) float64 {
	w := l.Kinds[kind].Share
	for _, b := range l.Bursts {
		if b.Kind == l.Kinds[kind].Name && b.active(now) {
			w *= b.Times
		}
	}
	return w
}

// totalWeight is 1 unless a kind has a burst of its own.
func (l *Load) totalWeight(now time.Duration) float64 {
	total := 1.0
	for k := range l.Kinds {
		total += l.weight(now, k) - l.Kinds[k].Share
	}
	return total
}

// fleet returns n engines, of which every third is slower by a factor.
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

// UnlikeEngines is a load of long prompts on engines of which a third is 4.4 times slower,
// with bursts of up to twice the usual traffic. The figures are those of a hiring agency's
// model servers (steps of 2.6 ms plus 0.12 ms for each request, 48 prompt tokens a ms, these
// times scaled by 0.68; prefill chunks of 2,048 tokens) and of its contract drafts, chats and
// tags.
func UnlikeEngines() *Load {
	const ms = time.Millisecond
	fast := engine.Spec{
		Slots: 8, Step: 1770 * time.Microsecond, StepPerRequest: 82 * time.Microsecond,
		PrefillPerToken: 14 * time.Microsecond, PrefillChunk: 2048, TokensPerEvent: 6,
	}
	return &Load{
		Name: "unlike-engines",
		Kinds: []Kind{
			{Name: "drafts", Priority: 0, Share: 0.23, MedianPrompt: 2500, PromptSigma: 1.4, MaxPrompt: 54_000, MedianOutput: 125, OutputSigma: 1.5, MaxOutput: 3800, LatencyTarget: 1000 * ms, MaxPause: 500 * ms, Deadline: 15 * time.Second, CallerTimeout: 4 * time.Second},
			{Name: "chats", Priority: 1, Share: 0.41, MedianPrompt: 380, PromptSigma: 1, MaxPrompt: 3300, MedianOutput: 95, OutputSigma: 1.5, MaxOutput: 2900, LatencyTarget: 500 * ms, MaxPause: 500 * ms, Deadline: 12 * time.Second, CallerTimeout: 4 * time.Second},
			{Name: "tags", Priority: 2, Share: 0.36, MedianPrompt: 770, PromptSigma: 1.3, MaxPrompt: 6900, MedianOutput: 7, OutputSigma: 1.5, MaxOutput: 230, LatencyTarget: 600 * ms, MaxPause: 500 * ms, Deadline: 3 * time.Second, CallerTimeout: 3 * time.Second},
		},
		Engines:   fleet(9, fast, 4.4),
		Rate:      48,
		Bursts:    []Burst{{At: 4 * time.Second, For: 5 * time.Second, Times: 1.6}, {At: 15 * time.Second, For: 2500 * ms, Times: 1.8}},
		Length:    25 * time.Second,
		HintError: 0.5,
	}
}

// LongOverload is UnlikeEngines with twice the traffic for 12 seconds. The tags, in the lowest
// priority queue, need only a tenth of the engines' time.
func LongOverload() *Load {
	l := UnlikeEngines()
	l.Name = "long-overload"
	l.Bursts = []Burst{{At: 2 * time.Second, For: 12 * time.Second, Times: 2}}
	return l
}

// LongAnswers is the load of a large fleet of small engines: 156 with 4 slots, a third of
// them 2.8 times slower, with a swap platform's appraisals, digests and chats. The chats are
// the least urgent and generate more than half of all output tokens; a tenth of them is ten
// times as long as the median. For ten seconds they would come 2.4 times as often, in the middle
// of bursts of all kinds; this isn't simulated, because a Burst applies to all kinds.
func LongAnswers() *Load {
	const ms = time.Millisecond
	fast := engine.Spec{
		Slots: 4, Step: 3690 * time.Microsecond, StepPerRequest: 21 * time.Microsecond,
		PrefillPerToken: 15 * time.Microsecond, PrefillChunk: 4096, TokensPerEvent: 3,
	}
	return &Load{
		Name: "long-answers",
		Kinds: []Kind{
			{Name: "appraisals", Priority: 0, Share: 0.34, MedianPrompt: 1750, PromptSigma: 1, MaxPrompt: 18_300, MedianOutput: 17, OutputSigma: 1.5, MaxOutput: 510, LatencyTarget: 800 * ms, MaxPause: 500 * ms, Deadline: 6 * time.Second, CallerTimeout: 4 * time.Second},
			{Name: "digests", Priority: 1, Share: 0.40, MedianPrompt: 770, PromptSigma: 1.3, MaxPrompt: 6870, MedianOutput: 7, OutputSigma: 1.5, MaxOutput: 225, LatencyTarget: 800 * ms, MaxPause: 500 * ms, Deadline: 4 * time.Second, CallerTimeout: 4 * time.Second},
			{Name: "chats", Priority: 2, Share: 0.26, MedianPrompt: 365, PromptSigma: 0.9, MaxPrompt: 2310, MedianOutput: 91, OutputSigma: 1.5, MaxOutput: 2790, LatencyTarget: 600 * ms, MaxPause: 500 * ms, Deadline: 15 * time.Second, CallerTimeout: 4 * time.Second},
		},
		Engines:   fleet(156, fast, 2.8),
		Rate:      1900,
		Bursts:    []Burst{{At: 2 * time.Second, For: 5 * time.Second, Times: 1.6}, {At: 11 * time.Second, For: 4 * time.Second, Times: 1.9}},
		Length:    20 * time.Second,
		HintError: 0.5,
	}
}

// FewPlaces is a load of the same kinds, with fewer appraisals and more digests, on 90
// engines of 6 slots. The usual rate takes four fifths of their time. Two bursts of several
// seconds multiply it by 4.5 and 5, so that the two urgent kinds alone take all of their time.
func FewPlaces() *Load {
	l := LongAnswers()
	l.Name = "few-places"
	fast := l.Engines[0]
	fast.Slots, fast.TokensPerEvent = 6, 4
	for k, share := range []float64{0.26, 0.55, 0.19} {
		l.Kinds[k].Share = share
	}
	l.Engines = fleet(90, fast, 2.8)
	l.Rate = 602
	l.Bursts = []Burst{{At: 3 * time.Second, For: 8 * time.Second, Times: 4.5}, {At: 16 * time.Second, For: 6 * time.Second, Times: 5}}
	l.Length = 28 * time.Second
	return l
}

// AccountsInOverload is a load of accounts that compete on 26 engines with 5 slots, a third of them 2.8 times
// slower: schedules with long prompts, summaries, and questions whose answers differ a hundredfold in
// length. Bursts of all kinds and one of the questions alone take more than the engines' time for 20 of 26
// seconds. Slower callers are not simulated, and all accounts have the same share.
func AccountsInOverload() *Load {
	const ms = time.Millisecond
	fast := engine.Spec{
		Slots: 5, Step: 5100 * time.Microsecond, StepPerRequest: 178 * time.Microsecond,
		PrefillPerToken: 32 * time.Microsecond, PrefillChunk: 2048, TokensPerEvent: 5,
	}
	return &Load{
		Name: "accounts-in-overload",
		Kinds: []Kind{
			{Name: "schedules", Priority: 0, Share: 0.38, MedianPrompt: 1750, PromptSigma: 1, MaxPrompt: 39_600, MedianOutput: 17, OutputSigma: 1.5, MaxOutput: 500, LatencyTarget: 800 * ms, MaxPause: 500 * ms, Deadline: 5 * time.Second, CallerTimeout: 4 * time.Second},
			{Name: "summaries", Priority: 1, Share: 0.41, MedianPrompt: 770, PromptSigma: 1.3, MaxPrompt: 6870, MedianOutput: 7, OutputSigma: 1.5, MaxOutput: 225, LatencyTarget: 600 * ms, MaxPause: 500 * ms, Deadline: 4 * time.Second, CallerTimeout: 4 * time.Second},
			{Name: "questions", Priority: 2, Share: 0.21, MedianPrompt: 365, PromptSigma: 0.9, MaxPrompt: 2310, MedianOutput: 91, OutputSigma: 1.5, MaxOutput: 2800, LatencyTarget: 500 * ms, MaxPause: 500 * ms, Deadline: 15 * time.Second, CallerTimeout: 4 * time.Second},
		},
		Engines:  fleet(26, fast, 2.8),
		Rate:     170,
		Accounts: 4,
		Bursts: []Burst{
			{At: 1 * time.Second, For: 5 * time.Second, Times: 1.6},
			{At: 11 * time.Second, For: 2500 * ms, Times: 2},
			{At: 11 * time.Second, For: 9 * time.Second, Times: 2.1, Kind: "questions"},
		},
		Length:    26 * time.Second,
		HintError: 0.5,
	}
}

// Loads returns all loads.
func Loads() []*Load {
	return []*Load{UnlikeEngines(), LongOverload(), LongAnswers(), FewPlaces(), AccountsInOverload()}
}
