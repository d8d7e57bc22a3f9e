// Package prefix hashes prompts in blocks. The hash of a block also covers all
// blocks before it, so the shared prefix of two prompts is as long as the equal
// prefix of their hash chains.
package prefix

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// Key is the chained hash at a block boundary. 0 means no prefix.
type Key uint64

// BytesPerToken is the estimated size of a prompt token, BlockTokens the number
// of tokens in a block.
const (
	BytesPerToken = 4
	BlockTokens   = 64
	blockBytes    = BytesPerToken * BlockTokens
)

// Tokens estimates the length of a prompt in tokens.
func Tokens(prompt string) int { return (len(prompt) + BytesPerToken - 1) / BytesPerToken }

// Chain returns the key at the end of each full block of a prompt.
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
