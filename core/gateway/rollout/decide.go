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

// Verb is what is to be done.
type Verb uint8

// Verbs of a decision.
const (
	// Wait is to record nothing.
	Wait Verb = iota
	// Advance is to record a greater share.
	Advance
	// Complete and RollBack are to record the end.
	Complete
	RollBack
)

// String names a verb as log lines do.
func (v Verb) String() string { return [...]string{"wait", "advance", "complete", "roll back"}[v] }

// Reason is why a decision was taken.
type Reason uint8

// Reasons of decisions.
const (
	// ReasonTime is that of waiting for evidence, time or reports.
	ReasonTime Reason = iota
	// ReasonOrdered is that of the first stage.
	ReasonOrdered
	// ReasonSound is that of the next stage: nothing speaks against it.
	ReasonSound
	// ReasonMoved is that of completing: the baseline gets nothing any more.
	ReasonMoved
	// ReasonLast is that of completing in the last moment in which the time or the exposure
	// allows it: sends to the baseline may be under way, and are cut with its targets.
	ReasonLast
	// ReasonInService is that of completing at once: the version is in service already.
	ReasonInService
	// ReasonFailures and ReasonSlow are those of rolling back by comparison.
	ReasonFailures
	ReasonSlow
	// ReasonDoubt is that of rolling back where the version is not proved in time, and
	// ReasonDeadline where the order's time is over.
	ReasonDoubt
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
	Verb Verb
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
		return s.analyse(d)
	case s.isLate():
		return d.with(RollBack, s.doubt())
	case s.Canary > 0:
		return d.advance(s.firstShare(), ReasonOrdered)
	}
	return d
}

// analyse decides on a rollout that runs.
func (s State) analyse(d Decision) Decision {
	w := worst(s.Evidence)
	d.Route, d.Pair, d.Span, d.Statistic, d.Threshold = w.route, w.pair, w.span, w.statistic, s.alarm()
	sound := s.isSound(w)
	switch {
	case w.statistic >= d.Threshold:
		return d.with(RollBack, w.reason)
	case s.Order.Permille >= Whole:
		return s.finish(d, sound)
	case s.isLate() || s.isExposed():
		return d.with(RollBack, s.doubt())
	}
	// One that has just taken over has no reports yet.
	next, reported := s.nextShare(), s.Evidence.Total().sends() > 0
	if reported && next > s.Order.Permille && (sound || next < Whole && w.statistic < pressingOdds) {
		return d.advance(next, ReasonSound)
	}
	return d
}

// isSound says whether the version may take all requests, or be completed: nothing speaks
// against it since the order; or little does, and nothing since the stage began: in the
// stage before, the canary may have been so few targets that faulty ones weighed much.
func (s State) isSound(w finding) bool {
	if w.statistic < suspectOdds && isTotalSound(s.Evidence, s.Evidence.Routes, soundOdds) {
		return true
	}
	stage := s.Evidence.latest(s.StageAge)
	return w.statistic < pressingOdds && worst(stage).statistic < suspectOdds &&
		isTotalSound(stage, s.Evidence.Routes, stageOdds)
}

// alarm is the statistic from which on a version is bad. Less is enough once half the time
// is over in which it must be rolled back: that time begins with its Slack-th bad answer.
func (s State) alarm() float64 {
	if s.Evidence.badBefore(s.Limits.RollBackWithin/2) >= uint64(max(s.Limits.Slack, 1)) {
		return pressingOdds
	}
	return alarmOdds
}

// finish decides on the last stage: it ends when the baseline gets nothing any more, or
// when waiting longer would expose or delay too much.
func (s State) finish(d Decision, sound bool) Decision {
	moved := len(s.Behind) == 0 && s.BaselineActive == 0
	waited := s.StageAge >= cmp.Or(s.Limits.DrainWait, longestDrain)
	bounded := s.Age >= latestEnd(s.Order.Within) || s.isExposed()
	odds := float64(sureRouteOdds)
	if bounded {
		odds = routeOdds
	}
	sound = sound && areRoutesSound(s.Evidence, odds)
	switch {
	case sound && (moved || waited):
		return d.with(Complete, ReasonMoved)
	case sound && bounded:
		return d.with(Complete, ReasonLast)
	case bounded:
		return d.with(RollBack, s.doubt())
	}
	return d
}

// isLate says whether there is no time left for the last stage.
func (s State) isLate() bool { return s.Age >= latestEnd(s.Order.Within)-lastStage }

// doubt is why a version is not proved.
func (s State) doubt() Reason {
	if s.Canary == 0 {
		return ReasonNoTargets
	}
	return ReasonDoubt
}

func (d Decision) with(v Verb, r Reason) Decision {
	d.Verb, d.Reason = v, r
	return d
}

func (d Decision) advance(permille int, r Reason) Decision {
	d.Permille = permille
	return d.with(Advance, r)
}
