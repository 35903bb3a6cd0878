package discovery

import (
	"context"
	"time"

	"github.com/sprucecrank/sprucecrank/core/gateway/catalog"
	"github.com/sprucecrank/sprucecrank/core/member"
	"github.com/sprucecrank/sprucecrank/internal/pause"
)

const (
	// keptOffers is how many offers wait to be taken up: some more than a gateway has
	// neighbours on either side. Another is dropped; it comes again.
	keptOffers = 8
	// busyPause is the wait, on average, before a gateway that was busy is asked again.
	// The time for which one is busy with a list of all targets.
	busyPause = 15 * time.Millisecond
)

// offer names another gateway that is further than this one was.
type offer struct {
	peer member.Box
	at   catalog.Position
	// fresher says that it confirmed its knowledge later than this one, too.
	fresher bool
}

// noteOffer puts an offer where fetch finds it; the lock is held.
func (f *Follower) noteOffer(now time.Time, o offer) {
	if o.at.Targets > 0 {
		f.offered = now // all that a gateway needs to begin with
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

// fetchOwnRegion is the duty of asking gateways of the own region for what is missing here.
// It does not wait for other regions, whose answers may take a thousand times as long.
func (f *Follower) fetchOwnRegion(ctx context.Context) error { return f.fetch(ctx, f.offers) }

// fetchOtherRegions is the duty of asking gateways of other regions.
func (f *Follower) fetchOtherRegions(ctx context.Context) error {
	return f.fetch(ctx, f.otherRegionOffers)
}

// fetch asks for what is missing here, one gateway at a time, so that each update comes
// once, whoever else offered it.
func (f *Follower) fetch(ctx context.Context, offers chan offer) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case o := <-offers:
			f.takeUp(ctx, o)
		}
	}
}

// takeUp asks a gateway for what it offered, unless it is no longer missing.
func (f *Follower) takeUp(ctx context.Context, o offer) {
	args, worth := f.isWorthAsking(o)
	if !worth {
		return
	}
	reply, err := f.askOnce(ctx, o.peer, args)
	switch {
	case err != nil:
		f.noteLost(o.peer, err)
	case reply.Busy:
		f.mu.Lock()
		f.noteOffer(f.options.Clock(), o) // behind those of others
		f.mu.Unlock()
		pause.For(ctx, f.about(busyPause))
	}
}

// isWorthAsking says whether an offer is still worth taking up, and how to ask for it.
func (f *Follower) isWorthAsking(o offer) (args UpdateArgs, worth bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.options.Clock()
	lacks := f.catalog.Position().IsBehind(o.at)
	args = f.standing(now)
	args.Digest = !lacks
	return args, lacks || o.fresher && f.fresh.IsOld(now)
}
