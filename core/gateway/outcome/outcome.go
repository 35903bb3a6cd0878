// Package outcome classifies how one send of a request to a target ended, and what that
// means for the request. Every rule that depends on the end of a send (retries, ejection
// of targets, estimates) uses an Outcome, so that they agree.
//
// It owns the interpretation of a target's answer; it depends on package verdict for
// whether a request may have run. It does no I/O.
//
// # Usage
//
//	result := outcome.FromAnswer(answer.Status, answer.NotRun)
//	if failure := result.Failure(); failure != nil {
//		// try another target
//	}
package outcome

import "github.com/sprucecrank/sprucecrank/verdict"

// HTTP statuses that determine how a send ended (RFC 9110, 15.5.20 and 15.6).
const (
	statusMisdirected = 421
	statusServerError = 500 // and above
)

// Outcome is how a send ended.
type Outcome int

// The values of Outcome.
const (
	// Served: the target answered the request.
	Served Outcome = iota
	// Shed: the target guarantees that it did not run the request.
	Shed
	// Misdirected: the address belongs to another target now; it did not run the request.
	Misdirected
	// Failed: the target answered with a server error.
	Failed
	// Broken: the connection broke, or the answer was incomplete or malformed.
	Broken
	// Abandoned: the deadline passed, or nobody waits for the answer any more.
	Abandoned
)

// FromAnswer returns the outcome of a send that the target answered with an HTTP status;
// notRun says that the answer carries the target's guarantee that it did not run the
// request.
func FromAnswer(status int, notRun bool) Outcome {
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

// FromFailure returns the outcome of a send without an answer.
func FromFailure(failure *verdict.Error) Outcome {
	if failure.Reason() == verdict.ReasonTargetFailed {
		return Broken
	}
	return Abandoned
}

// HasTargetAnswer reports whether the target's answer may be sent to the client if no
// better one arrives: it is the target's own answer to the request.
func (o Outcome) HasTargetAnswer() bool { return o == Served || o == Failed }

// IsAnswer reports whether the target answered, whatever the answer.
func (o Outcome) IsAnswer() bool { return o != Broken && o != Abandoned }

// Failure returns why another target should be tried; nil if there is no reason to, and
// for sends without an answer, which have a failure of their own.
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
