package quota

import "github.com/sprucecrank/sprucecrank/internal/gateway/discovery"

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
	r.ledger.Hear(now, args.Standing)
	reply := AskReply{Fleet: r.ledger.Fleet(now)}
	for _, want := range args.Wants {
		grant, ok := r.ledger.Take(now, want)
		if !ok {
			reply.Grants = nil
			break
		}
		reply.Grants = append(reply.Grants, grant)
	}
	return reply
}
