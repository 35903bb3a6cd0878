package delivery

import (
	"context"
	"time"

	"github.com/sprucecrank/sprucecrank/core/gateway/catalog"
	"github.com/sprucecrank/sprucecrank/core/gateway/rollout"
	"github.com/sprucecrank/sprucecrank/internal/gateway/discovery"
)

// decide is the loop that decides on the rollouts while this gateway reads the store.
func (d *Delivery) decide(ctx context.Context) error {
	for {
		changed := d.options.Changed()
		active := d.refresh(d.options.Clock())
		if active && d.isDecider() {
			d.decideAll(ctx)
		}
		if !d.wait(ctx, active, changed) {
			return nil
		}
	}
}

// isDecider reports whether this gateway may decide on rollouts.
func (d *Delivery) isDecider() bool { return d.options.Reads() && !d.options.Leaving() }

// decideAll decides on each rollout that has not ended.
func (d *Delivery) decideAll(ctx context.Context) {
	peers := d.options.Peers()
	for _, r := range d.unfinished() {
		standing := d.options.Standing(r)
		if w, ok := d.nextWrite(r.Service, standing, peers); ok {
			go d.record(ctx, w)
		}
	}
}

// unfinished lists the rollouts that have not ended, in their latest known state.
func (d *Delivery) unfinished() []catalog.Rollout {
	d.mu.Lock()
	defer d.mu.Unlock()
	var out []catalog.Rollout
	for _, c := range d.tracked {
		if !c.order.State.Final() {
			out = append(out, c.order)
		}
	}
	return out
}

// nextWrite returns the write that a rollout needs now, if any, and marks it as in flight.
func (d *Delivery) nextWrite(service string, standing discovery.VersionTargets, peers []string) (write, bool) {
	now := d.options.Clock()
	d.mu.Lock()
	defer d.mu.Unlock()
	c, ok := d.tracked[service]
	if !ok || c.order.State.Final() {
		return write{}, false
	}
	w := write{rollout: c.order, before: c.order}
	if c.isDecidedBy(d.options.Self.ID) {
		w.decision = d.options.Decide(d.state(now, c, standing, peers))
		if w.decision.Action == rollout.Wait || c.mayLackReports(now) && w.decision.Action != rollout.RollBack {
			return write{}, false
		}
		w.applyDecision()
	} else if !d.shouldTakeOver(now, c) {
		return write{}, false
	}
	// The age never falls below the recorded one: that would look like another order.
	w.rollout.Elapsed, w.rollout.At = max(d.ages.Age(now, service), c.order.Elapsed), now.UnixMilli()
	w.rollout.Decider, w.rollout.Peer = d.options.Self.ID, d.options.Self.Peer
	if !c.writes.mayBegin(now, w.rollout.State) || !d.mayWrite(now, w.rollout.State) {
		return write{}, false
	}
	c.writes.begin(now, w.rollout.State)
	return w, true
}

// mayWrite reports whether the rate limit of this gateway's writes allows one. A roll-back
// neither counts against the limit nor waits for it: it is due within seconds.
func (d *Delivery) mayWrite(now time.Time, state catalog.RolloutState) bool {
	return state == catalog.RolloutRolledBack || d.writeLimiter.AllowN(now, 1)
}

// isDecidedBy reports whether a gateway that reads the store may decide on the rollout
// without a takeover: nothing is recorded yet, or the gateway is named as the decider.
func (c *trackedRollout) isDecidedBy(id string) bool {
	return c.order.State == catalog.RolloutOrdered || c.order.Decider == id
}

// initialReportWait is how long a new decider waits for the reports of the other gateways.
const initialReportWait = 2 * reportInterval

// mayLackReports reports whether the decider may still lack reports of other gateways. It
// must only roll back then, since it could advance to the next stage without any report on
// the version on trial.
func (c *trackedRollout) mayLackReports(now time.Time) bool {
	return c.order.State == catalog.RolloutRunning && now.Sub(c.deciderSince) < initialReportWait
}

// state returns the input of a decision; the lock is held.
func (d *Delivery) state(now time.Time, c *trackedRollout, standing discovery.VersionTargets, peers []string) rollout.State {
	reachable := c.reachable(now, peers)
	return rollout.State{
		Order: c.order, Limits: d.options.Limits,
		Age: d.ages.Age(now, c.order.Service), StageAge: now.Sub(c.stageSince),
		OnTrial: standing.OnTrial, Baseline: standing.Baseline, Canary: standing.Canary, Warm: standing.Warm,
		Evidence: c.reports.Evidence(now), Behind: c.reports.Behind(now, c.order.Permille, reachable),
		BaselineActive: c.reports.BaselineActive(reachable),
	}
}

// applyDecision sets the state and the share to write by the decision.
func (w *write) applyDecision() {
	switch w.decision.Action {
	case rollout.Advance:
		w.rollout.State, w.rollout.Permille = catalog.RolloutRunning, w.decision.Permille
	case rollout.Complete:
		w.rollout.State, w.rollout.Permille = catalog.RolloutCompleted, rollout.FullShare
	case rollout.RollBack:
		w.rollout.State, w.rollout.Permille = catalog.RolloutRolledBack, 0
	}
}
