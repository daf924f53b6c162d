// Package chain implements the filter chain that handles every request.
//
// A Filter gets a typed request and passes it on, rejects it, or modifies the
// response. Front ends decode a message into a Request and encode what is written
// to the Writer; filters and requests are independent of HTTP.
//
//	h := chain.Build(dispatch, identify, match, limit)
//	result, err := h.Handle(ctx, req, w)
package chain
