package relay

import (
	"time"

	"github.com/sprucecrank/sprucecrank/core/gateway/locality"
	"github.com/sprucecrank/sprucecrank/core/member"
)

const (
	// initialBackOff is how long a gateway is passed over that could not serve a request; the
	// time doubles with each failure in a row, up to maxBackOff.
	initialBackOff = 250 * time.Millisecond
	maxBackOff     = 4 * time.Second
	// busyTime is how long a gateway is passed over that has as many relayed requests as it
	// takes.
	busyTime = 50 * time.Millisecond
	// maxRecords bounds the gateways of which failures are kept: more than a view holds.
	maxRecords = 256
)

// Gateways is what a gateway observed of those that it had serve requests. It is not safe for
// concurrent use.
type Gateways struct {
	tier    func(hall string) locality.Tier
	records map[string]*record
}

type record struct {
	until   time.Time
	backOff time.Duration
}

// NewGateways returns Gateways of which nothing was observed; tier tells how far a hall is.
func NewGateways(tier func(hall string) locality.Tier) *Gateways {
	return &Gateways{tier: tier, records: map[string]*record{}}
}

// Choose draws one of the known gateways that are not passed over now, one of another region
// only where there is none in the own. All of a region are equally likely, so that no hall's
// gateways take the requests of those of their hall that are cut off.
func (g *Gateways) Choose(now time.Time, known []member.Box, intn func(n int) int) (via member.Box, ok bool) {
	var near, far []member.Box
	for _, b := range known {
		switch r := g.records[b.ID]; {
		case r != nil && now.Before(r.until):
		case g.tier(b.Hall) == locality.OtherRegion:
			far = append(far, b)
		default:
			near = append(near, b)
		}
	}
	if len(near) == 0 {
		near = far
	}
	if len(near) == 0 {
		return member.Box{}, false
	}
	return near[intn(len(near))], true
}

// Len returns how many gateways are held of which a failure is known.
func (g *Gateways) Len() int { return len(g.records) }

// RecordServed records that a gateway found a target.
func (g *Gateways) RecordServed(id string) { delete(g.records, id) }

// RecordFailure records that a gateway could not be reached, or reaches no target either.
func (g *Gateways) RecordFailure(now time.Time, id string) {
	r := g.records[id]
	if r == nil {
		g.makeRoom(now)
		r = &record{}
		g.records[id] = r
	}
	if now.Before(r.until) {
		return // of a request that was relayed before the failure was known
	}
	r.backOff = min(max(2*r.backOff, initialBackOff), maxBackOff)
	r.until = now.Add(r.backOff)
}

// RecordBusy records that a gateway takes no more relayed requests for the moment.
func (g *Gateways) RecordBusy(now time.Time, id string) {
	if g.records[id] == nil {
		g.makeRoom(now)
		g.records[id] = &record{until: now.Add(busyTime)}
	}
}

// makeRoom removes records whose time has passed where there are too many, or any if none has.
func (g *Gateways) makeRoom(now time.Time) {
	if len(g.records) < maxRecords {
		return
	}
	for id, r := range g.records {
		if now.After(r.until) {
			delete(g.records, id)
		}
	}
	for id := range g.records {
		if len(g.records) < maxRecords {
			return
		}
		delete(g.records, id)
	}
}
