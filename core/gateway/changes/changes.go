// Package changes numbers the changes of what gateways exchange, so that each is sent to another
// gateway once: the owner of a list says how far it has come, and which changes follow a position.
//
// It owns the numbers alone; what they are of belongs to the lists. It does no I/O.
//
// # Usage
//
//	log := changes.NewLog(rand.Uint64())
//	entry.version = log.Next()
//	after := log.After(position) // entries with a greater version are lacking there
//	updates, to := changes.First(log, lacking, 32)
package changes

import (
	"cmp"
	"slices"
)

// Position is how far a list has come, so that another gateway can say what it has of it. The zero
// Position is that of an empty list.
type Position struct {
	// Log is the number of the list: that of a gateway that starts again is another one.
	Log     uint64
	Version uint64
}

// Log numbers the changes of one list. It is not safe for concurrent use.
type Log struct {
	number  uint64
	version uint64
}

// NewLog makes a log of no changes. number is drawn at random, so that others can distinguish it
// from that of an earlier process.
func NewLog(number uint64) *Log { return &Log{number: number} }

// Next is the version of a new change.
func (l *Log) Next() uint64 {
	l.version++
	return l.version
}

// Version is that of the latest change; 0 if there was none.
func (l *Log) Version() uint64 { return l.version }

// Position is how far the list has come.
func (l *Log) Position() Position {
	if l.version == 0 {
		return Position{}
	}
	return Position{Log: l.number, Version: l.version}
}

// After is the version whose later changes are lacking at a position: all for that of another list.
func (l *Log) After(at Position) uint64 {
	if at.Log != l.number {
		return 0
	}
	return at.Version
}

// Change is a change of a list as others are sent it, at a version.
type Change[T any] struct {
	Version uint64
	Update  T
}

// First are the earliest of some changes, those that are lacking at a position, and how far they come:
// not all of them where there are more than most.
func First[T any](l *Log, lacking []Change[T], most int) ([]T, Position) {
	slices.SortFunc(lacking, func(a, b Change[T]) int { return cmp.Compare(a.Version, b.Version) })
	to := l.Position()
	if len(lacking) > most {
		lacking = lacking[:most]
		to.Version = lacking[most-1].Version
	}
	updates := make([]T, 0, len(lacking))
	for _, c := range lacking {
		updates = append(updates, c.Update)
	}
	return updates, to
}
