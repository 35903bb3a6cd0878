package quota

import (
	"time"

	"github.com/sprucecrank/sprucecrank/core/gateway/changes"
	"github.com/sprucecrank/sprucecrank/core/gateway/quota"
	"github.com/sprucecrank/sprucecrank/internal/gateway/discovery"
)

// OnUpdate sets a function that is called, without any lock held, once there is a change that
// other gateways should receive. It must be set before the limiter is used.
func (l *Limiter) OnUpdate(notify func()) { l.notify = notify }

// Updates returns the kind of update by which gateways exchange limits of targets. Through the
// exchange, a gateway knows a limit before it first sends the target a request, and learns that
// a limit was lifted even if it had no credit to find out itself.
func (l *Limiter) Updates() discovery.UpdateKind {
	return discovery.ChangeLog[quota.Update]{
		Name: "limits of targets", Position: l.position, Since: l.updatesSince, Merge: l.mergeUpdates, Log: l.options.Log,
	}.UpdateKind()
}

// position returns the position of the latest change.
func (l *Limiter) position() changes.Position {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.shared.Position()
}

// updatesSince returns the changes after a position, and the position that they lead to.
func (l *Limiter) updatesSince(at changes.Position) ([]quota.Update, changes.Position) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.shared.Since(l.options.Clock(), at)
}

// mergeUpdates merges updates from another gateway, and reports whether any of them is new
// here.
func (l *Limiter) mergeUpdates(updates []quota.Update) (isNew bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.options.Clock()
	accepted := l.shared.Merge(now, updates)
	for _, u := range accepted {
		l.applyUpdate(now, u)
	}
	return len(accepted) > 0
}

// applyUpdate applies an update of a target's limit. The lock is held.
func (l *Limiter) applyUpdate(now time.Time, u quota.Update) {
	t := l.targets[u.Life]
	if t == nil && u.Rate == 0 {
		return
	}
	if t == nil {
		t = l.addTarget(u.Life)
	}
	l.touch(t)
	before := t.known.Advertised().Rate
	l.applyLimit(t, now.Add(-u.Age), quota.Advertised{Rate: u.Rate}, quota.SourceGateway)
	if after := t.known.Advertised().Rate; before > 0 && after > before {
		l.localCredit(t.subject).ShortenPause(now, before/after)
	}
}
