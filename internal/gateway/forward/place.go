package forward

import (
	"context"

	"github.com/sprucecrank/sprucecrank/core/gateway/locality"
	"github.com/sprucecrank/sprucecrank/core/gateway/placement"
	"github.com/sprucecrank/sprucecrank/internal/pause"
	"github.com/sprucecrank/sprucecrank/verdict"
)

// place finds the target for the next send and a connection to it, by rounds of
// probes.
func (b *balancer) place(ctx context.Context, req *request, svc *service) (*candidate, *verdict.Error) {
	if onTrial := b.placeOnTrial(ctx, req, svc); onTrial != nil {
		return onTrial, nil
	}
	deadlines := placement.NewDeadlines(req.received(), req.route.Objective, svc.usual(req.route))
	if b.isKnownCutOff(svc) {
		b.tryPaths(req, svc)
		return nil, errNoneAnswers
	}
	for {
		if failure := b.barred(req); failure != nil {
			return nil, failure
		}
		within := b.within(req, svc)
		best := b.probeRound(ctx, req, svc, req.avoid, within)
		if ctx.Err() != nil {
			b.release(best)
			return nil, failureOf(ctx)
		}
		decision := b.decide(req, svc, deadlines, best, within)
		if decision.Action() == placement.SendToBest {
			if b.gate(best.target.Life()) == nil && b.admitTo(ctx, req, best) {
				return best, nil
			}
			b.release(best)
			if deadlines.SearchEnded(b.options.Clock()) {
				closed := b.countClosed(req, b.places.allowed(req, b.targets(req)))
				return nil, placement.NoCreditRefusal(closed.opensIn)
			}
			continue // at once: it is passed over now
		}
		b.release(best)
		if failure := decision.Refusal(); failure != nil {
			if decision.Action() == placement.RefuseFull && svc.reachesFew(b.options.Clock(), len(b.targets(req))) {
				return nil, errFewAnswer
			}
			return nil, failure
		}
		if decision.Action() == placement.Fallback || best == nil && b.isCutOff(svc) {
			return nil, errNoneAnswers
		}
		req.waits++
		if !pause.For(ctx, placement.Pause(req.route.Objective)) {
			return nil, failureOf(ctx)
		}
	}
}

// within is how far this round looks, if there are any targets nearer.
func (b *balancer) within(req *request, svc *service) locality.Tier {
	now := b.options.Clock()
	waits := placement.NewTierWaits(svc.usualBytes(req.route), req.route.Objective)
	return waits.MaxTier(now, req.received(), svc.isContended(now))
}

// decide has the decision made, and notes it where it is that no target will do.
func (b *balancer) decide(req *request, svc *service, deadlines placement.Deadlines, best *candidate, within locality.Tier) placement.Decision {
	now := b.options.Clock()
	believed := b.options.Snapshot()
	known := believed.Targets(req.service)
	allowed := b.places.allowed(req, known)
	state := placement.State{
		Now: now, Deadlines: deadlines, Targets: len(allowed), RegionDisallowed: len(known) - len(allowed), Evacuated: believed.EvacuatedCount(req.service),
		MaxTier: within, Yield: svc.yields(now, req.priority()),
	}
	closed := b.countClosed(req, allowed)
	state.Unavailable, state.AvailableIn, state.BackingOff = closed.count, closed.opensIn, closed.backingOff
	if best != nil {
		state.Best = &best.Candidate
	}
	decision := placement.Decide(state)
	if decision.Action() == placement.SendToBest && best.Cold && best.HasReport && !b.takeTurn(req, svc, best.target) {
		best.ColdAllowed = false // another request of this gateway was quicker
		decision = placement.Decide(state)
	}
	if decision.Contended() {
		svc.waited(now, req.priority())
	}
	switch decision.Action() {
	case placement.SendToBest, placement.RefuseNoTarget, placement.RefuseEvacuated, placement.RefuseRegion:
	default:
		b.options.Metrics.Wait(req.service)
	}
	return decision
}

// errNoneAnswers says that no target answers, so that another gateway is asked or any target
// taken that can be reached.
var errNoneAnswers = verdict.New(verdict.NotRun, verdict.ReasonUnreachable, "no target answers")

// errFewAnswer says that the few targets that answer are full, so that another gateway is asked.
var errFewAnswer = verdict.New(verdict.NotRun, verdict.ReasonTooLate, "every target that answers is too full to answer in time")

// errFewReached is errFewAnswer for the gateway that relayed the request: it asks another one,
// since targets that this one does not reach may have room.
var errFewReached = verdict.New(verdict.NotRun, verdict.ReasonUnreachable, "few targets answer, and they are full")

// failureOf is why a context ended while no send was under way.
func failureOf(ctx context.Context) *verdict.Error {
	if context.Cause(ctx) == context.DeadlineExceeded {
		return tooLate()
	}
	return verdict.New(verdict.NotRun, verdict.ReasonClientGone, "the client went away")
}
