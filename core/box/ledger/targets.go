package ledger

import (
	"time"

	"github.com/sprucecrank/sprucecrank/core/box/health"
)

// sawStart notes a target's start number. A greater one is a new life: cold,
// and not leaving. The first one that is seen belongs to the life that an
// earlier word of its leaving was about.
func (t *target) sawStart(start uint64) {
	if start <= t.start {
		return
	}
	first := t.start == 0
	t.start = start
	switch {
	case first && t.leaving && t.leftAt == 0:
		t.leftAt = start
	case !first:
		t.tracker.Restart()
	}
	if start > t.leftAt {
		t.leaving = false
	}
}

// Leave notes that a target leaves. start is its start number, 0 when the
// source does not know it; it sticks until a greater one is seen.
func (l *Ledger) Leave(address string, start uint64) {
	if t, ok := l.targets[address]; ok {
		t.leave(start)
	}
}

func (t *target) leave(start uint64) {
	if start == 0 {
		start = t.start
	}
	if start < t.start {
		return // old news of an earlier life
	}
	t.sawStart(start)
	t.leftAt = max(t.leftAt, start)
	t.leaving = true
}

// saw notes what an answer of the target says of itself.
func (t *target) saw(o Outcome) {
	t.sawStart(o.Start)
	if o.Leaving {
		t.leave(o.Start)
	}
}

// SawStart notes a target's start number from elsewhere, such as the list.
func (l *Ledger) SawStart(address string, start uint64) {
	if t, ok := l.targets[address]; ok {
		t.sawStart(start)
	}
}

// Probed takes in a probe's result.
func (l *Ledger) Probed(now time.Time, address string, o Outcome) {
	t, ok := l.targets[address]
	if !ok {
		return
	}
	t.visited = now
	t.saw(o)
	if o.Result != health.OK {
		t.tracker.Observe(now, o.Result, o.Took, 0)
	}
	t.tracker.BackOff(now, o.BackOff)
	l.serve(now)
}
