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
	// staleFor is how long a neighbour is kept that has grown out of date like this
	// gateway itself. Somebody fresher is found in time for two failures.
	staleFor = 500 * time.Millisecond
	// swapMembersEvery is how often two neighbours swap whom they have seen:
	// below the time for which a sighting counts (core/gateway/peers), in other
	// halls as well.
	swapMembersEvery = 1500 * time.Millisecond
	// askFloor is the least time between two questions to a neighbour. Whatever
	// two gateways may have to exchange, it can't keep a link or a core busy.
	askFloor = 20 * time.Millisecond
	// quietPause is the wait before asking again where nobody could help.
	quietPause = 100 * time.Millisecond
)

// neighbour is one of the places for another gateway that this one exchanges with.
type neighbour struct {
	place int
	// peer is who has the place; without an id it is a seed.
	peer member.Box
	// until is when another is drawn.
	until time.Time
	// at is how far that gateway was when it last spoke or was sent something, and confirmed when
	// its knowledge had last been confirmed then.
	at        catalog.Position
	confirmed time.Time
	// swapped is when members were last swapped.
	swapped time.Time
	// sentTries is which tries were last sent, and sentLeaving whether this gateway's
	// own leaving was.
	sentTries   int
	sentLeaving bool
	// receivedUpdates is how far its updates came here on requests that end targets and on limits
	// of targets, and sentUpdates how far it was sent those known here.
	receivedUpdates, sentUpdates positions
}

// follow is the duty of exchanging with one neighbour after the other.
func (f *Follower) follow(ctx context.Context, place int) error {
	for ctx.Err() == nil {
		n, ok := f.drawNeighbour(place)
		if !ok {
			f.idle(ctx, quietPause)
			continue
		}
		if !f.keep(ctx, n) && !pause.For(ctx, quietPause) {
			return nil
		}
	}
	return nil
}

// keep exchanges with a neighbour until it is time for another, and says whether to
// draw one at once.
func (f *Follower) keep(ctx context.Context, n *neighbour) bool {
	l, err := f.links.acquire(ctx, n.peer.Peer, f.dialSlack(n.peer))
	if err != nil {
		f.noteLost(n.peer, err)
		return n.peer.ID != ""
	}
	defer func() { f.links.release(l, err != nil) }()
	var reply *UpdateReply
	for wait := time.Duration(0); ctx.Err() == nil && f.isKept(n); wait = f.options.Timing.Poll {
		asked := f.options.Clock()
		if reply, err = f.exchange(ctx, l, n, wait); err != nil {
			f.noteLost(n.peer, err)
			break
		}
		f.noteExchanged(n, reply)
		if left := askFloor - f.options.Clock().Sub(asked); wait > 0 && left > 0 {
			pause.For(ctx, left)
		}
	}
	return n.peer.ID != "" || !f.isAlone()
}

// isKept says whether to go on with a neighbour, be it among those that are known still
// or not; a seed is asked once.
func (f *Follower) isKept(n *neighbour) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.options.Clock()
	if n.peer.ID == "" {
		return n.confirmed.IsZero()
	}
	return now.Before(n.until) && !f.view.IsAvoided(now, n.peer.ID)
}

// isAlone says whether no other gateway is known that may be asked.
func (f *Follower) isAlone() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.view.HasNoUsablePeer(f.options.Clock())
}

// exchange asks a neighbour once and works its answer in. While the question waits,
// what the neighbour lacks is sent to it.
func (f *Follower) exchange(ctx context.Context, l *link, n *neighbour, wait time.Duration) (*UpdateReply, error) {
	asked := f.options.Clock()
	call := l.ask(f.question(n, wait))
	timer := time.NewTimer(wait + f.answerSlack(n.peer))
	defer timer.Stop()
	for {
		changed := f.tell(l, n, wait > 0)
		select {
		case <-call.Done:
			return f.answered(n.peer, call, asked)
		case <-timer.C:
			return nil, errNoAnswer
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-changed:
		}
	}
}

// question asks a neighbour to speak once it is further than it was, or than this
// gateway; now and then members are swapped.
func (f *Follower) question(n *neighbour, wait time.Duration) UpdateArgs {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.options.Clock()
	args := f.standing(now)
	args.Wait, args.Digest = wait, !f.asksInFull(n.peer)
	args.AsksFatal, args.FatalAt = true, f.asksAll(n.receivedUpdates).String()
	if args.Digest && args.At.IsBehind(n.at) {
		args.At = n.at // what is missing here is asked for already
	}
	args.Age = min(args.Age, now.Sub(n.confirmed))
	if now.Sub(n.swapped) > swapMembersEvery*f.factor(n) {
		n.swapped = now
		args.Members = f.view.Sightings(now, n.peer.Hall)
	}
	return args
}

