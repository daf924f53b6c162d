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

// RunEnd is when an endpoint ended its work on a request.
type RunEnd struct {
	Endpoint string    `json:"End"`
	ID       string    `json:"ID"`
	At       time.Time `json:"At"`
}

// Order is an order that an endpoint received.
type Order struct {
	Endpoint     string    `json:"End"`
	Holder       string    `json:"Holder"`
	FencingToken int64     `json:"Fence"`
	At           time.Time `json:"At"`
}

// Rejection is a request that an endpoint rejected, asking for quiet.
type Rejection struct {
	Endpoint string `json:"End"`
	ID       string `json:"ID"`
	// Quiet is for how long the endpoint wants no calls of the instance.
	Quiet time.Duration `json:"Quiet"`
	At    time.Time     `json:"At"`
}

// Config is a configuration: the service of each route and the team of each API
// key. It is never written after it is published.
type Config struct {
	Version int64             `json:"Version"`
	Routes  map[string]string `json:"Routes"`
	Keys    map[string]string `json:"Keys"`
	// Timeouts holds the timeouts of the routes that differ from Bounds.Timeout.
	Timeouts map[string]time.Duration `json:"Timeouts"`
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
	ends     []RunEnd
	// dialErrors holds when which instance accepted no connection.
	dialErrors []Event
	// rejections holds the requests that endpoints rejected while they asked for quiet.
	rejections []Rejection
	// announced holds the periods in which endpoints announced their departure. They
	// are no faults, since the endpoints serve as usual.
	announced []FaultSpan
	orders    []Order
	configs   []Config
	// events holds, by kind, when the desired weights were set, when the departure
	// (value 0) and the return (value 1) of an endpoint were acknowledged, and when
	// an instance was told to stop or to reload its settings. It also holds when a
	// sound endpoint was told to pause (value: for how many milliseconds).
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
func (rec *Recorder) RecordAttempt(a Attempt) {
	rec.update(func() { rec.attempts = append(rec.attempts, a) })
}

// RecordRun records a run.
func (rec *Recorder) RecordRun(r Run) { rec.update(func() { rec.runs = append(rec.runs, r) }) }

// RecordRunEnd records the end of a run.
func (rec *Recorder) RecordRunEnd(e RunEnd) { rec.update(func() { rec.ends = append(rec.ends, e) }) }

// RecordDialError records that an instance accepted no connection.
func (rec *Recorder) RecordDialError(instance string, at time.Time) {
	rec.update(func() {
		rec.dialErrors = append(rec.dialErrors, Event{
			Name: instance,
			At:   at,
		})
	})
}

// RecordRejection records a rejection.
func (rec *Recorder) RecordRejection(r Rejection) {
	rec.update(func() { rec.rejections = append(rec.rejections, r) })
}

// RecordOrder records an order.
func (rec *Recorder) RecordOrder(o Order) { rec.update(func() { rec.orders = append(rec.orders, o) }) }

// RecordConfig records a configuration that is sent to the store now. The returned
// function records when the store acknowledged it.
func (rec *Recorder) RecordConfig(c Config, now time.Time) func(acknowledged time.Time) {
	c.Written = now
	i := 0
	rec.update(func() {
		i = len(rec.configs)
		rec.configs = append(rec.configs, c)
	})
	return func(acknowledged time.Time) {
		rec.update(func() { rec.configs[i].Acknowledged = acknowledged })
	}
}

// RecordEvent records an event. Kind is Weights, EndpointDepart,
// EndpointPause, Stop or Reload.
func (rec *Recorder) RecordEvent(kind Kind, name string, value int64, at time.Time) {
	rec.update(func() {
		rec.events[kind] = append(rec.events[kind], Event{
			Name:  name,
			Value: value,
			At:    at,
		})
	})
}

// RecordViolation records a violation that was detected outside Check.
func (rec *Recorder) RecordViolation(rule, detail string) {
	rec.update(func() { rec.reported = append(rec.reported, Violation{Rule: rule, Detail: detail}) })
}

// RecordFault records that a fault affects subject since from. The returned function
// records its end.
func (rec *Recorder) RecordFault(subject, what string, from time.Time) func(to time.Time) {
	return rec.recordSpan(&rec.faults, subject, what, from)
}

// RecordAnnounced records that an endpoint announces its departure since from. The
// returned function records its end.
func (rec *Recorder) RecordAnnounced(endpoint string, from time.Time) func(to time.Time) {
	return rec.recordSpan(&rec.announced, endpoint, EndpointAnnounce.String(), from)
}

// recordSpan adds a period to spans and returns the function that records its end.
func (rec *Recorder) recordSpan(spans *[]FaultSpan, subject, what string, from time.Time) func(to time.Time) {
	i := 0
	rec.update(func() {
		i = len(*spans)
		*spans = append(*spans, FaultSpan{
			Subject: subject,
			What:    what,
			From:    from,
		})
	})
	return func(to time.Time) {
		rec.update(func() { (*spans)[i].To = to })
	}
}

// Holder returns the instance that sent the last order; empty if there is none.
func (rec *Recorder) Holder() string {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	if len(rec.orders) == 0 {
		return ""
	}
	return rec.orders[len(rec.orders)-1].Holder
}

// FaultFree reports whether no fault except those of the kind planned has affected
// subject since a time.
func (rec *Recorder) FaultFree(subject, planned string, since time.Time) bool {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	for _, s := range rec.faults {
		if s.Subject == subject && s.What != planned && (s.To.IsZero() || s.To.After(since)) {
			return false
		}
	}
	return true
}

// CountSuccesses returns how many attempts that began since a time succeeded, and how
// many there were. Attempts that the caller aborted are not counted.
func (rec *Recorder) CountSuccesses(since time.Time) (int, int) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	served, all := 0, 0
	for _, a := range rec.attempts {
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
func (rec *Recorder) String() string {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	return fmt.Sprintf("%d runs, %d orders, %d faults, %d configurations, %d weights", len(rec.runs), len(rec.orders), len(rec.faults), len(rec.configs), len(rec.events[Weights]))
}

// Dump writes all records as lines of JSON.
func (rec *Recorder) Dump(w io.Writer) error {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	out := json.NewEncoder(w)
	for kind, list := range map[string]any{
		"attempts":  rec.attempts,
		"runs":      rec.runs,
		"ends":      rec.ends,
		"dials":     rec.dialErrors,
		"rejected":  rec.rejections,
		"orders":    rec.orders,
		"configs":   rec.configs,
		"weights":   rec.events[Weights],
		"leavings":  rec.events[EndpointDepart],
		"stops":     rec.events[Stop],
		"reloads":   rec.events[Reload],
		"pauses":    rec.events[EndpointPause],
		"spans":     rec.faults,
		"announced": rec.announced,
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

func (rec *Recorder) update(change func()) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	change()
}

func (a Attempt) success() bool { return a.Status >= 200 && a.Status < 300 && a.Complete }
