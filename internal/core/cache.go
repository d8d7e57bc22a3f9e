package core

import (
	"container/list"

	"github.com/gentianflow/gentianflow/internal/prefix"
)

// cacheModel is what the home believes a server's prefix cache holds: what
// was dispatched there (at once), least recently used out first, corrected
// by the server's cache events (late, with gaps).
type cacheModel struct {
	keys   map[prefix.Key]*list.Element
	recent *list.List // of *cached, newest first
	tokens int
}

type cached struct {
	key      prefix.Key
	tokens   int
	used     Time // last dispatch that used it
	shared   bool // some request named it as its prefix
	doubtful bool // a gap in the events may have hidden its eviction
}

func newCacheModel() cacheModel {
	return cacheModel{keys: map[prefix.Key]*list.Element{}, recent: list.New()}
}

// holds reports whether the key is believed to be held. A doubtful entry
// counts: a gap says that events were lost, not that the prefix is gone.
func (c *cacheModel) holds(k prefix.Key) bool {
	if k == 0 {
		return false
	}
	_, ok := c.keys[k]
	return ok
}

// touch makes the key the newest and returns the keys pushed out of size
// tokens, and whether the key is new.
func (c *cacheModel) touch(now Time, k prefix.Key, tokens, size int, shared bool) (evicted []prefix.Key, added bool) {
	if k == 0 || tokens <= 0 {
		return nil, false
	}
	if e, ok := c.keys[k]; ok {
		c.recent.MoveToFront(e)
		v := e.Value.(*cached)
		v.used = now
		v.doubtful = false
		v.shared = v.shared || shared
		return nil, false
	}
	c.keys[k] = c.recent.PushFront(&cached{key: k, tokens: tokens, used: now, shared: shared})
	c.tokens += tokens
	for c.tokens > size && c.recent.Len() > 1 {
		evicted = append(evicted, c.drop(c.recent.Back()))
	}
	return evicted, true
}

// evictLook bounds how many entries pushedOut looks at.
const evictLook = 64

// pushedOut counts the tokens of shared prefixes that would leave a cache of
// size tokens if as many more came in.
func (c *cacheModel) pushedOut(tokens, size int) int {
	free, lost := size-c.tokens, 0
	for e, n := c.recent.Back(), 0; e != nil && free < tokens && n < evictLook; e, n = e.Prev(), n+1 {
		v := e.Value.(*cached)
		free += v.tokens
		if v.shared {
			lost += v.tokens
		}
	}
	return lost
}

func (c *cacheModel) drop(e *list.Element) prefix.Key {
	v := c.recent.Remove(e).(*cached)
	delete(c.keys, v.key)
	c.tokens -= v.tokens
	return v.key
}

// forget removes a key that the server evicted at a moment; it reports
// whether the key was held. An eviction older than the last dispatch that
// used the key says nothing: that dispatch computed the prefix again.
func (c *cacheModel) forget(k prefix.Key, at Time) bool {
	e, ok := c.keys[k]
	if !ok || e.Value.(*cached).used > at {
		return false
	}
	c.drop(e)
	return true
}

// confirm takes the doubt from a key that the server says it stored.
func (c *cacheModel) confirm(k prefix.Key) {
	if e, ok := c.keys[k]; ok {
		e.Value.(*cached).doubtful = false
	}
}

// doubt marks everything after a gap: the marked ones may have been evicted
// without our being told.
func (c *cacheModel) doubt() {
	for e := c.recent.Front(); e != nil; e = e.Next() {
		e.Value.(*cached).doubtful = true
	}
}

// all lists the keys, newest first.
func (c *cacheModel) all() []prefix.Key {
	keys := make([]prefix.Key, 0, c.recent.Len())
	for e := c.recent.Front(); e != nil; e = e.Next() {
		keys = append(keys, e.Value.(*cached).key)
	}
	return keys
}

// noteUse updates the cache model of s and the index of holders after r was
// granted to s: its prefix is fresh, its own part joins.
func (c *Cell) noteUse(now Time, s *server, r *Request) {
	c.cacheTouch(now, s, r.Prefix, r.PrefixTokens, true)
	if r.Whole != r.Prefix {
		c.cacheTouch(now, s, r.Whole, r.PromptTokens-r.PrefixTokens, false)
	}
}

func (c *Cell) cacheTouch(now Time, s *server, k prefix.Key, tokens int, shared bool) {
	evicted, added := s.cache.touch(now, k, tokens, s.spec.CacheTokens, shared)
	for _, old := range evicted {
		c.unindex(s, old)
	}
	if added {
		c.index(s, k)
	}
}

// index enters s as a holder of k, for waiting requests too.
func (c *Cell) index(s *server, k prefix.Key) {
	if !s.usable() {
		return
	}
	c.holders[k] = append(c.holders[k], s)
	for _, q := range c.tiers {
		q.held(k, s)
	}
}

func (c *Cell) unindex(s *server, k prefix.Key) {
	left := remove(c.holders[k], s)
	if len(left) == 0 {
		delete(c.holders, k)
	} else {
		c.holders[k] = left
	}
	for _, q := range c.tiers {
		q.unheldBy(k, s)
	}
}

// hide takes a server that became unusable out of the index, so that no
// request waits for it; show brings it back with its cache.
func (c *Cell) hide(s *server) {
	for _, k := range s.cache.all() {
		c.unindex(s, k)
	}
}

func (c *Cell) show(s *server) {
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
		s.cache.doubt()
	}
	for _, k := range ev.Stored {
		s.cache.confirm(k)
	}
	for _, k := range ev.Evicted {
		if s.cache.forget(k, now.Add(-ev.Age)) {
			c.unindex(s, k)
		}
	}
}
