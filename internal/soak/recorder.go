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

// Request is a request that a caller sends once or more often.
type Request struct {
	// Key is the caller's API key.
	Key string `json:"Key"`
	// Route is the prefix of Path that a configuration may route.
	Route  string `json:"Route"`
	Method string `json:"Method"`
	Path   string `json:"Path"`
	Body   string `json:"Body"`
	// Prompt describes the prompt in the request's headers.
	Prompt string `json:"Prompt"`
	// Once marks a request that is not idempotent, and Stream one with a streamed
	// response.
	Once   bool `json:"Once"`
	Stream bool `json:"Stream"`
	// Limit is the caller's timeout.
	Limit time.Duration `json:"Limit"`
}

// Attempt is one transmission of a request and its outcome.
type Attempt struct {
	Request
	// ID is unique to the attempt; a retry has another.
	ID string `json:"ID"`
	// Instance is the instance that accepted the connection.
	Instance string `json:"Node"`
	// PriorRequests counts the requests before it on its connection.
	PriorRequests int `json:"Kept"`
	// Begun is when its first byte was sent, Sent when its last was, and Done
	// when its response or its connection ended.
	Begun time.Time `json:"Begun"`
	Sent  time.Time `json:"Sent"`
	Done  time.Time `json:"Done"`
	// Status is the status code; 0 without a response.
	Status int `json:"Status"`
	// Echo is the attempt ID in the response, and Seal the value by which the
	// endpoint identifies itself and the attempt.
	Echo string `json:"Echo"`
	Seal string `json:"Seal"`
	// ResponseBody is the body as received, and Complete reports that it was
	// received to its end.
	ResponseBody string `json:"Answer"`
	Complete     bool   `json:"Whole"`
	// CallerClosed reports that the caller closed the connection first, and
	// ExtraBytes that bytes followed the response.
	CallerClosed bool `json:"Left"`
	ExtraBytes   bool `json:"Stray"`
	// ConnError is the error of the connection, if any.
	ConnError string `json:"Fail"`
}

// Run is a request that an endpoint began to execute.
type Run struct {
	Endpoint string `json:"End"`
	Service  string `json:"Service"`
	ID       string `json:"ID"`
	Method   string `json:"Method"`
	Path     string `json:"Path"`
	Body     string `json:"Body"`
	Team     string `json:"Team"`
	// Prompt is Request.Prompt as the endpoint received it.
	Prompt string `json:"Prompt"`
	// Weights is the version of the weights that it began on; 0 if there is none.
	Weights int64 `json:"Weights"`
	// RemainingTime is the remaining time that the endpoint was told; 0 if it was told none.
	RemainingTime time.Duration `json:"Left"`
	// Forged lists received headers that no caller may set.
	Forged []string  `json:"Forged"`
	At     time.Time `json:"At"`
}

// Order is an order that an endpoint received.
type Order struct {
	Endpoint     string    `json:"End"`
	Holder       string    `json:"Holder"`
	FencingToken int64     `json:"Fence"`
	At           time.Time `json:"At"`
}

// Config is a configuration: the service of each route and the team of each API
// key. It is never written after it is published.
type Config struct {
	Version int64             `json:"Version"`
	Routes  map[string]string `json:"Routes"`
	Keys    map[string]string `json:"Keys"`
	// Written is when it was sent to the store, and Acknowledged when the store
	// acknowledged it.
	Written      time.Time `json:"Written"`
	Acknowledged time.Time `json:"Acked"`
}

// Event is the time of a planned change.
type Event struct {
	Name  string    `json:"Name"`
	Value int64     `json:"Value"`
	At    time.Time `json:"At"`
}

// FaultSpan is a period in which a fault affected its subject.
type FaultSpan struct {
	// Subject is the name of an instance or endpoint, or Core.
	Subject string    `json:"Subject"`
	What    string    `json:"What"`
	From    time.Time `json:"From"`
	// To is zero while the fault lasts.
	To time.Time `json:"To"`
}

// Core is the subject of faults of the store.
const Core = "core"

