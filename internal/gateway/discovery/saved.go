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
	"github.com/sprucecrank/sprucecrank/internal/rawjson"
)

// Quarantined requests are also saved in the store, in one object that the readers of the
// store keep up to date: for a fleet that loses power as a whole, and for gateways that
// reach the store and no other gateway. The exchange between gateways is faster and needs
// no store, but its state is lost when all gateways stop.

const (
	// callSaved and callSave name the calls in metrics and log lines.
	callSaved = "saved"
	callSave  = "save"
	// savedWatchWait is how long a watch of the saved object waits. It confirms nothing, so
	// it need not return often: some 3 calls in 28 s, instead of 19 with the wait of the
	// other watches. It is shorter than the history that stores keep, some 20 s.
	savedWatchWait = 15 * time.Second
	// resaveAfter is the age at which the saved object is written again while its requests
	// keep arriving: some writes before they would expire by it.
	resaveAfter = 3 * time.Minute
)

// saved is the object in the store as last read or written.
type saved struct {
	// known says that it was read since this gateway became a reader.
	known    bool
	revision uint64 // 0 where there is none
	document savedDocument
}

// savedDocument is the content of the object.
type savedDocument struct {
	// WrittenAt is when it was written, in ms by the wall clock of the gateway that wrote
	// it.
	WrittenAt int64 `json:"writtenAtMs"`
	// Quarantined lists the fingerprints that are quarantined by the updates.
	Quarantined []string            `json:"quarantined"`
	Updates     []quarantine.Update `json:"words"`
}

// readSaved is the background task that watches the saved object while this gateway reads
// the store.
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

// callSaved makes one call and returns the revision of the store at which the next watch
// starts; at is 0 for the first call.
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

// applySaved applies what the store holds. If latest is nil, whole says that the store
// holds no object, as opposed to an unchanged one. An invalid object is written again.
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
	err := rawjson.UnmarshalAndLog(latest.Body, &f.saved.document, f.options.Log, "parts of the saved quarantine can't be decoded", "revision", latest.Revision)
	if err != nil {
		f.saved.document = savedDocument{}
		f.options.Log.Error("decoding the saved quarantine failed; it will be written again", "revision", latest.Revision, "error", err.Error())
		return
	}
	age := max(0, f.options.WallClock().Sub(time.UnixMilli(f.saved.document.WrittenAt)))
	f.mergeFatal(f.saved.document.aged(age), fromStore)
}

// aged returns the updates with ages increased by the time that has passed.
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

// resetSavedRevision makes the next write create the object: it may be gone, and if it is
// not, the store refuses the write and reports it.
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

// save is the background task that saves what is quarantined while this gateway reads the
// store.
func (f *Follower) save(ctx context.Context) error {
	retry := backoff.NewExponentialBackOff()
	retry.InitialInterval = initialRetry
	retry.MaxInterval = maxOtherRetry
	for ctx.Err() == nil {
		object, needed := f.objectToSave()
		if !needed {
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

// objectToSave returns the next version of the saved object. needed reports whether the
// present one lacks a quarantined request, or would expire although its requests keep
// arriving.
func (f *Follower) objectToSave() (object SavedObject, needed bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.saved.known || !f.fresh.WatchesLive(f.options.Clock()) {
		return object, false
	}
	updates, fingerprints := f.options.Fatal.QuarantinedUpdates()
	now := f.options.WallClock()
	lacks := slices.ContainsFunc(fingerprints, func(print string) bool { return !slices.Contains(f.saved.document.Quarantined, print) })
	age := now.Sub(time.UnixMilli(f.saved.document.WrittenAt))
	recurring := slices.ContainsFunc(updates, func(u quarantine.Update) bool { return u.Seen < resaveAfter })
	if !lacks && (age < resaveAfter || !recurring) {
		return object, false
	}
	body, err := json.Marshal(savedDocument{WrittenAt: now.UnixMilli(), Quarantined: fingerprints, Updates: updates})
	if err != nil {
		f.options.Log.Error("encoding the quarantine failed", "error", err.Error())
		return object, false
	}
	return SavedObject{Revision: f.saved.revision, Body: body}, true
}

// saveOnce writes the saved object on condition that nobody else has, and applies the
// result. A write without a response may still be applied, which the watch then reports.
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
	return fmt.Errorf("conditional write at revision %d: %w", object.Revision, err)
}
