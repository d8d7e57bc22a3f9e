package standin

import (
	"context"
	"fmt"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/gentianflow/gentianflow/internal/history"
	"github.com/gentianflow/gentianflow/internal/ident"
	"github.com/gentianflow/gentianflow/internal/prefix"
)

// The duration of an engine step at speed 1, and the engine's limits.
const (
	stepBaseTime     = 3 * time.Millisecond
	stepChunkTime    = 3 * time.Millisecond // added for a full chunk, in proportion for less
	stepSequenceTime = 200 * time.Microsecond
	chunkTokens      = 512
	maxRunning       = 32
	maxStreams       = 4096
	maxCacheEvents   = 8192
	maxLoadSnapshots = 4096
)

// EngineOptions describe one engine.
type EngineOptions struct {
	Name          string
	Speed         float64
	CacheTokens   int
	LoadLag       time.Duration
	CacheLag      time.Duration
	DropEvery     int // every n-th cache event is lost; 0 means none
	ChecksFencing bool
	History       *history.Log
	// Group is shared by the engines of one service to count the prompt tokens
	// that an engine computes although another one has them cached.
	Group *Group
}

// Group counts for each block the engines that have it cached. mu guards counts.
type Group struct {
	mu     sync.Mutex
	counts map[prefix.Key]int
}

// NewGroup makes a group.
func NewGroup() *Group { return &Group{counts: map[prefix.Key]int{}} }

func (g *Group) add(k prefix.Key, n int) {
	if g == nil {
		return
	}
	g.mu.Lock()
	g.counts[k] += n
	if g.counts[k] <= 0 {
		delete(g.counts, k)
	}
	g.mu.Unlock()
}

func (g *Group) contains(k prefix.Key) bool {
	if g == nil {
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.counts[k] > 0
}

// stream is one request in the engine. Engine.mu guards it.
type stream struct {
	id           string
	prompt       []prefix.Key
	tokens       int // length of the prompt
	toCompute    int // prompt tokens still to compute
	computed     int // prompt tokens that the engine computes in all
	cached       int // prompt tokens found in the cache
	repeated     int // prompt tokens computed although another engine has them cached
	outputTokens int
	parts        []string // output so far, one token each
	done         bool
	cancelled    bool
	partsSum     *xxhash.Digest // of the parts
	framedSum    *xxhash.Digest // of the parts framed as events
	bytes        int            // length of the parts framed as events
	changed      chan struct{}  // closed and replaced when the stream changes
}

func (s *stream) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

type loadSnapshot struct {
	at      time.Time
	running int
}

type cacheEvent struct {
	seq     uint64
	key     prefix.Key
	evicted bool
	at      time.Time
}

// Engine simulates a model engine with continuous batching and a prefix cache. It
// serves requests in order of arrival, without priorities. mu guards all fields
// below it.
type Engine struct {
	opt         EngineOptions
	incarnation string

	mu          sync.Mutex
	speed       float64
	draining    bool
	queue       []*stream
	running     []*stream
	streams     map[string]*stream
	streamOrder []string
	cache       blockCache
	events      []cacheEvent
	eventSeq    uint64
	loads       []loadSnapshot
	fence       uint64 // newest fencing number seen
	state       string // set by the last order
	wakeUp      chan struct{}
}

// NewEngine makes an engine, which works while Run runs.
func NewEngine(opt EngineOptions) *Engine {
	if opt.CacheTokens == 0 {
		opt.CacheTokens = 60000
	}
	return &Engine{
		opt: opt, incarnation: ident.NewIncarnation().String(), speed: opt.Speed,
		streams: map[string]*stream{}, cache: newBlockCache(opt.CacheTokens / prefix.BlockTokens),
		wakeUp: make(chan struct{}, 1),
	}
}

// SetSpeed changes the speed of the engine, also while it runs.
func (e *Engine) SetSpeed(v float64) {
	e.mu.Lock()
	e.speed = v
	e.mu.Unlock()
}

// SetDraining sets the draining flag in the engine's load report.
func (e *Engine) SetDraining(v bool) {
	e.mu.Lock()
	e.draining = v
	e.mu.Unlock()
}

// Restart simulates a new process on the same address: it cancels all streams, clears
// the cache and changes the incarnation.
func (e *Engine) Restart() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, s := range e.streams {
		s.cancelled = true
		s.notify()
	}
	for _, k := range e.cache.all() {
		e.opt.Group.add(k, -1)
	}
	e.incarnation = ident.NewIncarnation().String()
	e.queue, e.running, e.streamOrder, e.events, e.eventSeq = nil, nil, nil, nil, 0
	e.streams = map[string]*stream{}
	e.cache = newBlockCache(e.opt.CacheTokens / prefix.BlockTokens)
}

