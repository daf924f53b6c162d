package soak

import (
	"encoding/json"
	"fmt"
	"io"
	"reflect"
	"sync"
	"time"

	"github.com/juju/errors"
)

// Request is what a caller wants.
type Request struct {
	// Key is the caller's key.
	Key string `json:"Key"`
	// Route is the prefix of Path that a configuration may name.
	Route  string `json:"Route"`
	Method string `json:"Method"`
	Path   string `json:"Path"`
	Body   string `json:"Body"`
	// Prompt tells how its prompt was described.
	Prompt string `json:"Prompt"`
	// Once marks work that must not run twice, and Stream an answer in pieces.
	Once   bool `json:"Once"`
	Stream bool `json:"Stream"`
	// Limit is how long the caller waits.
	Limit time.Duration `json:"Limit"`
}

// Attempt is a request as a caller sent it once, and what came of it.
type Attempt struct {
	Request
	// ID is the attempt's own; a retry has another.
	ID string `json:"ID"`
	// Node is the instance that took it.
	Node string `json:"Node"`
	// Kept counts the requests before it on its connection.
	Kept int `json:"Kept"`
	// Begun is when its first byte was sent, Sent its last, and Done when its
	// answer or its connection ended.
	Begun time.Time `json:"Begun"`
	Sent  time.Time `json:"Sent"`
	Done  time.Time `json:"Done"`
	// Status is 0 where no answer came.
	Status int `json:"Status"`
	// Echo is the id that the answer bears, and Seal the endpoint's mark.
	Echo string `json:"Echo"`
	Seal string `json:"Seal"`
	// Answer is the answer's body, and Whole tells that it ended as complete.
	Answer string `json:"Answer"`
	Whole  bool   `json:"Whole"`
	// Left tells that the caller closed first, Stray that bytes came after the
	// answer.
	Left  bool `json:"Left"`
	Stray bool `json:"Stray"`
	// Fail is the error of the connection.
	Fail string `json:"Fail"`
}

// Run is a request that an endpoint began.
type Run struct {
	End     string `json:"End"`
	Service string `json:"Service"`
	ID      string `json:"ID"`
	Method  string `json:"Method"`
	Path    string `json:"Path"`
	Body    string `json:"Body"`
	Team    string `json:"Team"`
	// Prompt tells how its prompt was described.
	Prompt string `json:"Prompt"`
	// Weights is the version that it began on; 0 where there is none.
	Weights int64 `json:"Weights"`
	// Left is how long the endpoint was told that the caller waits; 0 is not told.
	Left time.Duration `json:"Left"`
	// Forged are names of headers that no caller may set.
	Forged []string  `json:"Forged"`
	At     time.Time `json:"At"`
}

// Order is an order that an endpoint got.
type Order struct {
	End    string    `json:"End"`
	Holder string    `json:"Holder"`
	Fence  int64     `json:"Fence"`
	At     time.Time `json:"At"`
}

// Config is a configuration: which service each route leads to, and which team
// holds each key. It is never written after it is published.
type Config struct {
	Version int64             `json:"Version"`
	Routes  map[string]string `json:"Routes"`
	Keys    map[string]string `json:"Keys"`
	// Written is when it was sent, and Acked when the store had confirmed it.
	Written time.Time `json:"Written"`
	Acked   time.Time `json:"Acked"`
}

// Mark is when something was confirmed.
type Mark struct {
	Name  string    `json:"Name"`
	Value int64     `json:"Value"`
	At    time.Time `json:"At"`
}

// Span is a time in which something was harmed.
type Span struct {
	// Subject is the name of an instance or endpoint, or Core.
	Subject string    `json:"Subject"`
	What    string    `json:"What"`
	From    time.Time `json:"From"`
	// To is zero while it goes on.
	To time.Time `json:"To"`
}

// Core is the subject of spans of the store.
const Core = "core"

// Book is what was seen and done. It is safe for concurrent use.
type Book struct {
	mu       sync.Mutex
	attempts []Attempt
	runs     []Run
	orders   []Order
	configs  []Config
	// marks are when weights were named, the leaving (0) and the return (1) of
	// endpoints were confirmed, and instances were told to stop or to reload.
	marks map[Kind][]Mark
	spans []Span
	// found are breaches that were seen while the run went on.
	found []Breach
}

