package discovery

import "github.com/sprucecrank/sprucecrank/core/gateway/catalog"

// Standing is how the targets of a service stand to a version that is ordered.
type Standing struct {
	// OnTrial says that the version is not the one in service.
	OnTrial bool
	// Baseline and Canary are how many targets of the versions may take requests, and
	// Warm how many of the latter are not cold.
	Baseline int
	Canary   int
	Warm     int
}

// Standing is how the targets that are believed stand to a rollout.
func (f *Follower) Standing(r catalog.Rollout) Standing {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := Standing{OnTrial: f.versions.OnTrial(r.Service, r.Version)}
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

// Changed gives what is closed at the next change of what is believed.
func (f *Follower) Changed() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.changed
}

// Peers lists the ids of the gateways that are known to be there, this one among them: all
// of a small fleet, some of a large one.
func (f *Follower) Peers() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append(f.view.UsableIDs(f.options.Clock()), f.options.Self.ID)
}
