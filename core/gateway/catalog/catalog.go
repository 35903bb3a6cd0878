// Package catalog holds a gateway's known state of the configuration, the targets, the
// evacuated halls and the rollouts: the greatest version seen of each, whatever its
// source. State never goes back: an older configuration is ignored, a target that has
// begun to leave stays leaving for that incarnation, and an update about an earlier
// incarnation of a target does not override a later one (incarnations). Evacuations and
// rollouts follow the store, since operators begin and end them as often as they like.
//
// The catalog keeps that state in memory until the process ends. It depends on no other
// state, does no I/O and takes no lock; internal/gateway/discovery serializes access. The
// configuration is an opaque body with a version. Targets, evacuations and rollouts are
// tables (table) at a revision of the store, with a log of the latest changes, so that a
// peer that is a little behind can be sent those alone. Evacuations, at most one per hall,
// and rollouts, at most one per service, are sent whole.
//
// Gateways send each other Position, Delta, Change, Target, Evacuation and Rollout by
// net/rpc: their fields are exported for its codec and keep their names. A field that
// a gateway of an earlier version does not send is zero, which means that it knows nothing
// of evacuations or rollouts, not that there are none.
//
// # Usage
//
//	c := catalog.New()
//	c.Replace(530, targets)               // a list, at the store's revision
//	c.Advance(533, changes)               // the changes that a watch has reported since
//	c.ReplaceEvacuations(533, nil)        // no hall is evacuated
//	delta := c.Since(catalog.Position{Config: 7, Targets: 530})
package catalog

// Change is the addition, update or removal of one target at one revision of the store.
type Change struct {
	Revision uint64
	Target   Target
	Gone     bool
}

// Position is how recent the known state of a gateway is. Revisions are made by Revision.
type Position struct {
	// Config is the configuration's version.
	Config uint64
	// ConfigRevision is the store's revision up to which that version is the latest.
	ConfigRevision uint64
	// Targets is the store's revision up to which the targets are known, and Changed
	// the revision at which one of them last changed.
	Targets uint64
	Changed uint64
	// Evacuations and EvacuationsChanged are the same for the evacuations; 0 if they were
	// never read, as in a gateway that does not follow them.
	Evacuations        uint64
	EvacuationsChanged uint64
	// Rollouts and RolloutsChanged are the same for the rollouts.
	Rollouts        uint64
	RolloutsChanged uint64
}

// OfEarlierLife reports whether a position is from an earlier epoch of the store than another.
func (p Position) OfEarlierLife(other Position) bool {
	return StoreLife(p.ConfigRevision) < StoreLife(other.ConfigRevision) || StoreLife(p.Targets) < StoreLife(other.Targets)
}

// IsBehind reports whether another position includes anything that this one does not.
func (p Position) IsBehind(other Position) bool {
	return other.Config > p.Config || other.Changed > p.Targets ||
		other.EvacuationsChanged > p.Evacuations || other.RolloutsChanged > p.Rollouts
}

// Delta brings the catalog of a gateway from its position to To.
type Delta struct {
	To Position
	// Config is the body of the configuration; nil if the gateway's is as recent.
	Config []byte
	// Whole means that Changes lists all targets; any other target is gone.
	Whole   bool
	Changes []Change
	// HasEvacuations means that Evacuations is the complete list.
	HasEvacuations bool
	Evacuations    []Evacuation
	// HasRollouts means that Rollouts is the complete list.
	HasRollouts bool
	Rollouts    []Rollout
}

// IsEmpty reports whether the delta holds only a position.
func (d Delta) IsEmpty() bool {
	return d.Config == nil && !d.Whole && len(d.Changes) == 0 && !d.HasEvacuations && !d.HasRollouts
}

// Changed tells which parts of a catalog an update changed.
type Changed struct {
	Config      bool
	Targets     bool
	Evacuations bool
	Rollouts    bool
}

