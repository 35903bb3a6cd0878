package placement

import (
	"time"

	"github.com/sprucecrank/sprucecrank/core/gateway/locality"
	"github.com/sprucecrank/sprucecrank/verdict"
)

const (
	// searchShare is the share of a route's objective that the search for a target may
	// take; after that, a request to a full service is refused. The client must have time
	// left to retry. For the waiting policy as a whole, see docs/DESIGN.md, "wait for a
	// usual target while there is hope".
	searchShare = 0.2
	// minWaitFactor is how many times its usual time a request must have left for a
	// target of usual speed to still answer within the objective.
	minWaitFactor = 1.4
	// onTimeShare is the share of the objective within which an answer must be predicted
	// for a target to be chosen. The margin covers prediction errors.
	onTimeShare = 0.9
)

// Deadlines holds the times at which the rules for placing one request change.
type Deadlines struct {
	objective   time.Duration
	received    time.Time
	searchUntil time.Time
	waitUntil   time.Time
}

// NewDeadlines returns the deadlines of a request that was received at the given time,
// from the route's objective and the request's usual time.
func NewDeadlines(received time.Time, objective, usual time.Duration) Deadlines {
	return Deadlines{
		objective: objective, received: received,
		searchUntil: received.Add(time.Duration(searchShare * float64(objective))),
		waitUntil:   received.Add(objective - time.Duration(minWaitFactor*float64(usual))),
	}
}

// SearchEnded reports whether the time for the search has passed, so that no round may
// follow.
func (d Deadlines) SearchEnded(now time.Time) bool { return now.After(d.searchUntil) }

// waitEnded reports whether not even a target of usual speed could answer within the
// objective any more, so that waiting for one is useless.
func (d Deadlines) waitEnded(now time.Time) bool { return now.After(d.waitUntil) }

// meetsObjective reports whether an answer is predicted within the objective.
func (d Deadlines) meetsObjective(now time.Time, predicted time.Duration) bool {
	left := time.Duration(onTimeShare*float64(d.objective)) - now.Sub(d.received)
	return predicted <= left
}

// State is the input of Decide after a round of probes.
type State struct {
	Now       time.Time
	Deadlines Deadlines
	// Targets is the number of known targets of the service that can serve the request.
	// RegionDisallowed and Evacuated count the targets that can't: because the route does
	// not allow their regions, and because their halls are evacuated.
	Targets          int
	RegionDisallowed int
	Evacuated        int
	// Unavailable is how many of Targets accept no requests for now according to what
	// they advertised, AvailableIn the time until the first of them may accept one, and
	// BackingOff how many of them asked for back-off.
	Unavailable int
	AvailableIn time.Duration
	BackingOff  int
	// Best is the best target that answered; nil if none did.
	Best *Candidate
	// MaxTier is the farthest tier that was probed, if there were targets in a nearer
	// one: locality.OwnHall if only the gateway's own hall was probed.
	MaxTier locality.Tier
	// Yield says that more urgent requests recently found no target, so that this one
	// leaves a target's last slot to them (Contention.ShouldYield).
	Yield bool
}

// Action is what is done with a request after a round of probes.
type Action int

// The actions that Decide can choose.
const (
	// SendToBest sends the request to the best candidate.
	SendToBest Action = iota
	// Wait runs another round, because a better target may become available soon.
	Wait
	// Fallback sends the request to any target that can be reached, because no target
	// answered a probe in time: a health probe may fail although the target is healthy.
	Fallback
	// RefuseFull refuses the request: every target is too full to answer within the
	// objective.
	RefuseFull
	// RefuseNoTarget refuses the request: no target of the service is known.
	RefuseNoTarget
	// RefuseEvacuated refuses the request: all targets of the service are in evacuated
	// halls.
	RefuseEvacuated
	// RefuseRegion refuses the request: no target of the service is in a region that the
	// route and the workspace allow.
	RefuseRegion
	// RefuseNoCredit refuses the request: no target of the service has credit left under
	// the limit that it advertises.
	RefuseNoCredit
	// RefuseBackOff refuses the request: no target of the service accepts requests,
	// because they asked for back-off.
	RefuseBackOff
)

// Decision is the result of Decide.
type Decision struct {
	action      Action
	contended   bool
	availableIn time.Duration
}

// Action returns what is done with the request.
func (d Decision) Action() Action { return d.action }

