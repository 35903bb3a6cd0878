package forward

import (
	"context"
	"time"

	"github.com/sprucecrank/sprucecrank/internal/gateway/upstream"
	"github.com/sprucecrank/sprucecrank/verdict"
)

const (
	// hedgePart is the part of the second sends that hedges may use; the rest is
	// kept for requests whose first send failed.
	hedgePart = 0.7
	// overdue is how many times its predicted time a first send may take before
	// its target is believed to be lost. Then a hedge is sent even while other
	// requests wait.
	overdue = 2.5
	// hedgeAgain is the pause before another look for a target, as a part of the
	// usual time of the route.
	hedgeAgain = 0.3
)

// race is a first send of a request and a hedge beside it.
type race struct {
	balancer *balancer
	x        *exchange
	state    *service
	first    *candidate
	began    time.Time
	// firstEnded is closed once the first send has ended.
	firstEnded chan struct{}
	// done is closed once no hedge is under way and none will be sent; answer
	// is then what it brought, if anything.
	done   chan struct{}
	answer *upstream.Answer
}

// attempt makes one send, and a second one beside it if the first is slow and
// the request may run twice. The first whole answer counts; the other send is
// cancelled at once.
func (b *balancer) attempt(ctx context.Context, x *exchange, state *service, placed *candidate) (*upstream.Answer, *verdict.Error) {
	delay, ok := b.hedgeDelay(x, state)
	if !ok {
		return b.send(ctx, x, state, placed)
	}
	first, cancelFirst := context.WithCancel(ctx)
	defer cancelFirst()
	second, cancelSecond := context.WithCancel(ctx)
	defer cancelSecond()
	r := &race{
		balancer: b, x: x, state: state, first: placed, began: b.options.Clock(),
		firstEnded: make(chan struct{}), done: make(chan struct{}),
	}
	timer := time.AfterFunc(delay, func() {
		defer close(r.done)
		if r.answer = r.hedge(second); r.answer != nil {
			cancelFirst()
		}
	})
	answer, failure := b.send(first, x, state, placed)
	close(r.firstEnded)
	if timer.Stop() || failure == nil && judge(answer) == nil {
		return answer, failure
	}
	<-r.done
	if r.answer != nil {
		return r.answer, nil
	}
	return answer, failure
}

// hedgeDelay is when a second send is worth its cost, if it ever is.
func (b *balancer) hedgeDelay(x *exchange, state *service) (time.Duration, bool) {
	if !x.route.Repeatable() || x.route.Objective <= 0 || int(x.sends.Load())+1 >= x.route.MaxAttempts {
		return 0, false
	}
	usual := state.usual(x.route)
	held := b.options.Clock().Sub(x.began)
	latest := x.route.Objective - usual - usual/2 - held
	return max(latest, usual+usual/3), true
}

// hedge looks for a target for a second send until one was made or the first
// has ended, and returns what the second brought.
func (r *race) hedge(ctx context.Context) *upstream.Answer {
	again := max(time.Duration(hedgeAgain*float64(r.state.usual(r.x.route))), leastRound)
	for {
		if placed := r.find(ctx); placed != nil {
			placed.hedge = true
			answer, failure := r.balancer.send(ctx, r.x, r.state, placed)
			if failure != nil || judge(answer) != nil {
				return nil
			}
			return answer
		}
		timer := time.NewTimer(again)
		select {
		case <-timer.C:
			continue
		case <-ctx.Done():
		case <-r.firstEnded:
		}
		timer.Stop()
		return nil
	}
}

// find takes a target for the hedge, if the budget allows one and there is a
// target that the hedge would not crowd.
func (r *race) find(ctx context.Context) *candidate {
	b := r.balancer
	now := b.options.Clock()
	lost := now.Sub(r.began) > time.Duration(overdue*float64(r.first.predicted))
	if r.state.pressed(now) && !lost || !r.state.canSpend(now, hedgePart) {
		return nil
	}
	avoid := append([]string{r.first.target.ID}, r.x.avoid...)
	placed := b.best(ctx, r.x, r.state, avoid, false)
	if placed == nil {
		return nil
	}
	suits := placed.easy() || lost && placed.free()
	if !suits || ctx.Err() != nil || !r.state.spend(b.options.Clock(), hedgePart) {
		b.release(placed)
		return nil
	}
	return placed
}
