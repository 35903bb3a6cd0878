package discovery

import (
	"net"
	"net/rpc"
	"time"

	"github.com/sprucecrank/sprucecrank/core/gateway/catalog"
)

const (
	// fullDeltaBurst and fullDeltaInterval limit how often the full catalog is sent: a burst,
	// then one each interval. With 11 kB each, a list of 719 targets, this uses half of a link
	// of 20 Mbit/s; gateways that received it forward it to others meanwhile.
	fullDeltaBurst    = 4
	fullDeltaInterval = 8 * time.Millisecond
	// staleCheckInterval is the time between two checks of a waiting request whose caller's
	// state has become stale. This gateway's state may have become fresher without a
	// wake-up of the waiting requests. Also, the older the caller's state becomes, the
	// smaller is the reduction of its age that justifies a reply.
	staleCheckInterval = 20 * time.Millisecond
)

// methods holds the methods that other gateways may call.
type methods struct{ follower *Follower }

// News replies once the caller lacks something or its wait is over.
func (m *methods) News(args UpdateArgs, reply *UpdateReply) error {
	return m.follower.answer(args, reply)
}

// Service is a further net/rpc service on the connections of the exchange.
type Service struct {
	Name string
	// Methods has methods as net/rpc requires them.
	Methods any
}

// Serve answers calls of other gateways until the listener is closed. It registers the
// services in more beside that of the exchange.
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
	if err := f.applyPushedDelta(args); err != nil {
		return err
	}
	f.recordRequest(args)
	f.waitForUpdate(args)
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
	reply.LimitsFor = f.options.SharingLeft()
	if args.AsksFatal {
		body, to := f.updatesSince(parsePositions(args.FatalAt))
		reply.Fatal, reply.FatalAt = body, to.reply()
	}
	if id, age := f.fresh.Reader(now); age < f.options.Timing.StaleAfter {
		reply.Reader, reply.ReaderAge = id, age
	}
	if args.Digest {
		reply.Delta.To = f.catalog.Position()
		return nil
	}
	return f.addUpdate(args, reply)
}

// addUpdate adds to a reply what the caller lacks; the lock is held.
func (f *Follower) addUpdate(args UpdateArgs, reply *UpdateReply) error {
	reply.Delta = f.catalog.Since(args.At)
	if reply.Delta.Whole {
		if reply.Busy = !f.fullDeltas.Allow(); reply.Busy {
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

// recordRequest records that another gateway asked, merges what it sent, and observes the
// gateways that it has seen.
func (f *Follower) recordRequest(args UpdateArgs) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.options.Clock()
	f.lastAskedAt = now
	f.observeSightings(now, args.Members, f.view.ObserveCall)
	f.noteTries(now, args.Tries)
	f.mergeUpdates(args.Fatal, args.From.ID)
	if args.From.ID == "" {
		return
	}
	f.observePeer(now, args.From, f.view.ObserveCall)
	advertised := offer{peer: args.From, at: args.At, fresher: !f.catalog.Position().IsBehind(args.At)}
	if !advertised.fresher || f.fresh.Age(now) > args.Age {
		f.noteOffer(now, advertised)
	}
}

// waitForUpdate waits while there is nothing to send to the caller.
func (f *Follower) waitForUpdate(args UpdateArgs) {
	if args.Wait <= 0 {
		return
	}
	asked := f.options.Clock()
	for {
		f.mu.Lock()
		changed, done, next := f.changed, f.hasAnswer(args, asked), f.untilNextCheck(args, asked)
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

// untilNextCheck returns how long a waiting request is left alone if nothing changes: until
// its wait is over or the caller's state becomes stale, and staleCheckInterval from then
// on; the lock is held.
func (f *Follower) untilNextCheck(args UpdateArgs, asked time.Time) time.Duration {
	waited := f.options.Clock().Sub(asked)
	left := args.Wait - waited
	if untilOld := f.fresh.UntilOld(agedBy(args.Age, waited)); untilOld > 0 {
		return min(left, untilOld+time.Millisecond)
	}
	return min(left, staleCheckInterval)
}

// lacks reports whether the caller lacks anything that it follows at a position.
func (a UpdateArgs) lacks(position catalog.Position) bool {
	if !a.FollowsEvacuations {
		position.EvacuationsChanged = 0
	}
	if !a.FollowsRollouts {
		position.RolloutsChanged = 0
	}
	return a.At.IsBehind(position)
}

// hasAnswer reports whether there is a reason to reply now: an update, a confirmation of
// the caller's stale state, an attempt to read the store, a request that terminates targets
// or a target's limit that the caller does not know, or that this gateway is leaving; the
// lock is held.
func (f *Follower) hasAnswer(args UpdateArgs, asked time.Time) bool {
	now := f.options.Clock()
	lacks := args.lacks(f.catalog.Position())
	confirms := f.fresh.CanConfirm(now, agedBy(args.Age, now.Sub(asked)))
	tries := f.tries.AnyMissingIn(now, args.Tries)
	updates := args.AsksFatal && f.lacksUpdates(parsePositions(args.FatalAt))
	return lacks || confirms || tries || updates || f.view.Self().Leaving
}
