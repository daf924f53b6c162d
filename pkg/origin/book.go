package origin

import (
	"sync"
	"time"
)

const (
	// memory is for how long a stream is remembered at least, up to twice that: longer than
	// callers wait for one.
	memory = time.Minute
	// maxStreams bounds the streams that are remembered within memory, and those that are
	// still to be passed on.
	maxStreams = 1 << 14
)

// Stream is a stream and the version of the software that began it.
type Stream struct {
	// ID is the id of the request that brought the first event.
	ID string
	// Software is the version.
	Software string
}

// Book remembers streams. The zero value is empty. It is safe for concurrent use.
type Book struct {
	mu sync.Mutex
	// recent holds the streams since turned, and older those of the time before. Beyond
	// maxStreams the oldest ones are forgotten early.
	recent, older map[string]string
	turned        time.Time
	// fresh holds the streams that were begun here and not yet taken, oldest first.
	fresh []begun
}

// begun is a stream that was begun at a time.
type begun struct {
	stream Stream
	at     time.Time
}

// Begin remembers a stream that began here at now. Take returns it.
func (b *Book) Begin(s Stream, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.keep(s, now)
	if len(b.fresh) >= maxStreams {
		b.fresh = b.fresh[1:]
	}
	b.fresh = append(b.fresh, begun{
		stream: s,
		at:     now,
	})
}

// Keep remembers streams that began elsewhere.
func (b *Book) Keep(streams []Stream, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, s := range streams {
		b.keep(s, now)
	}
}

func (b *Book) keep(s Stream, now time.Time) {
	if b.recent == nil || len(b.recent) >= maxStreams || now.Sub(b.turned) > memory {
		b.older, b.recent, b.turned = b.recent, map[string]string{}, now
	}
	b.recent[s.ID] = s.Software
}

// Find returns the version that began the stream id.
func (b *Book) Find(id string) (string, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if v, ok := b.recent[id]; ok {
		return v, true
	}
	v, ok := b.older[id]
	return v, ok
}

// Take returns the streams that began here and that it did not return before, unless that
// was too long ago.
func (b *Book) Take(now time.Time) []Stream {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.forget(now)
	out := make([]Stream, 0, len(b.fresh))
	for _, f := range b.fresh {
		out = append(out, f.stream)
	}
	b.fresh = nil
	return out
}

// Forget drops the streams that Take would not return any more.
func (b *Book) Forget(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.forget(now)
}

func (b *Book) forget(now time.Time) {
	i := 0
	for i < len(b.fresh) && now.Sub(b.fresh[i].at) > memory {
		i++
	}
	b.fresh = b.fresh[i:]
}
