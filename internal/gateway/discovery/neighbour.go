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
	// staleNeighbourKeepTime is how long a neighbour is kept that has grown out of date like this
	// gateway itself. Somebody fresher is found in time for two failures.
	staleNeighbourKeepTime = 500 * time.Millisecond
	// memberSwapInterval is how often two neighbours swap whom they have seen:
	// below the time for which a sighting counts (core/gateway/peers), in other
	// halls as well.
	memberSwapInterval = 1500 * time.Millisecond
	// minAskInterval is the least time between two questions to a neighbour. Whatever
	// two gateways may have to exchange, it can't keep a link or a core busy.
	minAskInterval = 20 * time.Millisecond
	// noPeerPause is the wait before asking again where nobody could help.
	noPeerPause = 100 * time.Millisecond
)

// neighbour is one of the places for another gateway that this one exchanges with.
type neighbour struct {
	slot int
	// peer is who has the place; without an id it is a seed.
	peer member.Box
	// keepUntil is when another is drawn.
	keepUntil time.Time
	// position is how far that gateway was when it last spoke or was sent something, and confirmed when
	// its knowledge had last been confirmed then.
	position    catalog.Position
	confirmedAt time.Time
	// membersSwappedAt is when members were last membersSwappedAt.
	membersSwappedAt time.Time
	// sentTriesVersion is which tries were last sent, and sentLeaving whether this gateway's
	// own leaving was.
	sentTriesVersion int
	sentLeaving      bool
	// receivedUpdates is how far its updates came here on requests that end targets and on limits
	// of targets, and sentUpdates how far it was sent those known here.
	receivedUpdates, sentUpdates positions
}

// exchangeWithNeighbours is the duty of exchanging with one neighbour after the other.
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

// exchangeUntilReplaced exchanges with a neighbour until it is time for another, and says whether to
// draw one at once.
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

// shouldKeep says whether to go on with a neighbour, be it among those that are known still
// or not; a seed is asked once.
func (f *Follower) shouldKeep(n *neighbour) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.options.Clock()
	if n.peer.ID == "" {
		return n.confirmedAt.IsZero()
	}
	return now.Before(n.keepUntil) && !f.view.Avoids(now, n.peer.ID)
}

// isAlone says whether no other gateway is known that may be asked.
func (f *Follower) isAlone() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.view.Alone(f.options.Clock())
}

// exchange asks a neighbour once and works its answer in. While the question waits,
// what the neighbour lacks is sent to it.
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

// pollArgs asks a neighbour to speak once it is further than it was, or than this
// gateway; now and then members are swapped.
func (f *Follower) pollArgs(n *neighbour, wait time.Duration) UpdateArgs {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.options.Clock()
	args := f.ownStateArgs(now)
	args.Wait, args.Digest = wait, !f.requestsDelta(n.peer)
	args.AsksFatal, args.FatalAt = true, f.withAllKinds(n.receivedUpdates).String()
	if args.Digest && args.At.Lacks(n.position) {
		args.At = n.position // what is missing here is asked for already
	}
	args.Age = min(args.Age, now.Sub(n.confirmedAt))
	if now.Sub(n.membersSwappedAt) > memberSwapInterval*f.hallFactor(n) {
		n.membersSwappedAt = now
		args.Members = f.view.Sightings(now, n.peer.Hall)
	}
	return args
}

// ownStateArgs is what this gateway says of its own knowledge; the lock is held.
func (f *Follower) ownStateArgs(now time.Time) UpdateArgs {
	return UpdateArgs{
		At: f.catalog.Position(), Age: f.fresh.Age(now), Tries: f.tries.Published(now),
		FollowsEvacuations: f.options.Source.followsEvacuations(), FollowsRollouts: f.options.Source.followsRollouts(),
	}
}

