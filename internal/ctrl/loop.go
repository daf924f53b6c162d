package ctrl

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"github.com/baobabtally/baobabtally/internal/state"
)

const (
	// Interval is the usual time between two ticks.
	Interval = 500 * time.Millisecond
	// backlog is how many events may wait for the control thread.
	backlog = 4096
	// actionLimit is how long an action may take.
	actionLimit = 2 * time.Second
)

// Doer does actions.
type Doer interface {
	// Do does a and returns its event, or nil where there is none.
	Do(ctx context.Context, a state.Action) state.Event
}

// waited is an event for whose state somebody waits.
type waited interface {
	Published()
}

// Loop is the control thread. It is made by New.
type Loop struct {
	controllers []Controller
	doer        Doer
	now         func() time.Time
	interval    time.Duration
	events      chan state.Event
	view        atomic.Pointer[state.State]
	// dropped counts events for which there was no room.
	dropped atomic.Int64
	// steps counts steps, and busy the nanoseconds that they took.
	steps atomic.Int64
	busy  atomic.Int64
	// running holds the keys of actions under way. Only the control thread
	// uses it.
	running map[string]bool
	ended   chan string
	workers sync.WaitGroup
	// started is closed when the state is ready for the first time.
	started chan struct{}
	once    sync.Once
	done    chan struct{}
}

// Option changes a loop that New makes.
type Option func(*Loop)

// WithClock has the loop read the time from now.
func WithClock(now func() time.Time) Option {
	return func(l *Loop) { l.now = now }
}

// WithInterval sets the time between two ticks.
func WithInterval(d time.Duration) Option {
	return func(l *Loop) { l.interval = d }
}

// WithControllers replaces the controllers.
func WithControllers(cs ...Controller) Option {
	return func(l *Loop) { l.controllers = cs }
}

// New returns a loop that starts from s. It does nothing before Run.
func New(s state.State, d Doer, opts ...Option) *Loop {
	l := &Loop{
		controllers: Controllers(),
		doer:        d,
		now:         time.Now,
		interval:    Interval,
		events:      make(chan state.Event, backlog),
		running:     map[string]bool{},
		ended:       make(chan string),
		started:     make(chan struct{}),
		done:        make(chan struct{}),
	}
	for _, o := range opts {
		o(l)
	}
	l.view.Store(&s)
	return l
}

// View returns the state as of the last step. It must not be written.
func (l *Loop) View() *state.State { return l.view.Load() }

// Post hands e to the control thread, or drops and counts it where there is
// no room. It never blocks.
func (l *Loop) Post(e state.Event) bool {
	select {
	case l.events <- e:
		return true
	default:
		l.dropped.Add(1)
		return false
	}
}

// Tell hands e to the control thread and waits for room.
func (l *Loop) Tell(ctx context.Context, e state.Event) error {
	select {
	case l.events <- e:
		return nil
	case <-l.done:
		return errors.New("the control thread has ended: send the call to another instance")
	case <-ctx.Done():
		return errors.Trace(ctx.Err())
	}
}

// Started is closed when the instance can take work for the first time.
func (l *Loop) Started() <-chan struct{} { return l.started }

// Dropped returns how many events were dropped.
func (l *Loop) Dropped() int64 { return l.dropped.Load() }

// Spent returns how many steps there were and the time that they took.
func (l *Loop) Spent() (int64, time.Duration) {
	return l.steps.Load(), time.Duration(l.busy.Load())
}

// Done is closed when the loop and all its actions have ended.
func (l *Loop) Done() <-chan struct{} { return l.done }

// Run steps until ctx ends. It is called once.
func (l *Loop) Run(ctx context.Context) error {
	ticker := time.NewTicker(l.interval)
	defer ticker.Stop()
	defer close(l.done)
	l.step(ctx, state.Tick{})
	for {
		select {
		case e := <-l.events:
			l.step(ctx, e)
		case key := <-l.ended:
			delete(l.running, key)
		case <-ticker.C:
			l.step(ctx, state.Tick{})
		case <-ctx.Done():
			l.settle()
			return nil
		}
	}
}

// settle waits for the actions under way.
func (l *Loop) settle() {
	all := make(chan struct{})
	go func() {
		l.workers.Wait()
		close(all)
	}()
	for {
		select {
		case <-l.ended:
		case <-l.events:
		case <-all:
			return
		}
	}
}

func (l *Loop) step(ctx context.Context, e state.Event) {
	start := time.Now()
	next, actions := Step(l.controllers, *l.view.Load(), e, l.now())
	l.view.Store(&next)
	if ok, _ := next.Ready(l.now()); ok {
		l.once.Do(func() { close(l.started) })
	}
	if w, ok := e.(waited); ok {
		w.Published()
	}
	l.steps.Add(1)
	l.busy.Add(int64(time.Since(start)))
	for _, a := range actions {
		l.start(ctx, a)
	}
}

// start has a done by another goroutine unless one of its key is under way.
func (l *Loop) start(ctx context.Context, a state.Action) {
	key := a.Key()
	if key != "" && l.running[key] {
		return
	}
	if key != "" {
		l.running[key] = true
	}
	l.workers.Go(func() {
		limited, cancel := context.WithTimeout(ctx, actionLimit)
		defer cancel()
		if e := l.doer.Do(limited, a); e != nil {
			select {
			case l.events <- e:
			case <-ctx.Done():
			}
		}
		if key != "" {
			l.ended <- key
		}
	})
}
