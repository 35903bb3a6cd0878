// Package reader decides which gateways read the store: one for the whole fleet,
// others only when it falls silent. All others get updates from those, since the store
// counts each call and its rates grow more slowly than the fleet.
//
// It owns that rule, its constants, and what is known of other gateways' attempts
// (Tries). It relies on a gateway's place in the order of readers (rendezvous hashing,
// core/gateway/peers), on how old its knowledge is (core/gateway/freshness) and on a
// random draw. It does no I/O and reads no clock. Nothing is agreed: two gateways that
// rank differently both read, which costs calls and nothing else.
//
// A gateway that is neither reader nor standby can't know how many others have fallen
// silent with it, nor rank among those that still answer. So it waits for a time drawn
// from a distribution that rises exponentially (Delay): of a thousand gateways a few
// are early, of two both are late, and what the first of them reads, or that it tries
// to, spares the others the call. This is the timer of reliable multicast's negative
// acknowledgements.
//
// Two watches a gateway would cost users of large fleets more than all that is served earns them
// (docs/DESIGN.md, "Costs"). How few read when many fall silent together: internal/gateway/discovery's
// tests.
//
// # Usage
//
//	wait := reader.Until(reader.State{Rank: rank, Knows: true, Age: age, ...}, timing)
//	if wait <= 0 {
//		// this gateway reads the store now
//	}
package reader

import (
	"math"
	"time"
)

const (
	// readers is how many gateways of the whole fleet read the store, and
	// standbys how many are the first to do so when these fall silent. Without
	// any, a reader cut from the store alone would leave all without its changes.
	readers  = 1
	standbys = 2
	// settleTime is how long a gateway that has just begun looks for others
	// before it believes that the reading falls to it: some exchanges
	// with a seed.
	settleTime = 400 * time.Millisecond
	// firstSettleTime is that time where the whole fleet is new: no client is
	// waiting, and all would read at once.
	firstSettleTime = 1200 * time.Millisecond
	// staleReadSpread is the time over which gateways that know nothing, and whose clients
	// wait, read the store's older copy, evenly, unless another offers what it knows. A
	// list of 719 targets is 250 kB, and a whole fleet that asks for it at once fills the
	// store's link: with 0.1 s, half of 461 gateways that had lost power together knew
	// the configuration 0.48 s after their start.
	staleReadSpread = 450 * time.Millisecond
	// seedSpread is the time over which gateways read that others turn to when they
	// start: these should know first.
	seedSpread = 30 * time.Millisecond
	// rankTime is how long a gateway that has just begun leaves the reading to whoever
	// confirms what it knows, though it takes itself for the first in rank: it knows few
	// others yet. Without it 10 or 11 of 100 that had lost power together took the reading
	// up, with 52 to 67 calls to the store (30 fleets in virtual time).
	rankTime = 3 * time.Second
	// offerTrust is how long a gateway that knows nothing counts on another's offer to
	// send it everything.
	offerTrust = 300 * time.Millisecond
	// steepness is that of the distribution of delays: e to its power is the number
	// of gateways, some thousands, of which about one is early.
	steepness = 7.5
	// minFailedHold is for how long tries that failed hold others back at least, and
	// failedHoldShare how much of the time for which nobody succeeded they do. With
	// tryHold for these, too, a configuration was not in force after 2.5 s where a third
	// of 95 gateways was turned away and a quarter cut off: the reader and three more
	// failed within 1.4 s, the next began to try 0.9 s later.
	minFailedHold   = 60 * time.Millisecond
	failedHoldShare = 0.4
	// followersDelay is how much later gateways that are no readers read targets
	// after an outage of the store. The reader's list is there by then.
	followersDelay = 500 * time.Millisecond
	// never means a time that has not begun.
	never = time.Duration(math.MaxInt64)
)

// Timing holds how old knowledge may grow before others read.
type Timing struct {
	// Standby is the age at which the standbys read, Alone that from which on others
	// do, and Last that by which all have.
	Standby time.Duration
	Alone   time.Duration
	Last    time.Duration
}

// State is what a gateway knows of itself when it decides whether to read.
type State struct {
	// Rank is the gateway's place in the order of readers, from 0.
	Rank int
	// Draw is a random number in [0, 1), a new one for each time that the gateway has
	// laid down the reading. With one that was drawn when it took the reading up, it laid
	// it down at once where the new delay was longer, and took it up again, up to 3 times
	// in 0.2 s (fleets in virtual time that were cut in two).
	Draw float64
	// FirstStart says that the whole fleet starts for the first time.
	FirstStart bool
	// Seed says that other gateways turn to this one when they start, and Alone that it
	// knows none.
	Seed  bool
	Alone bool
	// Running is how long the gateway has run, and InCompany how long it has known any
	// other.
	Running   time.Duration
	InCompany time.Duration
	// Knows says that it has a configuration and targets, from whomever, and
	// Confirmed that some gateway has confirmed them.
	Knows     bool
	Confirmed bool
	// OfferAge is how long ago another gateway last offered to send what it knows.
	OfferAge time.Duration
	// Age is how long ago what is known was confirmed.
	Age time.Duration
	// Reads says that it reads now and its calls succeed, and OutrankedAge how long
	// ago the reading of a gateway that ranks before it confirmed what it knows.
	Reads        bool
	OutrankedAge time.Duration
	// HeldFor is how long ago enough other gateways had begun to try that may still
	// succeed (Tries.HeldFor), TriedFor how long ago enough had, whatever came of it.
	HeldFor  time.Duration
	TriedFor time.Duration
}

