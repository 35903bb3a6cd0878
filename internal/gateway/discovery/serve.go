package discovery

import (
	"net"
	"net/rpc"
	"time"

	"github.com/sprucecrank/sprucecrank/core/gateway/catalog"
)

const (
	// wholesAtOnce and wholeEvery bound how often all that is known is sent: so many at
	// once, then one each wholeEvery. Of 11 kB each, a list of 719 targets, they
	// take half of a link of 20 Mbit/s; those that were sent it send it to others meanwhile.
	wholesAtOnce = 4
	wholeEvery   = 8 * time.Millisecond
	// oldLookEvery is the time between two looks at a waiting question whose caller's
	// knowledge has grown old. This gateway's may have become younger by less than wakes
	// those that wait, and the gain that is worth telling falls with the caller's age.
	oldLookEvery = 20 * time.Millisecond
)

// methods are what other gateways may call.
type methods struct{ follower *Follower }

// News answers once the caller lacks something or its wait is over.
func (m *methods) News(args UpdateArgs, reply *UpdateReply) error {
	return m.follower.answer(args, reply)
}

// Service is what other gateways may call on the same connections beside the exchange.
type Service struct {
	Name string
	// Methods has methods as net/rpc wants them.
	Methods any
}

// Serve answers other gateways, also by further services, until the listener is closed.
func (f *Follower) Serve(l net.Listener, more ...Service) error {
	server := rpc.NewServer()
	for _, s := range append([]Service{{Name: serviceName, Methods: &methods{follower: f}}}, more...) {
		if err := server.RegisterName(s.Name, s.Methods); err != nil {
			return err
		}
	}
	for {
		conn, err := l.Accept()
		if err != nil {
			return err
		}
		go server.ServeConn(conn)
	}
}

func (f *Follower) answer(args UpdateArgs, reply *UpdateReply) error {
	asked := f.options.Clock()
	if err := f.takeNews(args); err != nil {
		return err
	}
	f.noteAsked(args)
	f.await(args)
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.options.Clock()
	reply.Held = now.Sub(asked)
	if args.Members != nil || f.view.Self().Leaving {
		hall := f.options.Self.Hall
		if len(args.Members) > 0 {
			hall = args.Members[0].Box.Hall
		}
		reply.Members = f.view.Sightings(now, hall)
	}
	reply.Age, reply.Origin = f.fresh.Age(now), f.fresh.Origin()
	reply.Tries = f.tries.Published(now)
	reply.LimitsFor = f.options.LimitsFor()
	if args.AsksFatal {
		body, to := f.updatesSince(parsePositions(args.FatalAt))
		reply.Fatal, reply.FatalAt = body, to.reply()
	}
	if id, age := f.fresh.Reader(now); age < f.options.Timing.SilentAfter {
		reply.Reader, reply.ReaderAge = id, age
	}
	if args.Digest {
		reply.Delta.To = f.catalog.Position()
		return nil
	}
	return f.addUpdate(args, reply)
}

// addUpdate adds what the caller lacks to an answer; the lock is held.
func (f *Follower) addUpdate(args UpdateArgs, reply *UpdateReply) error {
	reply.Delta = f.catalog.Since(args.At)
	if reply.Delta.Whole {
		if reply.Busy = !f.wholes.Allow(); reply.Busy {
			reply.Delta = catalog.Delta{To: reply.Delta.To}
			return nil
		}
		var err error
		if reply.Targets, err = f.packedTargets.of(reply.Delta.To.Targets, reply.Delta.Changes); err != nil {
			return err
		}
		reply.Delta.Changes = nil
	}
	if reply.Delta.Config == nil {
		return nil
	}
	var err error
	reply.Delta.Config, err = f.packedConfig.of(reply.Delta.To.Config, reply.Delta.Config)
	return err
}

// noteAsked notes that another gateway asks, what it sends, and whom it has seen.
func (f *Follower) noteAsked(args UpdateArgs) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.options.Clock()
	f.asked = now
	f.meet(now, args.Members, f.view.ObserveCall)
	f.noteTries(now, args.Tries)
	f.mergeUpdates(args.Fatal, args.From.ID)
	if args.From.ID == "" {
		return
	}
	f.greet(now, args.From, f.view.ObserveCall)
	told := offer{peer: args.From, at: args.At, fresher: !f.catalog.Position().IsBehind(args.At)}
	if !told.fresher || f.fresh.Age(now) > args.Age {
		f.noteOffer(now, told)
	}
}

// await waits while there is nothing to send the caller.
func (f *Follower) await(args UpdateArgs) {
	if args.Wait <= 0 {
		return
	}
	asked := f.options.Clock()
	for {
		f.mu.Lock()
		changed, done, next := f.changed, f.hasAnswer(args, asked), f.nextLook(args, asked)
		f.mu.Unlock()
		if done || next <= 0 {
			return
		}
		timer := time.NewTimer(next)
		select {
		case <-changed:
		case <-timer.C:
		}
		timer.Stop()
	}
}

// nextLook is how long a question waits until it is looked at again though nothing
// changes: until its wait is over or the caller's knowledge has grown old, and from then on
// each oldLookEvery; the lock is held.
func (f *Follower) nextLook(args UpdateArgs, asked time.Time) time.Duration {
	waited := f.options.Clock().Sub(asked)
	left := args.Wait - waited
	if untilOld := f.fresh.UntilOld(older(args.Age, waited)); untilOld > 0 {
		return min(left, untilOld+time.Millisecond)
	}
	return min(left, oldLookEvery)
}

// lacks says whether there is anything at a position that the caller lacks and follows.
func (a UpdateArgs) lacks(position catalog.Position) bool {
	if !a.FollowsEvacuations {
		position.EvacuationsChanged = 0
	}
	if !a.FollowsRollouts {
		position.RolloutsChanged = 0
	}
	return a.At.IsBehind(position)
}

// hasAnswer says whether there is something to answer now: an update, news that
// confirms the caller's old knowledge, a try to read the store, a request that ends targets or
// a target's limit that it has not learnt of, or that this gateway leaves; the lock is held.
func (f *Follower) hasAnswer(args UpdateArgs, asked time.Time) bool {
	now := f.options.Clock()
	ahead := args.lacks(f.catalog.Position())
	confirms := f.fresh.Confirms(now, older(args.Age, now.Sub(asked)))
	tries := f.tries.AnyMissingIn(now, args.Tries)
	updates := args.AsksFatal && f.lacksUpdates(parsePositions(args.FatalAt))
	return ahead || confirms || tries || updates || f.view.Self().Leaving
}
