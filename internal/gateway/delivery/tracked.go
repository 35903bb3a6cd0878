package delivery

import (
	"slices"
	"time"

	"github.com/sprucecrank/sprucecrank/core/gateway/catalog"
	"github.com/sprucecrank/sprucecrank/core/gateway/rollout"
)

// trackedRollout is one rollout as this gateway follows it. The lock of Delivery guards it.
type trackedRollout struct {
	// order is the latest known state of the rollout, which may come from the response to a
	// write.
	order catalog.Rollout
	// stageSince is when the rollout's stage was first seen, and deciderSince when its
	// decider was first seen as such.
	stageSince   time.Time
	deciderSince time.Time
	reports      *rollout.ReportLog   // the gateways' reports
	reported     map[string]time.Time // when each gateway last reported, by its id
	writes       writes
	// lastReply is the latest reply of a decider to a report of this gateway.
	lastReply deciderReply
	// lastTakeover is when this gateway last took over, and takeovers how often it did.
	lastTakeover time.Time
	takeovers    int
}

func newTrackedRollout(now time.Time, r catalog.Rollout) *trackedRollout {
	return &trackedRollout{order: r, stageSince: now, deciderSince: now, reports: rollout.NewReportLog(), reported: map[string]time.Time{}}
}

// decider returns the gateway that the rollout names as its decider.
func (c *trackedRollout) decider() decider {
	return decider{id: c.order.Decider, address: c.order.Peer}
}

// isReplacedBy reports whether an object that was seen later holds another order: of
// another version, or a new one of the same version, for which nothing is recorded.
func (c *trackedRollout) isReplacedBy(r catalog.Rollout) bool {
	if r.Revision <= c.order.Revision {
		return false
	}
	restarted := r.State == catalog.RolloutOrdered && c.order.State != catalog.RolloutOrdered
	return restarted || r.Version != c.order.Version
}

// update applies the object at a later revision.
func (c *trackedRollout) update(now time.Time, r catalog.Rollout) {
	if r.State != c.order.State || r.Permille != c.order.Permille {
		c.stageSince = now
	}
	if r.Decider != c.order.Decider {
		c.deciderSince = now
	}
	c.order = r
	c.writes = writes{}
}

// addReport records a gateway's report.
func (c *trackedRollout) addReport(now time.Time, r rollout.Report) {
	c.reports.Add(now, r)
	c.reported[r.Gateway] = now
}

// reachable lists the gateways that must apply a stage before the next: those that reported
// recently, and the known peers.
func (c *trackedRollout) reachable(now time.Time, peers []string) []string {
	out := slices.Clone(peers)
	window := reachableWindow(len(c.reported))
	for id, at := range c.reported {
		if now.Sub(at) < window && !slices.Contains(peers, id) {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}
