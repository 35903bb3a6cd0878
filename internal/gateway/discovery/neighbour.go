package discovery

import (
	"context"
	"time"

	"github.com/sprucecrank/sprucecrank/core/gateway/catalog"
	"github.com/sprucecrank/sprucecrank/core/gateway/peers"
	"github.com/sprucecrank/sprucecrank/core/member"
	"github.com/sprucecrank/sprucecrank/internal/pause"
)

const (
	// staleNeighbourKeepTime is how long a neighbour is kept that is as stale as this
	// gateway itself. It is short enough to find a fresher one in time even after two
	// failures.
	staleNeighbourKeepTime = 500 * time.Millisecond
	// memberSwapInterval is how often two neighbours exchange the gateways that they have
	// seen: less than the time for which a sighting counts (core/gateway/peers), also
	// between halls.
	memberSwapInterval = 1500 * time.Millisecond
	// minAskInterval is the least time between two polls of a neighbour. It keeps any
	// amount of updates between two gateways from saturating a link or a core.
	minAskInterval = 20 * time.Millisecond
	// noPeerPause is the pause before the next try if no gateway could be reached.
	noPeerPause = 100 * time.Millisecond
)

// neighbour is another gateway that this one exchanges state with, in one of its slots.
type neighbour struct {
	slot int
	// peer is the gateway; without an id it is a seed.
	peer member.Box
	// keepUntil is when another neighbour is drawn.
	keepUntil time.Time
	// position is the last known position of that gateway: the one it last advertised or
	// was last sent. confirmedAt is when its state had last been confirmed then.
	position    catalog.Position
	confirmedAt time.Time
	// membersSwappedAt is when members were last exchanged.
	membersSwappedAt time.Time
	// sentTriesVersion is the version of the tries that were last sent, and sentLeaving
	// whether the neighbour was notified that this gateway is leaving.
	sentTriesVersion int
	sentLeaving      bool
	// receivedUpdates is the position up to which this gateway received the neighbour's
	// updates beside the catalog (requests that terminate targets, limits of targets);
	// sentUpdates is the position up to which the neighbour was sent this gateway's.
	receivedUpdates, sentUpdates positions
}

// exchangeWithNeighbours is the background task that exchanges state with the neighbours of
// a slot, one after the other.
func (f *Follower) exchangeWithNeighbours(ctx context.Context, slot int) error {
	for ctx.Err() == nil {
		n, ok := f.drawNeighbour(slot)
		if !ok {
			f.waitForChange(ctx, noPeerPause)
			continue
		}
		if !f.exchangeUntilReplaced(ctx, n) && !pause.For(ctx, noPeerPause) {
			return nil
		}
	}
	return nil
}

// exchangeUntilReplaced exchanges state with a neighbour until it has to be replaced, and
// reports whether to draw the next one at once.
func (f *Follower) exchangeUntilReplaced(ctx context.Context, n *neighbour) bool {
	l, err := f.links.acquire(ctx, n.peer.Peer, f.dialSlack(n.peer))
	if err != nil {
		f.noteLost(n.peer, err)
		return n.peer.ID != ""
	}
	defer func() { f.links.release(l, err != nil) }()
	var reply *UpdateReply
	for wait := time.Duration(0); ctx.Err() == nil && f.shouldKeep(n); wait = f.options.Timing.PollWait {
		asked := f.options.Clock()
		if reply, err = f.exchange(ctx, l, n, wait); err != nil {
			f.noteLost(n.peer, err)
			break
		}
		f.recordReply(n, reply)
		if left := minAskInterval - f.options.Clock().Sub(asked); wait > 0 && left > 0 {
			pause.For(ctx, left)
		}
	}
	return n.peer.ID != "" || !f.isAlone()
}

// shouldKeep reports whether to keep a neighbour, even if it is no longer in the view of
// known gateways; a seed is asked once.
func (f *Follower) shouldKeep(n *neighbour) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.options.Clock()
	if n.peer.ID == "" {
		return n.confirmedAt.IsZero()
	}
	return now.Before(n.keepUntil) && !f.view.IsAvoided(now, n.peer.ID)
}

// isAlone reports whether no other gateway is known that may be asked.
func (f *Follower) isAlone() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.view.HasNoUsablePeer(f.options.Clock())
}

// exchange polls a neighbour once and applies its reply. While the poll waits, it pushes to
// the neighbour what that lacks.
func (f *Follower) exchange(ctx context.Context, l *link, n *neighbour, wait time.Duration) (*UpdateReply, error) {
	asked := f.options.Clock()
	call := l.ask(f.pollArgs(n, wait))
	timer := time.NewTimer(wait + f.answerSlack(n.peer))
	defer timer.Stop()
	for {
		changed := f.push(l, n, wait > 0)
		select {
		case <-call.Done:
			return f.handleReply(n.peer, call, asked)
		case <-timer.C:
			return nil, errNoAnswer
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-changed:
		}
	}
}

