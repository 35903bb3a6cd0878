// Package metrics holds the OpenTelemetry instruments of a gateway and serves them
// in the Prometheus format. docs/OPERATIONS.md lists them and says what to do about
// unusual values.
//
// It owns the metric names, which are part of the operators' interface. A nil
// Metrics records nothing.
//
// # Usage
//
//	m, err := metrics.New(state)
//	m.Request("shop", 200, "", took)
//	http.Serve(listener, m.Handler())
package metrics

import (
	"context"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"go.opentelemetry.io/otel/attribute"
	otelprom "go.opentelemetry.io/otel/exporters/prometheus"
	"go.opentelemetry.io/otel/metric"
	sdkmetric "go.opentelemetry.io/otel/sdk/metric"

	"github.com/sprucecrank/sprucecrank/core/gateway/memory"
	"github.com/sprucecrank/sprucecrank/core/gateway/workspace"
	"github.com/sprucecrank/sprucecrank/internal/gateway/membudget"
	"github.com/sprucecrank/sprucecrank/internal/telemetry"
)

// Metrics holds the instruments of a gateway. A nil Metrics records nothing.
type Metrics struct {
	registry   *prometheus.Registry
	requests   metric.Int64Counter
	duration   metric.Float64Histogram
	refusals   metric.Int64Counter
	waits      metric.Int64Counter
	sends      metric.Int64Counter
	checks     metric.Int64Counter
	relayed    metric.Int64Counter
	opened     metric.Int64Counter
	ended      metric.Int64Counter
	storeCalls metric.Int64Counter
	peersLost  metric.Int64Counter
	quotaAsks  metric.Int64Counter
	cut        metric.Int64Counter
	// rolloutWrites and rolloutReports are recorded in rollout.go.
	rolloutWrites  metric.Int64Counter
	rolloutReports metric.Int64Counter
	workspaces     *workspace.Counter
}

// State is the state of a gateway that a scrape shows.
type State struct {
	// ConfigVersion is the version in force, ConfigAge the time in seconds
	// since it was last confirmed to be the newest.
	ConfigVersion uint64
	ConfigAge     float64
	// EvacuatedHalls is the number of evacuated halls, as confirmed ConfigAge
	// ago.
	EvacuatedHalls int
	// CrossRegionServices is the number of services with requests that are now sent to other
	// regions.
	CrossRegionServices int
	// RoundTrips are the measured round trip times to each region.
	RoundTrips map[string]time.Duration
	// Active is the number of requests in flight.
	Active int64
	// AnswerBytes is the number of bytes of answers held in memory on their way to clients.
	AnswerBytes int64
	// Memory is what the process holds in memory for its callers.
	Memory map[memory.Holder]memory.Usage
	// MemoryCounts are how bodies fared for which there was no room at first.
	MemoryCounts membudget.Counts
	// Quarantined is the number of requests that are sent to no target because targets
	// end while serving them.
	Quarantined int
	// LimitedTargets is the number of targets known to advertise limits.
	LimitedTargets int64
	// BackingOff is the number of targets whose back-off, requested from this gateway, still
	// lasts; Leaving is the number of targets known to be leaving.
	BackingOff, Leaving int
	// LogDropped is the number of log lines dropped.
	LogDropped uint64
	// Rollouts are the known rollouts.
	Rollouts []Rollout
}

// New creates a gateway's metrics; state is called at each scrape.
func New(state func() State) (*Metrics, error) {
	registry := prometheus.NewRegistry()
	exporter, err := otelprom.New(otelprom.WithRegisterer(registry), otelprom.WithoutScopeInfo(), otelprom.WithoutTargetInfo())
	if err != nil {
		return nil, err
	}
	meter := sdkmetric.NewMeterProvider(sdkmetric.WithReader(exporter)).Meter(telemetry.Scope)
	m := &Metrics{registry: registry, workspaces: workspace.NewCounter()}
	if err := m.makeCounters(meter); err != nil {
		return nil, err
	}
	if err := observeRollouts(meter, state); err != nil {
		return nil, err
	}
	if err := observeWorkspaces(meter, m.workspaces); err != nil {
		return nil, err
	}
	if err := observeMemory(meter, state); err != nil {
		return nil, err
	}
	return m, observe(meter, state)
}

