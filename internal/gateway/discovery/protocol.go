package discovery

import (
	"time"

	"github.com/sprucecrank/sprucecrank/core/gateway/catalog"
	"github.com/sprucecrank/sprucecrank/core/gateway/peers"
	"github.com/sprucecrank/sprucecrank/core/gateway/reader"
	"github.com/sprucecrank/sprucecrank/core/member"
)

// Gateways call each other by net/rpc. The names of the service, its method and
// the fields of its messages are those of earlier versions, since processes of two
// versions talk during a roll; the fields are exported for the codec.
const (
	serviceName = "Feed"
	methodNews  = serviceName + ".News"
)

// UpdateArgs asks a gateway for what the caller lacks, or for how far it is.
type UpdateArgs struct {
	// At is how far the caller's knowledge has come. In a question that waits it is
	// how far the caller knows the answering gateway to be, if that is further.
	At catalog.Position
	// Wait is how long to wait for an update if there is none.
	Wait time.Duration
	// Age is how long ago what the caller believes was confirmed. In a question that
	// waits it is the age that the answering gateway last reported, if that is younger.
	Age time.Duration
	// Members are given now and then, the caller first, and then asked for as
	// well.
	Members []peers.Sighting
	// Digest asks for the position alone and not for what the caller lacks.
	Digest bool
	// From is given by a caller that has something to send: At and Age are its own. They
	// may have been on their way for long, so that they are a reason to ask it and no
	// more.
	From member.Box
	// News is what the called gateway lacks that is at Base or further, its configuration
	// packed. It is given with From to a gateway of another region, which would have to ask
	// for it otherwise.
	News catalog.Delta
	Base catalog.Position
	// Tries are the latest attempts to read the store that the caller knows of.
	Tries []reader.Try
	// FollowsEvacuations is false of a caller of an earlier version: it lacks none, so
	// that a question of its that waits is not answered at once for their sake.
	FollowsEvacuations bool
	// FollowsRollouts is the same for the rollouts.
	FollowsRollouts bool
	// AsksFatal asks for what the called gateway knows of requests that end targets, and of
	// limits that targets name, and the caller does not know: FatalAt is how far it has
	// (positions).
	AsksFatal bool
	FatalAt   string
	// Fatal is what the caller knows of these and has not sent to the called gateway before
	// (encodeUpdates).
	Fatal []byte
}

// UpdateReply is what the caller lacks, or how far the answering gateway is.
type UpdateReply struct {
	// Age is how long ago what the answering gateway believes was confirmed, and
	// Origin the id of the gateway whose reading of the store confirmed it.
	Age    time.Duration
	Origin string
	// Held is how long the question waited. Whatever else passed since it was asked
	// counts as age: the way back may have been cut for a while.
	Held time.Duration
	// Delta holds the configuration packed, and is a position alone for a digest.
	Delta catalog.Delta
	// Targets are all targets, packed, where Delta is the whole.
	Targets []byte
	// Busy says that the gateway is sending all that it knows to enough others; the
	// caller should ask again, or somebody else.
	Busy bool
	// Members are given when they are asked for, the answering gateway first,
	// and when it leaves.
	Members []peers.Sighting
	// Reader is the id of the first in rank of the gateways whose reading confirmed
	// anything lately, and ReaderAge how long ago that was.
	Reader    string
	ReaderAge time.Duration
	// Tries are the latest attempts to read the store that the answering gateway knows
	// of.
	Tries []reader.Try
	// Fatal is what the caller asked for of requests that end targets and of limits, and
	// FatalAt how far it has then come.
	Fatal   []byte
	FatalAt string
	// LimitsFor is for how much longer gateways share limits that targets name; 0 for not.
	LimitsFor time.Duration
}
