package reader

import (
	"cmp"
	"slices"
	"time"
)

const (
	// maxConcurrentTries is how many gateways at once try to read the store on behalf of
	// those that know of the tries. If all of them are turned away, others follow.
	maxConcurrentTries = 3
	// pendingTryHold is for how long such a try holds others back. A read of all targets
	// takes a tenth of a second, and its result reaches the whole fleet soon after.
	pendingTryHold = 500 * time.Millisecond
	// maxTries is how many tries are remembered and sent. They are sent for publishFor,
	// until no gateway is held back by one any more, and a gateway that does not know one is
	// sent it at once for spreadFor. They are remembered for far longer: a try that is
	// forgotten as soon as it is no longer sent counts as new again when it is sent by a
	// gateway that received it a moment later. Fleets exchanged such tries without end in
	// some runs of the tests of this package's users.
	maxTries    = 2 * maxConcurrentTries
	publishFor  = 2 * time.Second
	spreadFor   = publishFor / 2
	rememberFor = 5 * publishFor
)

// Try is an attempt of a gateway to read the store on behalf of all whose state is out of
// date. Gateways send it to each other by net/rpc.
type Try struct {
	// ID identifies the gateway, and Number increases with each of its tries: the time when
	// the try began, in Unix nanoseconds by the gateway's own clock. It gives the tries of
	// all gateways the same order everywhere, however long updates about them are in
	// transit.
	ID     string
	Number int64
	// Ago is how long ago it began.
	Ago time.Duration
	// Failed means that the call to the store failed.
	Failed bool
}

type try struct {
	id     string
	number int64
	at     time.Time
	failed bool
}

// Tries holds the latest known attempts of all gateways to read the store, including this
// one's. The zero value is empty.
type Tries struct {
	latest  []try // one per gateway, the latest first
	version int
}

// Version returns a number that changes with each new try and each newly known failure.
func (t *Tries) Version() int { return t.version }

// Add adds a try and reports whether it, or its failure, was unknown.
func (t *Tries) Add(now time.Time, reported Try) (isNew bool) {
	if reported.Ago >= publishFor {
		return false
	}
	received := try{id: reported.ID, number: reported.Number, at: now.Add(-reported.Ago), failed: reported.Failed}
	i := slices.IndexFunc(t.latest, func(known try) bool { return known.id == reported.ID })
	switch {
	case i >= 0 && t.latest[i].number == reported.Number:
		return t.markFailed(i, reported.Failed)
	case i >= 0 && t.latest[i].number > reported.Number:
		return false
	case i >= 0:
		t.latest[i] = received
	default:
		t.latest = append(t.latest, received)
	}
	t.trim(now)
	if isNew = slices.Contains(t.latest, received); isNew {
		t.version++
	}
	return isNew
}

// markFailed marks a known try as failed if it has, and reports whether that was unknown.
func (t *Tries) markFailed(i int, failed bool) (isNew bool) {
	if !failed || t.latest[i].failed {
		return false
	}
	t.latest[i].failed = true
	t.version++
	return true
}

// trim drops tries older than rememberFor, and all but the latest maxTries.
func (t *Tries) trim(now time.Time) {
	t.latest = slices.DeleteFunc(t.latest, func(known try) bool { return now.Sub(known.at) >= rememberFor })
	slices.SortFunc(t.latest, func(a, b try) int {
		return cmp.Or(cmp.Compare(b.number, a.number), cmp.Compare(a.id, b.id))
	})
	t.latest = t.latest[:min(maxTries, len(t.latest))]
}

// Published returns the tries to send to other gateways.
func (t *Tries) Published(now time.Time) []Try {
	var out []Try
	for _, known := range t.latest {
		if ago := now.Sub(known.at); ago < publishFor {
			out = append(out, Try{ID: known.id, Number: known.number, Ago: ago, Failed: known.failed})
		}
	}
	return out
}

// AnyMissingIn reports whether a recent try, or its failure, is missing in those that another
// gateway reported.
func (t *Tries) AnyMissingIn(now time.Time, reported []Try) bool {
	return slices.ContainsFunc(t.latest, func(known try) bool {
		included := slices.ContainsFunc(reported, func(other Try) bool {
			same := other.Number == known.number && (other.Failed || !known.failed)
			return other.ID == known.id && (other.Number > known.number || same)
		})
		return !included && now.Sub(known.at) < spreadFor
	})
}

// PendingAge returns how long ago maxConcurrentTries other gateways had begun their latest
// tries, of those that may still succeed; never if there are fewer.
func (t *Tries) PendingAge(now time.Time, self string) time.Duration {
	return t.ageOfEnough(now, func(known try) bool { return known.id != self && !known.failed })
}

// Age returns the same for all tries, including those that are known to have failed.
func (t *Tries) Age(now time.Time, self string) time.Duration {
	return t.ageOfEnough(now, func(known try) bool { return known.id != self })
}

// ageOfEnough returns how long ago maxConcurrentTries of the tries that count had begun.
func (t *Tries) ageOfEnough(now time.Time, counts func(known try) bool) time.Duration {
	others := slices.DeleteFunc(slices.Clone(t.latest), func(known try) bool { return !counts(known) })
	if len(others) < maxConcurrentTries {
		return never
	}
	slices.SortFunc(others, func(a, b try) int { return b.at.Compare(a.at) })
	return now.Sub(others[maxConcurrentTries-1].at)
}
