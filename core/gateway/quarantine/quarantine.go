// Package quarantine decides which requests are sent to no target any more, since
// targets end under them: a request that crashes whoever runs it, comes again, and would
// take one target after the other.
//
// It owns what is known of such requests (Ledger), and the rule. A target that ends takes
// all requests with it that it has under way, and most are innocent: they ran beside a
// fatal one, or the target was killed. So the rule goes by three things:
//
//   - Three targets must have ended under the same request of the same caller, or four
//     under the same request of several callers, at as many moments.
//   - An answer clears a request: a target has run it and lives.
//   - An end that a worse request was part of says nothing about the others. Of two
//     requests that ran at three targets when they ended, the one that ran at five is
//     quarantined and the other is not.
//
// Gateways exchange what they know (Update), each only what changed (Since); what
// they know becomes alike in whatever order updates come. All of it lapses some time after
// the request was last seen, so that it is tried again once its targets were mended.
//
// The package does no I/O, reads no clock and draws no random numbers. Times should carry
// Go's monotonic reading.
//
// # Usage
//
//	ledger := quarantine.New(rand.Uint64())
//	ledger.NoteEnd(now, request, quarantine.End{ID: rand.Uint64(), Target: "i-1"})
//	if ledger.Verdicts().Of(request).IsQuarantined() {
//		// refuse it
//	}
package quarantine

import (
	"time"

	"github.com/sprucecrank/sprucecrank/core/gateway/fingerprint"
)

const (
	// ownEnds is how many targets must have ended under a caller's request. Two are not
	// enough: while many targets end, a request that ran beside a fatal one twice is
	// common, and its caller would lose it.
	ownEnds = 3
	// allEnds is how many must have ended under a request of several callers that nobody
	// got an answer to, until it is taken from all: one more, since that concerns callers
	// who have never sent it.
	allEnds = 4
	// suspectEnds is from how many ends on a request gets no second send: each might
	// cost one more target, and few innocent ones get so far.
	suspectEnds = 2
	// lapseAfter is how long after it was last seen a request is forgotten, so that it
	// may be tried again. It costs three targets each time that it still is fatal:
	// chosen, so that these are a few in an hour.
	lapseAfter = 10 * time.Minute
	// toldAgainAfter is how much later a request must have been seen to be sent again: a
	// quarantined one that comes each second is sent each minute.
	toldAgainAfter = lapseAfter / 10
	// holdBack is for how long the first end under a request is not sent to others. Most
	// requests that lose their target are answered by another meanwhile and were never
	// worth an update: when a hall loses power, there are hundreds.
	holdBack = 250 * time.Millisecond
	// sameEndWithin is how far apart two gateways may note the end of one target. Both do
	// within a few ways there and back; the target takes longer to start again.
	sameEndWithin = time.Second
	// sameMoment is how far apart targets may end that something else than the request has
	// ended, such as a hall that loses power: connections are reset within some ms. Attempts
	// of a fatal request that run side by side are so close by chance alone: in a storm of one
	// 3.9 targets end where 3.5 would (3.6 with 10 ms, 4.1 with 50; storm_test.go). An attempt
	// that began after the end before is another moment however soon it ends: onTheWay is by
	// how much later than it was that end may have been reckoned here.
	sameMoment = 30 * time.Millisecond
	onTheWay   = 10 * time.Millisecond
	// maxRequests and maxEnds bound what is kept, to some 2 MB if each place is taken: of the
	// requests, those with most ends. A service of ten targets has 30 requests under
	// way, all of which a fatal one may take along, and a request that is quarantined after
	// the third end comes to some dozens while updates of it spread.
	maxRequests = 256
	maxEnds     = 64
	// maxUpdates bounds the updates in one message: some 5 kB where requests have a few ends.
	maxUpdates = 32
)

// LapseAfter is how long after it was last seen a request is forgotten.
func LapseAfter() time.Duration { return lapseAfter }

// Request is a request as the Ledger knows it.
type Request struct {
	Print fingerprint.Fingerprint
	// Service is that which it was sent to, for operators: no rule goes by it.
	Service string
}

// Excuse is why the end of a target does not speak against a request. Greater ones
// include the others.
type Excuse int

// The excuses.
const (
	// None: it does speak against it.
	None Excuse = iota
	// Answered: a target has run the same request of another caller and lives. It still
	// speaks against this caller's.
	Answered
	// Cleared: a target has run this caller's request and lives.
	Cleared
)

// End is the end of a target while it had a request under way, as gateways exchange
// other of it.
type End struct {
	// ID is drawn by the gateway that noted it.
	ID uint64
	// Target is the target's id, Caller the fingerprint of who sent the request.
	Target string
	Caller string
	// Ago is how long ago it was, and Ran how long the request had been under way then.
	Ago    time.Duration
	Ran    time.Duration
	Excuse Excuse
}

// Update is what one gateway sends another of a request.
type Update struct {
	Content string
	Service string
	Ends    []End
	// Seen is how long ago the request last came or ended a target.
	Seen time.Duration
}

// end is an End by the time of this process.
type end struct {
	id     uint64
	target string
	caller string
	at     time.Time
	ran    time.Duration
	excuse Excuse
}

// isSame says whether two ends are of one life of a target.
func (e end) isSame(other end) bool {
	return e.target == other.target && e.at.Sub(other.at).Abs() < sameEndWithin
}

// record is what is known of one request.
type record struct {
	content string
	service string
	ends    []end
	seen    time.Time
	// told is the seen that was last sent, version that of the ledger at its latest change;
	// 0 while nothing of it is sent.
	told    time.Time
	version uint64
}

// isHeldBack says whether nothing of the record is sent yet.
func (r *record) isHeldBack() bool { return r.version == 0 }
