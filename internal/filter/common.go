package filter

import (
	"time"

	"github.com/baobabtally/baobabtally/internal/state"
)

// viewer returns the control state as of the last step of the control thread.
type viewer interface {
	View() *state.State
}

// poster sends events to the control thread.
type poster interface {
	Post(e state.Event) bool
}

// clock returns the current time.
type clock func() time.Time
