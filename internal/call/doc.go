// Package call defines one attempt to have an endpoint serve a request.
//
// The dispatch filter creates attempts; clients encode them in the protocol of
// the endpoint. A Failure reports whether any byte of the request may have been
// sent, which decides whether the request may be retried.
package call
