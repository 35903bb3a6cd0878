package estimate_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/sprucecrank/sprucecrank/core/gateway/estimate"
	"github.com/sprucecrank/sprucecrank/core/gateway/load"
	"github.com/sprucecrank/sprucecrank/core/gateway/routing"
)

var (
	route    = &routing.Route{Name: "read", Objective: time.Second}
	idle     = load.New(0, 0, 3, 1, time.Time{})
	lastSlot = load.New(2, 0, 3, 1, time.Time{})
	full     = load.New(3, 0, 3, 1, time.Time{})
)

func answer(took time.Duration, report load.Report) estimate.Answer {
	return estimate.Answer{Took: took, Bytes: 1000, Report: report}
}

func TestUsualTimeIsUpdatedByIdleTargetsOnly(t *testing.T) {
	const took = 100 * time.Millisecond
	for name, c := range map[string]struct {
		report       load.Report
		updatesUsual bool
	}{
		"idle":             {idle, true},
		"slow":             {load.New(0, 0, 3, 1.3, time.Time{}), false},
		"with a queue":     {load.New(3, 1, 3, 1, time.Time{}), false},
		"on its last slot": {lastSlot, false},
		"the only slot":    {load.New(0, 0, 1, 1, time.Time{}), true},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			s := estimate.New()
			g.Expect(s.Usual(route)).To(Equal(350*time.Millisecond), "initial value")
			for range 200 {
				s.RecordAnswer(route, answer(took, c.report))
			}
			if c.updatesUsual {
				g.Expect(s.Usual(route)).To(BeNumerically("~", took, 10*time.Millisecond))
			} else {
				g.Expect(s.Usual(route)).To(Equal(350 * time.Millisecond))
			}
			g.Expect(s.UsualBytes(route)).To(BeNumerically("~", 1000, 1))
		})
	}
}

func TestLongAnswerMovesUsualTimeByBoundedStep(t *testing.T) {
	g := NewWithT(t)
	s := estimate.New()
	for range 100 {
		s.RecordAnswer(route, answer(100*time.Millisecond, idle))
	}
	before := s.Usual(route)
	s.RecordAnswer(route, answer(time.Hour, idle))
	g.Expect(s.Usual(route)).To(BeNumerically("~", before*106/100, time.Microsecond))
}

// trained returns a service whose usual time is known, and that time.
func trained() (*estimate.Service, time.Duration) {
	s := estimate.New()
	for range 100 {
		s.RecordAnswer(route, answer(100*time.Millisecond, idle))
	}
	return s, s.Usual(route)
}

// answerRepeatedly records n answers of requests that started at a target with the given
// load and took the given multiple of the usual time.
func answerRepeatedly(s *estimate.Service, n int, ratio float64, report load.Report) {
	for range n {
		s.RecordAnswer(route, answer(time.Duration(ratio*float64(s.Usual(route))), report))
	}
}

func TestPredictionIncludesMeasuredCostOfLastSlot(t *testing.T) {
	for name, c := range map[string]struct {
		ratio     float64
		saturated bool
	}{
		"no slowdown":      {1, false},
		"twice as slow":    {2, true},
		"beyond the bound": {100, true},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			s, usual := trained()
			answerRepeatedly(s, 500, c.ratio, lastSlot)
			p := s.Predict(route, lastSlot)
			g.Expect(p.Saturated()).To(Equal(c.saturated))
			g.Expect(p.Duration()).To(BeNumerically("~", time.Duration(min(max(c.ratio, 1.15), 8)*1.067*float64(usual)), usual/20))
			g.Expect(s.Predict(route, idle).Saturated()).To(BeFalse())
			g.Expect(s.Predict(route, idle).Duration()).To(Equal(usual))
			g.Expect(s.Predict(route, full).Saturated()).To(BeTrue(), "regardless of the cost of the last slot")
			g.Expect(s.Predict(route, load.New(0, 0, 1, 1, time.Time{})).Duration()).To(Equal(usual), "the only slot")
		})
	}
}

// costs holds, for each number of running requests, the factor by which a request that
// starts then is slower.
type costs []float64

