package chain

import "context"

// Handler handles a request.
type Handler interface {
	// Handle handles r and writes the response to w. An error rejects the request
	// or, after Begin was called on w, aborts the incomplete response.
	Handle(ctx context.Context, r Request, w Writer) (Result, error)
}

// Filter handles a request, usually with the help of the next handler in the chain.
type Filter interface {
	// Filter handles r, either by calling next or instead of it.
	Filter(ctx context.Context, r Request, w Writer, next Handler) (Result, error)
}

// Writer receives the response to one request. It is used by one goroutine at a
// time.
type Writer interface {
	// Begin starts the response. It is called once, before the first chunk.
	Begin(h Head) error
	// Write appends a chunk to the response. It returns an error if the caller has
	// disconnected.
	Write(c Chunk) error
}

// Build returns a handler that passes requests through filters in the given order
// and then to last.
func Build(last Handler, filters ...Filter) Handler {
	h := last
	for i := len(filters) - 1; i >= 0; i-- {
		h = boundFilter{
			filter: filters[i],
			next:   h,
		}
	}
	return h
}

// boundFilter is a filter with the handler that follows it in the chain.
type boundFilter struct {
	filter Filter
	next   Handler
}

// Handle passes r to the filter.
func (b boundFilter) Handle(ctx context.Context, r Request, w Writer) (Result, error) {
	return b.filter.Filter(ctx, r, w, b.next)
}
