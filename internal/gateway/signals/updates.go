package signals

import (
	"time"

	"github.com/sprucecrank/sprucecrank/core/gateway/changes"
	"github.com/sprucecrank/sprucecrank/core/gateway/signal"
	"github.com/sprucecrank/sprucecrank/internal/gateway/discovery"
)

// publishEvery is the minimum time between two updates that are forwarded: if many targets ask
// for back-off, each gateway receives some of the answers of each.
const publishEvery = 250 * time.Millisecond

// Updates returns the exchange of signals between gateways.
func (r *Registry) Updates() discovery.UpdateKind {
	return discovery.ChangeLog[signal.Update]{
		Name: "signals of targets", Position: r.position, Since: r.updatesSince, Merge: r.mergeUpdates, MinInterval: publishEvery, Log: r.options.Log,
	}.UpdateKind()
}

// position returns the position of the latest change.
func (r *Registry) position() changes.Position {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.shared.Position()
}

// updatesSince returns the changes after a position, and the position that they lead to.
func (r *Registry) updatesSince(at changes.Position) ([]signal.Update, changes.Position) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.shared.Since(r.options.Clock(), at)
}

// mergeUpdates merges updates from another gateway, and reports whether any of them is new
// here.
func (r *Registry) mergeUpdates(updates []signal.Update) (changed bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	updates = r.shared.Merge(r.options.Clock(), updates)
	r.updateEntries()
	for _, u := range updates {
		if u.Leaving {
			r.pending[u.Life] = struct{}{}
			r.wakeDrain() // not drained here, since discovery holds its lock while it merges updates
		}
	}
	return len(updates) > 0
}
