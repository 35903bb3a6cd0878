package discovery

import (
	"context"
	"errors"
	"time"

	"github.com/sprucecrank/sprucecrank/core/gateway/catalog"
)

// ConfigObject is the configuration as the store holds it.
type ConfigObject struct {
	Version uint64
	Body    []byte
}

// List holds all objects of a kind at a revision of the store.
type List[T any] struct {
	Revision uint64
	Items    []T
}

// Changes holds the changes of the objects of a kind up to a revision.
type Changes[T any] struct {
	Revision uint64
	Items    []T
}

// Newest holds the newest version of the only object of a kind up to a revision.
type Newest[T any] struct {
	Revision uint64
	// Latest is nil if nothing changed, or if the object does not exist yet.
	Latest *T
}

// SavedObject is the object in the store that preserves state which a fleet would lose if
// all gateways stopped at once.
type SavedObject struct {
	// Revision is that of the object; 0 if it does not exist yet.
	Revision uint64
	Body     []byte
}

// RecordOutcome is the outcome of recording a rollout's progress.
type RecordOutcome uint8

// Outcomes of a recording.
const (
	// RecordUnknown says that there was no response: the write may have been applied, or
	// may be applied seconds later if the object has not changed by then.
	RecordUnknown RecordOutcome = iota
	// RecordDone says that the write was applied, and RecordRefused that it was not and
	// never will be.
	RecordDone
	RecordRefused
)

// RecordResult is the result of recording a rollout's progress.
type RecordResult struct {
	Outcome RecordOutcome
	// Rollout is the rollout as it is now; nil if the store did not report it.
	Rollout *catalog.Rollout
}

// StaleRead is what the store held up to some seconds ago.
type StaleRead struct {
	// Config is nil if there was none yet.
	Config  *ConfigObject
	Targets []catalog.Target
}

// Source reads the store. A watch from a revision whose history is no longer kept fails
// with ErrGone.
type Source struct {
	Config       func(ctx context.Context) (Newest[ConfigObject], error)
	WatchConfig  func(ctx context.Context, from uint64, wait time.Duration) (Newest[ConfigObject], error)
	Targets      func(ctx context.Context) (List[catalog.Target], error)
	WatchTargets func(ctx context.Context, from uint64, wait time.Duration) (Changes[catalog.Change], error)
	// Evacuations, WatchEvacuations and StaleEvacuations are nil where halls are never
	// evacuated, which saves the calls.
	Evacuations      func(ctx context.Context) (List[catalog.Evacuation], error)
	WatchEvacuations func(ctx context.Context, from uint64, wait time.Duration) (Changes[catalog.EvacuationChange], error)
	// StaleEvacuations returns those of some seconds ago.
	StaleEvacuations func(ctx context.Context) (List[catalog.Evacuation], error)
	// Rollouts, WatchRollouts and StaleRollouts are nil where no rollout is ever ordered.
	Rollouts      func(ctx context.Context) (List[catalog.Rollout], error)
	WatchRollouts func(ctx context.Context, from uint64, wait time.Duration) (Changes[catalog.RolloutChange], error)
	StaleRollouts func(ctx context.Context) (List[catalog.Rollout], error)
	// RecordRollout writes the progress of a rollout (its State and the fields after it) on
	// condition that the object still has the rollout's revision. The error says why the
	// outcome is not RecordDone.
	RecordRollout func(ctx context.Context, r catalog.Rollout) (RecordResult, error)
	// Saved, WatchSaved and Save are nil where nothing is saved. Save writes the object on
	// condition of its revision and returns its present version, if the store reported it.
	Saved      func(ctx context.Context) (Newest[SavedObject], error)
	WatchSaved func(ctx context.Context, from uint64, wait time.Duration) (Newest[SavedObject], error)
	Save       func(ctx context.Context, o SavedObject) (*SavedObject, error)
	// StaleRead returns what the store held up to some seconds ago, at a small fraction of
	// the cost of the calls above.
	StaleRead func(ctx context.Context) (StaleRead, error)
	// Ping checks that the store is reachable, by its cheapest call.
	Ping func(ctx context.Context) error
}

// WithoutEvacuations returns a source for a deployment that never evacuates halls.
func (s Source) WithoutEvacuations() Source {
	s.Evacuations, s.WatchEvacuations, s.StaleEvacuations = nil, nil, nil
	return s
}

// WithoutRollouts returns a source for a deployment that never orders rollouts.
func (s Source) WithoutRollouts() Source {
	s.Rollouts, s.WatchRollouts, s.StaleRollouts, s.RecordRollout = nil, nil, nil, nil
	return s
}

// followsRollouts reports whether the source provides rollouts, which gateways then follow.
func (s Source) followsRollouts() bool { return s.Rollouts != nil }

// followsEvacuations reports whether the source provides evacuations, which gateways then
// follow.
func (s Source) followsEvacuations() bool { return s.Evacuations != nil }

// Errors of a Source; any other error counts as ErrUnavailable.
var (
	// ErrUnavailable says that the store was unreachable, refused the call or sent an
	// incomplete response. The call may be repeated.
	ErrUnavailable = errors.New("the store is unavailable")
	// ErrNotFound says that the store has no such kind of objects.
	ErrNotFound = errors.New("the store has no such objects")
	// ErrGone says that a watch requested a history that is no longer kept: the full list
	// must be read.
	ErrGone = errors.New("the history asked for is no longer kept")
)
