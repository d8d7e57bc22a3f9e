package replay

import (
	"container/list"
	"time"
)

// The engine model. At speed 1 a step takes 6 ms if it prefills a chunk of 512
// tokens and 3 ms if it only decodes, plus 0.2 ms for each running sequence. At
// most 32 sequences run at once, first come, first served.
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
	arrival    *Line
	index      int
	sent       time.Duration // time at which the server received it
	first      time.Duration // time of the first token; 0 before
	uncomputed int           // prompt tokens that are left to compute
	computed   int           // prompt tokens that were not cached
	repeated   int           // of them, tokens that another server had cached
	tokens     int           // output tokens
}

// engine simulates one server.
type engine struct {
	index   int
	speed   float64
	queue   []*job
	running []*job
	cache   engineCache
	busy    bool
	tokens  int           // output tokens since the last progress report
	seqTime time.Duration // sum of the running time of all sequences since the last progress report
}

// load returns the number of queued and running requests, as in a load report.
func (e *engine) load() int { return len(e.queue) + len(e.running) }

// begin starts a step and returns its length, 0 if there are no requests.
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
	chunkLeft := chunkTokens
	for _, j := range e.running {
		n := min(chunkLeft, j.uncomputed)
		j.uncomputed -= n
		chunkLeft -= n
	}
	d := stepDecode + stepPrefill*time.Duration(chunkTokens-chunkLeft)/chunkTokens + stepSequence*time.Duration(len(e.running))
	d = time.Duration(float64(d) / e.speed)
	e.seqTime += d * time.Duration(len(e.running))
	return d
}

// admit determines how many prompt tokens of a job are not cached, and caches its prompt.
func (e *engine) admit(now time.Duration, j *job, r *run) {
	a := j.arrival
	j.uncomputed = a.OwnTokens
	if !e.cache.touch(a.Prefix) && a.PrefixTokens > 0 {
		j.uncomputed += a.PrefixTokens
		if r.cachedElsewhere(e, a.Prefix) {
			j.repeated = a.PrefixTokens
		}
		e.store(now, a.Prefix, a.PrefixTokens, r)
	}
	e.store(now, -1-j.index, a.OwnTokens, r)
	j.computed = j.uncomputed
}

func (e *engine) store(now time.Duration, key, tokens int, r *run) {
	for _, evictedKey := range e.cache.add(key, tokens) {
		r.evicted(now, e, evictedKey)
	}
}

// end finishes a step and returns the jobs that are complete.
func (e *engine) end(now time.Duration) []*job {
	var done []*job
	remaining := e.running[:0]
	for _, j := range e.running {
		if j.uncomputed == 0 {
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
		remaining = append(remaining, j)
	}
	e.running = remaining
	return done
}

// engineCache is an LRU cache of shared prefixes and of the remaining prompt parts of requests.
type engineCache struct {
	capacity  int // tokens
	tokens    int // tokens in use
	keys      map[int]*list.Element
	byRecency *list.List // of cachedPart, most recently used first
}

type cachedPart struct{ key, tokens int }

func newEngineCache(capacity int) engineCache {
	return engineCache{capacity: capacity, keys: map[int]*list.Element{}, byRecency: list.New()}
}

func (c *engineCache) contains(key int) bool { return c.keys[key] != nil }

func (c *engineCache) touch(key int) bool {
	e := c.keys[key]
	if e == nil {
		return false
	}
	c.byRecency.MoveToFront(e)
	return true
}

// add stores a prompt part and returns the keys that were evicted for it.
func (c *engineCache) add(key, tokens int) []int {
	c.keys[key] = c.byRecency.PushFront(cachedPart{key, tokens})
	c.tokens += tokens
	var out []int
	for c.tokens > c.capacity && c.byRecency.Len() > 1 {
		last := c.byRecency.Back()
		p := c.byRecency.Remove(last).(cachedPart)
		delete(c.keys, p.key)
		c.tokens -= p.tokens
		out = append(out, p.key)
	}
	return out
}
