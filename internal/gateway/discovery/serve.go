package discovery

import (
	"net"
	"net/rpc"
	"time"
)

// methods are what other gateways may call.
type methods struct{ follower *Follower }

// News answers once the caller lacks something or its wait is over.
func (m *methods) News(args UpdateArgs, reply *UpdateReply) error {
	return m.follower.answer(args, reply)
}

// Serve answers other gateways until the listener is closed.
func (f *Follower) Serve(l net.Listener) error {
	server := rpc.NewServer()
	if err := server.RegisterName(serviceName, &methods{follower: f}); err != nil {
		return err
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
	f.noteAsked(args)
	f.await(args)
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.options.Clock()
	if args.Members != nil || f.members.Self().Leaving {
		reply.Members = f.sightings(now)
	}
	reply.Age, reply.Origin = f.fresh.Age(now), f.fresh.Origin()
	reply.Delta = f.catalog.Since(args.At)
	if reply.Delta.Config == nil {
		return nil
	}
	var err error
	reply.Delta.Config, err = f.packed.of(reply.Delta.To.Config, reply.Delta.Config)
	return err
}

// noteAsked notes that another gateway asks, and whom it has heard of.
func (f *Follower) noteAsked(args UpdateArgs) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.options.Clock()
	f.asked = now
	f.meet(now, args.Members)
}

// await waits while the caller lacks nothing and this gateway's knowledge is
// fresh, or about to be.
func (f *Follower) await(args UpdateArgs) {
	asked := f.options.Clock()
	timer := time.NewTimer(args.Wait)
	defer timer.Stop()
	for {
		f.mu.Lock()
		changed, done := f.changed, f.hasAnswer(args, asked)
		f.mu.Unlock()
		if done {
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			return
		}
	}
}

// hasAnswer says whether there is something to answer now: an update, a word that
// confirms the caller's old knowledge, or that this gateway is of no use to it;
// the lock is held.
func (f *Follower) hasAnswer(args UpdateArgs, asked time.Time) bool {
	now := f.options.Clock()
	at := f.catalog.Position()
	ahead := at.Config > args.At.Config || at.Targets > args.At.Targets
	theirs := args.Age + now.Sub(asked)
	confirms := f.fresh.Confirms(now, theirs)
	aboutToRead := f.reads && !f.fresh.Failing()
	useless := !f.fresh.Fresh(now) && !aboutToRead
	return ahead || confirms || useless || f.members.Self().Leaving
}
