package rollout

import (
	"maps"
	"slices"

	"github.com/sprucecrank/sprucecrank/core/gateway/catalog"
)

// Versions records which versions of each service were seen in service, and which on trial,
// for the lifetime of the process: an operator may delete an order, and the entries of
// targets may arrive before the order. It is not safe for concurrent use.
type Versions struct {
	services map[string]*serviceVersions
}

// serviceVersions holds the versions of one service. One that is neither in serving nor in
// trial is new.
type serviceVersions struct {
	serving map[string]bool
	trial   map[string]bool
	// retired are the targets that a completed rollout replaced. Later targets of their
	// version may be added in other ways and are treated like any others.
	retired map[catalog.Life]bool
	// firstSeen holds, for each target of a new version, the revision of the latest known
	// change of any target (catalog.Position.Changed) at the moment when this one was first
	// seen. It takes no requests until orders are known up to that revision.
	firstSeen map[catalog.Life]uint64
}

// NewVersions returns a Versions that has seen no version.
func NewVersions() *Versions { return &Versions{services: map[string]*serviceVersions{}} }

// Admit records all known targets of a service, including those that are leaving or
// evacuated, with the service's order if there is one (ordered), and the revisions up to
// which the state is known. It returns the targets without those
//
//   - whose version was never seen in service while others were, until orders are known up
//     to the revision at which the target was known;
//   - whose version is on trial without an order, or was replaced, while there are others.
func (v *Versions) Admit(service string, targets []catalog.Target, r catalog.Rollout, ordered bool, position catalog.Position) []catalog.Target {
	s := v.service(service)
	if ordered {
		s.applyOrder(r, targets)
	}
	present := s.present(targets)
	s.observe(targets, position)
	presumed := s.presumedServing(present)
	admitted := make([]catalog.Target, 0, len(targets))
	for _, t := range targets {
		if s.admits(t, r, ordered, presumed) {
			admitted = append(admitted, t)
		}
	}
	if len(admitted) == 0 && (!ordered || r.State == catalog.RolloutCompleted) {
		return targets // the service has no others
	}
	return admitted
}

// OnTrial reports whether a version of a service was seen on trial: ordered while another
// one was in service, and not completed.
func (v *Versions) OnTrial(service, version string) bool { return v.service(service).trial[version] }

func (v *Versions) service(service string) *serviceVersions {
	s, known := v.services[service]
	if !known {
		s = &serviceVersions{
			serving: map[string]bool{}, trial: map[string]bool{}, retired: map[catalog.Life]bool{}, firstSeen: map[catalog.Life]uint64{},
		}
		v.services[service] = s
	}
	return s
}

// present counts the targets of each version that are not leaving.
func (s *serviceVersions) present(targets []catalog.Target) map[string]int {
	out := map[string]int{}
	for _, t := range targets {
		if !t.Leaving && !s.retired[t.Life()] {
			out[t.Version]++
		}
	}
	return out
}

// applyOrder updates the state of an order's version.
func (s *serviceVersions) applyOrder(r catalog.Rollout, targets []catalog.Target) {
	for _, t := range targets {
		if t.Version == r.Version {
			delete(s.retired, t.Life())
		}
	}
	switch {
	case r.State == catalog.RolloutCompleted:
		s.complete(r.Version, targets)
	case s.hasOtherServing(r.Version, s.present(targets)):
		s.trial[r.Version] = true
		delete(s.serving, r.Version)
	}
}

// complete records that a version was completed. A process that did not see the version on
// trial does not know which targets it replaced.
func (s *serviceVersions) complete(version string, targets []catalog.Target) {
	if s.trial[version] {
		clear(s.retired)
		for _, t := range targets {
			if t.Version != version {
				s.retired[t.Life()] = true
			}
		}
		clear(s.serving)
	}
	delete(s.trial, version)
	s.serving[version] = true
}

// hasOtherServing reports whether another version than the ordered one is in service.
func (s *serviceVersions) hasOtherServing(version string, present map[string]int) bool {
	for other := range present {
		if other != version && !s.trial[other] {
			return true
		}
	}
	// The targets of the version in service may all be down for a moment.
	return !s.serving[version] && len(s.serving) > 0
}

// observe fills firstSeen for the targets of new versions, and records which versions are
// in service: those for which no order can be missing.
func (s *serviceVersions) observe(targets []catalog.Target, position catalog.Position) {
	firstSeen := map[catalog.Life]uint64{}
	for _, t := range targets {
		if !s.isNew(t.Version) || s.retired[t.Life()] {
			continue
		}
		since, seenBefore := s.firstSeen[t.Life()]
		if !seenBefore {
			since = position.Changed
		}
		firstSeen[t.Life()] = since
		if position.Rollouts > 0 && position.Rollouts >= since && !t.Leaving {
			s.serving[t.Version] = true
		}
	}
	s.firstSeen = firstSeen
}

func (s *serviceVersions) isNew(version string) bool {
	return !s.serving[version] && !s.trial[version]
}

// presumedServing returns the new version that serves while none was seen in service: the
// one with the most targets, since those of an ordered version start in addition to them;
// of two with as many, the first by name.
func (s *serviceVersions) presumedServing(present map[string]int) string {
	var best string
	for _, version := range slices.Sorted(maps.Keys(present)) {
		if s.isNew(version) && present[version] > present[best] {
			best = version
		}
	}
	return best
}

// admits reports whether a target may take requests.
func (s *serviceVersions) admits(t catalog.Target, r catalog.Rollout, ordered bool, presumed string) bool {
	switch {
	case s.trial[t.Version]:
		return ordered && r.Version == t.Version
	case s.retired[t.Life()]:
		return false
	case s.serving[t.Version]:
		return true
	default:
		return len(s.serving) == 0 && t.Version == presumed
	}
}
