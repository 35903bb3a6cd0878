// Package snapshot holds a gateway's view at one moment, as its data path reads it: the
// routes in effect and the targets that take requests. A Snapshot is immutable, so that it
// is read without a lock.
//
// It is imported both by its producer (internal/gateway/discovery) and by its consumer
// (internal/gateway/forward).
//
// # Usage
//
//	s := snapshot.New(table, targets)
//	route, ok := s.Table().Match(host, path)
//	targets := s.Targets(service)
package snapshot

import (
	"github.com/sprucecrank/sprucecrank/core/gateway/catalog"
	"github.com/sprucecrank/sprucecrank/core/gateway/rollout"
	"github.com/sprucecrank/sprucecrank/core/gateway/routing"
)

// Snapshot is the view at one moment.
type Snapshot struct {
	table     *routing.Table
	targets   map[string][]catalog.Target
	evacuated map[string]int
	rollouts  map[string]rollout.Assignment
	leaving   map[catalog.Life]bool
}

// New returns a snapshot of the routes in effect and of the targets that take requests, by
// service. table is nil while no configuration is known. Neither may be changed afterwards.
func New(table *routing.Table, targets map[string][]catalog.Target) *Snapshot {
	return &Snapshot{table: table, targets: targets}
}

// WithEvacuated returns a copy with the number of targets of each service that take no
// requests since their halls are evacuated.
func (s *Snapshot) WithEvacuated(evacuated map[string]int) *Snapshot {
	c := *s
	c.evacuated = evacuated
	return &c
}

// WithRollouts returns a copy with the assignments of the active rollouts, by service.
// Targets that are on trial are only in these.
func (s *Snapshot) WithRollouts(rollouts map[string]rollout.Assignment) *Snapshot {
	c := *s
	c.rollouts = rollouts
	return &c
}

// WithLeaving returns a copy with the targets that are leaving and take no new requests.
func (s *Snapshot) WithLeaving(leaving map[catalog.Life]bool) *Snapshot {
	c := *s
	c.leaving = leaving
	return &c
}

// IsLeaving reports whether a target is known to be leaving.
func (s *Snapshot) IsLeaving(life catalog.Life) bool { return s.leaving[life] }

// Leaving returns the number of targets that are known to be leaving.
func (s *Snapshot) Leaving() int { return len(s.leaving) }

// Table returns the routes in effect; it is nil while no configuration is known.
func (s *Snapshot) Table() *routing.Table { return s.table }

// Targets returns the targets of a service that take new requests.
func (s *Snapshot) Targets(service string) []catalog.Target { return s.targets[service] }

// EvacuatedCount returns the number of targets of a service that take no requests because
// their halls are evacuated.
func (s *Snapshot) EvacuatedCount(service string) int { return s.evacuated[service] }

// Rollout returns the assignment of a service's rollout; false if none is active.
func (s *Snapshot) Rollout(service string) (rollout.Assignment, bool) {
	a, ok := s.rollouts[service]
	return a, ok
}

// Connectable lists all targets that may get a request, including those on trial.
func (s *Snapshot) Connectable() []catalog.Target {
	var all []catalog.Target
	for _, targets := range s.targets {
		all = append(all, targets...)
	}
	for _, a := range s.rollouts {
		all = append(all, a.Canary()...)
	}
	return all
}

// ByService returns the targets of each service that take new requests.
func (s *Snapshot) ByService() map[string][]catalog.Target { return s.targets }
