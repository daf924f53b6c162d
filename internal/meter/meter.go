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
	handler  http.Handler
	provider *sdk.MeterProvider
	requests metric.Int64Counter
	first    metric.Float64Histogram
	prompt   metric.Int64Counter
	cached   metric.Int64Counter
	missed   metric.Int64Counter
	output   metric.Int64Counter
	attempts metric.Int64Counter
	breaches metric.Int64Counter
	store    metric.Int64Counter
	// decisions counts what changed the control state or left it.
	decisions metric.Int64Counter
	// choices, read and failures are of instances that forward by routes.
	choices  metric.Int64Counter
	read     metric.Int64Counter
	failures metric.Int64Counter
	refusals metric.Int64Counter
	wait     metric.Float64Histogram
	// gauges makes instruments that are read when they are asked for.
	gauges metric.Meter
}

// Point is one value of a gauge.
type Point struct {
	// Labels are name and value by turns.
	Labels []string
	// Value is the value.
	Value float64
}

// waitBounds are the bounds, in seconds, of the times that work waits for its turn.
var waitBounds = []float64{0.001, 0.01, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2}

// firstBounds are the bounds, in seconds, of the times to first token.
var firstBounds = []float64{0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.6, 0.8, 0.96, 1.2, 1.6, 2.4, 5, 10, 30}

// New returns a meter with a registry of its own.
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
	return m, errors.Trace(m.instruments(provider.Meter("baobabtally")))
}

func (m *Meter) instruments(p metric.Meter) error {
	var failed error
	counter := func(name, about string) metric.Int64Counter {
		c, err := p.Int64Counter(name, metric.WithDescription(about))
		if err != nil {
			failed = err
		}
		return c
	}
	m.requests = counter("requests", "requests by team, rank, route and outcome")
	m.prompt = counter("prompt_tokens", "tokens of prompts by team")
	m.cached = counter("cached_tokens", "tokens of prompts that the engine had cached; over prompt_tokens this is the hit rate")
	m.missed = counter("recomputed_tokens", "tokens of prompts that the engine had to read")
	m.output = counter("output_tokens", "tokens that were generated")
	m.attempts = counter("extra_attempts", "attempts beyond the first of each request")
	m.store = counter("store_calls", "calls to the platform's store by kind and outcome")
	m.decisions = counter("decisions", "events of the control thread by kind")
	m.choices = counter("choices", "attempts by the reason for their endpoint and the source of cached parts")
	m.read = counter("expected_read_tokens", "tokens of prompts that endpoints were expected to read")
	m.failures = counter("failed_attempts", "attempts that failed, by cause")
	m.refusals = counter("refusals", "requests that were refused before an endpoint was asked, by reason")
	m.breaches = counter("invariant_breaches", "promises that did not hold, by rule")
	first, err := p.Float64Histogram("first_token_seconds",
		metric.WithDescription("time to first token by rank"),
		metric.WithExplicitBucketBoundaries(firstBounds...))
	if err != nil {
		failed = err
	}
	m.first = first
	m.wait, err = p.Float64Histogram("turn_seconds",
		metric.WithDescription("time for which work that is not urgent waited for its turn"),
		metric.WithExplicitBucketBoundaries(waitBounds...))
	if err != nil {
		failed = err
	}
	m.gauges = p
	return failed
}

// Handler serves the metrics.
func (m *Meter) Handler() http.Handler { return m.handler }

// Close ends the export.
func (m *Meter) Close(ctx context.Context) error { return m.provider.Shutdown(ctx) }

// Outcome counts how r ended.
func (m *Meter) Outcome(r chain.Request, result chain.Result, outcome string) {
	ctx := context.Background()
	team := attribute.String("team", r.Team)
	rank := attribute.String("rank", r.Policy.Rank.String())
	m.requests.Add(ctx, 1, metric.WithAttributes(team, rank, attribute.String("route", r.Route.Name), attribute.String("outcome", outcome)))
	if result.Attempts > 1 {
		m.attempts.Add(ctx, int64(result.Attempts-1), metric.WithAttributes(rank))
	}
	if result.First > 0 && result.First < math.MaxInt64 {
		m.first.Record(ctx, result.First.Seconds(), metric.WithAttributes(rank))
	}
	m.prompt.Add(ctx, int64(result.Prompt), metric.WithAttributes(team))
	m.cached.Add(ctx, int64(result.Cached), metric.WithAttributes(team))
	m.missed.Add(ctx, int64(result.Prompt-result.Cached), metric.WithAttributes(team))
	m.output.Add(ctx, int64(result.Output), metric.WithAttributes(team))
}

// Store counts a call to the platform's store.
func (m *Meter) Store(kind, outcome string) {
	m.store.Add(context.Background(), 1, metric.WithAttributes(attribute.String("kind", kind), attribute.String("outcome", outcome)))
}

// Decision counts an event of the control thread.
func (m *Meter) Decision(kind string) {
	m.decisions.Add(context.Background(), 1, metric.WithAttributes(attribute.String("kind", kind)))
}

// Chosen counts an attempt's endpoint.
func (m *Meter) Chosen(reason, source string, read int) {
	labels := metric.WithAttributes(attribute.String("reason", reason), attribute.String("source", source))
	m.choices.Add(context.Background(), 1, labels)
	m.read.Add(context.Background(), int64(read), labels)
}

// Failed counts an attempt that failed.
func (m *Meter) Failed(cause string) {
	m.failures.Add(context.Background(), 1, metric.WithAttributes(attribute.String("cause", cause)))
}

// Refused counts a request that was refused before an endpoint was asked.
func (m *Meter) Refused(reason string) {
	m.refusals.Add(context.Background(), 1, metric.WithAttributes(attribute.String("reason", reason)))
}

// Waited counts a turn that was waited for, or waited for in vain.
func (m *Meter) Waited(wait time.Duration, served bool) {
	m.wait.Record(context.Background(), wait.Seconds(), metric.WithAttributes(attribute.Bool("served", served)))
}

// Gauge has read asked for the values of a gauge whenever metrics are.
func (m *Meter) Gauge(name, about string, read func() []Point) error {
	_, err := m.gauges.Float64ObservableGauge(name, metric.WithDescription(about),
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

// Breach counts a promise that did not hold.
func (m *Meter) Breach(b invar.Violation) {
	m.breaches.Add(context.Background(), 1, metric.WithAttributes(attribute.String("rule", b.Rule.String())))
}
