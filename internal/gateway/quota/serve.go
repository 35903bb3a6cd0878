package quota

import (
	"slices"
	"time"

	"github.com/sprucecrank/sprucecrank/core/gateway/peers"
	"github.com/sprucecrank/sprucecrank/core/gateway/quota"
	"github.com/sprucecrank/sprucecrank/internal/gateway/discovery"
)

// methods are what other gateways may call.
type methods struct{ register *Register }

// Ask gives a gateway credit for requests of workspaces whose home this one is.
func (m *methods) Ask(args AskArgs, reply *AskReply) error {
	*reply = m.register.answer(args)
	return nil
}

// Service is what other gateways call, to be served beside what discovery serves.
func (r *Register) Service() discovery.Service {
	return discovery.Service{Name: serviceName, Methods: &methods{register: r}}
}

// answer takes in that a gateway is there, and gives what it asks for: nothing at all while
// it is not known how large the fleet is.
func (r *Register) answer(args AskArgs) AskReply {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.options.Clock()
	r.ledger.Observe(now, args.Standing)
	reply := AskReply{Fleet: r.ledger.Fleet(now), First: r.unknownTo(now, args.Standing)}
	for _, want := range args.Wants {
		grant, ok := r.ledger.Grant(now, want)
		if !ok {
			reply.Grants = nil
			break
		}
		reply.Grants = append(reply.Grants, grant)
	}
	return reply
}

// unknownTo are those of the gateways that rank first that another one does not take for
// homes; the lock is held. Gateways that start together know few others at first: informed by
// whom they turn to, they agree on the homes sooner than by the exchange alone, and until they
// do each home gives out but its part of a limit.
func (r *Register) unknownTo(now time.Time, s quota.Heartbeat) []peers.Sighting {
	var unknown []peers.Sighting
	for _, ranked := range r.ranked {
		if slices.Contains(s.Homes, quota.ID(ranked.Box.ID)) {
			continue
		}
		ranked.Ago += now.Sub(r.rankedAt)
		unknown = append(unknown, ranked)
	}
	return unknown
}
