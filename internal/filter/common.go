package filter

import (
	"time"

	"github.com/baobabtally/baobabtally/internal/state"
)

// viewer gives the control state as of the last step.
type viewer interface {
	View() *state.State
}

// poster tells the control thread what was seen.
type poster interface {
	Post(e state.Event) bool
}

// clock tells the time.
type clock func() time.Time
