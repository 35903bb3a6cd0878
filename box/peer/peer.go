// Package peer is the protocol between boxes: net/rpc over TCP with typed
// messages. A Link is one box's connection to another; it tells a silent box,
// frozen or cut off, from a slow answer by pinging while calls are outstanding.
//
// It owns the messages, whose exported fields are their form on the wire, and the
// liveness of a link. It relies on both ends being of versions that know each other's
// fields; it is not authenticated.
//
// # Usage
//
//	link := peer.NewLink(peer.LinkOptions{Address: "10.0.0.3:8100"})
//	var reply peer.AskReply
//	err := link.Call(ctx, peer.MethodAsk, peer.AskArgs{Service: "preview"}, &reply)
//	if errors.Is(err, peer.ErrSilent) { /* ask the next home */ }
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

// AskArgs asks the home of a service for slots.
type AskArgs struct {
	Service string
	ID      string
	Box     string
	Hall    string
	Kind    string
	Weight  int
	// Remaining is the time to the deadline; clocks of boxes are not compared.
	Remaining   time.Duration
	LongestWait time.Duration
	Usual       time.Duration
	Avoid       []string
	SpareOnly   bool
	// Count is how many slots are asked for; today always 1.
	Count int
}

// AskReply answers an ask; it comes once the ask is granted or refused.
type AskReply struct {
	State      ledger.State
	Target     string
	HedgeAfter time.Duration
	Reason     verdict.Reason
	RetryAfter time.Duration
	Waited     time.Duration
}

// Returned is one slot that goes back to its home.
type Returned struct {
	Service string
	ID      string
	Outcome ledger.Outcome
}

// ReturnArgs carries the slots that a box gives back.
type ReturnArgs struct {
	Box      string
	Returned []Returned
}

// ReconcileArgs names all that a box holds of a service.
type ReconcileArgs struct {
	Box     string
	Service string
	Held    []ledger.HeldGrant
	// New says that the box has not had the other as its home before.
	New bool
	// ProbeTime hands over the box's share of each target's measuring budget.
	ProbeTime map[string]time.Duration
}

// LeavingTarget is a target that takes no new work in its current life.
type LeavingTarget struct {
	Address string
	Start   uint64
}

// ExchangeArgs is what boxes tell each other regularly.
type ExchangeArgs struct {
	Self member.Box
	// Digest is equal where the same configuration is in force.
	Digest  uint64
	Leaving []LeavingTarget
	// Boxes names a few others, so that a box whose list lags hears of them.
	Boxes []member.Box
}

// ExchangeReply is the same news, the other way.
type ExchangeReply = ExchangeArgs

// SyncArgs names the versions that are in force at the caller and carries the
// entries that the other box is known to lack.
type SyncArgs struct {
	Versions map[string]uint64
	Entries  []accepted.Entry
}

// SyncReply carries the entries that the caller lacks and the versions of the
// box that answers.
type SyncReply struct {
	Versions map[string]uint64
	Entries  []accepted.Entry
}
