// Package freshness keeps how old a gateway's knowledge of the store is: when, and
// by whose reading, it was last known to be all that the store holds.
//
// It owns the state of the gateway's own watches (Watch), the age and origin of
// what it believes (Tracker), and what is known of an outage of the store
// (outage.go). It relies on nothing else, does no I/O and reads no clock.
//
// Knowledge has an age because a watch whose path is cut waits in silence: no
// answer means no change only as long as the path is known to stand. Age only
// grows on the way from gateway to gateway, so two can't hold each other fresh; a
// hunt that broke the rule on configurations in force led to it
// (docs/INCIDENTS.md).
//
// # Usage
//
//	tracker := freshness.New(timing, peers.RanksBefore)
//	tracker.Config().Begin(now)
//	tracker.Answered(tracker.Config(), now, "gateway-1")
//	if tracker.Age(now) > limit {
//		// nobody has confirmed for too long
//	}
package freshness

import (
	"math"
	"slices"
	"time"
)

// Never is the age of what no gateway has confirmed yet.
const Never = time.Duration(math.MaxInt64)

// oldShare is the share of the fresh age from which knowledge is old enough to be
// worth confirming at once. An update must then make it younger by gainShare of the time that
// is left until it is no longer fresh, and by leastShare of the fresh age: half as old at
// first, which took calls to the store from 995 to 741 on a recorded day, and less the
// nearer the standbys are to reading (docs/INCIDENTS.md). jumpShare is by how much, as a
// share of the fresh age, an update must make knowledge younger for those who wait to look
// again: half of what is old, so that whoever could not confirm theirs can do so then.
// Looking at that and when theirs grows old, and not at the end of a question alone, took
// the greatest age in a calm fleet of 60 from 1.61 to 1.03 s of 1.5
// (internal/gateway/discovery's tests).
const (
	oldShare   = 0.5
	gainShare  = 0.5
	leastShare = 0.05
	jumpShare  = oldShare * gainShare
)

// Timing holds the times by which knowledge is judged.
type Timing struct {
	// Fresh is the age below which knowledge counts as fresh.
	Fresh time.Duration
	// Watch is how long one watch of the store waits for changes, and WatchSlack
	// how much later its answer may come.
	Watch      time.Duration
	WatchSlack time.Duration
	// Outage is how long nothing can be confirmed before entries of targets may
	// have lapsed in the store.
	Outage time.Duration
}

// Tracker holds a gateway's freshness. It is not safe for concurrent use.
type Tracker struct {
	timing      Timing
	config      Watch
	targets     Watch
	evacuations Watch
	rollouts    Watch
	// watches are those that must all be in order: those of evacuations and rollouts only
	// where these are followed.
	watches []*Watch
	// confirmed is the latest moment at which, by own calls or those of other
	// gateways, what is believed was all that the store held.
	confirmed time.Time
	// origin is the id of the gateway whose reading confirmed it then.
	origin string
	// before says which of two gateways ranks first for reading the store; reader is
	// the first in rank of those whose reading confirmed anything lately, at read.
	before func(id, other string) bool
	reader string
	read   time.Time
	// failed is when a call to the store last failed, of whomever.
	failed time.Time
	// returned is when the store first answered after its latest outage.
	returned time.Time
}

// New makes a tracker of a gateway that knows nothing; before says which of two
// gateways, by their ids, ranks first for reading the store.
func New(t Timing, before func(id, other string) bool) *Tracker {
	tracker := &Tracker{timing: t, before: before}
	tracker.watches = []*Watch{&tracker.config, &tracker.targets}
	return tracker
}

// FollowEvacuations says that evacuations are watched as well, so that nothing is
// confirmed without them.
func (t *Tracker) FollowEvacuations() { t.watches = append(t.watches, &t.evacuations) }

// FollowRollouts says the same of the rollouts.
func (t *Tracker) FollowRollouts() { t.watches = append(t.watches, &t.rollouts) }

// Config is the state of the watch of the configuration.
func (t *Tracker) Config() *Watch { return &t.config }

// Targets is the state of the watch of the targets.
func (t *Tracker) Targets() *Watch { return &t.targets }

// Evacuations is the state of the watch of the evacuations.
func (t *Tracker) Evacuations() *Watch { return &t.evacuations }

// Rollouts is the state of the watch of the rollouts.
func (t *Tracker) Rollouts() *Watch { return &t.rollouts }

// Age is how long ago what is believed was confirmed; Never if it was not.
func (t *Tracker) Age(now time.Time) time.Duration {
	if t.confirmed.IsZero() {
		return Never
	}
	return now.Sub(t.confirmed)
}

// Confirmed says whether what is believed was ever confirmed.
func (t *Tracker) Confirmed() bool { return !t.confirmed.IsZero() }

