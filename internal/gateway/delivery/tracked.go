package delivery

import (
	"slices"
	"time"

	"github.com/sprucecrank/sprucecrank/core/gateway/catalog"
	"github.com/sprucecrank/sprucecrank/core/gateway/rollout"
)

// course is one rollout as this gateway follows it. The lock of Delivery guards it.
type course struct {
	// order is the rollout as it was last seen, be it in the answer to a write.
	order catalog.Rollout
	// staged is when its stage was first seen, and named when the gateway that is named to
	// decide was first seen as such.
	staged   time.Time
	named    time.Time
	ledger   *rollout.ReportLog      // the gateways' reports
	reported map[string]time.Time // when each gateway last reported, by its id
	writes   writes
	// told is the latest answer of a gateway that was named to decide, to a report of this
	// one.
	told answer
	// takenOver is when this gateway last took over, and takeovers how often.
	takenOver time.Time
	takeovers int
}

func newCourse(now time.Time, r catalog.Rollout) *course {
	return &course{order: r, staged: now, named: now, ledger: rollout.NewReportLog(), reported: map[string]time.Time{}}
}

// decider is the gateway that is named to decide.
func (c *course) decider() decider { return decider{id: c.order.Decider, address: c.order.Peer} }

// isReplacedBy says whether an object that was seen later is of another order: of another
// version, or of the same one anew, of which nothing is recorded.
func (c *course) isReplacedBy(r catalog.Rollout) bool {
	if r.Revision <= c.order.Revision {
		return false
	}
	anew := r.State == catalog.RolloutOrdered && c.order.State != catalog.RolloutOrdered
	return anew || r.Version != c.order.Version
}

// take takes in the object as it is at a later revision.
func (c *course) take(now time.Time, r catalog.Rollout) {
	if r.State != c.order.State || r.Permille != c.order.Permille {
		c.staged = now
	}
	if r.Decider != c.order.Decider {
		c.named = now
	}
	c.order = r
	c.writes = writes{}
}

// note takes in a gateway's report.
func (c *course) note(now time.Time, r rollout.Report) {
	c.ledger.Add(now, r)
	c.reported[r.Gateway] = now
}

// inTouch lists the gateways that a stage has to reach: those that reported lately, and
// those that are known to be there.
func (c *course) inTouch(now time.Time, peers []string) []string {
	out := slices.Clone(peers)
	within := inTouchFor(len(c.reported))
	for id, at := range c.reported {
		if now.Sub(at) < within && !slices.Contains(peers, id) {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}
