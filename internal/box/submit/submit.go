// Package submit changes configuration objects: checked first, written by a
// conditional update, and settled by the submission's id when an answer is
// lost. The command line and the administration API both use it.
//
// It owns the order of check, write and settlement. It relies on the object API alone.
//
// # Usage
//
//	name, err := submit.Check(envelope.Service, raw)
//	version, err := submit.Write(ctx, client.Objects(), submit.Change{Noun: envelope.Service, Name: name, Value: raw, ...})
package submit

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/sprucecrank/sprucecrank/box/policy"
	"github.com/sprucecrank/sprucecrank/box/store"
	"github.com/sprucecrank/sprucecrank/internal/box/envelope"
)

// patience is how long a submission is settled for.
const patience = 10 * time.Second

// Change is one submission.
type Change struct {
	Noun envelope.Noun
	Name string
	// ID, By and At say which submission this is, whose, and when it was made.
	ID string
	By string
	At time.Time
	// Value is the checked document; it is not used for a tombstone.
	Value   json.RawMessage
	Deleted bool
	// Expect is the version that the operator saw; nil means the current one.
	Expect *uint64
}

// RacedError says that the object has another version than the operator saw.
type RacedError struct {
	version uint64
}

// Version is the version that stands.
func (e *RacedError) Version() uint64 { return e.version }

// Error implements error.
func (e *RacedError) Error() string {
	return fmt.Sprintf("the object is at version %d now: another operator was faster; nothing was changed", e.version)
}

// Check validates a document and finds its name. The error is a
// policy.Problems.
func Check(noun envelope.Noun, raw []byte) (string, error) {
	if noun == envelope.Policy {
		p, err := policy.ParsePolicy(raw)
		if err != nil {
			return "", err
		}
		return p.Service(), nil
	}
	s, err := policy.ParseService(raw)
	if err != nil {
		return "", err
	}
	return s.Name, nil
}

// Current reads the object that stands now; version 0 means none.
func Current(ctx context.Context, objects store.Objects, noun envelope.Noun, name string) (envelope.Envelope, uint64, error) {
	object, err := objects.Get(ctx, noun.Key(name))
	if errors.Is(err, store.ErrNotFound) {
		return envelope.Envelope{}, 0, nil
	}
	if err != nil {
		return envelope.Envelope{}, 0, err
	}
	env, err := envelope.Parse(object.Value)
	return env, object.Version, err
}

// Write submits a change and returns its version. The error is a RacedError
// when another change came first, or the platform's.
func Write(ctx context.Context, objects store.Objects, c Change) (uint64, error) {
	env, version, err := Current(ctx, objects, c.Noun, c.Name)
	if err != nil {
		return 0, err
	}
	if c.Expect != nil && *c.Expect != version {
		return 0, &RacedError{version: version}
	}
	raw, err := json.Marshal(env.Next(version, envelope.Revision{
		ID: c.ID, By: c.By, At: c.At.UTC(), Deleted: c.Deleted, Value: c.Value,
	}))
	if err != nil {
		return 0, err
	}
	mine := func(o store.Object) bool {
		found, err := envelope.Parse(o.Value)
		return err == nil && found.ID == c.ID
	}
	ctx, cancel := context.WithTimeout(ctx, patience)
	defer cancel()
	written, err := objects.PutSettled(ctx, c.Noun.Key(c.Name), raw, version, mine)
	var conflict *store.ConflictError
	if errors.As(err, &conflict) {
		return 0, &RacedError{version: conflict.Current().Version}
	}
	return written, err
}
