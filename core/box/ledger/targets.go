package ledger

import (
	"time"

	"github.com/sprucecrank/sprucecrank/core/box/health"
)

// observeStart records a target's start number. A greater one is a new
// incarnation, which is cold and not leaving. The first number observed belongs
// to the incarnation that an earlier report of its leaving referred to.
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

// MarkLeaving records that a target is leaving. start is its start number, 0 when
// the source does not know it. The target stays leaving until a greater start
// number is observed.
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
		return // outdated, about an earlier incarnation
	}
	t.observeStart(start)
	t.leavingStart = max(t.leavingStart, start)
	t.leaving = true
}

// observeOutcome records the start number and the leaving flag that the target
// advertised in an answer.
func (t *target) observeOutcome(o Outcome) {
	t.observeStart(o.Start)
	if o.Leaving {
		t.markLeaving(o.Start)
	}
}

// ObserveStart records a target's start number from another source than its
// answers, such as the member list.
func (l *Ledger) ObserveStart(address string, start uint64) {
	if t, ok := l.targets[address]; ok {
		t.observeStart(start)
	}
}

// RecordProbe records the result of a probe.
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
