package retry_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/baobabtally/baobabtally/pkg/retry"
)

func ExampleBudget() {
	var b retry.Budget
	b.RecordCall()
	fmt.Println(b.Take())
	// Output: true
}

func TestRetriesAreAShareOfFirstAttempts(t *testing.T) {
	var b retry.Budget
	for b.Take() {
	}
	taken := 0
	for range 1000 {
		b.RecordCall()
		if b.Take() {
			taken++
		}
	}
	require.InDelta(t, 100, taken, 1)
}
