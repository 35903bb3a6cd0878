package placement

import (
	"time"

	"github.com/sprucecrank/sprucecrank/core/gateway/locality"
	"github.com/sprucecrank/sprucecrank/verdict"
)

const (
	// searchShare is the share of a route's objective that the search for a
	// target may take; after it a full service refuses. The client must
	// have time left to come back. Waiting so was measured as a whole:
	// docs/DESIGN.md, "wait for a usual target while there is hope".
	searchShare = 0.2
	// hopeFactor is how many times its usual time a request must have left, for a
	// target of usual speed still to answer within the objective.
	hopeFactor = 1.4
	// inTimeShare is the share of the objective within which an answer must be
	// predicted for a target to be taken. Predictions err.
	inTimeShare = 0.9
)

// Deadlines are the moments by which the search of one request changes.
type Deadlines struct {
	objective time.Duration
	began     time.Time
	search    time.Time
	hope      time.Time
}

// NewDeadlines works out the deadlines of a request that came in at began, by
// the route's objective and its usual time.
func NewDeadlines(began time.Time, objective, usual time.Duration) Deadlines {
	return Deadlines{
		objective: objective, began: began,
		search: began.Add(time.Duration(searchShare * float64(objective))),
		hope:   began.Add(objective - time.Duration(hopeFactor*float64(usual))),
	}
}

// SearchEnded says whether no round may follow.
func (d Deadlines) SearchEnded(now time.Time) bool { return now.After(d.search) }

// hopeEnded says whether not even a target of usual speed could answer within
// the objective, so that waiting for one is of no use.
func (d Deadlines) hopeEnded(now time.Time) bool { return now.After(d.hope) }

// inTime says whether an answer within the objective is predicted.
func (d Deadlines) inTime(now time.Time, predicted time.Duration) bool {
	left := time.Duration(inTimeShare*float64(d.objective)) - now.Sub(d.began)
	return predicted <= left
}

// State is what Decide goes by after a round of probes.
type State struct {
	Now       time.Time
	Deadlines Deadlines
	// Targets is how many targets of the service are known that take the request,
	// Barred how many do not since its route does not allow their regions, and Evacuated
	// how many take none since their halls are evacuated.
	Targets   int
	Barred    int
	Evacuated int
	// Closed is how many of Targets take nothing for now by what they said of themselves, OpensIn
	// when the first of them may take a request, and BackingOff how many asked for back-off.
	Closed     int
	OpensIn    time.Duration
	BackingOff int
	// Best is the best target that answered; nil if none did.
	Best *Candidate
	// Within is how far targets were probed, if there were any nearer: locality.OwnHall
	// for those of the own hall alone.
	Within locality.Tier
	// Yield says that more urgent requests have lately found no target, so that
	// this one leaves a target's last slot to them (Contention.Yields).
	Yield bool
}

// Action is what becomes of a request after a round of probes.
type Action int

// The actions that Decide can choose.
const (
	// Take: the request goes to the best candidate.
	Take Action = iota
	// Wait: there may be a better target soon; another round follows.
	Wait
	// Fallback: no target answered a probe in time; the request goes to any that
	// can be reached, since a health probe may fail though the target is well.
	Fallback
	// RefuseFull: every target is too full to answer within the objective.
	RefuseFull
	// RefuseNoTarget: no target of the service is known.
	RefuseNoTarget
	// RefuseEvacuated: all targets of the service stand in halls that are evacuated.
	RefuseEvacuated
	// RefuseRegion: no target of the service stands in a region that the route and the workspace
	// allow.
	RefuseRegion
	// RefuseSpent: no target of the service has credit by the limit that it names.
	RefuseSpent
	// RefuseBackOff: no target of the service takes requests, since they asked for back-off.
	RefuseBackOff
)

// Decision is what Decide chose.
type Decision struct {
	action    Action
	contended bool
	opensIn   time.Duration
}

// Action is what becomes of the request.
func (d Decision) Action() Action { return d.action }

// Contended says that the request found no target though more than the own hall was
// open to it, which less urgent requests of the service take into account
// (Contention.Waited).
func (d Decision) Contended() bool { return d.contended }

