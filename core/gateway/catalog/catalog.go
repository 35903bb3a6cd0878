// Package catalog holds what a gateway believes of the configuration, of the targets,
// of the halls that are evacuated and of the rollouts: the greatest version seen of
// each, however it was learnt. Nothing ever goes back: an older configuration is not
// taken in, a target that has begun to leave stays leaving for that life of it, and an update of
// an earlier life of a target undoes nothing that is known of a later one (lives). Evacuations and
// rollouts are as the store has them, since operators begin and end them as often as
// they like.
//
// It owns that knowledge for the life of the process. It relies on nothing else,
// does no I/O and takes no lock; internal/gateway/discovery guards it. The
// configuration is an opaque body with a version. Targets, evacuations and rollouts are
// tables (table) at a revision of the store, with the latest changes kept so that another
// gateway which is a little behind can be sent those alone; evacuations, of which there
// are no more than halls, and rollouts, no more than services, are sent whole.
//
// Gateways send each other Position, Delta, Change, Target, Evacuation and Rollout by
// net/rpc: their fields are exported for its codec and keep their names. A field that
// one of an earlier version does not send is zero: it knows of no evacuations or
// rollouts then, not that there are none.
//
// # Usage
//
//	c := catalog.New()
//	c.Replace(530, targets)               // a list, at the store's revision
//	c.Advance(533, changes)               // what a watch reported since
//	c.ReplaceEvacuations(533, nil)        // no hall is evacuated
//	delta := c.Since(catalog.Position{Config: 7, Targets: 530})
package catalog

// Change is one target at one revision of the store.
type Change struct {
	Revision uint64
	Target   Target
	Gone     bool
}

// Position is how far the knowledge of a gateway has come. Revisions are those of Revision.
type Position struct {
	// Config is the configuration's version.
	Config uint64
	// ConfigRevision is the store's revision up to which it is the latest.
	ConfigRevision uint64
	// Targets is the store's revision up to which the targets are known, and Changed
	// that at which one of them last changed.
	Targets uint64
	Changed uint64
	// Evacuations and EvacuationsChanged are these of the evacuations; 0 where none is
	// known, as of a gateway that does not follow them.
	Evacuations        uint64
	EvacuationsChanged uint64
	// Rollouts and RolloutsChanged are the same for the rollouts.
	Rollouts        uint64
	RolloutsChanged uint64
}

// OfEarlierLife says whether a position is of an earlier life of the store than another.
func (p Position) OfEarlierLife(other Position) bool {
	return StoreLife(p.ConfigRevision) < StoreLife(other.ConfigRevision) || StoreLife(p.Targets) < StoreLife(other.Targets)
}

// IsBehind says whether there is anything at another position that is missing at this one.
func (p Position) IsBehind(other Position) bool {
	return other.Config > p.Config || other.Changed > p.Targets ||
		other.EvacuationsChanged > p.Evacuations || other.RolloutsChanged > p.Rollouts
}

// Delta brings a gateway from its position to To.
type Delta struct {
	To Position
	// Config is the body of the configuration, when the gateway's is older.
	Config []byte
	// Whole says that Changes are all targets and that others are gone.
	Whole   bool
	Changes []Change
	// HasEvacuations says that Evacuations are all that there are.
	HasEvacuations bool
	Evacuations    []Evacuation
	// HasRollouts says that Rollouts are all that there are.
	HasRollouts bool
	Rollouts    []Rollout
}

// IsEmpty says whether there is nothing in it but a position.
func (d Delta) IsEmpty() bool {
	return d.Config == nil && !d.Whole && len(d.Changes) == 0 && !d.HasEvacuations && !d.HasRollouts
}

// Changed says what of a catalog changed.
type Changed struct {
	Config      bool
	Targets     bool
	Evacuations bool
	Rollouts    bool
}

// Any says whether anything changed.
func (c Changed) Any() bool { return c.Config || c.Targets || c.Evacuations || c.Rollouts }

// StaleCopy is what the store held some time ago.
type StaleCopy struct {
	// Version and Body are the configuration's.
	Version     uint64
	Body        []byte
	Targets     []Target
	Evacuations []Evacuation
	Rollouts    []Rollout
}

// Catalog is what is believed. It is not safe for concurrent use.
type Catalog struct {
	version        uint64
	configRevision uint64
	config         []byte
	targets        table[Target]
	lives          lives
	evacuations    table[Evacuation]
	rollouts       table[Rollout]
}

// New makes an empty catalog.
func New() *Catalog {
	return &Catalog{
		targets: newTable[Target](), lives: lives{},
		evacuations: newTable[Evacuation](), rollouts: newTable[Rollout](),
	}
}

// Position is how far the catalog has come.
func (c *Catalog) Position() Position {
	return Position{
		Config: c.version, ConfigRevision: c.configRevision,
		Targets: c.targets.known, Changed: c.targets.changed,
		Evacuations: c.evacuations.known, EvacuationsChanged: c.evacuations.changed,
		Rollouts: c.rollouts.known, RolloutsChanged: c.rollouts.changed,
	}
}

