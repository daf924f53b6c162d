package ctrl

import (
	"fmt"
	"reflect"
	"runtime"
	"strconv"
	"strings"
	"time"

	"github.com/baobabtally/baobabtally/internal/state"
)

// maxPanicFrames is the maximum depth of the stack that is searched for the origin of a
// panic.
const maxPanicFrames = 64

// guarded is a controller whose panic costs its own step for one event, rather than the
// process. States are immutable, so that the state before the step is intact.
type guarded struct {
	inner Controller
}

// guardAll returns cs with each controller guarded.
func guardAll(cs []Controller) []Controller {
	out := make([]Controller, 0, len(cs))
	for _, c := range cs {
		out = append(out, guarded{
			inner: c,
		})
	}
	return out
}

// Step implements Controller.
func (g guarded) Step(s state.State, e state.Event, now time.Time) (next state.State, actions []state.Action) {
	defer func() {
		if p := recover(); p != nil {
			next = s
			actions = []state.Action{panicNote(reflect.TypeOf(g.inner).String()+" at "+e.Event(), p)}
		}
	}()
	return g.inner.Step(s, e, now)
}

// panicNote returns the log line for the recovered panic value p in the named step. It is
// called by the function that recovered.
func panicNote(step string, p any) state.Note {
	return state.Note{
		Event: "panic",
		Pairs: []string{"step", step, "reason", fmt.Sprint(p), "origin", panicOrigin()},
	}
}

// panicOrigin returns the function and the line that caused the panic being recovered.
func panicOrigin() string {
	var pcs [maxPanicFrames]uintptr
	frames := runtime.CallersFrames(pcs[:runtime.Callers(0, pcs[:])])
	panicking := false
	for {
		f, more := frames.Next()
		if panicking && !strings.HasPrefix(f.Function, "runtime.") {
			return f.Function + ":" + strconv.Itoa(f.Line)
		}
		panicking = panicking || f.Function == "runtime.gopanic"
		if !more {
			return "unknown"
		}
	}
}
