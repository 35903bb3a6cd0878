package discovery

import (
	"time"

	"github.com/sprucecrank/sprucecrank/core/gateway/catalog"
	"github.com/sprucecrank/sprucecrank/core/gateway/locality"
	"github.com/sprucecrank/sprucecrank/core/member"
)

// regionSlack is how much longer than in the own region a reply from another region, or
// connecting to it, may take: the round-trip time of the longest paths between two regions.
// If a region is cut off, the few gateways that link regions wait that much longer for a
// reply that does not come.
const regionSlack = 400 * time.Millisecond

// tier returns the tier of a hall by its distance.
func (f *Follower) tier(hall string) locality.Tier { return f.options.Locality().Tier(hall) }

// inOtherRegion reports whether a gateway may be in another region. This holds for a seed,
// whose hall is not known, if the fleet spans regions.
func (f *Follower) inOtherRegion(peer member.Box) bool {
	return f.tier(peer.Hall) == locality.OtherRegion
}

// answerSlack returns how much longer than the wait of a request a gateway's reply may
// take.
func (f *Follower) answerSlack(peer member.Box) time.Duration {
	if f.inOtherRegion(peer) {
		return f.options.Timing.PollSlack + regionSlack
	}
	return f.options.Timing.PollSlack
}

// dialSlack returns how long connecting to a gateway may take.
func (f *Follower) dialSlack(peer member.Box) time.Duration {
	if f.inOtherRegion(peer) {
		return f.options.Timing.PollSlack/dialSlackDivisor + regionSlack
	}
	return f.options.Timing.PollSlack / dialSlackDivisor
}

// requestsDelta reports whether a poll of a neighbour requests what is missing here, and
// not only whether anything is: an update from another region then arrives two one-way
// delays sooner. Each neighbour there sends it, so this is done only if little can be
// missing. The lock is held.
func (f *Follower) requestsDelta(peer member.Box) bool {
	return peer.ID != "" && f.inOtherRegion(peer) && f.isInitialized()
}

// deltaFor returns what is pushed to a neighbour in another region beside this gateway's
// position; nothing if much may be missing there or if the configuration could not be
// compressed, in which case the neighbour requests it. The lock is held.
func (f *Follower) deltaFor(n *neighbour) catalog.Delta {
	if !f.inOtherRegion(n.peer) || n.position.Targets == 0 {
		return catalog.Delta{}
	}
	delta := f.catalog.Since(n.position)
	if delta.Whole {
		return catalog.Delta{}
	}
	if delta.Config == nil {
		return delta
	}
	var err error
	if delta.Config, err = f.packedConfig.of(delta.To.Config, delta.Config); err != nil {
		f.options.Log.Error("compressing the configuration failed", "version", delta.To.Config, "error", err.Error())
		return catalog.Delta{}
	}
	return delta
}

// applyPushedDelta applies what a caller pushed beside its position, unless an earlier
// update is missing here: calls on one connection may overtake each other.
func (f *Follower) applyPushedDelta(args UpdateArgs) error {
	delta := args.News
	if delta.IsEmpty() {
		return nil
	}
	if delta.Config != nil {
		body, err := inflate(delta.Config)
		if err != nil {
			return err
		}
		delta.Config = body
	}
	f.apply(args.From.Peer, func(c *catalog.Catalog) catalog.Changed {
		if c.Position().IsBehind(args.Base) {
			return catalog.Changed{}
		}
		return c.Merge(delta)
	})
	return nil
}
