package signals

import (
	"time"

	"github.com/sprucecrank/sprucecrank/core/gateway/changes"
	"github.com/sprucecrank/sprucecrank/core/gateway/signal"
	"github.com/sprucecrank/sprucecrank/internal/gateway/discovery"
)

// shareEvery is the least time between two times that updates are passed on: where many targets ask
// for back-off, each gateway gets some of each.
const shareEvery = 250 * time.Millisecond

// Updates are the updates that gateways exchange of the signals of targets.
func (r *Register) Updates() discovery.UpdateKind {
	return discovery.ChangeLog[signal.Update]{
		Name: "signals of targets", Position: r.position, Since: r.since, Merge: r.merge, MinInterval: shareEvery, Log: r.options.Log,
	}.UpdateKind()
}

// position is how far the board has come.
func (r *Register) position() changes.Position {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.board.Position()
}

// since is what changed since a position, and how far that comes.
func (r *Register) since(at changes.Position) ([]signal.Update, changes.Position) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.board.Since(r.options.Clock(), at)
}

// merge takes in updates of another gateway, and says whether any is new here.
func (r *Register) merge(updates []signal.Update) (isNew bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	updates = r.board.Merge(r.options.Clock(), updates)
	r.count()
	for _, u := range updates {
		if u.Leaving {
			r.pending[u.Life] = struct{}{}
			r.wakeUp() // discovery holds its lock while it takes in updates
		}
	}
	return len(updates) > 0
}
