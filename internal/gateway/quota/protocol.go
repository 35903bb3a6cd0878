package quota

import (
	"github.com/sprucecrank/sprucecrank/core/gateway/peers"
	"github.com/sprucecrank/sprucecrank/core/gateway/quota"
)

// Gateways call each other by net/rpc. The names of the service, its method and the message
// fields must not change, since processes of two versions communicate during a rolling update.
// A gateway of a version without the service replies with an error and is skipped.
const (
	serviceName = "Quota"
	methodAsk   = serviceName + ".Ask"
)

// AskArgs is a heartbeat with credit requests.
type AskArgs struct {
	Standing quota.Heartbeat
	Wants    []quota.CreditRequest
}

// AskReply contains a grant for each credit request, in the same order; none if the home does
// not know the fleet size yet.
type AskReply struct {
	Grants []quota.Grant
	Fleet  quota.Fleet
	// First are those of the gateways that rank first, according to the home, that the caller
	// does not use as homes.
	First []peers.Sighting
}
