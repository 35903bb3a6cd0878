// Package telemetry holds the definitions that the metrics and spans of both daemons
// share, so that their figures are comparable.
//
// # Usage
//
//	meter := provider.Meter(telemetry.Scope)
//	duration, err := meter.Float64Histogram(name, metric.WithUnit("s"), telemetry.DurationBuckets())
package telemetry

import "go.opentelemetry.io/otel/metric"

// Scope is the name of the instrumentation scope of the meters and tracers.
const Scope = "github.com/sprucecrank/sprucecrank"

// DurationBuckets returns the bucket boundaries of duration histograms, in seconds. They
// range from the latency that a daemon adds to the longest deadlines; the library's
// defaults are meant for milliseconds.
func DurationBuckets() metric.HistogramOption {
	return metric.WithExplicitBucketBoundaries(
		0.0005, 0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.075, 0.1, 0.15, 0.25, 0.5, 1, 2.5, 5, 10, 30, 120)
}
