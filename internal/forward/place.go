package forward

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/sprucecrank/sprucecrank/core/catalog"
	"github.com/sprucecrank/sprucecrank/core/choice"
	"github.com/sprucecrank/sprucecrank/internal/pause"
	"github.com/sprucecrank/sprucecrank/internal/upstream"
	"github.com/sprucecrank/sprucecrank/verdict"
)

const (
	// waveSize is how many servers are asked for their load at once, one where
	// most are easy, while none
	// of those asked before is easy: first servers of the own zone, then others,
	// whose bytes cost more.
	waveSize = 2
	// nearChecks and farChecks bound how many are asked in one round. While
	// requests wait, few servers are easy and each check takes time from their
	// work, so that only pressedChecks are asked of each.
	nearChecks    = 4
	farChecks     = 4
	pressedChecks = 2
	// placePart is the part of a route's objective that finding a server may
	// take before the request is refused.
	placePart = 0.2
	// hopePart is how much of its usual time a request must have left to be
	// answered within the objective by a server that works as usual.
	hopePart = 1.4
	// checkPart is the part that one round of checks may take.
	checkPart = 0.08
	// inTimePart is the part of the objective within which an answer must be
	// expected for a server to be taken at once.
	inTimePart = 0.9
	// easySlowness is the slowest server that counts as working as usual.
	easySlowness = 1.2
	// farPenalty is what a server in another zone must be faster by, and
	// farDelayPerKB how long a request waits for one of its own zone for each
	// kilobyte of its usual answer, since bytes between zones cost; at most
	// farDelayPart of the objective.
	farPenalty    = 20 * time.Millisecond
	farDelayPerKB = 12 * time.Millisecond
	farDelayPart  = 0.12
	// checkTimeout bounds one check; a round does not wait for it.
	checkTimeout = 250 * time.Millisecond
	leastRound   = 4 * time.Millisecond
	// longestRound is the longest pause between two rounds of checks.
	longestRound = 25 * time.Millisecond
)

// sounding is a server with a connection to it and its load, if it told it.
type sounding struct {
	server    catalog.Server
	conn      *upstream.Conn
	reading   choice.Reading
	known     bool // the reading is one
	well      bool
	predicted time.Duration
	failed    bool
	// crowded says that the request would take longer for want of room.
	crowded bool
	hedge   bool
}

func (s *sounding) free() bool { return s.known && s.well && s.reading.Free() > 0 }

// easy says whether no other server could be better by much.
func (s *sounding) easy() bool {
	return s.free() && !s.crowded && s.reading.Slowness <= easySlowness
}

// place finds the server for the next send and a connection to it.
func (b *balancer) place(ctx context.Context, x *exchange, state *service) (*sounding, *verdict.Error) {
	latest := x.began.Add(time.Duration(placePart * float64(x.route.Objective)))
	hopeless := x.began.Add(x.route.Objective - time.Duration(hopePart*float64(state.usual(x.route))))
	for {
		nearOnly := b.nearOnly(x, state)
		best := b.best(ctx, x, state, x.avoid, nearOnly)
		if ctx.Err() != nil {
			b.release(best)
			return nil, ended(ctx)
		}
		now := b.options.Clock()
		if best == nil && len(x.servers) == 0 {
			return nil, verdict.New(verdict.NotRun, verdict.ReasonNoTarget, "no server of the service is known")
		}
		last := now.After(latest)
		nearOnly = nearOnly && best != nil
		if best != nil && (!nearOnly || best.easy()) && b.acceptable(now, x, state, best, last) {
			return best, nil
		}
		free := best != nil && best.reading.Free() > 0
		if free && now.After(hopeless) {
			return best, nil
		}
		if !nearOnly {
			state.waits(now, x.route.Priority)
		}
		b.options.Metrics.Wait(x.service)
		if last && best == nil {
			return b.blind(ctx, x, state)
		}
		if last && !free {
			b.release(best)
			return nil, verdict.New(verdict.NotRun, verdict.ReasonTooLate, "every server asked is too full to answer in time")
		}
		b.release(best)
		x.waits++
		if !pause.For(ctx, min(b.round(x), longestRound)) {
			return nil, ended(ctx)
		}
	}
}

// nearOnly says whether a request should still wait for a server of its own
// zone. While others find no server at all, any will do.
func (b *balancer) nearOnly(x *exchange, state *service) bool {
	now := b.options.Clock()
	return now.Before(x.began.Add(state.farDelay(x.route))) && !state.pressed(now)
}

// blind takes any server that can be reached, since none of those asked for its
// load has answered: a health check may fail though the server is well.
func (b *balancer) blind(ctx context.Context, x *exchange, state *service) (*sounding, *verdict.Error) {
	near, far := b.candidates(x, state, x.avoid)
	if any := b.unasked(ctx, state, append(near, far...)); any != nil {
		return any, nil
	}
	if ctx.Err() != nil {
		return nil, ended(ctx)
	}
	return nil, verdict.New(verdict.NotRun, verdict.ReasonUnreachable, "no server could be reached")
}

