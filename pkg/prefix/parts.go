package prefix

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// Part is a part of a prompt whose text the router does not see.
type Part struct {
	// ID names the text; equal ids are equal texts.
	ID uint64
	// Tokens is its length.
	Tokens int
}

// ChainParts returns a hash for each part. Like those of Chain, each covers the
// salt and all parts up to its own.
func ChainParts(salt string, parts []Part) []uint64 {
	if len(parts) == 0 {
		return nil
	}
	n := min(len(parts), maxBlocks)
	hashes := make([]uint64, n)
	prev := xxhash.Sum64String(salt)
	var buf [24]byte
	for i := range hashes {
		binary.LittleEndian.PutUint64(buf[:8], prev)
		binary.LittleEndian.PutUint64(buf[8:16], parts[i].ID)
		binary.LittleEndian.PutUint64(buf[16:], uint64(parts[i].Tokens))
		prev = xxhash.Sum64(buf[:])
		hashes[i] = prev
	}
	return hashes
}

// Total returns the tokens of all parts.
func Total(parts []Part) int {
	sum := 0
	for _, p := range parts {
		sum += p.Tokens
	}
	return sum
}
