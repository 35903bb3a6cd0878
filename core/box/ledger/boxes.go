package ledger

import "time"

// MarkSeen notes that a box lives.
func (l *Ledger) MarkSeen(now time.Time, box string) { l.lastSeen[box] = now }

// Reconcile takes in all that a box says it holds of this service: promises
// that it does not name are dropped once they are older than settle, since then
// their answer or their return was lost. A promise that the ledger lacks is left
// alone: its return may have come before the list.
func (l *Ledger) Reconcile(now time.Time, box string, held []HeldGrant, settle time.Duration) {
	l.lastSeen[box] = now
	named := make(map[string]bool, len(held))
	for _, h := range held {
		named[h.ID] = true
	}
	for _, g := range l.grants {
		if g.box == box && !named[g.id] && now.Sub(g.grantedAt) > settle {
			l.removeGrant(g)
		}
	}
	l.serveQueue(now)
}

// Adopt takes in what a box holds that has not had this ledger's box as its
// home before, so that those slots are not promised again.
func (l *Ledger) Adopt(now time.Time, box string, held []HeldGrant) {
	l.lastSeen[box] = now
	for _, h := range held {
		l.adopt(now, box, h)
	}
}

func (l *Ledger) adopt(now time.Time, box string, h HeldGrant) {
	t, ok := l.targets[h.Target]
	if _, known := l.grants[h.ID]; known || !ok {
		return
	}
	g := &grant{id: h.ID, box: box, target: t, kind: h.Kind, grantedAt: now.Add(-h.For), expires: now.Add(expiryMargin)}
	l.grants[h.ID] = g
	t.grants[h.ID] = g
}
