package discovery

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cenkalti/backoff/v5"

	"github.com/sprucecrank/sprucecrank/core/gateway/quarantine"
	"github.com/sprucecrank/sprucecrank/internal/pause"
)

// What is quarantined is saved in the store as well, in one object that whoever reads the
// store keeps up to date: for a fleet that loses power as a whole, and for gateways that
// reach the store and no other gateway. Word between gateways is quicker and needs no
// store; it forgets when all of them end.

const (
	// callSaved and callSave are the calls' names in metrics and log lines.
	callSaved = "saved"
	callSave  = "save"
	// savedWatchWait is how long a watch of the saved object waits. Nothing is confirmed by it,
	// so that it need not answer often: some 3 calls in 28 s, where one that waits as long as the
	// others made 19. It is shorter than the history that stores keep, some 20 s.
	savedWatchWait = 15 * time.Second
	// resaveAfter is how old the saved object may grow while its requests go on coming:
	// some writes before they would lapse by it.
	resaveAfter = 3 * time.Minute
)

// saved is the object in the store, as it was last read or written.
type saved struct {
	// known says that it was read since the reading fell to this gateway.
	known    bool
	revision uint64 // 0 where there is none
	document savedDocument
}

// savedDocument is its content.
type savedDocument struct {
	// WrittenAt is when it was written, in ms of the time of day of the gateway that did.
	WrittenAt int64 `json:"writtenAtMs"`
	// Quarantined lists the fingerprints that the updates amount to.
	Quarantined []string            `json:"quarantined"`
	Updates     []quarantine.Update `json:"words"`
}

// readSaved is the duty of watching the saved object while the reading falls to this
// gateway.
func (f *Follower) readSaved(ctx context.Context) error {
	retry := backoff.NewExponentialBackOff()
	retry.InitialInterval = initialRetry
	retry.MaxInterval = maxOtherRetry
	at := uint64(0)
	for ctx.Err() == nil {
		if !f.ReadsStore() {
			at = 0
			f.resetSaved()
			if !f.waitForChange(ctx, maxRoleCheckInterval) {
				return nil
			}
			continue
		}
		next, err := f.callSaved(ctx, at)
		wait := time.Duration(0)
		switch {
		case err == nil:
			at = next
			retry.Reset()
		case errors.Is(err, ErrGone):
			at = 0
		default:
			wait = retry.NextBackOff()
		}
		if wait > 0 && !pause.For(ctx, wait) {
			return nil
		}
	}
	return nil
}

// callSaved makes one call and returns the revision of the store from which the next one
// watches; at is 0 for the first.
func (f *Follower) callSaved(ctx context.Context, at uint64) (next uint64, err error) {
	ctx, cancel := context.WithTimeout(ctx, savedWatchWait+f.options.Timing.WatchSlack)
	defer cancel()
	var changes Newest[SavedObject]
	if at == 0 {
		changes, err = f.options.Source.Saved(ctx)
	} else {
		share := minWaitShare + (1-minWaitShare)*rand.Float64()
		changes, err = f.options.Source.WatchSaved(ctx, at, time.Duration(share*float64(savedWatchWait)))
	}
	if err != nil && !errors.Is(err, ErrGone) {
		f.options.Metrics.StoreCall(callSaved, callFailed)
		return at, err
	}
	f.options.Metrics.StoreCall(callSaved, callAnswered)
	if err != nil {
		return at, err
	}
	f.applySaved(changes.Latest, at == 0)
	return changes.Revision, nil
}

// applySaved takes in what the store holds; whole says that it holds nothing where latest is
// nil, and not that nothing changed. One that can't be read is written anew.
func (f *Follower) applySaved(latest *SavedObject, whole bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if latest == nil && !whole {
		return
	}
	f.saved = saved{known: true}
	if latest == nil {
		return
	}
	f.saved.revision = latest.Revision
	if err := json.Unmarshal(latest.Body, &f.saved.document); err != nil {
		f.saved.document = savedDocument{}
		f.options.Log.Error("saved quarantine not understood; it is written anew", "revision", latest.Revision, "error", err.Error())
		return
	}
	age := max(0, f.options.WallClock().Sub(time.UnixMilli(f.saved.document.WrittenAt)))
	f.mergeFatal(f.saved.document.aged(age), fromStore)
}

// aged are the updates some time later.
func (d savedDocument) aged(later time.Duration) []quarantine.Update {
	updates := slices.Clone(d.Updates)
	for i := range updates {
		updates[i].Seen += later
		updates[i].Ends = slices.Clone(updates[i].Ends)
		for j := range updates[i].Ends {
			updates[i].Ends[j].Ago += later
		}
	}
	return updates
}

// resetSavedRevision has the next write create the object: it may be gone, and where it is not,
// the store refuses and says so.
func (f *Follower) resetSavedRevision() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.saved.revision = 0
}

func (f *Follower) resetSaved() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.saved = saved{}
}

// save is the duty of saving what is quarantined, while the reading falls to this gateway.
func (f *Follower) save(ctx context.Context) error {
	retry := backoff.NewExponentialBackOff()
	retry.InitialInterval = initialRetry
	retry.MaxInterval = maxOtherRetry
	for ctx.Err() == nil {
		object, worth := f.objectToSave()
		if !worth {
			if !f.waitForChange(ctx, maxRoleCheckInterval) {
				return nil
			}
			continue
		}
		err := f.saveOnce(ctx, object)
		if err == nil {
			retry.Reset()
			continue
		}
		f.options.Log.Warn("quarantine not saved", "error", err.Error())
		if !pause.For(ctx, retry.NextBackOff()) {
			return nil
		}
	}
	return nil
}

// objectToSave says whether the saved object lacks anything that is quarantined, or
// would lapse though its requests go on coming, and makes what replaces it.
func (f *Follower) objectToSave() (object SavedObject, needed bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.saved.known || !f.fresh.Reads(f.options.Clock()) {
		return object, false
	}
	updates, fingerprints := f.options.Fatal.QuarantinedUpdates()
	now := f.options.WallClock()
	lacks := slices.ContainsFunc(fingerprints, func(print string) bool { return !slices.Contains(f.saved.document.Quarantined, print) })
	age := now.Sub(time.UnixMilli(f.saved.document.WrittenAt))
	recurring := slices.ContainsFunc(updates, func(w quarantine.Update) bool { return w.Seen < resaveAfter })
	if !lacks && (age < resaveAfter || !recurring) {
		return object, false
	}
	body, err := json.Marshal(savedDocument{WrittenAt: now.UnixMilli(), Quarantined: fingerprints, Updates: updates})
	if err != nil {
		f.options.Log.Error("quarantine not encoded", "error", err.Error())
		return object, false
	}
	return SavedObject{Revision: f.saved.revision, Body: body}, true
}

// saveOnce writes the saved object on condition that nobody else has. What came of it is
// taken in; a write without an answer may still be done, which the watch then reports.
func (f *Follower) saveOnce(ctx context.Context, object SavedObject) error {
	ctx, cancel := context.WithTimeout(ctx, f.options.Timing.StaleAfter)
	defer cancel()
	now, err := f.options.Source.Save(ctx, object)
	result := callAnswered
	if err != nil {
		result = callFailed
	}
	f.options.Metrics.StoreCall(callSave, result)
	switch {
	case now != nil:
		f.applySaved(now, true)
	case err != nil:
		f.resetSavedRevision()
	}
	if err == nil {
		f.options.Log.Info("quarantine saved", "revision", object.Revision, "bytes", len(object.Body))
		return nil
	}
	return fmt.Errorf("on condition of revision %d: %w", object.Revision, err)
}