func (m *Metrics) makeCounters(meter metric.Meter) error {
	for _, c := range []struct {
		set  *metric.Int64Counter
		name string
		help string
	}{
		{&m.requests, "sprucecrank.gateway.requests", "Requests answered, by service and status."},
		{&m.refusals, "sprucecrank.gateway.refusals", "Requests that the gateway itself ended, by service and reason."},
		{&m.waits, "sprucecrank.gateway.waits", "Rounds in which a request found no target to go to, by service."},
		{&m.sends, "sprucecrank.gateway.sends", "Sends to targets, by service, result, how far the target is, and whether it was the first of its request."},
		{&m.checks, "sprucecrank.gateway.checks", "Health checks, by service and result."},
		{&m.relayed, "sprucecrank.gateway.relayed", "Requests that other gateways were to serve, by service and result."},
		{&m.opened, "sprucecrank.gateway.connections.opened", "New connections to targets."},
		{&m.ended, "sprucecrank.gateway.targets.ended", "Sends under which the target's process ended, by service."},
		{&m.storeCalls, "sprucecrank.gateway.store.calls", "Calls to the store, by watch and result."},
		{&m.peersLost, "sprucecrank.gateway.peers.lost", "Gateways that did not answer."},
		{&m.rolloutWrites, "sprucecrank.gateway.rollout.writes", "Writes of rollouts' stages and verdicts by this gateway, by how they ended."},
		{&m.rolloutReports, "sprucecrank.gateway.rollout.reports", "Reports on rollouts sent to, or received as, the gateway that decides, by way and result."},
		{&m.quotaAsks, "sprucecrank.gateway.quota.asks", "Questions for credit to the homes of workspaces, by result."},
		{&m.cut, "sprucecrank.gateway.requests.cut", "Requests that were still under way when the time for a stop ran out."},
	} {
		counter, err := meter.Int64Counter(c.name, metric.WithDescription(c.help))
		if err != nil {
			return err
		}
		*c.set = counter
	}
	var err error
	m.duration, err = meter.Float64Histogram("sprucecrank.gateway.request.duration", metric.WithUnit("s"), telemetry.DurationBuckets(),
		metric.WithDescription("Time from a request's head to the end of its answer, by service."))
	return err
}

// Handler serves the metrics in the Prometheus format.
func (m *Metrics) Handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}

func add(counter metric.Int64Counter, attributes ...attribute.KeyValue) {
	counter.Add(context.Background(), 1, metric.WithAttributes(attributes...))
}

// Request counts an answered request; reason is empty for a target's answer.
func (m *Metrics) Request(service string, status int, reason string, took time.Duration) {
	if m == nil {
		return
	}
	add(m.requests, attribute.String("service", service), attribute.Int("status", status))
	m.duration.Record(context.Background(), took.Seconds(), metric.WithAttributes(attribute.String("service", service)))
	if reason != "" {
		add(m.refusals, attribute.String("service", service), attribute.String("reason", reason))
	}
}

// Wait counts a round in which a request found no target.
func (m *Metrics) Wait(service string) {
	if m != nil {
		add(m.waits, attribute.String("service", service))
	}
}

// Send counts a send; tier is the distance tier of its target, first says whether it
// was the first send of its request.
func (m *Metrics) Send(service, result, tier string, first bool) {
	if m != nil {
		add(m.sends, attribute.String("service", service), attribute.String("result", result),
			attribute.String("tier", tier), attribute.Bool("first", first))
	}
}

// Check counts a health check.
func (m *Metrics) Check(service, result string) {
	if m != nil {
		add(m.checks, attribute.String("service", service), attribute.String("result", result))
	}
}

// Relayed counts a request that another gateway was to serve.
func (m *Metrics) Relayed(service, result string) {
	if m != nil {
		add(m.relayed, attribute.String("service", service), attribute.String("result", result))
	}
}

// TargetEnded counts a send during which its target's process ended.
func (m *Metrics) TargetEnded(service string) {
	if m != nil {
		add(m.ended, attribute.String("service", service))
	}
}

// Opened counts a new connection to a target.
func (m *Metrics) Opened() {
	if m != nil {
		add(m.opened)
	}
}

// StoreCall counts a call to the store.
func (m *Metrics) StoreCall(watch, result string) {
	if m != nil {
		add(m.storeCalls, attribute.String("watch", watch), attribute.String("result", result))
	}
}

// PeerLost counts a peer that was lost because it did not answer.
func (m *Metrics) PeerLost() {
	if m != nil {
		add(m.peersLost)
	}
}

// QuotaRequested counts a request for credit to the quota home of workspaces.
func (m *Metrics) QuotaRequested(result string) {
	if m != nil {
		add(m.quotaAsks, attribute.String("result", result))
	}
}

// Cut counts n requests still in flight when the stop timeout expired.
func (m *Metrics) Cut(n int64) {
	if m != nil {
		m.cut.Add(context.Background(), n)
	}
}
