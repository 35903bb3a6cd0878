package rollout

import (
	"maps"
	"slices"
	"time"
)

const (
	// snapshotInterval is the least time between two snapshots, from which slices are made:
	// about the time between two reports of a gateway.
	snapshotInterval = 250 * time.Millisecond
	// maxSnapshotGapShare is how far apart two neighbouring snapshots may be, as a part of their
	// age: a dozen for each tenfold age, so that few are kept in a rollout of hours.
	maxSnapshotGapShare = 0.2
)

// ReportLog holds the latest report of each gateway on one rollout. It is not safe for
// concurrent use.
type ReportLog struct {
	gateways map[string]*gatewayReport
	sum      Routes
	// snapshots are earlier sums, the oldest first.
	snapshots []snapshot
}

// gatewayReport is what is known of one gateway.
type gatewayReport struct {
	at     time.Time
	latest Report
}

// snapshot is the sum at a moment.
type snapshot struct {
	at  time.Time
	sum Routes
}

// NewReportLog makes an empty one.
func NewReportLog() *ReportLog { return &ReportLog{gateways: map[string]*gatewayReport{}, sum: Routes{}} }

// Add takes in a report, unless a later one of that gateway is there. What a gateway
// counts in a new life of its process adds to what it counted before.
func (l *ReportLog) Add(now time.Time, r Report) {
	l.takeSnapshot(now)
	e, known := l.gateways[r.Gateway]
	switch {
	case !known:
		e = &gatewayReport{}
		l.gateways[r.Gateway] = e
		l.addInitialCounts(r.Counts)
	case r.Start > e.latest.Start:
		l.sum.addDelta(r.Counts, nil)
	case r.Start < e.latest.Start || sends(r) < sends(e.latest):
		return // overtaken on its way
	default:
		l.sum.addDelta(r.Counts, e.latest.Counts)
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

// addInitialCounts adds what a gateway had counted before it was first learnt of: to a successor
// all report all that they have counted since the order, which no slice may show as new.
func (l *ReportLog) addInitialCounts(counts []RouteCounts) {
	l.sum.addDelta(counts, nil)
	for _, s := range l.snapshots {
		s.sum.addDelta(counts, nil)
	}
}

// takeSnapshot keeps the sum as it is, if the last snapshot is old enough.
func (l *ReportLog) takeSnapshot(now time.Time) {
	if n := len(l.snapshots); n > 0 && now.Sub(l.snapshots[n-1].at) < snapshotInterval {
		return
	}
	l.pruneSnapshots(now)
	l.snapshots = append(l.snapshots, snapshot{at: now, sum: maps.Clone(l.sum)})
}

// pruneSnapshots drops snapshots whose neighbours are close together for their age.
func (l *ReportLog) pruneSnapshots(now time.Time) {
	kept := l.snapshots[:0]
	for i, s := range l.snapshots {
		if i > 0 && i < len(l.snapshots)-1 {
			gap := l.snapshots[i+1].at.Sub(kept[len(kept)-1].at)
			if gap.Seconds() < maxSnapshotGapShare*now.Sub(s.at).Seconds() {
				continue
			}
		}
		kept = append(kept, s)
	}
	l.snapshots = kept
}

// Evidence is what all reports say together at a moment.
func (l *ReportLog) Evidence(now time.Time) Evidence {
	out := Evidence{Routes: maps.Clone(l.sum), Reports: len(l.gateways)}
	later := l.sum
	for i, s := range slices.Backward(l.snapshots) {
		if now.Sub(s.at) < snapshotInterval && i > 0 {
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
func (l *ReportLog) Behind(now time.Time, permille int, gateways []string) []Lag {
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
func (l *ReportLog) BaselineActive(gateways []string) (sum int) {
	for _, id := range gateways {
		if e, known := l.gateways[id]; known {
			sum += e.latest.BaselineActive
		}
	}
	return sum
}
