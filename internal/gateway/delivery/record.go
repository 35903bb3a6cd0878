package delivery

import (
	"context"
	"time"

	"github.com/sprucecrank/sprucecrank/core/gateway/catalog"
	"github.com/sprucecrank/sprucecrank/core/gateway/rollout"
	"github.com/sprucecrank/sprucecrank/internal/gateway/discovery"
)

const (
	// writeInterval and writeBurst limit the rate of this gateway's writes: a burst, then
	// one each writeInterval, whatever is ordered: far below what stores can handle, far
	// above the six or so writes of a rollout.
	writeInterval = 50 * time.Millisecond
	writeBurst    = 20
	// minRetryDelay is the delay after a write that was not done, or after a write or a
	// report that was not answered. It doubles with each failure, up to maxRetryDelay.
	minRetryDelay = 100 * time.Millisecond
	maxRetryDelay = time.Second
	// settleTimeout bounds how long it may take until the change that a write made is seen,
	// where the response to the write did not contain it.
	settleTimeout = time.Second
)

// write is one write of a rollout.
type write struct {
	before  catalog.Rollout
	rollout catalog.Rollout
	// decision is the reason for the write; that of a takeover has the action Wait.
	decision rollout.Decision
}

// writes are those conditional on the latest revision of a rollout's object, of which the
// store does at most one.
type writes struct {
	// inFlight counts those that have not ended, by the state that they record.
	inFlight map[catalog.RolloutState]int
	// failed counts those that were not done, or not answered, and notBefore is when
	// another may begin.
	failed    int
	notBefore time.Time
}

// mayBegin reports whether a write may begin: one at a time, except that a roll-back does
// not wait for other writes.
func (ws *writes) mayBegin(now time.Time, state catalog.RolloutState) bool {
	if now.Before(ws.notBefore) {
		return false
	}
	if state == catalog.RolloutRolledBack {
		return ws.inFlight[state] == 0
	}
	return len(ws.inFlight) == 0
}

func (ws *writes) begin(now time.Time, state catalog.RolloutState) {
	if ws.inFlight == nil {
		ws.inFlight = map[catalog.RolloutState]int{}
	}
	ws.inFlight[state]++
}

// end records that a write ended; pause is how long no other begins at this revision.
func (ws *writes) end(now time.Time, state catalog.RolloutState, pause time.Duration) {
	if ws.inFlight[state]--; ws.inFlight[state] <= 0 {
		delete(ws.inFlight, state)
	}
	ws.notBefore = now.Add(pause)
}

// nextRetryDelay counts a failure and returns the delay after it.
func (ws *writes) nextRetryDelay() time.Duration {
	ws.failed++
	return retryDelay(ws.failed)
}

// maxDoublings bounds how often a delay doubles.
const maxDoublings = 6

// retryDelay returns the delay after a number of failures in a row.
func retryDelay(failures int) time.Duration {
	return min(minRetryDelay<<min(failures-1, maxDoublings), maxRetryDelay)
}

// record performs a write and applies its result.
func (d *Delivery) record(ctx context.Context, w write) {
	record, err := d.options.Record(ctx, w.rollout)
	now := d.options.Clock()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.options.Metrics.RolloutWrite(endName(record.Outcome))
	d.logWrite(w, record, err)
	c, ok := d.tracked[w.rollout.Service]
	if !ok || c.order.Version != w.rollout.Version {
		return // the order was replaced
	}
	if record.Outcome == discovery.RecordDone && w.isTakeover() {
		c.lastTakeover = now
		c.takeovers++
	}
	if record.Rollout != nil && record.Rollout.Revision > c.order.Revision {
		d.track(now, *record.Rollout)
		return
	}
	if c.order.Revision != w.rollout.Revision {
		return // a later revision was seen already
	}
	pause := settleTimeout
	if record.Outcome != discovery.RecordDone {
		pause = c.writes.nextRetryDelay()
	}
	c.writes.end(now, w.rollout.State, pause)
}

// isTakeover reports whether a write changes only the decider.
func (w write) isTakeover() bool { return w.decision.Action == rollout.Wait }

// endName returns the name of a write's result in log lines and metrics.
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
