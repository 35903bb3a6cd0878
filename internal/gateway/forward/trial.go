package forward

import (
	"context"

	"github.com/sprucecrank/sprucecrank/core/gateway/catalog"
	"github.com/sprucecrank/sprucecrank/core/gateway/estimate"
	"github.com/sprucecrank/sprucecrank/core/gateway/locality"
	"github.com/sprucecrank/sprucecrank/core/gateway/rollout"
)

// placeOnTrial finds a target of the version on trial for the first send of a request
// that was drawn for it. It takes one that is free now and does not wait: a request that
// finds none goes to the version in service, like repeats and hedges, so that nothing
// raises the share of the version on trial. It returns nil where there is none.
func (b *balancer) placeOnTrial(ctx context.Context, req *request, svc *service) *candidate {
	if !req.onTrial {
		return nil
	}
	req.onTrial = false
	a, ok := b.trial(req.service)
	if !ok {
		return nil
	}
	found := b.probeAmong(ctx, req, svc, search{targets: a.Canary(), within: locality.OtherRegion})
	if found == nil || !b.takesOnTrial(ctx, req, svc, found) || !b.admitTo(ctx, req, found) {
		b.release(found)
		return nil
	}
	found.trial = a.Permille()
	return found
}

// trial is what the rollout of a service assigns, as long as what is known of it is fresh:
// it may have been rolled back meanwhile.
func (b *balancer) trial(service string) (rollout.Assignment, bool) {
	a, ok := b.options.Snapshot().Rollout(service)
	return a, ok && len(a.Canary()) > 0 && b.options.Current()
}

// takesOnTrial says whether a request takes a target on trial that was found. One that is
// slowed down by other work on its machine is left out: it says nothing of its version.
func (b *balancer) takesOnTrial(ctx context.Context, req *request, svc *service, found *candidate) bool {
	if ctx.Err() != nil {
		return false
	}
	if found.Cold {
		return found.Room() > 0 && b.takeTurn(req, svc, found.target)
	}
	return found.Free() && found.Report.Slowness() <= estimate.MaxUsualSlowness || !found.HasReport
}

// drawTrial says whether a request is drawn for the version on trial.
func (h *Handler) drawTrial(service string) bool {
	a, ok := h.options.Snapshot().Rollout(service)
	return ok && !a.TakesAll() && a.TakesCanary(h.options.Draw())
}

// besides lists the targets that take the same requests as a given one, which is among them.
func (b *balancer) besides(service string, like catalog.Target) []catalog.Target {
	believed := b.options.Snapshot()
	if a, ok := believed.Rollout(service); ok && like.Version == a.Rollout().Version {
		return a.Canary()
	}
	return believed.Targets(service)
}
