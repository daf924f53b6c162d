// Package meter counts what the users measure: prefix hit rate, time to first
// token by rank, recomputed tokens and outcomes by team. The metrics are
// OpenTelemetry's and are scraped in the Prometheus format.
//
//	m, err := meter.New()
//	http.Handle("/metrics", m.Handler())
package meter