// pollArgs returns the arguments of a poll, which a neighbour answers once its position is
// later than its last known one or this gateway's; members are exchanged every now and
// then.
func (f *Follower) pollArgs(n *neighbour, wait time.Duration) UpdateArgs {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.options.Clock()
	args := f.ownStateArgs(now)
	args.Wait, args.Digest = wait, !f.requestsDelta(n.peer)
	args.AsksFatal, args.FatalAt = true, f.withAllKinds(n.receivedUpdates).String()
	if args.Digest && args.At.IsBehind(n.position) {
		args.At = n.position // what is missing here has been requested already
	}
	args.Age = min(args.Age, now.Sub(n.confirmedAt))
	if now.Sub(n.membersSwappedAt) > memberSwapInterval*f.hallFactor(n) {
		n.membersSwappedAt = now
		args.Members = f.view.Sightings(now, n.peer.Hall)
	}
	return args
}

// ownStateArgs returns arguments with this gateway's position and the age of its state; the
// lock is held.
func (f *Follower) ownStateArgs(now time.Time) UpdateArgs {
	return UpdateArgs{
		At: f.catalog.Position(), Age: f.fresh.Age(now), Tries: f.tries.Published(now),
		FollowsEvacuations: f.options.Source.followsEvacuations(), FollowsRollouts: f.options.Source.followsRollouts(),
	}
}

// push sends a neighbour what it lacks, if it may be sent that now, without waiting for the
// reply. It returns a channel that is closed when there may be something new to send.
func (f *Follower) push(l *link, n *neighbour, allowed bool) (changed chan struct{}) {
	f.mu.Lock()
	now := f.options.Clock()
	send := allowed && f.hasUpdateFor(now, n)
	args := f.ownStateArgs(now)
	args.Digest, args.From = true, f.view.Self()
	if send {
		args.News, args.Base = f.deltaFor(n), n.position
		n.position, n.confirmedAt = args.At, now.Add(-min(args.Age, neverConfirmedAge))
		n.sentTriesVersion, n.sentLeaving = f.tries.Version(), args.From.Leaving
		args.Fatal, n.sentUpdates = f.updatesSince(f.withAllKinds(n.sentUpdates))
	}
	changed = f.changed
	f.mu.Unlock()
	if send {
		l.ask(args) // the pending poll shows whether the neighbour is reachable
	}
	return changed
}

// hasUpdateFor reports whether a neighbour lacks something that this gateway has; the lock
// is held.
func (f *Follower) hasUpdateFor(now time.Time, n *neighbour) bool {
	leaving := f.view.Self().Leaving && !n.sentLeaving
	later := n.position.IsBehind(f.catalog.Position())
	tries := f.tries.Version() != n.sentTriesVersion
	return leaving || later || tries || f.lacksUpdates(f.withAllKinds(n.sentUpdates)) || f.fresh.CanConfirm(now, now.Sub(n.confirmedAt))
}

// recordReply records the position of a neighbour, and logs the neighbour if it is new. One
// that is as stale as this gateway is replaced soon.
func (f *Follower) recordReply(n *neighbour, reply *UpdateReply) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.options.Clock()
	if first := n.confirmedAt.IsZero(); first && n.peer.ID != "" {
		f.options.Log.Info("exchanging state with a new neighbour", "peer", n.peer.ID, "address", n.peer.Peer, "hall", n.peer.Hall, "age_s", f.loggedAge())
	}
	n.position, n.receivedUpdates = reply.Delta.To, parsePositions(reply.FatalAt)
	n.confirmedAt = now.Add(-min(reply.Age, neverConfirmedAge))
	if !f.fresh.Fresh(now) && reply.Age >= f.options.Timing.StaleAfter {
		n.keepUntil = earlier(n.keepUntil, now.Add(staleNeighbourKeepTime))
	}
}

// neverConfirmedAge stands for the age of a state that was never confirmed.
const neverConfirmedAge = time.Hour

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// noteLost records, and logs, that a gateway did not answer; a gateway of which only the
// address is known is not counted.
func (f *Follower) noteLost(peer member.Box, err error) {
	if peer.ID == "" {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.options.Metrics.PeerLost()
	f.view.RecordFailure(f.options.Clock(), peer.ID)
	f.wake() // this gateway may have to read the store now
	f.options.Log.Info("peer lost", "peer", peer.ID, "address", peer.Peer, "error", err.Error())
}

// observeSightings adds the gateways that another gateway, the first of the sightings, has
// seen to the view, and that gateway's own entry by ObserveAnswer or ObserveCall of the
// view; the lock is held.
func (f *Follower) observeSightings(now time.Time, sightings []peers.Sighting, observe observer) {
	if len(sightings) == 0 {
		return
	}
	f.observePeer(now, sightings[0].Box, observe)
	f.view.MergeSightings(now, sightings[1:])
}

// An observer adds a gateway's own entry to the view and reports whether that gateway is
// back.
type observer func(now time.Time, box member.Box) (back bool)

// observePeer adds a gateway's own entry to the view; the lock is held.
func (f *Follower) observePeer(now time.Time, box member.Box, observe observer) {
	alone := f.view.HasNoUsablePeer(now)
	if observe(now, box) {
		f.options.Log.Info("peer back", "peer", box.ID, "address", box.Peer)
	}
	if f.firstPeerAt.IsZero() {
		f.firstPeerAt = now
	}
	if alone || box.Leaving {
		f.wake() // there is a gateway to exchange state with, or one to replace
	}
}
