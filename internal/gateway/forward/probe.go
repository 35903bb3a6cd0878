package forward

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/sprucecrank/sprucecrank/core/gateway/catalog"
	"github.com/sprucecrank/sprucecrank/core/gateway/load"
	"github.com/sprucecrank/sprucecrank/core/gateway/locality"
	"github.com/sprucecrank/sprucecrank/core/gateway/placement"
	"github.com/sprucecrank/sprucecrank/internal/gateway/quota"
	"github.com/sprucecrank/sprucecrank/internal/gateway/upstream"
	"github.com/sprucecrank/sprucecrank/verdict"
)

// probeTimeout bounds one health probe; a round does not wait for it. It is far
// above the answer of a live target, below what a hung one may hold.
const probeTimeout = 250 * time.Millisecond

// candidate is a target that was probed, with a connection to it.
type candidate struct {
	placement.Candidate
	target catalog.Target
	conn   *upstream.Conn
	// hedge says that the send to it is a hedge.
	hedge bool
	// credit is what its limit gave for the send; nil where it names none.
	credit *quota.Credit
	// trial is the share, in thousandths, that its version takes on trial; 0 where it is
	// not on trial.
	trial int
}

// probeRound probes some targets and returns the one that should answer soonest;
// nil if none answered in time. within is how far it looks, if there are any nearer.
func (b *balancer) probeRound(ctx context.Context, req *request, svc *service, avoid []catalog.Life, within locality.Tier) *candidate {
	return b.probeAmong(ctx, req, svc, search{targets: b.targets(req), avoid: avoid, within: within})
}

// search is what a round of probes goes by.
type search struct {
	// targets are those that take the request, avoid some that do not.
	targets []catalog.Target
	avoid   []catalog.Life
	// within is how far targets are probed, if there are any nearer.
	within locality.Tier
}

// probeAmong is probeRound of what a search names.
func (b *balancer) probeAmong(ctx context.Context, req *request, svc *service, s search) *candidate {
	order := b.order(req, svc, s.targets, s.avoid)
	if !svc.reportsLoad() {
		return b.firstReached(ctx, req, svc, order)
	}
	effort := placement.ProbeScope{
		MaxTier: s.within, Contended: svc.isContended(b.options.Clock()), MostlyIdle: svc.mostlyIdle(),
	}
	var best *candidate
	for _, wave := range order.Waves(effort) {
		best = b.probeWave(ctx, req, svc, wave, best)
		if best != nil && best.Idle() {
			break
		}
	}
	return best
}

// targets are those of a request's service that take requests now, so that what waits
// or is sent again follows each change.
func (b *balancer) targets(req *request) []catalog.Target {
	return b.options.Snapshot().Targets(req.service)
}

// order draws the order in which some targets are probed for a request: first sends,
// repeats, hedges and requests on trial alike, so that none gets past what its route
// allows.
func (b *balancer) order(req *request, svc *service, targets []catalog.Target, avoid []catalog.Life) *placement.Order {
	now, avoided := b.options.Clock(), b.options.Signals.Avoided(targets)
	filter := placement.Filter{
		Tier: b.places.tier, Region: b.places.region, RoundTrip: b.places.measured, Avoid: avoid,
		Ejected: func(life catalog.Life) bool { return svc.isEjected(now, life) || avoided[life] },
		Cold:    func(targets []catalog.Target) int { return svc.countCold(now, targets) },
	}
	if closed := b.closed(req); len(closed) > 0 {
		req.sendLog.passOver(targets, closed)
		filter.Unavailable = func(life catalog.Life) bool {
			_, ok := closed[life]
			return ok
		}
	}
	if !b.options.Explore() {
		idle := b.options.Pool.Idle()
		filter.Connected = func(life catalog.Life) bool { return idle[life] > 0 }
	}
	order := placement.NewOrder(b.places.allowed(req, targets), filter, rand.Shuffle)
	svc.reached(now, order.Reach())
	return order
}

// probeWave probes targets at once and returns the best of them and of best. It
// ends at an idle one, or when the round's time is over.
func (b *balancer) probeWave(ctx context.Context, req *request, svc *service, targets []catalog.Target, best *candidate) *candidate {
	results := make(chan *candidate, len(targets))
	for _, target := range targets {
		go func() { results <- b.probe(ctx, req, svc, target) }()
	}
	timer := time.NewTimer(placement.RoundTimeout(req.route.Objective, b.longestTrip(targets)))
	defer timer.Stop()
	for open := len(targets); open > 0; {
		select {
		case found := <-results:
			open--
			req.countProbe(found)
			svc.probed(found != nil && found.Idle())
			best = b.better(best, found)
			if best != nil && best.Idle() {
				b.releaseLate(results, open)
				return best
			}
		case <-timer.C:
			b.releaseLate(results, open)
			return best
		}
	}
	return best
}

// releaseLate takes in the candidates that nobody waits for any more.
func (b *balancer) releaseLate(results <-chan *candidate, open int) {
	if open == 0 {
		return
	}
	go func() {
		for range open {
			b.release(<-results)
		}
	}()
}

