package quota

import (
	"slices"
	"time"

	"github.com/sprucecrank/sprucecrank/core/gateway/peers"
	"github.com/sprucecrank/sprucecrank/core/gateway/quota"
	"github.com/sprucecrank/sprucecrank/internal/gateway/discovery"
)

// rpcService contains the methods that other gateways call.
type rpcService struct{ limiter *Limiter }

// Ask grants a gateway credit for requests whose home is this gateway.
func (s *rpcService) Ask(args AskArgs, reply *AskReply) error {
	*reply = s.limiter.reply(args)
	return nil
}

// Service returns the RPC service for other gateways, to be served together with that of
// discovery.
func (l *Limiter) Service() discovery.Service {
	return discovery.Service{Name: serviceName, Methods: &rpcService{limiter: l}}
}

// reply records the heartbeat in args and grants credit. It grants none while the fleet size is
// unknown.
func (l *Limiter) reply(args AskArgs) AskReply {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.options.Clock()
	l.ledger.Observe(now, args.Standing)
	reply := AskReply{Fleet: l.ledger.Fleet(now), First: l.unknownTo(now, args.Standing)}
	for _, request := range args.Wants {
		grant, ok := l.ledger.Grant(now, request)
		if !ok {
			reply.Grants = nil
			break
		}
		reply.Grants = append(reply.Grants, grant)
	}
	return reply
}

// unknownTo returns those of the gateways that rank first that the sender of a heartbeat does
// not use as homes. Gateways that start together know few others at first. With these replies
// they agree on the homes sooner than by discovery alone; until they do, each home grants only
// its share of a limit. The lock is held.
func (l *Limiter) unknownTo(now time.Time, h quota.Heartbeat) []peers.Sighting {
	var unknown []peers.Sighting
	for _, ranked := range l.ranked {
		if slices.Contains(h.Homes, quota.ID(ranked.Box.ID)) {
			continue
		}
		ranked.Ago += now.Sub(l.rankedAt)
		unknown = append(unknown, ranked)
	}
	return unknown
}
