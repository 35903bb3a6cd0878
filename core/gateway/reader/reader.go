// Package reader decides which gateways read the store: one for the whole fleet, and
// others only when updates from it stop. The remaining gateways receive updates from the
// readers, since the store counts each call, and the rates that it allows grow more slowly
// than the fleet.
//
// The package defines that rule and its constants, and tracks the known attempts of other
// gateways (Tries). Its inputs are a gateway's rank in the order of readers (rendezvous
// hashing, core/gateway/peers), the age of its known state (core/gateway/freshness) and a
// random draw. It does no I/O and reads no clock. There is no consensus: two gateways that
// rank differently both read, which costs additional calls and nothing else.
//
// A gateway that is neither reader nor standby can't know how many others have stopped
// receiving updates, nor its rank among those that still answer. So it waits for a time
// drawn from a distribution that rises exponentially (Delay): of a thousand gateways a few
// are early, of two both are late, and the first of them spares the others the call by its
// result or its attempt. This is the timer of negative acknowledgements in reliable multicast.
//
// Two watches per gateway would cost users of large fleets more than the served requests
// earn them (docs/DESIGN.md, "Costs"). The tests of internal/gateway/discovery measure how
// few gateways read when many stop receiving updates together.
//
// # Usage
//
//	wait := reader.UntilRead(reader.State{Rank: rank, HasState: true, Age: age, ...}, timing)
//	if wait <= 0 {
//		// this gateway reads the store now
//	}
package reader

import (
	"math"
	"time"
)

const (
	// readerCount is how many gateways of the whole fleet read the store, and
	// standbyCount how many are the first to do so when updates from these stop. Without
	// standbys, a reader that is cut off from the store alone would leave the whole fleet
	// without changes.
	readerCount  = 1
	standbyCount = 2
	// settleTime is how long a gateway that has just started looks for others before it
	// decides that it is the reader: some exchanges with a seed.
	settleTime = 400 * time.Millisecond
	// firstStartSettleTime is that time if the whole fleet is new: no client is waiting,
	// and all gateways would read at once.
	firstStartSettleTime = 1200 * time.Millisecond
	// staleReadSpread is the time over which gateways without any state, and whose clients
	// wait, read the store's older copy, spread evenly, unless a peer offers its state. A
	// list of 719 targets is 250 kB, and a whole fleet that asks for it at once fills the
	// store's link: with 0.1 s, it took 0.48 s from their start until half of 461 gateways
	// that had lost power together had the configuration.
	staleReadSpread = 450 * time.Millisecond
	// seedSpread is the time over which seeds read the store: other gateways ask them when
	// they start, so they should have the state first.
	seedSpread = 30 * time.Millisecond
	// rankSettleTime is how long a gateway that has just started leaves the reading to any
	// peer that confirms its state, although it ranks first among those it knows: it knows
	// few others yet. Without it 10 or 11 of 100 that had lost power together became readers,
	// with 52 to 67 calls to the store (30 fleets in virtual time).
	rankSettleTime = 3 * time.Second
	// offerTimeout is how long a gateway without any state waits for a peer that has offered
	// to send its whole state.
	offerTimeout = 300 * time.Millisecond
	// delaySteepness shapes the distribution of delays: e to the power of it is the number
	// of gateways, some thousands, of which about one is early.
	delaySteepness = 7.5
	// minFailedTryHold is the least time for which failed tries hold others back, and
	// failedTryHoldShare the share of the time since the last success for which they do.
	// With pendingTryHold for failed tries as well, a configuration was not in force after
	// 2.5 s when a third of 95 gateways was turned away and a quarter cut off: the reader
	// and three more failed within 1.4 s, and the next try began 0.9 s later.
	minFailedTryHold   = 60 * time.Millisecond
	failedTryHoldShare = 0.4
	// followerRestoreDelay is how much later than the reader other gateways read the targets
	// after an outage of the store. The reader's list has reached them by then.
	followerRestoreDelay = 500 * time.Millisecond
	// never is the age of something that has not happened.
	never = time.Duration(math.MaxInt64)
)

// Timing holds the ages of the known state at which gateways read the store.
type Timing struct {
	// Standby is the age at which the standbys read, OthersFrom the age from which on other
	// gateways do, and OthersBy the age by which all have.
	Standby    time.Duration
	OthersFrom time.Duration
	OthersBy   time.Duration
}

// State is what a gateway knows of itself when it decides whether to read.
type State struct {
	// Rank is the gateway's place in the order of readers, from 0.
	Rank int
	// Draw is a random number in [0, 1), drawn anew each time that the gateway has stopped
	// reading. When it was drawn on starting to read, the gateway stopped at once if the new
	// delay was longer, and started again, up to 3 times in 0.2 s (fleets in virtual time
	// that were cut in two).
	Draw float64
	// FirstStart means that the whole fleet starts for the first time.
	FirstStart bool
	// Seed means that other gateways contact this one when they start, and HasNoPeers that
	// it knows no other gateway.
	Seed       bool
	HasNoPeers bool
	// Uptime is how long the gateway has run, and PeersKnownFor how long it has known any
	// other.
	Uptime        time.Duration
	PeersKnownFor time.Duration
	// HasState means that it has a configuration and targets, whatever their source, and
	// Confirmed that some gateway has confirmed them.
	HasState  bool
	Confirmed bool
	// OfferAge is how long ago a peer last offered to send its state.
	OfferAge time.Duration
	// Age is how long ago the known state was last confirmed.
	Age time.Duration
	// IsReading means that it reads the store and its calls succeed, and OutrankedAge is
	// how long ago a reader that ranks before it confirmed the known state.
	IsReading    bool
	OutrankedAge time.Duration
	// PendingTriesAge is how long ago maxConcurrentTries other gateways had begun tries that
	// may still succeed (Tries.PendingAge), and TriesAge the same for tries of any outcome.
	PendingTriesAge time.Duration
	TriesAge        time.Duration
}