// standing is what this gateway says of its own knowledge; the lock is held.
func (f *Follower) standing(now time.Time) UpdateArgs {
	return UpdateArgs{
		At: f.catalog.Position(), Age: f.fresh.Age(now), Tries: f.tries.Published(now),
		FollowsEvacuations: f.options.Source.followsEvacuations(), FollowsRollouts: f.options.Source.followsRollouts(),
	}
}

// tell sends a neighbour, without waiting for its answer, what it lacks, if it may be
// sent that now. It returns what is closed when there may be something new to send.
func (f *Follower) tell(l *link, n *neighbour, may bool) (changed chan struct{}) {
	f.mu.Lock()
	now := f.options.Clock()
	worth := may && f.isWorthSending(now, n)
	args := f.standing(now)
	args.Digest, args.From = true, f.view.Self()
	if worth {
		args.News, args.Base = f.newsFor(n), n.at
		n.at, n.confirmed = args.At, now.Add(-min(args.Age, longAgo))
		n.sentTries, n.sentLeaving = f.tries.Version(), args.From.Leaving
		args.Fatal, n.sentUpdates = f.updatesSince(f.asksAll(n.sentUpdates))
	}
	changed = f.changed
	f.mu.Unlock()
	if worth {
		l.ask(args) // the question that waits shows whether the neighbour is there
	}
	return changed
}

// isWorthSending says whether a neighbour lacks something that this gateway has; the
// lock is held.
func (f *Follower) isWorthSending(now time.Time, n *neighbour) bool {
	leaves := f.view.Self().Leaving && !n.sentLeaving
	further := n.at.IsBehind(f.catalog.Position())
	tries := f.tries.Version() != n.sentTries
	return leaves || further || tries || f.lacksUpdates(f.asksAll(n.sentUpdates)) || f.fresh.Confirms(now, now.Sub(n.confirmed))
}

// noteExchanged notes how far a neighbour is, and logs who it is if it is new. One that
// is as far out of date as this gateway is soon replaced.
func (f *Follower) noteExchanged(n *neighbour, reply *UpdateReply) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.options.Clock()
	if first := n.confirmed.IsZero(); first && n.peer.ID != "" {
		f.options.Log.Info("news come from", "peer", n.peer.ID, "address", n.peer.Peer, "hall", n.peer.Hall, "age_s", f.loggedAge())
	}
	n.at, n.receivedUpdates = reply.Delta.To, parsePositions(reply.FatalAt)
	n.confirmed = now.Add(-min(reply.Age, longAgo))
	if !f.fresh.Fresh(now) && reply.Age >= f.options.Timing.SilentAfter {
		n.until = earlier(n.until, now.Add(staleFor))
	}
}

// longAgo represents the age of what nobody has confirmed.
const longAgo = time.Hour

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
	f.view.RecordFailure(f.options.Clock(), peer.ID)
	f.wake() // the reading may fall to this gateway now
	f.options.Log.Info("peer lost", "peer", peer.ID, "address", peer.Peer, "error", err.Error())
}

// meet takes in whom another gateway, the first of the sightings, has learnt of, and
// what it says of itself by Observe or Called of the view; the lock is held.
func (f *Follower) meet(now time.Time, sightings []peers.Sighting, observe observer) {
	if len(sightings) == 0 {
		return
	}
	f.greet(now, sightings[0].Box, observe)
	f.view.MergeSightings(now, sightings[1:])
}

// observer takes in what a gateway says of itself and reports whether it is back.
type observer func(now time.Time, box member.Box) (back bool)

// greet takes in what a gateway says of itself; the lock is held.
func (f *Follower) greet(now time.Time, box member.Box, observe observer) {
	alone := f.view.HasNoUsablePeer(now)
	if observe(now, box) {
		f.options.Log.Info("peer back", "peer", box.ID, "address", box.Peer)
	}
	if f.met.IsZero() {
		f.met = now
	}
	if alone || box.Leaving {
		f.wake() // there is somebody to exchange with, or to be replaced
	}
}
