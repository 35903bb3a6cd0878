package delivery

import (
	"testing"
	"time"

	"github.com/sprucecrank/sprucecrank/core/gateway/catalog"
	"github.com/sprucecrank/sprucecrank/core/gateway/rollout"
	"github.com/sprucecrank/sprucecrank/core/member"
)

// A report is sent by what is believed, which the other duty may look at later.
func TestAnAnswerCountsThoughItComesBeforeTheNextLook(t *testing.T) {
	now := time.Unix(1, 0)
	order := catalog.Rollout{
		Service: "shop", Version: "v2", Revision: 1, State: catalog.RolloutRunning, Decider: "a", Peer: "a:80",
	}
	d := New(Options{
		Self: member.Box{ID: "self", Peer: "self:80"}, Age: func() time.Duration { return 0 },
		Rollouts: func() []catalog.Rollout { return []catalog.Rollout{order} },
	})
	d.look(now)
	order.Revision, order.Decider, order.Peer = 2, "b", "b:80"
	d.heard(decider{id: "b", address: "b:80"}, []rollout.Report{{Service: "shop"}}, declines)
	d.look(now)
	if !d.takesOver(now, d.courses["shop"]) {
		t.Error("what the new decider answered is forgotten")
	}
	order.Revision, order.Decider, order.Peer = 3, "c", "c:80"
	d.look(now)
	if d.takesOver(now, d.courses["shop"]) {
		t.Error("what one gateway answered counts for another")
	}
}
