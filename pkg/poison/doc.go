// Package poison finds the parts of prompts that crash engines.
//
// A request that crashes whatever serves it (a poison request, or query of
// death) takes one engine after another if it is retried, and so does every
// other request that shares the part of the prompt which causes the crash. This
// package decides which part that is. It works on hashes of parts and never
// sees a prompt.
//
// A [Crash] is an incarnation of an engine that ended while prompts waited for
// their first token. Their parts are its suspects, except those that an engine
// has served before: [Served] remembers these on each instance. A suspect that
// is served later is cleared. A [Verdict] names the parts that several crashes
// of different engines have in common and that nobody has ever served.
//
// An engine may also fall silent instead of refusing connections. Engines do that for
// other reasons, too, and may go on, so that such a crash stays open until the
// incarnation is known to have ended. Until then its parts are suspects only.
//
// A [Tracker] holds the evidence. Instances exchange it as [Evidence], which
// merges in any order:
//
//	t = t.WithCrash(c, now)
//	t = t.WithEvidence(heartbeat.Poison, now)
//	t = t.WithVerdicts(now)
//	if v, ok := t.Verdict(parts); ok { ... }
package poison
