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

// teach makes a service whose usual time is known.
func teach() (*estimate.Service, time.Duration) {
	s := estimate.New()
	for range 100 {
		s.Answered(route, answer(100*time.Millisecond, idle))
	}
	return s, s.Usual(route)
}

// answered lets requests that begin at a target with a load take so many times the
// usual time.
func answered(s *estimate.Service, n int, ratio float64, report load.Report) {
	for range n {
		s.Answered(route, answer(time.Duration(ratio*float64(s.Usual(route))), report))
	}
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
			s, usual := teach()
			answered(s, 500, c.ratio, lastSlot)
			p := s.Predict(route, lastSlot)
			g.Expect(p.Saturated()).To(Equal(c.saturated))
			g.Expect(p.Took()).To(BeNumerically("~", time.Duration(min(max(c.ratio, 1.15), 8)*1.067*float64(usual)), usual/20))
			g.Expect(s.Predict(route, idle).Saturated()).To(BeFalse())
			g.Expect(s.Predict(route, idle).Took()).To(Equal(usual))
			g.Expect(s.Predict(route, full).Saturated()).To(BeTrue(), "whatever a last slot costs")
			g.Expect(s.Predict(route, load.New(0, 0, 1, 1, time.Time{})).Took()).To(Equal(usual), "one slot, no last")
		})
	}
}

// costs is what each further running request makes all that begin then slower by.
type costs []float64

func TestTheLimitIsWhereATargetDoesMostWork(t *testing.T) {
	for name, c := range map[string]struct {
		costs costs // by the number that run, with the one that begins
		limit int
	}{
		"no slowdown":                       {costs{1, 1, 1, 1, 1, 1}, 6},
		"one slot":                          {costs{1}, 1},
		"slower from the fifth":             {costs{1, 1, 1, 1, 1.7, 1.7}, 4},
		"a steep cost from the fourth":      {costs{1, 1, 1, 6, 6, 6}, 3},
		"the last of three":                 {costs{1, 1, 1.8}, 2},
		"the last of three, a little":       {costs{1, 1, 1.3}, 3},
		"twice as slow in pairs":            {costs{1, 2.4}, 1},
		"many slots":                        {costs{1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 2, 2, 2, 2}, 12},
		"a level that only seemed to cost":  {costs{1, 1, 1.5, 1, 1, 1}, 6},
		"each costs as much as it is worth": {costs{1, 1.5, 2, 2.5, 3, 3.5}, 6},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			s, _ := teach()
			slots := len(c.costs)
			for range 100 {
				for running, cost := range c.costs {
					answered(s, 1, cost, load.New(running, 0, slots, 1, time.Time{}))
				}
			}
			reserved := s.Predict(route, load.New(0, 0, slots, 1, time.Time{})).Reserved()
			g.Expect(slots - reserved).To(Equal(c.limit))
		})
	}
}

func TestTheLimitRisesAgainWhenTargetsNoLongerSlowDown(t *testing.T) {
	g := NewWithT(t)
	s, _ := teach()
	fifth := load.New(4, 0, 6, 1, time.Time{})
	answered(s, 10, 1.7, fifth)
	g.Expect(s.Predict(route, fifth).Reserved()).To(Equal(2))
	answered(s, 60, 1, fifth)
	g.Expect(s.Predict(route, fifth).Reserved()).To(BeZero())
}

func TestATargetThatHangsTellsLittleOfItsLevel(t *testing.T) {
	g := NewWithT(t)
	s, _ := teach()
	fifth := load.New(4, 0, 6, 1, time.Time{})
	answered(s, 24, 1, fifth)
	answered(s, 2, 100, fifth)
	g.Expect(s.Predict(route, fifth).Reserved()).To(BeZero())
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

// What cold targets take is learnt apart: neither the usual time nor what levels cost is
// spoilt by it.
func TestColdTargetsSpoilNothingThatIsLearnt(t *testing.T) {
	g := NewWithT(t)
	s := estimate.New()
	idle := load.New(0, 0, 2, 1, time.Time{})
	for range 30 {
		s.Answered(route, answer(100*time.Millisecond, idle))
	}
	usual, before := s.Usual(route), s.Predict(route, idle)
	cold := answer(300*time.Millisecond, idle)
	cold.Cold = true
	g.Expect(s.PredictCold(route, idle)).To(Equal(2*usual), "believed before any was answered")
	for range 30 {
		s.Answered(route, cold)
	}
	g.Expect(s.Usual(route)).To(Equal(usual))
	g.Expect(s.Predict(route, idle)).To(Equal(before))
	g.Expect(s.PredictCold(route, idle)).To(BeNumerically("~", 300*time.Millisecond, 10*time.Millisecond))
}
