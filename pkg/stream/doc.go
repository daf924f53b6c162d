// Package stream keeps streamed responses complete and in order.
//
// A State tracks the chunks that were delivered. Chunks that were delivered before are
// dropped, a chunk after a gap is never forwarded, and only an end marker completes a
// response. A Token is a signed position in a stream, with which any instance can
// resume the stream without keeping state for it.
//
//	s, verdict := s.With(chunk.Offset, chunk.End)
//	if verdict == stream.Deliver { w.Write(chunk) }
package stream
