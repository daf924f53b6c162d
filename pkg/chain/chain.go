package chain

import "context"

// Handler serves a request.
type Handler interface {
	// Handle serves r and writes the answer to w. An error that is not nil is
	// a refusal; once w has begun, it ends the answer as cut.
	Handle(ctx context.Context, r Request, w Writer) (Result, error)
}

// Filter serves a request with the help of the handlers after it.
type Filter interface {
	// Filter serves r, by calling next or in its place.
	Filter(ctx context.Context, r Request, w Writer, next Handler) (Result, error)
}

// Writer takes the answer to one request. It is used by one goroutine at a time.
type Writer interface {
	// Begin starts the answer. It is called once, before the first chunk.
	Begin(h Head) error
	// Write adds a chunk. It returns an error when the caller is gone.
	Write(c Chunk) error
}

// Build returns a handler that passes requests through filters in their order
// and then to last.
func Build(last Handler, filters ...Filter) Handler {
	h := last
	for i := len(filters) - 1; i >= 0; i-- {
		h = link{
			filter: filters[i],
			next:   h,
		}
	}
	return h
}

// link is one filter bound to what follows it.
type link struct {
	filter Filter
	next   Handler
}

// Handle passes r to the link's filter.
func (l link) Handle(ctx context.Context, r Request, w Writer) (Result, error) {
	return l.filter.Filter(ctx, r, w, l.next)
}
