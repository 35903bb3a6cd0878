package retry

import (
	"time"

	"github.com/sprucecrank/sprucecrank/core/gateway/placement"
)

const (
	// WholeBudget and HedgeBudget are the shares of the budget of second sends
	// that retries and hedges may use: the rest is kept for requests whose first
	// send failed.
	WholeBudget = 1.0
	HedgeBudget = 0.7
	// overdueFactor is how many times its predicted time a first send may take
	// before its target is believed to be lost. None of 2,918 sends of a quiet
	// day to targets of usual speed took longer, but for last slots
	// (docs/DESIGN.md, "Which target").
	overdueFactor = 2.5
	// hedgeNeeds is how many times its usual time a hedge should have left of the
	// objective, and hedgeEarliest how many times its own the first send has had
	// before one is sent: until then most requests end by themselves.
	hedgeNeeds    = 1.5
	hedgeEarliest = 4.0 / 3
	// searchShare is the pause before another look for a target for a hedge, as a
	// share of the usual time, and minSearch the least.
	searchShare = 0.3
	minSearch   = 4 * time.Millisecond
)

// First is what HedgeDelay goes by when the first send begins.
type First struct {
	// Repeatable says whether the request may run more than once.
	Repeatable bool
	// Sends counts the sends before this one, MaxAttempts bounds all.
	Sends       int
	MaxAttempts int
	// Objective is the time within which an answer is worth most, Held how much
	// of it has passed, and Usual how long a request of the route usually takes.
	Objective time.Duration
	Held      time.Duration
	Usual     time.Duration
}

// HedgeDelay is how long a send may take before a hedge is worth its cost, and
// whether one ever is: as late as a hedge can still answer within the objective,
// but not before the first send is late.
func HedgeDelay(f First) (time.Duration, bool) {
	if !f.Repeatable || f.Objective <= 0 || f.Sends+1 >= f.MaxAttempts {
		return 0, false
	}
	latest := f.Objective - times(hedgeNeeds, f.Usual) - f.Held
	return max(latest, times(hedgeEarliest, f.Usual)), true
}

func times(factor float64, d time.Duration) time.Duration { return time.Duration(factor * float64(d)) }

// SearchPause is the time between two looks for a target for a hedge.
func SearchPause(usual time.Duration) time.Duration {
	return max(times(searchShare, usual), minSearch)
}

// Overdue says whether a send has taken so much longer than predicted that its
// target is believed to be lost.
func Overdue(took, predicted time.Duration) bool {
	return took > times(overdueFactor, predicted)
}

// HedgeNow says whether a target should be looked for now: not while requests
// that have had no target at all wait, unless the first send is overdue.
func HedgeNow(contended, overdue bool) bool { return !contended || overdue }

// HedgeSuits says whether a hedge may go to a target: to one that it would not
// saturate, or to any with a free slot if the first send is overdue.
func HedgeSuits(c *placement.Candidate, overdue bool) bool { return c.Idle() || overdue && c.Free() }
