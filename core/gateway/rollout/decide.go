package rollout

import (
	"cmp"
	"time"

	"github.com/sprucecrank/sprucecrank/core/gateway/catalog"
)

// Limits bound the exposure to a bad version.
type Limits struct {
	// Share is the share of all requests of the service, from the order to its deadline,
	// that may reach a bad version, and Slack the number of requests allowed in addition.
	Share float64
	Slack int
	// RollBackWithin is the time after the Slack-th bad response within which requests to
	// the version must stop.
	RollBackWithin time.Duration
	// DrainWait bounds how long a send to the baseline may be in flight; 0 means
	// defaultDrainWait.
	DrainWait time.Duration
}

// State is the input of a decision.
type State struct {
	Order  catalog.Rollout
	Limits Limits
	// Age is the age of the order, and StageAge the time since its stage was recorded, or
	// was first seen by this process.
	Age      time.Duration
	StageAge time.Duration
	// OnTrial is true if the ordered version is not the one in service.
	OnTrial bool
	// Baseline and Canary are the numbers of targets of the two versions that take
	// requests, and Warm the number of canary targets that are not cold.
	Baseline int
	Canary   int
	Warm     int
	Evidence Evidence
	// Behind lists the reachable gateways that have not reported that they apply the stage,
	// and BaselineActive is the number of sends to the baseline in flight (ReportLog).
	Behind         []Lag
	BaselineActive int
}

// Action is what a decision does.
type Action uint8

// Actions of a decision.
const (
	// Wait records nothing.
	Wait Action = iota
	// Advance records a greater share.
	Advance
	// Complete and RollBack record the end of the rollout.
	Complete
	RollBack
)

// String returns an action's name in log lines.
func (a Action) String() string { return [...]string{"wait", "advance", "complete", "roll back"}[a] }

// Reason is why a decision was made.
type Reason uint8

// Reasons of decisions.
const (
	// ReasonPending: waiting for evidence, time or reports.
	ReasonPending Reason = iota
	// ReasonOrdered: the first stage begins.
	ReasonOrdered
	// ReasonHealthy: the next stage begins, with no evidence against the version.
	ReasonHealthy
	// ReasonTrafficShifted: completed, since the baseline gets no more requests, or the
	// wait for its sends in flight has timed out.
	ReasonTrafficShifted
	// ReasonLimitReached: completed at the last moment that the time or the exposure limit
	// allows. Sends to the baseline may be in flight, and are cut off when its targets
	// stop.
	ReasonLimitReached
	// ReasonInService: completed at once, since the version is already in service.
	ReasonInService
	// ReasonFailures and ReasonSlow: rolled back by the comparison with the baseline.
	ReasonFailures
	ReasonSlow
	// ReasonInconclusive: rolled back, since the version was not proved healthy in time;
	// ReasonDeadline: rolled back, since the order's time is over.
	ReasonInconclusive
	ReasonDeadline
	// ReasonNoTargets: rolled back, since the version has no targets.
	ReasonNoTargets
)

// String returns a reason's name in log lines.
func (r Reason) String() string {
	return [...]string{
		"time", "ordered", "sound", "moved", "last moment", "in service", "failures", "slow answers", "not proved in time", "deadline",
		"no targets",
	}[r]
}

// Decision is what to record, and why.
type Decision struct {
	Action Action
	// Permille is the share to record if Action is Advance.
	Permille int
	Reason   Reason
	// Age is the age of the order.
	Age time.Duration
	// Route is the one with the strongest evidence against the version, "" for all
	// together, and Span the latest time in which it was found, 0 for all since the order.
	// Pair holds the route's counts in that time, and Statistic is how many times
	// likelier these are for a bad version; from Threshold on the version is rolled back.
	Route     string
	Span      time.Duration
	Pair      Pair
	Statistic float64
	Threshold float64
}

