package discovery

import (
	"slices"

	"github.com/sprucecrank/sprucecrank/core/gateway/catalog"
	"github.com/sprucecrank/sprucecrank/core/gateway/peers"
	"github.com/sprucecrank/sprucecrank/core/gateway/snapshot"
	"github.com/sprucecrank/sprucecrank/core/member"
)

// fromStore names the store in log lines as the origin of a change, fromStaleRead a stale
// read of it, and fromTarget a target that signalled the change itself.
const (
	fromStore     = "store"
	fromStaleRead = "glance"
	fromTarget    = "target"
)

// A change modifies the catalog and reports what of it changed.
type change func(c *catalog.Catalog) catalog.Changed

// apply makes a change to the catalog and publishes the result.
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
	f.noteEpoch(f.options.Clock(), before)
	if f.catalog.Position() != before {
		f.wake()
	}
}

// Drain marks targets as leaving that signalled in responses that they leave.
func (f *Follower) Drain(incarnations []catalog.Life) {
	incarnations = slices.DeleteFunc(incarnations, f.Snapshot().IsLeaving) // they signal it in each response
	if len(incarnations) == 0 {
		return
	}
	f.apply(fromTarget, func(c *catalog.Catalog) (changed catalog.Changed) {
		for _, incarnation := range incarnations {
			changed.Targets = c.MarkLeaving(incarnation) || changed.Targets
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

// publish creates the snapshot for the data path, without targets that leave and without
// those of evacuated halls; the lock is held.
func (f *Follower) publish(from string) {
	before := f.published.Load().ByService()
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
	f.published.Store(snapshot.New(f.table, targets).WithEvacuated(evacuated).WithRollouts(assigned).WithLeaving(leaving))
	f.logTargets(from, before, targets)
	if f.table != nil && f.catalog.HasTargets() {
		f.readyOnce.Do(func() { close(f.ready) })
	}
}

// logEvacuations logs which halls are evacuated now; the lock is held.
func (f *Follower) logEvacuations(from string) {
	halls := []string{}
	for _, e := range f.catalog.Evacuations() {
		halls = append(halls, e.Hall)
	}
	f.options.Log.Info("evacuations changed", "halls", halls, "revision", f.catalog.Position().Evacuations, "from", from)
}

// EvacuatedHallCount returns how many halls are evacuated according to the known state.
func (f *Follower) EvacuatedHallCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.catalog.Evacuations())
}

// TopRanked returns up to n gateways that rank first, which may include this one.
func (f *Follower) TopRanked(n int) []member.Box {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.view.TopRanked(f.options.Clock(), n)
}

// Relays lists the other gateways that are known to relay requests, a bounded number of them.
func (f *Follower) Relays() []member.Box {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.view.Relays(f.options.Clock())
}

// TopRankedSightings returns the gateways of TopRanked as sightings that may be forwarded
// to other gateways.
func (f *Follower) TopRankedSightings(n int) []peers.Sighting {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.view.RankedSightings(f.options.Clock(), n)
}

// MergeSightings adds the gateways that another gateway has seen to the view.
func (f *Follower) MergeSightings(sightings []peers.Sighting) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.view.MergeSightings(f.options.Clock(), sightings)
}

// GatewayCount returns the approximate number of gateways, including this one.
func (f *Follower) GatewayCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.view.EstimateFleetSize(f.options.Clock())
}

// logTargets logs which targets started and which stopped taking requests with this
// snapshot.
func (f *Follower) logTargets(from string, before, now map[string][]catalog.Target) {
	in, out := missingIDs(before, now), missingIDs(now, before)
	if len(in)+len(out) == 0 {
		return
	}
	f.options.Log.Info("targets changed", "in", in, "out", out, "revision", f.catalog.Position().Targets, "from", from)
}

// missingIDs returns the ids of the targets in all that some lacks, or holds in another
// incarnation.
func missingIDs(some, all map[string][]catalog.Target) []string {
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

// loggedAge returns the age of the known state in seconds for a log line, -1 if nothing was
// confirmed; the lock is held.
func (f *Follower) loggedAge() float64 {
	if !f.fresh.Confirmed() {
		return -1
	}
	return f.fresh.Age(f.options.Clock()).Seconds()
}
