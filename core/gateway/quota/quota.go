// Package quota limits the requests of each workspace, and those to each target that advertises
// a limit, across all gateways, without calls to the store and without consensus.
//
// Each subject of a limit has a home: of the few gateways that rank first among all, the one
// that rendezvous hashing selects (Home). The Ledger of the home holds a token bucket for the
// subject, and every other gateway asks the home for credit before it forwards a request
// (LocalCredit). The cost grows with the number of requests, not with the size of the fleet.
//
// The limit of a workspace comes from the configuration, and the newest version applies. The
// limit of a target is what it last advertised, to whichever gateway: each gateway knows what
// it received itself (KnownLimit), sends it to the home when it asks for credit, and receives
// more recent limits in reply. Gateways also exchange limits that changed considerably
// (SharedLimits).
//
// When gateways stop, come back or are partitioned, views differ for a while and a subject has
// two homes. A home therefore grants only the share of a limit that belongs to the gateways
// that use it as the home, out of all gateways that were there recently (Members). So the
// shares of two homes add up to one limit, whatever the partition. A gateway that reaches no
// other is its own home, with the share of one gateway.
//
// The package owns these rules. It does no I/O, reads no clock, takes no locks and draws no
// random numbers; internal/gateway/quota applies the rules.
//
// Gateways exchange CreditRequest, Grant, Heartbeat and Fleet by net/rpc: the fields are
// exported for its codec and must keep their names.
//
// # Usage
//
//	ledger := quota.NewLedger(quota.ID("gateway-1"), started, tolerance)
//	ledger.Observe(now, heartbeat)            // each gateway, about once a second
//	grant, ok := ledger.Grant(now, quota.CreditRequest{Workspace: "harbour", Limit: limit, Count: 1})
package quota

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Subject is what a limit applies to: the requests of a workspace, or those to one incarnation
// of a target. One of the two fields is empty.
type Subject struct {
	Workspace string
	Target    string
}

// key is the hash key that selects the home.
func (s Subject) key() string {
	if s.Target != "" {
		return "target\x00" + s.Target
	}
	return s.Workspace
}

// Limit limits the requests of a subject.
type Limit struct {
	// Rate is the allowed number of requests per second; 0 for no limit.
	Rate float64
	// Burst is how many more are allowed at once.
	Burst float64
}

// IsSet reports whether there is a limit.
func (l Limit) IsSet() bool { return l.Rate > 0 }

// ID returns the number that identifies a gateway in messages. In one of 2,000 fleets of 2,072
// gateways, two gateways have the same ID and count as one.
func ID(gateway string) uint32 { return uint32(xxhash.Sum64String("gateway\x00" + gateway)) }

// Heartbeat is what a gateway reports about itself to a home.
type Heartbeat struct {
	// From is the gateway, Homes the gateways that it uses as homes.
	From  uint32
	Homes []uint32
	// Counts is set if the gateway is sampled: all gateways of a small fleet, an even share of
	// those of a large one. Shares are measured with sampled gateways only.
	Counts bool
	// Stands is how many gateways a sampled one represents; 0 is sent by an earlier version and
	// means one.
	Stands int
	// Fleet is the largest fleet size that the gateway learned of recently.
	Fleet Fleet
	// Left is how long ago the gateway last received a reply from a home that it no longer
	// uses, the latest such home; 0 if that is long ago or the home's process has ended.
	Left time.Duration
}

func (h Heartbeat) weight() int { return max(h.Stands, 1) }

// Fleet is the number of gateways some time ago, as measured with the sampled ones.
type Fleet struct {
	Size int
	Age  time.Duration
}

// CreditRequest asks for credit for requests of a subject.
type CreditRequest struct {
	// Workspace or Target identifies the subject.
	Workspace string
	Target    string
	// Limit is that of a workspace in a configuration version, or the one that a target
	// advertised Age ago.
	Limit   Limit
	Version uint64
	Age     time.Duration
	// Count is how many requests wait or were refused since the previous credit request; 0 to
	// report only the limit.
	Count int
}

// Subject returns the subject of the limit.
func (r CreditRequest) Subject() Subject { return Subject{Workspace: r.Workspace, Target: r.Target} }

// Grant is the home's reply to a CreditRequest.
type Grant struct {
	Count int
	// If less was granted than asked for, Pause is how long no more credit will be available,
	// and Permille the share of the limit, in thousandths, that the home distributed.
	Pause    time.Duration
	Permille int
	// Newer is set if the home knows a more recent limit of a target than the credit request
	// contained: Rate, 0 for none, advertised Age ago.
	Newer bool
	Rate  float64
	Age   time.Duration
}

// Home returns the gateway that is the home of a subject; ok is false if there are no gateways.
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
