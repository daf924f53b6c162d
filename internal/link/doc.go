// Package link keeps HTTP/1.1 connections to endpoints.
//
// The standard transport sends some requests again by itself and hides how much
// of a request has left. A Pool hands out one connection for one request at a
// time, never repeats anything, and drops a connection that holds bytes which
// nobody asked for.
//
//	c, err := pool.Get(ctx, "10.2.0.7:8080", 50)
//	resp, err := c.Do(ctx, req)
//	pool.Put(c, resp)
package link