// Decide returns what to do with a rollout.
func Decide(s State) Decision {
	d := Decision{Age: s.Age, Permille: s.Order.Permille, Pair: s.Evidence.Total()}
	switch {
	case s.Order.State.Final():
		return d
	case !s.OnTrial && s.Baseline+s.Canary > 0:
		return d.with(Complete, ReasonInService)
	case s.Age >= s.Order.Within:
		return d.with(RollBack, ReasonDeadline)
	case s.Order.State == catalog.RolloutRunning:
		return s.evaluate(d)
	case s.isTooLateForLastStage():
		return d.with(RollBack, s.unprovenReason())
	case s.Canary > 0:
		return d.advance(s.firstShare(), ReasonOrdered)
	}
	return d
}

// evaluate decides on a running rollout.
func (s State) evaluate(d Decision) Decision {
	strongest := strongestFinding(s.Evidence)
	d.Route, d.Pair, d.Span, d.Statistic, d.Threshold = strongest.route, strongest.pair, strongest.span, strongest.statistic, s.statisticThreshold()
	healthy := s.isHealthy(strongest)
	switch {
	case strongest.statistic >= d.Threshold:
		return d.with(RollBack, strongest.reason)
	case s.Order.Permille >= FullShare:
		return s.decideLastStage(d, healthy)
	case s.isTooLateForLastStage() || s.isExposureSpent():
		return d.with(RollBack, s.unprovenReason())
	}
	// A gateway that has just taken over has no reports yet.
	next, reported := s.nextShare(), s.Evidence.Total().sends() > 0
	if reported && next > s.Order.Permille && (healthy || next < FullShare && strongest.statistic < urgentRollbackRatio) {
		return d.advance(next, ReasonHealthy)
	}
	return d
}

// isHealthy reports whether the version may take all requests, or be completed: there is no
// evidence against it since the order; or there is little, and none since the stage began.
// In the stage before, the canary may have had so few targets that faulty ones had a large
// effect.
func (s State) isHealthy(strongest finding) bool {
	if strongest.statistic < suspectRatio && isTotalHealthy(s.Evidence, s.Evidence.Routes, acceptRatio) {
		return true
	}
	stage := s.Evidence.within(s.StageAge)
	return strongest.statistic < urgentRollbackRatio && strongestFinding(stage).statistic < suspectRatio &&
		isTotalHealthy(stage, s.Evidence.Routes, stageAcceptRatio)
}

// statisticThreshold returns the statistic from which on a version is rolled back. It is
// lower once half of RollBackWithin has passed, which begins with the Slack-th bad
// response.
func (s State) statisticThreshold() float64 {
	if s.Evidence.badResponsesBefore(s.Limits.RollBackWithin/2) >= uint64(max(s.Limits.Slack, 1)) {
		return urgentRollbackRatio
	}
	return rollbackRatio
}

// decideLastStage decides on the last stage. It ends when the baseline gets no more
// requests, or when further waiting would exceed the time or the exposure limit.
func (s State) decideLastStage(d Decision, healthy bool) Decision {
	isShifted := len(s.Behind) == 0 && s.BaselineActive == 0
	drainTimedOut := s.StageAge >= cmp.Or(s.Limits.DrainWait, defaultDrainWait)
	limitReached := s.Age >= latestEndAge(s.Order.Within) || s.isExposureSpent()
	minRatio := float64(strictRouteAcceptRatio)
	if limitReached {
		minRatio = routeAcceptRatio
	}
	healthy = healthy && areRoutesHealthy(s.Evidence, minRatio)
	switch {
	case healthy && (isShifted || drainTimedOut):
		return d.with(Complete, ReasonTrafficShifted)
	case healthy && limitReached:
		return d.with(Complete, ReasonLimitReached)
	case limitReached:
		return d.with(RollBack, s.unprovenReason())
	}
	return d
}

// isTooLateForLastStage reports whether there is no time left for the last stage.
func (s State) isTooLateForLastStage() bool {
	return s.Age >= latestEndAge(s.Order.Within)-lastStageDuration
}

// unprovenReason returns why a version was not proved healthy.
func (s State) unprovenReason() Reason {
	if s.Canary == 0 {
		return ReasonNoTargets
	}
	return ReasonInconclusive
}

func (d Decision) with(action Action, reason Reason) Decision {
	d.Action, d.Reason = action, reason
	return d
}

func (d Decision) advance(permille int, reason Reason) Decision {
	d.Permille = permille
	return d.with(Advance, reason)
}
