// Package box is the daemon that runs on every entry box, as a library. It puts
// the duties together: the data path, the granting of slots, the exchange with
// peers, the following of the configuration, measuring, and administration.
//
// It owns the sockets, the start and the planned stop of a box. What must last stands
// in the object API (box/store), on which only once kinds depend while it is away.
//
// # Usage
//
//	settings, err := box.ReadSettings("box.json")
//	b, err := box.New(settings, box.Options{Log: slog.Default()})
//	err = b.Run(ctx) // until ctx ends; then requests in flight are ended first
package box

import (
	"context"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"

	"github.com/sprucecrank/sprucecrank/box/peer"
	"github.com/sprucecrank/sprucecrank/box/policy"
	"github.com/sprucecrank/sprucecrank/box/store"
	"github.com/sprucecrank/sprucecrank/core/box/accepted"
	"github.com/sprucecrank/sprucecrank/core/member"
	"github.com/sprucecrank/sprucecrank/internal/box/entry"
	"github.com/sprucecrank/sprucecrank/internal/box/follow"
	"github.com/sprucecrank/sprucecrank/internal/box/grant"
	"github.com/sprucecrank/sprucecrank/internal/box/home"
	"github.com/sprucecrank/sprucecrank/internal/box/oncerun"
	"github.com/sprucecrank/sprucecrank/internal/box/probe"
	"github.com/sprucecrank/sprucecrank/internal/box/telemetry"
	"github.com/sprucecrank/sprucecrank/internal/resetconn"
)

// Options are what a box takes from its process; zero values are the real ones.
type Options struct {
	Log *slog.Logger
	// Traces is where spans go when the settings ask for them.
	Traces io.Writer
	Clock  func() time.Time
	// DialPeer and DialTarget open connections; tests put delays and cuts here.
	DialPeer   func(ctx context.Context, address string) (net.Conn, error)
	DialTarget resetconn.Dial
}

// Box is one entry box.
type Box struct {
	settings  Settings
	options   Options
	log       *slog.Logger
	book      *accepted.Set
	platform  *store.Client
	members   *grant.Members
	home      *home.Home
	broker    *grant.Broker
	runner    *oncerun.Runner
	follower  *follow.Follower
	prober    *probe.Prober
	telemetry *telemetry.Telemetry
	entry     *entry.Handler
	peers     *peer.Server
	compiler  *compiler
	routes    atomic.Pointer[entry.Routes]
	// reconfiguring is held while a configuration is put in force.
	reconfiguring sync.Mutex
	draining      atomic.Bool
	stopsAt       atomic.Pointer[time.Time] // nil while it does not stop
	stop          context.CancelFunc
	listeners     listeners
}

// listeners are the box's open sockets.
type listeners struct {
	clients, peers, admin net.Listener
}

// New puts a box together and opens its sockets; nothing is served yet.
func New(s Settings, o Options) (*Box, error) {
	if o.Log == nil {
		o.Log = slog.New(slog.DiscardHandler)
	}
	if o.Clock == nil {
		o.Clock = time.Now
	}
	b := &Box{settings: s, options: o, log: o.Log.With("box", s.ID), book: accepted.New()}
	b.routes.Store(entry.NewRoutes(nil))
	if err := b.listen(); err != nil {
		return nil, trace.Wrap(err)
	}
	if err := b.assemble(); err != nil {
		b.listeners.close()
		return nil, trace.Wrap(err)
	}
	return b, nil
}

func (b *Box) listen() error {
	for _, l := range []struct {
		at  string
		set *net.Listener
	}{
		{b.settings.Listen, &b.listeners.clients},
		{b.settings.PeerListen, &b.listeners.peers},
		{b.settings.AdminListen, &b.listeners.admin},
	} {
		listener, err := net.Listen("tcp", l.at)
		if err != nil {
			b.listeners.close()
			return trace.Wrap(err, "address %s of box %s cannot be used; is another process on it?", l.at, b.settings.ID)
		}
		*l.set = listener
	}
	return nil
}

func (l *listeners) close() {
	for _, one := range []net.Listener{l.clients, l.peers, l.admin} {
		if one != nil {
			_ = one.Close()
		}
	}
}

// assemble puts the box's parts together, each after those that it uses.
func (b *Box) assemble() error {
	if err := b.assembleTelemetry(); err != nil {
		return trace.Wrap(err)
	}
	b.assembleGrants()
	b.assembleDuties()
	b.assembleEntry()
	var err error
	b.peers, err = peer.NewServer(b.handlers())
	return trace.Wrap(err)
}

func (b *Box) assembleTelemetry() error {
	var traces io.Writer
	if b.settings.Traces == "stdout" {
		traces = b.options.Traces
	}
	var err error
	b.telemetry, err = telemetry.New(telemetry.Options{Box: b.settings.ID, Traces: traces})
	return err
}

