// Package placement decides where a request goes: which targets are probed for
// their load and in what order, which of those that answered is best, and
// whether the request goes there, waits for a better one, or is refused.
//
// It owns these rules and their constants. It relies on load reports
// (core/gateway/load) and on what was learnt of the service
// (core/gateway/estimate). It does no I/O, reads no clock and draws no random
// numbers: times, readings and a shuffle come in, typed decisions go out.
// internal/gateway/forward carries them out.
//
// One search for a target runs in rounds:
//
//  1. Order puts the targets into the order in which they are probed, those of
//     the own hall first, then those of the own region; Waves cuts it into those that
//     are probed at once. Other regions are left out unless the own region has no
//     targets or has lost most of them.
//  2. Of the targets that answer, Better keeps the best; an Idle one ends the
//     round.
//  3. Decide says what becomes of the request; after Wait comes another round.
//
// Why never far while near: a far answer takes the way there and back longer, and a
// region whose gateways look for room elsewhere takes it from those that stand there
// (docs/design/regions.md).
//
// Why readings and not own counts: a gateway sends 5 to 12 requests a second,
// so its own counts say next to nothing of a target (mean worth of a day .68
// against .88, docs/DESIGN.md, "Which target"). Why waiting: a slow start can't
// be mended by anything that comes later, so a better target is worth a pause.
//
// # Usage
//
//	deadlines := placement.NewDeadlines(began, route.Objective, usual)
//	order := placement.NewOrder(targets, filter, rand.Shuffle)
//	for _, wave := range order.Waves(effort) {
//		// probe the wave, keep the Better candidate, end at an Idle one
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

// Candidate is a target as it was found when it was probed.
type Candidate struct {
	// Report is the target's load; HasReport is false where it reported none.
	Report    load.Report
	HasReport bool
	// Healthy is what the target says of its health.
	Healthy bool
	// Tier is how far the target is.
	Tier locality.Tier
	// Trip is the time there and back to another region; 0 for targets of the own.
	Trip time.Duration
	// Predicted is the time that it would take for the request, the way there and back
	// to another region included, and Saturated says whether that is longer for want
	// of room.
	Predicted time.Duration
	Saturated bool
	// Reserved is how many of its slots are better left free.
	Reserved int
	// Cold says that the target is cold, and Turn that this gateway may send a cold
	// target a request (core/gateway/warmup).
	Cold bool
	Turn bool
}

// Room is how many more requests the target should begin at once: a cold one begins one
// at a time.
func (c *Candidate) Room() int {
	if c.Cold {
		return c.coldRoom()
	}
	return max(c.Report.Free()-c.Reserved, 0)
}

func (c *Candidate) coldRoom() int {
	if c.Turn && warmup.Idle(c.Report.Running(), c.Report.Waiting()) {
		return 1
	}
	return 0
}

// Free says whether the target reports a free slot that is worth taking.
func (c *Candidate) Free() bool { return c.HasReport && c.Healthy && c.Room() > 0 }

// lastRoom says whether a request would take the last slot that is worth taking.
func (c *Candidate) lastRoom() bool { return c.Report.Slots() > 1 && c.Room() <= 1 }

// Idle says whether no other target could be better by much: it has a free slot,
// works at its usual speed, and is neither saturated nor cold.
func (c *Candidate) Idle() bool {
	return c.Free() && !c.Cold && !c.Saturated && c.Report.Slowness() <= estimate.UsualSlowness
}

const (
	// hallPenalty is by how much a target in another hall must be faster: the way
	// there and back, and its bytes, cost.
	hallPenalty = 20 * time.Millisecond
	// regionPenalty is the same of a target in another region, beside the time there
	// and back, which Predicted holds: its bytes cost more.
	regionPenalty = 2 * hallPenalty
	// unhealthyPenalty ranks targets that say they are ill behind all others.
	// They stay candidates since some say so though they are well.
	unhealthyPenalty = time.Minute
	// closedPenalty ranks cold targets that may not take the request behind those that
	// may, however full.
	closedPenalty = unhealthyPenalty / 2
)

// tierPenalty is by how much a target so far away must be faster.
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

// cost ranks candidates: the predicted time and penalties.
func (c *Candidate) cost() time.Duration {
	cost := c.Predicted + tierPenalty(c.Tier)
	if !c.Healthy {
		cost += unhealthyPenalty
	}
	if c.Cold && c.Room() == 0 {
		cost += closedPenalty
	}
	return cost
}

// Better says whether a candidate is better than another one; the earlier one
// stays where they cost the same.
func Better(c, than *Candidate) bool { return c.cost() < than.cost() }
