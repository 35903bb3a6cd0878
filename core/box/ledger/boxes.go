package ledger

import "time"

// MarkSeen records that a box was in contact at now.
func (l *Ledger) MarkSeen(now time.Time, box string) { l.lastSeen[box] = now }

// Reconcile compares the grants of a box with the full list that it reports for
// this service. A grant that the list lacks is removed once it is older than
// settle, because either the decision or the release was lost. A listed grant
// that the ledger lacks is ignored: its release may have arrived before the list.
func (l *Ledger) Reconcile(now time.Time, box string, held []HeldGrant, settle time.Duration) {
	l.lastSeen[box] = now
	listed := make(map[string]bool, len(held))
	for _, h := range held {
		listed[h.ID] = true
	}
	for _, g := range l.grants {
		if g.box == box && !listed[g.id] && now.Sub(g.grantedAt) > settle {
			l.removeGrant(g)
		}
	}
	l.serveQueue(now)
}

// Adopt adds the grants of a box for which this ledger's box has just become
// the home, so that their slots are not granted a second time.
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
