package weight

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// orderLife is how long an engine counts as busy with an order that it has not
// been seen to carry out. Runs of many seconds may end first.
const orderLife = 12 * time.Second

// keptNames is how many names of a model are kept: more than are made within
// the time in which engines have to take them.
const keptNames = 16

// dateSlack is by how much a date has to be earlier to replace another.
const dateSlack = 50 * time.Millisecond

// Named is the version of a model that is wanted.
type Named struct {
	// Version grows with each release of the model. It is 0 before the first.
	Version int64
	// Since is when it was named, as far as this instance or a peer learned of it;
	// the zero time where it was named before this instance started and no peer
	// told when.
	Since time.Time
}

// Order is an order to an engine that may be under way.
type Order struct {
	// Engine is the engine's name.
	Engine string
	// Model is the model whose weights it takes.
	Model string
	// Version is the version that it takes.
	Version int64
	// Sent is when the order was given.
	Sent time.Time
}

// Book is what is known of weights. The zero value knows nothing.
type Book struct {
	// named is by model. Invariant: never written once published.
	named map[string]Named
	// past is the last names of each model by version, the oldest first.
	// Invariant: never written once published.
	past map[string][]Named
	// held is the version of each model by engine. Invariant: never written.
	held map[string]map[string]int64
	// orders is the orders under way by engine. Invariant: never written.
	orders map[string]Order
}

// WithNamed returns a copy of b in which version of model is wanted since the
// given time, unless a newer one is. Of two times for one version the earlier
// holds, since news of a naming come late and never early.
func (b Book) WithNamed(model string, version int64, since time.Time) Book {
	names := b.past[model]
	i, known := slices.BinarySearchFunc(names, version, func(n Named, v int64) int { return cmp.Compare(n.Version, v) })
	if known && !names[i].later(since) {
		return b
	}
	names = slices.Clone(names)
	if !known {
		names = slices.Insert(names, i, Named{})
	}
	names[i] = Named{
		Version: version,
		Since:   since,
	}
	past := maps.Clone(b.past)
	if past == nil {
		past = map[string][]Named{}
	}
	past[model] = names[max(len(names)-keptNames, 0):]
	b.past = past
	next := maps.Clone(b.named)
	if next == nil {
		next = map[string]Named{}
	}
	next[model] = names[len(names)-1]
	b.named = next
	return b
}

// later tells whether n is dated later than since, by more than messages take.
// A date that is not known is later than any.
func (n Named) later(since time.Time) bool {
	if n.Since.IsZero() || since.IsZero() {
		return n.Since.IsZero() && !since.IsZero()
	}
	return n.Since.Sub(since) > dateSlack
}

// WithFound returns a copy of b in which version of model was named before this
// instance started.
func (b Book) WithFound(model string, version int64) Book {
	return b.WithNamed(model, version, time.Time{})
}

// Behind returns since when engine lacks a version of model that is wanted, and
// whether it does. Each version is judged from its own naming.
func (b Book) Behind(engine, model string) (time.Time, bool) {
	held := b.held[engine][model]
	var since time.Time
	behind := false
	for _, n := range b.past[model] {
		if n.Version <= held {
			continue
		}
		if n.Since.IsZero() {
			return time.Time{}, true
		}
		if !behind || n.Since.Before(since) {
			since = n.Since
		}
		behind = true
	}
	return since, behind
}

// WithHeld returns a copy of b in which engine was seen with version of model.
func (b Book) WithHeld(engine, model string, version int64) Book {
	if version <= b.held[engine][model] {
		return b
	}
	versions := maps.Clone(b.held[engine])
	if versions == nil {
		versions = map[string]int64{}
	}
	versions[model] = version
	next := maps.Clone(b.held)
	if next == nil {
		next = map[string]map[string]int64{}
	}
	next[engine] = versions
	b.held = next
	if o, ok := b.orders[engine]; ok && o.Model == model && o.Version <= version {
		return b.WithoutOrder(engine)
	}
	return b
}

