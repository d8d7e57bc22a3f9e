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

// The engine's step at speed 1.
const (
	stepBase      = 3 * time.Millisecond
	stepPrefill   = 3 * time.Millisecond // added for a whole chunk
	stepSequence  = 200 * time.Microsecond
	chunk         = 512
	maxSequences  = 32
	keptStreams   = 4096
	keptEvents    = 8192
	loadSnapshots = 4096
)

// EngineOptions describe one engine.
type EngineOptions struct {
	Name          string
	Speed         float64
	CacheTokens   int
	LoadLag       time.Duration
	CacheLag      time.Duration
	DropEvery     int // every n-th cache event is lost; 0: none
	ChecksFencing bool
	History       *history.Log
	// Group is shared by the engines of one service, to count the prompt
	// tokens that one computes though another holds them.
	Group *Group
}

// Group knows which engines hold which blocks. mu guards holders.
type Group struct {
	mu      sync.Mutex
	holders map[prefix.Key]int
}

// NewGroup makes a group.
func NewGroup() *Group { return &Group{holders: map[prefix.Key]int{}} }

func (g *Group) add(k prefix.Key, n int) {
	if g == nil {
		return
	}
	g.mu.Lock()
	g.holders[k] += n
	if g.holders[k] <= 0 {
		delete(g.holders, k)
	}
	g.mu.Unlock()
}

func (g *Group) held(k prefix.Key) bool {
	if g == nil {
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.holders[k] > 0
}

// stream is one request in the engine. Engine.mu guards it.
type stream struct {
	id        string
	prompt    []prefix.Key
	tokens    int // of the prompt
	toCompute int // prompt tokens still to compute
	computed  int
	cached    int
	repeated  int
	out       int
	parts     []string
	done      bool
	cancelled bool
	sum       *xxhash.Digest
	framed    *xxhash.Digest
	bytes     int
	changed   chan struct{}
}

func (s *stream) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

type snapshot struct {
	at      time.Time
	running int
}

type cacheEvent struct {
	seq     uint64
	key     prefix.Key
	evicted bool
	at      time.Time
}

// Engine batches continuously, caches prompt prefixes and knows no
// priorities. mu guards all fields below it.
type Engine struct {
	opt         EngineOptions
	incarnation string

	mu       sync.Mutex
	speed    float64
	draining bool
	queue    []*stream
	running  []*stream
	streams  map[string]*stream
	order    []string
	cache    blockCache
	events   []cacheEvent
	eventSeq uint64
	loads    []snapshot
	fence    uint64
	state    string
	work     chan struct{}
}

// NewEngine makes an engine; Run steps it.
func NewEngine(opt EngineOptions) *Engine {
	if opt.CacheTokens == 0 {
		opt.CacheTokens = 60000
	}
	return &Engine{
		opt: opt, incarnation: ident.NewIncarnation().String(), speed: opt.Speed,
		streams: map[string]*stream{}, cache: newBlockCache(opt.CacheTokens / prefix.BlockTokens),
		work: make(chan struct{}, 1),
	}
}

// SetSpeed changes the engine's speed in mid-run.
func (e *Engine) SetSpeed(v float64) {
	e.mu.Lock()
	e.speed = v
	e.mu.Unlock()
}

// SetDraining changes what the engine's load report says.
func (e *Engine) SetDraining(v bool) {
	e.mu.Lock()
	e.draining = v
	e.mu.Unlock()
}

// Restart empties the engine as a new process on the same address would.
func (e *Engine) Restart() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, s := range e.streams {
		s.cancelled = true
		s.wake()
	}
	for _, k := range e.cache.all() {
		e.opt.Group.add(k, -1)
	}
	e.incarnation = ident.NewIncarnation().String()
	e.queue, e.running, e.order, e.events, e.eventSeq = nil, nil, nil, nil, 0
	e.streams = map[string]*stream{}
	e.cache = newBlockCache(e.opt.CacheTokens / prefix.BlockTokens)
}

// Run steps the engine until ctx ends.
func (e *Engine) Run(ctx context.Context) {
	for ctx.Err() == nil {
		d := e.step()
		if d == 0 {
			select {
			case <-e.work:
			case <-time.After(100 * time.Millisecond):
			case <-ctx.Done():
			}
			continue
		}
		time.Sleep(d)
	}
}

