package rollout

import (
	"testing"

	"github.com/sprucecrank/sprucecrank/core/gateway/catalog"
)

// admitted counts the targets of each version that are admitted.
func admitted(v *Versions, targets []catalog.Target, r catalog.Rollout, ordered bool, at catalog.Position) map[string]int {
	out := map[string]int{}
	for _, t := range v.Admit("api", targets, r, ordered, at) {
		out[t.Version]++
	}
	return out
}

func at(rollouts, changed uint64) catalog.Position {
	return catalog.Position{Rollouts: rollouts, Changed: changed}
}

// serving returns a Versions that has seen version 1 in service.
func serving(t *testing.T) *Versions {
	v := NewVersions()
	if got := admitted(v, targets("1", 3), catalog.Rollout{}, false, at(10, 9)); got["1"] != 3 {
		t.Fatalf("admitted %v", got)
	}
	return v
}

func TestNewVersionIsNotAdmittedUntilOrdersAreKnown(t *testing.T) {
	v := serving(t)
	both := append(targets("1", 3), targets("2", 3)...)
	if got := admitted(v, both, catalog.Rollout{}, false, at(10, 12)); got["1"] != 3 || got["2"] != 0 {
		t.Errorf("entries before their order: admitted %v", got)
	}
	// The order is known, and was there before the entries were written.
	if got := admitted(v, both, order(catalog.RolloutOrdered, 0), true, at(11, 12)); got["2"] != 3 || !v.OnTrial("api", "2") {
		t.Errorf("ordered: admitted %v, on trial: %v", got, v.OnTrial("api", "2"))
	}
	if got := admitted(v, both, catalog.Rollout{}, false, at(30, 30)); got["2"] != 0 {
		t.Errorf("order deleted: admitted %v", got)
	}
}

func TestNewVersionWithoutAnOrderIsAdmitted(t *testing.T) {
	v := serving(t)
	both := append(targets("1", 3), targets("2", 3)...)
	admitted(v, both, catalog.Rollout{}, false, at(10, 12))
	// Later entries don't prolong the wait of those that were seen before.
	if got := admitted(v, both, catalog.Rollout{}, false, at(12, 20)); got["2"] != 3 {
		t.Errorf("no order up to the entries' revision: admitted %v", got)
	}
	if v.OnTrial("api", "2") {
		t.Error("on trial without an order")
	}
}

func TestVersionsAfterARestartDuringARollout(t *testing.T) {
	both := append(targets("1", 3), targets("2", 3)...)
	v := NewVersions()
	if got := admitted(v, both, order(catalog.RolloutRunning, 50), true, at(0, 12)); got["1"] != 3 || !v.OnTrial("api", "2") {
		t.Errorf("order known: admitted %v, on trial: %v", got, v.OnTrial("api", "2"))
	}
	v = NewVersions()
	if got := admitted(v, both, catalog.Rollout{}, false, at(0, 12)); got["1"] != 3 || got["2"] != 0 {
		t.Errorf("orders not known: admitted %v", got)
	}
	if got := admitted(v, both, order(catalog.RolloutRunning, 50), true, at(12, 12)); got["1"] != 3 || !v.OnTrial("api", "2") {
		t.Errorf("order arrives: admitted %v, on trial: %v", got, v.OnTrial("api", "2"))
	}
}

func TestVersionInServiceStaysAdmittedWhenOrderedAgain(t *testing.T) {
	v := serving(t)
	again := catalog.Rollout{Service: "api", Version: "1"}
	if got := admitted(v, targets("1", 3), again, true, at(12, 9)); got["1"] != 3 || v.OnTrial("api", "1") {
		t.Errorf("admitted %v, on trial: %v", got, v.OnTrial("api", "1"))
	}
}

func TestVersionsAdmittedAfterARolloutHasEnded(t *testing.T) {
	both := append(targets("1", 3), targets("2", 3)...)
	v := serving(t)
	admitted(v, both, order(catalog.RolloutRunning, 50), true, at(12, 12))
	if got := admitted(v, both, order(catalog.RolloutCompleted, 1000), true, at(14, 12)); got["1"] != 0 || got["2"] != 3 {
		t.Errorf("completed: admitted %v", got)
	}
	back := catalog.Rollout{Service: "api", Version: "1"}
	if got := admitted(v, both, back, true, at(16, 12)); got["2"] != 3 || !v.OnTrial("api", "1") || v.OnTrial("api", "2") {
		t.Errorf("ordered back: admitted %v, on trial: %v", got, v.OnTrial("api", "1"))
	}
	third := catalog.Rollout{Service: "api", Version: "3"}
	v = serving(t)
	admitted(v, both, order(catalog.RolloutRolledBack, 50), true, at(12, 12))
	if got := admitted(v, both, third, true, at(16, 12)); got["1"] != 3 || got["2"] != 0 {
		t.Errorf("another order after a roll-back: admitted %v", got)
	}
}

func TestVersionStaysOnTrialWhileBaselineTargetsAreDown(t *testing.T) {
	v := serving(t)
	both := append(targets("1", 3), targets("2", 3)...)
	admitted(v, both, order(catalog.RolloutRunning, 50), true, at(12, 12))
	admitted(v, targets("2", 3), order(catalog.RolloutRunning, 50), true, at(14, 13))
	if !v.OnTrial("api", "2") {
		t.Error("the version on trial is treated as the one in service")
	}
}

func TestNewTargetsOfTheReplacedVersionAreAdmittedAfterCompletion(t *testing.T) {
	both := append(targets("1", 3), targets("2", 3)...)
	v := serving(t)
	admitted(v, both, order(catalog.RolloutRunning, 50), true, at(12, 12))
	admitted(v, both, order(catalog.RolloutCompleted, 1000), true, at(14, 12))
	later := targets("1", 5)[3:] // other ids than the replaced targets
	if got := admitted(v, append(both, later...), order(catalog.RolloutCompleted, 1000), true, at(16, 16)); got["1"] != 2 || got["2"] != 3 {
		t.Errorf("admitted %v", got)
	}
}
