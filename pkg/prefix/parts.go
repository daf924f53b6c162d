package prefix

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// Part is a part of a prompt whose text is not known to the router.
type Part struct {
	// ID identifies the text: parts with equal ids have equal texts.
	ID uint64
	// Tokens is the length of the text in tokens.
	Tokens int
}

// PartKey returns the key of a part in an Index. The same part has different keys for
// different salts.
func PartKey(salt string, id uint64) uint64 {
	var buf [16]byte
	binary.LittleEndian.PutUint64(buf[:8], xxhash.Sum64String(salt))
	binary.LittleEndian.PutUint64(buf[8:], id)
	return xxhash.Sum64(buf[:])
}

// PartKeys returns the keys of the first maxBlocks parts, in order.
func PartKeys(salt string, parts []Part) []uint64 {
	keys := make([]uint64, 0, min(len(parts), maxBlocks))
	for _, p := range parts[:cap(keys)] {
		keys = append(keys, PartKey(salt, p.ID))
	}
	return keys
}

// TotalTokens returns the number of tokens of all parts.
func TotalTokens(parts []Part) int {
	sum := 0
	for _, p := range parts {
		sum += p.Tokens
	}
	return sum
}
