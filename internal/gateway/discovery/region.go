package discovery

import (
	"time"

	"github.com/sprucecrank/sprucecrank/core/gateway/catalog"
	"github.com/sprucecrank/sprucecrank/core/gateway/locality"
	"github.com/sprucecrank/sprucecrank/core/member"
)

// regionSlack is how much later than from the own region the answer of another region
// may come, or a connection to it stand. The time there and back of the longest
// ways between two regions; where one is cut off, the few gateways that link regions wait
// so much longer for an answer that does not come.
const regionSlack = 400 * time.Millisecond

// tier is how far a hall is.
func (f *Follower) tier(hall string) locality.Tier { return f.options.Places().Tier(hall) }

// inOtherRegion says whether a gateway may be in another region; a seed, whose hall is not
// known, counts as such where the fleet spans regions.
func (f *Follower) inOtherRegion(peer member.Box) bool {
	return f.tier(peer.Hall) == locality.OtherRegion
}

// answerSlack is how much longer than the question waits the answer of a gateway may take.
func (f *Follower) answerSlack(peer member.Box) time.Duration {
	if f.inOtherRegion(peer) {
		return f.options.Timing.PollSlack + regionSlack
	}
	return f.options.Timing.PollSlack
}

// dialSlack is how long it may take to connect to a gateway.
func (f *Follower) dialSlack(peer member.Box) time.Duration {
	if f.inOtherRegion(peer) {
		return f.options.Timing.PollSlack/dialPart + regionSlack
	}
	return f.options.Timing.PollSlack / dialPart
}

// asksInFull says whether a question to a neighbour asks for what is missing here, and
// not only whether there is any: from another region an update then comes two ways
// sooner. Each neighbour there sends it, so this is done only where little can be missing.
// The lock is held.
func (f *Follower) asksInFull(peer member.Box) bool {
	return peer.ID != "" && f.inOtherRegion(peer) && f.knows()
}

// newsFor is what is sent to a neighbour in another region beside this gateway's position;
// nothing where much may be missing there, or where the configuration could not be packed:
// it is asked for then. The lock is held.
func (f *Follower) newsFor(n *neighbour) catalog.Delta {
	if !f.inOtherRegion(n.peer) || n.at.Targets == 0 {
		return catalog.Delta{}
	}
	news := f.catalog.Since(n.at)
	if news.Whole {
		return catalog.Delta{}
	}
	if news.Config == nil {
		return news
	}
	var err error
	if news.Config, err = f.packedConfig.of(news.To.Config, news.Config); err != nil {
		f.options.Log.Error("configuration not packed", "version", news.To.Config, "error", err.Error())
		return catalog.Delta{}
	}
	return news
}

// takeNews takes in what a caller sent beside its position, unless something that comes
// before it is missing here: calls on one connection may overtake each other.
func (f *Follower) takeNews(args UpdateArgs) error {
	news := args.News
	if news.IsEmpty() {
		return nil
	}
	if news.Config != nil {
		body, err := inflate(news.Config)
		if err != nil {
			return err
		}
		news.Config = body
	}
	f.apply(args.From.Peer, func(c *catalog.Catalog) catalog.Changed {
		if c.Position().IsBehind(args.Base) {
			return catalog.Changed{}
		}
		return c.Merge(news)
	})
	return nil
}
