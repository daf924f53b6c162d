package weight

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// orderTimeout is how long an engine counts as busy with an order whose completion has
// not been observed. An engine may first finish running requests, which can take many
// seconds.
const orderTimeout = 12 * time.Second

// maxHistory is how many desired versions of a model are retained: more than are
// released within the time that engines have to load them.
const maxHistory = 16

// sinceTolerance is how much earlier a time has to be to replace the one that is known
// for the same version, since messages take time to arrive.
const sinceTolerance = 50 * time.Millisecond

// DesiredVersion is a version of a model's weights that engines have to load.
type DesiredVersion struct {
	// Version increases with each release of the model. It is 0 before the first one.
	Version int64
	// Since is when this instance or a peer learned that the version is desired. It is
	// the zero time if that was before this instance started and no peer reported when.
	Since time.Time
	// Found is when this instance found a version of which Since is not known.
	Found time.Time
}

// Order is an order to an engine to load a version. It may be in flight.
type Order struct {
	// Engine is the name of the engine.
	Engine string
	// Model is the name of the model.
	Model string
	// Version is the version to load.
	Version int64
	// Sent is when the order was sent.
	Sent time.Time
}

// Tracker is the known desired and loaded versions of weights, and the orders to engines.
// The zero value is empty.
type Tracker struct {
	// desired holds the newest desired version by model. Invariant: never modified once
	// published.
	desired map[string]DesiredVersion
	// history holds the last desired versions of each model, in ascending order.
	// Invariant: never modified once published.
	history map[string][]DesiredVersion
	// loaded holds the loaded version of each model by engine. Invariant: never modified
	// in place.
	loaded map[string]map[string]int64
	// orders holds the last order to each engine that is not known to have completed.
	// Invariant: never modified in place.
	orders map[string]Order
}

// WithDesired returns a copy of t in which version of model is desired since the given
// time. The newest desired version does not change if it is greater than version. Of two
// times for the same version the earlier one is kept, since messages about a new version
// may arrive late but never early.
func (t Tracker) WithDesired(model string, version int64, since time.Time) Tracker {
	versions := t.history[model]
	i, known := slices.BinarySearchFunc(versions, version, func(d DesiredVersion, v int64) int { return cmp.Compare(d.Version, v) })
	if known && !versions[i].later(since) {
		return t
	}
	versions = slices.Clone(versions)
	if !known {
		versions = slices.Insert(versions, i, DesiredVersion{})
	}
	versions[i] = DesiredVersion{
		Version: version,
		Since:   since,
	}
	history := maps.Clone(t.history)
	if history == nil {
		history = map[string][]DesiredVersion{}
	}
	history[model] = versions[max(len(versions)-maxHistory, 0):]
	t.history = history
	next := maps.Clone(t.desired)
	if next == nil {
		next = map[string]DesiredVersion{}
	}
	next[model] = versions[len(versions)-1]
	t.desired = next
	return t
}

// later reports whether d.Since is later than since by more than sinceTolerance. An
// unknown time is later than any known one.
func (d DesiredVersion) later(since time.Time) bool {
	if d.Since.IsZero() || since.IsZero() {
		return d.Since.IsZero() && !since.IsZero()
	}
	return d.Since.Sub(since) > sinceTolerance
}

// WithUndatedVersion returns a copy of t in which version of model, which was found at the
// given time, has been desired since an unknown time before.
func (t Tracker) WithUndatedVersion(model string, version int64, found time.Time) Tracker {
	for _, d := range t.history[model] {
		if d.Version == version {
			return t
		}
	}
	t = t.WithDesired(model, version, time.Time{})
	versions := slices.Clone(t.history[model])
	for i := range versions {
		if versions[i].Version == version {
			versions[i].Found = found
		}
	}
	t.history = maps.Clone(t.history)
	t.history[model] = versions
	return t
}

// BehindFor returns a lower bound of how long, at now, engine has lacked a desired version of
// model; 0 if it lacks none.
func (t Tracker) BehindFor(engine, model string, now time.Time) time.Duration {
	loaded := t.loaded[engine][model]
	var longest time.Duration
	for _, d := range t.history[model] {
		since := d.Since
		if since.IsZero() {
			since = d.Found
		}
		if d.Version > loaded {
			longest = max(longest, now.Sub(since))
		}
	}
	return longest
}

// Behind reports whether engine has not loaded all desired versions of model, and returns
// the earliest time since which a version that it lacks is desired. The time is zero if
// it is not known.
func (t Tracker) Behind(engine, model string) (time.Time, bool) {
	loaded := t.loaded[engine][model]
	var since time.Time
	behind := false
	for _, d := range t.history[model] {
		if d.Version <= loaded {
			continue
		}
		if d.Since.IsZero() {
			return time.Time{}, true
		}
		if !behind || d.Since.Before(since) {
			since = d.Since
		}
		behind = true
	}
	return since, behind
}