// Refusal is why a decision refuses the request; nil of the other decisions. No
// target has had the request, so that each is a promise.
func (d Decision) Refusal() *verdict.Error {
	switch d.action {
	case RefuseNoTarget:
		return verdict.New(verdict.NotRun, verdict.ReasonNoTarget, "no target of the service is known")
	case RefuseEvacuated:
		return verdict.New(verdict.NotRun, verdict.ReasonEvacuated, "all targets of the service stand in halls that are evacuated")
	case RefuseRegion:
		return verdict.New(verdict.NotRun, verdict.ReasonRegionNotAllowed, "no target of the service stands in a region that the route and the workspace allow")
	case RefuseSpent:
		return RefusalOfSpent(d.opensIn)
	case RefuseBackOff:
		return verdict.New(verdict.NotRun, verdict.ReasonTargetsBackOff, "all targets have asked to be sent nothing for a while").
			WithRetryAfter(d.opensIn)
	case RefuseFull:
		return verdict.New(verdict.NotRun, verdict.ReasonTooLate, "every target asked is too full to answer in time")
	default:
		return nil
	}
}

// RefusalOfSpent is that of a request for which no target has credit by the limit that it names;
// creditIn is when there may be some.
func RefusalOfSpent(creditIn time.Duration) *verdict.Error {
	return verdict.New(verdict.NotRun, verdict.ReasonTargetLimits, "all targets have got as many requests as the limits allow that they name").
		WithRetryAfter(creditIn)
}

// Decide says what becomes of a request after a round of probes. While only the
// own hall was probed, only an idle target will do; then a free one from which an
// answer is predicted in time; in the last round a full one, too, if its queue is
// short enough and it does not slow down when it is full. A free target that is slow
// is taken once a usual one could not answer in time either: no better comes.
func Decide(s State) Decision {
	if s.Best == nil {
		return s.withoutCandidate()
	}
	hallOnly := s.Within == locality.OwnHall
	if (!hallOnly || s.Best.Idle()) && s.acceptable() {
		return Decision{action: Take}
	}
	free := s.Best.Room() > 0
	if free && s.Deadlines.hopeEnded(s.Now.Add(s.Best.Trip)) {
		return Decision{action: Take}
	}
	action := Wait
	if s.Deadlines.SearchEnded(s.Now) && !free {
		action = RefuseFull
	}
	return Decision{action: action, contended: !hallOnly}
}

// withoutCandidate decides where no target answered. Whether only the own hall
// was probed makes no difference then.
func (s State) withoutCandidate() Decision {
	switch {
	case s.Targets == 0 && s.Barred > 0:
		return Decision{action: RefuseRegion}
	case s.Targets == 0 && s.Evacuated > 0:
		return Decision{action: RefuseEvacuated}
	case s.Targets == 0:
		return Decision{action: RefuseNoTarget}
	case s.Closed == s.Targets && s.BackingOff > 0:
		return s.whileBackingOff()
	case s.Closed == s.Targets:
		return Decision{action: RefuseSpent, opensIn: s.OpensIn}
	case s.Deadlines.SearchEnded(s.Now):
		return Decision{action: Fallback, contended: true}
	default:
		return Decision{action: Wait, contended: true}
	}
}

// whileBackingOff decides where no target takes requests, some of them since they asked for
// back-off: a request waits for one that takes requests again while it may search.
func (s State) whileBackingOff() Decision {
	if s.Deadlines.SearchEnded(s.Now.Add(s.OpensIn)) {
		return Decision{action: RefuseBackOff, opensIn: s.OpensIn, contended: true}
	}
	return Decision{action: Wait, contended: true}
}

// acceptable says whether the best candidate is good enough to be taken now.
func (s State) acceptable() bool {
	best := s.Best
	if !best.HasReport {
		return true // nothing better can be known of a service that reports no load
	}
	if best.Free() && best.lastRoom() && s.Yield {
		return false
	}
	queues := s.Deadlines.SearchEnded(s.Now) && best.Reserved == 0 && !best.Cold
	return (queues || best.Free()) && s.Deadlines.inTime(s.Now, best.Predicted)
}
