package relay

import (
	"slices"
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
	// otherVersionBackOff is how long one is passed over that goes by another version of the
	// configuration, which reaches all within moments.
	otherVersionBackOff = 50 * time.Millisecond
	maxBackOff          = 4 * time.Second
	// busyTime is how long a gateway is passed over that has as many relayed requests as it
	// takes.
	busyTime = 50 * time.Millisecond
	// maxRecords bounds the failures that are kept: those of all gateways of a view, for some
	// dozens of services each.
	maxRecords = 4096
	// maxServing bounds the gateways that are remembered as serving a service: enough that those
	// of a large fleet spread their requests, few enough to be found in moments.
	maxServing = 8
	// servingTTL is how long after a gateway was last known to serve a service it is preferred.
	servingTTL = 10 * time.Second
	// One of exploreOdds requests looks for another gateway that serves while fewer than maxServing
	// are known, so that the first ones that were found don't take all requests.
	exploreOdds = 2
	// silentAfter is how long a gateway may answer none of the requests that it was relayed until
	// others are preferred: it may hang.
	silentAfter = 300 * time.Millisecond
	// maxReferrals bounds the gateways that a refusal names.
	maxReferrals = 3
)

// Gateways is what a gateway observed of those that it had serve requests. It is not safe for
// concurrent use.
type Gateways struct {
	tier    func(hall string) locality.Tier
	records map[subject]*record
	// serving are gateways that serve a service, the latest that was added last.
	serving map[string][]serving
	// pending are the gateways that have relayed requests under way.
	pending map[string]*pending
}

// pending is what is under way at a gateway.
type pending struct {
	requests int
	since    time.Time // it answered none since
}

// serving is a gateway that is known to serve a service.
type serving struct {
	member.Box
	at time.Time
	// referred says that another gateway named it, and this one was not served by it yet.
	referred bool
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
	return &Gateways{tier: tier, records: map[subject]*record{}, serving: map[string][]serving{}, pending: map[string]*pending{}}
}

// Choose draws a gateway that is not passed over now for requests of a service: mostly one that
// is known to serve it, else one of the known gateways, one of another region only where there is
// none in the own. Those that answer nothing come last. All of a region are equally likely, so that
// no hall's gateways take the requests of those of their hall that are cut off. Those whose ids are
// excluded are not drawn.
func (g *Gateways) Choose(now time.Time, service string, known []member.Box, intn func(n int) int, excluded ...string) (via member.Box, ok bool) {
	isExcluded := func(b member.Box) bool { return slices.Contains(excluded, b.ID) }
	proven := slices.DeleteFunc(g.listServing(now, service), isExcluded)
	known = slices.DeleteFunc(slices.Clone(known), func(b member.Box) bool {
		return isExcluded(b) || slices.ContainsFunc(proven, func(s member.Box) bool { return s.ID == b.ID })
	})
	for _, c := range []class{{}, {isFar: true}, {isSilent: true}, {isFar: true, isSilent: true}} {
		from := g.usable(now, service, proven, c)
		others := g.usable(now, service, known, c)
		if len(from) == 0 || len(from) < maxServing && len(others) > 0 && intn(exploreOdds) == 0 {
			from = others
		}
		if len(from) > 0 {
			return from[intn(len(from))], true
		}
	}
	return member.Box{}, false
}

// class is what gateways are preferred by.
type class struct {
	isFar    bool // in another region
	isSilent bool
}

// usable lists those of some gateways that are not passed over, of a class.
func (g *Gateways) usable(now time.Time, service string, from []member.Box, wanted class) (out []member.Box) {
	for _, b := range from {
		isPassedOver := g.isPassedOver(now, subject{gateway: b.ID}) || g.isPassedOver(now, subject{b.ID, service})
		of := class{isFar: g.tier(b.Hall) == locality.OtherRegion, isSilent: g.isSilent(now, b.ID)}
		if !isPassedOver && of == wanted {
			out = append(out, b)
		}
	}
	return out
}

