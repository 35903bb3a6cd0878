package forward

import (
	"context"
	"time"

	"github.com/sprucecrank/sprucecrank/core/gateway/quarantine"
	"github.com/sprucecrank/sprucecrank/core/gateway/refusal"
	"github.com/sprucecrank/sprucecrank/core/gateway/retry"
	"github.com/sprucecrank/sprucecrank/internal/gateway/upstream"
	"github.com/sprucecrank/sprucecrank/verdict"
)

// balancer finds targets for requests and makes the sends.
type balancer struct {
	options  Options
	services *registry
	places   *places
	relays   *relays
	end      shutdownEnd
}

func newBalancer(o Options) *balancer {
	b := &balancer{options: o, services: newRegistry(o.Retry, o.Log), places: newPlaces(o.Places, o.Log)}
	b.relays = newRelays(o.Relay, b.places)
	o.Pool.OnSignals(o.Signals.Observe)
	o.Pool.OnLimit(o.Quota.ObserveLimit)
	o.Pool.SetGate(b.gate)
	return b
}

// history is how the sends of a request ended so far.
type history struct {
	// answer is a target's own failure, should nothing better come.
	answer *upstream.Answer
	// last is how the last send failed.
	last *verdict.Error
	// mayHaveRun is set once a send ended without a promise.
	mayHaveRun bool
}

// add takes in a send that failed.
func (h *history) add(s sent) {
	h.last = s.failure
	if s.failure.Verdict() != verdict.NotRun {
		h.mayHaveRun = true
	}
	if s.answer == nil || !s.outcome.HasTargetAnswer() {
		s.drop()
		return
	}
	h.drop()
	h.answer = s.answer
}

// run sends a request until there is an answer to pass on, as often as the
// decisions allow.
func (b *balancer) run(ctx context.Context, req *request) (*upstream.Answer, *verdict.Error) {
	svc := b.services.get(req.service)
	if req.relayed == nil {
		svc.countRequest() // one that was relayed counts where it was taken
	}
	var past history
	for {
		chosen, failure := b.place(ctx, req, svc)
		if req.relayed == nil && (failure == errNoneAnswers || failure == errFewAnswer) {
			relayed, ok := b.relay(ctx, req)
			if failure == errFewAnswer && relayed.lacksMemory() {
				ok = false // a target of its own may have room later
			}
			if ok && failure == errFewAnswer {
				svc.overflowed(b.options.Clock(), relayed.failure == nil)
			}
			if ok {
				return b.endRelayed(req, svc, past, relayed)
			}
		}
		if req.relayed != nil && failure == errFewAnswer {
			failure = errFewReached
		}
		if failure == errNoneAnswers {
			chosen, failure = b.fallback(ctx, req, svc)
		}
		if failure != nil {
			return b.giveUp(req, svc, past, failure)
		}
		result := b.attempt(ctx, req, svc, chosen)
		if result.failure == nil {
			past.drop()
			return result.answer, nil
		}
		past.add(result)
		req.avoid = append(req.avoid, chosen.target.Life())
		if ctx.Err() != nil || !b.retries(req, svc, result.failure) {
			return b.giveUp(req, svc, past, result.failure)
		}
	}
}

// endRelayed ends a request by how another gateway served it.
func (b *balancer) endRelayed(req *request, svc *service, past history, relayed sent) (*upstream.Answer, *verdict.Error) {
	if relayed.failure == nil {
		past.drop()
		return relayed.answer, nil
	}
	past.mayHaveRun = past.mayHaveRun || relayed.failure.Verdict() != verdict.NotRun
	return b.giveUp(req, svc, past, relayed.failure)
}

// retries says whether a request is sent again after a send that failed, and
// takes the retry from the budget.
func (b *balancer) retries(req *request, svc *service, failure *verdict.Error) bool {
	now := b.options.Clock()
	decision := retry.Decide(retry.State{
		Verdict: failure.Verdict(), Repeatable: req.route.Repeatable,
		Sends: int(req.sends.Load()), MaxAttempts: req.maxAttempts(),
		Left: req.deadline.Request().Sub(now), Usual: svc.usual(req.route),
	})
	return decision == retry.SendAgain && !b.verdictOn(req).IsSuspect() && svc.spendRetry()
}

// giveUp ends a request with the failure that a target answered, or with one of
// the gateway's.
func (b *balancer) giveUp(req *request, svc *service, past history, failure *verdict.Error) (*upstream.Answer, *verdict.Error) {
	if past.answer != nil && refusal.MayForwardTargetAnswer(failure) {
		return past.answer, nil
	}
	past.drop()
	return nil, refusal.Final(refusal.Ending{
		Failure: failure, Last: past.last, MayHaveRun: past.mayHaveRun, RetryAfter: b.retryAfter(req, svc, failure),
	})
}

// refused ends a request that was never looked a target for, with when to come back.
func (b *balancer) refused(req *request, failure *verdict.Error) *verdict.Error {
	later := max(failure.RetryAfter(), refusal.RetryAfter(req.deadline.Client().Sub(b.options.Clock()), b.options.Draw()))
	return refusal.Final(refusal.Ending{Failure: failure, RetryAfter: later})
}

// retryAfter is when the client of a refused request should come back, by its cause.
func (b *balancer) retryAfter(req *request, svc *service, failure *verdict.Error) time.Duration {
	if failure == errStopping {
		return refusal.ImmediateRetryAfter(b.options.Draw()) // at another gateway
	}
	switch failure.Reason() {
	case verdict.ReasonQuarantined:
		return quarantine.LapseAfter()
	case verdict.ReasonUnauthorized:
		return 0 // the key will be no better later
	case verdict.ReasonNoMemory:
		return failure.RetryAfter() // as the other gateway said
	case verdict.ReasonTargetLimits:
		return max(failure.RetryAfter(), refusal.RetryAfter(req.deadline.Client().Sub(b.options.Clock()), b.options.Draw()))
	case verdict.ReasonTargetsBackOff:
		return refusal.RetryAfterUnavailable(failure.RetryAfter(), req.deadline.Client().Sub(b.options.Clock()), b.options.Draw())
	}
	if failure.Reason() == verdict.ReasonShed && svc.room(b.options.Clock()).AllowsImmediateRetry() {
		return refusal.ImmediateRetryAfter(b.options.Draw())
	}
	left := req.deadline.Client().Sub(b.options.Clock())
	return refusal.RetryAfter(left, b.options.Draw())
}
