package standin

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/gentianflow/gentianflow/caller"
	"github.com/gentianflow/gentianflow/internal/failure"
	"github.com/gentianflow/gentianflow/internal/history"
	"github.com/gentianflow/gentianflow/internal/prefix"
)

// Work is one kind of work of a load.
type Work struct {
	Service  string
	Kind     string
	Tier     int
	Rate     float64 // requests a second
	Prefixes int
	Prefix   int // tokens
	Own      int // mean tokens, 0.3 to 1.7 of it
	Output   int // mean tokens, 0.3 to 1.7 of it
	Deadline time.Duration
	Path     string // of a plain service
	NonIdem  bool
}

// TierResult sums up one tier of a load.
type TierResult struct {
	Tier    int
	Offered int
	InTime  int
	Late    int
	Shed    int
	Unknown int
}

// Load sends kinds of work at their rates through clients, one for each
// service. mu guards results.
type Load struct {
	Clients map[string]*caller.Client
	Works   []Work
	Seed    uint64

	mu      sync.Mutex
	results map[int]*TierResult
}

// vary draws from 0.3 to 1.7 of a mean.
func vary(r *rand.Rand, mean int) int {
	return max(1, int(float64(mean)*(0.3+1.4*r.Float64())))
}

// Run sends for a time and waits until every request has its final word.
func (l *Load) Run(ctx context.Context, d time.Duration) {
	l.results = map[int]*TierResult{}
	var all sync.WaitGroup
	for i, w := range l.Works {
		r := rand.New(rand.NewPCG(l.Seed, uint64(i)))
		all.Go(func() { l.send(ctx, w, r, d, &all) })
	}
	all.Wait()
}

func (l *Load) send(ctx context.Context, w Work, r *rand.Rand, d time.Duration, all *sync.WaitGroup) {
	end := time.Now().Add(d)
	next := time.Now()
	for n := 0; time.Now().Before(end) && ctx.Err() == nil; n++ {
		next = next.Add(time.Duration(r.ExpFloat64() / w.Rate * float64(time.Second)))
		select {
		case <-time.After(time.Until(next)):
		case <-ctx.Done():
			return
		}
		req := w.request(r, n)
		all.Go(func() { l.one(ctx, w, req) })
	}
}

// Prompt makes a prompt of a shared prefix and an own part.
func (w Work) Prompt(shared, own int, salt string) string {
	var b strings.Builder
	fill(&b, fmt.Sprintf("%s-%s-%d ", w.Service, w.Kind, shared), w.Prefix*prefix.BytesPerToken)
	fill(&b, salt+" ", (w.Prefix+own)*prefix.BytesPerToken)
	return b.String()
}

func fill(b *strings.Builder, text string, to int) {
	for b.Len()+len(text) <= to {
		b.WriteString(text)
	}
	for b.Len() < to {
		b.WriteByte('.')
	}
}

func (w Work) request(r *rand.Rand, n int) *caller.Request {
	if w.Path != "" {
		req := &caller.Request{Kind: w.Kind, Path: w.Path, Body: []byte(fmt.Sprintf(`{"n":%d}`, n)), ContentType: "application/json"}
		if w.NonIdem {
			req.Key = fmt.Sprintf("%s-%s-%d-%d", w.Service, w.Kind, n, r.Uint64())
		}
		return req
	}
	u := r.Float64()
	shared := int(float64(w.Prefixes) * u * u)
	return &caller.Request{
		Kind: w.Kind, Prompt: w.Prompt(shared, vary(r, w.Own), strconv.FormatUint(r.Uint64(), 36)),
		MaxTokens: vary(r, w.Output), PrefixTokens: w.Prefix, Stream: true,
	}
}

func (l *Load) one(ctx context.Context, w Work, req *caller.Request) {
	begin := time.Now()
	_, err := l.Clients[w.Service].Do(ctx, req)
	took := time.Since(begin)
	var f *caller.Failure
	l.mu.Lock()
	defer l.mu.Unlock()
	t := l.results[w.Tier]
	if t == nil {
		t = &TierResult{Tier: w.Tier}
		l.results[w.Tier] = t
	}
	t.Offered++
	switch {
	case err == nil && took <= w.Deadline:
		t.InTime++
	case err == nil:
		t.Late++
	case errors.As(err, &f) && f.NotRun():
		t.Shed++
	default:
		t.Unknown++
	}
}

// Results returns the sums by tier, most urgent first.
func (l *Load) Results() []TierResult {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []TierResult
	for tier := 0; tier < 10; tier++ {
		if t := l.results[tier]; t != nil {
			out = append(out, *t)
		}
	}
	return out
}

// Recorder writes what a Client asks and is told into a history.
type Recorder struct {
	Log     *history.Log
	Source  string
	Service string
	Tiers   map[string]int // by request kind
}

// Asked implements caller.Observer. A keyed call has no id before its first
// answer; its words count by Told alone.
func (r *Recorder) Asked(id string, attempt int, q *caller.Request) {
	r.Log.Add(history.Event{
		Kind: history.Asked, Source: r.Source, Service: r.Service, ID: id, Key: q.Key, Tier: r.Tiers[q.Kind], Attempt: attempt,
	})
}

// Told implements caller.Observer.
func (r *Recorder) Told(id string, q *caller.Request, a *caller.Answer, f *caller.Failure) {
	e := history.Event{Kind: history.Told, Source: r.Source, Service: r.Service, ID: id, Key: q.Key, Tier: r.Tiers[q.Kind]}
	if f != nil {
		e.Outcome, e.Reason = failure.Outcome(f.Outcome), failure.Code(f.Code)
	} else {
		e.Outcome, e.Bytes, e.Sum = failure.Answered, len(a.Body), strconv.FormatUint(xxhash.Sum64(a.Body), 16)
	}
	r.Log.Add(e)
}
