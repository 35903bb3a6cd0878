package retry

import (
	"time"

	"github.com/sprucecrank/sprucecrank/core/gateway/placement"
)

const (
	// HedgeBudgetShare is the share of the budget of second sends that hedges may use: the
	// rest is reserved for requests whose first send failed.
	HedgeBudgetShare = 0.7
	// overdueFactor is how many times its predicted time a first send may take before its
	// target is assumed to be lost. Of 2,918 sends while targets were mostly idle, none to
	// a target of usual speed took longer, except for sends to last slots (docs/DESIGN.md,
	// "Which target").
	overdueFactor = 2.5
	// hedgeMinTimeFactor is how many times its usual time a hedge should have left of the
	// objective, and hedgeMinDelayFactor how many times its usual time the first send
	// gets before a hedge is sent: most requests end by then.
	hedgeMinTimeFactor  = 1.5
	hedgeMinDelayFactor = 4.0 / 3
	// searchPauseShare is the pause between two searches for a target for a hedge, as a
	// share of the usual time, and minSearchPause the minimum.
	searchPauseShare = 0.3
	minSearchPause   = 4 * time.Millisecond
)

// FirstSend is the input of HedgeDelay when the first send starts.
type FirstSend struct {
	// Repeatable says whether the request may run more than once.
	Repeatable bool
	// Sends counts the sends before this one, MaxAttempts bounds all.
	Sends       int
	MaxAttempts int
	// Objective is the time within which an answer has its full value, Elapsed how much
	// of it has passed, and Usual how long a request of the route usually takes.
	Objective time.Duration
	Elapsed   time.Duration
	Usual     time.Duration
}

// HedgeDelay returns how long a send may take before a hedge is sent, and whether a hedge
// may be sent at all. The delay is the longest that leaves a hedge enough time to answer
// within the objective, but not shorter than the time after which the first send is late.
func HedgeDelay(f FirstSend) (time.Duration, bool) {
	if !f.Repeatable || f.Objective <= 0 || f.Sends+1 >= f.MaxAttempts {
		return 0, false
	}
	latestDelay := f.Objective - scale(hedgeMinTimeFactor, f.Usual) - f.Elapsed
	return max(latestDelay, scale(hedgeMinDelayFactor, f.Usual)), true
}

func scale(factor float64, d time.Duration) time.Duration { return time.Duration(factor * float64(d)) }

// SearchPause returns the time between two searches for a target for a hedge.
func SearchPause(usual time.Duration) time.Duration {
	return max(scale(searchPauseShare, usual), minSearchPause)
}

// Overdue reports whether a send has taken so much longer than predicted that its target
// is assumed to be lost.
func Overdue(took, predicted time.Duration) bool {
	return took > scale(overdueFactor, predicted)
}

// MayHedge reports whether the gateway should now search for a target for a hedge. While
// other requests wait for their first target, it should only if the first send is overdue.
func MayHedge(contended, overdue bool) bool { return !contended || overdue }

// SuitsHedge reports whether a hedge may go to a target: an idle one, which the hedge
// would not saturate, or any with a free slot if the first send is overdue.
func SuitsHedge(c *placement.Candidate, overdue bool) bool { return c.Idle() || overdue && c.Free() }
