// Package plat is the client of the platform: its table service, its object
// store and its list of nodes.
//
// The table is accessed by conditional HTTP requests (RFC 9110): a row's version
// is its ETag, and writes carry If-Match or If-None-Match. The error of a write
// tells whether the write may have happened.
//
//	t := plat.NewTable("http://127.0.0.1:9000")
//	version, err := t.Put(ctx, row)
package plat
