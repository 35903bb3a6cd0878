// Package telemetry sets up a box's metrics and traces by OpenTelemetry.
//
// It owns the names of metrics and spans, which operators use. It relies on nothing to
// take them.
//
// # Usage
//
//	t, err := telemetry.New(telemetry.Options{Box: "box-1", Traces: os.Stdout})
//	defer t.Shutdown(ctx)
//	t.Request(ctx, "preview", "preview", "ran", took)
package telemetry

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"go.opentelemetry.io/otel/attribute"
	otelprom "go.opentelemetry.io/otel/exporters/prometheus"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	"go.opentelemetry.io/otel/metric"
	"go.opentelemetry.io/otel/propagation"
	sdkmetric "go.opentelemetry.io/otel/sdk/metric"
	"go.opentelemetry.io/otel/sdk/resource"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"

	shared "github.com/sprucecrank/sprucecrank/internal/telemetry"
)

// Options configure a Telemetry.
type Options struct {
	Box string
	// Traces is where spans are written as JSON; nil means nowhere.
	Traces io.Writer
}

// Telemetry holds the instruments of a box.
type Telemetry struct {
	registry *prometheus.Registry
	meter    *sdkmetric.MeterProvider
	traces   *sdktrace.TracerProvider
	tracer   trace.Tracer
	requests metric.Int64Counter
	duration metric.Float64Histogram
	waits    metric.Float64Histogram
	tries    metric.Int64Counter
	probes   metric.Float64Counter
	denied   metric.Int64Counter
}

// New sets up metrics and traces.
func New(o Options) (*Telemetry, error) {
	registry := prometheus.NewRegistry()
	registry.MustRegister(collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}), collectors.NewGoCollector())
	exporter, err := otelprom.New(otelprom.WithRegisterer(registry))
	if err != nil {
		return nil, err
	}
	about := resource.NewSchemaless(attribute.String("service.name", "sprucecrank-box"), attribute.String("service.instance.id", o.Box))
	t := &Telemetry{
		registry: registry,
		meter:    sdkmetric.NewMeterProvider(sdkmetric.WithReader(exporter), sdkmetric.WithResource(about)),
	}
	if err := t.setTraces(o.Traces, about); err != nil {
		return nil, err
	}
	return t, t.makeInstruments()
}

func (t *Telemetry) setTraces(w io.Writer, about *resource.Resource) error {
	options := []sdktrace.TracerProviderOption{sdktrace.WithResource(about), sdktrace.WithSampler(sdktrace.NeverSample())}
	if w != nil {
		exporter, err := stdouttrace.New(stdouttrace.WithWriter(w))
		if err != nil {
			return err
		}
		options = []sdktrace.TracerProviderOption{sdktrace.WithResource(about), sdktrace.WithBatcher(exporter)}
	}
	t.traces = sdktrace.NewTracerProvider(options...)
	t.tracer = t.traces.Tracer(shared.Scope)
	return nil
}

func (t *Telemetry) makeInstruments() error {
	meter := t.meter.Meter(shared.Scope)
	var err error
	keep := func(e error) {
		if err == nil {
			err = e
		}
	}
	var e error
	t.requests, e = meter.Int64Counter("sprucecrank.requests", metric.WithDescription("Requests answered, by service, kind and verdict."))
	keep(e)
	t.duration, e = meter.Float64Histogram("sprucecrank.request.duration", metric.WithUnit("s"), shared.DurationBuckets())
	keep(e)
	t.waits, e = meter.Float64Histogram("sprucecrank.slot.wait", metric.WithUnit("s"), shared.DurationBuckets())
	keep(e)
	t.tries, e = meter.Int64Counter("sprucecrank.tries", metric.WithDescription("Tries sent to targets, by service and result."))
	keep(e)
	t.probes, e = meter.Float64Counter("sprucecrank.probe.time", metric.WithUnit("ms"), metric.WithDescription("Time of targets spent on probes."))
	keep(e)
	t.denied, e = meter.Int64Counter("sprucecrank.admin.denied", metric.WithDescription("Administration calls refused for a bad token."))
	keep(e)
	return err
}

// Request counts an answered request.
func (t *Telemetry) Request(ctx context.Context, service, kind, verdict string, took time.Duration) {
	set := metric.WithAttributes(attribute.String("service", service), attribute.String("kind", kind), attribute.String("verdict", verdict))
	t.requests.Add(ctx, 1, set)
	t.duration.Record(ctx, took.Seconds(), set)
}

// Wait records the time that a request waited for its slot.
func (t *Telemetry) Wait(ctx context.Context, service string, waited time.Duration) {
	t.waits.Record(ctx, waited.Seconds(), metric.WithAttributes(attribute.String("service", service)))
}

// Try counts a try at a target.
func (t *Telemetry) Try(ctx context.Context, service, result string) {
	t.tries.Add(ctx, 1, metric.WithAttributes(attribute.String("service", service), attribute.String("result", result)))
}

// Probe adds the time of a target that a probe took.
func (t *Telemetry) Probe(ctx context.Context, target string, took time.Duration) {
	t.probes.Add(ctx, float64(took.Microseconds())/1000, metric.WithAttributes(attribute.String("target", target)))
}

// Denied counts an administration call with a bad token.
func (t *Telemetry) Denied(ctx context.Context) { t.denied.Add(ctx, 1) }

// Start begins a span.
func (t *Telemetry) Start(ctx context.Context, name string, attrs ...attribute.KeyValue) (context.Context, trace.Span) {
	return t.tracer.Start(ctx, name, trace.WithAttributes(attrs...))
}

var propagator = propagation.TraceContext{}

// Extract takes the caller's trace from the headers of a request.
func Extract(ctx context.Context, h http.Header) context.Context {
	return propagator.Extract(ctx, propagation.HeaderCarrier(h))
}

// Inject passes the trace on in the headers of a try.
func Inject(ctx context.Context, h http.Header) {
	propagator.Inject(ctx, propagation.HeaderCarrier(h))
}

// Handler serves the metrics in Prometheus form.
func (t *Telemetry) Handler() http.Handler {
	return promhttp.HandlerFor(t.registry, promhttp.HandlerOpts{})
}

// Shutdown writes out what is left.
func (t *Telemetry) Shutdown(ctx context.Context) error {
	if err := t.traces.Shutdown(ctx); err != nil {
		return err
	}
	return t.meter.Shutdown(ctx)
}
