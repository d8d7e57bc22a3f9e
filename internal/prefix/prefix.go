// Package prefix hashes prompts by blocks. The hash of a block covers all
// blocks before it, so two prompts share a prefix exactly as far as their
// chains are equal.
package prefix

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// Key is the chained hash at a block boundary; 0 means no prefix.
type Key uint64

// A token is estimated as BytesPerToken bytes of prompt; one block holds
// BlockTokens tokens.
const (
	BytesPerToken = 4
	BlockTokens   = 64
	blockBytes    = BytesPerToken * BlockTokens
)

// Tokens estimates the prompt length in tokens.
func Tokens(prompt string) int { return (len(prompt) + BytesPerToken - 1) / BytesPerToken }

// Chain returns the key at each whole block of the prompt.
func Chain(prompt string) []Key {
	n := len(prompt) / blockBytes
	keys := make([]Key, 0, n)
	var buf [8 + blockBytes]byte
	var prev uint64
	for i := range n {
		binary.LittleEndian.PutUint64(buf[:8], prev)
		copy(buf[8:], prompt[i*blockBytes:(i+1)*blockBytes])
		prev = xxhash.Sum64(buf[:])
		keys = append(keys, Key(prev))
	}
	return keys
}
