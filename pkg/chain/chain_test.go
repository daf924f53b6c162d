package chain_test

import (
	"context"
	"fmt"

	"github.com/baobabtally/baobabtally/pkg/chain"
)

// named prints its name and passes the request on.
type named string

// Filter passes r on.
func (n named) Filter(ctx context.Context, r chain.Request, w chain.Writer, next chain.Handler) (chain.Result, error) {
	fmt.Println(n)
	return next.Handle(ctx, r, w)
}

// last ends the chain.
type last struct{}

// Handle answers.
func (last) Handle(context.Context, chain.Request, chain.Writer) (chain.Result, error) {
	return chain.Result{
		Endpoint: "e1",
	}, nil
}

func ExampleBuild() {
	h := chain.Build(last{}, named("identify"), named("match"))
	result, err := h.Handle(context.Background(), chain.Request{}, nil)
	fmt.Println(result.Endpoint, err)
	// Output:
	// identify
	// match
	// e1 <nil>
}
