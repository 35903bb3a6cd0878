package rollout

import (
	"maps"
	"slices"
	"time"
)

const (
	// snapshotInterval is the least time between two snapshots, from which slices are made:
	// about the report interval of a gateway.
	snapshotInterval = 250 * time.Millisecond
	// maxSnapshotGapShare is how far apart two adjacent snapshots may be, as a share of
	// their age: this keeps a dozen for each tenfold age, so that few are kept in a rollout
	// of hours.
	maxSnapshotGapShare = 0.2
)

// ReportLog holds the latest report of each gateway on one rollout, and the sum of all. It
// is not safe for concurrent use.
type ReportLog struct {
	gateways map[string]*gatewayReport
	sum      Routes
	// snapshots are earlier sums, the oldest first.
	snapshots []snapshot
}

// gatewayReport is the latest report of one gateway, and when it was received.
type gatewayReport struct {
	at     time.Time
	latest Report
}

// snapshot is the sum at a moment.
type snapshot struct {
	at  time.Time
	sum Routes
}

// NewReportLog returns an empty ReportLog.
func NewReportLog() *ReportLog {
	return &ReportLog{gateways: map[string]*gatewayReport{}, sum: Routes{}}
}

// Add records a report, unless there is a later one of that gateway. The counts of a new
// incarnation of the gateway's process are added to those of the earlier ones.
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
		return // older than the latest report, delivered out of order
	default:
		l.sum.addDelta(r.Counts, e.latest.Counts)
	}
	e.at, e.latest = now, r
}

// sends returns the number of sends in a report.
func sends(r Report) (sum uint64) {
	for _, c := range r.Counts {
		sum += c.Counts.Sends
	}
	return sum
}

// addInitialCounts adds what a gateway had counted before its first report to this process.
// To a new decider all gateways report all that they have counted since the order, which no
// slice may show as new.
func (l *ReportLog) addInitialCounts(counts []RouteCounts) {
	l.sum.addDelta(counts, nil)
	for _, s := range l.snapshots {
		s.sum.addDelta(counts, nil)
	}
}

// takeSnapshot stores the sum, if the last snapshot is old enough.
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

// Evidence returns the sum of all reports at a moment.
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

// Lag is the age of a gateway's latest report.
type Lag struct {
	Gateway string
	// Age is negative if there was no report.
	Age time.Duration
}

// Behind lists those of the gateways, in their order, that have not yet reported that they
// apply a stage.
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

// BaselineActive returns the number of sends to the baseline in flight at the gateways, by
// their latest reports.
func (l *ReportLog) BaselineActive(gateways []string) (sum int) {
	for _, id := range gateways {
		if e, known := l.gateways[id]; known {
			sum += e.latest.BaselineActive
		}
	}
	return sum
}
