package meter

import (
	"context"
	"math"
	"net/http"
	"time"

	"github.com/juju/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"go.opentelemetry.io/otel/attribute"
	otelprom "go.opentelemetry.io/otel/exporters/prometheus"
	"go.opentelemetry.io/otel/metric"
	sdk "go.opentelemetry.io/otel/sdk/metric"

	"github.com/baobabtally/baobabtally/pkg/chain"
	"github.com/baobabtally/baobabtally/pkg/invar"
)

// Meter holds the instruments of one process.
type Meter struct {
	handler          http.Handler
	provider         *sdk.MeterProvider
	requests         metric.Int64Counter
	firstToken       metric.Float64Histogram
	promptTokens     metric.Int64Counter
	cachedTokens     metric.Int64Counter
	recomputedTokens metric.Int64Counter
	outputTokens     metric.Int64Counter
	extraAttempts    metric.Int64Counter
	violations       metric.Int64Counter
	storeCalls       metric.Int64Counter
	// decisions counts the control thread's changes of state and the actions that it
	// emitted.
	decisions metric.Int64Counter
	// choices, expectedPrefill and failedAttempts are only used by instances that
	// forward by routes.
	choices         metric.Int64Counter
	expectedPrefill metric.Int64Counter
	failedAttempts  metric.Int64Counter
	refusals        metric.Int64Counter
	cuts            metric.Int64Counter
	closes          metric.Int64Counter
	crossings       metric.Int64Counter
	discarded       metric.Int64Counter
	unreadableRows  metric.Int64Counter
	signals         metric.Int64Counter
	resumptions     metric.Int64Counter
	admissionWait   metric.Float64Histogram
	// otelMeter creates the observable gauges, whose values are read at each scrape.
	otelMeter metric.Meter
}

// Point is one value of a gauge.
type Point struct {
	// Labels are alternating names and values.
	Labels []string
	Value  float64
}

// waitBuckets are the histogram buckets, in seconds, of the wait for admission.
var waitBuckets = []float64{0.001, 0.01, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2}

// firstTokenBuckets are the histogram buckets, in seconds, of the time to first
// token.
var firstTokenBuckets = []float64{0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.6, 0.8, 0.96, 1.2, 1.6, 2.4, 5, 10, 30}

// New returns a meter with its own Prometheus registry.
func New() (*Meter, error) {
	registry := prometheus.NewRegistry()
	exporter, err := otelprom.New(otelprom.WithRegisterer(registry))
	if err != nil {
		return nil, errors.Annotate(err, "the metrics can't be exported: report this")
	}
	provider := sdk.NewMeterProvider(sdk.WithReader(exporter))
	m := &Meter{
		handler:  promhttp.HandlerFor(registry, promhttp.HandlerOpts{}),
		provider: provider,
	}
	return m, errors.Trace(m.createInstruments(provider.Meter("baobabtally")))
}

// createInstruments creates all instruments but the observable gauges.
func (m *Meter) createInstruments(p metric.Meter) error {
	var lastErr error
	counter := func(name, description string) metric.Int64Counter {
		c, err := p.Int64Counter(name, metric.WithDescription(description))
		if err != nil {
			lastErr = err
		}
		return c
	}
	m.requests = counter("requests", "requests by team, rank, route and outcome")
	m.promptTokens = counter("prompt_tokens", "tokens of prompts by team")
	m.cachedTokens = counter("cached_tokens", "tokens of prompts that the engine had cached; over prompt_tokens this is the hit rate")
	m.recomputedTokens = counter("recomputed_tokens", "tokens of prompts that the engine had to read")
	m.outputTokens = counter("output_tokens", "tokens that were generated")
	m.extraAttempts = counter("extra_attempts", "attempts beyond the first of each request")
	m.storeCalls = counter("store_calls", "calls to the platform's store by kind and outcome")
	m.decisions = counter("decisions", "events of the control thread by kind")
	m.choices = counter("choices", "attempts by the reason for their endpoint and the source of cached parts")
	m.expectedPrefill = counter("expected_read_tokens", "tokens of prompts that endpoints were expected to read")
	m.failedAttempts = counter("failed_attempts", "attempts that failed, by cause")
	m.refusals = counter("refusals", "requests that were refused before an endpoint was asked, by reason")
	m.cuts = counter("cut_requests", "requests that ended without a complete response of their handler, by reason")
	m.closes = counter("closed_connections", "callers' connections that were closed between requests, by reason")
	m.discarded = counter("discarded_connections", "connections that were closed with what nobody has read, by the place of that")
	m.crossings = counter("crossed_requests", "requests that arrived after their connection was closed and were not read, by reason")
	m.unreadableRows = counter("unreadable_rows", "versions of rows of the store that can't be used, by table")
	m.resumptions = counter("resumed_streams", "streams that callers took up again, by what told the version of the software that began them")
	m.signals = counter("endpoint_signals", "answers in which endpoints said that they are departing or want no calls for a while, by kind")
	m.violations = counter("invariant_breaches", "promises that did not hold, by rule")
	firstToken, err := p.Float64Histogram("first_token_seconds",
		metric.WithDescription("time to first token by rank"),
		metric.WithExplicitBucketBoundaries(firstTokenBuckets...))
	if err != nil {
		lastErr = err
	}
	m.firstToken = firstToken
	m.admissionWait, err = p.Float64Histogram("turn_seconds",
		metric.WithDescription("time for which work that is not urgent waited for its turn"),
		metric.WithExplicitBucketBoundaries(waitBuckets...))
	if err != nil {
		lastErr = err
	}
	m.otelMeter = p
	return lastErr
}