// better returns the better of two candidates and gives back the connection of
// the other; either may be nil.
func (b *balancer) better(best, found *candidate) *candidate {
	if best == nil {
		return found
	}
	if found == nil {
		return best
	}
	if placement.Better(&found.Candidate, &best.Candidate) {
		best, found = found, best
	}
	b.release(found)
	return best
}

// probe asks one target for its health and load; nil if it did not answer, or is to be sent
// nothing.
func (b *balancer) probe(ctx context.Context, req *request, svc *service, target catalog.Target) *candidate {
	if b.gate(target.Life()) != nil {
		return nil
	}
	conn, health, ok := b.askHealth(ctx, req, svc, target)
	if !ok {
		if ctx.Err() == nil && b.gate(target.Life()) == nil {
			svc.probeFailed(b.options.Clock(), target.Life())
		}
		return nil
	}
	report, hasReport := health.Load()
	svc.probeAnswered(target.Life(), hasReport)
	trip := b.places.trip(target.Hall)
	c := &candidate{target: target, conn: conn, Candidate: placement.Candidate{
		Report: report, HasReport: hasReport, Healthy: health.Healthy(),
		Tier: b.places.tier(target.Hall), RoundTrip: trip, Predicted: svc.usual(req.route) + trip,
	}}
	if svc.toldWarmup(b.options.Clock(), target, health.Warmup()) {
		b.warmUp(req, svc, c)
		return c
	}
	if c.HasReport {
		prediction := svc.predict(req.route, c.Report)
		c.Predicted, c.Saturated = prediction.Duration()+trip, prediction.Saturated()
		if !req.exploresLimit {
			c.Reserved = prediction.Reserved()
		}
	}
	return c
}

// askHealth makes a health probe; the connection is kept if the target answered.
func (b *balancer) askHealth(ctx context.Context, req *request, svc *service, target catalog.Target) (*upstream.Conn, upstream.Health, bool) {
	conn, failure := b.connect(ctx, svc, target)
	if failure != nil {
		return nil, upstream.Health{}, false
	}
	health, err := conn.Probe(req.healthPath, probeTimeout+b.places.trip(target.Hall))
	b.options.Metrics.Check(req.service, probeResult(health, err))
	if err != nil {
		b.options.Pool.Put(conn)
		return nil, upstream.Health{}, false
	}
	b.places.observe(b.options.Clock(), target.Hall, health.Took())
	return conn, health, true
}

// connect takes a connection to a target, for which it has as long as a probe.
func (b *balancer) connect(ctx context.Context, svc *service, target catalog.Target) (*upstream.Conn, *verdict.Error) {
	return b.connectBy(ctx, svc, target, b.options.Pool.Get, probeTimeout+b.places.trip(target.Hall))
}

// Results of a health probe, as metrics name them.
const (
	probeWell   = "well"
	probeIll    = "ill"
	probeFailed = "failed"
)

func probeResult(h upstream.Health, err error) string {
	switch {
	case err != nil:
		return probeFailed
	case h.Healthy():
		return probeWell
	default:
		return probeIll
	}
}

// firstReached connects to the least loaded target by own counts that can be
// reached, to one of another region only after all near ones; nil if none can.
func (b *balancer) firstReached(ctx context.Context, req *request, svc *service, order *placement.Order) *candidate {
	if reached := b.firstOf(ctx, req, svc, order.Near()); reached != nil || ctx.Err() != nil {
		return reached
	}
	return b.firstOf(ctx, req, svc, order.Far())
}

// firstOf is firstReached of some targets. A cold one needs a turn, whose end is not
// waited for.
func (b *balancer) firstOf(ctx context.Context, req *request, svc *service, targets []catalog.Target) *candidate {
	placement.SortByOwnLoad(targets, svc.activeAt)
	for _, target := range targets {
		cold := svc.isCold(b.options.Clock(), target)
		if cold && !b.takeTurn(req, svc, target) {
			continue
		}
		conn, failure := b.connect(ctx, svc, target)
		if failure == nil {
			return b.unprobed(target, conn, cold)
		}
		if ctx.Err() != nil {
			return nil
		}
		svc.probeFailed(b.options.Clock(), target.Life())
	}
	return nil
}

// unprobed is a target of whose load nothing is known: it counts as empty.
func (b *balancer) unprobed(target catalog.Target, conn *upstream.Conn, cold bool) *candidate {
	return &candidate{target: target, conn: conn, Candidate: placement.Candidate{
		Cold: cold, ColdAllowed: cold, Report: load.New(0, 0, target.Slots, 1, time.Time{}), Healthy: true,
		Tier: b.places.tier(target.Hall), RoundTrip: b.places.trip(target.Hall),
	}}
}

// release gives back the connection of a candidate that is not used, and its credit; nil is
// none.
func (b *balancer) release(c *candidate) {
	if c != nil {
		c.credit.Return()
		b.options.Pool.Put(c.conn)
	}
}