// WithLoaded returns a copy of t in which engine has loaded version of model. An order for
// that version or an older one is complete.
func (t Tracker) WithLoaded(engine, model string, version int64) Tracker {
	if version <= t.loaded[engine][model] {
		return t
	}
	versions := maps.Clone(t.loaded[engine])
	if versions == nil {
		versions = map[string]int64{}
	}
	versions[model] = version
	next := maps.Clone(t.loaded)
	if next == nil {
		next = map[string]map[string]int64{}
	}
	next[engine] = versions
	t.loaded = next
	if o, ok := t.orders[engine]; ok && o.Model == model && o.Version <= version {
		return t.WithoutOrder(engine)
	}
	return t
}

// WithOrder returns a copy of t in which o is in flight.
func (t Tracker) WithOrder(o Order) Tracker {
	next := maps.Clone(t.orders)
	if next == nil {
		next = map[string]Order{}
	}
	next[o.Engine] = o
	t.orders = next
	return t
}

// WithoutOrder returns a copy of t in which engine executes no order.
func (t Tracker) WithoutOrder(engine string) Tracker {
	if _, ok := t.orders[engine]; !ok {
		return t
	}
	next := maps.Clone(t.orders)
	delete(next, engine)
	t.orders = next
	return t
}

// WithOnly returns a copy of t without the engines for which keep returns false.
func (t Tracker) WithOnly(keep func(engine string) bool) Tracker {
	for engine := range t.loaded {
		if !keep(engine) {
			t = t.WithoutOrder(engine)
			next := maps.Clone(t.loaded)
			delete(next, engine)
			t.loaded = next
		}
	}
	return t
}

// Desired returns the newest desired version of model.
func (t Tracker) Desired(model string) DesiredVersion { return t.desired[model] }

// DesiredHistory returns the last desired versions of model, in ascending order. The
// slice must not be modified.
func (t Tracker) DesiredHistory(model string) []DesiredVersion { return t.history[model] }

// AllDesired returns the newest desired versions by model. The map must not be modified.
func (t Tracker) AllDesired() map[string]DesiredVersion { return t.desired }

// Loaded returns the version of model that engine has loaded, or 0 if it is not known.
func (t Tracker) Loaded(engine, model string) int64 { return t.loaded[engine][model] }

// LoadedBy returns the loaded versions of engine by model. The map must not be modified.
func (t Tracker) LoadedBy(engine string) map[string]int64 { return t.loaded[engine] }

// Order returns the last order to engine that is not known to have completed, however
// old it is.
func (t Tracker) Order(engine string) (Order, bool) {
	o, ok := t.orders[engine]
	return o, ok
}

// OrderInFlight returns the order that engine is executing at now, if any. An order that is
// older than orderTimeout no longer counts.
func (t Tracker) OrderInFlight(engine string, now time.Time) (Order, bool) {
	o, ok := t.orders[engine]
	return o, ok && now.Sub(o.Sent) < orderTimeout
}

// OrdersInFlight returns the orders in flight at now, sorted by engine.
func (t Tracker) OrdersInFlight(now time.Time) []Order {
	var out []Order
	for _, name := range slices.Sorted(maps.Keys(t.orders)) {
		if o, ok := t.OrderInFlight(name, now); ok {
			out = append(out, o)
		}
	}
	return out
}

// Current reports whether engine has loaded the newest desired version of model.
func (t Tracker) Current(engine, model string) bool {
	return t.loaded[engine][model] >= t.desired[model].Version
}

// Engine is the input of Plan for one engine.
type Engine struct {
	// Name is the name of the engine.
	Name string
	// Running is the estimated number of requests that the engine is running.
	Running int
	// Suspect reports whether calls to the engine failed, so that it may not answer.
	Suspect bool
}

// Plan returns the orders to send at now, so that at most atOnce engines load weights of
// model at the same time. Suspected engines come last, since they may not answer. Among
// the others, engines with the oldest version come first, so that none waits forever
// while new versions arrive quickly, and then engines with the fewest running requests.
func (t Tracker) Plan(model string, engines []Engine, atOnce int, now time.Time) []Order {
	var waiting []Engine
	for _, e := range engines {
		if _, busy := t.OrderInFlight(e.Name, now); busy {
			atOnce--
			continue
		}
		if !t.Current(e.Name, model) {
			waiting = append(waiting, e)
		}
	}
	slices.SortStableFunc(waiting, func(x, y Engine) int {
		return cmp.Or(suspectOrder(x)-suspectOrder(y), cmp.Compare(t.loaded[x.Name][model], t.loaded[y.Name][model]), x.Running-y.Running)
	})
	var out []Order
	for _, e := range waiting {
		if len(out) >= atOnce {
			break
		}
		out = append(out, Order{
			Engine:  e.Name,
			Model:   model,
			Version: t.desired[model].Version,
			Sent:    now,
		})
	}
	return out
}

// suspectOrder is a sort key that places suspected engines last.
func suspectOrder(e Engine) int {
	if e.Suspect {
		return 1
	}
	return 0
}
