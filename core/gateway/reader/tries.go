package reader

import (
	"cmp"
	"slices"
	"time"
)

const (
	// enoughTries is how many gateways at once try to read the store for all that can
	// learn of them. Where all of them are turned away, others follow.
	enoughTries = 3
	// tryHold is for how long such a try holds others back. A read of all
	// targets takes a tenth of a second, and what it finds is everywhere soon after.
	tryHold = 500 * time.Millisecond
	// keptTries is how many tries are remembered and reported. They are sent for toldFor,
	// until nobody is held back by one any more, and are news to a gateway that has not
	// learnt of them for newsFor. They are remembered for far longer: one that is
	// forgotten as soon as it is no longer reported is news again when it is sent by a
	// gateway that learnt of it a moment later. Fleets went on exchanging such tries
	// without an end, on some runs of this package's users' tests.
	keptTries   = 2 * enoughTries
	toldFor     = 2 * time.Second
	newsFor     = toldFor / 2
	rememberFor = 5 * toldFor
)

// Try is an attempt of a gateway to read the store on behalf of all that have grown
// out of date, as gateways exchange it by net/rpc.
type Try struct {
	// ID is the gateway's, and Number greater for each of its tries: the time of day
	// when it began, in nanoseconds by its own clock. It orders the tries of all alike
	// everywhere, however long updates of them were on their way.
	ID     string
	Number int64
	// Ago is how long ago it began.
	Ago time.Duration
	// Failed says that the call did not succeed.
	Failed bool
}

type try struct {
	id     string
	number int64
	at     time.Time
	failed bool
}

// Tries are the latest attempts to read the store that a gateway has learnt of, its own
// among them. The zero value has none.
type Tries struct {
	kept    []try // one a gateway, the latest first
	version int
}

// Version changes with each new try that is noted.
func (t *Tries) Version() int { return t.version }

// Note takes in a try and says whether it is a new one.
func (t *Tries) Note(now time.Time, told Try) (isNew bool) {
	if told.Ago >= toldFor {
		return false
	}
	heard := try{id: told.ID, number: told.Number, at: now.Add(-told.Ago), failed: told.Failed}
	i := slices.IndexFunc(t.kept, func(k try) bool { return k.id == told.ID })
	switch {
	case i >= 0 && t.kept[i].number == told.Number:
		return t.noteFailed(i, told.Failed)
	case i >= 0 && t.kept[i].number > told.Number:
		return false
	case i >= 0:
		t.kept[i] = heard
	default:
		t.kept = append(t.kept, heard)
	}
	t.trim(now)
	if isNew = slices.Contains(t.kept, heard); isNew {
		t.version++
	}
	return isNew
}

// noteFailed takes in how a try that is known ended, and says whether that is new.
func (t *Tries) noteFailed(i int, failed bool) (isNew bool) {
	if !failed || t.kept[i].failed {
		return false
	}
	t.kept[i].failed = true
	t.version++
	return true
}

// trim forgets tries that are long past, and all but the latest.
func (t *Tries) trim(now time.Time) {
	t.kept = slices.DeleteFunc(t.kept, func(k try) bool { return now.Sub(k.at) >= rememberFor })
	slices.SortFunc(t.kept, func(a, b try) int {
		return cmp.Or(cmp.Compare(b.number, a.number), cmp.Compare(a.id, b.id))
	})
	t.kept = t.kept[:min(keptTries, len(t.kept))]
}

// Published are the tries that other gateways are sent.
func (t *Tries) Published(now time.Time) []Try {
	var out []Try
	for _, k := range t.kept {
		if ago := now.Sub(k.at); ago < toldFor {
			out = append(out, Try{ID: k.id, Number: k.number, Ago: ago, Failed: k.failed})
		}
	}
	return out
}

// Lacking says whether there is a try, or that one failed, that is missing in what
// another gateway reported.
func (t *Tries) Lacking(now time.Time, told []Try) bool {
	return slices.ContainsFunc(t.kept, func(k try) bool {
		known := slices.ContainsFunc(told, func(other Try) bool {
			same := other.Number == k.number && (other.Failed || !k.failed)
			return other.ID == k.id && (other.Number > k.number || same)
		})
		return !known && now.Sub(k.at) < newsFor
	})
}

// HeldFor is how long ago as many other gateways as are enough had begun their latest
// tries, of those that may still succeed; long if there are not so many.
func (t *Tries) HeldFor(now time.Time, self string) time.Duration {
	return t.begunBy(now, func(k try) bool { return k.id != self && !k.failed })
}

// TriedFor is the same of all tries, also of those that are known to have failed.
func (t *Tries) TriedFor(now time.Time, self string) time.Duration {
	return t.begunBy(now, func(k try) bool { return k.id != self })
}

// begunBy is how long ago as many as are enough of the tries that count had begun.
func (t *Tries) begunBy(now time.Time, counts func(k try) bool) time.Duration {
	others := slices.DeleteFunc(slices.Clone(t.kept), func(k try) bool { return !counts(k) })
	if len(others) < enoughTries {
		return never
	}
	slices.SortFunc(others, func(a, b try) int { return b.at.Compare(a.at) })
	return now.Sub(others[enoughTries-1].at)
}
