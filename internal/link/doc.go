// Package link provides HTTP/1.1 client connections to endpoints.
//
// Unlike net/http.Transport, which retries some requests itself and hides
// whether a request was sent, a Pool hands out a connection for one request at
// a time and never retries. It closes a connection on which unexpected bytes
// arrive.
//
//	c, err := pool.Get(ctx, "10.2.0.7:8080", req.Header.Get(req.EchoHeader), 50, true)
//	resp, err := c.Do(ctx, req)
//	pool.Put(c, resp)
package link