// Config is the body of the configuration.
func (c *Catalog) Config() []byte { return c.config }

// Targets lists the targets by id.
func (c *Catalog) Targets() []Target { return c.targets.list() }

// LoadStale takes in what the store held some time ago, in place of knowing nothing. The
// position stays that of a catalog without targets and evacuations, so that all that
// others know is still missing.
func (c *Catalog) LoadStale(g StaleCopy) Changed {
	return Changed{
		Config:      c.SetConfig(g.Version, g.Body),
		Targets:     c.targets.known == 0 && c.targets.guess(c.believedTargets(g.Targets)),
		Evacuations: c.evacuations.guess(byHall(g.Evacuations)),
		Rollouts:    c.rollouts.guess(byService(g.Rollouts)),
	}
}

// HasTargets says whether any targets are believed, be it by a guess.
func (c *Catalog) HasTargets() bool { return c.targets.known > 0 || len(c.targets.entries) > 0 }

// SetConfig takes in a configuration if it is newer than the one that is held.
func (c *Catalog) SetConfig(version uint64, body []byte) bool {
	if version <= c.version {
		return false
	}
	c.version, c.config = version, body
	return true
}

// ConfirmConfig notes that the store held no newer configuration at a revision.
func (c *Catalog) ConfirmConfig(revision uint64) {
	c.configRevision = max(c.configRevision, revision)
}

// Replace takes in all targets as the store held them at a revision, if that is not
// older than what is held. A target that has begun to leave comes back only in another life.
// Of a store that has come back from an older copy it takes in only what becomes of the
// targets that are known; the next list of that life is taken in whole.
func (c *Catalog) Replace(revision uint64, targets []Target) bool {
	believed := c.believedTargets(targets)
	if c.targets.rewound(revision) {
		believed = c.targets.reconcile(believed)
	}
	return c.replaceTargets(revision, believed)
}

func (c *Catalog) replaceTargets(revision uint64, believed map[string]Target) bool {
	if revision < c.targets.known {
		return false
	}
	changed := c.targets.replace(revision, believed)
	c.lives.trim(c.targets.entries)
	return changed
}

// Advance takes in the changes of targets up to a revision.
func (c *Catalog) Advance(revision uint64, changes []Change) bool {
	made := make([]entryChange[Target], 0, len(changes))
	for _, change := range changes {
		made = append(made, entryChange[Target]{revision: change.Revision, id: change.Target.ID, entry: change.Target, gone: change.Gone})
	}
	changed := c.targets.advance(revision, made, c.believed)
	c.lives.trim(c.targets.entries)
	return changed
}

// MarkLeaving takes in that a target said itself that it leaves, and says whether that changes what is
// believed. Its entry may say so later, or never. The position stays, since the store holds nothing
// new.
func (c *Catalog) MarkLeaving(life Life) bool {
	entry, ok := c.targets.entries[life.ID]
	if !ok || entry.Leaving || entry.Life() != life {
		return false
	}
	entry.Born, entry.Leaving = c.lives.note(life, true)
	c.targets.entries[life.ID] = entry
	return true
}

// CatchUp notes that another gateway knows nothing that is missing here, so that what
// is believed is as far as its position.
func (c *Catalog) CatchUp(theirs Position) {
	if theirs.Config == c.version {
		c.ConfirmConfig(theirs.ConfigRevision)
	}
	c.targets.catchUp(theirs.Targets, theirs.Changed)
	c.evacuations.catchUp(theirs.Evacuations, theirs.EvacuationsChanged)
	c.rollouts.catchUp(theirs.Rollouts, theirs.RolloutsChanged)
}

// believedTargets are targets by id, each as it is believed.
func (c *Catalog) believedTargets(targets []Target) map[string]Target {
	out := make(map[string]Target, len(targets))
	for _, t := range targets {
		if believed, ok := c.believed(t); ok {
			out[t.ID] = believed
		}
	}
	return out
}

// believed is a target as it is believed; ok is false where the update is of an earlier life
// and no later one is in service.
func (c *Catalog) believed(t Target) (believed Target, ok bool) {
	if c.lives.isOver(t.Life()) {
		believed, ok = c.targets.entries[t.ID]
		return believed, ok
	}
	t.Born, t.Leaving = c.lives.note(t.Life(), t.Leaving)
	return t, true
}

// Since makes what a gateway at a position lacks.
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

// addTargets adds what a gateway lacks that knows the targets up to a revision.
func (c *Catalog) addTargets(d *Delta, from uint64) {
	if from >= c.targets.known {
		d.To.Targets = from
		return
	}
	changes, kept := c.targets.since(from)
	if !kept {
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

// Merge takes in a delta and says what changed.
func (c *Catalog) Merge(d Delta) (changed Changed) {
	if d.Config != nil {
		changed.Config = c.SetConfig(d.To.Config, d.Config)
	}
	if d.Whole {
		targets := make([]Target, 0, len(d.Changes))
		for _, change := range d.Changes {
			targets = append(targets, change.Target)
		}
		changed.Targets = d.To.Targets > c.targets.known && c.replaceTargets(d.To.Targets, c.believedTargets(targets))
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
