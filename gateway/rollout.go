package gateway

import (
	"github.com/sprucecrank/sprucecrank/core/gateway/catalog"
	"github.com/sprucecrank/sprucecrank/core/gateway/rollout"
	"github.com/sprucecrank/sprucecrank/core/member"
	"github.com/sprucecrank/sprucecrank/internal/gateway/delivery"
	"github.com/sprucecrank/sprucecrank/internal/gateway/discovery"
	"github.com/sprucecrank/sprucecrank/internal/gateway/metrics"
)

// limits are the bounds as the decisions take them.
func (r RolloutSettings) limits() rollout.Limits {
	return rollout.Limits{Share: r.ExposureShare, Slack: int(r.ExposureSlack), RollBackWithin: seconds(r.RollbackWithin)}
}

func (g *Gateway) deliveryOptions(self member.Box, r RolloutSettings) delivery.Options {
	return delivery.Options{
		Self: self, Limits: r.limits(),
		Rollouts: g.discovery.Rollouts, Changed: g.discovery.Changed, Age: g.discovery.Age,
		Reads: g.discovery.ReadsStore, Leaving: g.stopping.Load,
		Peers: g.discovery.Peers, Standing: g.discovery.VersionTargets,
		Reports: g.reports, Record: g.options.Source.RecordRollout,
		Clock: g.options.Clock, Metrics: g.metrics, Log: g.log,
	}
}

// reports are this gateway's counts for the rollouts under way; those for others are dropped.
func (g *Gateway) reports(underWay []catalog.Rollout) []rollout.Report {
	g.forward.KeepReports(underWay)
	return g.forward.Reports(underWay)
}

// services are what other gateways may call besides the exchange.
func (g *Gateway) services() []discovery.Service {
	services := []discovery.Service{g.quota.Service()}
	if g.delivery != nil {
		services = append(services, g.delivery.Service())
	}
	return services
}

// rollouts are what the metrics show of the rollouts that are known.
func (g *Gateway) rollouts() []metrics.Rollout {
	if g.delivery == nil {
		return nil
	}
	var out []metrics.Rollout
	for _, r := range g.discovery.Rollouts() {
		shown := metrics.Rollout{Service: r.Service, Version: r.Version, State: r.State.String(), Permille: r.Permille}
		for _, report := range g.forward.Reports([]catalog.Rollout{r}) {
			shown.Sends = sends(report)
		}
		out = append(out, shown)
	}
	return out
}

// sends sums the counts of a report by side and result.
func sends(r rollout.Report) []metrics.RolloutSends {
	var out []metrics.RolloutSends
	for _, canary := range []bool{false, true} {
		var sum rollout.Counts
		for _, c := range r.Counts {
			if c.Canary == canary {
				sum = sum.Plus(c.Counts)
			}
		}
		out = append(out,
			metrics.RolloutSends{Canary: canary, Result: "ended", Count: sum.Sends},
			metrics.RolloutSends{Canary: canary, Result: "failed", Count: sum.Failed},
			metrics.RolloutSends{Canary: canary, Result: "slow", Count: sum.Slow})
	}
	return out
}
