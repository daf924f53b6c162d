package front_test

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/stretchr/testify/require"

	"github.com/baobabtally/baobabtally/internal/front"
	"github.com/baobabtally/baobabtally/internal/state"
	"github.com/baobabtally/baobabtally/pkg/grace"
	"github.com/baobabtally/baobabtally/pkg/stream"
)

// fixedView is the state of a control thread that takes no events.
type fixedView struct {
	state state.State
}

func (v fixedView) View() *state.State { return &v.state }

// Load balancers must learn of a stop before the listener closes, also while the control
// thread is delayed.
func TestStoppingInstanceIsNotReady(t *testing.T) {
	t.Parallel()
	signal := grace.New()
	e := echo.New()
	front.Mount(e, nil, fixedView{}, stream.NewSigner([]byte("secret")), signal)
	probe := func() string {
		w := httptest.NewRecorder()
		e.ServeHTTP(w, httptest.NewRequestWithContext(t.Context(), http.MethodGet, "/readyz", nil))
		return w.Body.String()
	}
	require.NotContains(t, probe(), "stopping")
	signal.Begin(grace.Period{
		End: time.Now().Add(time.Minute),
	})
	require.Equal(t, "the instance is stopping\n", probe())
}
