package discovery

import (
	"context"
	"time"

	"github.com/sprucecrank/sprucecrank/core/member"
	"github.com/sprucecrank/sprucecrank/internal/pause"
)

const (
	// healInterval is the mean time between two requests to gateways that did not answer
	// and that nobody has seen since.
	healInterval = 2 * time.Second
	// healSeedShare is the share of these requests that go to a seed instead, which heals a
	// partition that lasted longer than lost gateways are remembered. In a fleet of a
	// hundred gateways, one asks a seed each second.
	healSeedShare = 0.02
)

// heal is the background task that looks for gateways that were partitioned from this one.
func (f *Follower) heal(ctx context.Context) error {
	for pause.For(ctx, f.jittered(healInterval)) {
		peer := f.lostPeer()
		if peer.Peer == "" {
			continue
		}
		// Its loss has been logged before.
		if _, err := f.askOnce(ctx, peer, f.memberSwapArgs()); err != nil {
			f.options.Log.Debug("lost peer is still unreachable", "address", peer.Peer, "error", err.Error())
		}
	}
	return nil
}

// lostPeer returns a gateway that may be reachable again; without an address if there is
// none.
func (f *Follower) lostPeer() member.Box {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.options.Random() < healSeedShare {
		return member.Box{Peer: f.nextSeed()}
	}
	box, _ := f.view.PickLost(f.options.Clock())
	return box
}

// memberSwapArgs returns arguments that exchange members and advertise this gateway's
// position.
func (f *Follower) memberSwapArgs() UpdateArgs {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.options.Clock()
	args := f.ownStateArgs(now)
	args.Digest, args.From = true, f.view.Self()
	args.Members = f.view.Sightings(now, f.options.Self.Hall)
	return args
}
