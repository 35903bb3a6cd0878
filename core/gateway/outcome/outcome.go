// Package outcome says how one send of a request to a target ended, and what
// that means for the request. Every rule that follows from the end of a send
// (retrying, ejecting a target, learning) goes by an Outcome, so that they agree.
//
// It owns the reading of a target's answer; it relies on package verdict for
// whether a request may have run. It does no I/O.
//
// # Usage
//
//	ended := outcome.OfAnswer(answer.Status, answer.NotRun)
//	if failure := ended.Failure(); failure != nil {
//		// another target may do better
//	}
package outcome

import "github.com/sprucecrank/sprucecrank/verdict"

// HTTP statuses that say how a send ended (RFC 9110, 15.5.20 and 15.6).
const (
	statusMisdirected = 421
	statusServerError = 500 // and above
)

// Outcome is how a send ended.
type Outcome int

// How a send can end.
const (
	// Served: the target answered the request.
	Served Outcome = iota
	// Shed: the target promises that it did not run the request.
	Shed
	// Misdirected: another target lives at the address now; it did not run the
	// request.
	Misdirected
	// Failed: the target answered that it failed.
	Failed
	// Broken: the connection broke, or what came was no whole answer.
	Broken
	// Abandoned: the deadline passed, or nobody waits for the answer any more.
	Abandoned
)

// OfAnswer is how a send ended to which the target answered with an HTTP status;
// notRun says that the answer bears the target's promise not to have run it.
func OfAnswer(status int, notRun bool) Outcome {
	switch {
	case status == statusMisdirected:
		return Misdirected
	case notRun:
		return Shed
	case status >= statusServerError:
		return Failed
	default:
		return Served
	}
}

// OfFailure is how a send ended to which there is no answer.
func OfFailure(failure *verdict.Error) Outcome {
	if failure.Reason() == verdict.ReasonTargetFailed {
		return Broken
	}
	return Abandoned
}

// HasOwnAnswer says whether the target's answer may be given to the client if
// nothing better comes: it is the target's own answer to the request.
func (o Outcome) HasOwnAnswer() bool { return o == Served || o == Failed }

// Failure is why an answer should rather be had from another target; nil where
// there is no reason to, and for sends without an answer, which have a failure
// of their own.
func (o Outcome) Failure() *verdict.Error {
	switch o {
	case Shed, Misdirected:
		return verdict.New(verdict.NotRun, verdict.ReasonShed, "the target did not run the request")
	case Failed:
		return verdict.New(verdict.MayHaveRun, verdict.ReasonTargetFailed, "the target failed")
	default:
		return nil
	}
}
