// Package prefix tells which endpoints hold which prefix of a prompt.
//
// A prompt is cut into blocks, and each block's hash covers all blocks before
// it, seeded with the team, the model and the version of its weights. Two prompts
// share a hash only where they share the whole prefix and all of these, so that
// entries of another team or of older weights can't match by construction.
//
// An Index is a hint, never the truth: the endpoint's answer says what was
// cached. Entries belong to an epoch of an endpoint (its incarnation and the
// version of its weights); a new epoch voids them all, a gap in the event
// stream voids what was learned before it, and every entry expires after a
// lifetime that false hits shorten and true hits lengthen.
//
//	hashes := prefix.Chain(prefix.Salt("loom", "small", "v1"), prompt)
//	ix = ix.WithStored("e1", epoch, hashes, now)
//	hits := ix.Lookup(hashes, now)
package prefix
