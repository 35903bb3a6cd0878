package forward

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/sprucecrank/sprucecrank/core/gateway/catalog"
	"github.com/sprucecrank/sprucecrank/core/gateway/locality"
	"github.com/sprucecrank/sprucecrank/core/gateway/retry"
	"github.com/sprucecrank/sprucecrank/internal/gateway/upstream"
)

// race is a first send of a request and a hedge beside it.
type race struct {
	balancer *balancer
	req      *request
	svc      *service
	first    *candidate
	began    time.Time
	// won is set once an answer counts; each cancel function ends one send.
	won                      atomic.Bool
	cancelFirst, cancelHedge context.CancelFunc
	// firstEnded is closed once the first send has failed or counts.
	firstEnded chan struct{}
	// hedgeEnded is closed once no hedge is under way and none will be sent;
	// answer is then what it brought, if anything.
	hedgeEnded chan struct{}
	answer     *upstream.Answer
}

// attempt makes one send, and a hedge beside it if the first is slow and the
// request may run twice. The first answer that counts is taken; the other send
// is cancelled at once.
func (b *balancer) attempt(ctx context.Context, req *request, svc *service, chosen *candidate) sent {
	delay, ok := b.hedgeDelay(req, svc, chosen.RoundTrip)
	if !ok {
		return b.send(ctx, req, svc, chosen)
	}
	firstCtx, cancelFirst := context.WithCancel(ctx)
	hedgeCtx, cancelHedge := context.WithCancel(ctx)
	r := &race{
		balancer: b, req: req, svc: svc, first: chosen, began: b.options.Clock(),
		cancelFirst: cancelFirst, cancelHedge: cancelHedge,
		firstEnded: make(chan struct{}), hedgeEnded: make(chan struct{}),
	}
	timer := time.AfterFunc(delay, func() {
		defer close(r.hedgeEnded)
		r.answer = r.hedge(hedgeCtx)
	})
	result := b.send(firstCtx, req, svc, chosen)
	won := result.failure == nil && r.win()
	if won {
		cancelHedge()
	}
	close(r.firstEnded)
	if timer.Stop() || won {
		return result
	}
	return r.awaitHedge(result)
}

// awaitHedge waits for the end of the hedge, whose answer replaces the result of the first
// send.
func (r *race) awaitHedge(first sent) sent {
	<-r.hedgeEnded
	if r.answer != nil {
		first.drop()
		return sent{answer: r.answer}
	}
	return first
}

// win says whether a send is the first of the race whose answer counts. That of the
// winner may still be read; its context ends with the request.
func (r *race) win() bool { return r.won.CompareAndSwap(false, true) }

// hedgeDelay is how long the first send may take before a hedge; trip is what the way to
// its target adds. The way to the target of a hedge mostly adds as much: other regions are
// used only where the own has next to no targets.
func (b *balancer) hedgeDelay(req *request, svc *service, trip time.Duration) (time.Duration, bool) {
	return retry.HedgeDelay(retry.FirstSend{
		Repeatable: req.route.Repeatable, Sends: int(req.sends.Load()), MaxAttempts: req.maxAttempts(),
		Objective: req.route.Objective, Elapsed: b.options.Clock().Sub(req.received()), Usual: svc.usual(req.route) + trip,
	})
}

// hedge looks for a target until a hedge was sent or the first send has ended,
// and returns the answer that the hedge brought, if it counts.
func (r *race) hedge(ctx context.Context) *upstream.Answer {
	again := retry.SearchPause(r.svc.usual(r.req.route))
	for {
		if target := r.find(ctx); target != nil {
			target.hedge = true
			result := r.balancer.send(ctx, r.req, r.svc, target)
			if result.failure != nil || !r.win() {
				result.drop()
				return nil
			}
			r.cancelFirst()
			return result.answer
		}
		if r.mayRelay() {
			return r.relay(ctx)
		}
		if !r.pause(ctx, again) {
			return nil
		}
	}
}

// mayRelay says whether another gateway is to serve the hedge, and takes it from the budget.
func (r *race) mayRelay() bool {
	return r.req.relayed == nil && r.balancer.isKnownCutOff(r.svc) && r.mayHedge() && r.svc.spendHedge()
}

// relay has another gateway serve the hedge, and returns the answer if it counts.
func (r *race) relay(ctx context.Context) *upstream.Answer {
	result, ok := r.balancer.relay(ctx, r.req)
	if !ok || result.failure != nil || !r.win() {
		result.drop()
		return nil
	}
	r.cancelFirst()
	return result.answer
}

// pause waits and says whether a hedge may still be of use: unlike pause.For it also
// ends with the first send, which must not cancel a hedge that was sent.
func (r *race) pause(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	case <-r.firstEnded:
		return false
	}
}

// isOverdue says whether the first send takes longer than was predicted.
func (r *race) isOverdue() bool {
	return retry.Overdue(r.balancer.options.Clock().Sub(r.began), r.first.Predicted)
}

// mayHedge says whether a hedge may be sent now.
func (r *race) mayHedge() bool {
	contended := r.svc.isContended(r.balancer.options.Clock())
	return retry.MayHedge(contended, r.isOverdue()) && r.svc.canSpendHedge() && !r.balancer.verdictOn(r.req).IsSuspect()
}

// find takes a target for the hedge, if the budget allows one and a target suits.
func (r *race) find(ctx context.Context) *candidate {
	b := r.balancer
	if !r.mayHedge() {
		return nil
	}
	avoid := append([]catalog.Life{r.first.target.Life()}, r.req.avoid...)
	found := b.probeRound(ctx, r.req, r.svc, avoid, locality.OtherRegion)
	if found == nil {
		return nil
	}
	suits := retry.SuitsHedge(&found.Candidate, r.isOverdue()) && !found.Cold
	if !suits || ctx.Err() != nil || !b.admitTo(ctx, r.req, found) || !r.svc.spendHedge() {
		b.release(found)
		return nil
	}
	return found
}
