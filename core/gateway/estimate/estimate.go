// Package estimate learns, from how probes and requests end, what the decisions
// on one service go by: how long requests of a route usually take, how large
// their answers are, how much a target slows down on its last slot, and whether
// targets report their load at all.
//
// It owns these estimates and the sizes of the steps by which they move. It
// relies on load reports (core/gateway/load), does no I/O and reads no clock.
// Estimates belong to one process: nothing is shared and nothing is kept.
//
// Steps, and not sums, so that an estimate follows a service that changes, and a
// single long answer moves it by a bounded part. "Learn by large steps at first"
// was measured (docs/DESIGN.md, "Which target").
//
// # Usage
//
//	service := estimate.New()
//	usual := service.Usual(route)
//	prediction := service.Predict(route, report)
//	service.Answered(route, estimate.Answer{Took: took, Bytes: n, Report: report})
package estimate

import (
	"time"

	"github.com/sprucecrank/sprucecrank/core/gateway/load"
	"github.com/sprucecrank/sprucecrank/core/gateway/routing"
)

// UsualSlowness is the slowest target that counts as working at its usual speed.
// Targets report whole percents and vary by some.
const UsualSlowness = 1.2

const (
	// firstUsualShare is the usual time before any was measured, as a share of
	// the route's objective.
	firstUsualShare = 0.35
	// bytesStep is how far one answer moves the usual size.
	bytesStep = 0.1
	// idleStep is how far one probe moves the share of idle targets, and
	// mostlyIdleShare the share above which one target at a time is probed.
	// docs/DESIGN.md, "one at a time where most are idle".
	idleStep        = 0.05
	mostlyIdleShare = 0.5
	// shedStep is how far one send moves the share of sends that targets did not take.
	// Eight in a row make it 0.8, one in two keeps it below that.
	shedStep = 0.2
	// silentProbes is how many probes in a row without a load report show that a
	// service reports none.
	silentProbes = 8
	// minUsual keeps a cost from being measured against next to nothing.
	minUsual = time.Millisecond
)

// Answer is what a request that was answered shows.
type Answer struct {
	// Took is the time from the send to the end of the answer.
	Took time.Duration
	// Bytes is the length of the answer's body.
	Bytes int
	// Report is the target's load when it was chosen.
	Report load.Report
	// Cold says that the target was cold then.
	Cold bool
}

// Prediction is what a target would take for a request.
type Prediction struct {
	took      time.Duration
	saturated bool
	reserved  int
}

// Took is the time until the request would end.
func (p Prediction) Took() time.Duration { return p.took }

// Saturated says whether that is longer for want of room at the target.
func (p Prediction) Saturated() bool { return p.saturated }

// Reserved is how many of the target's slots are better left free, since it does
// more work a second then.
func (p Prediction) Reserved() int { return p.reserved }

// Service holds the estimates for one service. It is not safe for concurrent use.
type Service struct {
	medians   map[string]median  // of the time of an answer, by route
	bytes     map[string]float64 // of an answer, by route
	idleShare float64            // of the targets that were probed
	shedShare float64            // of the sends
	levels    levels
	cold      cost // of a cold target that had no other requests
	silent    int  // probes in a row without a load report
	reports   bool // some probe held a load report
}

// New makes the estimates of a service of which nothing is known.
func New() *Service {
	return &Service{
		medians: map[string]median{}, bytes: map[string]float64{}, levels: newLevels(), cold: cost{factor: firstColdCost},
	}
}

// Usual is how long a request of a route usually takes on an idle target.
func (s *Service) Usual(route *routing.Route) time.Duration {
	if m, ok := s.medians[route.Name]; ok {
		return m.value
	}
	return time.Duration(firstUsualShare * float64(route.Objective))
}

// UsualBytes is how long an answer of a route usually is.
func (s *Service) UsualBytes(route *routing.Route) float64 { return s.bytes[route.Name] }

// Predict is what a target with a load would take for a request of a route.
func (s *Service) Predict(route *routing.Route, report load.Report) Prediction {
	factor := s.levels.factor(report)
	return Prediction{
		took:      report.Predict(s.Usual(route), factor),
		saturated: report.Free() == 0 || factor > mattersFrom,
		reserved:  report.Slots() - s.levels.limit(report.Slots()),
	}
}

// PredictCold is what a cold target with a load would take for a request of a route.
func (s *Service) PredictCold(route *routing.Route, report load.Report) time.Duration {
	return report.Predict(s.Usual(route), s.cold.factor)
}

// Answered learns from a request that was answered. A target that was slow or had a
// queue says nothing about the usual time, nor does one that was cold. One that had other requests tells what its
// level of fullness costs, and the usual time only where that is nothing.
func (s *Service) Answered(route *routing.Route, a Answer) {
	s.bytes[route.Name] += bytesStep * (float64(a.Bytes) - s.bytes[route.Name])
	if a.Report.Slowness() > UsualSlowness || a.Report.Waiting() > 0 {
		return
	}
	usual := s.Usual(route)
	if a.Cold {
		s.cold.learn(float64(a.Took) / float64(max(usual, minUsual)))
		return
	}
	if _, measured := s.medians[route.Name]; measured && a.Report.Running() > 0 {
		s.levels.learn(a.Report, float64(a.Took)/float64(max(usual, minUsual)))
	}
	if !a.Report.LastSlot() && s.levels.factor(a.Report) <= mattersFrom {
		s.medians[route.Name] = s.medians[route.Name].moved(usual, a.Took)
	}
}

// Probed learns whether a target that was probed was idle.
func (s *Service) Probed(idle bool) {
	found := 0.0
	if idle {
		found = 1
	}
	s.idleShare += idleStep * (found - s.idleShare)
}

// Sent learns whether a target did not take a request that was sent to it.
func (s *Service) Sent(shed bool) {
	found := 0.0
	if shed {
		found = 1
	}
	s.shedShare += shedStep * (found - s.shedShare)
}

// ShedShare is the share of the latest sends that targets did not take.
func (s *Service) ShedShare() float64 { return s.shedShare }

// MostlyIdle says whether the first target that is probed will mostly do.
func (s *Service) MostlyIdle() bool { return s.idleShare > mostlyIdleShare }

// ProbeAnswered learns whether a probe that was answered held a load report.
func (s *Service) ProbeAnswered(hasReport bool) {
	if hasReport {
		s.reports, s.silent = true, 0
		return
	}
	s.silent++
}

// ReportsLoad says whether probing targets for their load is of use.
func (s *Service) ReportsLoad() bool { return s.reports || s.silent < silentProbes }
