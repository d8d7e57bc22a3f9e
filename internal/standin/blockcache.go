package standin

import (
	lru "github.com/hashicorp/golang-lru/v2"

	"github.com/gentianflow/gentianflow/internal/prefix"
)

// blockCache is an LRU cache of prompt blocks. Engine.mu guards it.
type blockCache struct {
	blocks *lru.Cache[prefix.Key, struct{}]
}

func newBlockCache(size int) blockCache {
	c, err := lru.New[prefix.Key, struct{}](max(1, size))
	if err != nil {
		panic(err) // New fails only for sizes below 1
	}
	return blockCache{blocks: c}
}

// touch marks a block as recently used and reports whether it is cached.
func (c blockCache) touch(k prefix.Key) bool {
	_, ok := c.blocks.Get(k)
	return ok
}

// add stores a block and returns the block that was evicted for it, if any.
func (c blockCache) add(k prefix.Key) (old prefix.Key, evicted bool) {
	oldest, _, _ := c.blocks.GetOldest()
	evicted = c.blocks.Add(k, struct{}{})
	return oldest, evicted
}

func (c blockCache) all() []prefix.Key { return c.blocks.Keys() }
