package sched

// partCache is a guess at the prompt parts that a server keeps, from what was
// placed there: the newest ones up to its memory.
type partCache struct {
	capacity int // tokens, 0 when not known
	tokens   int
	parts    map[uint64]*cachedPart
}

type cachedPart struct {
	tokens int
	used   Time
}

// maxCachedParts bounds the guess to about 12 KB a server. An engine of 350,000
// tokens keeps about a hundred prompts of two parts.
const maxCachedParts = 256

// held counts the leading tokens of a prompt that are kept: a part counts
// only when all parts before it are kept too.
func (c *partCache) held(parts []Part) int {
	n := 0
	for _, p := range parts {
		if c.parts[p.Key] == nil {
			return n
		}
		n += p.Tokens
	}
	return n
}

// use notes that a prompt is read at the server.
func (c *partCache) use(now Time, parts []Part) {
	if c.parts == nil {
		c.parts = map[uint64]*cachedPart{}
	}
	for _, p := range parts {
		have := c.parts[p.Key]
		if have == nil {
			have = &cachedPart{tokens: p.Tokens}
			c.parts[p.Key] = have
			c.tokens += p.Tokens
		}
		have.used = now
	}
	for len(c.parts) > maxCachedParts || c.capacity > 0 && c.tokens > c.capacity {
		c.evict()
	}
}

// evict forgets the part that was used longest ago.
func (c *partCache) evict() {
	var oldest uint64
	var found *cachedPart
	for key, p := range c.parts {
		if found == nil || p.used < found.used {
			oldest, found = key, p
		}
	}
	c.tokens -= found.tokens
	delete(c.parts, oldest)
}
