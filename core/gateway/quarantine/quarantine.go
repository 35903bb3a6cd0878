// Package quarantine decides which requests are no longer sent to any target because
// targets end while they run them: a request that crashes every target that runs it, and is
// sent again, would take down one target after the other.
//
// The package holds what is known of such requests (Ledger), and the rule. When a target
// ends, all its requests under way are lost, and most are harmless: they ran beside a fatal
// one, or the target was killed. So the rule considers three things:
//
//   - Three targets must have ended under the same request of the same caller, or four
//     under the same request of several callers, at as many separate moments.
//   - An answer clears a request: a target has run it and is still running.
//   - An end that a worse request was part of is not counted against the others. Of two
//     requests that ran at three targets when they ended, the one that ran at five is
//     quarantined and the other is not.
//
// Gateways exchange what they know (Update), each only what changed (Since); their ledgers
// converge in whatever order updates arrive. A record expires some time after its request
// was last seen, so that the request is tried again once its targets were repaired.
//
// The package does no I/O, reads no clock and draws no random numbers. Times should carry
// Go's monotonic reading.
//
// # Usage
//
//	ledger := quarantine.New(rand.Uint64())
//	ledger.RecordEnd(now, request, quarantine.End{ID: rand.Uint64(), Target: "i-1"})
//	if ledger.Verdicts().For(request.Fingerprint).IsQuarantined() {
//		// refuse it
//	}
package quarantine

import (
	"time"

	"github.com/sprucecrank/sprucecrank/core/gateway/fingerprint"
)

const (
	// minEndsOfOneCaller is how many targets must have ended under a caller's request to
	// quarantine it. Two are not enough: while many targets end, it is common that a request ran
	// beside a fatal one twice, and its caller would be refused.
	minEndsOfOneCaller = 3
	// minEndsOfAllCallers is how many must have ended under a request of several callers, none
	// of which got an answer, to quarantine it for all callers: one more than
	// minEndsOfOneCaller, since that concerns callers who have never sent it.
	minEndsOfAllCallers = 4
	// minEndsOfSuspect is from how many ends on a request gets no second send: each send might
	// cost one more target, and few harmless requests get that far.
	minEndsOfSuspect = 2
	// lapseAfter is how long after it was last seen a request is forgotten, so that it
	// may be tried again. If it is still fatal, each try costs three targets; with this
	// value, there are only a few tries in an hour.
	lapseAfter = 10 * time.Minute
	// resendAfter is how much later a request must have been seen for its record to be sent
	// again: a quarantined request that comes each second is sent each minute.
	resendAfter = lapseAfter / 10
	// firstEndDelay is for how long the first end under a request is not sent to others. Most
	// requests that lose their target are meanwhile answered by another one and are not worth
	// an update: when a hall loses power, there are hundreds.
	firstEndDelay = 250 * time.Millisecond
	// sameEndWithin is how far apart two gateways may observe the end of one target. Both do
	// within a few round trips; the target takes longer to restart.
	sameEndWithin = time.Second
	// simultaneousWithin is how far apart targets may end that were ended by something other
	// than the request, such as a power loss of their hall: connections are reset within some
	// ms. Attempts of a fatal request that run side by side end so close together by chance
	// alone: in a storm of one such request 3.9 targets end instead of 3.5 (3.6 with 10 ms, 4.1
	// with 50; storm_test.go). An attempt that began after the previous end counts as separate
	// however soon it ends. maxTransitTime is by how much the recorded time of that end may be
	// too late because of its time in transit.
	simultaneousWithin = 30 * time.Millisecond
	maxTransitTime     = 10 * time.Millisecond
	// maxRequests and maxEnds bound the memory, to some 2 MB if all places are taken; the
	// requests with the most ends are kept. A service of ten targets has 30 requests under
	// way, all of which may end with a fatal one, and a request that is quarantined after
	// the third end collects some dozens of ends while updates about it spread.
	maxRequests = 256
	maxEnds     = 64
	// maxUpdates bounds the updates in one message: some 5 kB if requests have a few ends each.
	maxUpdates = 32
)

// LapseAfter returns how long after it was last seen a request is forgotten.
func LapseAfter() time.Duration { return lapseAfter }

// Request identifies a request in a Ledger.
type Request struct {
	Fingerprint fingerprint.Fingerprint
	// Service is the service that it was sent to, for operators only; no rule depends on it.
	Service string
}

// Excuse is the reason why the end of a target does not count against a request. Greater
// values include the smaller ones.
type Excuse int

// The excuses.
const (
	// None means that it counts against the request.
	None Excuse = iota
	// Answered means that a target has run the same request of another caller and is still
	// running. The end still counts against the request of this caller.
	Answered
	// Cleared means that a target has run the request of this caller and is still running.
	Cleared
)

// End is the end of a target while it had a request under way. Gateways send each other
// ends in updates.
type End struct {
	// ID is drawn at random by the gateway that observed the end.
	ID uint64
	// Target is the target's id, Caller the fingerprint of the caller that sent the request.
	Target string
	Caller string
	// Ago is how long ago the target ended, and Ran how long the request had been under way
	// then.
	Ago    time.Duration
	Ran    time.Duration
	Excuse Excuse
}

// Update is what one gateway sends another about a request.
type Update struct {
	Content string
	Service string
	Ends    []End
	// Seen is how long ago the request last arrived or a target last ended under it.
	Seen time.Duration
}

// end is an End with its time on the clock of this process.
type end struct {
	id     uint64
	target string
	caller string
	at     time.Time
	ran    time.Duration
	excuse Excuse
}

// isSame reports whether two ends are of the same incarnation of a target.
func (e end) isSame(other end) bool {
	return e.target == other.target && e.at.Sub(other.at).Abs() < sameEndWithin
}

// record is what is known of one request.
type record struct {
	content  string
	service  string
	ends     []end
	lastSeen time.Time
	// lastSent is the lastSeen that was last sent, version the version of the ledger at the
	// record's latest change; 0 until the record is sent.
	lastSent time.Time
	version  uint64
}

// isUnsent reports whether nothing of the record has been sent to others yet.
func (r *record) isUnsent() bool { return r.version == 0 }
