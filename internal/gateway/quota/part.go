package quota

import (
	"context"
	"slices"
	"time"

	"github.com/sprucecrank/sprucecrank/core/gateway/peers"
	"github.com/sprucecrank/sprucecrank/core/gateway/quota"
	"github.com/sprucecrank/sprucecrank/core/member"
)

// isTo says whether a link leads to one of some gateways.
func (l *link) isTo(gateways map[uint32]member.Box) bool {
	box, ok := gateways[quota.ID(l.box.ID)]
	return ok && box.Peer == l.box.Peer
}

// part informs the homes that are none of some gateways that this one turns to these from now
// on, and waits for a moment until they have learnt so. One that has does not count this
// gateway any more; beside one that may, the new homes would count it for half, for longer
// than a second: after all gateways were killed most turn from one home to another.
func (r *Register) part(ctx context.Context, there map[uint32]member.Box) {
	leaving := r.beginParting(there)
	if len(leaving) == 0 {
		return
	}
	timer := time.NewTimer(askWithin)
	defer timer.Stop()
	for _, l := range leaving {
		select {
		case <-l.parted:
		case <-l.ended:
		case <-timer.C:
			return
		case <-ctx.Done():
			return
		}
	}
}

// beginParting has each link that leads to none of some gateways say so, if its home answers.
func (r *Register) beginParting(there map[uint32]member.Box) (leaving []*link) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var homes []uint32
	for id := range there {
		homes = append(homes, id)
	}
	slices.Sort(homes)
	for _, l := range r.links {
		if l.failed || l.observed.IsZero() || len(homes) == 0 || l.isTo(there) {
			continue
		}
		l.parting, l.parted = homes, make(chan struct{})
		select {
		case l.hurry <- struct{}{}:
		default: // it asks already
		}
		leaving = append(leaving, l)
	}
	return leaving
}

// noteParted takes in that the home has received a standing; the register's lock is held.
func (l *link) noteParted(s quota.Heartbeat) {
	if l.parting != nil && !l.hasParted() && slices.Equal(s.Homes, l.parting) {
		close(l.parted)
	}
}

// hasParted says whether the home has learnt that this gateway leaves it; the register's lock
// is held.
func (l *link) hasParted() bool {
	if l.parted == nil {
		return false
	}
	select {
	case <-l.parted:
		return true
	default:
		return false
	}
}

// hearFirst takes in whom a home takes for gateways that rank first, and has the homes looked
// for at once if any of these is new.
func (r *Register) hearFirst(first []peers.Sighting) {
	fresh := r.newTo(first)
	if len(fresh) == 0 {
		return
	}
	r.options.Sighted(fresh)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lookNow()
}

// newTo are those of some gateways to which this one has no link, and which no home named in the last
// second: one that has just ended is named with each answer for some seconds.
func (r *Register) newTo(gateways []peers.Sighting) (fresh []peers.Sighting) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.options.Clock()
	for _, s := range gateways {
		id := quota.ID(s.Box.ID)
		if id == r.self || r.links[id] != nil || now.Sub(r.namedAt[id]) < namedFor {
			continue
		}
		r.namedAt[id] = now
		fresh = append(fresh, s)
	}
	return fresh
}
