package replay

import (
	"container/list"
	"time"
)

// The engine model: a step of 6 ms at speed 1 while it prefills a chunk of
// 512 tokens, 3 ms when it only decodes, plus 0.2 ms for each running
// sequence; at most 32 sequences; first come, first served.
const (
	stepDecode   = 3 * time.Millisecond
	stepPrefill  = 3 * time.Millisecond
	stepSequence = 200 * time.Microsecond
	chunkTokens  = 512
	maxSequences = 32
	cacheTokens  = 60000
)

// job is one request in an engine.
type job struct {
	arrival   *Line
	index     int
	sent      time.Duration // when it was dispatched
	first     time.Duration // first token, 0 before
	toCompute int
	computed  int
	repeated  int
	tokens    int
}

// engine is the model of one server.
type engine struct {
	index   int
	speed   float64
	queue   []*job
	running []*job
	cache   engineCache
	busy    bool
	tokens  int           // since the last progress report
	seqTime time.Duration // since the last progress report
}

// load is what a load report counts.
func (e *engine) load() int { return len(e.queue) + len(e.running) }

// begin starts a step at now and returns its length; 0 when idle.
func (e *engine) begin(now time.Duration, r *run) time.Duration {
	for len(e.queue) > 0 && len(e.running) < maxSequences {
		j := e.queue[0]
		e.queue = e.queue[1:]
		e.admit(now, j, r)
		e.running = append(e.running, j)
	}
	if len(e.running) == 0 {
		return 0
	}
	left := chunkTokens
	for _, j := range e.running {
		n := min(left, j.toCompute)
		j.toCompute -= n
		left -= n
	}
	d := stepDecode + stepPrefill*time.Duration(chunkTokens-left)/chunkTokens + stepSequence*time.Duration(len(e.running))
	d = time.Duration(float64(d) / e.speed)
	e.seqTime += d * time.Duration(len(e.running))
	return d
}

// admit takes a job into the batch: the cached prefix is deducted.
func (e *engine) admit(now time.Duration, j *job, r *run) {
	a := j.arrival
	j.toCompute = a.OwnTokens
	if !e.cache.touch(a.Prefix) && a.PrefixTokens > 0 {
		j.toCompute += a.PrefixTokens
		if r.heldElsewhere(e, a.Prefix) {
			j.repeated = a.PrefixTokens
		}
		e.store(now, a.Prefix, a.PrefixTokens, r)
	}
	e.store(now, -1-j.index, a.OwnTokens, r)
	j.computed = j.toCompute
}

func (e *engine) store(now time.Duration, key, tokens int, r *run) {
	for _, old := range e.cache.add(key, tokens) {
		r.evicted(now, e, old)
	}
}

// end finishes a step and returns the jobs that it ended.
func (e *engine) end(now time.Duration) []*job {
	var done []*job
	kept := e.running[:0]
	for _, j := range e.running {
		if j.toCompute == 0 {
			if j.tokens == 0 {
				j.first = now
			}
			j.tokens++
			e.tokens++
		}
		if j.tokens >= j.arrival.OutputTokens {
			done = append(done, j)
			continue
		}
		kept = append(kept, j)
	}
	e.running = kept
	return done
}

// engineCache holds prefixes and own parts, least recently used out first.
type engineCache struct {
	size   int
	tokens int
	keys   map[int]*list.Element
	recent *list.List
}

type cachedPart struct{ key, tokens int }

func newEngineCache(size int) engineCache {
	return engineCache{size: size, keys: map[int]*list.Element{}, recent: list.New()}
}

func (c *engineCache) holds(key int) bool { return c.keys[key] != nil }

func (c *engineCache) touch(key int) bool {
	e := c.keys[key]
	if e == nil {
		return false
	}
	c.recent.MoveToFront(e)
	return true
}

// add stores a part and returns the keys that it pushed out.
func (c *engineCache) add(key, tokens int) []int {
	c.keys[key] = c.recent.PushFront(cachedPart{key, tokens})
	c.tokens += tokens
	var out []int
	for c.tokens > c.size && c.recent.Len() > 1 {
		last := c.recent.Back()
		p := c.recent.Remove(last).(cachedPart)
		delete(c.keys, p.key)
		c.tokens -= p.tokens
		out = append(out, p.key)
	}
	return out
}
