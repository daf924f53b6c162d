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

// PartKey returns the key under which an index holds a part. Parts of other
// salts have other keys.
func PartKey(salt string, id uint64) uint64 {
	var buf [16]byte
	binary.LittleEndian.PutUint64(buf[:8], xxhash.Sum64String(salt))
	binary.LittleEndian.PutUint64(buf[8:], id)
	return xxhash.Sum64(buf[:])
}

// PartKeys returns the keys of parts in their order.
func PartKeys(salt string, parts []Part) []uint64 {
	keys := make([]uint64, 0, min(len(parts), maxBlocks))
	for _, p := range parts[:cap(keys)] {
		keys = append(keys, PartKey(salt, p.ID))
	}
	return keys
}

// Total returns the tokens of all parts.
func Total(parts []Part) int {
	sum := 0
	for _, p := range parts {
		sum += p.Tokens
	}
	return sum
}
