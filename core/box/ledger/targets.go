package ledger

import (
	"time"

	"github.com/sprucecrank/sprucecrank/core/box/health"
)

// observeStart notes a target's start number. A greater one is a new life: cold,
// and not leaving. The first one that is seen belongs to the life that an
// earlier word of its leaving was about.
func (t *target) observeStart(start uint64) {
	if start <= t.start {
		return
	}
	first := t.start == 0
	t.start = start
	switch {
	case first && t.leaving && t.leavingStart == 0:
		t.leavingStart = start
	case !first:
		t.tracker.Restart()
	}
	if start > t.leavingStart {
		t.leaving = false
	}
}

// MarkLeaving notes that a target leaves. start is its start number, 0 when the
// source does not know it; it sticks until a greater one is seen.
func (l *Ledger) MarkLeaving(address string, start uint64) {
	if t, ok := l.targets[address]; ok {
		t.markLeaving(start)
	}
}

func (t *target) markLeaving(start uint64) {
	if start == 0 {
		start = t.start
	}
	if start < t.start {
		return // old news of an earlier life
	}
	t.observeStart(start)
	t.leavingStart = max(t.leavingStart, start)
	t.leaving = true
}

// observeOutcome notes what an answer of the target says of itself.
func (t *target) observeOutcome(o Outcome) {
	t.observeStart(o.Start)
	if o.Leaving {
		t.markLeaving(o.Start)
	}
}

// ObserveStart notes a target's start number from elsewhere, such as the list.
func (l *Ledger) ObserveStart(address string, start uint64) {
	if t, ok := l.targets[address]; ok {
		t.observeStart(start)
	}
}

// RecordProbe takes in a probe's result.
func (l *Ledger) RecordProbe(now time.Time, address string, o Outcome) {
	t, ok := l.targets[address]
	if !ok {
		return
	}
	t.lastContact = now
	t.observeOutcome(o)
	if o.Result != health.OK {
		t.tracker.Observe(now, o.Result, o.Took, 0)
	}
	t.tracker.BackOff(now, o.BackOff)
	l.serveQueue(now)
}
