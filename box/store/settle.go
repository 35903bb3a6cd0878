package store

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/cenkalti/backoff/v5"

	"github.com/sprucecrank/sprucecrank/internal/pause"
)

// Objects are the calls that a settled write is made of.
type Objects struct {
	Get func(ctx context.Context, key string) (Object, error)
	Put func(ctx context.Context, key string, value []byte, expect uint64) (uint64, error)
}

// ConflictError is a definite conflict with the object that stands there.
type ConflictError struct {
	current Object
}

// Current is the object that stands there.
func (e *ConflictError) Current() Object { return e.current }

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("%s is at version %d: %v", e.current.Key, e.current.Version, ErrConflict)
}

// Is makes errors.Is(err, ErrConflict) hold.
func (e *ConflictError) Is(target error) bool { return target == ErrConflict }

// PutSettled writes like Put but settles a lost answer: it sends the same
// conditional update again until the platform says yes or no. mine tells
// whether an object that stands there is the one written here. The error is a
// ConflictError, ErrUnavailable (never applied) or ErrAmbiguous (ctx ended
// before it was settled).
func (o Objects) PutSettled(ctx context.Context, key string, value []byte, expect uint64, mine func(Object) bool) (uint64, error) {
	lost := false
	between := backoff.NewExponentialBackOff()
	between.InitialInterval = 10 * time.Millisecond
	between.MaxInterval = 500 * time.Millisecond
	for {
		version, err := o.Put(ctx, key, value, expect)
		if errors.Is(err, ErrConflict) {
			version, err = o.afterConflict(ctx, key, expect, mine)
		}
		if err == nil || errors.Is(err, ErrConflict) || errors.Is(err, ErrRejected) {
			return version, err
		}
		lost = lost || errors.Is(err, ErrAmbiguous)
		if !pause.For(ctx, between.NextBackOff()) {
			return 0, unsettled(lost, err)
		}
	}
}

func unsettled(lost bool, err error) error {
	if lost {
		return fmt.Errorf("%w: %w", ErrAmbiguous, err)
	}
	return err
}

// afterConflict reads what stands there. A read that is older than the
// conflict itself proves nothing, so it counts as unsettled.
func (o Objects) afterConflict(ctx context.Context, key string, expect uint64, mine func(Object) bool) (uint64, error) {
	current, err := o.Get(ctx, key)
	if errors.Is(err, ErrNotFound) || (err == nil && current.Version <= expect) {
		return 0, fmt.Errorf("%w: a stale read followed the conflict", ErrAmbiguous)
	}
	if err != nil {
		return 0, fmt.Errorf("%w: %w", ErrAmbiguous, err)
	}
	if mine(current) {
		return current.Version, nil
	}
	return 0, &ConflictError{current: current}
}
