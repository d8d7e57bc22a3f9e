package prefix

import (
	lru "github.com/hashicorp/golang-lru/v2"

	"github.com/gentianflow/gentianflow/internal/failure"
)

// Seen finds the shared part of prompts: the longest chain of blocks that an
// earlier prompt on this host began with. Safe for concurrent use.
type Seen struct {
	blocks *lru.Cache[Key, struct{}]
}

// NewSeen remembers up to size blocks, about 50 bytes each.
func NewSeen(size int) (*Seen, error) {
	c, err := lru.New[Key, struct{}](size)
	if err != nil {
		return nil, failure.Wrap(failure.BadSetting, err, "prefix memory of %d blocks", size)
	}
	return &Seen{blocks: c}, nil
}

// Observe remembers the prompt and returns the key and length in tokens of
// the prefix it shares with earlier ones; key 0 when it shares none. The
// first prompt of a kind therefore has no key: one miss for each new prefix
// and host is the price of not being told prefixes by the callers.
func (s *Seen) Observe(prompt string) (Key, int) {
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

// Whole returns the key of all whole blocks of the prompt, which the server
// holds after it computed the prompt; a follow-up that repeats the prompt
// and goes on shares exactly these blocks.
func Whole(prompt string) Key {
	chain := Chain(prompt)
	if len(chain) == 0 {
		return 0
	}
	return chain[len(chain)-1]
}

// At returns the key of a prefix whose length in tokens the caller states.
func At(prompt string, tokens int) (Key, int) {
	chain := Chain(prompt)
	blocks := min(tokens/BlockTokens, len(chain))
	if blocks == 0 {
		return 0, 0
	}
	return chain[blocks-1], blocks * BlockTokens
}
