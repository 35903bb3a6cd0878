package delivery

import (
	"context"
	"time"

	"github.com/sprucecrank/sprucecrank/core/gateway/catalog"
	"github.com/sprucecrank/sprucecrank/core/gateway/rollout"
	"github.com/sprucecrank/sprucecrank/internal/gateway/discovery"
)

const (
	// writeEvery and writesAtOnce bound this gateway's writes: so many at once, then one
	// each writeEvery, whatever is ordered: far below what stores take, far above
	// the six or so of a rollout.
	writeEvery   = 50 * time.Millisecond
	writesAtOnce = 20
	// firstRetry is the pause after a write that was not done, or after a write or a report
	// that was not answered. It doubles with each failure, up to longestRetry.
	firstRetry   = 100 * time.Millisecond
	longestRetry = time.Second
	// settleWithin is how long it may take until the change that a write made is seen, where
	// the write's answer did not hold it.
	settleWithin = time.Second
)

// write is one write of a rollout.
type write struct {
	before  catalog.Rollout
	rollout catalog.Rollout
	// decision is why; that of one that only takes over has no verb.
	decision rollout.Decision
}

// writes are those at the latest revision of a rollout's object, on whose condition the
// store does one of them at most.
type writes struct {
	// underWay counts those that have not ended, by the state that they record.
	underWay map[catalog.RolloutState]int
	// failed counts those that were not done, or not answered, and next is when another
	// may begin.
	failed int
	next   time.Time
}

// mayBegin says whether a write may begin: one at a time, but that a roll-back waits for
// no other.
func (ws *writes) mayBegin(now time.Time, state catalog.RolloutState) bool {
	if now.Before(ws.next) {
		return false
	}
	if state == catalog.RolloutRolledBack {
		return ws.underWay[state] == 0
	}
	return len(ws.underWay) == 0
}

func (ws *writes) begin(now time.Time, state catalog.RolloutState) {
	if ws.underWay == nil {
		ws.underWay = map[catalog.RolloutState]int{}
	}
	ws.underWay[state]++
}

// end notes that a write ended; pause is how long no other begins at this revision.
func (ws *writes) end(now time.Time, state catalog.RolloutState, pause time.Duration) {
	if ws.underWay[state]--; ws.underWay[state] <= 0 {
		delete(ws.underWay, state)
	}
	ws.next = now.Add(pause)
}

// retry is the pause after one more failure.
func (ws *writes) retry() time.Duration {
	ws.failed++
	return retryPause(ws.failed)
}

// maxDoublings bounds how often a pause doubles.
const maxDoublings = 6

// retryPause is the pause after so many failures in a row.
func retryPause(failures int) time.Duration {
	return min(firstRetry<<min(failures-1, maxDoublings), longestRetry)
}

// record makes a write and takes in how it ended.
func (d *Delivery) record(ctx context.Context, w write) {
	record, err := d.options.Record(ctx, w.rollout)
	now := d.options.Clock()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.options.Metrics.RolloutWrite(endName(record.Outcome))
	d.logWrite(w, record, err)
	c, ok := d.courses[w.rollout.Service]
	if !ok || c.order.Version != w.rollout.Version {
		return // it is another order by now
	}
	if record.Outcome == discovery.RecordDone && w.isTakeover() {
		c.takenOver = now
		c.takeovers++
	}
	if record.Rollout != nil && record.Rollout.Revision > c.order.Revision {
		d.follow(now, *record.Rollout)
		return
	}
	if c.order.Revision != w.rollout.Revision {
		return // what came of it was seen already
	}
	pause := settleWithin
	if record.Outcome != discovery.RecordDone {
		pause = c.writes.retry()
	}
	c.writes.end(now, w.rollout.State, pause)
}

// isTakeover says whether a write changes nothing but who decides.
func (w write) isTakeover() bool { return w.decision.Verb == rollout.Wait }

// endName names how a write ended, as log lines and metrics do.
func endName(end discovery.RecordOutcome) string {
	switch end {
	case discovery.RecordDone:
		return "done"
	case discovery.RecordRefused:
		return "refused"
	default:
		return "unknown"
	}
}