// assembleGrants makes what grants slots at targets, and runs requests once.
func (b *Box) assembleGrants() {
	s, o := b.settings, b.options
	self := member.Box{ID: s.ID, Peer: b.PeerAddress(), Hall: s.Hall, Start: uint64(o.Clock().UnixNano())}
	b.platform = store.New(store.Options{Address: s.Platform, CallsPerSecond: s.PlatformCalls, Log: b.log})
	b.members = grant.NewMembers(self, o.Clock, o.DialPeer)
	b.home = home.New(home.Options{Clock: o.Clock, Random: rand.Float64})
	b.broker = grant.New(grant.Options{Members: b.members, Home: b.home, Clock: o.Clock, Log: b.log})
	b.runner = oncerun.New(oncerun.Options{Objects: b.platform.Objects(), Box: s.ID, Clock: o.Clock, Log: b.log})
}

// assembleDuties makes what works in the background.
func (b *Box) assembleDuties() {
	s, o := b.settings, b.options
	b.compiler = newCompiler(b.log)
	b.prober = probe.New(probe.Options{
		Home: b.home, Telemetry: b.telemetry, Clock: o.Clock, Log: b.log, MaxBoxes: s.MaxBoxes,
		IsHome: b.isHome, Dial: o.DialTarget,
	})
	b.follower = follow.New(follow.Options{
		Book: b.book, Platform: b.platform, Members: b.members, Home: b.home, Clock: o.Clock,
		Log: b.log, Changed: b.reconfigure, Seeds: s.Peers,
		Random: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	})
}

// assembleEntry makes what serves clients.
func (b *Box) assembleEntry() {
	s, o := b.settings, b.options
	b.entry = entry.New(entry.Options{
		Broker: b.broker, Runner: b.runner, Telemetry: b.telemetry, Clock: o.Clock, Log: b.log,
		Limits:   entry.Limits{BufferBytes: s.BufferBytes, BodyBytes: s.BodyBytes, OnceBytes: s.OnceBytes},
		MaxBoxes: s.MaxBoxes, Draining: b.draining.Load, StopsAt: b.stopsAt.Load, Dial: o.DialTarget,
	})
}

// ClientAddress is where clients come in.
func (b *Box) ClientAddress() string { return b.listeners.clients.Addr().String() }

// PeerAddress is where other boxes come in.
func (b *Box) PeerAddress() string { return b.listeners.peers.Addr().String() }

// AdminAddress is where the administration API listens.
func (b *Box) AdminAddress() string { return b.listeners.admin.Addr().String() }

// Ready is closed once the box holds a configuration.
func (b *Box) Ready() <-chan struct{} { return b.follower.Ready() }

// reconfigure puts the book's entries in force. Only one call works at a time,
// so that an older one cannot end last.
func (b *Box) reconfigure() {
	b.reconfiguring.Lock()
	defer b.reconfiguring.Unlock()
	routes := b.compiler.compile(b.book.All())
	services := routes.Services()
	b.home.Configure(services)
	b.prober.Configure(services)
	b.routes.Store(routes)
	b.entry.SetRoutes(routes)
}

func (b *Box) isHome(s *policy.Service) bool {
	return b.broker.HomeOf(s).ID == b.settings.ID
}

// handlers are what the box does with its peers' messages.
func (b *Box) handlers() peer.Handlers {
	return peer.Handlers{
		Ask:       b.handleAsk,
		Return:    b.handleReturn,
		Reconcile: b.handleReconcile,
		Exchange:  b.follower.HandleExchange,
		Sync:      b.follower.HandleSync,
	}
}

func (b *Box) handleAsk(a peer.AskArgs) peer.AskReply {
	d := b.home.Ask(context.Background(), a.Service, grant.SlotRequest(b.options.Clock(), a))
	return peer.AskReply{
		State: d.State, Target: d.Target, HedgeAfter: d.HedgeAfter,
		Reason: d.Reason, RetryAfter: d.RetryAfter, Waited: d.Waited,
	}
}

func (b *Box) handleReturn(a peer.ReturnArgs) {
	for _, r := range a.Returned {
		b.home.Return(r.Service, r.ID, r.Outcome)
	}
}

func (b *Box) handleReconcile(a peer.ReconcileArgs) {
	b.home.Reconcile(a.Service, a.Box, a.Held, a.New)
	b.prober.Add(a.ProbeTime)
}

// clientServer is the HTTP side of the data path.
func (b *Box) clientServer() *http.Server {
	return &http.Server{
		Handler:           b.clientHandler(),
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          slog.NewLogLogger(b.log.Handler(), slog.LevelDebug),
	}
}
