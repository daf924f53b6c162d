// Package chain is the filter chain that every request passes.
//
// A Filter sees a typed request and passes it on, refuses it, or changes what
// comes back. Front ends decode a message into a Request and encode what is
// written to the Writer; neither filters nor requests know of HTTP.
//
//	h := chain.Build(dispatch, identify, match, limit)
//	result, err := h.Handle(ctx, req, w)
package chain
