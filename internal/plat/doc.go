// Package plat speaks to the platform: its table service, its object store and
// its list of nodes.
//
// The table is met by conditional HTTP (RFC 9110): a row's version is its
// ETag, and writes carry If-Match or If-None-Match. Every error says whether a
// write may have happened.
//
//	t := plat.NewTable("http://127.0.0.1:9000")
//	version, err := t.Put(ctx, row)
package plat
