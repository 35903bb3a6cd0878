// Package peer is the protocol between boxes: net/rpc over TCP with typed
// messages. A Link is one box's connection to another; it distinguishes a box that
// is suspended or partitioned from a slow answer by pinging while calls are
// outstanding.
//
// It owns the messages, whose exported fields are their wire format, and the
// liveness check of a link. It relies on both ends running versions that know each
// other's fields; it is not authenticated.
//
// # Usage
//
//	link := peer.NewLink(peer.LinkOptions{Address: "10.0.0.3:8100"})
//	var reply peer.AskReply
//	err := link.Call(ctx, peer.MethodAsk, peer.AskArgs{Service: "preview"}, &reply)
//	if errors.Is(err, peer.ErrUnresponsive) { /* try the next home */ }
package peer

import (
	"time"

	"github.com/sprucecrank/sprucecrank/core/box/accepted"
	"github.com/sprucecrank/sprucecrank/core/box/ledger"
	"github.com/sprucecrank/sprucecrank/core/member"
	"github.com/sprucecrank/sprucecrank/verdict"
)

// ServiceName is the net/rpc name under which a box serves its peers.
const ServiceName = "Peer"

// The methods of a box, for Link.Call.
const (
	MethodPing      = ServiceName + ".Ping"
	MethodAsk       = ServiceName + ".Ask"
	MethodReturn    = ServiceName + ".Return"
	MethodReconcile = ServiceName + ".Reconcile"
	MethodExchange  = ServiceName + ".Exchange"
	MethodSync      = ServiceName + ".Sync"
)

// Empty is a message without content.
type Empty struct{}

// AskArgs requests slots from the home of a service.
type AskArgs struct {
	Service string
	ID      string
	Box     string
	Hall    string
	Kind    string
	Weight  int
	// Remaining is the time to the deadline; clocks of boxes are not compared.
	Remaining time.Duration
	// LongestWait bounds the time in the queue of the home.
	LongestWait time.Duration
	// Usual is the duration to expect of a request of the kind as long as the home has
	// observed none.
	Usual time.Duration
	// Avoid lists targets of which no slot must be granted, such as those that the
	// request was already sent to.
	Avoid []string
	// SpareOnly refuses the request if no slot is free, instead of queueing it.
	SpareOnly bool
	// Count is how many slots are requested; currently always 1.
	Count int
}

// AskReply answers AskArgs; it is sent once the request is granted or refused.
type AskReply struct {
	State      ledger.State
	Target     string
	HedgeAfter time.Duration
	Reason     verdict.Reason
	RetryAfter time.Duration
	Waited     time.Duration
}

// Returned is one slot that is returned to its home.
type Returned struct {
	Service string
	ID      string
	Outcome ledger.Outcome
}

// ReturnArgs lists the slots that a box returns.
type ReturnArgs struct {
	Box      string
	Returned []Returned
}

// ReconcileArgs lists all the grants of a service that a box holds.
type ReconcileArgs struct {
	Box     string
	Service string
	Held    []ledger.HeldGrant
	// New is whether the receiver has just become the home for the box.
	New bool
	// ProbeTime transfers the box's share of the probe budget of each target.
	ProbeTime map[string]time.Duration
}

// LeavingTarget is a target that accepts no new requests in its current incarnation.
type LeavingTarget struct {
	Address string
	Start   uint64
}

// ExchangeArgs is the update that boxes send each other regularly.
type ExchangeArgs struct {
	Self member.Box
	// Digest is equal where the same configuration is in force.
	Digest  uint64
	Leaving []LeavingTarget
	// Boxes lists a few other boxes, so that a box with an outdated list learns of them.
	Boxes []member.Box
}

// ExchangeReply is the same update in the opposite direction.
type ExchangeReply = ExchangeArgs

// SyncArgs lists the versions that are in force at the caller and the entries that
// the other box is known to lack.
type SyncArgs struct {
	Versions map[string]uint64
	Entries  []accepted.Entry
}

// SyncReply lists the entries that the caller lacks and the versions of the
// answering box.
type SyncReply struct {
	Versions map[string]uint64
	Entries  []accepted.Entry
}
