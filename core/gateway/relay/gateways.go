package relay

import (
	"time"

	"github.com/sprucecrank/sprucecrank/core/gateway/locality"
	"github.com/sprucecrank/sprucecrank/core/member"
)

const (
	// unavailableBackOff is how long a gateway is passed over that could not be reached, and
	// cutOffBackOff how long one is for a service whose targets it does not reach, since cuts last
	// for seconds. The time doubles with each failure in a row, up to maxBackOff.
	unavailableBackOff = 250 * time.Millisecond
	cutOffBackOff      = time.Second
	maxBackOff         = 4 * time.Second
	// busyTime is how long a gateway is passed over that has as many relayed requests as it
	// takes.
	busyTime = 50 * time.Millisecond
	// maxRecords bounds the failures that are kept: those of all gateways of a view, for some
	// dozens of services each.
	maxRecords = 4096
)

// Gateways is what a gateway observed of those that it had serve requests. It is not safe for
// concurrent use.
type Gateways struct {
	tier    func(hall string) locality.Tier
	records map[subject]*record
}

// subject is what a record is about: a gateway's paths to the targets of one service, or the
// gateway itself if the service is empty.
type subject struct{ gateway, service string }

type record struct {
	until   time.Time
	backOff time.Duration
}

// NewGateways returns Gateways of which nothing was observed; tier tells how far a hall is.
func NewGateways(tier func(hall string) locality.Tier) *Gateways {
	return &Gateways{tier: tier, records: map[subject]*record{}}
}

// Choose draws one of the known gateways that are not passed over now for requests of a service,
// one of another region only where there is none in the own. All of a region are equally likely,
// so that no hall's gateways take the requests of those of their hall that are cut off.
func (g *Gateways) Choose(now time.Time, service string, known []member.Box, intn func(n int) int) (via member.Box, ok bool) {
	var near, far []member.Box
	for _, b := range known {
		switch {
		case g.isPassedOver(now, subject{gateway: b.ID}) || g.isPassedOver(now, subject{b.ID, service}):
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

func (g *Gateways) isPassedOver(now time.Time, s subject) bool {
	r := g.records[s]
	return r != nil && now.Before(r.until)
}

// Len returns how many failures are held.
func (g *Gateways) Len() int { return len(g.records) }

// RecordServed records that a gateway found a target of a service.
func (g *Gateways) RecordServed(id, service string) {
	delete(g.records, subject{gateway: id})
	delete(g.records, subject{id, service})
}

// RecordUnavailable records that a gateway could not be reached, or serves no relayed request.
func (g *Gateways) RecordUnavailable(now time.Time, id string) {
	g.recordFailure(now, subject{gateway: id}, unavailableBackOff)
}

// RecordCutOff records that a gateway reaches none or few targets of a service either.
func (g *Gateways) RecordCutOff(now time.Time, id, service string) {
	g.recordFailure(now, subject{id, service}, cutOffBackOff)
}

func (g *Gateways) recordFailure(now time.Time, s subject, initial time.Duration) {
	r := g.records[s]
	if r == nil {
		g.makeRoom(now)
		r = &record{}
		g.records[s] = r
	}
	if now.Before(r.until) {
		return // of a request that was relayed before the failure was known
	}
	r.backOff = min(max(2*r.backOff, initial), maxBackOff)
	r.until = now.Add(r.backOff)
}

// RecordBusy records that a gateway takes no more relayed requests for the moment.
func (g *Gateways) RecordBusy(now time.Time, id string) {
	s := subject{gateway: id}
	if g.records[s] == nil {
		g.makeRoom(now)
		g.records[s] = &record{until: now.Add(busyTime)}
	}
}

// makeRoom removes records whose time has passed where there are too many, or any if none has.
func (g *Gateways) makeRoom(now time.Time) {
	if len(g.records) < maxRecords {
		return
	}
	for s, r := range g.records {
		if now.After(r.until) {
			delete(g.records, s)
		}
	}
	for s := range g.records {
		if len(g.records) < maxRecords {
			return
		}
		delete(g.records, s)
	}
}
