package discovery

import (
	"context"
	"time"

	"github.com/sprucecrank/sprucecrank/core/gateway/catalog"
	"github.com/sprucecrank/sprucecrank/core/member"
	"github.com/sprucecrank/sprucecrank/internal/pause"
)

const (
	// offerQueueSize is how many offers are queued until they are fetched: somewhat more
	// than a gateway has neighbours in both directions. Further offers are dropped; they
	// are repeated.
	offerQueueSize = 8
	// busyPause is the mean pause before a gateway that was busy is asked again: the time
	// for which a gateway is busy sending a list of all targets.
	busyPause = 15 * time.Millisecond
)

// offer names another gateway that advertised a later position than this one's, or a state
// that was confirmed later.
type offer struct {
	peer member.Box
	at   catalog.Position
	// fresher says that its position is not later, but its state was confirmed later.
	fresher bool
}

// noteOffer queues an offer for fetch; the lock is held.
func (f *Follower) noteOffer(now time.Time, o offer) {
	if o.at.Targets > 0 {
		f.lastOfferAt = now // that gateway can send everything needed to start serving
	}
	offers := f.offers
	if f.inOtherRegion(o.peer) {
		offers = f.otherRegionOffers
	}
	select {
	case offers <- o:
	default:
	}
}

// fetchOwnRegion is the background task that requests missing state from gateways of the
// own region. It does not wait for other regions, whose replies may take a thousand times
// as long.
func (f *Follower) fetchOwnRegion(ctx context.Context) error { return f.fetch(ctx, f.offers) }

// fetchOtherRegions is the background task that requests missing state from gateways of
// other regions.
func (f *Follower) fetchOtherRegions(ctx context.Context) error {
	return f.fetch(ctx, f.otherRegionOffers)
}

// fetch requests what is missing here from one gateway at a time, so that each update is
// received once, however many gateways offer it.
func (f *Follower) fetch(ctx context.Context, offers chan offer) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case o := <-offers:
			f.fetchOffer(ctx, o)
		}
	}
}

// fetchOffer requests from a gateway what it offered, unless it is no longer missing.
func (f *Follower) fetchOffer(ctx context.Context, o offer) {
	args, needed := f.fetchArgs(o)
	if !needed {
		return
	}
	reply, err := f.askOnce(ctx, o.peer, args)
	switch {
	case err != nil:
		f.noteLost(o.peer, err)
	case reply.Busy:
		f.mu.Lock()
		f.noteOffer(f.options.Clock(), o) // after the other queued offers
		f.mu.Unlock()
		pause.For(ctx, f.jittered(busyPause))
	}
}

// fetchArgs returns the arguments that request an offer, and whether the offer is still
// needed.
func (f *Follower) fetchArgs(o offer) (args UpdateArgs, needed bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.options.Clock()
	lacks := f.catalog.Position().IsBehind(o.at)
	args = f.ownStateArgs(now)
	args.Digest = !lacks
	return args, lacks || o.fresher && f.fresh.IsOld(now)
}
