package discovery

import (
	"net"
	"net/rpc"
	"time"
)

// methods are what other gateways may call.
type methods struct{ feed *Follower }

// News answers once the caller lacks something or its wait is over.
func (m *methods) News(args NewsArgs, reply *NewsReply) error {
	return m.feed.answer(args, reply)
}

// Serve takes questions of other gateways until the listener is closed.
func (f *Follower) Serve(l net.Listener) error {
	server := rpc.NewServer()
	if err := server.RegisterName(serviceName, &methods{feed: f}); err != nil {
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

func (f *Follower) answer(args NewsArgs, reply *NewsReply) error {
	f.mu.Lock()
	now := f.options.Clock()
	f.asked = now
	f.meet(now, args.Members)
	f.mu.Unlock()
	f.await(args)
	f.mu.Lock()
	defer f.mu.Unlock()
	if args.Members != nil || f.members.Self().Leaving {
		reply.Members = f.sightings(f.options.Clock())
	}
	reply.Age, reply.Origin = f.age(f.options.Clock()), f.origin
	reply.Delta = f.catalog.Since(args.At)
	if reply.Delta.Config == nil {
		return nil
	}
	var err error
	reply.Delta.Config, err = f.packed.of(reply.Delta.To.Config, reply.Delta.Config)
	return err
}

// await waits while the caller lacks nothing and this gateway's news are fresh,
// or about to be.
func (f *Follower) await(args NewsArgs) {
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

// hasAnswer says whether there is something to tell now: news, a word that
// confirms the caller's old ones, or that this gateway is of no use to it; the
// lock is held.
func (f *Follower) hasAnswer(args NewsArgs, asked time.Time) bool {
	now := f.options.Clock()
	at := f.catalog.Position()
	ahead := at.Config > args.At.Config || at.Targets > args.At.Targets
	theirs := args.Age + now.Sub(asked)
	confirms := theirs > f.options.Timing.SilentAfter/2 && f.age(now) < theirs/2
	reading := f.reads && !f.config.broken && !f.targets.broken
	dull := !f.live(now) && !reading
	return ahead || confirms || dull || f.members.Self().Leaving
}
