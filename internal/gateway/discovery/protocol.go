package discovery

import (
	"time"

	"github.com/sprucecrank/sprucecrank/core/gateway/catalog"
	"github.com/sprucecrank/sprucecrank/core/member"
)

// Gateways call each other by net/rpc. The names of the service, its method and
// the fields of its messages are those of earlier versions, since processes of two
// versions talk during a roll; the fields are exported for the codec.
const (
	serviceName = "Feed"
	methodNews  = serviceName + ".News"
)

// UpdateArgs asks a gateway for what the caller lacks.
type UpdateArgs struct {
	// At is how far the caller's knowledge has come.
	At catalog.Position
	// Wait is how long to wait for an update if there is none.
	Wait time.Duration
	// Age is how long ago what the caller believes was confirmed.
	Age time.Duration
	// Members are given now and then, the caller first, and then asked for as
	// well.
	Members []member.Sighting
}

// UpdateReply is what the caller lacks.
type UpdateReply struct {
	// Age is how long ago what the answering gateway believes was confirmed, and
	// Origin the id of the gateway whose reading of the store confirmed it.
	Age    time.Duration
	Origin string
	// Delta holds the configuration packed.
	Delta catalog.Delta
	// Members are given when they are asked for, the answering gateway first,
	// and when it leaves.
	Members []member.Sighting
}
