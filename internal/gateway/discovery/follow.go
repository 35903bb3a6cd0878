package discovery

import (
	"context"
	"errors"
	"net"
	"net/rpc"
	"slices"
	"time"

	"github.com/sprucecrank/sprucecrank/core/gateway/catalog"
	"github.com/sprucecrank/sprucecrank/core/member"
	"github.com/sprucecrank/sprucecrank/internal/pause"
)

const (
	serviceName = "Feed" // as processes of earlier versions name it
	methodNews  = serviceName + ".News"
	// dutyRelay names the duty of telling the other gateways of a hall.
	dutyRelay = "relay/"
	// tellMembersEvery is how often two gateways swap whom they have heard from.
	tellMembersEvery = 1500 * time.Millisecond
	// tryFirstEvery is how often the first in rank is asked, though another
	// gateway reads.
	tryFirstEvery = 2 * time.Second
	// quietPause is the wait before a gateway without fresh news is asked again.
	quietPause = 100 * time.Millisecond
	// dullFor is how long a gateway without fresh news is passed over.
	dullFor = 700 * time.Millisecond
)

// NewsArgs asks a gateway for what the caller lacks.
type NewsArgs struct {
	At   catalog.Position
	Wait time.Duration
	// Age is how long ago what the caller believes was confirmed.
	Age time.Duration
	// Members are given now and then, the caller first, and then asked for as
	// well.
	Members []member.Sighting
}

// NewsReply is what the caller lacks.
type NewsReply struct {
	// Age is how long ago what the answering gateway believes was confirmed, and
	// Origin the id of the gateway whose reading of the store confirmed it.
	Age    time.Duration
	Origin string
	// Delta holds the configuration packed.
	Delta catalog.Delta
	// Members are given when they are asked for, the answering gateway first,
	// and when it leaves.
	Members []member.Sighting
}

var errNoAnswer = errors.New("the gateway did not answer in time")

// link is a connection to the gateway that is asked for news.
type link struct {
	address string
	client  *rpc.Client
	told    time.Time // when members were last swapped
}

// Follow is the duty of asking another gateway for news.
func (f *Follower) Follow(ctx context.Context) error {
	var at link
	defer at.close()
	dull := map[string]time.Time{}
	seed := 0
	for ctx.Err() == nil {
		address, id := f.source(dull, &seed)
		if address == "" {
			if !pause.For(ctx, quietPause) {
				return nil
			}
			continue
		}
		reply, err := f.ask(ctx, &at, address)
		switch {
		case err != nil:
			at.close()
			f.lost(id, address, err)
			if id == "" && !pause.For(ctx, quietPause) {
				return nil
			}
		case reply.Age >= f.options.Timing.SilentAfter:
			dull[id] = f.options.Clock().Add(dullFor)
			if !pause.For(ctx, quietPause) {
				return nil
			}
		default:
			f.noteSource(address, id)
		}
	}
	return nil
}

// source picks whom to ask: the relay of the own hall, or, for the relay itself,
// a gateway that reads the store. Without any, the seeds are tried in turn.
func (f *Follower) source(dull map[string]time.Time, seed *int) (address, id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.options.Clock()
	self := f.options.Self
	for _, box := range f.members.Ranked(now, dutyRelay+self.Hall, allRanked) {
		if box.Hall != self.Hall {
			continue
		}
		if box.ID == self.ID {
			break // this gateway is the relay, or all before it are dull
		}
		if now.After(dull[box.ID]) {
			return box.Peer, box.ID
		}
	}
	for _, box := range f.readersToAsk(now) {
		if box.ID != self.ID && now.After(dull[box.ID]) {
			return box.Peer, box.ID
		}
	}
	seeds := f.options.Seeds()
	for range seeds {
		*seed++
		if candidate := seeds[*seed%len(seeds)]; candidate != self.Peer {
			return candidate, ""
		}
	}
	return "", ""
}

