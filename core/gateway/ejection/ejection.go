// Package ejection decides for how long a target that failed gets no requests
// (outlier ejection with back-off). It is the only place where that is decided.
//
// It owns the ejections of one service's targets, and the times; it goes by how
// sends ended (core/gateway/outcome) and by probes that were not answered. It
// does no I/O and reads no clock. An ejection never empties a service: where all
// targets are ejected, core/gateway/placement probes them all the same.
//
// The times are short since ejection costs capacity and targets mostly recover
// within a second. Unsafe requests pay for that at targets that break off now and
// then and are back too soon.
//
// # Usage
//
//	tracker := ejection.New()
//	tracker.Ended(now, target.Life(), outcome.Broken)
//	if tracker.Ejected(now, target.Life()) {
//		// probe others first
//	}
package ejection

import (
	"time"

	"github.com/sprucecrank/sprucecrank/core/gateway/catalog"
	"github.com/sprucecrank/sprucecrank/core/gateway/outcome"
)

const (
	// firstFailure is how long a target is ejected at its first failure; the time
	// doubles with each one that follows without an answer between, up to
	// longestFailure.
	firstFailure   = 200 * time.Millisecond
	longestFailure = 3 * time.Second
	// shed is how long a target is ejected that did not take a request: its
	// queue is full for some tens of milliseconds.
	shed = firstFailure / 4
	// misdirected is how long a target is ejected whose address belongs to
	// another one: until the store has said that it is gone.
	misdirected = 10 * time.Second
)

// Tracker holds the ejections of one service. It is not safe for concurrent use.
type Tracker struct {
	targets map[catalog.Life]ejected
}

type ejected struct {
	until time.Time
	// backOff is the latest time for a failure; 0 after an answer.
	backOff time.Duration
}

// New makes a tracker that ejects nobody.
func New() *Tracker { return &Tracker{targets: map[catalog.Life]ejected{}} }

// Ejected says whether a target gets no requests now.
func (t *Tracker) Ejected(now time.Time, life catalog.Life) bool {
	return now.Before(t.targets[life].until)
}

// ProbeFailed notes that a target could not be connected to, or did not answer
// a health probe.
func (t *Tracker) ProbeFailed(now time.Time, life catalog.Life) { t.fail(now, life) }

// Ended notes how a send to a target ended.
func (t *Tracker) Ended(now time.Time, life catalog.Life, o outcome.Outcome) {
	switch o {
	case outcome.Failed, outcome.Broken:
		t.fail(now, life)
	case outcome.Shed:
		t.eject(life, now.Add(shed))
	case outcome.Misdirected:
		t.eject(life, now.Add(misdirected))
	case outcome.Served:
		t.forgive(life)
	case outcome.Abandoned: // says nothing about the target
	}
}

func (t *Tracker) fail(now time.Time, life catalog.Life) {
	backOff := min(max(2*t.targets[life].backOff, firstFailure), longestFailure)
	t.targets[life] = ejected{until: now.Add(backOff), backOff: backOff}
}

func (t *Tracker) eject(life catalog.Life, until time.Time) {
	e := t.targets[life]
	e.until = until
	t.targets[life] = e
}

// forgive begins the back-off anew; an ejection that runs is not ended, since
// the send began before it.
func (t *Tracker) forgive(life catalog.Life) {
	e, ok := t.targets[life]
	if !ok {
		return
	}
	e.backOff = 0
	t.targets[life] = e
}
