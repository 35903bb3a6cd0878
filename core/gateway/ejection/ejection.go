// Package ejection decides for how long a target that failed gets no requests (outlier
// ejection with exponential back-off). No other package decides that.
//
// It owns the ejections of one service's targets and their durations. It depends on the
// outcomes of sends (core/gateway/outcome) and on probes that were not answered. It does
// no I/O and reads no clock. An ejection never leaves a service without targets: if all
// are ejected, core/gateway/placement probes them anyway.
//
// The durations are short because an ejection costs capacity and targets mostly recover
// within a second. The price is paid by unsafe requests at targets that break connections
// intermittently and return to service too soon.
//
// # Usage
//
//	tracker := ejection.New()
//	tracker.RecordOutcome(now, target.Life(), outcome.Broken)
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
	// initialFailureTime is how long a target is ejected at its first failure; the time
	// doubles with each further failure without an answer in between, up to
	// maxFailureTime.
	initialFailureTime = 200 * time.Millisecond
	maxFailureTime     = 3 * time.Second
	// shedTime is how long a target is ejected that shed a request: its queue is full for
	// some tens of milliseconds.
	shedTime = initialFailureTime / 4
	// misdirectedTime is how long a target is ejected whose address belongs to another
	// one: until the store reports that it is gone.
	misdirectedTime = 10 * time.Second
)

// Tracker holds the ejections of one service. It is not safe for concurrent use.
type Tracker struct {
	targets map[catalog.Life]ejection
}

type ejection struct {
	until time.Time
	// backOff is the duration for the latest failure; 0 after an answer.
	backOff time.Duration
}

// New returns a tracker without ejections.
func New() *Tracker { return &Tracker{targets: map[catalog.Life]ejection{}} }

// Ejected reports whether a target gets no requests now.
func (t *Tracker) Ejected(now time.Time, life catalog.Life) bool {
	return now.Before(t.targets[life].until)
}

// RecordProbeFailure records that a target could not be connected to, or did not answer a
// health probe.
func (t *Tracker) RecordProbeFailure(now time.Time, life catalog.Life) { t.fail(now, life) }

// RecordOutcome records how a send to a target ended.
func (t *Tracker) RecordOutcome(now time.Time, life catalog.Life, o outcome.Outcome) {
	switch o {
	case outcome.Failed, outcome.Broken:
		t.fail(now, life)
	case outcome.Shed:
		t.eject(life, now.Add(shedTime))
	case outcome.Misdirected:
		t.eject(life, now.Add(misdirectedTime))
	case outcome.Served:
		t.resetBackOff(life)
	case outcome.Abandoned: // tells nothing about the target
	}
}

func (t *Tracker) fail(now time.Time, life catalog.Life) {
	backOff := min(max(2*t.targets[life].backOff, initialFailureTime), maxFailureTime)
	t.targets[life] = ejection{until: now.Add(backOff), backOff: backOff}
}

func (t *Tracker) eject(life catalog.Life, until time.Time) {
	e := t.targets[life]
	e.until = until
	t.targets[life] = e
}

// resetBackOff restarts the back-off sequence after an answer. It does not end a current
// ejection, because the send started before it.
func (t *Tracker) resetBackOff(life catalog.Life) {
	e, ok := t.targets[life]
	if !ok {
		return
	}
	e.backOff = 0
	t.targets[life] = e
}