// Run executes engine steps until ctx ends.
func (e *Engine) Run(ctx context.Context) {
	for ctx.Err() == nil {
		duration := e.step()
		if duration == 0 {
			select {
			case <-e.wakeUp:
			case <-time.After(100 * time.Millisecond):
			case <-ctx.Done():
			}
			continue
		}
		time.Sleep(duration)
	}
}

// step runs one batch: prefill for one chunk, then one token for each prefilled
// sequence. It returns how long the step takes, 0 if the engine is idle.
func (e *Engine) step() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.admit()
	e.loads = append(e.loads, loadSnapshot{at: time.Now(), running: len(e.running) + len(e.queue)})
	if len(e.loads) > maxLoadSnapshots {
		e.loads = e.loads[len(e.loads)-maxLoadSnapshots:]
	}
	if len(e.running) == 0 {
		return 0
	}
	n := len(e.running)
	prefilled := e.prefill()
	e.decode()
	duration := stepBaseTime + stepChunkTime*time.Duration(prefilled)/chunkTokens + stepSequenceTime*time.Duration(n)
	return time.Duration(float64(duration) / e.speed)
}

func (e *Engine) admit() {
	for len(e.queue) > 0 && len(e.running) < maxRunning {
		s := e.queue[0]
		e.queue = e.queue[1:]
		if s.cancelled {
			continue
		}
		e.lookUpPrefix(s)
		e.running = append(e.running, s)
	}
}

// lookUpPrefix sets how many prompt tokens are cached and how many are to be
// computed, and adds the missing blocks to the cache.
func (e *Engine) lookUpPrefix(s *stream) {
	hit := 0
	for hit < len(s.prompt) && e.cache.touch(s.prompt[hit]) {
		hit++
	}
	s.cached = hit * prefix.BlockTokens
	s.toCompute = max(1, s.tokens-s.cached)
	s.computed = s.toCompute
	for _, k := range s.prompt[hit:] {
		if e.opt.Group.contains(k) {
			s.repeated += prefix.BlockTokens
		}
		e.store(k)
	}
}

func (e *Engine) store(k prefix.Key) {
	if old, evicted := e.cache.add(k); evicted {
		e.opt.Group.add(old, -1)
		e.publish(old, true)
	}
	e.opt.Group.add(k, 1)
	e.publish(k, false)
}

// publish appends a cache event, but drops every DropEvery-th one.
func (e *Engine) publish(k prefix.Key, evicted bool) {
	e.eventSeq++
	if e.opt.DropEvery > 0 && e.eventSeq%uint64(e.opt.DropEvery) == 0 {
		return
	}
	e.events = append(e.events, cacheEvent{seq: e.eventSeq, key: k, evicted: evicted, at: time.Now()})
	if len(e.events) > maxCacheEvents {
		e.events = e.events[len(e.events)-maxCacheEvents:]
	}
}

// prefill computes up to one chunk of prompt tokens, in order of arrival, and returns
// how many it computed.
func (e *Engine) prefill() int {
	budget := chunkTokens
	for _, s := range e.running {
		n := min(budget, s.toCompute)
		s.toCompute -= n
		budget -= n
		if budget == 0 {
			break
		}
	}
	return chunkTokens - budget
}

