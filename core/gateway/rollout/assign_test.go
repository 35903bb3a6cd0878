package rollout

import (
	"fmt"
	"testing"

	"github.com/sprucecrank/sprucecrank/core/gateway/catalog"
)

func targets(version string, n int) []catalog.Target {
	out := make([]catalog.Target, n)
	for i := range out {
		out[i] = catalog.Target{ID: fmt.Sprintf("%s-%d", version, i), Service: "api", Version: version}
	}
	return out
}

func order(state catalog.RolloutState, permille int) catalog.Rollout {
	return catalog.Rollout{Service: "api", Version: "2", State: state, Permille: permille}
}

func TestAssign(t *testing.T) {
	both := append(targets("1", 30), targets("2", 30)...)
	for _, c := range []struct {
		name             string
		order            catalog.Rollout
		targets          []catalog.Target
		onTrial          bool
		baseline, canary int
		permille         int
	}{
		{"ordered", order(catalog.RolloutOrdered, 0), both, true, 30, 0, 0},
		{"first stage", order(catalog.RolloutRunning, 50), both, true, 30, 2, 50},
		{"half", order(catalog.RolloutRunning, 500), both, true, 30, 15, 500},
		{"all", order(catalog.RolloutRunning, 1000), both, true, 0, 30, 1000},
		{"all, but no targets", order(catalog.RolloutRunning, 1000), targets("1", 30), true, 30, 0, 0},
		{"old targets down", order(catalog.RolloutRunning, 50), targets("2", 30), true, 0, 2, 50},
		{"rolled back", order(catalog.RolloutRolledBack, 50), both, true, 30, 0, 0},
		{"rolled back, old targets down", order(catalog.RolloutRolledBack, 50), targets("2", 30), true, 0, 0, 0},
		{"in service already", order(catalog.RolloutOrdered, 0), targets("2", 30), false, 30, 0, 0},
		{"completed", order(catalog.RolloutCompleted, 1000), targets("2", 30), false, 30, 0, 0},
	} {
		a := Assign(c.order, c.targets, c.onTrial)
		if len(a.Baseline()) != c.baseline || len(a.Canary()) != c.canary || a.Permille() != c.permille {
			t.Errorf("%s: %d baseline, %d canary, %d‰; want %d, %d, %d", c.name,
				len(a.Baseline()), len(a.Canary()), a.Permille(), c.baseline, c.canary, c.permille)
		}
	}
}

func TestCanaryTargetsOfEarlierStagesAreKept(t *testing.T) {
	both := append(targets("1", 30), targets("2", 30)...)
	earlier := map[string]bool{}
	for _, permille := range []int{50, 200, 1000} {
		current := map[string]bool{}
		for _, target := range Assign(order(catalog.RolloutRunning, permille), both, true).Canary() {
			current[target.ID] = true
		}
		for id := range earlier {
			if !current[id] {
				t.Errorf("%s of an earlier stage is not in the canary at %d‰", id, permille)
			}
		}
		earlier = current
	}
}

func TestTakesCanaryComparesTheDrawWithTheShare(t *testing.T) {
	both := append(targets("1", 3), targets("2", 3)...)
	a := Assign(order(catalog.RolloutRunning, 250), both, true)
	if !a.TakesCanary(0) || !a.TakesCanary(.2499) || a.TakesCanary(.25) || a.TakesCanary(.999) {
		t.Error("want only draws below the share to select the canary")
	}
}
