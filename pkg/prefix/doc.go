// Package prefix tracks which endpoints have which prompt prefixes cached.
//
// A prompt is split into blocks. The hash of each block covers all blocks before it
// and is seeded with the team, the model and its weight version. Two prompts share a
// hash only if they share the whole prefix and all of these, so entries of another
// team or of older weights can't match by construction.
//
// An Index is only a hint: the response of the endpoint says what was cached. Entries
// belong to an epoch of an endpoint (its incarnation and its weight version). A new
// epoch invalidates all entries of the previous one, a gap in the event stream
// invalidates all entries recorded before it, and every entry expires after a TTL that
// false hits shorten and true hits lengthen.
//
//	hashes := prefix.HashBlocks(prefix.Salt("loom", "small", "v1"), prompt)
//	ix = ix.WithStored("e1", epoch, hashes, now)
//	hits := ix.Lookup(hashes, now)
package prefix
