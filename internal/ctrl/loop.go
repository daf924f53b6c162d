package ctrl

import (
	"context"
	"reflect"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"github.com/baobabtally/baobabtally/internal/state"
)

const (
	// Interval is the default time between two ticks.
	Interval = 500 * time.Millisecond
	// eventQueueSize is how many events may wait for the control thread.
	eventQueueSize = 4096
	// actionTimeout is how long an action may take.
	actionTimeout = 2 * time.Second
)

// Executor executes actions.
type Executor interface {
	// Execute executes a and returns the resulting event, or nil if there is none.
	Execute(ctx context.Context, a state.Action) state.Event
}

// publishNotifier is implemented by events whose sender waits until the resulting
// state is published.
type publishNotifier interface {
	Published()
}

// completion is an action that has ended.
type completion struct {
	// key is the action's key, and event its result; nil if there is none.
	key   string
	event state.Event
}

// Loop is the control thread. It is created by New.
type Loop struct {
	controllers []Controller
	executor    Executor
	now         func() time.Time
	interval    time.Duration
	events      chan state.Event
	view        atomic.Pointer[state.State]
	// dropped counts events that were discarded because the queue was full.
	dropped atomic.Int64
	// steps counts the steps, and stepNanos the nanoseconds that they took.
	steps     atomic.Int64
	stepNanos atomic.Int64
	// inFlight holds the keys of the actions in flight. Only the control thread
	// accesses it.
	inFlight  map[string]bool
	completed chan completion
	workers   sync.WaitGroup
	// started is closed when the state becomes ready for the first time.
	started chan struct{}
	once    sync.Once
	done    chan struct{}
}

// Option configures the Loop that New creates.
type Option func(*Loop)

// WithClock makes the loop read the time from now.
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

// New returns a loop that starts from s. It does nothing until Run is called.
func New(s state.State, executor Executor, opts ...Option) *Loop {
	l := &Loop{
		controllers: Controllers(),
		executor:    executor,
		now:         time.Now,
		interval:    Interval,
		events:      make(chan state.Event, eventQueueSize),
		inFlight:    map[string]bool{},
		completed:   make(chan completion),
		started:     make(chan struct{}),
		done:        make(chan struct{}),
	}
	for _, o := range opts {
		o(l)
	}
	l.controllers = guardAll(l.controllers)
	l.view.Store(&s)
	return l
}

// View returns the state after the last step. The caller must not modify it.
func (l *Loop) View() *state.State { return l.view.Load() }

// Post queues e for the control thread and reports whether the queue had capacity.
// It never blocks: if the queue is full, e is dropped and counted.
func (l *Loop) Post(e state.Event) bool {
	select {
	case l.events <- e:
		return true
	default:
		l.dropped.Add(1)
		return false
	}
}

// Tell queues e for the control thread and waits while the queue is full.
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

// Started returns a channel that is closed when the instance can take work for the
// first time.
func (l *Loop) Started() <-chan struct{} { return l.started }

// Dropped returns how many events were dropped.
func (l *Loop) Dropped() int64 { return l.dropped.Load() }

// StepTime returns the number of steps and the total time that they took.
func (l *Loop) StepTime() (int64, time.Duration) {
	return l.steps.Load(), time.Duration(l.stepNanos.Load())
}

// Done returns a channel that is closed when the loop and all its actions have
// ended.
func (l *Loop) Done() <-chan struct{} { return l.done }

// Run processes events until ctx ends. It must be called only once.
func (l *Loop) Run(ctx context.Context) error {
	ticker := time.NewTicker(l.interval)
	defer ticker.Stop()
	defer close(l.done)
	l.step(ctx, state.Tick{})
	for {
		select {
		case e := <-l.events:
			l.step(ctx, e)
		case c := <-l.completed:
			// The event may start the next action with the same key.
			delete(l.inFlight, c.key)
			if c.event != nil {
				l.step(ctx, c.event)
			}
		case <-ticker.C:
			l.step(ctx, state.Tick{})
		case <-ctx.Done():
			l.drainActions()
			return nil
		}
	}
}

// drainActions waits for the actions in flight and discards their events.
func (l *Loop) drainActions() {
	all := make(chan struct{})
	go func() {
		l.workers.Wait()
		close(all)
	}()
	for {
		select {
		case <-l.completed:
		case <-l.events:
		case <-all:
			return
		}
	}
}

// step has the controllers process e, publishes the new state and starts the
// resulting actions.
func (l *Loop) step(ctx context.Context, e state.Event) {
	start := time.Now()
	next, actions := Step(l.controllers, *l.view.Load(), e, l.now())
	l.view.Store(&next)
	if ok, _ := next.Ready(l.now()); ok {
		l.once.Do(func() { close(l.started) })
	}
	if n, ok := e.(publishNotifier); ok {
		n.Published()
	}
	l.steps.Add(1)
	l.stepNanos.Add(int64(time.Since(start)))
	for _, a := range actions {
		l.startAction(ctx, a)
	}
}

// startAction executes a in another goroutine unless an action with the same key is
// in flight.
func (l *Loop) startAction(ctx context.Context, a state.Action) {
	key := a.Key()
	if key != "" && l.inFlight[key] {
		return
	}
	if key != "" {
		l.inFlight[key] = true
	}
	l.workers.Go(func() {
		limited, cancel := context.WithTimeout(ctx, actionTimeout)
		defer cancel()
		e := l.execute(limited, a)
		if e != nil || key != "" {
			l.completed <- completion{
				key:   key,
				event: e,
			}
		}
	})
}

// execute executes a. A panic costs the result of the action, rather than the process.
func (l *Loop) execute(ctx context.Context, a state.Action) (e state.Event) {
	defer func() {
		p := recover()
		if p == nil {
			return
		}
		e = nil
		if _, isNote := a.(state.Note); !isNote {
			l.execute(ctx, panicNote(reflect.TypeOf(a).String(), p))
		}
	}()
	return l.executor.Execute(ctx, a)
}
