package discovery

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/sprucecrank/sprucecrank/core/gateway/catalog"
	"github.com/sprucecrank/sprucecrank/core/gateway/reader"
)

// errRestoring says that targets were read too soon after an outage of the store: entries
// that expired meanwhile are still being written again.
var errRestoring = errors.New("the entries of targets are being restored after an outage of the store")

// callConfig makes one call for the configuration.
func (f *Follower) callConfig(ctx context.Context, whole bool) error {
	changes, err := f.configChanges(ctx, whole)
	if err != nil {
		return err
	}
	f.apply(fromStore, func(c *catalog.Catalog) catalog.Changed {
		latest := changes.Latest
		changed := latest != nil && c.SetConfig(latest.Version, latest.Body)
		c.ConfirmConfig(changes.Revision)
		return catalog.Changed{Config: changed}
	})
	return nil
}

func (f *Follower) configChanges(ctx context.Context, whole bool) (Newest[ConfigObject], error) {
	from := f.position().ConfigRevision
	if whole || from == 0 {
		return f.options.Source.Config(ctx)
	}
	return f.options.Source.WatchConfig(ctx, from, f.watchWait(f.fresh.Config()))
}

// callTargets makes one call for the targets.
func (f *Follower) callTargets(ctx context.Context, whole bool) error {
	update, err := f.targetsUpdate(ctx, whole)
	if err != nil {
		return err
	}
	if f.noteAnswer() {
		return errRestoring
	}
	f.apply(fromStore, update)
	return nil
}

// targetsUpdate reads the targets, or their changes, and returns the change to the catalog.
func (f *Follower) targetsUpdate(ctx context.Context, whole bool) (change, error) {
	from := f.position().Targets
	if whole || from == 0 || f.mustReread(&f.rereads.targets) {
		list, err := f.options.Source.Targets(ctx)
		return func(c *catalog.Catalog) catalog.Changed {
			return catalog.Changed{Targets: c.Replace(list.Revision, ownTargets(list.Items))}
		}, err
	}
	changes, err := f.options.Source.WatchTargets(ctx, from, f.watchWait(f.fresh.Targets()))
	return func(c *catalog.Catalog) catalog.Changed {
		return catalog.Changed{Targets: c.Advance(changes.Revision, ownChanges(changes.Items, catalog.ReportStarts(c.Targets())))}
	}, err
}

// ownTargets returns the targets that wrote their entries themselves: where targets report
// when they started, an entry without a start time is from another writer and does not
// describe a target.
func ownTargets(targets []catalog.Target) []catalog.Target {
	if !catalog.ReportStarts(targets) {
		return targets
	}
	return slices.DeleteFunc(slices.Clone(targets), func(t catalog.Target) bool { return t.Born == 0 })
}

// ownChanges marks targets as gone whose entry another writer has overwritten, where
// targets report when they started.
func ownChanges(changes []catalog.Change, reportStarts bool) []catalog.Change {
	if !reportStarts {
		return changes
	}
	changes = slices.Clone(changes)
	for i := range changes {
		changes[i].Gone = changes[i].Gone || changes[i].Target.Born == 0
	}
	return changes
}

// callEvacuations makes one call for the evacuations. They don't expire during an outage,
// so they are read immediately after it.
func (f *Follower) callEvacuations(ctx context.Context, whole bool) error {
	update, err := f.evacuationsUpdate(ctx, whole)
	if err != nil {
		return err
	}
	f.apply(fromStore, update)
	return nil
}

// evacuationsUpdate reads the evacuations, or their changes, and returns the change to the
// catalog.
func (f *Follower) evacuationsUpdate(ctx context.Context, whole bool) (change, error) {
	from := f.position().Evacuations
	if whole || from == 0 || f.mustReread(&f.rereads.evacuations) {
		list, err := f.options.Source.Evacuations(ctx)
		return func(c *catalog.Catalog) catalog.Changed {
			return catalog.Changed{Evacuations: c.ReplaceEvacuations(list.Revision, list.Items)}
		}, err
	}
	changes, err := f.options.Source.WatchEvacuations(ctx, from, f.watchWait(f.fresh.Evacuations()))
	return func(c *catalog.Catalog) catalog.Changed {
		return catalog.Changed{Evacuations: c.AdvanceEvacuations(changes.Revision, changes.Items)}
	}, err
}

// callRollouts makes one call for the rollouts. Like evacuations, they don't expire during
// an outage.
func (f *Follower) callRollouts(ctx context.Context, whole bool) error {
	update, err := f.rolloutsUpdate(ctx, whole)
	if err != nil {
		return err
	}
	f.apply(fromStore, update)
	return nil
}

// rolloutsUpdate reads the rollouts, or their changes, and returns the change to the
// catalog.
func (f *Follower) rolloutsUpdate(ctx context.Context, whole bool) (change, error) {
	from := f.position().Rollouts
	if whole || from == 0 || f.mustReread(&f.rereads.rollouts) {
		list, err := f.options.Source.Rollouts(ctx)
		return func(c *catalog.Catalog) catalog.Changed {
			return catalog.Changed{Rollouts: c.ReplaceRollouts(list.Revision, list.Items)}
		}, err
	}
	changes, err := f.options.Source.WatchRollouts(ctx, from, f.watchWait(f.fresh.Rollouts()))
	return func(c *catalog.Catalog) catalog.Changed {
		return catalog.Changed{Rollouts: c.AdvanceRollouts(changes.Revision, changes.Items)}
	}, err
}

// noteAnswer records the store's return, if this is its first response after an outage, and
// reports whether the entries of targets are still being restored.
func (f *Follower) noteAnswer() (restoring bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.options.Clock()
	f.noteReturn(now)
	return f.fresh.UntilRestored(now, f.restoreDelay(now)) > 0
}

// noteReturn records, and logs, the first response of the store after an outage; the lock
// is held.
func (f *Follower) noteReturn(now time.Time) {
	unreachableFor := f.fresh.Age(now)
	if f.fresh.RecordReturn(now, f.knowsTargets()) {
		f.options.Log.Info("store back after an outage", "away_s", unreachableFor.Seconds(), "targets_read_in_s", f.restoreDelay(now).Seconds())
	}
}

// untilTargetsDue returns for how long the targets should not be read; the lock is held.
func (f *Follower) untilTargetsDue(now time.Time) time.Duration {
	if left := f.fresh.UntilRestored(now, f.restoreDelay(now)); left > 0 {
		return left
	}
	return f.untilConfigAnswers(now)
}

// untilConfigAnswers returns for how long the other watches make no call because the call
// for the configuration fails; the lock is held.
func (f *Follower) untilConfigAnswers(time.Time) time.Duration {
	if f.fresh.Config().Failing() {
		return maxRoleCheckInterval
	}
	return 0
}

// restoreDelay returns how long after the store's return this gateway reads the targets;
// the lock is held.
func (f *Follower) restoreDelay(now time.Time) time.Duration {
	return reader.RestoreDelay(f.rank(now), f.options.Timing.RestoreWithin)
}
