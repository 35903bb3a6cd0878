package rollout

import (
	"testing"
	"time"

	"github.com/sprucecrank/sprucecrank/core/gateway/catalog"
)

var limits = Limits{Share: .1, Slack: 50, RollBackWithin: 5 * time.Second, DrainWait: 10 * time.Second}

// stateOf returns the state of an order of 12 s with 20 warm targets of each version.
func stateOf(r catalog.Rollout, age time.Duration) State {
	r.Within = 12 * time.Second
	return State{Order: r, Limits: limits, Age: age, StageAge: age, OnTrial: true, Baseline: 20, Canary: 20, Warm: 20}
}

// evidenceOf returns the evidence on a version with the given counts, of a service with 600
// requests per second for six seconds.
func evidenceOf(canary, failed uint64) Evidence {
	e := Evidence{Routes: Routes{"r": {
		Baseline: Counts{Sends: 3600, Failed: 10}, Canary: Counts{Sends: canary, Failed: failed},
	}}}
	e.Slices = []Slice{{Age: 6 * time.Second, Routes: e.Routes}}
	return e
}

func TestDecide(t *testing.T) {
	ordered, running := order(catalog.RolloutOrdered, 0), order(catalog.RolloutRunning, 50)
	last := order(catalog.RolloutRunning, 1000)
	with := func(s State, changes ...func(*State)) State {
		for _, change := range changes {
			change(&s)
		}
		return s
	}
	evidence := func(e Evidence) func(*State) { return func(s *State) { s.Evidence = e } }
	for _, c := range []struct {
		name   string
		state  State
		verb   Action
		reason Reason
	}{
		{"ordered", stateOf(ordered, time.Second), Advance, ReasonOrdered},
		{"no targets yet", with(stateOf(ordered, time.Second), func(s *State) { s.Canary = 0 }), Wait, ReasonPending},
		{"no targets at all", with(stateOf(ordered, 10*time.Second), func(s *State) { s.Canary = 0 }), RollBack, ReasonNoTargets},
		{"in service", with(stateOf(ordered, 0), func(s *State) { s.OnTrial, s.Canary = false, 0 }), Complete, ReasonInService},
		{"zero duration", with(stateOf(ordered, 0), func(s *State) { s.Order.Within = 0 }), RollBack, ReasonDeadline},
		{"past the deadline", stateOf(running, 13*time.Second), RollBack, ReasonDeadline},
		{"unknown age", stateOf(running, unknownAge), RollBack, ReasonDeadline},
		{"early", with(stateOf(running, 3*time.Second), evidence(evidenceOf(100, 0))), Wait, ReasonPending},
		{"sound", with(stateOf(running, 7*time.Second), evidence(evidenceOf(200, 0))), Advance, ReasonHealthy},
		{"nothing reported yet", stateOf(running, 7*time.Second), Wait, ReasonPending},
		{"sound but cold", with(stateOf(running, 7*time.Second), evidence(evidenceOf(200, 0)), func(s *State) { s.Warm = 0 }), Wait, ReasonPending},
		{"failing", with(stateOf(running, 3*time.Second), evidence(evidenceOf(20, 8))), RollBack, ReasonFailures},
		{"few responses, late", with(stateOf(running, 10*time.Second), evidence(evidenceOf(5, 0))), RollBack, ReasonInconclusive},
		{"all targets lost", with(stateOf(running, 10*time.Second), func(s *State) { s.Canary = 0 }), RollBack, ReasonNoTargets},
		{"exposure limit reached", with(stateOf(running, 3*time.Second), evidence(evidenceOf(900, 0))), RollBack, ReasonInconclusive},
		{"traffic shifted", with(stateOf(last, 8*time.Second), evidence(evidenceOf(300, 0))), Complete, ReasonTrafficShifted},
		{"a gateway is behind", with(stateOf(last, 8*time.Second), evidence(evidenceOf(300, 0)),
			func(s *State) { s.Behind = []Lag{{Gateway: "a"}} }), Wait, ReasonPending},
		{"baseline sends in flight", with(stateOf(last, 8*time.Second), evidence(evidenceOf(300, 0)),
			func(s *State) { s.BaselineActive = 1 }), Wait, ReasonPending},
		{"baseline sends in flight for longer than the drain wait", with(stateOf(last, 10500*time.Millisecond), evidence(evidenceOf(300, 0)),
			func(s *State) { s.BaselineActive = 1 }), Complete, ReasonTrafficShifted},
		{"baseline sends in flight at the time limit", with(stateOf(last, 10500*time.Millisecond), evidence(evidenceOf(300, 0)),
			func(s *State) { s.BaselineActive, s.StageAge, s.Limits.DrainWait = 1, time.Second, time.Minute }), Complete, ReasonLimitReached},
		{"failures in the last stage", with(stateOf(last, 10500*time.Millisecond), evidence(evidenceOf(300, 40))), RollBack, ReasonFailures},
		{"completed", stateOf(order(catalog.RolloutCompleted, 1000), 20*time.Second), Wait, ReasonPending},
		{"rolled back", with(stateOf(order(catalog.RolloutRolledBack, 50), time.Second), evidence(evidenceOf(200, 0))), Wait, ReasonPending},
	} {
		d := Decide(c.state)
		if d.Action != c.verb || d.Reason != c.reason {
			t.Errorf("%s: %v for %v, want %v for %v", c.name, d.Action, d.Reason, c.verb, c.reason)
		}
		if d.Action == Advance && d.Permille <= c.state.Order.Permille {
			t.Errorf("%s: from %d‰ to %d‰", c.name, c.state.Order.Permille, d.Permille)
		}
	}
}

func TestShareNeverDecreases(t *testing.T) {
	for seed := range 20 {
		share := 0
		p := simulation{seed: uint64(seed), within: 12 * time.Second, rate: 170, targets: 30, disturbance: disturbance{affected: .15, fails: .4}}
		p.decide = func(s State) Decision {
			d := Decide(s)
			if d.Action == Advance && d.Permille <= share {
				t.Errorf("seed %d: from %d‰ to %d‰", seed, share, d.Permille)
			}
			share = max(share, d.Permille)
			return d
		}
		p.run()
	}
}

func TestLongRolloutNeedsFewWrites(t *testing.T) {
	for _, f := range []defect{{}, {fails: .3, start: 4 * time.Minute}} {
		writes := 0
		p := simulation{within: 10 * time.Minute, rate: 20, targets: 30, defect: f}
		p.decide = func(s State) Decision {
			d := Decide(s)
			if d.Action != Wait {
				writes++
			}
			return d
		}
		r := p.run()
		want := Complete
		if f.fails > 0 {
			want = RollBack
		}
		if r.end.Action != want || writes > 6 || r.exposed > r.allowed {
			t.Errorf("%+v: %v for %v at %v, %d writes, %.0f of %.0f requests", f, r.end.Action, r.end.Reason, r.endedAt, writes, r.exposed, r.allowed)
		}
	}
}
