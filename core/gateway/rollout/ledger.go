package rollout

import (
	"maps"
	"slices"
	"time"
)

const (
	// snapshotEvery is the least time between two snapshots, from which slices are made:
	// about the time between two reports of a gateway.
	snapshotEvery = 250 * time.Millisecond
	// snapshotShare is how far apart two neighbouring snapshots may be, as a part of their
	// age: a dozen for each tenfold age, so that few are kept in a rollout of hours.
	snapshotShare = 0.2
)

// Ledger holds the latest report of each gateway on one rollout. It is not safe for
// concurrent use.
type Ledger struct {
	gateways map[string]*entry
	sum      Routes
	// snapshots are earlier sums, the oldest first.
	snapshots []snapshot
}

// entry is what is known of one gateway.
type entry struct {
	at     time.Time
	latest Report
}

// snapshot is the sum at a moment.
type snapshot struct {
	at  time.Time
	sum Routes
}

// NewLedger makes an empty one.
func NewLedger() *Ledger { return &Ledger{gateways: map[string]*entry{}, sum: Routes{}} }

// Note takes in a report, unless a later one of that gateway is there. What a gateway
// counts in a new life of its process adds to what it counted before.
func (l *Ledger) Note(now time.Time, r Report) {
	l.keepSnapshot(now)
	e, known := l.gateways[r.Gateway]
	switch {
	case !known:
		e = &entry{}
		l.gateways[r.Gateway] = e
		l.addHistory(r.Counts)
	case r.Start > e.latest.Start:
		l.sum.grow(r.Counts, nil)
	case r.Start < e.latest.Start || sends(r) < sends(e.latest):
		return // overtaken on its way
	default:
		l.sum.grow(r.Counts, e.latest.Counts)
	}
	e.at, e.latest = now, r
}

// sends is how many sends a report counts.
func sends(r Report) (sum uint64) {
	for _, c := range r.Counts {
		sum += c.Counts.Sends
	}
	return sum
}

// addHistory adds what a gateway had counted before it was first learnt of: to a successor
// all report all that they have counted since the order, which no slice may show as new.
func (l *Ledger) addHistory(counts []RouteCounts) {
	l.sum.grow(counts, nil)
	for _, s := range l.snapshots {
		s.sum.grow(counts, nil)
	}
}

// keepSnapshot keeps the sum as it is, if the last snapshot is old enough.
func (l *Ledger) keepSnapshot(now time.Time) {
	if n := len(l.snapshots); n > 0 && now.Sub(l.snapshots[n-1].at) < snapshotEvery {
		return
	}
	l.thin(now)
	l.snapshots = append(l.snapshots, snapshot{at: now, sum: maps.Clone(l.sum)})
}

// thin drops snapshots whose neighbours are close together for their age.
func (l *Ledger) thin(now time.Time) {
	kept := l.snapshots[:0]
	for i, s := range l.snapshots {
		if i > 0 && i < len(l.snapshots)-1 {
			gap := l.snapshots[i+1].at.Sub(kept[len(kept)-1].at)
			if gap.Seconds() < snapshotShare*now.Sub(s.at).Seconds() {
				continue
			}
		}
		kept = append(kept, s)
	}
	l.snapshots = kept
}

// Evidence is what all reports say together at a moment.
func (l *Ledger) Evidence(now time.Time) Evidence {
	out := Evidence{Routes: maps.Clone(l.sum), Reports: len(l.gateways)}
	later := l.sum
	for i, s := range slices.Backward(l.snapshots) {
		if now.Sub(s.at) < snapshotEvery && i > 0 {
			continue
		}
		earlier := s.sum
		if i == 0 {
			earlier = nil
		}
		out.Slices = append(out.Slices, Slice{Age: now.Sub(s.at), Routes: later.since(earlier)})
		later = s.sum
	}
	for _, e := range l.gateways {
		out.CanaryActive += e.latest.CanaryActive
	}
	return out
}

// Lag is how far behind a gateway's reports are.
type Lag struct {
	Gateway string
	// Age is how old its latest report is; negative if there was none.
	Age time.Duration
}

// Behind lists those of the gateways, in their order, that have not yet reported to send
// by a stage.
func (l *Ledger) Behind(now time.Time, permille int, gateways []string) []Lag {
	var out []Lag
	for _, id := range gateways {
		e, known := l.gateways[id]
		switch {
		case !known:
			out = append(out, Lag{Gateway: id, Age: -1})
		case e.latest.Permille < permille:
			out = append(out, Lag{Gateway: id, Age: now.Sub(e.at)})
		}
	}
	return out
}

// BaselineActive is how many sends to the baseline are under way at the gateways, by
// their latest reports.
func (l *Ledger) BaselineActive(gateways []string) (sum int) {
	for _, id := range gateways {
		if e, known := l.gateways[id]; known {
			sum += e.latest.BaselineActive
		}
	}
	return sum
}
