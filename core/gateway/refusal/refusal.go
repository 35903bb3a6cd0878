// Package refusal decides how the gateway answers a request for which no further target is
// tried: with a failure that a target answered or one of the gateway's own, with which
// verdict and reason, and when the client should retry.
//
// It owns that rule, which guarantees the meaning of "not run": a request of which any
// send may have run is never refused as not run, whatever failed last. It depends on
// package verdict. It does no I/O, reads no clock and generates no random numbers.
//
// # Usage
//
//	failure := refusal.Final(refusal.Ending{Failure: failure, Last: last, MayHaveRun: true})
//	pause := refusal.RetryAfter(left, rand.Float64())
//	if failure.Reason() == verdict.ReasonShed && load.AllowsImmediateRetry() {
//		pause = refusal.ImmediateRetryAfter(rand.Float64())
//	}
package refusal

import (
	"time"

	"github.com/sprucecrank/sprucecrank/verdict"
)

const (
	// maxRetryShare is the maximum pause before a client retries, as a share of the time
	// that it still waits, and minDrawShare the share of that maximum where the random
	// range begins. The clients of one burst are spread over the time that they have, so
	// that they don't all retry at once (docs/DESIGN.md, "refused clients spread over a
	// third of their time").
	maxRetryShare = 1.0 / 3
	minDrawShare  = 0.3
	// minRetryAfter is the shortest pause: a full service has no free slot before.
	minRetryAfter = 150 * time.Millisecond
	// unavailableSpreadShare is the share of the time that a client still waits after
	// targets become available again over which its retry is spread.
	unavailableSpreadShare = 0.5
	// maxAvailableIn bounds how long a client is asked to wait for targets that accept no
	// requests for a long time: others may be added in the meantime.
	maxAvailableIn = time.Minute
	// immediateMin and immediateSpread determine the pause of a client whose request was
	// shed although other targets have free slots: spread enough that simultaneous requests
	// don't return together, and short enough not to reduce the time left within the
	// objective noticeably. The range is the time of a few probes.
	immediateMin    = 5 * time.Millisecond
	immediateSpread = 20 * time.Millisecond
	// maxImmediateShedShare is the share of sends shed from which immediate retries would
	// use up the few attempts that a client has: at that share, two out of three attempts
	// of two sends are shed.
	maxImmediateShedShare = 0.8
	// NotReadyRetryAfter is when to retry at a gateway that does not know enough to serve
	// yet: it learns the state within a few round trips to the store.
	NotReadyRetryAfter = 300 * time.Millisecond
)

// MayForwardTargetAnswer reports whether a client gets the failure that a target
// answered, if one did, in place of the gateway's own: it is the target's answer to the
// request. A client that disconnected gets neither.
func MayForwardTargetAnswer(failure *verdict.Error) bool {
	return failure.Reason() != verdict.ReasonClientGone
}

// Ending describes a request for which no further target is tried.
type Ending struct {
	// Failure is the reason why no further target is tried.
	Failure *verdict.Error
	// Last is the failure of its last send; nil if there was none.
	Last *verdict.Error
	// MayHaveRun says that one of its sends ended without the guarantee that it did not
	// run.
	MayHaveRun bool
	// RetryAfter is the pause after which the client should retry.
	RetryAfter time.Duration
}

// Final returns the answer to a request for which no further target is tried.
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

// mayHaveRun returns how the last send ended, since nothing else can say whether the
// request ran. It sets no time to retry: the client must not repeat the request.
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

// notRun returns a failure that guarantees that the request did not run; a deadline that
// passed before it could run is reported as too late.
func (e Ending) notRun() *verdict.Error {
	reason := e.Failure.Reason()
	if reason == verdict.ReasonDeadline {
		reason = verdict.ReasonTooLate
	}
	return verdict.New(verdict.NotRun, reason, e.Failure.Detail()).WithCause(e.Failure.Unwrap()).WithRetryAfter(e.RetryAfter)
}

// ServiceLoad is the load of a service when one of its requests is refused.
type ServiceLoad struct {
	// Contended says that requests recently found no free slot.
	Contended bool
	// ShedShare is the share of recent sends that targets shed.
	ShedShare float64
}

// AllowsImmediateRetry reports whether a client whose request was shed should retry at
// once: there are free slots, and most attempts find one.
func (l ServiceLoad) AllowsImmediateRetry() bool {
	return !l.Contended && l.ShedShare < maxImmediateShedShare
}

// ImmediateRetryAfter returns the pause before such a retry; draw is uniform in [0, 1).
func ImmediateRetryAfter(draw float64) time.Duration {
	return immediateMin + time.Duration(draw*float64(immediateSpread))
}

// RetryAfterUnavailable returns the pause for a client that was refused because no target
// accepts requests for availableIn. The pause ends then or later, because otherwise all
// clients refused meanwhile would retry at the same moment and make the targets ask for
// back-off again. left is the time until the client stops waiting, draw is uniform in [0,
// 1).
func RetryAfterUnavailable(availableIn, left time.Duration, draw float64) time.Duration {
	availableIn = min(availableIn, maxAvailableIn)
	spread := max(time.Duration(unavailableSpreadShare*float64(left-availableIn)), minRetryAfter)
	return availableIn + time.Duration(draw*float64(spread))
}

// RetryAfter returns the pause before a refused client should retry: left is the time
// until it stops waiting, draw is uniform in [0, 1).
func RetryAfter(left time.Duration, draw float64) time.Duration {
	maxPause := time.Duration(maxRetryShare * float64(left))
	drawnShare := minDrawShare + (1-minDrawShare)*draw
	return max(time.Duration(drawnShare*float64(maxPause)), minRetryAfter)
}
