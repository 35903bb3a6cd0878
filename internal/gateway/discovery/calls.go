package discovery

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/sprucecrank/sprucecrank/core/gateway/catalog"
	"github.com/sprucecrank/sprucecrank/core/gateway/reader"
)

// errRestoring says that targets were read too soon after an outage of the store:
// entries that lapsed meanwhile are being made again.
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
	return f.options.Source.WatchConfig(ctx, from, f.waitFor(f.fresh.Config()))
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

// targetsUpdate reads the targets, or what has changed of them, and returns how
// the catalog takes it in.
func (f *Follower) targetsUpdate(ctx context.Context, whole bool) (change, error) {
	from := f.position().Targets
	if whole || from == 0 || f.mustReread(&f.rereads.targets) {
		list, err := f.options.Source.Targets(ctx)
		return func(c *catalog.Catalog) catalog.Changed {
			return catalog.Changed{Targets: c.Replace(list.Revision, ownTargets(list.Items))}
		}, err
	}
	changes, err := f.options.Source.WatchTargets(ctx, from, f.waitFor(f.fresh.Targets()))
	return func(c *catalog.Catalog) catalog.Changed {
		return catalog.Changed{Targets: c.Advance(changes.Revision, ownChanges(changes.Items, catalog.ReportStarts(c.Targets())))}
	}, err
}

// ownTargets are those that wrote their entries themselves: where targets report when they
// started, an entry that does not is another writer's and names no target.
func ownTargets(targets []catalog.Target) []catalog.Target {
	if !catalog.ReportStarts(targets) {
		return targets
	}
	return slices.DeleteFunc(slices.Clone(targets), func(t catalog.Target) bool { return t.Born == 0 })
}

// ownChanges has targets gone whose entry another writer has overwritten, where targets
// report when they started.
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

// callEvacuations makes one call for the evacuations. They don't lapse in an outage, so
// that they are read at once after it.
func (f *Follower) callEvacuations(ctx context.Context, whole bool) error {
	update, err := f.evacuationsUpdate(ctx, whole)
	if err != nil {
		return err
	}
	f.apply(fromStore, update)
	return nil
}

// evacuationsUpdate reads the evacuations, or what has changed of them, and returns how
// the catalog takes it in.
func (f *Follower) evacuationsUpdate(ctx context.Context, whole bool) (change, error) {
	from := f.position().Evacuations
	if whole || from == 0 || f.mustReread(&f.rereads.evacuations) {
		list, err := f.options.Source.Evacuations(ctx)
		return func(c *catalog.Catalog) catalog.Changed {
			return catalog.Changed{Evacuations: c.ReplaceEvacuations(list.Revision, list.Items)}
		}, err
	}
	changes, err := f.options.Source.WatchEvacuations(ctx, from, f.waitFor(f.fresh.Evacuations()))
	return func(c *catalog.Catalog) catalog.Changed {
		return catalog.Changed{Evacuations: c.AdvanceEvacuations(changes.Revision, changes.Items)}
	}, err
}

// callRollouts makes one call for the rollouts. Like evacuations they don't lapse in an
// outage.
func (f *Follower) callRollouts(ctx context.Context, whole bool) error {
	update, err := f.rolloutsUpdate(ctx, whole)
	if err != nil {
		return err
	}
	f.apply(fromStore, update)
	return nil
}

// rolloutsUpdate reads the rollouts, or what has changed of them, and returns how the
// catalog takes it in.
func (f *Follower) rolloutsUpdate(ctx context.Context, whole bool) (change, error) {
	from := f.position().Rollouts
	if whole || from == 0 || f.mustReread(&f.rereads.rollouts) {
		list, err := f.options.Source.Rollouts(ctx)
		return func(c *catalog.Catalog) catalog.Changed {
			return catalog.Changed{Rollouts: c.ReplaceRollouts(list.Revision, list.Items)}
		}, err
	}
	changes, err := f.options.Source.WatchRollouts(ctx, from, f.waitFor(f.fresh.Rollouts()))
	return func(c *catalog.Catalog) catalog.Changed {
		return catalog.Changed{Rollouts: c.AdvanceRollouts(changes.Revision, changes.Items)}
	}, err
}

// noteAnswer notes the store's return, if this answer is it, and says whether
// entries of targets are still being restored.
func (f *Follower) noteAnswer() (restoring bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.options.Clock()
	f.noteReturn(now)
	return f.fresh.UntilRestored(now, f.restoreDelay(now)) > 0
}

// noteReturn notes, and logs, the first answer of the store after an outage; the
// lock is held.
func (f *Follower) noteReturn(now time.Time) {
	away := f.fresh.Age(now)
	if f.fresh.NoteReturn(now, f.knowsTargets()) {
		f.options.Log.Info("store back after an outage", "away_s", away.Seconds(), "targets_read_in_s", f.restoreDelay(now).Seconds())
	}
}

// untilTargets is how long the targets should not be read; the lock is held.
func (f *Follower) untilTargets(now time.Time) time.Duration {
	if left := f.fresh.UntilRestored(now, f.restoreDelay(now)); left > 0 {
		return left
	}
	return f.untilConfigAnswers(now)
}

// untilConfigAnswers is how long the other watches make no call since that of the
// configuration fails; the lock is held.
func (f *Follower) untilConfigAnswers(time.Time) time.Duration {
	if f.fresh.Config().Failing() {
		return maxLook
	}
	return 0
}

// restoreDelay is how long after the store's return this gateway reads the
// targets; the lock is held.
func (f *Follower) restoreDelay(now time.Time) time.Duration {
	return reader.RestoreDelay(f.rank(now), f.options.Timing.Restore)
}
