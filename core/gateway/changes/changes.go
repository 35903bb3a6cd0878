// Package changes versions the changes of the state that gateways exchange, so that each change is
// sent to another gateway once. The owner of a list publishes the version that the list has
// reached, and returns the changes after a given position.
//
// The package owns the versions only; the changed entries belong to the lists. It does no I/O.
//
// # Usage
//
//	log := changes.NewLog(rand.Uint64())
//	entry.version = log.Next()
//	after := log.After(position) // entries with a greater version are missing there
//	updates, to := changes.NextBatch(log, missing, 32)
package changes

import (
	"cmp"
	"slices"
)

// Position is the version that a list has reached, which another gateway sends to tell how
// much of the list it has received. The zero Position is that of an empty list.
type Position struct {
	// Log identifies the list: a gateway that restarts has another number.
	Log     uint64
	Version uint64
}

// Log versions the changes of one list. It is not safe for concurrent use.
type Log struct {
	number  uint64
	version uint64
}

// NewLog returns a log without changes. number is drawn at random, so that others can distinguish
// the log from that of an earlier incarnation of the process.
func NewLog(number uint64) *Log { return &Log{number: number} }

// Next returns the version of a new change.
func (l *Log) Next() uint64 {
	l.version++
	return l.version
}

// Version returns the version of the latest change; 0 if there was none.
func (l *Log) Version() uint64 { return l.version }

// Position returns the position that the list has reached.
func (l *Log) Position() Position {
	if l.version == 0 {
		return Position{}
	}
	return Position{Log: l.number, Version: l.version}
}

// After returns the version after which changes are missing at a position: 0, so all of them, for a
// position of another list.
func (l *Log) After(at Position) uint64 {
	if at.Log != l.number {
		return 0
	}
	return at.Version
}

// Change is an update of a list, as it is sent to others, with its version.
type Change[T any] struct {
	Version uint64
	Update  T
}

// NextBatch sorts the changes that are missing at a position by version and returns the updates of the
// earliest, at most limit of them, and the position that these reach.
func NextBatch[T any](l *Log, missing []Change[T], limit int) ([]T, Position) {
	slices.SortFunc(missing, func(a, b Change[T]) int { return cmp.Compare(a.Version, b.Version) })
	to := l.Position()
	if len(missing) > limit {
		missing = missing[:limit]
		to.Version = missing[limit-1].Version
	}
	updates := make([]T, 0, len(missing))
	for _, c := range missing {
		updates = append(updates, c.Update)
	}
	return updates, to
}
