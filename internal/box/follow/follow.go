// Package follow keeps a box's configuration and view of the others up to date:
// it watches the platform, exchanges updates with peers, and reads the platform's
// lists of members. Each is a duty of its own; any one of them is enough for a
// new version to come through.
//
// It owns nothing of its own: what it learns goes into a book (core/box/accepted) and
// a view (core/member). It goes on with what is known while the object API is away.
//
// # Usage
//
//	f := follow.New(follow.Options{Book: book, Platform: client, Members: members, ...})
//	go f.Watcher(ctx); go f.Exchanger(ctx); go f.Lister(ctx)
//	<-f.Ready()
package follow

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"

	"github.com/sprucecrank/sprucecrank/box/peer"
	"github.com/sprucecrank/sprucecrank/box/store"
	"github.com/sprucecrank/sprucecrank/core/box/accepted"
	"github.com/sprucecrank/sprucecrank/core/member"
	"github.com/sprucecrank/sprucecrank/internal/box/envelope"
	"github.com/sprucecrank/sprucecrank/internal/box/grant"
	"github.com/sprucecrank/sprucecrank/internal/box/home"
	"github.com/sprucecrank/sprucecrank/internal/pause"
)

const (
	watchWait     = 20 * time.Second
	relistEvery   = time.Minute
	exchangeEvery = time.Second
	exchangeWith  = 3
	tellBoxes     = 4
	listEvery     = 2 * time.Second
	peerPatience  = 500 * time.Millisecond
	firstPause    = 100 * time.Millisecond
	longestPause  = 5 * time.Second
)

// Options configure a Follower.
type Options struct {
	Book     *accepted.Set
	Platform *store.Client
	Members  *grant.Members
	Home     *home.Home
	Clock    func() time.Time
	Log      *slog.Logger
	// Changed is called after a new version came in force.
	Changed func()
	// Seeds are peer addresses from the settings, for a start while the
	// platform is down.
	Seeds []string
	// Random is for the choice of peers and for jitter.
	Random *rand.Rand
}

// Follower carries out the duties. Its methods may run at the same time.
type Follower struct {
	options Options
	mu      sync.Mutex             // guards options.Random and listed
	listed  map[string]store.State // what the list said of each target
	ready   chan struct{}
	readied sync.Once
}

// New makes a follower.
func New(o Options) *Follower {
	return &Follower{options: o, listed: map[string]store.State{}, ready: make(chan struct{})}
}

// Ready is closed once the box holds the greatest versions that the platform
// and the peers that answer know of, from at least one of them.
func (f *Follower) Ready() <-chan struct{} { return f.ready }

func (f *Follower) setReady() { f.readied.Do(func() { close(f.ready) }) }

// IsReady says whether Ready is closed.
func (f *Follower) IsReady() bool {
	select {
	case <-f.ready:
		return true
	default:
		return false
	}
}

// offer puts entries in force and reports whether any was new.
func (f *Follower) offer(entries []accepted.Entry) {
	changed := false
	for _, e := range entries {
		if f.options.Book.Offer(f.options.Clock(), e) {
			changed = true
			f.options.Log.Info("configuration in force", "object", e.Key, "version", e.Version)
		}
	}
	if changed {
		f.options.Changed()
	}
}

func (f *Follower) offerSnapshot(s store.Snapshot) {
	entries := make([]accepted.Entry, len(s.Objects))
	for i, o := range s.Objects {
		entries[i] = accepted.Entry{Key: o.Key, Version: o.Version, Value: o.Value}
	}
	f.offer(entries)
}

// Starter is the duty that makes the box ready: it asks the platform and all
// known peers until one of them has answered. It ends when the box is ready.
func (f *Follower) Starter(ctx context.Context) error {
	between := newBackOff()
	for ctx.Err() == nil {
		fromPlatform := f.relist(ctx) == nil
		f.readLists(ctx)
		fromPeers := f.syncAll(ctx)
		if fromPlatform || fromPeers {
			f.setReady()
			return nil
		}
		f.options.Log.Warn("not ready: neither the platform nor a peer answers")
		pause.For(ctx, between.NextBackOff())
	}
	return nil
}

