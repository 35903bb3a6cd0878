package rollout

import (
	"cmp"
	"time"

	"github.com/sprucecrank/sprucecrank/core/gateway/catalog"
)

// Limits bound what a bad version may get.
type Limits struct {
	// Share is the part of all requests of the service, from the order to its deadline,
	// that may reach a bad version, and Slack how many may do so besides.
	Share float64
	Slack int
	// RollBackWithin is how soon after the Slack-th bad answer nothing may be sent to it.
	RollBackWithin time.Duration
	// DrainWait is how long a send to the baseline may be under way at most; 0 means
	// longestDrain.
	DrainWait time.Duration
}

// State is what a decision goes by.
type State struct {
	Order  catalog.Rollout
	Limits Limits
	// Age is how old the order is, and StageAge how long ago its stage was recorded, or
	// was first seen by this process.
	Age      time.Duration
	StageAge time.Duration
	// OnTrial says that the ordered version is not the one in service.
	OnTrial bool
	// Baseline and Canary are how many targets of the versions take requests, and Warm how
	// many of the latter are not cold.
	Baseline int
	Canary   int
	Warm     int
	Evidence Evidence
	// Behind are the gateways in touch that have not reported to send by the stage, and
	// BaselineActive how many sends to the baseline are under way (Ledger).
	Behind         []Lag
	BaselineActive int
}

// Action is what is to be done.
type Action uint8

// Verbs of a decision.
const (
	// Wait is to record nothing.
	Wait Action = iota
	// Advance is to record a greater share.
	Advance
	// Complete and RollBack are to record the end.
	Complete
	RollBack
)

// String names a verb as log lines do.
func (v Action) String() string { return [...]string{"wait", "advance", "complete", "roll back"}[v] }

// Reason is why a decision was taken.
type Reason uint8

// Reasons of decisions.
const (
	// ReasonPending is that of waiting for evidence, time or reports.
	ReasonPending Reason = iota
	// ReasonOrdered is that of the first stage.
	ReasonOrdered
	// ReasonHealthy is that of the next stage: nothing speaks against it.
	ReasonHealthy
	// ReasonTrafficShifted is that of completing: the baseline gets nothing any more.
	ReasonTrafficShifted
	// ReasonLimitReached is that of completing in the last moment in which the time or the exposure
	// allows it: sends to the baseline may be under way, and are cut with its targets.
	ReasonLimitReached
	// ReasonInService is that of completing at once: the version is in service already.
	ReasonInService
	// ReasonFailures and ReasonSlow are those of rolling back by comparison.
	ReasonFailures
	ReasonSlow
	// ReasonInconclusive is that of rolling back where the version is not proved in time, and
	// ReasonDeadline where the order's time is over.
	ReasonInconclusive
	ReasonDeadline
	// ReasonNoTargets is that of rolling back where no target of the version is there.
	ReasonNoTargets
)

// String names a reason as log lines do.
func (r Reason) String() string {
	return [...]string{
		"time", "ordered", "sound", "moved", "last moment", "in service", "failures", "slow answers", "not proved in time", "deadline",
		"no targets",
	}[r]
}

// Decision is what is to be recorded, and why.
type Decision struct {
	Action Action
	// Permille is the share to record when it is to advance.
	Permille int
	Reason   Reason
	// Age is that of the order.
	Age time.Duration
	// Route is the one that speaks most against the version, "" for all together, and Span
	// the latest time in which it does, 0 for all since the order. Pair holds its counts in
	// that time, and Statistic says how many times likelier these are of a bad version; from
	// Threshold on the version is rolled back.
	Route     string
	Span      time.Duration
	Pair      Pair
	Statistic float64
	Threshold float64
}

// Decide says what is to be done of a rollout.
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

// evaluate decides on a rollout that runs.
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
	// One that has just taken over has no reports yet.
	next, reported := s.nextShare(), s.Evidence.Total().sends() > 0
	if reported && next > s.Order.Permille && (healthy || next < FullShare && strongest.statistic < urgentRollbackRatio) {
		return d.advance(next, ReasonHealthy)
	}
	return d
}

// isHealthy says whether the version may take all requests, or be completed: nothing speaks
// against it since the order; or little does, and nothing since the stage began: in the
// stage before, the canary may have been so few targets that faulty ones weighed much.
func (s State) isHealthy(w finding) bool {
	if w.statistic < suspectRatio && isTotalHealthy(s.Evidence, s.Evidence.Routes, acceptRatio) {
		return true
	}
	stage := s.Evidence.within(s.StageAge)
	return w.statistic < urgentRollbackRatio && strongestFinding(stage).statistic < suspectRatio &&
		isTotalHealthy(stage, s.Evidence.Routes, stageAcceptRatio)
}

// statisticThreshold is the statistic from which on a version is bad. Less is enough once half the time
// is over in which it must be rolled back: that time begins with its Slack-th bad answer.
func (s State) statisticThreshold() float64 {
	if s.Evidence.badResponsesBefore(s.Limits.RollBackWithin/2) >= uint64(max(s.Limits.Slack, 1)) {
		return urgentRollbackRatio
	}
	return rollbackRatio
}

// decideLastStage decides on the last stage: it ends when the baseline gets nothing any more, or
// when waiting longer would expose or delay too much.
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

// isTooLateForLastStage says whether there is no time left for the last stage.
func (s State) isTooLateForLastStage() bool { return s.Age >= latestEndAge(s.Order.Within)-lastStageDuration }

// unprovenReason is why a version is not proved.
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
