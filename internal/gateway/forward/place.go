package forward

import (
	"context"
	"time"

	"github.com/sprucecrank/sprucecrank/core/gateway/catalog"
	"github.com/sprucecrank/sprucecrank/core/gateway/load"
	"github.com/sprucecrank/sprucecrank/internal/gateway/upstream"
	"github.com/sprucecrank/sprucecrank/internal/pause"
	"github.com/sprucecrank/sprucecrank/verdict"
)

const (
	// placePart is the part of a route's objective that finding a target may
	// take before the request is refused.
	placePart = 0.2
	// hopePart is how much of its usual time a request must have left to be
	// answered within the objective by a target that works as usual.
	hopePart = 1.4
	// checkPart is the part that one round of checks may take.
	checkPart = 0.08
	// inTimePart is the part of the objective within which an answer must be
	// expected for a target to be taken at once.
	inTimePart = 0.9
	// easySlowness is the slowest target that counts as working as usual.
	easySlowness = 1.2
	// farPenalty is what a target in another hall must be faster by, and
	// farDelayPerKB how long a request waits for one of its own hall for each
	// kilobyte of its usual answer, since bytes between halls cost; at most
	// farDelayPart of the objective.
	farPenalty    = 20 * time.Millisecond
	farDelayPerKB = 12 * time.Millisecond
	farDelayPart  = 0.12
	leastRound    = 4 * time.Millisecond
	// longestRound is the longest pause between two rounds of checks.
	longestRound = 25 * time.Millisecond
)

// candidate is a target with a connection to it and its load, if it told it.
type candidate struct {
	target    catalog.Target
	conn      *upstream.Conn
	reading   load.Report
	known     bool // the reading is one
	well      bool
	predicted time.Duration
	failed    bool
	// crowded says that the request would take longer for want of room.
	crowded bool
	hedge   bool
}

func (s *candidate) free() bool { return s.known && s.well && s.reading.Free() > 0 }

// easy says whether no other target could be better by much.
func (s *candidate) easy() bool {
	return s.free() && !s.crowded && s.reading.Slowness <= easySlowness
}

// place finds the target for the next send and a connection to it.
func (b *balancer) place(ctx context.Context, x *exchange, state *service) (*candidate, *verdict.Error) {
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
		if best == nil && len(x.targets) == 0 {
			return nil, verdict.New(verdict.NotRun, verdict.ReasonNoTarget, "no target of the service is known")
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
			return nil, verdict.New(verdict.NotRun, verdict.ReasonTooLate, "every target asked is too full to answer in time")
		}
		b.release(best)
		x.waits++
		if !pause.For(ctx, min(b.round(x), longestRound)) {
			return nil, ended(ctx)
		}
	}
}

// nearOnly says whether a request should still wait for a target of its own
// hall. While others find no target at all, any will do.
func (b *balancer) nearOnly(x *exchange, state *service) bool {
	now := b.options.Clock()
	return now.Before(x.began.Add(state.farDelay(x.route))) && !state.pressed(now)
}

// blind takes any target that can be reached, since none of those asked for its
// load has answered: a health check may fail though the target is well.
func (b *balancer) blind(ctx context.Context, x *exchange, state *service) (*candidate, *verdict.Error) {
	near, far := b.candidates(x, state, x.avoid)
	if any := b.unasked(ctx, state, append(near, far...)); any != nil {
		return any, nil
	}
	if ctx.Err() != nil {
		return nil, ended(ctx)
	}
	return nil, verdict.New(verdict.NotRun, verdict.ReasonUnreachable, "no target could be reached")
}

// acceptable says whether the request should go to a target now. In the last
// round a target's queue will do, if the answer is still expected in time. A
// target that is free but slow is taken only once no faster one could answer in
// time any more.
func (b *balancer) acceptable(now time.Time, x *exchange, state *service, s *candidate, last bool) bool {
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
		return verdict.New(verdict.NotRun, verdict.ReasonTooLate, "the deadline passed before a target was found")
	}
	return verdict.New(verdict.NotRun, verdict.ReasonClientGone, "the client went away")
}

func (b *balancer) release(s *candidate) {
	if s != nil && s.conn != nil {
		b.options.Pool.Put(s.conn)
	}
}

// inTime says whether an answer within the route's objective is to be expected.
func (b *balancer) inTime(now time.Time, x *exchange, s *candidate) bool {
	left := time.Duration(inTimePart*float64(x.route.Objective)) - now.Sub(x.began)
	return s.predicted <= left
}

func (b *balancer) round(x *exchange) time.Duration {
	return max(time.Duration(checkPart*float64(x.route.Objective)), leastRound)
}
