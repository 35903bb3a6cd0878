package discovery

import (
	"context"
	"time"

	"github.com/sprucecrank/sprucecrank/core/member"
	"github.com/sprucecrank/sprucecrank/internal/pause"
)

const (
	// healEvery is how often, on average, a gateway is asked that did not answer and
	// that nobody has seen since.
	healEvery = 2 * time.Second
	// healSeedShare is how often a seed is asked instead: a cut that lasted longer than
	// what is remembered heals by them. Of a hundred gateways one asks each
	// second.
	healSeedShare = 0.02
)

// heal is the duty of looking for gateways that were cut off from this one.
func (f *Follower) heal(ctx context.Context) error {
	for pause.For(ctx, f.about(healEvery)) {
		peer := f.lostPeer()
		if peer.Peer == "" {
			continue
		}
		// One that is still gone is no news: it was lost before.
		if _, err := f.askOnce(ctx, peer, f.greeting()); err != nil {
			f.options.Log.Debug("peer still silent", "address", peer.Peer, "error", err.Error())
		}
	}
	return nil
}

// lostPeer is a gateway that may be found again; without an address if there is none.
func (f *Follower) lostPeer() member.Box {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.options.Draw() < healSeedShare {
		return member.Box{Peer: f.takeSeed()}
	}
	box, _ := f.view.PickLost(f.options.Clock())
	return box
}

// greeting swaps members and reports how far this gateway is.
func (f *Follower) greeting() UpdateArgs {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.options.Clock()
	args := f.standing(now)
	args.Digest, args.From = true, f.view.Self()
	args.Members = f.view.Sightings(now, f.options.Self.Hall)
	return args
}
