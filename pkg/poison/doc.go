// Package poison finds the parts of prompts that crash engines.
//
// A request that crashes whatever serves it (a poison request, or query of
// death) takes one engine after another if it is retried, and so does every
// other request that shares the part of the prompt which causes the crash. This
// package decides which part that is. It works on hashes of parts and never
// sees a prompt.
package poison
