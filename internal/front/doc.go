// Package front is the HTTP front end for callers.
//
// It decodes requests of the OpenAI protocol and calls to plain services, passes
// them to the filter chain and encodes the answers. Errors are encoded as problem
// documents (RFC 9457) with a run member. This package only decodes and encodes;
// all decisions are made by the filters.
//
//	front.Mount(e, handler, viewer, signer, signal)
package front
