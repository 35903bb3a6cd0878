// Package once decides the steps by which an operation runs at most once, however
// often and on whichever box its request is repeated. It does no I/O: it inspects
// the record that was found and returns the next step.
//
// The record of a key changes from held to sent to done, or from held to refused.
// Each transition is a conditional update of the platform's object, and only the
// try that changed the record from held to sent may send the request. A sent record
// is never claimed by another try. A refused one may be, but only by a try that began
// after the refusal: a try that finds the record of another try while it updates its
// own is abandoned.
//
// It owns the states of a record and their transitions. It relies on the object
// API's conditional updates for every guarantee, and on clocks only to expire records.
//
// # Usage
//
//	step := once.Begin(now, found, fingerprint, attempt)
//	switch step.Action {
//	case once.Claim:  // write a held record if the version is still step.Version
//	case once.Replay: // answer with step.Answer
//	case once.Fail:   // answer with step.Failure
//	}
package once

import (
	"time"

	"github.com/sprucecrank/sprucecrank/verdict"
)

// State is the progress of an operation.
type State string

// The states of a record.
const (
	Held    State = "held"
	Sent    State = "sent"
	Done    State = "done"
	Refused State = "refused"
)

const (
	// Retention is how long records are kept.
	Retention = 24 * time.Hour
	// ClockSkew is how far in the future the time of a key may be.
	ClockSkew = 5 * time.Minute

	retryDelay = time.Second
)

// Answer is a target's complete answer as the record stores it.
type Answer struct {
	Status int                 `json:"status"`
	Header map[string][]string `json:"header,omitempty"`
	Body   []byte              `json:"body,omitempty"`
	// Dropped is whether the body was too large to be stored.
	Dropped bool `json:"dropped,omitempty"`
}

// Record is the platform's object of one key.
type Record struct {
	State State `json:"state"`
	// Nonce identifies the try that wrote the record.
	Nonce       string `json:"nonce"`
	Box         string `json:"box"`
	Fingerprint string `json:"fingerprint"`
	// Attempt is the greatest number that the client assigned to a try that wrote
	// this record; 0 when the client does not number its tries.
	Attempt int       `json:"attempt,omitempty"`
	At      time.Time `json:"at"`
	// Until is when a held record may be claimed by another try, and when the
	// holder of a sent one stops waiting for the answer. Safety depends on
	// neither: it only keeps two tries from overwriting each other's record.
	Until  time.Time `json:"until,omitzero"`
	Answer *Answer   `json:"answer,omitempty"`
}

// WithState returns a copy of the record in another state.
func (r Record) WithState(now time.Time, s State) Record {
	r.State = s
	r.At = now
	return r
}

// Action is the next action of a try.
type Action int

// The actions.
const (
	Claim  Action = iota // write a held record
	Replay               // answer with the stored answer
	Fail                 // answer with the failure
)

// Step is the decision on a found record.
type Step struct {
	Action  Action
	Version uint64 // the version to expect when claiming; 0 for none
	Answer  *Answer
	Failure *verdict.Error
}

// Found is a record with its version; a nil Record means that there is none.
type Found struct {
	Record  *Record
	Version uint64
}

// Begin decides the next step of a new try by the record that it found first.
//
// A client that numbers its tries gets the strict guarantee: once a try has been
// answered "not run", no try with that number or a lower one is ever sent, even if
// it was delayed until then in a suspended box.
func Begin(now time.Time, found Found, fingerprint string, attempt int) Step {
	r := found.Record
	if r == nil {
		return Step{Action: Claim}
	}
	if r.Fingerprint != fingerprint {
		return fail(keyReused(r))
	}
	switch r.State {
	case Held:
		if now.Before(r.Until) {
			return fail(inProgress("another try of this key is about to be sent"))
		}
		return Step{Action: Claim, Version: found.Version}
	case Refused:
		if r.Attempt > 0 && attempt <= r.Attempt {
			return fail(outdated())
		}
		return Step{Action: Claim, Version: found.Version}
	case Done:
		return replay(r)
	default:
		return fail(sentFailure(now, r))
	}
}

// ResolveConflict decides the answer of a try that found the record of another try
// while it updated its own. It never claims the record again: the client may already
// have received the refusal of the other try, and that refusal must stay true of every
// try that began before it.
func ResolveConflict(now time.Time, r Record, fingerprint string) Step {
	switch {
	case r.Fingerprint != fingerprint:
		return fail(keyReused(&r))
	case r.State == Done:
		return replay(&r)
	case r.State == Sent:
		return fail(sentFailure(now, &r))
	default:
		return fail(inProgress("another try of this key took over"))
	}
}

func replay(r *Record) Step {
	if r.Answer == nil || r.Answer.Dropped {
		f := verdict.New(verdict.Ran, verdict.ReasonAnswerNotKept, "the operation ran, but its answer was too large to be kept")
		return fail(f)
	}
	return Step{Action: Replay, Answer: r.Answer}
}

func sentFailure(now time.Time, r *Record) *verdict.Error {
	if now.Before(r.Until) {
		return inProgress("the operation was sent and is not answered yet").WithRetryAfter(max(r.Until.Sub(now)/4, retryDelay))
	}
	return verdict.New(verdict.MayHaveRun, verdict.ReasonOutcomeUnknown,
		"the operation was sent and its answer was lost; it is never sent again: ask the service itself whether it ran")
}

func inProgress(detail string) *verdict.Error {
	return verdict.New(verdict.MayHaveRun, verdict.ReasonInProgress, detail).WithRetryAfter(retryDelay)
}

func outdated() *verdict.Error {
	return verdict.New(verdict.MayHaveRun, verdict.ReasonOutdated,
		"this try was not sent, since one of this key with this number or a greater one was refused before; a later try may be under way").
		WithRetryAfter(retryDelay)
}

func keyReused(r *Record) *verdict.Error {
	v := verdict.MayHaveRun
	if r.State == Done {
		v = verdict.Ran
	}
	return verdict.New(v, verdict.ReasonKeyReused, "this Idempotency-Key was used for another request; use a new key")
}

func fail(e *verdict.Error) Step { return Step{Action: Fail, Failure: e} }