// Any reports whether any part changed.
func (c Changed) Any() bool { return c.Config || c.Targets || c.Evacuations || c.Rollouts }

// StaleCopy is the content of the store as of some time ago.
type StaleCopy struct {
	// Version and Body are those of the configuration.
	Version     uint64
	Body        []byte
	Targets     []Target
	Evacuations []Evacuation
	Rollouts    []Rollout
}

// Catalog is a gateway's known state. It is not safe for concurrent use.
type Catalog struct {
	version        uint64
	configRevision uint64
	config         []byte
	targets        table[Target]
	incarnations   incarnations
	evacuations    table[Evacuation]
	rollouts       table[Rollout]
}

// New makes an empty catalog.
func New() *Catalog {
	return &Catalog{
		targets: newTable[Target](), incarnations: incarnations{},
		evacuations: newTable[Evacuation](), rollouts: newTable[Rollout](),
	}
}

// Position returns how recent the catalog is.
func (c *Catalog) Position() Position {
	return Position{
		Config: c.version, ConfigRevision: c.configRevision,
		Targets: c.targets.known, Changed: c.targets.changed,
		Evacuations: c.evacuations.known, EvacuationsChanged: c.evacuations.changed,
		Rollouts: c.rollouts.known, RolloutsChanged: c.rollouts.changed,
	}
}

// Config returns the body of the configuration.
func (c *Catalog) Config() []byte { return c.config }

// Targets lists the targets by id.
func (c *Catalog) Targets() []Target { return c.targets.list() }

// LoadStale fills the parts of the catalog that were never read with a stale copy of the
// store. The position stays that of a catalog without targets and evacuations, so that it
// is still behind every peer that has read them.
func (c *Catalog) LoadStale(s StaleCopy) Changed {
	return Changed{
		Config:      c.SetConfig(s.Version, s.Body),
		Targets:     c.targets.known == 0 && c.targets.loadStale(c.resolveTargets(s.Targets)),
		Evacuations: c.evacuations.loadStale(byHall(s.Evacuations)),
		Rollouts:    c.rollouts.loadStale(byService(s.Rollouts)),
	}
}

// HasTargets reports whether the targets were read or any were loaded from a stale copy.
func (c *Catalog) HasTargets() bool { return c.targets.known > 0 || len(c.targets.entries) > 0 }

// SetConfig applies a configuration if it is newer than the current one, and reports
// whether it was.
func (c *Catalog) SetConfig(version uint64, body []byte) bool {
	if version <= c.version {
		return false
	}
	c.version, c.config = version, body
	return true
}

// ConfirmConfig records that the store held no newer configuration at a revision.
func (c *Catalog) ConfirmConfig(revision uint64) {
	c.configRevision = max(c.configRevision, revision)
}

// Replace applies a complete list of targets as the store held it at a revision, unless
// that is older than the known one. A target that has begun to leave comes back only as
// another incarnation. From a store that was restored from an older copy only changes of
// known targets are applied; the next list of that epoch is applied whole.
func (c *Catalog) Replace(revision uint64, targets []Target) bool {
	resolved := c.resolveTargets(targets)
	if c.targets.isRewound(revision) {
		resolved = c.targets.mergeOlderCopy(resolved)
	}
	return c.replaceTargets(revision, resolved)
}

func (c *Catalog) replaceTargets(revision uint64, resolved map[string]Target) bool {
	if revision < c.targets.known {
		return false
	}
	changed := c.targets.replace(revision, resolved)
	c.incarnations.trim(c.targets.entries)
	return changed
}

// Advance applies the changes of targets up to a revision.
func (c *Catalog) Advance(revision uint64, changes []Change) bool {
	converted := make([]entryChange[Target], 0, len(changes))
	for _, change := range changes {
		converted = append(converted, entryChange[Target]{revision: change.Revision, id: change.Target.ID, entry: change.Target, gone: change.Gone})
	}
	changed := c.targets.advance(revision, converted, c.resolve)
	c.incarnations.trim(c.targets.entries)
	return changed
}

