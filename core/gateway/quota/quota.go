// Package quota bounds the requests of each workspace, and those to each target that names a
// limit, all gateways together, without a call to the store and without agreement.
//
// Each subject of a limit has a home: of the few gateways that rank first among all, the one
// that rendezvous hashing names (Home). Its Ledger holds a token bucket for the subject, and
// every other gateway asks it for credit before a request goes anywhere (Borrower). What
// that costs grows with the requests, not with the fleet.
//
// The limit of a workspace is the configuration's, and the newest version holds. That of a
// target is what it last advertised, to whichever gateway: each knows what it got itself
// (Named), sends it to the home when it asks for credit, and gets back what is more recent.
// Gateways also pass on to each other what moved by much (Board).
//
// Views differ for a while when gateways go, come back or are cut off, and then a subject
// has two homes. So a home gives out only the part of a limit that falls to those gateways
// that take it for the home, of all that there were lately (Members): the parts of two
// homes sum up to one limit, whatever is cut off from what. A gateway that reaches nobody
// is its own home, with the part of one.
//
// It owns these rules. It does no I/O, reads no clock, takes no lock and draws no random
// numbers; internal/gateway/quota carries it out.
//
// Gateways send each other Want, Grant, Standing and Fleet by net/rpc: their fields are exported for
// its codec and keep their names.
//
// # Usage
//
//	ledger := quota.NewLedger(quota.ID("gateway-1"), started, tolerance)
//	ledger.Observe(now, standing)             // each gateway, about once a second
//	grant, ok := ledger.Take(now, quota.Want{Workspace: "harbour", Limit: limit, Count: 1})
package quota

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Subject is what a limit bounds: the requests of a workspace, or those to one start of a
// target. One of the two is empty.
type Subject struct {
	Workspace string
	Target    string
}

// key is what the home is found by.
func (s Subject) key() string {
	if s.Target != "" {
		return "target\x00" + s.Target
	}
	return s.Workspace
}

// Limit bounds the requests of a subject.
type Limit struct {
	// Rate is how many requests a second are allowed; 0 for no limit.
	Rate float64
	// Burst is how many more are allowed at once.
	Burst float64
}

// IsSet says whether there is a limit.
func (l Limit) IsSet() bool { return l.Rate > 0 }

// ID represents a gateway in messages. Of 2,072 gateways two are alike in one fleet of 2,000,
// and count as one.
func ID(gateway string) uint32 { return uint32(xxhash.Sum64String("gateway\x00" + gateway)) }

// Heartbeat is what a gateway says of itself to a home.
type Heartbeat struct {
	// From is the gateway, Homes those that it takes for the homes of workspaces.
	From  uint32
	Homes []uint32
	// Counts says that it is one of those by which parts are measured: all gateways of a
	// small fleet, an even share of a large one.
	Counts bool
	// Stands is for how many gateways it stands, if it counts; 0 of one of an earlier version,
	// which represents one.
	Stands int
	// Fleet is the greatest fleet that it has lately learnt of.
	Fleet Fleet
	// Left is how long ago a home last answered to which the gateway does not turn any more,
	// the latest one; 0 where that is long ago, or its process has ended.
	Left time.Duration
}

func (h Heartbeat) weight() int { return max(h.Stands, 1) }

// Fleet is how many gateways there were, some time ago, by those that count.
type Fleet struct {
	Size int
	Age  time.Duration
}

// CreditRequest asks for credit for requests of a subject.
type CreditRequest struct {
	// Workspace or Target names the subject.
	Workspace string
	Target    string
	// Limit is a workspace's by a version of the configuration, or what a target reported Age ago.
	Limit   Limit
	Version uint64
	Age     time.Duration
	// Count is how many requests wait, or were refused since the question before; 0 to report
	// the limit alone.
	Count int
}

// Subject is what the limit bounds.
func (r CreditRequest) Subject() Subject { return Subject{Workspace: r.Workspace, Target: r.Target} }

// Grant is the credit that is given.
type Grant struct {
	Count int
	// Pause is for how long there is nothing more to be had, if there was too little, and
	// Permille the part of the limit that the home then gave out, in thousandths.
	Pause    time.Duration
	Permille int
	// Newer says that the home knows a more recent limit of a target than it was asked with:
	// Rate, 0 for none, as it was advertised Age ago.
	Newer bool
	Rate  float64
	Age   time.Duration
}

// Home names the one of some gateways that is the home of a subject; false if there are none.
func Home(s Subject, gateways []uint32) (home uint32, ok bool) {
	var best uint64
	key := xxhash.Sum64String(s.key())
	for _, gateway := range gateways {
		if score := hashPair(key, uint64(gateway)); !ok || score > best {
			home, best, ok = gateway, score, true
		}
	}
	return home, ok
}

// hashPair hashes two numbers.
func hashPair(a, b uint64) uint64 {
	var buffer [16]byte
	binary.LittleEndian.PutUint64(buffer[:8], a)
	binary.LittleEndian.PutUint64(buffer[8:], b)
	return xxhash.Sum64(buffer[:])
}
