// Package meter records the metrics that operators watch: prefix hit rate, time
// to first token by rank, recomputed tokens and outcomes by team. It uses
// OpenTelemetry and serves the metrics in the Prometheus format.
//
//	m, err := meter.New()
//	http.Handle("/metrics", m.Handler())
package meter