// Until is how long a gateway need not read the store, as things stand; 0 or less
// if the reading falls to it.
func Until(s State, t Timing) time.Duration {
	if left := SettleTime(s.FirstStart) - s.Running; left > 0 && (s.Knows || s.FirstStart) {
		return left
	}
	if !s.Knows && !s.FirstStart {
		return untilStarting(s, t)
	}
	if IsReader(s.Rank) && s.OutrankedAge >= t.Standby && !s.defers(t) {
		return 0
	}
	limit := ageLimit(s, t)
	switch {
	case s.Reads:
		// What this gateway reads itself is no reason to stop.
		return limit - s.OutrankedAge
	case s.FirstStart && !s.Confirmed:
		limit += firstSettleTime - s.Running
	default:
		limit -= s.Age
	}
	if IsPreferred(s.Rank) {
		return limit
	}
	return max(limit, held(s, t))
}

// defers says whether a gateway is too new to know its rank, while another reads for it.
func (s State) defers(t Timing) bool {
	return !s.Reads && s.Running < rankTime && s.Confirmed && s.Age < t.Standby
}

// untilStarting is how long a gateway that knows nothing need not read the store. Those
// that others turn to read at once; the first in rank when it has had time to learn of
// others; whoever finds none, and has had its stale read, as if it had fallen silent.
func untilStarting(s State, t Timing) time.Duration {
	var wait time.Duration
	switch {
	case s.Seed:
		wait = time.Duration(s.Draw*float64(seedSpread)) - s.Running
	case IsPreferred(s.Rank) && !s.Alone:
		// Not since its start: where those that others turn to came back 0.4 s later, 10 or
		// 11 of 100 took the reading up as soon as they had found one of them.
		wait = settleTime - s.InCompany
	default:
		wait = t.Alone + Delay(s.Draw, t.Last-t.Alone) - s.Running
	}
	if s.Running < t.Last {
		// Later, offers have come to nothing for long.
		wait = max(wait, offerTrust-s.OfferAge)
	}
	return max(wait, held(s, t))
}

// UntilStaleRead is how long a gateway that knows nothing, and whose clients wait, need not
// read the store's older copy.
func UntilStaleRead(s State) time.Duration {
	return max(time.Duration(s.Draw*float64(staleReadSpread))-s.Running, offerTrust-s.OfferAge)
}

// held is how long the tries of others hold a gateway back; it waits as if it had
// fallen silent when they began, for a time drawn anew. Tries that failed hold others
// back more briefly: the store may turn away some gateways alone. The longer nobody has
// succeeded, the longer they do, so that a store that is away is asked ever more seldom.
func held(s State, t Timing) time.Duration {
	spread := t.Last - t.Alone
	silent := min(s.Age, s.Running)
	failed := max(minFailedHold, time.Duration(failedHoldShare*float64(silent-t.Alone)))
	return max(tryHold+Delay(s.Draw, spread)-s.HeldFor, failed+Delay(s.Draw, spread/2)-s.TriedFor)
}

// Delay is how long a gateway waits, of a spread, that doesn't know how many others
// wait as well: draw is a random number in [0, 1).
func Delay(draw float64, spread time.Duration) time.Duration {
	share := math.Log1p(draw*math.Expm1(steepness)) / steepness
	return time.Duration(share * float64(spread))
}

// ageLimit is how old the knowledge of a gateway may grow that is not to read for all.
func ageLimit(s State, t Timing) time.Duration {
	if IsPreferred(s.Rank) {
		return t.Standby
	}
	return t.Alone + Delay(s.Draw, t.Last-t.Alone)
}

// IsReader says whether a gateway of a rank reads the store as long as it can.
func IsReader(rank int) bool { return rank < readers }

// IsPreferred says whether others turn to a gateway of a rank first: it is a
// reader or a standby.
func IsPreferred(rank int) bool { return rank < readers+standbys }

// SettleTime is how long a gateway that has just begun looks for others.
func SettleTime(firstStart bool) time.Duration {
	if firstStart {
		return firstSettleTime
	}
	return settleTime
}

// RestoreDelay is how long after the store's return from an outage a gateway of a
// rank reads the targets: restore is how soon the entries that lapsed meanwhile
// are there again.
func RestoreDelay(rank int, restore time.Duration) time.Duration {
	if IsReader(rank) {
		return restore
	}
	return restore + followersDelay
}