// isSilent reports whether a gateway has answered none of its relayed requests for a while, or since
// it could not be reached.
func (g *Gateways) isSilent(now time.Time, id string) bool {
	p := g.pending[id]
	return p != nil && (now.Sub(p.since) >= silentAfter || g.records[subject{gateway: id}] != nil)
}

// RecordAsked records that a request is relayed to a gateway.
func (g *Gateways) RecordAsked(now time.Time, id string) {
	p := g.pending[id]
	if p == nil {
		p = &pending{since: now}
		g.pending[id] = p
	}
	p.requests++
}

// RecordEnd records the end of a relayed request, and whether the gateway answered it. A silent
// gateway that did not counts as unavailable.
func (g *Gateways) RecordEnd(now time.Time, id string, answered bool) {
	p := g.pending[id]
	if p == nil {
		return
	}
	if !answered && now.Sub(p.since) >= silentAfter {
		g.RecordUnavailable(now, id)
	}
	if answered {
		p.since = now
	}
	p.requests--
	if p.requests == 0 {
		delete(g.pending, id)
	}
}

// listServing lists the gateways that are known to serve a service.
func (g *Gateways) listServing(now time.Time, service string) (out []member.Box) {
	for _, s := range g.serving[service] {
		if now.Sub(s.at) < servingTTL {
			out = append(out, s.Box)
		}
	}
	return out
}

// Referrals draws some gateways that served requests of a service lately, for one that asks this
// gateway and is refused.
func (g *Gateways) Referrals(now time.Time, service string, intn func(n int) int) (out []member.Box) {
	for _, s := range g.serving[service] {
		if !s.referred && now.Sub(s.at) < servingTTL {
			out = append(out, s.Box)
		}
	}
	for len(out) > maxReferrals {
		i := intn(len(out))
		out = slices.Delete(out, i, i+1)
	}
	return out
}

// RecordReferrals records that another gateway named some that served requests of a service.
func (g *Gateways) RecordReferrals(now time.Time, service string, named []member.Box) {
	for _, b := range named[:min(len(named), maxReferrals)] {
		isKnown := slices.ContainsFunc(g.serving[service], func(s serving) bool { return s.ID == b.ID })
		if !isKnown && !g.isPassedOver(now, subject{b.ID, service}) {
			g.addServing(service, serving{Box: b, at: now, referred: true})
		}
	}
}

// addServing adds a gateway that serves a service in place of the one that was added first, if
// there are many.
func (g *Gateways) addServing(service string, s serving) {
	all := append(g.serving[service], s)
	g.serving[service] = all[max(len(all)-maxServing, 0):]
}

func (g *Gateways) removeServing(id, service string) {
	g.serving[service] = slices.DeleteFunc(g.serving[service], func(s serving) bool { return s.ID == id })
}

func (g *Gateways) isPassedOver(now time.Time, s subject) bool {
	r := g.records[s]
	return r != nil && now.Before(r.until)
}

// Len returns how many failures are held.
func (g *Gateways) Len() int { return len(g.records) }

// RecordServed records that a gateway found a target of a service.
func (g *Gateways) RecordServed(now time.Time, via member.Box, service string) {
	delete(g.records, subject{gateway: via.ID})
	delete(g.records, subject{via.ID, service})
	for i, s := range g.serving[service] {
		if s.ID == via.ID {
			g.serving[service][i] = serving{Box: via, at: now}
			return
		}
	}
	g.addServing(service, serving{Box: via, at: now})
}

// RecordUnavailable records that a gateway could not be reached, or serves no relayed request.
func (g *Gateways) RecordUnavailable(now time.Time, id string) {
	g.recordFailure(now, subject{gateway: id}, unavailableBackOff)
	for service := range g.serving {
		g.removeServing(id, service)
	}
}

// RecordOtherVersion records that a gateway goes by another version of the configuration.
func (g *Gateways) RecordOtherVersion(now time.Time, id string) {
	g.recordFailure(now, subject{gateway: id}, otherVersionBackOff)
}

// RecordCutOff records that a gateway reaches none or few targets of a service either.
func (g *Gateways) RecordCutOff(now time.Time, id, service string) {
	g.recordFailure(now, subject{id, service}, cutOffBackOff)
	g.removeServing(id, service)
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
