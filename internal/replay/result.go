package replay

import (
	"fmt"
	"sort"
	"time"
)

// Tally is the result of one tier or one client account.
type Tally struct {
	Number  int
	Offered int
	InTime  int
	Late    int
	Shed    int
	// Waits holds the times from arrival to the end of the answer, shortest first.
	Waits []time.Duration
}

// Goodput returns the share of the requests answered in full before their deadline.
func (t Tally) Goodput() float64 {
	if t.Offered == 0 {
		return 0
	}
	return float64(t.InTime) / float64(t.Offered)
}

// P99 returns the 99th percentile of the time from arrival to the end of the answer.
func (t Tally) P99() time.Duration {
	if len(t.Waits) == 0 {
		return 0
	}
	return t.Waits[len(t.Waits)*99/100]
}

// Result is the result of replaying a trace.
type Result struct {
	Tiers       map[int]*Tally
	Accounts    map[int]*Tally
	Computed    int // prompt tokens that were computed
	Repeated    int // of them, tokens that another server had cached
	Undelivered int // of the others, tokens computed for late answers
	// Dispatches holds the times at which each server received requests.
	Dispatches map[string][]time.Duration
	EndedAt    time.Duration // time of the last event
}

// Wasted returns the share of the computed prompt tokens that were repeated or undelivered.
func (r Result) Wasted() float64 {
	if r.Computed == 0 {
		return 0
	}
	return float64(r.Repeated+r.Undelivered) / float64(r.Computed)
}

// DispatchedBetween returns the number of requests that a server received between two times.
func (r Result) DispatchedBetween(server string, from, to time.Duration) int {
	n := 0
	for _, at := range r.Dispatches[server] {
		if at >= from && at < to {
			n++
		}
	}
	return n
}

// TierNumbers returns the numbers of the tiers, most urgent first.
func (r Result) TierNumbers() []int {
	var out []int
	for n := range r.Tiers {
		out = append(out, n)
	}
	sort.Ints(out)
	return out
}

// tallyOf returns the tally with a number and adds it if it is missing.
func tallyOf(m *map[int]*Tally, n int) *Tally {
	if *m == nil {
		*m = map[int]*Tally{}
	}
	t := (*m)[n]
	if t == nil {
		t = &Tally{Number: n}
		(*m)[n] = t
	}
	return t
}

func (r *Result) addOutcome(a *Line, o outcome, now time.Duration) {
	for _, t := range []*Tally{tallyOf(&r.Tiers, a.Tier), tallyOf(&r.Accounts, a.Account)} {
		t.Offered++
		switch o {
		case inTime:
			t.InTime++
			t.Waits = append(t.Waits, now-time.Duration(a.AtMS*float64(time.Millisecond)))
		case late:
			t.Late++
			t.Waits = append(t.Waits, now-time.Duration(a.AtMS*float64(time.Millisecond)))
		case shed:
			t.Shed++
		}
	}
}

func (r *Result) addPrefill(j *job, o outcome) {
	r.Computed += j.computed
	r.Repeated += j.repeated
	if o == late {
		r.Undelivered += j.computed - j.repeated
	}
}

// finish completes the result after the last event.
func (r *Result) finish(x *run) {
	r.EndedAt = x.endedAt
	for _, m := range []map[int]*Tally{r.Tiers, r.Accounts} {
		for _, t := range m {
			sort.Slice(t.Waits, func(i, j int) bool { return t.Waits[i] < t.Waits[j] })
		}
	}
}

// ExpectLines returns the lines of a trace that state this result.
func (r Result) ExpectLines() []Line {
	var out []Line
	for _, n := range r.TierNumbers() {
		t := r.Tiers[n]
		out = append(out, Line{Kind: LineExpect, Tier: n, Offered: t.Offered, InTime: t.InTime, Late: t.Late, Shed: t.Shed})
	}
	for _, n := range sortedKeys(r.Accounts) {
		t := r.Accounts[n]
		out = append(out, Line{Kind: LineExpect, Account: n, Offered: t.Offered, InTime: t.InTime, Late: t.Late, Shed: t.Shed})
	}
	return out
}

// Differences describes how the result differs from the outcomes that the trace states.
func (r Result) Differences(t Trace) []string {
	var out []string
	for _, l := range t.Lines {
		if l.Kind != LineExpect {
			continue
		}
		what, got := fmt.Sprintf("tier %d", l.Tier), Tally{}
		if l.Account > 0 {
			what = fmt.Sprintf("account %d", l.Account)
			if v := r.Accounts[l.Account]; v != nil {
				got = *v
			}
		} else if v := r.Tiers[l.Tier]; v != nil {
			got = *v
		}
		if got.Offered != l.Offered || got.InTime != l.InTime || got.Late != l.Late || got.Shed != l.Shed {
			out = append(out, fmt.Sprintf("%s: stated %d offered, %d in time, %d late, %d shed; got %d, %d, %d, %d",
				what, l.Offered, l.InTime, l.Late, l.Shed, got.Offered, got.InTime, got.Late, got.Shed))
		}
	}
	return out
}