// Recorder records requests, orders, configurations and faults of a run. It is
// safe for concurrent use.
type Recorder struct {
	mu       sync.Mutex
	attempts []Attempt
	runs     []Run
	orders   []Order
	configs  []Config
	// events holds, by kind, when the desired weights were set, when the departure
	// (value 0) and the return (value 1) of an endpoint were acknowledged, and when
	// an instance was told to stop or to reload its settings.
	events map[Kind][]Event
	faults []FaultSpan
	// reported holds violations that were detected during the run.
	reported []Violation
}

// NewRecorder returns an empty recorder.
func NewRecorder() *Recorder {
	return &Recorder{
		events: map[Kind][]Event{},
	}
}

// RecordAttempt records an attempt that has ended.
func (b *Recorder) RecordAttempt(a Attempt) { b.update(func() { b.attempts = append(b.attempts, a) }) }

// RecordRun records a run.
func (b *Recorder) RecordRun(r Run) { b.update(func() { b.runs = append(b.runs, r) }) }

// RecordOrder records an order.
func (b *Recorder) RecordOrder(o Order) { b.update(func() { b.orders = append(b.orders, o) }) }

// RecordConfig records a configuration that is sent to the store now. The returned
// function records when the store acknowledged it.
func (b *Recorder) RecordConfig(c Config, now time.Time) func(acknowledged time.Time) {
	c.Written = now
	i := 0
	b.update(func() {
		i = len(b.configs)
		b.configs = append(b.configs, c)
	})
	return func(acknowledged time.Time) {
		b.update(func() { b.configs[i].Acknowledged = acknowledged })
	}
}

// RecordEvent records an event. Kind is Weights, EndLeave, Stop or Reload.
func (b *Recorder) RecordEvent(kind Kind, name string, value int64, at time.Time) {
	b.update(func() {
		b.events[kind] = append(b.events[kind], Event{
			Name:  name,
			Value: value,
			At:    at,
		})
	})
}

// RecordViolation records a violation that was detected outside Check.
func (b *Recorder) RecordViolation(rule, detail string) {
	b.update(func() { b.reported = append(b.reported, Violation{Rule: rule, Detail: detail}) })
}

// RecordFault records that a fault affects subject since from. The returned function
// records its end.
func (b *Recorder) RecordFault(subject, what string, from time.Time) func(to time.Time) {
	i := 0
	b.update(func() {
		i = len(b.faults)
		b.faults = append(b.faults, FaultSpan{
			Subject: subject,
			What:    what,
			From:    from,
		})
	})
	return func(to time.Time) {
		b.update(func() { b.faults[i].To = to })
	}
}

// Holder returns the instance that sent the last order; empty if there is none.
func (b *Recorder) Holder() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.orders) == 0 {
		return ""
	}
	return b.orders[len(b.orders)-1].Holder
}

// FaultFree reports whether no fault except those of the kind planned has affected
// subject since a time.
func (b *Recorder) FaultFree(subject, planned string, since time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, s := range b.faults {
		if s.Subject == subject && s.What != planned && (s.To.IsZero() || s.To.After(since)) {
			return false
		}
	}
	return true
}

// CountSuccesses returns how many attempts that began since a time succeeded, and how
// many there were. Attempts that the caller aborted are not counted.
func (b *Recorder) CountSuccesses(since time.Time) (int, int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	served, all := 0, 0
	for _, a := range b.attempts {
		if a.Begun.Before(since) || a.CallerClosed {
			continue
		}
		all++
		if a.success() {
			served++
		}
	}
	return served, all
}

// String returns the number of records of each kind.
func (b *Recorder) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return fmt.Sprintf("%d runs, %d orders, %d faults, %d configurations, %d weights", len(b.runs), len(b.orders), len(b.faults), len(b.configs), len(b.events[Weights]))
}

// Dump writes all records as lines of JSON.
func (b *Recorder) Dump(w io.Writer) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := json.NewEncoder(w)
	for kind, list := range map[string]any{
		"attempts": b.attempts,
		"runs":     b.runs,
		"orders":   b.orders,
		"configs":  b.configs,
		"weights":  b.events[Weights],
		"leavings": b.events[EndLeave],
		"stops":    b.events[Stop],
		"reloads":  b.events[Reload],
		"spans":    b.faults,
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

func (b *Recorder) update(change func()) {
	b.mu.Lock()
	defer b.mu.Unlock()
	change()
}

func (a Attempt) success() bool { return a.Status >= 200 && a.Status < 300 && a.Complete }
