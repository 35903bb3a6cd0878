package gateway

import (
	"github.com/sprucecrank/sprucecrank/core/gateway/catalog"
	"github.com/sprucecrank/sprucecrank/core/gateway/rollout"
	"github.com/sprucecrank/sprucecrank/core/member"
	"github.com/sprucecrank/sprucecrank/internal/gateway/delivery"
	"github.com/sprucecrank/sprucecrank/internal/gateway/discovery"
	"github.com/sprucecrank/sprucecrank/internal/gateway/metrics"
)

// limits converts the settings to the limits that rollout decisions use.
func (r RolloutSettings) limits() rollout.Limits {
	return rollout.Limits{Share: r.ExposureShare, Slack: int(r.ExposureSlack), RollBackWithin: seconds(r.RollbackWithin)}
}

func (g *Gateway) deliveryOptions(self member.Box, r RolloutSettings) delivery.Options {
	return delivery.Options{
		Self: self, Limits: r.limits(),
		Rollouts: g.discovery.Rollouts, Changed: g.discovery.Changed, Age: g.discovery.Age,
		Reads: g.discovery.ReadsStore, Leaving: g.stopping.Load,
		Peers: g.discovery.Peers, Standing: g.discovery.VersionTargets,
		Reports: g.rolloutReports, Record: g.options.Source.RecordRollout,
		Clock: g.options.Clock, Metrics: g.metrics, Log: g.log,
	}
}

// rolloutReports returns this gateway's counts for the rollouts in progress and drops those
// for all others.
func (g *Gateway) rolloutReports(inProgress []catalog.Rollout) []rollout.Report {
	g.forward.KeepReports(inProgress)
	return g.forward.Reports(inProgress)
}

// peerServices returns the RPC services that peers may call in addition to the exchange of
// updates.
func (g *Gateway) peerServices() []discovery.Service {
	services := []discovery.Service{g.quota.Service()}
	if g.delivery != nil {
		services = append(services, g.delivery.Service())
	}
	return services
}

// rolloutMetrics returns the metrics of the known rollouts.
func (g *Gateway) rolloutMetrics() []metrics.Rollout {
	if g.delivery == nil {
		return nil
	}
	var out []metrics.Rollout
	for _, r := range g.discovery.Rollouts() {
		exported := metrics.Rollout{Service: r.Service, Version: r.Version, State: r.State.String(), Permille: r.Permille}
		for _, report := range g.forward.Reports([]catalog.Rollout{r}) {
			exported.Sends = sumSends(report)
		}
		out = append(out, exported)
	}
	return out
}

// sumSends adds up the counts of a report by version (canary or not) and result.
func sumSends(r rollout.Report) []metrics.RolloutSends {
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
