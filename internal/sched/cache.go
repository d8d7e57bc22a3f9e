package sched

// prefixCache estimates the prompt parts that a server has cached, from the requests placed
// there: the most recently used ones that fit in its memory.
type prefixCache struct {
	capacity int // tokens, 0 if unknown
	tokens   int
	parts    map[uint64]*cachedPart
}

type cachedPart struct {
	tokens int
	used   Time
}

// maxCachedParts limits the estimate to about 12 KB per server. An engine of 350,000
// tokens holds about a hundred prompts of two parts.
const maxCachedParts = 256

// cachedTokens counts the leading tokens of a prompt that are cached: a part counts
// only when all parts before it are cached too.
func (c *prefixCache) cachedTokens(parts []Part) int {
	n := 0
	for _, p := range parts {
		if c.parts[p.Key] == nil {
			return n
		}
		n += p.Tokens
	}
	return n
}

// use records that a prompt is prefilled at the server.
func (c *prefixCache) use(now Time, parts []Part) {
	if c.parts == nil {
		c.parts = map[uint64]*cachedPart{}
	}
	for _, p := range parts {
		part := c.parts[p.Key]
		if part == nil {
			part = &cachedPart{tokens: p.Tokens}
			c.parts[p.Key] = part
			c.tokens += p.Tokens
		}
		part.used = now
	}
	for len(c.parts) > maxCachedParts || c.capacity > 0 && c.tokens > c.capacity {
		c.evict()
	}
}

// evict removes the least recently used part.
func (c *prefixCache) evict() {
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