func TestReservedSlotsMaximizeThroughput(t *testing.T) {
	for name, c := range map[string]struct {
		costs costs // by the number of running requests, including the new one
		limit int
	}{
		"no slowdown":                                   {costs{1, 1, 1, 1, 1, 1}, 6},
		"one slot":                                      {costs{1}, 1},
		"slower from the fifth":                         {costs{1, 1, 1, 1, 1.7, 1.7}, 4},
		"a steep cost from the fourth":                  {costs{1, 1, 1, 6, 6, 6}, 3},
		"slower on the last of three":                   {costs{1, 1, 1.8}, 2},
		"slightly slower on the last of three":          {costs{1, 1, 1.3}, 3},
		"twice as slow in pairs":                        {costs{1, 2.4}, 1},
		"many slots":                                    {costs{1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 2, 2, 2, 2}, 12},
		"a level with a cost above that of fuller ones": {costs{1, 1, 1.5, 1, 1, 1}, 6},
		"slower with each slot, but more throughput":    {costs{1, 1.5, 2, 2.5, 3, 3.5}, 6},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			s, _ := trained()
			slots := len(c.costs)
			for range 100 {
				for running, cost := range c.costs {
					answerRepeatedly(s, 1, cost, load.New(running, 0, slots, 1, time.Time{}))
				}
			}
			reserved := s.Predict(route, load.New(0, 0, slots, 1, time.Time{})).Reserved()
			g.Expect(slots - reserved).To(Equal(c.limit))
		})
	}
}

func TestReservedSlotsAreReleasedWhenTargetsNoLongerSlowDown(t *testing.T) {
	g := NewWithT(t)
	s, _ := trained()
	fifth := load.New(4, 0, 6, 1, time.Time{})
	answerRepeatedly(s, 10, 1.7, fifth)
	g.Expect(s.Predict(route, fifth).Reserved()).To(Equal(2))
	answerRepeatedly(s, 60, 1, fifth)
	g.Expect(s.Predict(route, fifth).Reserved()).To(BeZero())
}

func TestHangingTargetBarelyChangesLevelCost(t *testing.T) {
	g := NewWithT(t)
	s, _ := trained()
	fifth := load.New(4, 0, 6, 1, time.Time{})
	answerRepeatedly(s, 24, 1, fifth)
	answerRepeatedly(s, 2, 100, fifth)
	g.Expect(s.Predict(route, fifth).Reserved()).To(BeZero())
}

func TestLastSlotIsNotSaturatedBeforeAnySample(t *testing.T) {
	g := NewWithT(t)
	g.Expect(estimate.New().Predict(route, lastSlot).Saturated()).To(BeFalse())
}

func TestMostlyIdleFollowsProbes(t *testing.T) {
	g := NewWithT(t)
	s := estimate.New()
	g.Expect(s.MostlyIdle()).To(BeFalse())
	for range 20 {
		s.RecordProbe(true)
	}
	g.Expect(s.MostlyIdle()).To(BeTrue())
	for range 20 {
		s.RecordProbe(false)
	}
	g.Expect(s.MostlyIdle()).To(BeFalse())
}

func TestServiceCountsAsNotReportingLoadAfterEightProbesWithoutReport(t *testing.T) {
	g := NewWithT(t)
	s := estimate.New()
	for range 7 {
		s.RecordLoadReport(false)
		g.Expect(s.ReportsLoad()).To(BeTrue())
	}
	s.RecordLoadReport(false)
	g.Expect(s.ReportsLoad()).To(BeFalse())
	s.RecordLoadReport(true)
	g.Expect(s.ReportsLoad()).To(BeTrue())
	for range 100 {
		s.RecordLoadReport(false)
	}
	g.Expect(s.ReportsLoad()).To(BeTrue(), "some of its targets reported load before")
}

func ExampleService() {
	s := estimate.New()
	s.RecordAnswer(route, estimate.Answer{Took: 100 * time.Millisecond, Bytes: 2048, Report: idle})
	fmt.Println(s.Usual(route), s.Predict(route, full).Saturated())
	// Output: 175ms true
}

// The times of cold targets are estimated separately: they change neither the usual time
// nor the costs of levels.
func TestColdTargetsDoNotChangeWarmEstimates(t *testing.T) {
	g := NewWithT(t)
	s := estimate.New()
	idle := load.New(0, 0, 2, 1, time.Time{})
	for range 30 {
		s.RecordAnswer(route, answer(100*time.Millisecond, idle))
	}
	usual, before := s.Usual(route), s.Predict(route, idle)
	cold := answer(300*time.Millisecond, idle)
	cold.Cold = true
	g.Expect(s.PredictCold(route, idle)).To(Equal(2*usual), "initial value")
	for range 30 {
		s.RecordAnswer(route, cold)
	}
	g.Expect(s.Usual(route)).To(Equal(usual))
	g.Expect(s.Predict(route, idle)).To(Equal(before))
	g.Expect(s.PredictCold(route, idle)).To(BeNumerically("~", 300*time.Millisecond, 10*time.Millisecond))
}