// Handler returns the handler that serves the metrics.
func (m *Meter) Handler() http.Handler { return m.handler }

// Close shuts the exporter down.
func (m *Meter) Close(ctx context.Context) error { return m.provider.Shutdown(ctx) }

// Outcome records the outcome of r, its extra attempts, its time to first token
// and its tokens.
func (m *Meter) Outcome(r chain.Request, result chain.Result, outcome string) {
	ctx := context.Background()
	team := attribute.String("team", r.Team)
	rank := attribute.String("rank", r.Policy.Rank.String())
	m.requests.Add(ctx, 1, metric.WithAttributes(team, rank, attribute.String("route", r.Route.Name), attribute.String("outcome", outcome)))
	if result.Attempts > 1 {
		m.extraAttempts.Add(ctx, int64(result.Attempts-1), metric.WithAttributes(rank))
	}
	if result.First > 0 && result.First < math.MaxInt64 {
		m.firstToken.Record(ctx, result.First.Seconds(), metric.WithAttributes(rank))
	}
	m.promptTokens.Add(ctx, int64(result.Prompt), metric.WithAttributes(team))
	m.cachedTokens.Add(ctx, int64(result.Cached), metric.WithAttributes(team))
	m.recomputedTokens.Add(ctx, int64(result.Prompt-result.Cached), metric.WithAttributes(team))
	m.outputTokens.Add(ctx, int64(result.Output), metric.WithAttributes(team))
}

// Store counts a call to the platform's store, by kind and outcome.
func (m *Meter) Store(kind, outcome string) {
	m.storeCalls.Add(context.Background(), 1, metric.WithAttributes(attribute.String("kind", kind), attribute.String("outcome", outcome)))
}

// Decision counts an event of the control thread, by kind.
func (m *Meter) Decision(kind string) {
	m.decisions.Add(context.Background(), 1, metric.WithAttributes(attribute.String("kind", kind)))
}

// Chosen counts an attempt by the reason for its endpoint and the source of the
// cached blocks, and adds the prompt tokens that the endpoint is expected to
// prefill.
func (m *Meter) Chosen(reason, source string, prefill int) {
	labels := metric.WithAttributes(attribute.String("reason", reason), attribute.String("source", source))
	m.choices.Add(context.Background(), 1, labels)
	m.expectedPrefill.Add(context.Background(), int64(prefill), labels)
}

// Failed counts a failed attempt, by cause.
func (m *Meter) Failed(cause string) {
	m.failedAttempts.Add(context.Background(), 1, metric.WithAttributes(attribute.String("cause", cause)))
}

// Refused counts a request that was refused before an attempt was made, by
// reason.
func (m *Meter) Refused(reason string) {
	m.refusals.Add(context.Background(), 1, metric.WithAttributes(attribute.String("reason", reason)))
}

// Cut records a request that ended without a complete response.
func (m *Meter) Cut(reason string) {
	m.cuts.Add(context.Background(), 1, metric.WithAttributes(attribute.String("reason", reason)))
}

// Closed counts a caller's connection that was closed between requests.
func (m *Meter) Closed(reason string) {
	m.closes.Add(context.Background(), 1, metric.WithAttributes(attribute.String("reason", reason)))
}

// Crossed counts a request that arrived after its connection was closed.
func (m *Meter) Crossed(reason string) {
	m.crossings.Add(context.Background(), 1, metric.WithAttributes(attribute.String("reason", reason)))
}

// Discarded counts callers' connections that were closed with what nobody has read, by place.
func (m *Meter) Discarded(place string, connections int) {
	m.discarded.Add(context.Background(), int64(connections), metric.WithAttributes(attribute.String("place", place)))
}

// Unreadable counts a version of a row of the platform's store that can't be used, by
// table.
func (m *Meter) Unreadable(table string) {
	m.unreadableRows.Add(context.Background(), 1, metric.WithAttributes(attribute.String("table", table)))
}

// Resumed counts a stream that a caller takes up again, by the source from which the version
// of the software is known that began it.
func (m *Meter) Resumed(source string) {
	m.resumptions.Add(context.Background(), 1, metric.WithAttributes(attribute.String("source", source)))
}

// Signaled counts an answer in which an endpoint said that it is departing or wants no
// calls for a while, by kind.
func (m *Meter) Signaled(kind string) {
	m.signals.Add(context.Background(), 1, metric.WithAttributes(attribute.String("kind", kind)))
}

// Waited records how long non-urgent work waited for admission. served is false if
// the wait ended without admission.
func (m *Meter) Waited(wait time.Duration, served bool) {
	m.admissionWait.Record(context.Background(), wait.Seconds(), metric.WithAttributes(attribute.Bool("served", served)))
}

// Gauge registers an observable gauge whose values are read at each scrape.
func (m *Meter) Gauge(name, description string, read func() []Point) error {
	_, err := m.otelMeter.Float64ObservableGauge(name, metric.WithDescription(description),
		metric.WithFloat64Callback(func(_ context.Context, o metric.Float64Observer) error {
			for _, p := range read() {
				var labels []attribute.KeyValue
				for i := 0; i+1 < len(p.Labels); i += 2 {
					labels = append(labels, attribute.String(p.Labels[i], p.Labels[i+1]))
				}
				o.Observe(p.Value, metric.WithAttributes(labels...))
			}
			return nil
		}))
	return errors.Annotatef(err, "the gauge %s can't be made: report this", name)
}

// Violation counts a violation of an invariant, by rule.
func (m *Meter) Violation(v invar.Violation) {
	m.violations.Add(context.Background(), 1, metric.WithAttributes(attribute.String("rule", v.Rule.String())))
}
