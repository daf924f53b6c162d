// Package httpd serves HTTP/1.1 on persistent connections and never drops a
// request that it has begun to read.
//
// http.Server closes connections by a state that it updates only after the whole
// header of a request was read, and once Shutdown was called it drops requests
// after reading them. A Server decides by the bytes that were read instead: the
// goroutine that reads a connection also ends it, after it found no byte of a
// next request.
//
// Callers use connections until they are closed. A stopping server therefore closes
// them once no request is in flight and none is expected, and answers with
// "Connection: close" what comes before.
//
// Each request that ends without a complete response is logged and counted, and so is
// each connection that is closed between requests.
//
//	s := httpd.New(handler, httpd.WithLog(log), httpd.WithIdleTimeout(limit))
//	err := s.Serve(listener)
package httpd
