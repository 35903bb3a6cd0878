// Package refusal decides how a request ends that is given up: with a failure that
// a target answered or with one of the gateway's, with which verdict and reason,
// and when the client should come back.
//
// It owns that rule, which keeps the promise of "not run": a request of which any
// send may have run is never refused as not run, whatever failed last. It relies
// on package verdict. It does no I/O, reads no clock and draws no random numbers.
//
// # Usage
//
//	failure := refusal.Final(refusal.Ending{Failure: failure, Last: last, MayHaveRun: true})
//	pause := refusal.RetryAfter(left, rand.Float64())
//	if failure.Reason() == verdict.ReasonShed && room.IsOpen() {
//		pause = refusal.AtOnce(rand.Float64())
//	}
package refusal

import (
	"time"

	"github.com/sprucecrank/sprucecrank/verdict"
)

const (
	// longestShare is the share of the time that a client has left which it
	// spends waiting at most before it comes back, and shortestShare the share of
	// that where the draw begins. The clients of one burst are spread over the
	// time that they have, so that they don't return as one
	// (docs/DESIGN.md, "refused clients spread over a third of their time").
	longestShare  = 1.0 / 3
	shortestShare = 0.3
	// minRetryAfter is the shortest pause: a full service is not free again
	// before.
	minRetryAfter = 150 * time.Millisecond
	// openingShare is the share of the time that a client has left behind an opening over which its
	// return is spread.
	openingShare = 0.5
	// longestOpensIn bounds what a client is asked to wait for targets that take no requests for
	// long: others may be added meanwhile.
	longestOpensIn = time.Minute
	// atOnceFrom and atOnceSpread are when a client should come back whose request targets
	// shed though others have room: far enough apart that those of one moment don't come
	// back as one, near enough that nothing is lost of the objective: some
	// probes' time.
	atOnceFrom   = 5 * time.Millisecond
	atOnceSpread = 20 * time.Millisecond
	// shutShare is the share of the sends from which on targets shed so much that coming
	// back at once would burn the few repeats that a client has: of an attempt of two
	// sends, two out of three are shed then.
	shutShare = 0.8
	// NotReadyRetryAfter is when to come back to a gateway that knows too little
	// to serve: it learns within some round trips to the store.
	NotReadyRetryAfter = 300 * time.Millisecond
)

// PassesOwn says whether a client gets the failure that a target answered, where
// one did, and none of the gateway's: it is the target's own answer to the request.
// A client that has left gets neither.
func PassesOwn(failure *verdict.Error) bool { return failure.Reason() != verdict.ReasonClientGone }

// Ending is what is known of a request that is given up.
type Ending struct {
	// Failure is why it is given up.
	Failure *verdict.Error
	// Last is how its last send failed; nil if there was none.
	Last *verdict.Error
	// MayHaveRun says that one of its sends ended without a promise.
	MayHaveRun bool
	// RetryAfter is when the client should come back.
	RetryAfter time.Duration
}

// Final is the answer to a request that is given up.
func Final(e Ending) *verdict.Error {
	switch {
	case e.Failure.Reason() == verdict.ReasonClientGone:
		return e.Failure
	case e.MayHaveRun:
		return e.mayHaveRun()
	default:
		return e.notRun()
	}
}

// mayHaveRun says how the last send ended, since nothing else can say whether
// the request ran. It names no time to come back: the client must not repeat.
func (e Ending) mayHaveRun() *verdict.Error {
	failure := e.Failure
	if e.Last != nil {
		failure = e.Last
	}
	reason := verdict.ReasonTargetFailed
	if failure.Reason() == verdict.ReasonDeadline {
		reason = verdict.ReasonDeadline
	}
	return verdict.New(verdict.MayHaveRun, reason, failure.Detail()).WithCause(failure.Unwrap())
}

// notRun promises that the request did not run; a deadline that passed before it
// could run means that it came too late.
func (e Ending) notRun() *verdict.Error {
	reason := e.Failure.Reason()
	if reason == verdict.ReasonDeadline {
		reason = verdict.ReasonTooLate
	}
	return verdict.New(verdict.NotRun, reason, e.Failure.Detail()).WithCause(e.Failure.Unwrap()).WithRetryAfter(e.RetryAfter)
}

// Room is what is known of a service when one of its requests is refused.
type Room struct {
	// Contended says that requests have lately found no free slot.
	Contended bool
	// ShedShare is the share of the latest sends that targets did not take.
	ShedShare float64
}

// IsOpen says whether a client whose request was shed should come back at once: there is
// room, and most attempts find it.
func (r Room) IsOpen() bool { return !r.Contended && r.ShedShare < shutShare }

// AtOnce is when such a client should come back; draw is uniform in [0, 1).
func AtOnce(draw float64) time.Duration {
	return atOnceFrom + time.Duration(draw*float64(atOnceSpread))
}

// AfterOpening is when a client should come back that was refused since no target takes requests
// until some time from now: then or later, since all that were refused meanwhile would come at one
// moment and have the targets ask for back-off again. left is the time until it stops waiting, draw is
// uniform in [0, 1).
func AfterOpening(opensIn, left time.Duration, draw float64) time.Duration {
	opensIn = min(opensIn, longestOpensIn)
	spread := max(time.Duration(openingShare*float64(left-opensIn)), minRetryAfter)
	return opensIn + time.Duration(draw*float64(spread))
}

// RetryAfter is when a refused client should come back: left is the time until it
// stops waiting, draw is uniform in [0, 1).
func RetryAfter(left time.Duration, draw float64) time.Duration {
	longest := time.Duration(longestShare * float64(left))
	drawn := shortestShare + (1-shortestShare)*draw
	return max(time.Duration(drawn*float64(longest)), minRetryAfter)
}
