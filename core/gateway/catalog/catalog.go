// Package catalog holds what a gateway believes of the configuration and of the
// targets: the greatest version seen of each, however it was learnt. Nothing ever
// goes back: an older configuration is not taken in, a target that has begun to
// leave stays leaving by its id.
//
// It owns that knowledge for the life of the process. It relies on nothing else,
// does no I/O and takes no lock; internal/gateway/discovery guards it. The
// configuration is an opaque body with a version. The targets are a table at a
// revision of the store, with the latest changes kept so that another gateway
// which is a little behind can be sent those alone.
//
// Gateways send each other Position, Delta, Change and Target by net/rpc: their
// fields are exported for its codec and keep their names.
//
// # Usage
//
//	c := catalog.New()
//	c.Replace(530, targets)               // a list, at the store's revision
//	c.Advance(533, changes)               // what a watch reported since
//	delta := c.Since(catalog.Position{Config: 7, Targets: 530})
package catalog

import (
	"maps"
	"slices"
)

// Target is one running target, known by the id of this start of it.
type Target struct {
	ID      string
	Service string
	// Address is IP number and port.
	Address string
	// Hall is where the target stands.
	Hall string
	// Slots is how many requests it works on at once; 0 if it does not say.
	Slots int
	// Leaving targets get no new requests.
	Leaving bool
}

// Change is one target at one revision of the store.
type Change struct {
	Revision uint64
	Target   Target
	Gone     bool
}

// Position is how far the knowledge of a gateway has come.
type Position struct {
	// Config is the configuration's version.
	Config uint64
	// ConfigRevision is the store's revision up to which it is the latest.
	ConfigRevision uint64
	// Targets is the store's revision up to which the targets are known, and Changed
	// that at which one of them last changed.
	Targets uint64
	Changed uint64
}

// Lacks says whether there is anything at another position that is missing at this one.
func (p Position) Lacks(other Position) bool {
	return other.Config > p.Config || other.Changed > p.Targets
}

// Delta brings a gateway from its position to To.
type Delta struct {
	To Position
	// Config is the body of the configuration, when the gateway's is older.
	Config []byte
	// Whole says that Changes are all targets and that others are gone.
	Whole   bool
	Changes []Change
}

// keptChanges bounds the changes that are kept for gateways that are behind; one
// that is further behind is sent all targets. Chosen: minutes of changes.
const keptChanges = 1024

// Catalog is what is believed. It is not safe for concurrent use.
type Catalog struct {
	position Position
	config   []byte
	targets  map[string]Target
	leaving  map[string]bool // ids of all targets that were seen leaving
	changes  []Change
	// keptFrom is the oldest revision of which all later changes are kept.
	keptFrom uint64
}

// New makes an empty catalog.
func New() *Catalog {
	return &Catalog{targets: map[string]Target{}, leaving: map[string]bool{}}
}

// Position is how far the catalog has come.
func (c *Catalog) Position() Position { return c.position }

// Config is the body of the configuration.
func (c *Catalog) Config() []byte { return c.config }

// Targets lists the targets by id.
func (c *Catalog) Targets() []Target {
	out := make([]Target, 0, len(c.targets))
	for _, id := range slices.Sorted(maps.Keys(c.targets)) {
		out = append(out, c.targets[id])
	}
	return out
}

// Guess takes in what the store held some time ago, in place of knowing nothing. The
// position stays that of a catalog without targets, so that all that others know is
// still missing.
func (c *Catalog) Guess(version uint64, body []byte, targets []Target) (configChanged, targetsChanged bool) {
	configChanged = c.SetConfig(version, body)
	if c.position.Targets > 0 {
		return configChanged, false
	}
	for _, t := range targets {
		c.put(t)
	}
	return configChanged, len(targets) > 0
}

// HasTargets says whether any targets are believed, be it by a guess.
func (c *Catalog) HasTargets() bool { return c.position.Targets > 0 || len(c.targets) > 0 }

// SetConfig takes in a configuration if it is newer than the one that is held.
func (c *Catalog) SetConfig(version uint64, body []byte) bool {
	if version <= c.position.Config {
		return false
	}
	c.position.Config = version
	c.config = body
	return true
}