// WithOrder returns a copy of b in which o is under way.
func (b Book) WithOrder(o Order) Book {
	next := maps.Clone(b.orders)
	if next == nil {
		next = map[string]Order{}
	}
	next[o.Engine] = o
	b.orders = next
	return b
}

// WithoutOrder returns a copy of b in which engine carries out no order.
func (b Book) WithoutOrder(engine string) Book {
	if _, ok := b.orders[engine]; !ok {
		return b
	}
	next := maps.Clone(b.orders)
	delete(next, engine)
	b.orders = next
	return b
}

// WithOnly returns a copy of b that knows only engines that keep returns true for.
func (b Book) WithOnly(keep func(engine string) bool) Book {
	for engine := range b.held {
		if !keep(engine) {
			b = b.WithoutOrder(engine)
			next := maps.Clone(b.held)
			delete(next, engine)
			b.held = next
		}
	}
	return b
}

// Named returns the version of model that is wanted.
func (b Book) Named(model string) Named { return b.named[model] }

// Past returns the last names of model, the oldest first. It must not be written.
func (b Book) Past(model string) []Named { return b.past[model] }

// AllNamed returns the wanted versions by model. It must not be written.
func (b Book) AllNamed() map[string]Named { return b.named }

// Held returns the version of model that engine was last seen with, or 0.
func (b Book) Held(engine, model string) int64 { return b.held[engine][model] }

// HeldBy returns the versions of all models of engine. It must not be written.
func (b Book) HeldBy(engine string) map[string]int64 { return b.held[engine] }

// Order returns the last order to engine that is not known to have ended.
func (b Book) Order(engine string) (Order, bool) {
	o, ok := b.orders[engine]
	return o, ok
}

// Ordered returns the order that engine carries out at now, if any.
func (b Book) Ordered(engine string, now time.Time) (Order, bool) {
	o, ok := b.orders[engine]
	return o, ok && now.Sub(o.Sent) < orderLife
}

// Orders returns the orders under way at now, by the names of their engines.
func (b Book) Orders(now time.Time) []Order {
	var out []Order
	for _, name := range slices.Sorted(maps.Keys(b.orders)) {
		if o, ok := b.Ordered(name, now); ok {
			out = append(out, o)
		}
	}
	return out
}

// Current tells whether engine holds the wanted version of model.
func (b Book) Current(engine, model string) bool {
	return b.held[engine][model] >= b.named[model].Version
}

// Engine is an engine as a plan sees it.
type Engine struct {
	// Name is the engine's name.
	Name string
	// Running is how many requests are believed to run there.
	Running int
	// Suspect tells that it failed calls and may not answer.
	Suspect bool
}

// Plan returns the orders to give at now, so that at most atOnce of the engines
// take new weights of model at a time. Suspects may not answer and go last. The oldest weights go first, so that no engine waits
// for ever while versions come fast, and then the least work.
func (b Book) Plan(model string, engines []Engine, atOnce int, now time.Time) []Order {
	var waiting []Engine
	for _, e := range engines {
		if _, busy := b.Ordered(e.Name, now); busy {
			atOnce--
			continue
		}
		if !b.Current(e.Name, model) {
			waiting = append(waiting, e)
		}
	}
	slices.SortStableFunc(waiting, func(x, y Engine) int {
		return cmp.Or(suspicion(x)-suspicion(y), cmp.Compare(b.held[x.Name][model], b.held[y.Name][model]), x.Running-y.Running)
	})
	var out []Order
	for _, e := range waiting {
		if len(out) >= atOnce {
			break
		}
		out = append(out, Order{
			Engine:  e.Name,
			Model:   model,
			Version: b.named[model].Version,
			Sent:    now,
		})
	}
	return out
}

// suspicion orders engines that are trusted before suspects.
func suspicion(e Engine) int {
	if e.Suspect {
		return 1
	}
	return 0
}
