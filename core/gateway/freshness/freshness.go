// Package freshness tracks how old a gateway's knowledge of the store is: when, and by
// whose reading, it was last confirmed to be everything that the store holds.
//
// It owns the state of the gateway's own watches (Watch), the age and origin of its known
// state (Tracker), and the detection of an outage of the store (outage.go). It has no
// dependencies, does no I/O and reads no clock.
//
// Known state has an age because a watch whose connection is cut gets no answer either:
// no answer means no change only as long as the connection is known to work. The age only
// grows as state is forwarded between gateways, so that two gateways can't keep each
// other's state fresh. This follows from a randomized test run that broke the rule on
// configurations in force (docs/INCIDENTS.md).
//
// # Usage
//
//	tracker := freshness.New(timing, peers.RanksBefore)
//	tracker.Config().Begin(now)
//	tracker.RecordAnswer(tracker.Config(), now, "gateway-1")
//	if tracker.Age(now) > limit {
//		// the known state has not been confirmed for too long
//	}
package freshness

import (
	"math"
	"slices"
	"time"
)

// Never is the age of state that no gateway has confirmed yet.
const Never = time.Duration(math.MaxInt64)

// oldShare is the share of the fresh age from which known state is old enough to be worth
// confirming at once. An update must then reduce the age by minGainShare of the time
// until the state is no longer fresh, and by at least minGainFloor of the fresh age: that
// halves the age at first, which reduced calls to the store from 995 to 741 on a recorded
// day, and requires less the closer the standbys are to reading (docs/INCIDENTS.md).
// notifyShare is by how much, as a share of the fresh age, an update must reduce the age
// for waiting gateways to check again: half of the age from which state is old, so that a
// gateway that could not confirm a peer's state can do so then. Checking at that point
// and when a peer's state becomes old, and not only at the end of a request, reduced the
// greatest age in a calm fleet of 60 from 1.61 to 1.03 s, with a limit of 1.5 s
// (internal/gateway/discovery's tests).
const (
	oldShare     = 0.5
	minGainShare = 0.5
	minGainFloor = 0.05
	notifyShare  = oldShare * minGainShare
)

// Timing holds the limits that freshness is judged by.
type Timing struct {
	// Fresh is the age below which known state counts as fresh.
	Fresh time.Duration
	// Watch is how long one watch of the store waits for changes, and WatchSlack
	// how much later its answer may come.
	Watch      time.Duration
	WatchSlack time.Duration
	// Outage is how long the known state can go unconfirmed before entries of targets may
	// have expired in the store.
	Outage time.Duration
}

// Tracker tracks the freshness of a gateway's known state. It is not safe for concurrent
// use.
type Tracker struct {
	timing      Timing
	config      Watch
	targets     Watch
	evacuations Watch
	rollouts    Watch
	// watches are those that must all be live; the watches of evacuations and rollouts
	// are included only if these are followed.
	watches []*Watch
	// confirmed is the latest time at which, according to this gateway's calls or those
	// of peers, the known state was everything that the store held.
	confirmed time.Time
	// origin is the id of the gateway whose reading confirmed the state at that time.
	origin string
	// ranksBefore reports which of two gateways ranks first for reading the store; reader
	// is the highest-ranked gateway whose reading recently confirmed any state, and
	// readAt the time of that reading.
	ranksBefore func(id, other string) bool
	reader      string
	readAt      time.Time
	// failedAt is when a call to the store last failed, made by any gateway.
	failedAt time.Time
	// returnedAt is when the store first answered after its latest outage.
	returnedAt time.Time
}

// New returns the tracker of a gateway without known state; ranksBefore reports which of
// two gateways, by their ids, ranks first for reading the store.
func New(t Timing, ranksBefore func(id, other string) bool) *Tracker {
	tracker := &Tracker{timing: t, ranksBefore: ranksBefore}
	tracker.watches = []*Watch{&tracker.config, &tracker.targets}
	return tracker
}

// FollowEvacuations adds the watch of evacuations, so that no state is confirmed without
// it.
func (t *Tracker) FollowEvacuations() { t.watches = append(t.watches, &t.evacuations) }

// FollowRollouts does the same for rollouts.
func (t *Tracker) FollowRollouts() { t.watches = append(t.watches, &t.rollouts) }

// Config returns the state of the watch of the configuration.
func (t *Tracker) Config() *Watch { return &t.config }

// Targets returns the state of the watch of the targets.
func (t *Tracker) Targets() *Watch { return &t.targets }

// Evacuations returns the state of the watch of the evacuations.
func (t *Tracker) Evacuations() *Watch { return &t.evacuations }

// Rollouts returns the state of the watch of the rollouts.
func (t *Tracker) Rollouts() *Watch { return &t.rollouts }

// Age returns how long ago the known state was confirmed; Never if it was not.
func (t *Tracker) Age(now time.Time) time.Duration {
	if t.confirmed.IsZero() {
		return Never
	}
	return now.Sub(t.confirmed)
}

// Confirmed reports whether the known state was ever confirmed.
func (t *Tracker) Confirmed() bool { return !t.confirmed.IsZero() }

