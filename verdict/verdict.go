// Package verdict says whether a request may have run at a target.
//
// Every failure on the data path carries one of three verdicts. NotRun
// guarantees that no target began the request, so the client may safely repeat
// it. MayHaveRun means that the outcome is unknown. Ran means that a target
// answered.
//
// # Usage
//
//	if err := send(req); err != nil {
//		var failure *verdict.Error
//		if errors.As(err, &failure) && failure.Verdict() == verdict.NotRun {
//			// another target may be tried
//		}
//	}
package verdict

import (
	"fmt"
	"net/http"
	"time"
)

// Verdict says whether a request may have run.
type Verdict int

// The verdicts. MayHaveRun is the zero value because it guarantees nothing.
const (
	MayHaveRun Verdict = iota
	NotRun
	Ran
)

// Header is the response header that carries the verdict of every answer.
const Header = "Sprucecrank-Verdict"

// String returns the verdict as it is sent in Header.
func (v Verdict) String() string {
	switch v {
	case NotRun:
		return "not-run"
	case Ran:
		return "ran"
	default:
		return "may-have-run"
	}
}

// Reason is the machine-readable cause of a refusal or failure.
type Reason string

// Reasons that clients and operators see; docs/OPERATIONS.md says what to do about each.
const (
	ReasonNoService        Reason = "no-service"
	ReasonNoTarget         Reason = "no-target"
	ReasonEvacuated        Reason = "evacuated"
	ReasonRegionNotAllowed Reason = "region-not-allowed"
	ReasonQuarantined      Reason = "quarantined"
	ReasonQueueFull        Reason = "queue-full"
	ReasonTooLate          Reason = "too-late"
	ReasonDeadline         Reason = "deadline"
	ReasonUnreachable      Reason = "target-unreachable"
	ReasonShed             Reason = "target-shed"
	ReasonTargetFailed     Reason = "target-failed"
	ReasonAnswerTooLarge   Reason = "answer-too-large"
	ReasonClientGone       Reason = "client-gone"
	ReasonBadRequest       Reason = "bad-request"
	ReasonKeyMissing       Reason = "key-missing"
	ReasonKeyInvalid       Reason = "key-invalid"
	ReasonKeyReused        Reason = "key-reused"
	ReasonKeyExpired       Reason = "key-expired"
	ReasonInProgress       Reason = "in-progress"
	ReasonOutdated         Reason = "attempt-outdated"
	ReasonOutcomeUnknown   Reason = "outcome-unknown"
	ReasonAnswerNotKept    Reason = "answer-not-kept"
	ReasonPlatformDown     Reason = "platform-unavailable"
	ReasonNotReady         Reason = "not-ready"
	ReasonBodyTooLarge     Reason = "body-too-large"
	ReasonMoved            Reason = "home-moved"
	ReasonPolicyUndecided  Reason = "policy-undecided"
	ReasonUnauthorized     Reason = "key-unknown"
	ReasonQuota            Reason = "quota-exceeded"
	ReasonTargetLimits     Reason = "target-limits"
	ReasonTargetsBackOff   Reason = "targets-back-off"
	ReasonNoMemory         Reason = "no-memory"
)

// statuses maps each reason to the HTTP status of its answer.
var statuses = map[Reason]int{
	ReasonNoService:       http.StatusNotFound,
	ReasonDeadline:        http.StatusGatewayTimeout,
	ReasonTargetFailed:    http.StatusBadGateway,
	ReasonAnswerTooLarge:  http.StatusBadGateway,
	ReasonBadRequest:      http.StatusBadRequest,
	ReasonKeyMissing:      http.StatusBadRequest,
	ReasonKeyInvalid:      http.StatusBadRequest,
	ReasonKeyReused:       http.StatusUnprocessableEntity,
	ReasonKeyExpired:      http.StatusGone,
	ReasonInProgress:      http.StatusConflict,
	ReasonOutdated:        http.StatusConflict,
	ReasonOutcomeUnknown:  http.StatusConflict,
	ReasonAnswerNotKept:   http.StatusConflict,
	ReasonBodyTooLarge:    http.StatusRequestEntityTooLarge,
	ReasonPolicyUndecided: http.StatusBadRequest,
	ReasonUnauthorized:    http.StatusUnauthorized,
	ReasonQuota:           http.StatusTooManyRequests,
}

// Error is a refusal or failure with its verdict.
type Error struct {
	verdict    Verdict
	reason     Reason
	detail     string
	retryAfter time.Duration
	cause      error
}

// New returns an Error; detail is a human-readable description.
func New(v Verdict, reason Reason, detail string) *Error {
	return &Error{verdict: v, reason: reason, detail: detail}
}

// WithRetryAfter returns a copy that tells the client to wait for d before it retries.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
	c := *e
	c.retryAfter = d
	return &c
}

// WithCause returns a copy that wraps cause.
func (e *Error) WithCause(cause error) *Error {
	c := *e
	c.cause = cause
	return &c
}

// WithVerdict returns a copy with another verdict.
func (e *Error) WithVerdict(v Verdict) *Error {
	c := *e
	c.verdict = v
	return &c
}

// Verdict returns whether the request may have run.
func (e *Error) Verdict() Verdict { return e.verdict }

// Reason returns the machine-readable cause.
func (e *Error) Reason() Reason { return e.reason }

// Detail returns the human-readable description.
func (e *Error) Detail() string { return e.detail }

// RetryAfter returns how long the client should wait before it retries; 0 means unknown.
func (e *Error) RetryAfter() time.Duration { return e.retryAfter }

// Unwrap returns the cause, if any.
func (e *Error) Unwrap() error { return e.cause }

// Status returns the HTTP status of the answer: that of the reason, or 503 if it has none.
func (e *Error) Status() int {
	if s, ok := statuses[e.reason]; ok {
		return s
	}
	return http.StatusServiceUnavailable
}

// Error implements error.
func (e *Error) Error() string {
	msg := fmt.Sprintf("%s (%s): %s", e.reason, e.verdict, e.detail)
	if e.cause != nil {
		msg += ": " + e.cause.Error()
	}
	return msg
}