// UntilRead returns how long a gateway need not read the store in its present state; 0 or
// less if it should read now.
func UntilRead(s State, t Timing) time.Duration {
	if left := SettleTime(s.FirstStart) - s.Uptime; left > 0 && (s.HasState || s.FirstStart) {
		return left
	}
	if !s.HasState && !s.FirstStart {
		return untilFirstRead(s, t)
	}
	if IsReader(s.Rank) && s.OutrankedAge >= t.Standby && !s.defersToReader(t) {
		return 0
	}
	limit := maxAge(s, t)
	switch {
	case s.IsReading:
		// Only a reader that ranks before it is a reason to stop, not its own reads.
		return limit - s.OutrankedAge
	case s.FirstStart && !s.Confirmed:
		limit += firstStartSettleTime - s.Uptime
	default:
		limit -= s.Age
	}
	if IsPreferred(s.Rank) {
		return limit
	}
	return max(limit, untilTriesExpire(s, t))
}

// defersToReader reports whether a gateway has run too briefly to know its rank while another
// gateway reads.
func (s State) defersToReader(t Timing) bool {
	return !s.IsReading && s.Uptime < rankSettleTime && s.Confirmed && s.Age < t.Standby
}

// untilFirstRead returns how long a gateway without any state need not read the store. Seeds
// read at once, gateways of the first ranks after they have had time to find others. A gateway
// that finds none, and has done its stale read, waits as if updates had stopped at its start.
func untilFirstRead(s State, t Timing) time.Duration {
	var wait time.Duration
	switch {
	case s.Seed:
		wait = time.Duration(s.Draw*float64(seedSpread)) - s.Uptime
	case IsPreferred(s.Rank) && !s.HasNoPeers:
		// Measured from its first peer, not from its start: when the seeds came back 0.4 s
		// later, 10 or 11 of 100 gateways began to read as soon as they had found a seed.
		wait = settleTime - s.PeersKnownFor
	default:
		wait = t.OthersFrom + Delay(s.Draw, t.OthersBy-t.OthersFrom) - s.Uptime
	}
	if s.Uptime < t.OthersBy {
		// After OthersBy, offers have failed for long and are ignored.
		wait = max(wait, offerTimeout-s.OfferAge)
	}
	return max(wait, untilTriesExpire(s, t))
}

// UntilStaleRead returns how long a gateway without any state, and whose clients wait, need
// not read the store's older copy.
func UntilStaleRead(s State) time.Duration {
	return max(time.Duration(s.Draw*float64(staleReadSpread))-s.Uptime, offerTimeout-s.OfferAge)
}

// untilTriesExpire returns how long the tries of others hold a gateway back. It draws a delay as if
// updates had stopped when they began. Failed tries hold others back more briefly, as the store
// may turn away only some gateways. The longer nobody has succeeded, the longer they do, so that
// calls become rarer while the store is unavailable.
func untilTriesExpire(s State, t Timing) time.Duration {
	spread := t.OthersBy - t.OthersFrom
	sinceSuccess := min(s.Age, s.Uptime)
	failed := max(minFailedTryHold, time.Duration(failedTryHoldShare*float64(sinceSuccess-t.OthersFrom)))
	return max(pendingTryHold+Delay(s.Draw, spread)-s.PendingTriesAge, failed+Delay(s.Draw, spread/2)-s.TriesAge)
}

// Delay returns how much of a spread a gateway waits that doesn't know how many others wait
// as well. draw is a random number in [0, 1).
func Delay(draw float64, spread time.Duration) time.Duration {
	share := math.Log1p(draw*math.Expm1(delaySteepness)) / delaySteepness
	return time.Duration(share * float64(spread))
}

// maxAge returns the age of the known state at which a gateway that is not the reader reads.
func maxAge(s State, t Timing) time.Duration {
	if IsPreferred(s.Rank) {
		return t.Standby
	}
	return t.OthersFrom + Delay(s.Draw, t.OthersBy-t.OthersFrom)
}

// IsReader reports whether a gateway of a rank reads the store whenever it can.
func IsReader(rank int) bool { return rank < readerCount }

// IsPreferred reports whether a gateway of a rank is a reader or a standby, which others
// ask for updates first.
func IsPreferred(rank int) bool { return rank < readerCount+standbyCount }

// SettleTime returns how long a gateway that has just started looks for others.
func SettleTime(firstStart bool) time.Duration {
	if firstStart {
		return firstStartSettleTime
	}
	return settleTime
}

// RestoreDelay returns how long after the end of a store outage a gateway of a rank reads
// the targets. restore is how long it takes until entries that lapsed during the outage are
// written again.
func RestoreDelay(rank int, restore time.Duration) time.Duration {
	if IsReader(rank) {
		return restore
	}
	return restore + followerRestoreDelay
}
