package prefix

import (
	lru "github.com/hashicorp/golang-lru/v2"

	"github.com/gentianflow/gentianflow/internal/failure"
)

// BlockSet is an LRU set of prompt blocks that finds the longest prefix which a
// prompt shares with earlier prompts on this host. It is safe for concurrent use.
type BlockSet struct {
	blocks *lru.Cache[Key, struct{}]
}

// NewBlockSet returns a BlockSet for up to size blocks of about 50 bytes each.
func NewBlockSet(size int) (*BlockSet, error) {
	c, err := lru.New[Key, struct{}](size)
	if err != nil {
		return nil, failure.Wrap(failure.BadSetting, err, "prefix set for %d blocks", size)
	}
	return &BlockSet{blocks: c}, nil
}

// Observe adds a prompt and returns the key and the length in tokens of the
// prefix that it shares with earlier prompts, or key 0 if it shares none. The
// first prompt with a prefix therefore has no key: its caller did not state the
// prefix (see KeyAt), which costs one miss for each new prefix and host.
func (s *BlockSet) Observe(prompt string) (Key, int) {
	chain := Chain(prompt)
	shared := 0
	for i, k := range chain {
		if _, ok := s.blocks.Get(k); !ok {
			break
		}
		shared = i + 1
	}
	for _, k := range chain[shared:] {
		s.blocks.Add(k, struct{}{})
	}
	if shared == 0 {
		return 0, 0
	}
	return chain[shared-1], shared * BlockTokens
}

// FullKey returns the key at the end of a prompt's last full block, or 0 if it has
// none. The server has these blocks cached after it computed the prompt; a
// follow-up that extends the prompt shares exactly them.
func FullKey(prompt string) Key {
	chain := Chain(prompt)
	if len(chain) == 0 {
		return 0
	}
	return chain[len(chain)-1]
}

// KeyAt returns the key and the length in tokens, rounded down to full blocks, of a
// prefix whose length the caller states.
func KeyAt(prompt string, tokens int) (Key, int) {
	chain := Chain(prompt)
	blocks := min(tokens/BlockTokens, len(chain))
	if blocks == 0 {
		return 0, 0
	}
	return chain[blocks-1], blocks * BlockTokens
}
