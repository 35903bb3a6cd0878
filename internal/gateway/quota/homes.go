package quota

import (
	"context"
	"errors"
	"maps"
	"slices"
	"time"

	"github.com/sprucecrank/sprucecrank/core/gateway/peers"
	"github.com/sprucecrank/sprucecrank/core/gateway/quota"
	"github.com/sprucecrank/sprucecrank/core/member"
	"github.com/sprucecrank/sprucecrank/internal/gateway/rpclink"
)

const (
	// homeCount is how many gateways share the work of homes. When one of them stops, a fourth
	// of the subjects moves, and each gateway sends heartbeats to four homes.
	homeCount = 4
	// refreshEvery is the interval at which the homes are determined anew. It is much shorter
	// than the time for which a gateway is counted after its last heartbeat.
	refreshEvery = 250 * time.Millisecond
	// fleetSizeEvery is the minimum time between two estimates of the fleet size, since a
	// changed estimate may cause heartbeats to all homes.
	fleetSizeEvery = time.Second
	// sightingTTL is how long a gateway reported by a home is not treated as new again.
	sightingTTL = time.Second
	// idleRefreshEvery replaces refreshEvery while there are no limits, to save wake-ups. The
	// first request that is subject to a limit ends the wait.
	idleRefreshEvery = time.Second
)

// Tasks returns the background tasks of the limiter. Each runs until its context ends.
func (l *Limiter) Tasks() []func(context.Context) error {
	return []func(context.Context) error{l.maintainLinks}
}

// maintainLinks keeps links to the current homes.
func (l *Limiter) maintainLinks(ctx context.Context) error {
	for {
		var homes []member.Box
		wait := idleRefreshEvery
		if l.hasLimits() {
			homes, wait = l.options.Homes(homeCount), refreshEvery
		}
		l.updateLinks(ctx, homes)
		timer := time.NewTimer(wait)
		select {
		case <-ctx.Done():
			timer.Stop()
			return nil
		case <-l.refreshNow:
		case <-timer.C:
		}
		timer.Stop()
	}
}

// hasLimits reports whether there is any limit: of a workspace, or of a target, even if only
// other gateways have received that one.
func (l *Limiter) hasLimits() bool { return l.options.HasLimits() || l.SharingLeft() > 0 }

// requireHomes triggers an immediate refresh of the homes if none is known.
func (l *Limiter) requireHomes() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.requireHomesLocked()
}

// requireHomesLocked is requireHomes for callers that hold the lock.
func (l *Limiter) requireHomesLocked() {
	if len(l.homes) == 0 {
		l.refreshHomes()
	}
}

// refreshHomes makes maintainLinks refresh the homes at once. The lock is held.
func (l *Limiter) refreshHomes() {
	select {
	case l.refreshNow <- struct{}{}:
	default: // already triggered
	}
}

// updateLinks opens links to new homes and closes those to gateways that are no longer homes.
func (l *Limiter) updateLinks(ctx context.Context, homes []member.Box) {
	homesByID := map[uint32]member.Box{}
	for _, box := range homes {
		homesByID[quota.ID(box.ID)] = box
	}
	l.detach(ctx, homesByID)
	// Called before locking: discovery calls SharingLeft while it holds its own lock.
	fleetSize, ranked := l.options.FleetSize(), l.options.Ranked(homeCount)
	if l.refresh(ctx, homesByID, fleetSize, ranked) {
		l.notify()
	}
}

// refresh updates the state to the current homes and fleet size, and reports whether other
// gateways should receive a changed limit.
func (l *Limiter) refresh(ctx context.Context, homes map[uint32]member.Box, size int, ranked []peers.Sighting) (publish bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.options.Clock()
	l.ranked, l.rankedAt = ranked, now
	l.updateFleetSize(now, size)
	l.ledger.Tick(now)
	l.removeExpired(now)
	l.setLinks(ctx, homes)
	if l.isHome || len(l.homes) == 0 {
		l.ledger.Observe(now, l.heartbeat(now))
	}
	return l.shared.Tick(now)
}

// updateFleetSize records the approximate fleet size. The lock is held.
func (l *Limiter) updateFleetSize(now time.Time, size int) {
	if now.Sub(l.fleetSizeAt) < fleetSizeEvery {
		return
	}
	before := l.weight()
	l.fleetSize, l.fleetSizeAt = size, now
	l.ledger.SetFleetSize(l.fleetSize)
	if l.weight() != before {
		l.sendHeartbeats() // otherwise homes would count its old weight for a while, in addition to the gateways that now represent it
	}
}

// setLinks opens and closes links so that they lead to exactly the given homes. The lock is
// held.
func (l *Limiter) setLinks(ctx context.Context, homes map[uint32]member.Box) {
	for id, link := range l.links {
		if !link.leadsToAny(homes) {
			l.noteDetached(link)
			link.stop()
			delete(l.links, id)
		}
	}
	_, l.isHome = homes[l.self]
	l.linked = len(homes) > 0
	for id, box := range homes {
		if id != l.self && l.links[id] == nil {
			l.links[id] = newLink(ctx, l, box)
		}
	}
	if before := l.homes; l.updateHomes() && len(before) > 0 {
		l.sendHeartbeats() // each home counts the gateways that use it
	}
}

