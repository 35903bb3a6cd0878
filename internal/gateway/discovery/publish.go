package discovery

import (
	"slices"

	"github.com/sprucecrank/sprucecrank/core/gateway/catalog"
	"github.com/sprucecrank/sprucecrank/core/gateway/snapshot"
)

// fromStore names the store in log lines as where something was learnt, fromGlance a
// glance at it.
const (
	fromStore  = "store"
	fromGlance = "glance"
)

// change changes the catalog and says what of it changed.
type change func(c *catalog.Catalog) (config, targets bool)

// apply makes a change to the catalog and publishes what came of it.
func (f *Follower) apply(from string, make change) {
	f.mu.Lock()
	defer f.mu.Unlock()
	before := f.catalog.Position()
	config, targets := make(f.catalog)
	if config {
		f.decode(from)
	}
	if config || targets {
		f.publish(from)
	}
	if f.catalog.Position() != before {
		f.wake()
	}
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

// publish makes the snapshot that the data path uses; the lock is held.
func (f *Follower) publish(from string) {
	before := f.believed.Load().ByService()
	targets := map[string][]catalog.Target{}
	for _, t := range f.catalog.Targets() {
		if !t.Leaving {
			targets[t.Service] = append(targets[t.Service], t)
		}
	}
	f.believed.Store(snapshot.New(f.table, targets))
	f.logTargets(from, before, targets)
	if f.table != nil && f.catalog.HasTargets() {
		f.once.Do(func() { close(f.ready) })
	}
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

// lacking lists the ids of the targets in all that some lacks.
func lacking(some, all map[string][]catalog.Target) []string {
	var ids []string
	for service, targets := range all {
		held := make(map[string]bool, len(some[service]))
		for _, t := range some[service] {
			held[t.ID] = true
		}
		for _, t := range targets {
			if !held[t.ID] {
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
