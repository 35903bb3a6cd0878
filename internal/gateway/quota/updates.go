package quota

import (
	"time"

	"github.com/sprucecrank/sprucecrank/core/gateway/changes"
	"github.com/sprucecrank/sprucecrank/core/gateway/quota"
	"github.com/sprucecrank/sprucecrank/internal/gateway/discovery"
)

// OnUpdate has a function called, without any lock held, once there is something that other
// gateways should learn of. It must be set before the register is used by others.
func (r *Register) OnUpdate(notify func()) { r.notify = notify }

// Updates are what gateways exchange of the limits that targets name: each knows of
// one before it sends the target anything, and that it is lifted though it had no credit.
func (r *Register) Updates() discovery.UpdateKind {
	return discovery.ChangeLog[quota.Update]{
		Name: "limits of targets", Position: r.position, Since: r.updatesSince, Merge: r.mergeUpdates, Log: r.options.Log,
	}.UpdateKind()
}

// position is how far the board has come.
func (r *Register) position() changes.Position {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.board.Position()
}

// updatesSince is what changed since a position, and how far that comes.
func (r *Register) updatesSince(at changes.Position) ([]quota.Update, changes.Position) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.board.Since(r.options.Clock(), at)
}

// mergeUpdates takes in what another gateway reported, and says whether any of it is news here.
func (r *Register) mergeUpdates(updates []quota.Update) (isNew bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.options.Clock()
	fresh := r.board.Merge(now, updates)
	for _, w := range fresh {
		r.observe(now, w)
	}
	return len(fresh) > 0
}

// observe takes in an update of a target's limit; the lock is held.
func (r *Register) observe(now time.Time, w quota.Update) {
	t := r.targets[w.Life]
	if t == nil && w.Rate == 0 {
		return
	}
	if t == nil {
		t = r.addTarget(w.Life)
	}
	r.meet(t)
	before := t.named.Advertised().Rate
	r.takeLimit(t, now.Add(-w.Age), quota.Advertised{Rate: w.Rate}, quota.ViaGateway)
	if after := t.named.Advertised().Rate; before > 0 && after > before {
		r.borrower(t.subject).Hasten(now, before/after)
	}
}
