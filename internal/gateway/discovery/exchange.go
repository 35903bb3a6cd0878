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

// askOnce asks a gateway a question that does not wait and works its answer in.
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
		return f.answered(peer, call, asked)
	case <-timer.C:
		return nil, errNoAnswer
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// answered works the answer to a question in that was asked at a moment.
func (f *Follower) answered(peer member.Box, call *rpc.Call, asked time.Time) (*UpdateReply, error) {
	if call.Error != nil {
		return nil, call.Error
	}
	reply := call.Reply.(*UpdateReply)
	onTheWay := max(0, f.options.Clock().Sub(asked)-reply.Held)
	reply.Age, reply.ReaderAge = older(reply.Age, onTheWay), older(reply.ReaderAge, onTheWay)
	f.options.ObserveLimits(reply.LimitsFor - onTheWay)
	return reply, f.take(peer, reply)
}

// older is the age, some time later, of what had an age.
func older(age, later time.Duration) time.Duration {
	if age == freshness.Never {
		return age
	}
	return age + later
}

// take works an answer in. What it only says to be missing here is asked for.
func (f *Follower) take(peer member.Box, reply *UpdateReply) error {
	if err := reply.unpack(); err != nil {
		return err
	}
	if d := reply.Delta; !d.IsEmpty() {
		f.apply(peer.Peer, func(c *catalog.Catalog) catalog.Changed { return c.Merge(d) })
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.options.Clock()
	f.meet(now, reply.Members, f.view.ObserveAnswer)
	f.fresh.NoteReader(now.Add(-reply.ReaderAge), reply.Reader)
	f.noteTries(now, reply.Tries)
	f.mergeUpdates(reply.Fatal, peer.ID)
	f.compare(now, peer, reply)
	return nil
}

// unpack gives back what was packed for the way.
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

// compare holds another gateway's position against the own: what that one says of its
// age holds here, too, unless something is missing, which is asked for. The lock is
// held.
func (f *Follower) compare(now time.Time, peer member.Box, reply *UpdateReply) {
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
	f.noteLife(now, position)
	f.publishWaiting(peer.Peer)
	f.confirm(now.Add(-reply.Age), reply.Origin)
}

// canConfirm says whether an update of a gateway at a position can confirm all that is
// believed here: one of an earlier version follows no evacuations, or no rollouts.
func (f *Follower) canConfirm(theirs catalog.Position) bool {
	evacuations := theirs.Evacuations > 0 || !f.options.Source.followsEvacuations()
	rollouts := theirs.Rollouts > 0 || !f.options.Source.followsRollouts()
	return evacuations && rollouts
}

// confirm notes that what is believed was all that the store held at a moment, by
// the reading of the gateway origin; the lock is held.
func (f *Follower) confirm(at time.Time, origin string) {
	f.wakeIfOld(f.fresh.Confirm(at, origin))
}

// noteTries takes in which tries to read the store another gateway knows of; the lock is
// held.
func (f *Follower) noteTries(now time.Time, tries []reader.Try) {
	news := false
	for _, try := range tries {
		news = f.tries.Add(now, try) || news
		if try.Failed {
			f.fresh.NoteFailed(now.Add(-try.Ago))
		}
	}
	if news {
		f.wake() // others have to learn of it, and the reading may no longer fall to this one
	}
}
