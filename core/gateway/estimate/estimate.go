// Package estimate keeps running estimates for one service, from the results of probes
// and requests: how long requests of a route usually take, how large their answers are,
// how much a target slows down on its last slot, and whether targets report their load at
// all.
//
// It owns these estimates and the step sizes by which they change. It depends on load
// reports (core/gateway/load), does no I/O and reads no clock. Estimates belong to one
// process: they are neither shared nor stored.
//
// Estimates move in steps and are not averages over all samples, so that they follow a
// service that changes, and a single long answer moves them by a bounded amount. The
// first steps are larger (docs/DESIGN.md, "Which target").
//
// # Usage
//
//	service := estimate.New()
//	usual := service.Usual(route)
//	prediction := service.Predict(route, report)
//	service.RecordAnswer(route, estimate.Answer{Took: took, Bytes: n, Report: report})
package estimate

import (
	"time"

	"github.com/sprucecrank/sprucecrank/core/gateway/load"
	"github.com/sprucecrank/sprucecrank/core/gateway/routing"
)

// MaxUsualSlowness is the highest slowness at which a target counts as working at its
// usual speed. Targets report whole percents, and these vary slightly.
const MaxUsualSlowness = 1.2

const (
	// initialUsualShare is the usual time before any was measured, as a share of the
	// route's objective.
	initialUsualShare = 0.35
	// bytesStep is the weight of one answer in the usual size.
	bytesStep = 0.1
	// idleStep is the weight of one probe in the share of idle targets, and
	// mostlyIdleShare the share above which one target at a time is probed
	// (docs/DESIGN.md, "one at a time where most are idle").
	idleStep        = 0.05
	mostlyIdleShare = 0.5
	// shedStep is the weight of one send in the share of sends that targets shed. Eight
	// sheds in a row raise the share to 0.8; one shed in two sends keeps it below that.
	shedStep = 0.2
	// maxUnreportedProbes is how many probes in a row without a load report show that a
	// service does not report load.
	maxUnreportedProbes = 8
	// minUsual keeps a cost from being computed relative to a time near zero.
	minUsual = time.Millisecond
)

// Answer describes a request that was answered.
type Answer struct {
	// Took is the time from the send to the end of the answer.
	Took time.Duration
	// Bytes is the length of the answer's body.
	Bytes int
	// Report is the target's load when it was chosen.
	Report load.Report
	// Cold says that the target was cold when it was chosen.
	Cold bool
}

// Prediction is the predicted time of a request at a target.
type Prediction struct {
	took      time.Duration
	saturated bool
	reserved  int
}

// Duration returns the predicted time until the request ends.
func (p Prediction) Duration() time.Duration { return p.took }

// Saturated reports whether that time is longer because the target lacks free slots.
func (p Prediction) Saturated() bool { return p.saturated }

// Reserved returns how many of the target's slots are better left free, because it does
// more work a second then.
func (p Prediction) Reserved() int { return p.reserved }

// Service holds the estimates for one service. It is not safe for concurrent use.
type Service struct {
	medians     map[string]median  // of answer times, by route
	bytes       map[string]float64 // of answers, by route
	longest     map[string]longest // of the times until callers had their answers, by route
	idleShare   float64            // share of probed targets
	shedShare   float64            // share of sends
	levels      levels
	cold        cost // of a cold target without other requests
	unreported  int  // consecutive probes without a load report
	reportsLoad bool // some probe returned a load report
}

// New returns the estimates of a service of which nothing is known yet.
func New() *Service {
	return &Service{
		medians: map[string]median{}, bytes: map[string]float64{}, longest: map[string]longest{}, levels: newLevels(), cold: cost{factor: initialColdCost},
	}
}

// Usual returns how long a request of a route usually takes on an idle target.
func (s *Service) Usual(route *routing.Route) time.Duration {
	if m, ok := s.medians[route.Name]; ok {
		return m.value
	}
	return time.Duration(initialUsualShare * float64(route.Objective))
}

// UsualBytes returns the usual length of a route's answers in bytes.
func (s *Service) UsualBytes(route *routing.Route) float64 { return s.bytes[route.Name] }

// Predict returns the prediction for a request of a route at a target with the given
// load.
func (s *Service) Predict(route *routing.Route, report load.Report) Prediction {
	factor := s.levels.factor(report)
	return Prediction{
		took:      report.Predict(s.Usual(route), factor),
		saturated: report.Free() == 0 || factor > negligibleCost,
		reserved:  report.Slots() - s.levels.limit(report.Slots()),
	}
}

// PredictCold returns the predicted time of a request of a route at a cold target with
// the given load.
func (s *Service) PredictCold(route *routing.Route, report load.Report) time.Duration {
	return report.Predict(s.Usual(route), s.cold.factor)
}

// RecordAnswer updates the estimates from a request that was answered. A target that was
// slow, had a queue or was cold does not change the usual time. A target that had other
// requests updates the cost of its level of fullness, and the usual time only if that
// cost is negligible.
func (s *Service) RecordAnswer(route *routing.Route, a Answer) {
	s.bytes[route.Name] += bytesStep * (float64(a.Bytes) - s.bytes[route.Name])
	if a.Report.Slowness() > MaxUsualSlowness || a.Report.Waiting() > 0 {
		return
	}
	usual := s.Usual(route)
	if a.Cold {
		s.cold.update(float64(a.Took) / float64(max(usual, minUsual)))
		return
	}
	if _, measured := s.medians[route.Name]; measured && a.Report.Running() > 0 {
		s.levels.update(a.Report, float64(a.Took)/float64(max(usual, minUsual)))
	}
	if !a.Report.LastSlot() && s.levels.factor(a.Report) <= negligibleCost {
		s.medians[route.Name] = s.medians[route.Name].movedTowards(usual, a.Took)
	}
}

// RecordProbe records whether a probed target was idle.
func (s *Service) RecordProbe(idle bool) {
	value := 0.0
	if idle {
		value = 1
	}
	s.idleShare += idleStep * (value - s.idleShare)
}

// RecordSend records whether a target shed a request that was sent to it.
func (s *Service) RecordSend(shed bool) {
	value := 0.0
	if shed {
		value = 1
	}
	s.shedShare += shedStep * (value - s.shedShare)
}

// ShedShare returns the share of recent sends that targets shed.
func (s *Service) ShedShare() float64 { return s.shedShare }

// MostlyIdle reports whether most of the targets probed recently were idle.
func (s *Service) MostlyIdle() bool { return s.idleShare > mostlyIdleShare }

// RecordLoadReport records whether the answer to a probe contained a load report.
func (s *Service) RecordLoadReport(hasReport bool) {
	if hasReport {
		s.reportsLoad, s.unreported = true, 0
		return
	}
	s.unreported++
}

// ReportsLoad reports whether probing targets for their load is useful.
func (s *Service) ReportsLoad() bool { return s.reportsLoad || s.unreported < maxUnreportedProbes }