// Fresh reports whether the known state was confirmed recently.
func (t *Tracker) Fresh(now time.Time) bool { return t.Age(now) < t.timing.Fresh }

// Origin returns the id of the gateway whose reading last confirmed the known state.
func (t *Tracker) Origin() string { return t.origin }

// Reader returns the highest-ranked gateway whose reading recently confirmed any state,
// and how long ago that was; the id is empty if there is none.
func (t *Tracker) Reader(now time.Time) (id string, age time.Duration) {
	return t.reader, now.Sub(t.readAt)
}

// RecordReader records that a gateway's reading confirmed some state at the given time,
// whether or not that is later than what is known here.
func (t *Tracker) RecordReader(at time.Time, id string) {
	switch {
	case id == "" || at.IsZero():
	case id == t.reader:
		t.readAt = latest(t.readAt, at)
	case t.reader == "" || at.Sub(t.readAt) > t.timing.Fresh:
		t.reader, t.readAt = id, at
	case t.ranksBefore(id, t.reader) && t.readAt.Sub(at) < t.timing.Fresh:
		t.reader, t.readAt = id, at
	}
}

// PrecedingReaderAge returns how long ago the reading of a gateway that ranks before self
// confirmed any state; Never if none did recently.
func (t *Tracker) PrecedingReaderAge(now time.Time, self string) time.Duration {
	if t.reader == "" || !t.ranksBefore(t.reader, self) {
		return Never
	}
	return now.Sub(t.readAt)
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// WatchesLive reports whether all of the gateway's own watches are live, so that a change
// would be reported at once.
func (t *Tracker) WatchesLive(now time.Time) bool {
	return !slices.ContainsFunc(t.watches, func(w *Watch) bool { return !w.isLive(now, t.timing) })
}

// Failing reports whether the latest call of any watch failed.
func (t *Tracker) Failing() bool { return slices.ContainsFunc(t.watches, (*Watch).Failing) }

// RecordAnswer records that a watch was answered, as self's own reading. Like Confirm it
// reports whether waiting gateways should check again.
func (t *Tracker) RecordAnswer(w *Watch, now time.Time, self string) (notify bool) {
	w.answered, w.confirmed = now, now
	return t.confirmSelf(self)
}

// RecordPing records that a ping sent at the given time reached the store: a watch that
// was waiting then had no change to report. Like Confirm it reports whether waiting
// gateways should check again.
func (t *Tracker) RecordPing(at time.Time, self string) (notify bool) {
	for _, w := range t.watches {
		w.confirmByPing(at, t.timing)
	}
	return t.confirmSelf(self)
}

// confirmSelf confirms the state up to the earliest time that all of the gateway's own
// watches confirm.
func (t *Tracker) confirmSelf(self string) (notify bool) {
	at := t.watches[0].confirmed
	for _, w := range t.watches[1:] {
		if w.confirmed.Before(at) {
			at = w.confirmed
		}
	}
	return t.Confirm(at, self)
}

// Confirm records that the known state was everything that the store held at the given
// time, by the reading of the gateway origin. It reports whether that reduced the age so
// much that gateways waiting for an update from this one should check again, because
// their state may be old, too.
func (t *Tracker) Confirm(at time.Time, origin string) (notify bool) {
	t.RecordReader(at, origin)
	if at.After(t.confirmed) {
		notify = at.Sub(t.confirmed) > time.Duration(notifyShare*float64(t.timing.Fresh))
		t.confirmed, t.origin = at, origin
	}
	return notify
}

// IsOld reports whether the known state is old enough to be worth confirming.
func (t *Tracker) IsOld(now time.Time) bool { return t.isAgeOld(t.Age(now)) }

// CanConfirm reports whether this gateway can confirm the state of another one, which was
// confirmed theirs ago: that state is old, and this gateway's is younger by enough. If
// the state is no longer fresh here, its age must be less than half of theirs: other
// gateways may still have fresh updates.
func (t *Tracker) CanConfirm(now time.Time, theirs time.Duration) bool {
	own := t.Age(now)
	if !t.Fresh(now) {
		return own < time.Duration(minGainShare*float64(theirs))
	}
	return t.isAgeOld(theirs) && theirs-own > t.minGain(theirs)
}

// minGain returns by how much an update must reduce the given age to be worth sending. It
// falls as the age grows: all ages grow at the same rate, so that the difference between
// two gateways stays the same, and a minimum that grew with the age would never be
// reached by waiting.
func (t *Tracker) minGain(age time.Duration) time.Duration {
	fresh := t.timing.Fresh
	share := time.Duration(minGainShare * float64(fresh-age))
	return max(share, time.Duration(minGainFloor*float64(fresh)))
}

// UntilOld returns how long it takes until state of the given age is old; 0 or less if it
// is.
func (t *Tracker) UntilOld(age time.Duration) time.Duration {
	return time.Duration(oldShare*float64(t.timing.Fresh)) - age
}

// isAgeOld reports whether state of the given age is worth confirming.
func (t *Tracker) isAgeOld(age time.Duration) bool {
	return age > time.Duration(oldShare*float64(t.timing.Fresh))
}