// push sends a neighbour, without waiting for its answer, what it lacks, if it may be
// sent that now. It returns what is closed when there may be something new to send.
func (f *Follower) push(l *link, n *neighbour, may bool) (changed chan struct{}) {
	f.mu.Lock()
	now := f.options.Clock()
	worth := may && f.hasUpdateFor(now, n)
	args := f.ownStateArgs(now)
	args.Digest, args.From = true, f.view.Self()
	if worth {
		args.News, args.Base = f.deltaFor(n), n.position
		n.position, n.confirmedAt = args.At, now.Add(-min(args.Age, neverConfirmedAge))
		n.sentTriesVersion, n.sentLeaving = f.tries.Version(), args.From.Leaving
		args.Fatal, n.sentUpdates = f.updatesSince(f.withAllKinds(n.sentUpdates))
	}
	changed = f.changed
	f.mu.Unlock()
	if worth {
		l.ask(args) // the question that waits shows whether the neighbour is there
	}
	return changed
}

// hasUpdateFor says whether a neighbour lacks something that this gateway has; the
// lock is held.
func (f *Follower) hasUpdateFor(now time.Time, n *neighbour) bool {
	leaves := f.view.Self().Leaving && !n.sentLeaving
	further := n.position.Lacks(f.catalog.Position())
	tries := f.tries.Version() != n.sentTriesVersion
	return leaves || further || tries || f.lacksUpdates(f.withAllKinds(n.sentUpdates)) || f.fresh.Confirms(now, now.Sub(n.confirmedAt))
}

// recordReply notes how far a neighbour is, and logs who it is if it is new. One that
// is as far out of date as this gateway is soon replaced.
func (f *Follower) recordReply(n *neighbour, reply *UpdateReply) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.options.Clock()
	if first := n.confirmedAt.IsZero(); first && n.peer.ID != "" {
		f.options.Log.Info("news come from", "peer", n.peer.ID, "address", n.peer.Peer, "hall", n.peer.Hall, "age_s", f.loggedAge())
	}
	n.position, n.receivedUpdates = reply.Delta.To, parsePositions(reply.FatalAt)
	n.confirmedAt = now.Add(-min(reply.Age, neverConfirmedAge))
	if !f.fresh.Fresh(now) && reply.Age >= f.options.Timing.StaleAfter {
		n.keepUntil = earlier(n.keepUntil, now.Add(staleNeighbourKeepTime))
	}
}

// neverConfirmedAge represents the age of what nobody has confirmed.
const neverConfirmedAge = time.Hour

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// noteLost notes, and logs, that a gateway did not answer; one of which only the
// address is known is not counted.
func (f *Follower) noteLost(peer member.Box, err error) {
	if peer.ID == "" {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.options.Metrics.PeerLost()
	f.view.Fail(f.options.Clock(), peer.ID)
	f.wake() // the reading may fall to this gateway now
	f.options.Log.Info("peer lost", "peer", peer.ID, "address", peer.Peer, "error", err.Error())
}

// observeSightings takes in whom another gateway, the first of the sightings, has learnt of, and
// what it says of itself by Observe or Called of the view; the lock is held.
func (f *Follower) observeSightings(now time.Time, sightings []peers.Sighting, observe observer) {
	if len(sightings) == 0 {
		return
	}
	f.observePeer(now, sightings[0].Box, observe)
	f.view.Sighted(now, sightings[1:])
}

// observer takes in what a gateway says of itself and reports whether it is back.
type observer func(now time.Time, box member.Box) (back bool)

// observePeer takes in what a gateway says of itself; the lock is held.
func (f *Follower) observePeer(now time.Time, box member.Box, observe observer) {
	alone := f.view.Alone(now)
	if observe(now, box) {
		f.options.Log.Info("peer back", "peer", box.ID, "address", box.Peer)
	}
	if f.firstPeerAt.IsZero() {
		f.firstPeerAt = now
	}
	if alone || box.Leaving {
		f.wake() // there is somebody to exchange with, or to be replaced
	}
}