// MarkLeaving records that a target itself has advertised that it is leaving, and reports
// whether that changes the known state. Its entry in the store may show it later, or never.
// The position stays, since the store holds nothing new.
func (c *Catalog) MarkLeaving(life Life) bool {
	entry, ok := c.targets.entries[life.ID]
	if !ok || entry.Leaving || entry.Life() != life {
		return false
	}
	entry.Born, entry.Leaving = c.incarnations.record(life, true)
	c.targets.entries[life.ID] = entry
	return true
}

// CatchUp records that a peer at a position knows nothing that is missing here, and
// advances the catalog to that position.
func (c *Catalog) CatchUp(theirs Position) {
	if theirs.Config == c.version {
		c.ConfirmConfig(theirs.ConfigRevision)
	}
	c.targets.catchUp(theirs.Targets, theirs.Changed)
	c.evacuations.catchUp(theirs.Evacuations, theirs.EvacuationsChanged)
	c.rollouts.catchUp(theirs.Rollouts, theirs.RolloutsChanged)
}

// resolveTargets returns targets by id, each resolved against the known incarnations.
func (c *Catalog) resolveTargets(targets []Target) map[string]Target {
	out := make(map[string]Target, len(targets))
	for _, t := range targets {
		if resolved, ok := c.resolve(t); ok {
			out[t.ID] = resolved
		}
	}
	return out
}

// resolve resolves an update of a target against its known incarnations. An update about an
// earlier incarnation yields the known entry; ok is false if there is none.
func (c *Catalog) resolve(t Target) (resolved Target, ok bool) {
	if c.incarnations.hasEnded(t.Life()) {
		resolved, ok = c.targets.entries[t.ID]
		return resolved, ok
	}
	t.Born, t.Leaving = c.incarnations.record(t.Life(), t.Leaving)
	return t, true
}

// Since returns the delta that a peer at a position needs.
func (c *Catalog) Since(at Position) Delta {
	d := Delta{To: c.Position()}
	if at.Config < c.version {
		d.Config = c.config
	}
	c.addTargets(&d, at.Targets)
	c.addEvacuations(&d, at.Evacuations)
	c.addRollouts(&d, at.Rollouts)
	return d
}

// addTargets adds the targets that changed since a revision, or all of them if the log does
// not reach back that far.
func (c *Catalog) addTargets(d *Delta, from uint64) {
	if from >= c.targets.known {
		d.To.Targets = from
		return
	}
	changes, complete := c.targets.since(from)
	if !complete {
		d.Whole = true
		for _, t := range c.Targets() {
			d.Changes = append(d.Changes, Change{Revision: c.targets.known, Target: t})
		}
		return
	}
	for _, change := range changes {
		d.Changes = append(d.Changes, Change{Revision: change.revision, Target: change.entry, Gone: change.gone})
	}
}

// Merge applies a delta from a peer and reports what changed.
func (c *Catalog) Merge(d Delta) (changed Changed) {
	if d.Config != nil {
		changed.Config = c.SetConfig(d.To.Config, d.Config)
	}
	if d.Whole {
		targets := make([]Target, 0, len(d.Changes))
		for _, change := range d.Changes {
			targets = append(targets, change.Target)
		}
		changed.Targets = d.To.Targets > c.targets.known && c.replaceTargets(d.To.Targets, c.resolveTargets(targets))
	} else if c.targets.known > 0 {
		changed.Targets = c.Advance(d.To.Targets, d.Changes)
	}
	if d.HasEvacuations {
		changed.Evacuations = d.To.Evacuations > c.evacuations.known && c.evacuations.replace(d.To.Evacuations, byHall(d.Evacuations))
	}
	if d.HasRollouts {
		changed.Rollouts = d.To.Rollouts > c.rollouts.known && c.rollouts.replace(d.To.Rollouts, byService(d.Rollouts))
	}
	c.CatchUp(d.To)
	return changed
}