// updateHomes records which homes reply, and reports whether they changed. The lock is held.
func (l *Limiter) updateHomes() (changed bool) {
	homes := make([]uint32, 0, len(l.links)+1)
	if l.isHome {
		homes = append(homes, l.self)
	}
	for id, link := range l.links {
		if !link.failed {
			homes = append(homes, id)
		}
	}
	slices.Sort(homes)
	changed = !slices.Equal(homes, l.homes)
	l.homes = homes // always a new slice: credit requests in progress hold the previous one
	return changed
}

// weight is how many gateways this one represents when shares are measured; 0 if it is not
// sampled. The lock is held.
func (l *Limiter) weight() int { return quota.SampleWeight(l.self, l.fleetSize) }

// needsHeartbeat reports whether a home is sent heartbeats: if this gateway is sampled, or if
// the home did not reply last time.
func (l *Limiter) needsHeartbeat(link *link) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.weight() > 0 || link.failed
}

// removeExpired drops unused credit, targets not in use for long, and old sightings reported by
// homes. The lock is held.
func (l *Limiter) removeExpired(now time.Time) {
	maps.DeleteFunc(l.credits, func(_ quota.Subject, c *quota.LocalCredit) bool { return c.IsIdle(now) })
	maps.DeleteFunc(l.sightedAt, func(_ uint32, at time.Time) bool { return now.Sub(at) >= sightingTTL })
	for life, t := range l.targets {
		if t.isExpired(now) {
			l.applyLimit(t, now, quota.Advertised{}, quota.SourceExpiry)
			delete(l.targets, life)
		}
	}
}

// askArgs returns the arguments of a call that asks a home for credit for the waiting requests.
func (l *Limiter) askArgs(link *link, waiting map[quota.Subject][]*pendingAsk) AskArgs {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.options.Clock()
	args := AskArgs{Standing: l.heartbeat(now)}
	if link.newHomes != nil {
		args.Standing.Homes = link.newHomes
	}
	for subject, asks := range waiting {
		latest := slices.MaxFunc(asks, func(a, b *pendingAsk) int { return int(a.version) - int(b.version) })
		args.Wants = append(args.Wants, latest.creditRequest(now, l.localCredit(subject), totalCount(asks)))
	}
	return args
}

// totalCount returns the number of requests that wait.
func totalCount(asks []*pendingAsk) (n int) {
	for _, a := range asks {
		n += a.count
	}
	return n
}

// handleReply applies the result of a call to a home, and answers the waiting requests.
func (l *Limiter) handleReply(link *link, args AskArgs, reply AskReply, err error, waiting map[quota.Subject][]*pendingAsk) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.options.Clock()
	l.noteResult(link, err)
	if err != nil {
		for _, asks := range waiting {
			for _, a := range asks {
				a.result <- askResult{err: err}
			}
		}
		return
	}
	l.ledger.MergeFleet(now, reply.Fleet)
	link.noteHeartbeat(args.Standing)
	for i, request := range args.Wants {
		asks, grant := waiting[request.Subject()], reply.Grants[i]
		asks[0].applyNewerLimit(l, now, grant)
		admitted := l.localCredit(request.Subject()).AddGrant(now, grant, totalCount(asks))
		for _, a := range asks {
			a.result <- askResult{granted: a.count <= admitted}
			admitted -= min(a.count, admitted)
		}
	}
}

// noteDetached records that this gateway stops using a home that may still count it. The lock
// is held.
func (l *Limiter) noteDetached(link *link) {
	if !link.refused && !link.isDetached() && link.repliedAt.After(l.detachedAt) {
		l.detachedAt = link.repliedAt
	}
}

// sendHeartbeats sends a heartbeat to all homes, to learn which still reply: more than one may
// have become unreachable. The lock is held.
func (l *Limiter) sendHeartbeats() {
	for _, link := range l.links {
		select {
		case link.heartbeatNow <- struct{}{}:
		default: // already triggered
		}
	}
}

// noteResult records whether a home replied. The lock is held.
func (l *Limiter) noteResult(link *link, err error) {
	failed := err != nil && !errors.Is(err, errFleetUnknown)
	link.refused = failed && !errors.Is(err, rpclink.ErrNoAnswer)
	if !failed {
		link.repliedAt = l.options.Clock()
	}
	if failed {
		l.options.Metrics.QuotaRequested(resultFailed)
	} else {
		l.options.Metrics.QuotaRequested(resultAnswered)
	}
	if failed == link.failed {
		return
	}
	link.failed = failed
	l.updateHomes()
	if failed {
		l.noteDetached(link)
		l.options.Log.Info("quota home lost", "peer", link.box.ID, "address", link.box.Peer, "error", err.Error())
		l.sendHeartbeats()
		return
	}
	l.options.Log.Info("quota home back", "peer", link.box.ID, "address", link.box.Peer)
}
