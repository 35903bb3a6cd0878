// Package reader decides which gateways read the store: one for the whole fleet,
// others only when it falls silent. All others hear from those, since the store
// counts each call and its rates grow more slowly than the fleet.
//
// It owns that rule and its constants. It relies on a gateway's place in the order
// of readers (rendezvous hashing, core/member) and on how old its knowledge is
// (core/gateway/freshness). It does no I/O and reads no clock. Nothing is agreed:
// two gateways that rank differently both read, which costs calls and nothing else.
//
// Measured: with two watches a gateway, calls to the store cost more than all that
// a day earned on the grown sites (worth -0.5 on the quiet day, a trial); with one
// reader 69 to 82 calls on the quiet days (docs/DESIGN.md, "Costs").
//
// # Usage
//
//	wait := reader.Until(reader.State{Rank: rank, Knows: true, Age: age, ...}, timing)
//	if wait <= 0 {
//		// this gateway reads the store now
//	}
package reader

import "time"

// Role is the name by which gateways rank for reading the store.
const Role = "reader"

const (
	// readers is how many gateways of the whole fleet read the store, and
	// standbys how many are the first to do so when these fall silent. Without
	// any, a reader cut from the store alone broke the rule on configurations on a
	// hunted day (docs/INCIDENTS.md); that there are two is chosen.
	readers  = 1
	standbys = 2
	// settleTime is how long a gateway that has just begun looks for others
	// before it believes that the reading falls to it. Chosen: some exchanges
	// with a seed.
	settleTime = 400 * time.Millisecond
	// firstSettleTime is that time where the whole fleet is new: no client is
	// waiting, and all would read at once. Chosen.
	firstSettleTime = 1200 * time.Millisecond
	// rankDelay spreads the gateways that are neither reader nor standby by rank,
	// up to maxRankDelay, so that the first of them spares the others the call.
	// Chosen: one call takes some milliseconds.
	rankDelay    = 30 * time.Millisecond
	maxRankDelay = 300 * time.Millisecond
	// followersDelay is how much later gateways that are no readers read targets
	// after an outage of the store. Chosen: the reader's list is there by then.
	followersDelay = 500 * time.Millisecond
)

// Timing holds how old knowledge may grow before others read.
type Timing struct {
	// Standby is the age at which the standbys read, Alone that for all others.
	Standby time.Duration
	Alone   time.Duration
}

// State is what a gateway knows of itself when it decides whether to read.
type State struct {
	// Rank is the gateway's place in the order of readers, from 0.
	Rank int
	// FirstStart says that the whole fleet starts for the first time.
	FirstStart bool
	// Running is how long the gateway has run.
	Running time.Duration
	// Knows says that it has a configuration and targets, from whomever, and
	// Confirmed that some gateway has confirmed them.
	Knows     bool
	Confirmed bool
	// Age is how long ago they were confirmed.
	Age time.Duration
	// Reads says that it reads now, and OutrankedAge how long ago the reading of a
	// gateway that ranks before it confirmed what it knows.
	Reads        bool
	OutrankedAge time.Duration
}

// Until is how long a gateway need not read the store, as things stand; 0 or less
// if the reading falls to it.
func Until(s State, t Timing) time.Duration {
	if left := SettleTime(s.FirstStart) - s.Running; left > 0 && (s.Knows || s.FirstStart) {
		return left
	}
	if !s.Knows && !s.FirstStart {
		return 0 // clients are waiting
	}
	if IsReader(s.Rank) {
		return 0
	}
	limit := ageLimit(s.Rank, t)
	switch {
	case s.Reads:
		// What this gateway reads itself is no reason to stop.
		return limit - s.OutrankedAge
	case s.FirstStart && !s.Confirmed:
		return limit + firstSettleTime - s.Running
	default:
		return limit - s.Age
	}
}

// ageLimit is how old the knowledge of a gateway that is no reader may grow.
func ageLimit(rank int, t Timing) time.Duration {
	if IsPreferred(rank) {
		return t.Standby
	}
	return t.Alone + min(time.Duration(rank)*rankDelay, maxRankDelay)
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