// NewBook returns an empty book.
func NewBook() *Book {
	return &Book{
		marks: map[Kind][]Mark{},
	}
}

// Asked notes an attempt that is over.
func (b *Book) Asked(a Attempt) { b.note(func() { b.attempts = append(b.attempts, a) }) }

// Ran notes a run.
func (b *Book) Ran(r Run) { b.note(func() { b.runs = append(b.runs, r) }) }

// Ordered notes an order.
func (b *Book) Ordered(o Order) { b.note(func() { b.orders = append(b.orders, o) }) }

// Configured notes a configuration that is written now. The function that it
// returns notes when the store has confirmed it.
func (b *Book) Configured(c Config, now time.Time) func(acked time.Time) {
	c.Written = now
	i := 0
	b.note(func() {
		i = len(b.configs)
		b.configs = append(b.configs, c)
	})
	return func(acked time.Time) {
		b.note(func() { b.configs[i].Acked = acked })
	}
}

// Marked notes something that was confirmed. Kind is Weights, EndLeave, Stop or
// Reload.
func (b *Book) Marked(kind Kind, name string, value int64, at time.Time) {
	b.note(func() {
		b.marks[kind] = append(b.marks[kind], Mark{
			Name:  name,
			Value: value,
			At:    at,
		})
	})
}

// Found notes a breach.
func (b *Book) Found(rule, detail string) {
	b.note(func() { b.found = append(b.found, Breach{Rule: rule, Detail: detail}) })
}

// Harm notes that subject is harmed from a time on, until that which is given to
// the function that it returns.
func (b *Book) Harm(subject, what string, from time.Time) func(to time.Time) {
	i := 0
	b.note(func() {
		i = len(b.spans)
		b.spans = append(b.spans, Span{
			Subject: subject,
			What:    what,
			From:    from,
		})
	})
	return func(to time.Time) {
		b.note(func() { b.spans[i].To = to })
	}
}

// Holder returns who gave the last order, or nothing.
func (b *Book) Holder() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.orders) == 0 {
		return ""
	}
	return b.orders[len(b.orders)-1].Holder
}

// Calm tells whether no harm but what was planned came to a subject since a time.
func (b *Book) Calm(subject, planned string, since time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, s := range b.spans {
		if s.Subject == subject && s.What != planned && (s.To.IsZero() || s.To.After(since)) {
			return false
		}
	}
	return true
}

// Served counts the attempts that ended with a whole success since a time, and
// all that were sent since then.
func (b *Book) Served(since time.Time) (int, int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	served, all := 0, 0
	for _, a := range b.attempts {
		if a.Begun.Before(since) || a.Left {
			continue
		}
		all++
		if a.success() {
			served++
		}
	}
	return served, all
}

// String counts what was seen.
func (b *Book) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return fmt.Sprintf("%d runs, %d orders, %d harms, %d configurations, %d weights", len(b.runs), len(b.orders), len(b.spans), len(b.configs), len(b.marks[Weights]))
}

// Dump writes all as lines of JSON.
func (b *Book) Dump(w io.Writer) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := json.NewEncoder(w)
	for kind, list := range map[string]any{
		"attempts": b.attempts,
		"runs":     b.runs,
		"orders":   b.orders,
		"configs":  b.configs,
		"weights":  b.marks[Weights],
		"leavings": b.marks[EndLeave],
		"stops":    b.marks[Stop],
		"reloads":  b.marks[Reload],
		"spans":    b.spans,
	} {
		items := reflect.ValueOf(list)
		for i := range items.Len() {
			if err := out.Encode(map[string]any{kind: items.Index(i).Interface()}); err != nil {
				return errors.Trace(err)
			}
		}
	}
	return nil
}

func (b *Book) note(change func()) {
	b.mu.Lock()
	defer b.mu.Unlock()
	change()
}

func (a Attempt) success() bool { return a.Status >= 200 && a.Status < 300 && a.Whole }
