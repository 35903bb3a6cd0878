package follow

import (
	"context"

	"github.com/sprucecrank/sprucecrank/box/peer"
	"github.com/sprucecrank/sprucecrank/box/store"
	"github.com/sprucecrank/sprucecrank/core/member"
	"github.com/sprucecrank/sprucecrank/internal/pause"
)

// Exchanger is the duty that swaps news with a few peers at a time. The news
// is small and its size does not grow with the fleet; a version reaches all
// boxes in a number of rounds that grows with the fleet's logarithm.
func (f *Follower) Exchanger(ctx context.Context) error {
	for ctx.Err() == nil {
		pause.For(ctx, f.jittered(exchangeEvery))
		f.options.Members.Prune()
		for _, b := range f.sample(exchangeWith) {
			go f.exchangeWith(ctx, b)
		}
	}
	return nil
}

func (f *Follower) sample(n int) []member.Box {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.options.Members.Sample(f.options.Random, n)
}

func (f *Follower) exchangeWith(ctx context.Context, b member.Box) {
	link := f.options.Members.Link(b)
	callCtx, cancel := context.WithTimeout(ctx, peerPatience)
	defer cancel()
	var reply peer.ExchangeReply
	if err := link.Call(callCtx, peer.MethodExchange, f.news(), &reply); err != nil {
		f.options.Members.MarkUnresponsive(b.ID)
		return
	}
	f.takeNews(reply)
	if reply.Digest != f.options.Book.Digest() {
		_ = f.syncWith(ctx, link)
	}
}

// HandleExchange answers a peer's news with the own.
func (f *Follower) HandleExchange(a peer.ExchangeArgs) peer.ExchangeReply {
	f.takeNews(a)
	return f.news()
}

func (f *Follower) news() peer.ExchangeArgs {
	news := peer.ExchangeArgs{
		Self:   f.options.Members.Self(),
		Digest: f.options.Book.Digest(),
		Boxes:  f.options.Members.Recent(tellBoxes),
	}
	for address, start := range f.options.Home.Leaving() {
		news.Leaving = append(news.Leaving, peer.LeavingTarget{Address: address, Start: start})
	}
	return news
}

func (f *Follower) takeNews(n peer.ExchangeArgs) {
	f.options.Members.Observe(n.Self)
	for _, b := range n.Boxes {
		f.options.Members.Merge(b)
	}
	for _, t := range n.Leaving {
		f.options.Home.Leave(t.Address, t.Start)
	}
}

// Lister is the duty that reads the platform's lists of boxes and targets. It
// ends with ctx.
func (f *Follower) Lister(ctx context.Context) error {
	for ctx.Err() == nil {
		f.readLists(ctx)
		pause.For(ctx, f.jittered(listEvery))
	}
	return nil
}

func (f *Follower) readLists(ctx context.Context) {
	if boxes, err := f.options.Platform.Members(ctx, "boxes"); err == nil {
		f.options.Members.SetList(toBoxes(boxes))
	}
	targets, err := f.options.Platform.Members(ctx, "targets")
	if err != nil {
		return
	}
	for _, t := range targets {
		f.takeTarget(t)
	}
}

// takeTarget takes in a target's entry. An entry without a start number counts
// only when it changes: a lagging list must not make a target's new life leave.
func (f *Follower) takeTarget(t store.Member) {
	f.mu.Lock()
	changed := f.listed[t.Address] != t.State
	f.listed[t.Address] = t.State
	f.mu.Unlock()
	f.options.Home.SawStart(t.Address, t.Start)
	if t.State == store.Leaving && (changed || t.Start > 0) {
		f.options.Home.Leave(t.Address, t.Start)
	}
}

func toBoxes(members []store.Member) []member.Box {
	out := make([]member.Box, len(members))
	for i, m := range members {
		out[i] = member.Box{ID: m.ID, Peer: m.Address, Hall: m.Hall, Start: m.Start, Leaving: m.State == store.Leaving}
	}
	return out
}