// step moves every running sequence and returns how long that took.
func (e *Engine) step() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.admit()
	e.loads = append(e.loads, snapshot{at: time.Now(), running: len(e.running) + len(e.queue)})
	if len(e.loads) > loadSnapshots {
		e.loads = e.loads[len(e.loads)-loadSnapshots:]
	}
	if len(e.running) == 0 {
		return 0
	}
	n := len(e.running)
	prefilled := e.prefill()
	e.decode()
	d := stepBase + stepPrefill*time.Duration(prefilled)/chunk + stepSequence*time.Duration(n)
	return time.Duration(float64(d) / e.speed)
}

func (e *Engine) admit() {
	for len(e.queue) > 0 && len(e.running) < maxSequences {
		s := e.queue[0]
		e.queue = e.queue[1:]
		if s.cancelled {
			continue
		}
		e.lookUpPrefix(s)
		e.running = append(e.running, s)
	}
}

// lookUpPrefix deducts the cached part and books the rest.
func (e *Engine) lookUpPrefix(s *stream) {
	hit := 0
	for hit < len(s.prompt) && e.cache.touch(s.prompt[hit]) {
		hit++
	}
	s.cached = hit * prefix.BlockTokens
	s.toCompute = max(1, s.tokens-s.cached)
	s.computed = s.toCompute
	for _, k := range s.prompt[hit:] {
		if e.opt.Group.held(k) {
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

func (e *Engine) publish(k prefix.Key, evicted bool) {
	e.eventSeq++
	if e.opt.DropEvery > 0 && e.eventSeq%uint64(e.opt.DropEvery) == 0 {
		return
	}
	e.events = append(e.events, cacheEvent{seq: e.eventSeq, key: k, evicted: evicted, at: time.Now()})
	if len(e.events) > keptEvents {
		e.events = e.events[len(e.events)-keptEvents:]
	}
}

// prefill spends one chunk on the sequences in the order they came.
func (e *Engine) prefill() int {
	left := chunk
	for _, s := range e.running {
		n := min(left, s.toCompute)
		s.toCompute -= n
		left -= n
		if left == 0 {
			break
		}
	}
	return chunk - left
}

// decode gives each prefilled sequence one token.
func (e *Engine) decode() {
	kept := e.running[:0]
	for _, s := range e.running {
		switch {
		case s.cancelled:
			continue
		case s.toCompute == 0:
			s.emit()
			if len(s.parts) >= s.out {
				e.finish(s)
				continue
			}
		}
		kept = append(kept, s)
	}
	e.running = kept
}

// emit adds a part that tells whose it is and which, so that a mixed-up
// answer shows.
func (s *stream) emit() {
	text := fmt.Sprintf("%s.%d ", s.id[len(s.id)-8:], len(s.parts))
	part := `{"choices":[{"index":0,"text":` + strconv.Quote(text) + `}]}`
	s.parts = append(s.parts, part)
	_, _ = s.sum.WriteString(part)
	framed := "data: " + part + "\n\n"
	_, _ = s.framed.WriteString(framed)
	s.bytes += len(framed)
	s.wake()
}

func (e *Engine) finish(s *stream) {
	s.done = true
	s.wake()
	e.opt.History.Add(history.Event{
		Kind: history.Made, Source: e.opt.Name, Server: e.opt.Name, ID: s.id, Bytes: s.bytes,
		Sum: strconv.FormatUint(s.framed.Sum64(), 16), Prompt: s.tokens, Computed: s.computed, Repeated: s.repeated,
	})
}

// accept takes a request.
func (e *Engine) accept(id, prompt string, out int) *stream {
	s := &stream{
		id: id, prompt: prefix.Chain(prompt), tokens: max(1, prefix.Tokens(prompt)), out: max(1, out),
		sum: xxhash.New(), framed: xxhash.New(), changed: make(chan struct{}),
	}
	e.opt.History.Add(history.Event{Kind: history.Started, Source: e.opt.Name, Server: e.opt.Name, ID: id})
	e.mu.Lock()
	defer e.mu.Unlock()
	e.streams[id] = s
	e.order = append(e.order, id)
	if len(e.order) > keptStreams {
		delete(e.streams, e.order[0])
		e.order = e.order[1:]
	}
	e.queue = append(e.queue, s)
	select {
	case e.work <- struct{}{}:
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
		s.wake()
	}
}

// load returns the report as of LoadLag ago.
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

// cacheEvents returns the events after a sequence number that are old enough.
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

// applyOrder takes an order; a checking engine refuses an old fencing number.
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

// textOf is what a whole answer to id of n parts reads.
func textOf(id string, n int) string {
	var b strings.Builder
	for i := range n {
		fmt.Fprintf(&b, "%s.%d ", id[len(id)-8:], i)
	}
	return b.String()
}
