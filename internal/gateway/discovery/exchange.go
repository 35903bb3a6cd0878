package discovery

import (
	"context"
	"errors"
	"net/rpc"
	"time"

	"github.com/sprucecrank/sprucecrank/core/gateway/catalog"
	"github.com/sprucecrank/sprucecrank/core/gateway/freshness"
	"github.com/sprucecrank/sprucecrank/core/gateway/reader"
	"github.com/sprucecrank/sprucecrank/core/member"
)

var errNoAnswer = errors.New("the gateway did not answer in time")

// askOnce sends a gateway a request that does not wait, and applies its reply.
func (f *Follower) askOnce(ctx context.Context, peer member.Box, args UpdateArgs) (reply *UpdateReply, err error) {
	l, err := f.links.acquire(ctx, peer.Peer, f.dialSlack(peer))
	if err != nil {
		return nil, err
	}
	defer func() { f.links.release(l, err != nil) }()
	asked := f.options.Clock()
	call := l.ask(args)
	timer := time.NewTimer(f.answerSlack(peer))
	defer timer.Stop()
	select {
	case <-call.Done:
		return f.handleReply(peer, call, asked)
	case <-timer.C:
		return nil, errNoAnswer
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// handleReply applies the reply to a request that was sent at the time asked.
func (f *Follower) handleReply(peer member.Box, call *rpc.Call, asked time.Time) (*UpdateReply, error) {
	if call.Error != nil {
		return nil, call.Error
	}
	reply := call.Reply.(*UpdateReply)
	inTransit := max(0, f.options.Clock().Sub(asked)-reply.Held)
	reply.Age, reply.ReaderAge = agedBy(reply.Age, inTransit), agedBy(reply.ReaderAge, inTransit)
	f.options.ExtendSharing(reply.LimitsFor - inTransit)
	return reply, f.applyReply(peer, reply)
}

// agedBy returns an age after some more time has passed. freshness.Never remains unchanged.
func agedBy(age, later time.Duration) time.Duration {
	if age == freshness.Never {
		return age
	}
	return age + later
}

// applyReply applies a reply. What is missing here according to the reply, but not
// contained in it, is requested.
func (f *Follower) applyReply(peer member.Box, reply *UpdateReply) error {
	if err := reply.unpack(); err != nil {
		return err
	}
	if d := reply.Delta; !d.IsEmpty() {
		f.apply(peer.Peer, func(c *catalog.Catalog) catalog.Changed { return c.Merge(d) })
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.options.Clock()
	f.observeSightings(now, reply.Members, f.view.ObserveAnswer)
	f.fresh.RecordReader(now.Add(-reply.ReaderAge), reply.Reader)
	f.noteTries(now, reply.Tries)
	f.mergeUpdates(reply.Fatal, peer.ID)
	f.comparePosition(now, peer, reply)
	return nil
}

// unpack decompresses the compressed parts of a reply.
func (r *UpdateReply) unpack() error {
	if r.Delta.Config != nil {
		body, err := inflate(r.Delta.Config)
		if err != nil {
			return err
		}
		r.Delta.Config = body
	}
	if r.Targets == nil {
		return nil
	}
	changes, err := unpackChanges(r.Targets)
	r.Delta.Changes = changes
	return err
}

// comparePosition compares another gateway's position with this gateway's own: that
// gateway's age holds here, too, unless something is missing here, which is then requested.
// The lock is held.
func (f *Follower) comparePosition(now time.Time, peer member.Box, reply *UpdateReply) {
	theirs := reply.Delta.To
	if f.catalog.Position().IsBehind(theirs) {
		f.noteOffer(now, offer{peer: peer, at: theirs})
		return
	}
	position := f.catalog.Position()
	if reply.Age == freshness.Never || !f.canConfirm(theirs) || theirs.OfEarlierLife(position) {
		return
	}
	f.catalog.CatchUp(theirs)
	f.noteEpoch(now, position)
	f.publishWaiting(peer.Peer)
	f.confirm(now.Add(-reply.Age), reply.Origin)
}

// canConfirm reports whether a gateway at a position can confirm all of the state here: a
// gateway of an earlier version follows no evacuations, or no rollouts.
func (f *Follower) canConfirm(theirs catalog.Position) bool {
	evacuations := theirs.Evacuations > 0 || !f.options.Source.followsEvacuations()
	rollouts := theirs.Rollouts > 0 || !f.options.Source.followsRollouts()
	return evacuations && rollouts
}

// confirm records that the known state was identical to the store's at some time, by a read
// of the gateway origin; the lock is held.
func (f *Follower) confirm(at time.Time, origin string) {
	f.wakeIfStale(f.fresh.Confirm(at, origin))
}

// noteTries adds the attempts to read the store that another gateway knows of; the lock is
// held.
func (f *Follower) noteTries(now time.Time, tries []reader.Try) {
	changed := false
	for _, try := range tries {
		changed = f.tries.Add(now, try) || changed
		if try.Failed {
			f.fresh.RecordFailure(now.Add(-try.Ago))
		}
	}
	if changed {
		f.wake() // to forward it, and since this gateway may no longer have to read the store
	}
}
