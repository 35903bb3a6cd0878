package quota

import (
	"context"
	"slices"
	"time"

	"github.com/sprucecrank/sprucecrank/core/gateway/peers"
	"github.com/sprucecrank/sprucecrank/core/gateway/quota"
	"github.com/sprucecrank/sprucecrank/core/member"
)

// leadsToAny reports whether the link leads to one of the given gateways.
func (l *link) leadsToAny(gateways map[uint32]member.Box) bool {
	box, ok := gateways[quota.ID(l.box.ID)]
	return ok && box.Peer == l.box.Peer
}

// detach tells the homes that this gateway stops using which homes it uses from now on, and
// waits a moment for their replies. A home that replied no longer counts this gateway.
// Otherwise the new homes would count it for half for more than a second, in case the old one
// still counts it too: after all gateways were killed, most of them switch from one home to
// another.
func (l *Limiter) detach(ctx context.Context, homes map[uint32]member.Box) {
	leaving := l.beginDetach(homes)
	if len(leaving) == 0 {
		return
	}
	timer := time.NewTimer(askTimeout)
	defer timer.Stop()
	for _, link := range leaving {
		select {
		case <-link.detached:
		case <-link.done:
		case <-timer.C:
			return
		case <-ctx.Done():
			return
		}
	}
}

// beginDetach makes each link that leads to none of the given homes announce them, if its home
// replies.
func (l *Limiter) beginDetach(homesByID map[uint32]member.Box) (leaving []*link) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var homes []uint32
	for id := range homesByID {
		homes = append(homes, id)
	}
	slices.Sort(homes)
	for _, link := range l.links {
		if link.failed || link.repliedAt.IsZero() || len(homes) == 0 || link.leadsToAny(homesByID) {
			continue
		}
		link.newHomes, link.detached = homes, make(chan struct{})
		select {
		case link.heartbeatNow <- struct{}{}:
		default: // already triggered
		}
		leaving = append(leaving, link)
	}
	return leaving
}

// noteHeartbeat records that the home has received a heartbeat. The limiter's lock is held.
func (l *link) noteHeartbeat(h quota.Heartbeat) {
	if l.newHomes != nil && !l.isDetached() && slices.Equal(h.Homes, l.newHomes) {
		close(l.detached)
	}
}

// isDetached reports whether the home has learned that this gateway stops using it. The
// limiter's lock is held.
func (l *link) isDetached() bool {
	if l.detached == nil {
		return false
	}
	select {
	case <-l.detached:
		return true
	default:
		return false
	}
}

// mergeSightings merges the gateways that rank first according to a home, and refreshes the
// homes at once if any of them is new.
func (l *Limiter) mergeSightings(first []peers.Sighting) {
	fresh := l.newSightings(first)
	if len(fresh) == 0 {
		return
	}
	l.options.MergeSightings(fresh)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refreshHomes()
}

// newSightings returns those of the given gateways to which there is no link and which no home
// reported in the last second. A gateway that has just stopped is reported with every reply for
// several seconds.
func (l *Limiter) newSightings(gateways []peers.Sighting) (fresh []peers.Sighting) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.options.Clock()
	for _, s := range gateways {
		id := quota.ID(s.Box.ID)
		if id == l.self || l.links[id] != nil || now.Sub(l.sightedAt[id]) < sightingTTL {
			continue
		}
		l.sightedAt[id] = now
		fresh = append(fresh, s)
	}
	return fresh
}
