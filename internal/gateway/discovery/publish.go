package discovery

import (
	"slices"

	"github.com/sprucecrank/sprucecrank/core/gateway/catalog"
	"github.com/sprucecrank/sprucecrank/core/gateway/peers"
	"github.com/sprucecrank/sprucecrank/core/gateway/snapshot"
	"github.com/sprucecrank/sprucecrank/core/member"
)

// fromStore names the store in log lines as where something was learnt, fromGlance a
// stale read at it, fromTarget a target that said it of itself.
const (
	fromStore     = "store"
	fromStaleRead = "glance"
	fromTarget    = "target"
)

// change changes the catalog and says what of it changed.
type change func(c *catalog.Catalog) catalog.Changed

// apply makes a change to the catalog and publishes what came of it.
func (f *Follower) apply(from string, make change) {
	f.mu.Lock()
	defer f.mu.Unlock()
	before := f.catalog.Position()
	changed := make(f.catalog)
	if changed.Config {
		f.decode(from)
	}
	if changed.Evacuations {
		f.logEvacuations(from)
	}
	if changed.Rollouts {
		f.logRollouts(from)
	}
	if changed.Any() || f.withheld {
		f.publish(from)
	}
	f.noteLife(f.options.Clock(), before)
	if f.catalog.Position() != before {
		f.wake()
	}
}

// Drain takes in that targets said themselves, in answers, that they leave.
func (f *Follower) Drain(lives []catalog.Life) {
	lives = slices.DeleteFunc(lives, f.Snapshot().IsLeaving) // they say so in each answer
	if len(lives) == 0 {
		return
	}
	f.apply(fromTarget, func(c *catalog.Catalog) (changed catalog.Changed) {
		for _, life := range lives {
			changed.Targets = c.MarkLeaving(life) || changed.Targets
		}
		return changed
	})
}

// decode puts the catalog's configuration in force; the lock is held.
func (f *Follower) decode(from string) {
	table, err := f.options.Decode(f.catalog.Config())
	if err != nil {
		f.options.Log.Error("configuration not understood; the one before stays in force", "version", f.catalog.Position().Config, "error", err.Error())
		return
	}
	f.table = table
	f.options.Log.Info("configuration in force", "version", table.Version(), "from", from)
}

// publish makes the snapshot that the data path uses: without targets that leave, and
// without those of halls that are evacuated; the lock is held.
func (f *Follower) publish(from string) {
	before := f.believed.Load().ByService()
	targets, evacuated := map[string][]catalog.Target{}, map[string]int{}
	leaving := map[catalog.Life]bool{}
	known := map[string][]catalog.Target{}
	for _, t := range f.catalog.Targets() {
		known[t.Service] = append(known[t.Service], t)
		switch {
		case t.Leaving:
			leaving[t.Life()] = true
		case f.catalog.IsEvacuated(t.Hall):
			evacuated[t.Service]++
		default:
			targets[t.Service] = append(targets[t.Service], t)
		}
	}
	assigned := f.assign(known, targets)
	f.believed.Store(snapshot.New(f.table, targets).WithEvacuated(evacuated).WithRollouts(assigned).WithLeaving(leaving))
	f.logTargets(from, before, targets)
	if f.table != nil && f.catalog.HasTargets() {
		f.once.Do(func() { close(f.ready) })
	}
}

// logEvacuations writes which halls are evacuated now; the lock is held.
func (f *Follower) logEvacuations(from string) {
	halls := []string{}
	for _, e := range f.catalog.Evacuations() {
		halls = append(halls, e.Hall)
	}
	f.options.Log.Info("evacuations changed", "halls", halls, "revision", f.catalog.Position().Evacuations, "from", from)
}

// EvacuatedHalls is how many halls are believed to be evacuated.
func (f *Follower) EvacuatedHalls() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.catalog.Evacuations())
}

// First lists up to n gateways that rank first, this one among them if it does.
func (f *Follower) First(n int) []member.Box {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.view.TopRanked(f.options.Clock(), n)
}

// Ranked is First as sightings that may be passed on to other gateways.
func (f *Follower) Ranked(n int) []peers.Sighting {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.view.RankedSightings(f.options.Clock(), n)
}

// Sighted takes in whom another gateway has learnt of.
func (f *Follower) Sighted(sightings []peers.Sighting) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.view.MergeSightings(f.options.Clock(), sightings)
}

// Gateways is about how many gateways there are, this one among them.
func (f *Follower) Gateways() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.view.EstimateFleetSize(f.options.Clock())
}

// logTargets writes which targets take requests now that did not before, and
// which no longer do.
func (f *Follower) logTargets(from string, before, now map[string][]catalog.Target) {
	in, out := lacking(before, now), lacking(now, before)
	if len(in)+len(out) == 0 {
		return
	}
	f.options.Log.Info("targets changed", "in", in, "out", out, "revision", f.catalog.Position().Targets, "from", from)
}

// lacking lists the ids of the targets in all that some lacks, or has in another life.
func lacking(some, all map[string][]catalog.Target) []string {
	var ids []string
	for service, targets := range all {
		held := make(map[catalog.Life]bool, len(some[service]))
		for _, t := range some[service] {
			held[t.Life()] = true
		}
		for _, t := range targets {
			if !held[t.Life()] {
				ids = append(ids, t.ID)
			}
		}
	}
	slices.Sort(ids)
	return ids
}

// loggedAge is the age of what is believed in seconds for a log line, -1 where
// nothing was confirmed; the lock is held.
func (f *Follower) loggedAge() float64 {
	if !f.fresh.Confirmed() {
		return -1
	}
	return f.fresh.Age(f.options.Clock()).Seconds()
}
