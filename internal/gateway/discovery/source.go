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

// List is all objects of a kind at a revision of the store.
type List[T any] struct {
	Revision uint64
	Items    []T
}

// Changes is what happened to the objects of a kind up to a revision.
type Changes[T any] struct {
	Revision uint64
	Items    []T
}

// Newest is what became of the one object of a kind up to a revision.
type Newest[T any] struct {
	Revision uint64
	// Latest is nil when nothing changed, or when there is none yet.
	Latest *T
}

// SavedObject is the one object in which gateways save what they would forget together.
type SavedObject struct {
	// Revision is that of the object; 0 where there is none yet.
	Revision uint64
	Body     []byte
}

// RecordOutcome is how the recording of a rollout's progress ended.
type RecordOutcome uint8

// Ends of a recording.
const (
	// RecordUnknown says that there was no answer: it may have been done, or be done
	// seconds later if the object has not changed by then.
	RecordUnknown RecordOutcome = iota
	// RecordDone says that it was done, and RecordRefused that it was not and never
	// will be.
	RecordDone
	RecordRefused
)

// RecordResult is what came of recording a rollout's progress.
type RecordResult struct {
	Outcome RecordOutcome
	// Rollout is the rollout as it is now, where the store reported it; nil where it did not.
	Rollout *catalog.Rollout
}

// StaleRead is what the store held up to some seconds ago.
type StaleRead struct {
	// Config is nil where there was none yet.
	Config  *ConfigObject
	Targets []catalog.Target
}

// Source reads the store. A watch that asks for a forgotten history fails with
// ErrGone.
type Source struct {
	Config       func(ctx context.Context) (Newest[ConfigObject], error)
	WatchConfig  func(ctx context.Context, from uint64, wait time.Duration) (Newest[ConfigObject], error)
	Targets      func(ctx context.Context) (List[catalog.Target], error)
	WatchTargets func(ctx context.Context, from uint64, wait time.Duration) (Changes[catalog.Change], error)
	// Evacuations, WatchEvacuations and StaleEvacuations are nil where no hall is ever
	// evacuated, which saves the calls.
	Evacuations      func(ctx context.Context) (List[catalog.Evacuation], error)
	WatchEvacuations func(ctx context.Context, from uint64, wait time.Duration) (Changes[catalog.EvacuationChange], error)
	// StaleEvacuations are those of some seconds ago.
	StaleEvacuations func(ctx context.Context) (List[catalog.Evacuation], error)
	// Rollouts, WatchRollouts and StaleRollouts are nil where no rollout is ever ordered.
	Rollouts      func(ctx context.Context) (List[catalog.Rollout], error)
	WatchRollouts func(ctx context.Context, from uint64, wait time.Duration) (Changes[catalog.RolloutChange], error)
	StaleRollouts func(ctx context.Context) (List[catalog.Rollout], error)
	// RecordRollout records the progress of a rollout (its State and what follows it) on
	// condition that the object's revision is still that of the rollout. The error says
	// why an end is not RecordDone.
	RecordRollout func(ctx context.Context, r catalog.Rollout) (RecordResult, error)
	// Saved, WatchSaved and Save are nil where nothing is saved. Save writes the object on
	// condition of its revision and returns it as it is now, where the store reported it.
	Saved      func(ctx context.Context) (Newest[SavedObject], error)
	WatchSaved func(ctx context.Context, from uint64, wait time.Duration) (Newest[SavedObject], error)
	Save       func(ctx context.Context, o SavedObject) (*SavedObject, error)
	// StaleRead is what the store held up to some seconds ago, at a small part of the cost
	// of the calls above.
	StaleRead func(ctx context.Context) (StaleRead, error)
	// Ping shows that the store can be reached, by the cheapest call there is.
	Ping func(ctx context.Context) error
}

// WithoutEvacuations is the source where no hall is ever evacuated.
func (s Source) WithoutEvacuations() Source {
	s.Evacuations, s.WatchEvacuations, s.StaleEvacuations = nil, nil, nil
	return s
}

// WithoutRollouts is the source where no rollout is ever ordered.
func (s Source) WithoutRollouts() Source {
	s.Rollouts, s.WatchRollouts, s.StaleRollouts, s.RecordRollout = nil, nil, nil, nil
	return s
}

// followsRollouts says whether rollouts may be ordered.
func (s Source) followsRollouts() bool { return s.Rollouts != nil }

// followsEvacuations says whether halls may be evacuated.
func (s Source) followsEvacuations() bool { return s.Evacuations != nil }

// Errors of a Source; whatever else it returns counts as ErrUnavailable does.
var (
	// ErrUnavailable says that the store could not be reached, turned the call away
	// or gave no whole answer. The call may be made again.
	ErrUnavailable = errors.New("the store is unavailable")
	// ErrNotFound says that the store has no such kind of objects.
	ErrNotFound = errors.New("the store has no such objects")
	// ErrGone says that a watch asked for a history that is no longer kept: the
	// whole list must be read.
	ErrGone = errors.New("the history asked for is no longer kept")
)
