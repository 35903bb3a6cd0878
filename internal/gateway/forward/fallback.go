package forward

import (
	"context"
	"slices"
	"time"

	"github.com/sprucecrank/sprucecrank/core/gateway/catalog"
	"github.com/sprucecrank/sprucecrank/core/gateway/placement"
	"github.com/sprucecrank/sprucecrank/internal/gateway/upstream"
	"github.com/sprucecrank/sprucecrank/verdict"
)

// fallback takes any target that can be reached and takes the request by its limit. A gateway
// that can connect to none refuses at once; so does one to which the request was relayed.
func (b *balancer) fallback(ctx context.Context, req *request, svc *service) (*candidate, *verdict.Error) {
	failure := verdict.New(verdict.NotRun, verdict.ReasonUnreachable, "no target could be reached")
	if req.relayed != nil || b.noneConnects(req, svc) {
		return nil, failure
	}
	for {
		reached := b.reachAny(ctx, req, svc)
		switch {
		case reached != nil && b.admitTo(ctx, req, reached):
			return reached, nil
		case ctx.Err() != nil:
			b.release(reached)
			return nil, failureOf(ctx)
		case reached == nil:
			return nil, failure
		}
		b.release(reached) // it is passed over from now on
		failure = placement.NoCreditRefusal(0)
	}
}

func (b *balancer) noneConnects(req *request, svc *service) bool {
	return svc.noneConnects(b.options.Clock(), len(b.targets(req)))
}

// reachAny connects to any target. Near ones that could not be reached are ejected then, so
// that a second look finds other regions.
func (b *balancer) reachAny(ctx context.Context, req *request, svc *service) *candidate {
	reached := b.connectAny(ctx, req, svc)
	if reached == nil && ctx.Err() == nil && b.places.spans() {
		reached = b.connectAny(ctx, req, svc)
	}
	return reached
}

// connectAny connects to any target, to one of another region only after all near ones; nil if
// none can be reached. It skips the rest of a region once it is known that none connects.
func (b *balancer) connectAny(ctx context.Context, req *request, svc *service) *candidate {
	order := b.order(req, svc, b.targets(req), req.avoid)
	for _, targets := range [][]catalog.Target{order.Near(), order.Far()} {
		placement.SortByOwnLoad(targets, svc.activeAt)
		for wave := range slices.Chunk(targets, placement.FallbackWidth) {
			reached := b.connectWave(ctx, req, svc, wave)
			if reached != nil || ctx.Err() != nil {
				return reached
			}
			if b.noneConnects(req, svc) {
				break
			}
		}
	}
	return nil
}

// connectWave connects to several targets at once and returns the first that it reached.
func (b *balancer) connectWave(ctx context.Context, req *request, svc *service, targets []catalog.Target) *candidate {
	waveCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan *candidate, len(targets))
	for _, target := range targets {
		go func() { results <- b.connectTo(waveCtx, req, svc, target) }()
	}
	for open := len(targets); open > 0; {
		found := <-results
		open--
		if found != nil {
			b.releaseLate(results, open)
			return found
		}
	}
	return nil
}

// connectTo connects to a target without a probe. A cold one needs a turn, whose end is not
// waited for. It makes a new connection: an idle one may lead nowhere, since no target answers.
func (b *balancer) connectTo(ctx context.Context, req *request, svc *service, target catalog.Target) *candidate {
	timeout := placement.FallbackTimeout(req.route.Objective, b.places.trip(target.Hall))
	conn, failure := b.connectBy(ctx, svc, target, b.options.Pool.Renew, timeout)
	if failure != nil {
		if ctx.Err() == nil {
			svc.probeFailed(b.options.Clock(), target.Life())
		}
		return nil
	}
	cold := svc.isCold(b.options.Clock(), target)
	reached := b.unprobed(target, conn, cold)
	if cold && !b.takeTurn(req, svc, target) {
		b.release(reached)
		return nil
	}
	return reached
}

// getConn returns a connection to a target.
type getConn func(ctx context.Context, target catalog.Target) (*upstream.Conn, *verdict.Error)

// connectBy takes a connection to a target within a timeout; a new one also measures how far the
// target is.
func (b *balancer) connectBy(ctx context.Context, svc *service, target catalog.Target, get getConn, timeout time.Duration) (*upstream.Conn, *verdict.Error) {
	dialCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	conn, failure := get(dialCtx, target)
	if failure != nil {
		if ctx.Err() == nil {
			svc.connected(target.Life(), false)
		}
		return nil, failure
	}
	if took, isNew := conn.DialTime(); isNew {
		svc.connected(target.Life(), true)
		b.places.observe(b.options.Clock(), target.Hall, took)
	}
	return conn, nil
}