// Fresh says whether what is believed was confirmed lately.
func (t *Tracker) Fresh(now time.Time) bool { return t.Age(now) < t.timing.Fresh }

// Origin is the id of the gateway whose reading last confirmed what is believed.
func (t *Tracker) Origin() string { return t.origin }

// Reader is the first in rank of the gateways whose reading confirmed anything lately,
// and how long ago that was; empty if there is none.
func (t *Tracker) Reader(now time.Time) (id string, age time.Duration) {
	return t.reader, now.Sub(t.read)
}

// NoteReader notes that the reading of a gateway confirmed something at a moment, be
// it more than is known here or not.
func (t *Tracker) NoteReader(at time.Time, id string) {
	switch {
	case id == "" || at.IsZero():
	case id == t.reader:
		t.read = latest(t.read, at)
	case t.reader == "" || at.Sub(t.read) > t.timing.Fresh:
		t.reader, t.read = id, at
	case t.before(id, t.reader) && t.read.Sub(at) < t.timing.Fresh:
		t.reader, t.read = id, at
	}
}

// OutrankedAge is how long ago the reading of a gateway that ranks before self
// confirmed anything; Never if it did not lately.
func (t *Tracker) OutrankedAge(now time.Time, self string) time.Duration {
	if t.reader == "" || !t.before(t.reader, self) {
		return Never
	}
	return now.Sub(t.read)
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// Reads says whether the gateway's own watches are in order, so that a change
// would be reported at once.
func (t *Tracker) Reads(now time.Time) bool {
	return !slices.ContainsFunc(t.watches, func(w *Watch) bool { return !w.live(now, t.timing) })
}

// Failing says whether the latest call of one of the watches failed.
func (t *Tracker) Failing() bool { return slices.ContainsFunc(t.watches, (*Watch).Failing) }

// Answered notes that a watch was answered, as self's own reading. Like Confirm it
// reports whether that made what is believed much younger.
func (t *Tracker) Answered(w *Watch, now time.Time, self string) (wasOld bool) {
	w.answered, w.confirmed = now, now
	return t.confirmSelf(self)
}

// Pinged notes that a ping that began at a moment reached the store: a watch that
// waited then had nothing to report. Like Confirm it reports whether what is believed
// had grown old.
func (t *Tracker) Pinged(at time.Time, self string) (wasOld bool) {
	for _, w := range t.watches {
		w.pinged(at, t.timing)
	}
	return t.confirmSelf(self)
}

// confirmSelf confirms what all of the gateway's own watches confirm.
func (t *Tracker) confirmSelf(self string) (wasOld bool) {
	at := t.watches[0].confirmed
	for _, w := range t.watches[1:] {
		if w.confirmed.Before(at) {
			at = w.confirmed
		}
	}
	return t.Confirm(at, self)
}

// Confirm notes that what is believed was all that the store held at a moment, by
// the reading of the gateway origin. It reports whether that made what is believed much
// younger, so that those who ask this gateway may have old knowledge, too.
func (t *Tracker) Confirm(at time.Time, origin string) (wasOld bool) {
	t.NoteReader(at, origin)
	if at.After(t.confirmed) {
		wasOld = at.Sub(t.confirmed) > time.Duration(jumpShare*float64(t.timing.Fresh))
		t.confirmed, t.origin = at, origin
	}
	return wasOld
}

// IsOld says whether what is believed has grown old enough to be worth confirming.
func (t *Tracker) IsOld(now time.Time) bool { return t.isOld(t.Age(now)) }

// Confirms says whether this gateway can confirm the knowledge of another one,
// which was confirmed theirs ago: that has grown old, and its own is younger by enough.
// What is no longer fresh here must be half as old: others may still have fresh updates.
func (t *Tracker) Confirms(now time.Time, theirs time.Duration) bool {
	own := t.Age(now)
	if !t.Fresh(now) {
		return own < time.Duration(gainShare*float64(theirs))
	}
	return t.isOld(theirs) && theirs-own > t.worthyGain(theirs)
}

// worthyGain is by how much an update must make knowledge of an age younger to be worth
// telling. It falls as the age grows: ages grow alike, so that the difference of two stays,
// and a gain that grew with the age would never be reached by waiting.
func (t *Tracker) worthyGain(age time.Duration) time.Duration {
	fresh := t.timing.Fresh
	gain := time.Duration(gainShare * float64(fresh-age))
	return max(gain, time.Duration(leastShare*float64(fresh)))
}

// UntilOld is how long it takes until knowledge of an age has grown old; 0 or less if it
// has.
func (t *Tracker) UntilOld(age time.Duration) time.Duration {
	return time.Duration(oldShare*float64(t.timing.Fresh)) - age
}

// isOld says whether knowledge of an age is worth confirming.
func (t *Tracker) isOld(age time.Duration) bool {
	return age > time.Duration(oldShare*float64(t.timing.Fresh))
}
