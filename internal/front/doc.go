// Package front is the HTTP front end towards callers.
//
// It decodes the OpenAI protocol and calls of plain services into typed
// requests, has the filter chain serve them, and encodes the answers.
// Refusals are problem documents (RFC 9457) with a run member. Decisions are
// made elsewhere; this package only encodes and decodes.
//
//	front.Mount(e, handler, view, signer)
package front