// SeenConfig notes that the store held no newer configuration at a revision.
func (c *Catalog) SeenConfig(revision uint64) {
	c.position.ConfigRevision = max(c.position.ConfigRevision, revision)
}

// Replace takes in all targets as they stood at a revision, if that is not
// older than what is held. A target that has begun to leave never comes back.
func (c *Catalog) Replace(revision uint64, targets []Target) bool {
	if revision < c.position.Targets {
		return false
	}
	before := c.targets
	c.targets = make(map[string]Target, len(targets))
	for _, t := range targets {
		c.put(t)
	}
	changed := len(before) != len(c.targets)
	for id, t := range c.targets {
		if before[id] != t {
			changed = true
			c.changes = append(c.changes, Change{Revision: revision, Target: t})
		}
	}
	for id, t := range before {
		if _, ok := c.targets[id]; !ok {
			changed = true
			c.changes = append(c.changes, Change{Revision: revision, Target: t, Gone: true})
		}
	}
	if first := c.position.Targets == 0; first {
		c.keptFrom = revision
		changed = true // whatever was guessed: others lack all of it
	}
	c.position.Targets = revision
	if changed {
		c.position.Changed = revision
	}
	c.trim()
	return changed
}

// Advance takes in the changes up to a revision.
func (c *Catalog) Advance(revision uint64, changes []Change) bool {
	if revision <= c.position.Targets {
		return false
	}
	changed := false
	for _, change := range changes {
		if change.Revision <= c.position.Targets {
			continue
		}
		if change.Gone {
			delete(c.targets, change.Target.ID)
		} else {
			change.Target = c.put(change.Target)
		}
		c.changes = append(c.changes, change)
		c.position.Changed = max(c.position.Changed, change.Revision)
		changed = true
	}
	c.position.Targets = revision
	c.trim()
	return changed
}

// CatchUp notes that another gateway knows nothing that is missing here, so that what
// is believed is as far as its position.
func (c *Catalog) CatchUp(theirs Position) {
	if theirs.Config == c.position.Config {
		c.SeenConfig(theirs.ConfigRevision)
	}
	c.position.Targets = max(c.position.Targets, theirs.Targets)
	c.position.Changed = max(c.position.Changed, theirs.Changed)
}

// put takes in a target and returns it as it is believed.
func (c *Catalog) put(t Target) Target {
	if c.leaving[t.ID] {
		t.Leaving = true
	}
	if t.Leaving {
		c.leaving[t.ID] = true
	}
	c.targets[t.ID] = t
	return t
}

func (c *Catalog) trim() {
	if extra := len(c.changes) - keptChanges; extra > 0 {
		c.keptFrom = c.changes[extra-1].Revision
		c.changes = slices.Clone(c.changes[extra:])
	}
}

// Since makes what a gateway at a position lacks.
func (c *Catalog) Since(at Position) Delta {
	d := Delta{To: c.position}
	if at.Config < c.position.Config {
		d.Config = c.config
	}
	switch {
	case at.Targets >= c.position.Targets:
		d.To.Targets = at.Targets
	case at.Targets < c.keptFrom || at.Targets == 0:
		d.Whole = true
		for _, t := range c.Targets() {
			d.Changes = append(d.Changes, Change{Revision: c.position.Targets, Target: t})
		}
	default:
		for _, change := range c.changes {
			if change.Revision > at.Targets {
				d.Changes = append(d.Changes, change)
			}
		}
	}
	return d
}

// Merge takes in a delta and says what changed.
func (c *Catalog) Merge(d Delta) (configChanged, targetsChanged bool) {
	if d.Config != nil {
		configChanged = c.SetConfig(d.To.Config, d.Config)
	}
	if d.Whole {
		targets := make([]Target, 0, len(d.Changes))
		for _, change := range d.Changes {
			targets = append(targets, change.Target)
		}
		targetsChanged = d.To.Targets > c.position.Targets && c.Replace(d.To.Targets, targets)
	} else {
		targetsChanged = c.Advance(d.To.Targets, d.Changes)
	}
	c.CatchUp(d.To)
	return configChanged, targetsChanged
}
