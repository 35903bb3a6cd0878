// Package telemetry holds what the metrics and spans of both daemons have in
// common, so that their figures can be put side by side.
//
// # Usage
//
//	meter := provider.Meter(telemetry.Scope)
//	duration, err := meter.Float64Histogram(name, metric.WithUnit("s"), telemetry.DurationBuckets())
package telemetry

import "go.opentelemetry.io/otel/metric"

// Scope is the name under which instruments and spans are made.
const Scope = "github.com/sprucecrank/sprucecrank"

// DurationBuckets bound the histograms of durations, in seconds, from what a
// daemon adds to the longest deadlines; the library's own are for milliseconds.
func DurationBuckets() metric.HistogramOption {
	return metric.WithExplicitBucketBoundaries(
		0.0005, 0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.075, 0.1, 0.15, 0.25, 0.5, 1, 2.5, 5, 10, 30, 120)
}
