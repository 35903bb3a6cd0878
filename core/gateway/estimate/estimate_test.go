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

func TestTheUsualTimeFollowsIdleTargetsAlone(t *testing.T) {
	const took = 100 * time.Millisecond
	for name, c := range map[string]struct {
		report load.Report
		learnt bool
	}{
		"idle":              {idle, true},
		"slow":              {load.New(0, 0, 3, 1.3, time.Time{}), false},
		"with a queue":      {load.New(3, 1, 3, 1, time.Time{}), false},
		"on its last slot":  {lastSlot, false},
		"one slot, no last": {load.New(0, 0, 1, 1, time.Time{}), true},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			s := estimate.New()
			g.Expect(s.Usual(route)).To(Equal(350*time.Millisecond), "before anything was measured")
			for range 200 {
				s.Answered(route, answer(took, c.report))
			}
			if c.learnt {
				g.Expect(s.Usual(route)).To(BeNumerically("~", took, 10*time.Millisecond))
			} else {
				g.Expect(s.Usual(route)).To(Equal(350 * time.Millisecond))
			}
			g.Expect(s.UsualBytes(route)).To(BeNumerically("~", 1000, 1))
		})
	}
}

func TestOneLongAnswerMovesTheUsualTimeByABoundedStep(t *testing.T) {
	g := NewWithT(t)
	s := estimate.New()
	for range 100 {
		s.Answered(route, answer(100*time.Millisecond, idle))
	}
	before := s.Usual(route)
	s.Answered(route, answer(time.Hour, idle))
	g.Expect(s.Usual(route)).To(BeNumerically("~", before*106/100, time.Microsecond))
}

func TestWhatALastSlotCostsIsLearnt(t *testing.T) {
	for name, c := range map[string]struct {
		ratio     float64
		saturated bool
	}{
		"nothing":      {1, false},
		"twice":        {2, true},
		"beyond bound": {100, true},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			s := estimate.New()
			usual := s.Usual(route)
			for range 500 {
				s.Answered(route, answer(time.Duration(c.ratio*float64(usual)), lastSlot))
			}
			p := s.Predict(route, lastSlot)
			g.Expect(p.Saturated()).To(Equal(c.saturated))
			g.Expect(p.Took()).To(BeNumerically("<=", time.Duration(4*1.07*float64(usual))))
			g.Expect(s.Predict(route, idle).Saturated()).To(BeFalse())
			g.Expect(s.Predict(route, idle).Took()).To(Equal(usual))
			g.Expect(s.Predict(route, full).Saturated()).To(BeTrue(), "whatever a last slot costs")
		})
	}
}

func TestALastSlotCostsLittleBeforeAnyWasTaken(t *testing.T) {
	g := NewWithT(t)
	g.Expect(estimate.New().Predict(route, lastSlot).Saturated()).To(BeFalse())
}

func TestIdleShare(t *testing.T) {
	g := NewWithT(t)
	s := estimate.New()
	g.Expect(s.MostlyIdle()).To(BeFalse())
	for range 20 {
		s.Probed(true)
	}
	g.Expect(s.MostlyIdle()).To(BeTrue())
	for range 20 {
		s.Probed(false)
	}
	g.Expect(s.MostlyIdle()).To(BeFalse())
}

func TestAServiceReportsNoLoadAfterEightProbesWithout(t *testing.T) {
	g := NewWithT(t)
	s := estimate.New()
	for range 7 {
		s.ProbeAnswered(false)
		g.Expect(s.ReportsLoad()).To(BeTrue())
	}
	s.ProbeAnswered(false)
	g.Expect(s.ReportsLoad()).To(BeFalse())
	s.ProbeAnswered(true)
	g.Expect(s.ReportsLoad()).To(BeTrue())
	for range 100 {
		s.ProbeAnswered(false)
	}
	g.Expect(s.ReportsLoad()).To(BeTrue(), "some of its targets did")
}

func ExampleService() {
	s := estimate.New()
	s.Answered(route, estimate.Answer{Took: 100 * time.Millisecond, Bytes: 2048, Report: idle})
	fmt.Println(s.Usual(route), s.Predict(route, full).Saturated())
	// Output: 175ms true
}
