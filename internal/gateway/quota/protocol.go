package quota

import (
	"github.com/sprucecrank/sprucecrank/core/gateway/peers"
	"github.com/sprucecrank/sprucecrank/core/gateway/quota"
)

// Gateways call each other by net/rpc. The names of the service, its method and the fields
// of its messages stay, since processes of two versions talk during a roll; one of an
// earlier version answers that it has no such service, and is passed over.
const (
	serviceName = "Quota"
	methodAsk   = serviceName + ".Ask"
)

// AskArgs is a heartbeat, and asks for credit.
type AskArgs struct {
	Standing quota.Heartbeat
	Wants    []quota.CreditRequest
}

// AskReply has a grant for each want, in order; none where the home does not know yet how
// large the fleet is.
type AskReply struct {
	Grants []quota.Grant
	Fleet  quota.Fleet
	// First are those of the gateways that rank first, as the home knows them, that the caller
	// does not take for homes.
	First []peers.Sighting
}
