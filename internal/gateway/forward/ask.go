package forward

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/sprucecrank/sprucecrank/core/gateway/catalog"
	"github.com/sprucecrank/sprucecrank/core/gateway/load"
	"github.com/sprucecrank/sprucecrank/internal/gateway/upstream"
)

const (
	// waveSize is how many targets are asked for their load at once, one where
	// most are easy, as long as none of those asked before is: first targets of
	// the own hall, then others, whose bytes cost more.
	waveSize = 2
	// nearChecks and farChecks bound how many are asked in one round. While
	// requests wait, few targets are easy and each check takes time from their
	// work, so that only pressedChecks are asked of each.
	nearChecks    = 4
	farChecks     = 4
	pressedChecks = 2
	// checkTimeout bounds one check; a round does not wait for it.
	checkTimeout = 250 * time.Millisecond
)

// best asks some targets for their load, those of the own hall first, and
// returns the one that should answer soonest. With nearOnly it asks those of
// the own hall alone, if there are any.
func (b *balancer) best(ctx context.Context, x *exchange, state *service, avoid []string, nearOnly bool) *candidate {
	near, far := b.candidates(x, state, avoid)
	if !state.tellsLoad() {
		return b.unasked(ctx, state, append(near, far...))
	}
	mostNear, mostFar := nearChecks, farChecks
	if state.pressed(b.options.Clock()) {
		mostNear, mostFar = pressedChecks, pressedChecks
	}
	near = near[:min(mostNear, len(near))]
	far = far[:min(mostFar, len(far))]
	if nearOnly && len(near) > 0 {
		far = nil
	}
	size := waveSize
	if state.mostlyEasy() {
		size = 1
	}
	var best *candidate
	for _, targets := range [][]catalog.Target{near, far} {
		for wave := range slices.Chunk(targets, size) {
			best = b.ask(ctx, x, state, wave, best)
			if best != nil && best.easy() {
				return best
			}
		}
	}
	return best
}

// candidates draws targets that are not to be avoided.
func (b *balancer) candidates(x *exchange, state *service, avoid []string) (near, far []catalog.Target) {
	now := b.options.Clock()
	var aside []catalog.Target
	for _, s := range x.targets {
		switch {
		case slices.Contains(avoid, s.ID):
		case state.isAside(now, s.ID):
			aside = append(aside, s)
		case s.Hall == b.options.Hall:
			near = append(near, s)
		default:
			far = append(far, s)
		}
	}
	if len(near)+len(far) == 0 {
		far = aside
	}
	shuffle(near)
	shuffle(far)
	if !b.options.Explore() {
		b.connectedFirst(near)
	}
	return near, far
}

// connectedFirst puts the targets first to which a connection rests, in the order
// in which they stand: a new one costs the target time.
func (b *balancer) connectedFirst(targets []catalog.Target) {
	resting := b.options.Pool.Resting()
	slices.SortStableFunc(targets, func(a, c catalog.Target) int {
		return min(resting[c.ID], 1) - min(resting[a.ID], 1)
	})
}

func shuffle(s []catalog.Target) {
	rand.Shuffle(len(s), func(i, j int) { s[i], s[j] = s[j], s[i] })
}

// ask asks targets for their load at once and returns the best of them and of best.
func (b *balancer) ask(ctx context.Context, x *exchange, state *service, targets []catalog.Target, best *candidate) *candidate {
	if len(targets) == 0 {
		return best
	}
	results := make(chan *candidate, len(targets))
	for _, target := range targets {
		go func() { results <- b.check(ctx, x, state, target) }()
	}
	timer := time.NewTimer(b.round(x))
	defer timer.Stop()
	for open := len(targets); open > 0; {
		select {
		case found := <-results:
			open--
			state.learnEasy(found.easy())
			best = b.better(best, found)
			if best != nil && best.easy() {
				b.collect(results, open)
				return best
			}
		case <-timer.C:
			b.collect(results, open)
			return best
		}
	}
	return best
}

// collect takes in the answers that nobody waits for any more.
func (b *balancer) collect(results <-chan *candidate, open int) {
	if open == 0 {
		return
	}
	go func() {
		for range open {
			b.release(<-results)
		}
	}()
}

func (b *balancer) better(best, found *candidate) *candidate {
	if found.failed {
		return best
	}
	if best == nil {
		return found
	}
	if b.cost(found) < b.cost(best) {
		best, found = found, best
	}
	b.release(found)
	return best
}

// unwellPenalty ranks targets that say they are ill behind all others: some
// say so though they are well.
const unwellPenalty = time.Minute

func (b *balancer) cost(s *candidate) time.Duration {
	cost := s.predicted
	if s.target.Hall != b.options.Hall {
		cost += farPenalty
	}
	if !s.well {
		cost += unwellPenalty
	}
	return cost
}

// check asks one target for its load.
func (b *balancer) check(ctx context.Context, x *exchange, state *service, target catalog.Target) *candidate {
	s := &candidate{target: target}
	health, ok := b.askHealth(ctx, x, s)
	if !ok {
		s.failed = true
		if ctx.Err() == nil {
			state.failed(b.options.Clock(), target.ID)
		}
		return s
	}
	s.well, s.known, s.reading = health.Well, health.HasLoad, health.Load
	state.learnTells(health)
	s.predicted = state.usual(x.route)
	if s.known {
		s.predicted, s.crowded = state.predict(x.route, s.reading)
	}
	return s
}

// askHealth makes the check of a candidate; its connection is kept if the
// target answered.
func (b *balancer) askHealth(ctx context.Context, x *exchange, s *candidate) (upstream.Health, bool) {
	conn, failure := b.options.Pool.Get(ctx, s.target)
	if failure != nil {
		return upstream.Health{}, false
	}
	s.conn = conn
	health, err := conn.Check(x.health, checkTimeout)
	b.options.Metrics.Check(x.service, checkResult(health, err))
	if err != nil {
		b.release(s)
		return upstream.Health{}, false
	}
	return health, true
}

// Results of a health check, as metrics name them.
const (
	checkWell   = "well"
	checkIll    = "ill"
	checkFailed = "failed"
)

func checkResult(h upstream.Health, err error) string {
	switch {
	case err != nil:
		return checkFailed
	case h.Well:
		return checkWell
	default:
		return checkIll
	}
}

// unasked chooses by own counts alone, for services that do not tell their load.
func (b *balancer) unasked(ctx context.Context, state *service, targets []catalog.Target) *candidate {
	slices.SortStableFunc(targets, func(a, c catalog.Target) int {
		return state.load(a.ID, a.Slots) - state.load(c.ID, c.Slots)
	})
	for _, target := range targets {
		conn, failure := b.options.Pool.Get(ctx, target)
		if failure == nil {
			return &candidate{target: target, conn: conn, well: true, reading: load.Report{Slots: target.Slots, Slowness: 1}}
		}
		if ctx.Err() != nil {
			return nil
		}
		state.failed(b.options.Clock(), target.ID)
	}
	return nil
}
