package discovery

import (
	"slices"

	"github.com/sprucecrank/sprucecrank/core/gateway/catalog"
	"github.com/sprucecrank/sprucecrank/core/gateway/rollout"
)

// assign removes from targets, the targets that take requests by service, those that are on
// trial or of a version that must not be used yet, and returns what each rollout assigns.
// known holds all targets by service, including those that leave or are evacuated; the lock
// is held.
func (f *Follower) assign(known, targets map[string][]catalog.Target) map[string]rollout.Assignment {
	f.withheld = false
	if !f.options.Source.followsRollouts() {
		return nil
	}
	assigned := map[string]rollout.Assignment{}
	for service, all := range known {
		order, ordered := f.catalog.Rollout(service)
		admitted := f.versions.Admit(service, all, order, ordered, f.catalog.Position())
		f.withheld = f.withheld || len(admitted) < len(all)
		eligible := targets[service]
		if len(admitted) < len(all) {
			eligible = intersect(eligible, admitted)
		}
		targets[service] = eligible
		if !ordered {
			continue
		}
		a := rollout.Assign(order, eligible, f.versions.OnTrial(service, order.Version))
		targets[service] = a.Baseline()
		if a.TakesAll() {
			targets[service] = a.Canary()
		}
		assigned[service] = a
	}
	return assigned
}

// intersect returns those of targets whose ids are among others.
func intersect(targets, others []catalog.Target) []catalog.Target {
	in := make(map[string]bool, len(others))
	for _, t := range others {
		in[t.ID] = true
	}
	return slices.DeleteFunc(slices.Clone(targets), func(t catalog.Target) bool { return !in[t.ID] })
}

// publishWaiting publishes again if targets are withheld until the rollouts are known,
// since they may be known by now; the lock is held.
func (f *Follower) publishWaiting(from string) {
	if f.withheld {
		f.publish(from)
	}
}

// Rollouts returns the known rollouts.
func (f *Follower) Rollouts() []catalog.Rollout {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.catalog.Rollouts()
}

// logRollouts logs the state of the rollouts; the lock is held.
func (f *Follower) logRollouts(from string) {
	for _, r := range f.catalog.Rollouts() {
		f.options.Log.Info("rollout", "service", r.Service, "version", r.Version, "state", r.State.String(),
			"permille", r.Permille, "elapsed_s", r.Elapsed.Seconds(), "decider", r.Decider, "revision", r.Revision, "from", from)
	}
}
