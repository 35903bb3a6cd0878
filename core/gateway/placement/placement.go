// Package placement decides where a request is sent: which targets are probed for
// their load and in what order, which of those that answered is best, and
// whether the request is sent there, waits for a better one, or is refused.
//
// It owns these rules and their constants. It depends on load reports (core/gateway/load)
// and on the estimates for the service (core/gateway/estimate). It does no I/O, reads no
// clock and generates no random numbers: times, load reports and a shuffle function are
// passed in, and typed decisions are returned. internal/gateway/forward carries them out.
//
// One search for a target runs in rounds:
//
//  1. NewOrder sorts the targets into the order in which they are probed, those of
//     this gateway's hall first, then those of its region; Waves splits it into groups
//     that are probed at once. Other regions are left out unless this gateway's region
//     has no targets or has lost most of them.
//  2. Better selects the best of the targets that answer; an Idle one ends the
//     round.
//  3. Decide chooses what is done with the request; Wait starts another round.
//
// Other regions are left out while this gateway's region has targets because an answer from
// them takes a round trip longer, and because a region whose gateways look for free
// slots elsewhere takes them from the gateways there (docs/design/regions.md).
//
// Load is probed and not derived from the gateway's own requests because a gateway sends
// 5 to 12 requests a second, so that its own counts say next to nothing about a target
// (mean value per day .68 against .88, docs/DESIGN.md, "Which target"). Requests wait for
// a better target because nothing that happens later makes up for starting on a slow one.
//
// # Usage
//
//	deadlines := placement.NewDeadlines(received, route.Objective, usual)
//	order := placement.NewOrder(targets, filter, rand.Shuffle)
//	for _, wave := range order.Waves(scope) {
//		// probe the wave, keep the Better candidate, stop at an Idle one
//	}
//	decision := placement.Decide(placement.State{Now: now, Best: best, ...})
package placement

import (
	"time"

	"github.com/sprucecrank/sprucecrank/core/gateway/estimate"
	"github.com/sprucecrank/sprucecrank/core/gateway/load"
	"github.com/sprucecrank/sprucecrank/core/gateway/locality"
	"github.com/sprucecrank/sprucecrank/core/gateway/warmup"
)

// Candidate is a target with its state at the time of the probe.
type Candidate struct {
	// Report is the target's load; HasReport is false where it reported none.
	Report    load.Report
	HasReport bool
	// Healthy is the target's own health status.
	Healthy bool
	// Tier is how far the target is.
	Tier locality.Tier
	// RoundTrip is the round-trip time to another region; 0 for targets of the own
	// region.
	RoundTrip time.Duration
	// Predicted is the predicted time for the request, including the round trip to
	// another region. Saturated says whether it is longer because the target lacks free
	// slots.
	Predicted time.Duration
	Saturated bool
	// Reserved is how many of the target's slots are better left free.
	Reserved int
	// Cold says that the target is cold, and ColdAllowed that this gateway may currently
	// send a request to a cold target (core/gateway/warmup).
	Cold        bool
	ColdAllowed bool
}

// Room returns how many more requests the target should start now; a cold target starts
// one at a time.
func (c *Candidate) Room() int {
	if c.Cold {
		return c.coldRoom()
	}
	return max(c.Report.Free()-c.Reserved, 0)
}

func (c *Candidate) coldRoom() int {
	if c.ColdAllowed && warmup.Idle(c.Report.Running(), c.Report.Waiting()) {
		return 1
	}
	return 0
}

// Free reports whether the target reports a free slot that is worth using.
func (c *Candidate) Free() bool { return c.HasReport && c.Healthy && c.Room() > 0 }

// isLastSlot reports whether a request would use the last slot that is worth using.
func (c *Candidate) isLastSlot() bool { return c.Report.Slots() > 1 && c.Room() <= 1 }

// Idle reports whether no other target could be much better: it has a free slot, works at
// its usual speed, and is neither saturated nor cold.
func (c *Candidate) Idle() bool {
	return c.Free() && !c.Cold && !c.Saturated && c.Report.Slowness() <= estimate.MaxUsualSlowness
}

const (
	// hallPenalty is how much faster a target in another hall must be, to cover the round
	// trip and the cost of its traffic.
	hallPenalty = 20 * time.Millisecond
	// regionPenalty is the same for a target in another region, in addition to the
	// round-trip time that Predicted includes: traffic between regions costs more.
	regionPenalty = 2 * hallPenalty
	// unhealthyPenalty ranks targets that report themselves unhealthy behind all others.
	// They stay candidates because some report so although they are healthy.
	unhealthyPenalty = time.Minute
	// notAllowedPenalty ranks cold targets that may not get the request behind those that
	// may, however full these are.
	notAllowedPenalty = unhealthyPenalty / 2
)

// tierPenalty returns how much faster a target of a tier must be.
func tierPenalty(t locality.Tier) time.Duration {
	switch t {
	case locality.OwnHall:
		return 0
	case locality.OwnRegion:
		return hallPenalty
	default:
		return regionPenalty
	}
}

// cost returns the rank of a candidate: the predicted time plus penalties.
func (c *Candidate) cost() time.Duration {
	cost := c.Predicted + tierPenalty(c.Tier)
	if !c.Healthy {
		cost += unhealthyPenalty
	}
	if c.Cold && c.Room() == 0 {
		cost += notAllowedPenalty
	}
	return cost
}

// Better reports whether a candidate is better than another one. It is false for equal
// costs, so that the earlier candidate is kept.
func Better(c, than *Candidate) bool { return c.cost() < than.cost() }
