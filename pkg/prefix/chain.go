package prefix

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

const (
	// BlockBytes is the length of a prompt block in bytes.
	BlockBytes = 256
	// BlockTokens is the estimated number of tokens in a block.
	BlockTokens = BlockBytes / TokenBytes
	// TokenBytes is the estimated length of a token in bytes.
	TokenBytes = 4
	// maxBlocks limits the cost of hashing one prompt; longer prompts are routed by
	// their first blocks.
	maxBlocks = 1024
)

// Salt returns the hash seed that separates the prefixes of different scopes, models and
// weight versions. Engines get the same salt with each call.
func Salt(scope Scope, model, version string) string {
	return string(scope) + "/" + model + "/" + version
}

// HashBlocks returns the chained hashes of the complete blocks of prompt. Each hash covers
// the salt and all blocks up to and including its own.
func HashBlocks(salt string, prompt []byte) []uint64 {
	n := min(len(prompt)/BlockBytes, maxBlocks)
	if n == 0 {
		return nil
	}
	hashes := make([]uint64, n)
	prev := xxhash.Sum64String(salt)
	var buf [8 + BlockBytes]byte
	for i := range hashes {
		binary.LittleEndian.PutUint64(buf[:8], prev)
		copy(buf[8:], prompt[i*BlockBytes:(i+1)*BlockBytes])
		prev = xxhash.Sum64(buf[:])
		hashes[i] = prev
	}
	return hashes
}

// Tokens returns the estimated number of tokens in n bytes of a prompt.
func Tokens(n int) int { return (n + TokenBytes - 1) / TokenBytes }
