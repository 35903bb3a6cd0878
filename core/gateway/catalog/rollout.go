package catalog

import (
	"errors"
	"time"
)

// RolloutState is the state of a rollout as recorded in the store.
type RolloutState uint8

// States of a rollout. A gateway of an earlier version sends none, which is read as
// RolloutOrdered.
const (
	// RolloutOrdered means that the rollout was ordered and no progress is recorded yet:
	// its version gets no requests.
	RolloutOrdered RolloutState = iota
	// RolloutRunning means that its version gets a share of the requests.
	RolloutRunning
	// RolloutCompleted and RolloutRolledBack are final: the version gets all requests, or
	// none any more.
	RolloutCompleted
	RolloutRolledBack
)

// String returns the name of a state in log lines and metrics.
func (s RolloutState) String() string {
	switch s {
	case RolloutRunning:
		return "running"
	case RolloutCompleted:
		return "completed"
	case RolloutRolledBack:
		return "rolled back"
	default:
		return "ordered"
	}
}

// Final reports whether a rollout has ended.
func (s RolloutState) Final() bool { return s == RolloutCompleted || s == RolloutRolledBack }

// Rollout is an operator's order to move the requests of a service to the targets of
// another version, with its recorded progress.
type Rollout struct {
	Service string
	// Version is the version to move to.
	Version string
	// Within is the time in which the rollout is to complete.
	Within time.Duration
	// Revision is that of the object's last change; writes are conditional on it.
	Revision uint64
	State    RolloutState
	// Permille is the share of the service's requests that the version gets, in
	// thousandths, while the rollout runs.
	Permille int
	// Elapsed is an upper bound of how long after the order State and Permille were
	// recorded, and At that moment by the clock of the gateway that recorded them, in
	// milliseconds since 1970. Clocks of gateways may differ by seconds.
	Elapsed time.Duration
	At      int64
	// Decider is the id of the gateway that recorded them, and Peer the address where it
	// receives the other gateways' reports.
	Decider string
	Peer    string
}

// MaxRolloutTime bounds the times of a rollout. Orders give minutes or hours. An Elapsed of
// MaxRolloutTime may stand for any longer time.
const MaxRolloutTime = 365 * 24 * time.Hour

// FullShare is the share of all requests, in thousandths.
const FullShare = 1000

// errRolloutRange means that a number of a rollout makes no sense, errRolloutName that its
// service or version is missing.
var (
	errRolloutRange = errors.New("a time or share of the rollout is out of range")
	errRolloutName  = errors.New("a rollout needs a service and a version")
)

// Check returns an error if a rollout lacks its service or version, or a number is out of its
// range.
func (r Rollout) Check() error {
	if r.Service == "" || r.Version == "" {
		return errRolloutName
	}
	valid := r.Within >= 0 && r.Within <= MaxRolloutTime && r.Elapsed >= 0 && r.Elapsed <= MaxRolloutTime &&
		r.Permille >= 0 && r.Permille <= FullShare
	if !valid {
		return errRolloutRange
	}
	return nil
}

// RolloutChange is the addition, update or removal of one rollout at one revision of the
// store.
type RolloutChange struct {
	Revision uint64
	Rollout  Rollout
	Gone     bool
}

// Rollouts lists the rollouts, ordered by service.
func (c *Catalog) Rollouts() []Rollout { return c.rollouts.list() }

// Rollout returns the rollout of a service.
func (c *Catalog) Rollout(service string) (Rollout, bool) {
	r, ok := c.rollouts.entries[service]
	return r, ok
}

// ReplaceRollouts applies the complete list of rollouts as the store held it at a revision,
// unless that is older than the known one. From a store that was restored from an older copy
// it adds no rollout that is unknown here, and keeps the known progress of the others.
func (c *Catalog) ReplaceRollouts(revision uint64, rollouts []Rollout) bool {
	entries := byService(rollouts)
	if c.rollouts.isRewound(revision) {
		entries = c.rollouts.mergeOlderCopy(entries)
		for service, r := range entries {
			entries[service] = r.withProgressOf(c.rollouts.entries[service])
		}
	}
	return c.rollouts.replace(revision, entries)
}

// withProgressOf returns the rollout with the progress of another record of it, if that is
// of the same order and no earlier. Revision stays its own, since writes are conditional on it.
func (r Rollout) withProgressOf(other Rollout) Rollout {
	if r.Version != other.Version || r.Within != other.Within || other.Elapsed < r.Elapsed {
		return r
	}
	other.Revision = r.Revision
	return other
}

// AdvanceRollouts applies the changes of rollouts up to a revision.
func (c *Catalog) AdvanceRollouts(revision uint64, changes []RolloutChange) bool {
	converted := make([]entryChange[Rollout], 0, len(changes))
	for _, change := range changes {
		converted = append(converted, entryChange[Rollout]{
			revision: change.Revision, id: change.Rollout.Service, entry: change.Rollout, gone: change.Gone,
		})
	}
	return c.rollouts.advance(revision, converted, func(r Rollout) (Rollout, bool) { return r, true })
}

// addRollouts adds all rollouts if one of them changed since a revision.
func (c *Catalog) addRollouts(d *Delta, from uint64) {
	if from >= c.rollouts.known {
		d.To.Rollouts = from
		return
	}
	if from < c.rollouts.changed {
		d.HasRollouts, d.Rollouts = true, c.Rollouts()
	}
}

func byService(rollouts []Rollout) map[string]Rollout {
	out := make(map[string]Rollout, len(rollouts))
	for _, r := range rollouts {
		out[r.Service] = r
	}
	return out
}
