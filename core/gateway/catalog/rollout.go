package catalog

import "time"

// RolloutState is how far a rollout has come, as the store has it.
type RolloutState uint8

// States of a rollout. A gateway of an earlier version sends none, which is
// RolloutOrdered.
const (
	// RolloutOrdered is that of an order of which nothing was recorded yet: its version
	// takes no requests.
	RolloutOrdered RolloutState = iota
	// RolloutRunning is that of one whose version takes a share of the requests.
	RolloutRunning
	// RolloutCompleted and RolloutRolledBack are final: the version takes all requests,
	// or none any more.
	RolloutCompleted
	RolloutRolledBack
)

// String names a state as log lines and metrics do.
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

// Final says whether a rollout has ended.
func (s RolloutState) Final() bool { return s == RolloutCompleted || s == RolloutRolledBack }

// Rollout is an operator's order to move the requests of a service to the targets of
// another version, and how far that has come.
type Rollout struct {
	Service string
	// Version is the one that is ordered.
	Version string
	// Within is the time in which the order is to be carried out.
	Within time.Duration
	// Revision is that of the object's last change: what a write is conditional on.
	Revision uint64
	State    RolloutState
	// Permille is the share of the service's requests that the version takes, in
	// thousandths, while the rollout runs.
	Permille int
	// Elapsed is how long after the order State and Permille were recorded, and At
	// that moment by the clock of who did, in milliseconds since 1970. Clocks of
	// gateways may differ by seconds.
	Elapsed time.Duration
	At      int64
	// Decider is the id of the gateway that recorded them, and Peer the address where it
	// takes the other gateways' reports.
	Decider string
	Peer    string
}

// RolloutChange is one rollout at one revision of the store.
type RolloutChange struct {
	Revision uint64
	Rollout  Rollout
	Gone     bool
}

// Rollouts lists the rollouts by service.
func (c *Catalog) Rollouts() []Rollout { return c.rollouts.list() }

// Rollout is that of a service.
func (c *Catalog) Rollout(service string) (Rollout, bool) {
	r, ok := c.rollouts.entries[service]
	return r, ok
}

// ReplaceRollouts takes in all rollouts as the store held them at a revision, if that is not
// older than what is held. Of one that has come back from an older copy it takes in nothing
// that is not known, and how far a rollout had come stays as it was.
func (c *Catalog) ReplaceRollouts(revision uint64, rollouts []Rollout) bool {
	entries := byService(rollouts)
	if c.rollouts.rewound(revision) {
		entries = c.rollouts.reconcile(entries)
		for service, r := range entries {
			entries[service] = r.notBefore(c.rollouts.entries[service])
		}
	}
	return c.rollouts.replace(revision, entries)
}

// notBefore is the rollout as it stood at another time, if that is the same order and had
// come further; what a write is conditional on stays its own.
func (r Rollout) notBefore(other Rollout) Rollout {
	if r.Version != other.Version || r.Within != other.Within || other.Elapsed < r.Elapsed {
		return r
	}
	other.Revision = r.Revision
	return other
}

// AdvanceRollouts takes in the changes of rollouts up to a revision.
func (c *Catalog) AdvanceRollouts(revision uint64, changes []RolloutChange) bool {
	made := make([]entryChange[Rollout], 0, len(changes))
	for _, change := range changes {
		made = append(made, entryChange[Rollout]{
			revision: change.Revision, id: change.Rollout.Service, entry: change.Rollout, gone: change.Gone,
		})
	}
	return c.rollouts.advance(revision, made, func(r Rollout) (Rollout, bool) { return r, true })
}

// addRollouts adds what a gateway lacks that knows the rollouts up to a revision.
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
