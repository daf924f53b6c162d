package store_test

import (
	"fmt"

	"github.com/juju/errors"

	"github.com/baobabtally/baobabtally/pkg/store"
)

func Example() {
	err := errors.Annotate(store.ErrLost, "connection reset")
	fmt.Println(errors.Is(err, store.ErrLost), errors.Is(err, store.ErrUnavailable))
	// Output: true false
}
