package discovery

import (
	"context"
	"errors"
	"net"
	"net/rpc"
	"time"

	"github.com/sprucecrank/sprucecrank/core/gateway/catalog"
	"github.com/sprucecrank/sprucecrank/core/gateway/freshness"
	"github.com/sprucecrank/sprucecrank/internal/pause"
)

const (
	// swapMembersEvery is how often two gateways swap whom they have heard from.
	// Chosen: well below the time for which a sighting counts (core/member).
	swapMembersEvery = 1500 * time.Millisecond
	// quietPause is the wait before asking again where nobody could help. Chosen.
	quietPause = 100 * time.Millisecond
)

var errNoAnswer = errors.New("the gateway did not answer in time")

// link is a connection to the gateway that is asked for updates.
type link struct {
	address string
	client  *rpc.Client
	swapped time.Time // when members were last swapped
}

// Follow is the duty of asking another gateway for updates.
func (f *Follower) Follow(ctx context.Context) error {
	var to link
	defer to.close()
	for ctx.Err() == nil {
		address, id := f.pickPeer()
		if f.poll(ctx, &to, address, id) {
			continue
		}
		if !pause.For(ctx, quietPause) {
			return nil
		}
	}
	return nil
}

// poll asks a gateway once and says whether to go on at once.
func (f *Follower) poll(ctx context.Context, to *link, address, id string) bool {
	if address == "" {
		return false
	}
	reply, err := f.ask(ctx, to, address)
	switch {
	case err != nil:
		to.close()
		f.noteLost(id, address, err)
		return id != "" // another is picked then
	case reply.Age >= f.options.Timing.SilentAfter:
		f.noteStale(id)
		return false
	default:
		f.noteSource(address, id)
		return true
	}
}

// ask makes one question and works its answer in.
func (f *Follower) ask(ctx context.Context, to *link, address string) (*UpdateReply, error) {
	timing := f.options.Timing
	if err := to.open(ctx, address, f.options.Dial, timing.PollSlack); err != nil {
		return nil, err
	}
	call := to.client.Go(methodNews, f.question(to), &UpdateReply{}, make(chan *rpc.Call, 1))
	timer := time.NewTimer(timing.Poll + timing.PollSlack)
	defer timer.Stop()
	select {
	case <-call.Done:
	case <-timer.C:
		return nil, errNoAnswer
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	if call.Error != nil {
		return nil, call.Error
	}
	reply := call.Reply.(*UpdateReply)
	return reply, f.take(address, reply)
}

// question is what this gateway asks: what it lacks and, now and then, whom the
// other has heard from.
func (f *Follower) question(to *link) UpdateArgs {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.options.Clock()
	args := UpdateArgs{At: f.catalog.Position(), Wait: f.options.Timing.Poll, Age: f.fresh.Age(now)}
	if now.Sub(to.swapped) > swapMembersEvery || f.isSettling(now) {
		to.swapped = now
		args.Members = f.sightings(now)
	}
	return args
}

// take works an answer in.
func (f *Follower) take(from string, reply *UpdateReply) error {
	if packed := reply.Delta.Config; packed != nil {
		body, err := unpack(packed)
		if err != nil {
			return err
		}
		reply.Delta.Config = body
	}
	f.apply(from, func(c *catalog.Catalog) (bool, bool) { return c.Merge(reply.Delta) })
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.options.Clock()
	f.meet(now, reply.Members)
	if reply.Age != freshness.Never {
		f.confirm(now.Add(-reply.Age), reply.Origin)
	}
	return nil
}

// confirm notes that what is believed was all that the store held at a moment, by
// the reading of the gateway origin; the lock is held.
func (f *Follower) confirm(at time.Time, origin string) {
	outranks := f.ranksBefore(f.options.Clock(), origin)
	f.wakeIfOld(f.fresh.Confirm(at, origin, outranks))
}

// open connects to an address, unless the link stands already.
func (l *link) open(ctx context.Context, address string, dial func(context.Context, string, string) (net.Conn, error), timeout time.Duration) error {
	if l.client != nil && l.address == address {
		return nil
	}
	l.close()
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	conn, err := dial(ctx, "tcp", address)
	if err != nil {
		return err
	}
	*l = link{address: address, client: rpc.NewClient(conn)}
	return nil
}

// close ends the connection; that of a peer which is gone needs no more.
func (l *link) close() {
	if l.client != nil {
		_ = l.client.Close()
		l.client = nil
	}
}
