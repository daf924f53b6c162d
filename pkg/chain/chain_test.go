package chain_test

import (
	"context"
	"fmt"

	"github.com/baobabtally/baobabtally/pkg/chain"
)

// loggingFilter prints its name and calls the next handler.
type loggingFilter string

// Filter prints the name and calls next.
func (n loggingFilter) Filter(ctx context.Context, r chain.Request, w chain.Writer, next chain.Handler) (chain.Result, error) {
	fmt.Println(n)
	return next.Handle(ctx, r, w)
}

// terminalHandler is the last handler of the chain.
type terminalHandler struct{}

// Handle returns a result without calling another handler.
func (terminalHandler) Handle(context.Context, chain.Request, chain.Writer) (chain.Result, error) {
	return chain.Result{
		Endpoint: "e1",
	}, nil
}

func ExampleBuild() {
	h := chain.Build(terminalHandler{}, loggingFilter("identify"), loggingFilter("match"))
	result, err := h.Handle(context.Background(), chain.Request{}, nil)
	fmt.Println(result.Endpoint, err)
	// Output:
	// identify
	// match
	// e1 <nil>
}
