// Package retry decides whether a request is sent to a second target: after a send that
// failed (a retry), or in parallel with one that is slow (a hedge).
//
// It owns both rules and their constants. It depends on the verdict of the send that
// failed, on the route's mode and limits, and on estimates of how long a request takes;
// the budget shared by all second sends is core/gateway/budget. It does no I/O and reads
// no clock.
//
// A request that may have run is sent again only if its route says that it may run twice.
// This keeps an approval or a booking from running twice.
//
// # Usage
//
//	if decision := retry.Decide(state); decision == retry.SendAgain {
//		// send again if the budget allows it
//	}
//	if delay, ok := retry.HedgeDelay(firstSend); ok {
//		// send a hedge after delay if the first send is still in progress
//	}
package retry

import (
	"time"

	"github.com/sprucecrank/sprucecrank/verdict"
)

// minTimeShare is the share of the usual time that must be left for a retry: with less,
// no answer could come in time. Half of the requests take less than the usual time.
const minTimeShare = 0.5

// State is the input of Decide after a send that failed.
type State struct {
	// Verdict says whether the request may have run during that send.
	Verdict verdict.Verdict
	// Repeatable says whether the request may run more than once.
	Repeatable bool
	// Sends counts the sends of the request so far, MaxAttempts bounds them.
	Sends       int
	MaxAttempts int
	// Left is the time until the request's deadline, Usual how long a request of
	// the route usually takes.
	Left  time.Duration
	Usual time.Duration
}

// Decision says what is done after a send that failed.
type Decision int

// The decisions of Decide.
const (
	// MayHaveRun: the request must not be sent again, because it may have run.
	MayHaveRun Decision = iota
	// TooLate: no answer to another send could come in time.
	TooLate
	// AttemptsUsed: the route allows no more sends.
	AttemptsUsed
	// SendAgain: the request is sent again, if the budget grants it.
	SendAgain
)

// Decide decides whether a request is sent again after a send that failed.
func Decide(s State) Decision {
	switch {
	case s.Verdict != verdict.NotRun && !s.Repeatable:
		return MayHaveRun
	case s.Left < time.Duration(minTimeShare*float64(s.Usual)):
		return TooLate
	case s.Sends >= s.MaxAttempts:
		return AttemptsUsed
	default:
		return SendAgain
	}
}