func (f *Follower) relist(ctx context.Context) error {
	snapshot, err := f.options.Platform.List(ctx, envelope.Prefix)
	if err != nil {
		return err
	}
	f.offerSnapshot(snapshot)
	return nil
}

// syncAll swaps configuration with every known peer and seed.
func (f *Follower) syncAll(ctx context.Context) bool {
	var group sync.WaitGroup
	results := make(chan bool, len(f.options.Seeds)+len(f.options.Members.Boxes()))
	for _, link := range f.allLinks() {
		group.Go(func() { results <- f.syncWith(ctx, link) == nil })
	}
	group.Wait()
	close(results)
	any := false
	for ok := range results {
		any = any || ok
	}
	return any
}

func (f *Follower) allLinks() []*peer.Link {
	var out []*peer.Link
	known := map[string]bool{f.options.Members.Self().Peer: true}
	for _, b := range f.options.Members.Boxes() {
		known[b.Peer] = true
		out = append(out, f.options.Members.Link(b))
	}
	for _, seed := range f.options.Seeds {
		if !known[seed] {
			known[seed] = true
			out = append(out, f.options.Members.Link(member.Box{Peer: seed}))
		}
	}
	return out
}

// syncWith swaps what either side lacks.
func (f *Follower) syncWith(ctx context.Context, link *peer.Link) error {
	ctx, cancel := context.WithTimeout(ctx, peerPatience)
	defer cancel()
	var reply peer.SyncReply
	args := peer.SyncArgs{Versions: f.options.Book.Versions()}
	if err := link.Call(ctx, peer.MethodSync, args, &reply); err != nil {
		return err
	}
	f.offer(reply.Entries)
	if lacks := f.options.Book.NewerThan(reply.Versions); len(lacks) > 0 {
		args := peer.SyncArgs{Versions: f.options.Book.Versions(), Entries: lacks}
		return link.Call(ctx, peer.MethodSync, args, &peer.SyncReply{})
	}
	return nil
}

// HandleSync answers a peer's sync.
func (f *Follower) HandleSync(a peer.SyncArgs) peer.SyncReply {
	f.offer(a.Entries)
	return peer.SyncReply{Versions: f.options.Book.Versions(), Entries: f.options.Book.NewerThan(a.Versions)}
}

// Watcher is the duty that takes up changes from the platform. It ends with ctx.
func (f *Follower) Watcher(ctx context.Context) error {
	between := newBackOff()
	for ctx.Err() == nil {
		if err := f.listAndWatch(ctx); err != nil && ctx.Err() == nil {
			f.options.Log.Warn("watch of the platform ended", "error", err)
			pause.For(ctx, f.jittered(between.NextBackOff()))
			continue
		}
		between.Reset()
	}
	return nil
}

// listAndWatch reads the list and then watches until the next list is due: a
// watch that lost events is made good by the list.
func (f *Follower) listAndWatch(ctx context.Context) error {
	snapshot, err := f.options.Platform.List(ctx, envelope.Prefix)
	if err != nil {
		return err
	}
	f.offerSnapshot(snapshot)
	revision := snapshot.Revision
	relistAt := f.options.Clock().Add(f.jittered(relistEvery))
	for f.options.Clock().Before(relistAt) {
		events, err := f.options.Platform.Watch(ctx, envelope.Prefix, revision, watchWait)
		if errors.Is(err, store.ErrGone) {
			return nil
		}
		if err != nil {
			return err
		}
		f.offerSnapshot(events)
		revision = max(revision, events.Revision)
	}
	return nil
}

func newBackOff() *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = firstPause
	b.MaxInterval = longestPause
	return b
}

// jittered spreads a pause over half to one and a half of it, so that boxes do
// not call together.
func (f *Follower) jittered(d time.Duration) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return time.Duration((0.5 + f.options.Random.Float64()) * float64(d))
}
