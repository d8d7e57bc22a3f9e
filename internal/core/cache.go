package core

import (
	"container/list"

	"github.com/gentianflow/gentianflow/internal/prefix"
)

// cacheModel is the home's model of a server's prefix cache: the prefixes of
// the requests dispatched there (recorded at once), evicted least recently used
// first, and corrected by the server's cache events (late, with gaps).
type cacheModel struct {
	keys   map[prefix.Key]*list.Element
	recent *list.List // of *cacheEntry, most recent first
	tokens int
}

type cacheEntry struct {
	key         prefix.Key
	tokens      int
	lastUsed    Time // newest dispatch that used it
	shared      bool // some request had it as its prefix
	unconfirmed bool // its eviction may be among lost events
}

func newCacheModel() cacheModel {
	return cacheModel{keys: map[prefix.Key]*list.Element{}, recent: list.New()}
}

// contains reports whether the key is believed to be cached. An unconfirmed
// entry counts: lost events do not mean that the prefix is gone.
func (c *cacheModel) contains(k prefix.Key) bool {
	if k == 0 {
		return false
	}
	_, ok := c.keys[k]
	return ok
}

// touch makes the key the most recent one. It returns the keys evicted from a
// cache of size tokens, and whether the key is new.
func (c *cacheModel) touch(now Time, k prefix.Key, tokens, size int, shared bool) (evicted []prefix.Key, added bool) {
	if k == 0 || tokens <= 0 {
		return nil, false
	}
	if e, ok := c.keys[k]; ok {
		c.recent.MoveToFront(e)
		v := e.Value.(*cacheEntry)
		v.lastUsed = now
		v.unconfirmed = false
		v.shared = v.shared || shared
		return nil, false
	}
	c.keys[k] = c.recent.PushFront(&cacheEntry{key: k, tokens: tokens, lastUsed: now, shared: shared})
	c.tokens += tokens
	for c.tokens > size && c.recent.Len() > 1 {
		evicted = append(evicted, c.drop(c.recent.Back()))
	}
	return evicted, true
}

// maxEvictionScan limits how many entries evictedTokens looks at.
const maxEvictionScan = 64

// evictedTokens counts the tokens of shared prefixes that a cache of the given
// size would evict to store the given number of tokens.
func (c *cacheModel) evictedTokens(tokens, size int) int {
	free, evicted := size-c.tokens, 0
	for e, n := c.recent.Back(), 0; e != nil && free < tokens && n < maxEvictionScan; e, n = e.Prev(), n+1 {
		v := e.Value.(*cacheEntry)
		free += v.tokens
		if v.shared {
			evicted += v.tokens
		}
	}
	return evicted
}

func (c *cacheModel) drop(e *list.Element) prefix.Key {
	v := c.recent.Remove(e).(*cacheEntry)
	delete(c.keys, v.key)
	c.tokens -= v.tokens
	return v.key
}

// evict removes a key that the server evicted at a moment and reports whether
// it was in the model. An eviction older than the newest dispatch that used the
// key is ignored, because that dispatch computed the prefix again.
func (c *cacheModel) evict(k prefix.Key, at Time) bool {
	e, ok := c.keys[k]
	if !ok || e.Value.(*cacheEntry).lastUsed > at {
		return false
	}
	c.drop(e)
	return true
}

// confirm marks a key as confirmed after the server reported it as stored.
func (c *cacheModel) confirm(k prefix.Key) {
	if e, ok := c.keys[k]; ok {
		e.Value.(*cacheEntry).unconfirmed = false
	}
}

// markUnconfirmed marks all entries after a gap in the events: any of them may
// have been evicted in the gap.
func (c *cacheModel) markUnconfirmed() {
	for e := c.recent.Front(); e != nil; e = e.Next() {
		e.Value.(*cacheEntry).unconfirmed = true
	}
}

// all returns the keys, most recent first.
func (c *cacheModel) all() []prefix.Key {
	keys := make([]prefix.Key, 0, c.recent.Len())
	for e := c.recent.Front(); e != nil; e = e.Next() {
		keys = append(keys, e.Value.(*cacheEntry).key)
	}
	return keys
}

// recordUse updates the cache model of s and the prefix index after r was
// granted to s: r's prefix and whole prompt become the most recent entries. The
// entry of the whole prompt counts only the tokens after the prefix.
func (c *Cell) recordUse(now Time, s *server, r *Request) {
	c.touchCache(now, s, r.Prefix, r.PrefixTokens, true)
	if r.PromptKey != r.Prefix {
		c.touchCache(now, s, r.PromptKey, r.PromptTokens-r.PrefixTokens, false)
	}
}

func (c *Cell) touchCache(now Time, s *server, k prefix.Key, tokens int, shared bool) {
	evicted, added := s.cache.touch(now, k, tokens, s.spec.CacheTokens, shared)
	for _, old := range evicted {
		c.unindex(s, old)
	}
	if added {
		c.index(s, k)
	}
}

// index records that s has k cached, also for the waiting requests.
func (c *Cell) index(s *server, k prefix.Key) {
	if !s.usable() {
		return
	}
	c.cachingServers[k] = append(c.cachingServers[k], s)
	for _, q := range c.tiers {
		q.addCachingServer(k, s)
	}
}

func (c *Cell) unindex(s *server, k prefix.Key) {
	remaining := remove(c.cachingServers[k], s)
	if len(remaining) == 0 {
		delete(c.cachingServers, k)
	} else {
		c.cachingServers[k] = remaining
	}
	for _, q := range c.tiers {
		q.removeCachingServer(k, s)
	}
}

// unindexServer removes a server that became unusable from the prefix index, so
// that no request waits for it. indexServer adds it again with its cache.
func (c *Cell) unindexServer(s *server) {
	for _, k := range s.cache.all() {
		c.unindex(s, k)
	}
}

func (c *Cell) indexServer(s *server) {
	for _, k := range s.cache.all() {
		c.index(s, k)
	}
}

func (c *Cell) cacheUpdate(now Time, ev CacheUpdate) {
	s := c.server(ev.Server)
	if s == nil {
		return
	}
	if ev.Gap {
		s.cache.markUnconfirmed()
	}
	for _, k := range ev.Stored {
		s.cache.confirm(k)
	}
	for _, k := range ev.Evicted {
		if s.cache.evict(k, now.Add(-ev.Age)) {
			c.unindex(s, k)
		}
	}
}