// readersToAsk lists gateways in the order in which to ask them for what they
// read: the one that confirmed last what is believed, then by rank. Now and then
// the first in rank comes first, so that it is found when it can read again.
func (f *Follower) readersToAsk(now time.Time) []member.Box {
	ranked := f.members.Ranked(now, dutyReader, allRanked)
	if now.Sub(f.triedFirst) > tryFirstEvery {
		f.triedFirst = now
		return ranked
	}
	at := slices.IndexFunc(ranked, func(box member.Box) bool { return box.ID == f.origin })
	if at <= 0 {
		return ranked
	}
	origin := ranked[at]
	return slices.Insert(slices.Delete(ranked, at, at+1), 0, origin)
}

// noteSource logs that fresh news come from another gateway than before.
func (f *Follower) noteSource(address, id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if address == f.told {
		return
	}
	f.options.Log.Info("news come from", "peer", id, "address", address, "before", f.told, "age_s", f.loggedAge())
	f.told = address
}

func (f *Follower) lost(id, address string, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if id != "" {
		f.options.Metrics.PeerLost()
		f.members.Fail(f.options.Clock(), id)
		f.lostPeers[id] = true
		f.wake() // the reading may fall to this gateway now
		f.options.Log.Info("peer lost", "peer", id, "address", address, "error", err.Error())
	}
}

// ask makes one question and works its answer in.
func (f *Follower) ask(ctx context.Context, at *link, address string) (*NewsReply, error) {
	timing := f.options.Timing
	if err := at.open(ctx, address, f.options.Dial, timing.PollSlack); err != nil {
		return nil, err
	}
	args := f.question(at)
	call := at.client.Go(methodNews, args, &NewsReply{}, make(chan *rpc.Call, 1))
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
	reply := call.Reply.(*NewsReply)
	if packedBody := reply.Delta.Config; packedBody != nil {
		body, err := unpack(packedBody)
		if err != nil {
			return nil, err
		}
		reply.Delta.Config = body
	}
	f.learn(address, reply)
	return reply, nil
}

func (f *Follower) question(at *link) NewsArgs {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.options.Clock()
	args := NewsArgs{At: f.catalog.Position(), Wait: f.options.Timing.Poll, Age: f.age(now)}
	if now.Sub(at.told) > tellMembersEvery || now.Sub(f.started) < f.settleTime() {
		at.told = now
		args.Members = f.sightings(now)
	}
	return args
}

func (f *Follower) learn(from string, reply *NewsReply) {
	f.apply(from, func(c *catalog.Catalog) (bool, bool) { return c.Merge(reply.Delta) })
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.options.Clock()
	f.meet(now, reply.Members)
	if reply.Age != neverConfirmed {
		f.confirm(now.Add(-reply.Age), reply.Origin)
	}
}

// toldOfDuty is how many gateways are told of for each duty.
const toldOfDuty = 5

// sightings is whom this gateway tells another of; the lock is held.
func (f *Follower) sightings(now time.Time) []member.Sighting {
	duties := []member.Duty{{Name: dutyReader}}
	for _, hall := range f.members.Halls() {
		duties = append(duties, member.Duty{Name: dutyRelay + hall, Hall: hall})
	}
	return f.members.SightingsFor(now, duties, toldOfDuty)
}

// meet takes in whom another gateway, the first of the sightings, has heard of;
// the lock is held.
func (f *Follower) meet(now time.Time, sightings []member.Sighting) {
	if len(sightings) == 0 {
		return
	}
	first := sightings[0].Box
	f.members.Heard(now, first)
	if f.lostPeers[first.ID] {
		delete(f.lostPeers, first.ID)
		f.options.Log.Info("peer back", "peer", first.ID, "address", first.Peer)
	}
	f.members.Sighted(now, sightings[1:])
}

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

func (l *link) close() {
	if l.client != nil {
		_ = l.client.Close()
		l.client = nil
	}
}
