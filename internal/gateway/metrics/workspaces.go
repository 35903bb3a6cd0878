package metrics

import (
	"context"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"github.com/sprucecrank/sprucecrank/core/gateway/workspace"
)

// maxShownWorkspaces bounds how many workspaces are shown individually, so that a
// scrape stays at some kilobytes, however many workspaces there are.
const maxShownWorkspaces = 16

// outcomes maps the outcomes of a workspace's requests to their names in metrics.
var outcomes = map[workspace.Outcome]string{
	workspace.Served: "served", workspace.OverQuota: "over-quota", workspace.Failed: "failed",
}

// observeWorkspaces registers the gauge of requests by workspace and outcome. It shows the
// busiest workspaces, and all others as one sum without a name.
func observeWorkspaces(meter metric.Meter, counter *workspace.Counter) error {
	requests, err := meter.Int64ObservableGauge("sprucecrank.gateway.workspace.requests",
		metric.WithDescription("Requests since the start by workspace, the busiest and one sum for the others, and how they ended."))
	if err != nil {
		return err
	}
	_, err = meter.RegisterCallback(func(_ context.Context, o metric.Observer) error {
		for _, count := range counter.Busiest(maxShownWorkspaces) {
			for outcome, name := range outcomes {
				o.ObserveInt64(requests, int64(count.Ended(outcome)), metric.WithAttributes(
					attribute.String("workspace", count.Workspace), attribute.String("outcome", name)))
			}
		}
		return nil
	}, requests)
	return err
}

// Workspace counts a request of a workspace by its outcome.
func (m *Metrics) Workspace(name string, o workspace.Outcome) {
	if m != nil {
		m.workspaces.Add(name, o)
	}
}
