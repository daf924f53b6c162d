// Package whole tells responses that ended from those that broke off, for clients that use
// the HTTP client of the standard library.
//
// When a peer resets a connection while a request is still being written, the write takes
// the error, and a read after it finds the end of the connection: a body that has neither
// a length nor chunks then seems to have ended. The library also returns responses whose
// status is no HTTP status.
//
//	transport := whole.Transport(&http.Transport{
//		DialContext: whole.Dial(dialer.DialContext),
//	})
package whole
