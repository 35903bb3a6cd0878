package discovery

import "github.com/sprucecrank/sprucecrank/core/gateway/catalog"

// VersionTargets counts the targets of a rollout's service that may take requests. Targets
// of the rollout's version are counted apart from those of other versions.
type VersionTargets struct {
	// OnTrial says that the rollout's version is not the one in service.
	OnTrial bool
	// Baseline is the number of targets of other versions.
	Baseline int
	// Canary is the number of targets of the rollout's version.
	Canary int
	// Warm is the number of targets of the rollout's version that are not cold.
	Warm int
}

// VersionTargets counts the known targets of a rollout's service.
func (f *Follower) VersionTargets(r catalog.Rollout) VersionTargets {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := VersionTargets{OnTrial: f.versions.OnTrial(r.Service, r.Version)}
	for _, t := range f.catalog.Targets() {
		switch {
		case t.Service != r.Service || t.Leaving || f.catalog.IsEvacuated(t.Hall):
		case t.Version != r.Version:
			s.Baseline++
		default:
			s.Canary++
			if !t.Cold {
				s.Warm++
			}
		}
	}
	return s
}

// Changed returns a channel that is closed at the next change of the known state.
func (f *Follower) Changed() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.changed
}

// Peers returns the ids of the gateways that are known to be present, including this one:
// all of a small fleet, some of a large one.
func (f *Follower) Peers() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append(f.view.UsableIDs(f.options.Clock()), f.options.Self.ID)
}
