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

// Work describes the requests of one kind in a load.
type Work struct {
	Service        string
	Kind           string
	Tier           int
	Rate           float64 // requests per second
	PrefixCount    int     // number of shared prompt prefixes
	PrefixTokens   int     // length of a shared prefix in tokens
	UnsharedTokens int     // mean length of the unshared part in tokens; drawn from 0.3 to 1.7 times the mean
	Output         int     // mean output in tokens; drawn from 0.3 to 1.7 times the mean
	Deadline       time.Duration
	Path           string // for requests to a plain service
	NonIdempotent  bool   // sent with an idempotency key
}

// TierResult counts the outcomes of one tier of a load.
type TierResult struct {
	Tier    int
	Offered int
	InTime  int
	Late    int
	Shed    int
	Unknown int
}

// Load sends each kind of request at its rate, through one client for each service.
// mu guards results.
type Load struct {
	Clients map[string]*caller.Client
	Works   []Work
	Seed    uint64

	mu      sync.Mutex
	results map[int]*TierResult
}

// vary draws a number from 0.3 to 1.7 times the mean.
func vary(rng *rand.Rand, mean int) int {
	return max(1, int(float64(mean)*(0.3+1.4*rng.Float64())))
}

// Run sends requests for the duration d and waits until all of them have ended.
func (l *Load) Run(ctx context.Context, d time.Duration) {
	l.results = map[int]*TierResult{}
	var requests sync.WaitGroup
	for i, w := range l.Works {
		rng := rand.New(rand.NewPCG(l.Seed, uint64(i)))
		requests.Go(func() { l.send(ctx, w, rng, d, &requests) })
	}
	requests.Wait()
}

func (l *Load) send(ctx context.Context, w Work, rng *rand.Rand, d time.Duration, requests *sync.WaitGroup) {
	end := time.Now().Add(d)
	next := time.Now()
	for n := 0; time.Now().Before(end) && ctx.Err() == nil; n++ {
		next = next.Add(time.Duration(rng.ExpFloat64() / w.Rate * float64(time.Second)))
		select {
		case <-time.After(time.Until(next)):
		case <-ctx.Done():
			return
		}
		req := w.request(rng, n)
		requests.Go(func() { l.sendOne(ctx, w, req) })
	}
}

// Prompt makes a prompt from a shared prefix and an unshared part of unsharedTokens tokens
// that repeats salt.
func (w Work) Prompt(prefixIndex, unsharedTokens int, salt string) string {
	var b strings.Builder
	padTo(&b, fmt.Sprintf("%s-%s-%d ", w.Service, w.Kind, prefixIndex), w.PrefixTokens*prefix.BytesPerToken)
	padTo(&b, salt+" ", (w.PrefixTokens+unsharedTokens)*prefix.BytesPerToken)
	return b.String()
}

func padTo(b *strings.Builder, text string, size int) {
	for b.Len()+len(text) <= size {
		b.WriteString(text)
	}
	for b.Len() < size {
		b.WriteByte('.')
	}
}

func (w Work) request(rng *rand.Rand, n int) *caller.Request {
	if w.Path != "" {
		req := &caller.Request{Kind: w.Kind, Path: w.Path, Body: []byte(fmt.Sprintf(`{"n":%d}`, n)), ContentType: "application/json"}
		if w.NonIdempotent {
			req.Key = fmt.Sprintf("%s-%s-%d-%d", w.Service, w.Kind, n, rng.Uint64())
		}
		return req
	}
	u := rng.Float64() // squared below, so that low prefix indexes are more frequent
	prefixIndex := int(float64(w.PrefixCount) * u * u)
	return &caller.Request{
		Kind: w.Kind, Prompt: w.Prompt(prefixIndex, vary(rng, w.UnsharedTokens), strconv.FormatUint(rng.Uint64(), 36)),
		MaxTokens: vary(rng, w.Output), PrefixTokens: w.PrefixTokens, Stream: true,
	}
}

func (l *Load) sendOne(ctx context.Context, w Work, req *caller.Request) {
	begin := time.Now()
	_, err := l.Clients[w.Service].Do(ctx, req)
	took := time.Since(begin)
	var callFailure *caller.Failure
	l.mu.Lock()
	defer l.mu.Unlock()
	result := l.results[w.Tier]
	if result == nil {
		result = &TierResult{Tier: w.Tier}
		l.results[w.Tier] = result
	}
	result.Offered++
	switch {
	case err == nil && took <= w.Deadline:
		result.InTime++
	case err == nil:
		result.Late++
	case errors.As(err, &callFailure) && callFailure.NotRun():
		result.Shed++
	default:
		result.Unknown++
	}
}

// Results returns the counts by tier, most urgent first.
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

// Recorder writes the requests of a Client and their outcomes to a history.
type Recorder struct {
	Log     *history.Log
	Source  string
	Service string
	Tiers   map[string]int // by request kind
}

// Asked implements caller.Observer. A call with an idempotency key has no id before
// its first answer, so only Told records its outcome under its id.
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
