// Package snapshot is what a gateway believes of its surroundings at one moment,
// as its data path looks at it: the routes in force and the targets that take
// requests. A Snapshot never changes once made, so that it is read without a lock.
//
// It stands below both who makes it (internal/gateway/discovery) and who uses it
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

// Snapshot is what is believed at one moment.
type Snapshot struct {
	table     *routing.Table
	targets   map[string][]catalog.Target
	evacuated map[string]int
	rollouts  map[string]rollout.Assignment
	leaving   map[catalog.Life]bool
}

// New makes a snapshot of the routes in force and of the targets that take
// requests, by service. table is nil while no configuration is known. Neither may
// be changed afterwards.
func New(table *routing.Table, targets map[string][]catalog.Target) *Snapshot {
	return &Snapshot{table: table, targets: targets}
}

// WithEvacuated returns a copy that says how many targets of each service take no
// requests since their halls are evacuated.
func (s *Snapshot) WithEvacuated(evacuated map[string]int) *Snapshot {
	c := *s
	c.evacuated = evacuated
	return &c
}

// WithRollouts returns a copy that says which targets the rollouts under way assign, by
// service. Targets that are only on trial are in these alone.
func (s *Snapshot) WithRollouts(rollouts map[string]rollout.Assignment) *Snapshot {
	c := *s
	c.rollouts = rollouts
	return &c
}

// WithLeaving returns a copy that says which targets leave and take no new requests.
func (s *Snapshot) WithLeaving(leaving map[catalog.Life]bool) *Snapshot {
	c := *s
	c.leaving = leaving
	return &c
}

// IsLeaving says whether a target is known to leave.
func (s *Snapshot) IsLeaving(life catalog.Life) bool { return s.leaving[life] }

// Leaving is how many targets are known to leave.
func (s *Snapshot) Leaving() int { return len(s.leaving) }

// Table holds the routes in force; it is nil while no configuration is known.
func (s *Snapshot) Table() *routing.Table { return s.table }

// Targets are the targets of a service that take new requests.
func (s *Snapshot) Targets(service string) []catalog.Target { return s.targets[service] }

// Evacuated is how many targets of a service take no requests since their halls are
// evacuated.
func (s *Snapshot) Evacuated(service string) int { return s.evacuated[service] }

// Rollout is what the rollout of a service assigns; false where none is under way.
func (s *Snapshot) Rollout(service string) (rollout.Assignment, bool) {
	a, ok := s.rollouts[service]
	return a, ok
}

// Connectable lists all targets that may get a request, those on trial among them.
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

// ByService are the targets of each service that take new requests.
func (s *Snapshot) ByService() map[string][]catalog.Target { return s.targets }
