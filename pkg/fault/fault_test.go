package fault_test

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/baobabtally/baobabtally/pkg/fault"
)

func ExampleNew() {
	err := fault.New(fault.Limited, "team %s is over its limit: retry later", "loom").WithRetry(2 * time.Second)
	fmt.Println(err, err.Run, err.Retry)
	// Output: limited: team loom is over its limit: retry later not_run 2s
}

func TestFromUntypedErrorReportsUnknownRun(t *testing.T) {
	f := fault.From(errors.New("boom"))
	require.Equal(t, fault.Internal, f.Kind)
	require.Equal(t, fault.Unknown, f.Run)
	wrapped := fmt.Errorf("in a filter: %w", fault.New(fault.Busy, "wait"))
	require.Equal(t, fault.Busy, fault.From(wrapped).Kind)
}
