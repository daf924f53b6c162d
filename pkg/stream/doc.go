// Package stream keeps a streamed answer complete and in order.
//
// A State counts the chunks that were delivered. Chunks that were delivered
// before are dropped, a gap is never passed on, and only an end marker makes
// an answer complete. A Token names a place in a stream, signed, so that any
// instance can resume it without state of its own.
//
//	s, verdict := s.With(chunk.Offset, chunk.End)
//	if verdict == stream.Deliver { w.Write(chunk) }
package stream
