// Package origin tells which version of the engines' software began a stream.
//
// Engines of several versions may serve one service side by side, and a stream may go on
// only at an engine with the version that began it. Engines don't check this.
//
// A Book remembers the version of each stream for as long as its caller may come back.
// Listed holds the versions that may have begun a stream at all. All instances share it and
// keep it in the store, so that it outlives them: with one version, a stream that nobody
// remembers can still go on. Only a list that was read since the caller came back says so: an
// instance may have missed a version.
//
//	listed = listed.With("chat", "v2")
//	version, ok := book.Find(stream)
//	if !ok {
//		version, ok = read(ctx).Only("chat")
//	}
package origin
