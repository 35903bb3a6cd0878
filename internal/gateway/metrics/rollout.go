package metrics

import (
	"context"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
)

// Rollout is the state of a rollout that a scrape shows.
type Rollout struct {
	Service  string
	Version  string
	State    string
	Permille int
	// Sends are this gateway's sends by version and result while the rollout runs.
	Sends []RolloutSends
}

// RolloutSends counts the sends to canary or baseline targets with one result.
type RolloutSends struct {
	// Canary says that the targets run the ordered version, not the baseline.
	Canary bool
	// Result is failed, slow, or ended, which counts all sends including the former.
	Result string
	Count  uint64
}

// observeRollouts registers the gauges of the known rollouts.
func observeRollouts(meter metric.Meter, state func() State) error {
	share, err := meter.Int64ObservableGauge("sprucecrank.gateway.rollout.permille",
		metric.WithDescription("Share of a service's requests that the ordered version takes, in thousandths, by service, version and state of the rollout."))
	if err != nil {
		return err
	}
	sends, err := meter.Int64ObservableGauge("sprucecrank.gateway.rollout.sends",
		metric.WithDescription("Sends of this gateway by which the versions are compared, by service, whether they went to the ordered version, and result."))
	if err != nil {
		return err
	}
	_, err = meter.RegisterCallback(func(_ context.Context, o metric.Observer) error {
		for _, r := range state().Rollouts {
			service := attribute.String("service", r.Service)
			o.ObserveInt64(share, int64(r.Permille), metric.WithAttributes(service, attribute.String("version", r.Version), attribute.String("state", r.State)))
			for _, s := range r.Sends {
				o.ObserveInt64(sends, int64(s.Count), metric.WithAttributes(service, attribute.Bool("canary", s.Canary), attribute.String("result", s.Result)))
			}
		}
		return nil
	}, share, sends)
	return err
}

// RolloutWrite counts a write of a rollout's stage or verdict.
func (m *Metrics) RolloutWrite(outcome string) {
	if m != nil {
		add(m.rolloutWrites, attribute.String("end", outcome))
	}
}

// RolloutReport counts a rollout report; direction says whether it was sent or received.
func (m *Metrics) RolloutReport(direction, result string) {
	if m != nil {
		add(m.rolloutReports, attribute.String("way", direction), attribute.String("result", result))
	}
}