// Contended reports whether the request found no target although more than the gateway's
// own hall was probed; less urgent requests of the service take that into account
// (Contention.RecordUnplaced).
func (d Decision) Contended() bool { return d.contended }

// Refusal returns the error with which a decision refuses the request; nil for other
// decisions. No target has received the request, so the verdict is always that it did not
// run.
func (d Decision) Refusal() *verdict.Error {
	switch d.action {
	case RefuseNoTarget:
		return verdict.New(verdict.NotRun, verdict.ReasonNoTarget, "no target of the service is known")
	case RefuseEvacuated:
		return verdict.New(verdict.NotRun, verdict.ReasonEvacuated, "all targets of the service stand in halls that are evacuated")
	case RefuseRegion:
		return verdict.New(verdict.NotRun, verdict.ReasonRegionNotAllowed, "no target of the service stands in a region that the route and the workspace allow")
	case RefuseNoCredit:
		return NoCreditRefusal(d.availableIn)
	case RefuseBackOff:
		return verdict.New(verdict.NotRun, verdict.ReasonTargetsBackOff, "all targets have asked to be sent nothing for a while").
			WithRetryAfter(d.availableIn)
	case RefuseFull:
		return verdict.New(verdict.NotRun, verdict.ReasonTooLate, "every target asked is too full to answer in time")
	default:
		return nil
	}
}

// NoCreditRefusal returns the refusal of a request for which no target has credit left
// under the limit that it advertises; creditIn is the time until there may be some.
func NoCreditRefusal(creditIn time.Duration) *verdict.Error {
	return verdict.New(verdict.NotRun, verdict.ReasonTargetLimits, "all targets have got as many requests as the limits allow that they name").
		WithRetryAfter(creditIn)
}

// Decide chooses what is done with a request after a round of probes. While only the own
// hall was probed, only an idle target is accepted; after that, a free target from which
// an answer is predicted in time; in the last round also a full target, if its queue is
// short enough and it does not slow down when full. A free but slow target is accepted
// once a target of usual speed could not answer in time either, because waiting gains
// nothing then.
func Decide(s State) Decision {
	if s.Best == nil {
		return s.decideWithoutCandidate()
	}
	hallOnly := s.MaxTier == locality.OwnHall
	if (!hallOnly || s.Best.Idle()) && s.acceptable() {
		return Decision{action: SendToBest}
	}
	free := s.Best.Room() > 0
	if free && s.Deadlines.waitEnded(s.Now.Add(s.Best.RoundTrip)) {
		return Decision{action: SendToBest}
	}
	action := Wait
	if s.Deadlines.SearchEnded(s.Now) && !free {
		action = RefuseFull
	}
	return Decision{action: action, contended: !hallOnly}
}

// decideWithoutCandidate decides where no target answered, whichever tiers were probed.
func (s State) decideWithoutCandidate() Decision {
	switch {
	case s.Targets == 0 && s.RegionDisallowed > 0:
		return Decision{action: RefuseRegion}
	case s.Targets == 0 && s.Evacuated > 0:
		return Decision{action: RefuseEvacuated}
	case s.Targets == 0:
		return Decision{action: RefuseNoTarget}
	case s.Unavailable == s.Targets && s.BackingOff > 0:
		return s.decideBackingOff()
	case s.Unavailable == s.Targets:
		return Decision{action: RefuseNoCredit, availableIn: s.AvailableIn}
	case s.Deadlines.SearchEnded(s.Now):
		return Decision{action: Fallback, contended: true}
	default:
		return Decision{action: Wait, contended: true}
	}
}

// decideBackingOff decides where no target accepts requests and some asked for back-off:
// the request waits if a target becomes available again before the search ends.
func (s State) decideBackingOff() Decision {
	if s.Deadlines.SearchEnded(s.Now.Add(s.AvailableIn)) {
		return Decision{action: RefuseBackOff, availableIn: s.AvailableIn, contended: true}
	}
	return Decision{action: Wait, contended: true}
}

// acceptable reports whether the best candidate is good enough to be chosen now.
func (s State) acceptable() bool {
	best := s.Best
	if !best.HasReport {
		return true // a service that reports no load offers nothing better to compare
	}
	if best.Free() && best.isLastSlot() && s.Yield {
		return false
	}
	queues := s.Deadlines.SearchEnded(s.Now) && best.Reserved == 0 && !best.Cold
	return (queues || best.Free()) && s.Deadlines.meetsObjective(s.Now, best.Predicted)
}