// decode emits one token for each prefilled sequence and removes those that are
// finished or cancelled.
func (e *Engine) decode() {
	active := e.running[:0]
	for _, s := range e.running {
		switch {
		case s.cancelled:
			continue
		case s.toCompute == 0:
			s.emit()
			if len(s.parts) >= s.outputTokens {
				e.finish(s)
				continue
			}
		}
		active = append(active, s)
	}
	e.running = active
}

// emit adds a part whose text contains the end of the request id and the part's
// number, so that tests detect mixed-up answers.
func (s *stream) emit() {
	text := fmt.Sprintf("%s.%d ", s.id[len(s.id)-8:], len(s.parts))
	part := `{"choices":[{"index":0,"text":` + strconv.Quote(text) + `}]}`
	s.parts = append(s.parts, part)
	_, _ = s.partsSum.WriteString(part)
	framed := "data: " + part + "\n\n"
	_, _ = s.framedSum.WriteString(framed)
	s.bytes += len(framed)
	s.notify()
}

func (e *Engine) finish(s *stream) {
	s.done = true
	s.notify()
	e.opt.History.Add(history.Event{
		Kind: history.Made, Source: e.opt.Name, Server: e.opt.Name, ID: s.id, Bytes: s.bytes,
		Sum: strconv.FormatUint(s.framedSum.Sum64(), 16), Prompt: s.tokens, Computed: s.computed, Repeated: s.repeated,
	})
}

// accept queues a request and returns its stream.
func (e *Engine) accept(id, prompt string, outputTokens int) *stream {
	s := &stream{
		id: id, prompt: prefix.Chain(prompt), tokens: max(1, prefix.Tokens(prompt)), outputTokens: max(1, outputTokens),
		partsSum: xxhash.New(), framedSum: xxhash.New(), changed: make(chan struct{}),
	}
	e.opt.History.Add(history.Event{Kind: history.Started, Source: e.opt.Name, Server: e.opt.Name, ID: id})
	e.mu.Lock()
	defer e.mu.Unlock()
	e.streams[id] = s
	e.streamOrder = append(e.streamOrder, id)
	if len(e.streamOrder) > maxStreams {
		delete(e.streams, e.streamOrder[0])
		e.streamOrder = e.streamOrder[1:]
	}
	e.queue = append(e.queue, s)
	select {
	case e.wakeUp <- struct{}{}:
	default:
	}
	return s
}

func (e *Engine) find(id string) *stream {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.streams[id]
}

func (e *Engine) cancel(id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if s := e.streams[id]; s != nil && !s.done {
		s.cancelled = true
		s.notify()
	}
}

// load returns the load as it was LoadLag ago.
func (e *Engine) load() (running int, age time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	at := time.Now().Add(-e.opt.LoadLag)
	for i := len(e.loads) - 1; i >= 0; i-- {
		if !e.loads[i].at.After(at) {
			return e.loads[i].running, e.opt.LoadLag
		}
	}
	return 0, e.opt.LoadLag
}

// cacheEvents returns the events after a sequence number that are at least CacheLag
// old.
func (e *Engine) cacheEvents(after uint64) []cacheEvent {
	e.mu.Lock()
	defer e.mu.Unlock()
	until := time.Now().Add(-e.opt.CacheLag)
	var out []cacheEvent
	for _, ev := range e.events {
		if ev.seq > after && !ev.at.After(until) {
			out = append(out, ev)
		}
	}
	return out
}

// applyOrder applies an order of the home, which sets the server's state. With
// ChecksFencing it refuses orders whose fencing number is older than the newest one
// seen.
func (e *Engine) applyOrder(fence uint64, state string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.opt.ChecksFencing && fence < e.fence {
		return false
	}
	e.fence = max(e.fence, fence)
	e.state = state
	e.opt.History.Add(history.Event{Kind: history.Ordered, Source: e.opt.Name, Server: e.opt.Name, Fence: fence, Reason: "", Key: state})
	return true
}

// textOf returns the text of a complete answer of n parts to the request with this id.
func textOf(id string, n int) string {
	var b strings.Builder
	for i := range n {
		fmt.Fprintf(&b, "%s.%d ", id[len(id)-8:], i)
	}
	return b.String()
}
