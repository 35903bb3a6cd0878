package delivery

import (
	"context"
	"time"

	"github.com/sprucecrank/sprucecrank/core/gateway/catalog"
	"github.com/sprucecrank/sprucecrank/core/gateway/rollout"
	"github.com/sprucecrank/sprucecrank/internal/gateway/discovery"
)

// decide is the duty of deciding on the rollouts while this gateway reads the store.
func (d *Delivery) decide(ctx context.Context) error {
	for {
		changed := d.options.Changed()
		underWay := d.look(d.options.Clock())
		if underWay && d.decides() {
			d.decideAll(ctx)
		}
		if !d.wait(ctx, underWay, changed) {
			return nil
		}
	}
}

// decides says whether deciding falls to this gateway.
func (d *Delivery) decides() bool { return d.options.Reads() && !d.options.Leaving() }

// decideAll decides on each rollout that has not ended.
func (d *Delivery) decideAll(ctx context.Context) {
	peers := d.options.Peers()
	for _, r := range d.underWay() {
		standing := d.options.Standing(r)
		if w, ok := d.next(r.Service, standing, peers); ok {
			go d.record(ctx, w)
		}
	}
}

// underWay lists the rollouts that have not ended, as they were last seen.
func (d *Delivery) underWay() []catalog.Rollout {
	d.mu.Lock()
	defer d.mu.Unlock()
	var out []catalog.Rollout
	for _, c := range d.courses {
		if !c.order.State.Final() {
			out = append(out, c.order)
		}
	}
	return out
}

// next works out what is to be written of a rollout now, and notes that it is under way.
func (d *Delivery) next(service string, standing discovery.VersionTargets, peers []string) (write, bool) {
	now := d.options.Clock()
	d.mu.Lock()
	defer d.mu.Unlock()
	c, ok := d.courses[service]
	if !ok || c.order.State.Final() {
		return write{}, false
	}
	w := write{rollout: c.order, before: c.order}
	if c.isDecidedBy(d.options.Self.ID) {
		w.decision = d.options.Decide(d.state(now, c, standing, peers))
		if w.decision.Verb == rollout.Wait || c.lacksReports(now) && w.decision.Verb != rollout.RollBack {
			return write{}, false
		}
		w.apply()
	} else if !d.takesOver(now, c) {
		return write{}, false
	}
	// The age never falls below the recorded one: that would look like another order.
	w.rollout.Elapsed, w.rollout.At = max(d.ages.Of(now, service), c.order.Elapsed), now.UnixMilli()
	w.rollout.Decider, w.rollout.Peer = d.options.Self.ID, d.options.Self.Peer
	if !c.writes.mayBegin(now, w.rollout.State) || !d.mayWrite(now, w.rollout.State) {
		return write{}, false
	}
	c.writes.begin(now, w.rollout.State)
	return w, true
}

// mayWrite says whether the rate of this gateway's writes leaves room for one. A roll-back
// takes none from others and waits for none: it is due within seconds.
func (d *Delivery) mayWrite(now time.Time, state catalog.RolloutState) bool {
	return state == catalog.RolloutRolledBack || d.writes.AllowN(now, 1)
}

// isDecidedBy says whether deciding on the rollout is up to a gateway that reads the store:
// nothing is recorded yet, or it is the one that is named.
func (c *course) isDecidedBy(id string) bool {
	return c.order.State == catalog.RolloutOrdered || c.order.Decider == id
}

// firstReportsWithin is how long the other gateways may take to report to one that has begun
// to decide.
const firstReportsWithin = 2 * reportEvery

// lacksReports says whether the gateway that decides may lack reports of others.
// It must only roll back then: it could go to the next stage without any report of the
// version on trial.
func (c *course) lacksReports(now time.Time) bool {
	return c.order.State == catalog.RolloutRunning && now.Sub(c.named) < firstReportsWithin
}

// state is what a decision goes by; the lock is held.
func (d *Delivery) state(now time.Time, c *course, standing discovery.VersionTargets, peers []string) rollout.State {
	inTouch := c.inTouch(now, peers)
	return rollout.State{
		Order: c.order, Limits: d.options.Limits,
		Age: d.ages.Of(now, c.order.Service), StageAge: now.Sub(c.staged),
		OnTrial: standing.OnTrial, Baseline: standing.Baseline, Canary: standing.Canary, Warm: standing.Warm,
		Evidence: c.ledger.Evidence(now), Behind: c.ledger.Behind(now, c.order.Permille, inTouch),
		BaselineActive: c.ledger.BaselineActive(inTouch),
	}
}

// apply puts the decision into what is written.
func (w *write) apply() {
	switch w.decision.Verb {
	case rollout.Advance:
		w.rollout.State, w.rollout.Permille = catalog.RolloutRunning, w.decision.Permille
	case rollout.Complete:
		w.rollout.State, w.rollout.Permille = catalog.RolloutCompleted, rollout.Whole
	case rollout.RollBack:
		w.rollout.State, w.rollout.Permille = catalog.RolloutRolledBack, 0
	}
}