// acceptable says whether the request should go to a server now. In the last
// round a server's queue will do, if the answer is still expected in time. A
// server that is free but slow is taken only once no faster one could answer in
// time any more.
func (b *balancer) acceptable(now time.Time, x *exchange, state *service, s *sounding, last bool) bool {
	if !s.known {
		return true
	}
	if s.free() && s.reading.LastSlot() && state.yields(now, x.route.Priority) {
		return false
	}
	return (last || s.free()) && b.inTime(now, x, s)
}

func ended(ctx context.Context) *verdict.Error {
	if context.Cause(ctx) == context.DeadlineExceeded {
		return verdict.New(verdict.NotRun, verdict.ReasonTooLate, "the deadline passed before a server was found")
	}
	return verdict.New(verdict.NotRun, verdict.ReasonClientGone, "the client went away")
}

func (b *balancer) release(s *sounding) {
	if s != nil && s.conn != nil {
		b.options.Pool.Put(s.conn)
	}
}

// inTime says whether an answer within the route's objective is to be expected.
func (b *balancer) inTime(now time.Time, x *exchange, s *sounding) bool {
	left := time.Duration(inTimePart*float64(x.route.Objective)) - now.Sub(x.began)
	return s.predicted <= left
}

func (b *balancer) round(x *exchange) time.Duration {
	return max(time.Duration(checkPart*float64(x.route.Objective)), leastRound)
}

// best asks some servers for their load, those of the own zone first, and
// returns the one that should answer soonest. With nearOnly it asks those of
// the own zone alone, if there are any.
func (b *balancer) best(ctx context.Context, x *exchange, state *service, avoid []string, nearOnly bool) *sounding {
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
	var best *sounding
	for _, servers := range [][]catalog.Server{near, far} {
		for wave := range slices.Chunk(servers, size) {
			best = b.ask(ctx, x, state, wave, best)
			if best != nil && best.easy() {
				return best
			}
		}
	}
	return best
}

// candidates draws servers that are not to be avoided.
func (b *balancer) candidates(x *exchange, state *service, avoid []string) (near, far []catalog.Server) {
	now := b.options.Clock()
	var aside []catalog.Server
	for _, s := range x.servers {
		switch {
		case slices.Contains(avoid, s.ID):
		case state.isAside(now, s.ID):
			aside = append(aside, s)
		case s.Zone == b.options.Zone:
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
	return near, far
}

func shuffle(s []catalog.Server) {
	rand.Shuffle(len(s), func(i, j int) { s[i], s[j] = s[j], s[i] })
}

// ask sounds servers at once and returns the best of them and of best.
func (b *balancer) ask(ctx context.Context, x *exchange, state *service, servers []catalog.Server, best *sounding) *sounding {
	if len(servers) == 0 {
		return best
	}
	results := make(chan *sounding, len(servers))
	for _, server := range servers {
		go func() { results <- b.sound(ctx, x, state, server) }()
	}
	timer := time.NewTimer(b.round(x))
	defer timer.Stop()
	for open := len(servers); open > 0; {
		select {
		case found := <-results:
			open--
			state.learnEase(found.easy())
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
func (b *balancer) collect(results <-chan *sounding, open int) {
	if open == 0 {
		return
	}
	go func() {
		for range open {
			b.release(<-results)
		}
	}()
}

func (b *balancer) better(best, found *sounding) *sounding {
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

// unwellPenalty ranks servers that say they are ill behind all others: some
// say so though they are well.
const unwellPenalty = time.Minute

func (b *balancer) cost(s *sounding) time.Duration {
	cost := s.predicted
	if s.server.Zone != b.options.Zone {
		cost += farPenalty
	}
	if !s.well {
		cost += unwellPenalty
	}
	return cost
}

// sound asks one server for its load.
func (b *balancer) sound(ctx context.Context, x *exchange, state *service, server catalog.Server) *sounding {
	s := &sounding{server: server}
	conn, failure := b.options.Pool.Get(ctx, server)
	if failure != nil {
		s.failed = true
		if ctx.Err() == nil {
			state.failed(b.options.Clock(), server.ID)
		}
		return s
	}
	s.conn = conn
	health, err := conn.Check(x.health, checkTimeout)
	b.options.Metrics.Check(x.service, checkResult(health, err))
	if err != nil {
		b.release(s)
		s.failed = true
		if ctx.Err() == nil {
			state.failed(b.options.Clock(), server.ID)
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
func (b *balancer) unasked(ctx context.Context, state *service, servers []catalog.Server) *sounding {
	slices.SortStableFunc(servers, func(a, c catalog.Server) int {
		return state.load(a.ID, a.Slots) - state.load(c.ID, c.Slots)
	})
	for _, server := range servers {
		conn, failure := b.options.Pool.Get(ctx, server)
		if failure == nil {
			return &sounding{server: server, conn: conn, well: true, reading: choice.Reading{Slots: server.Slots, Slowness: 1}}
		}
		if ctx.Err() != nil {
			return nil
		}
		state.failed(b.options.Clock(), server.ID)
	}
	return nil
}
