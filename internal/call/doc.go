// Package call defines one attempt to have an endpoint serve a request.
//
// The dispatch filter makes attempts; clients encode them for an endpoint's
// protocol. A Failure says whether any byte of the call may have left, which
// decides whether it may be sent again.
package call
