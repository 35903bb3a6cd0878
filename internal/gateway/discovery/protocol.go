package discovery

import (
	"time"

	"github.com/sprucecrank/sprucecrank/core/gateway/catalog"
	"github.com/sprucecrank/sprucecrank/core/gateway/peers"
	"github.com/sprucecrank/sprucecrank/core/gateway/reader"
	"github.com/sprucecrank/sprucecrank/core/member"
)

// Gateways call each other by net/rpc. The service, its method and the fields of the
// messages keep the names of earlier versions, since processes of two versions exchange
// messages during a rolling update. The fields are exported for the codec.
const (
	serviceName = "Feed"
	methodNews  = serviceName + ".News"
)

// UpdateArgs requests what the caller lacks, or the position of the called gateway.
type UpdateArgs struct {
	// At is the caller's position. In a long poll it is the caller's last known position of
	// the called gateway, if that is later.
	At catalog.Position
	// Wait is how long to wait for an update if there is none.
	Wait time.Duration
	// Age is the time since the caller's state was confirmed. In a long poll it is the age
	// that the called gateway last advertised, if that is lower.
	Age time.Duration
	// Members is set every now and then, with the caller first, and requests the members of
	// the called gateway in return.
	Members []peers.Sighting
	// Digest requests the position alone and not what the caller lacks.
	Digest bool
	// From is set by a caller that pushes an update: At and Age are its own then. The
	// message may have been in transit for long, so it is only a reason to ask that
	// gateway.
	From member.Box
	// News is what the called gateway lacks if it is at Base or later, its configuration
	// compressed. It is sent with From to a gateway of another region, which would have to
	// request it otherwise.
	News catalog.Delta
	Base catalog.Position
	// Tries are the latest attempts to read the store that the caller knows of.
	Tries []reader.Try
	// FollowsEvacuations is false for a caller of an earlier version: it never lacks any,
	// so that its long polls are not answered at once because of them.
	FollowsEvacuations bool
	// FollowsRollouts is the same for the rollouts.
	FollowsRollouts bool
	// AsksFatal requests what the called gateway knows, and the caller does not, of
	// requests that terminate targets and of limits that targets advertise. FatalAt is the
	// caller's position in these (positions).
	AsksFatal bool
	FatalAt   string
	// Fatal is what the caller knows of these and has not sent to the called gateway before
	// (encodeUpdates).
	Fatal []byte
}

// UpdateReply is what the caller lacks, or the position of the called gateway.
type UpdateReply struct {
	// Age is the time since the called gateway's state was confirmed, and Origin the id of
	// the gateway whose read of the store confirmed it.
	Age    time.Duration
	Origin string
	// Held is how long the request waited. All other time since it was sent counts as age,
	// because the way back may have been interrupted.
	Held time.Duration
	// Delta holds the configuration compressed. It holds a position alone in the reply to a
	// digest.
	Delta catalog.Delta
	// Targets is the compressed list of all targets, if Delta is the full catalog.
	Targets []byte
	// Busy says that the called gateway is already sending the full catalog to enough
	// others; the caller should ask again, or ask another gateway.
	Busy bool
	// Members is set if it was requested, with the called gateway first, and if that
	// gateway is leaving.
	Members []peers.Sighting
	// Reader is the id of the first in rank of the gateways whose reads recently confirmed
	// anything, and ReaderAge the time since then.
	Reader    string
	ReaderAge time.Duration
	// Tries are the latest attempts to read the store that the called gateway knows of.
	Tries []reader.Try
	// Fatal is what the caller requested of requests that terminate targets and of limits,
	// and FatalAt the position that it reaches with it.
	Fatal   []byte
	FatalAt string
	// LimitsFor is for how much longer gateways share the limits that targets advertise; 0
	// if they don't.
	LimitsFor time.Duration
}
