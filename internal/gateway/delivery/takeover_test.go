package delivery

import (
	"testing"
	"time"

	"github.com/sprucecrank/sprucecrank/core/gateway/catalog"
	"github.com/sprucecrank/sprucecrank/core/gateway/rollout"
	"github.com/sprucecrank/sprucecrank/core/member"
)

// A report is sent to the decider that is known when it is sent, which the deciding loop
// may see only at its next refresh. The reply must not be lost until then.
func TestDeciderReplyIsKeptWhenItPrecedesTheNextRefresh(t *testing.T) {
	now := time.Unix(1, 0)
	order := catalog.Rollout{
		Service: "shop", Version: "v2", Revision: 1, State: catalog.RolloutRunning, Decider: "a", Peer: "a:80",
	}
	d := New(Options{
		Self: member.Box{ID: "self", Peer: "self:80"}, Age: func() time.Duration { return 0 },
		Rollouts: func() []catalog.Rollout { return []catalog.Rollout{order} },
	})
	d.refresh(now)
	order.Revision, order.Decider, order.Peer = 2, "b", "b:80"
	d.recordReply(decider{id: "b", address: "b:80"}, []rollout.Report{{Service: "shop"}}, notDeciding)
	d.refresh(now)
	if !d.shouldTakeOver(now, d.tracked["shop"]) {
		t.Error("the reply of the new decider was lost")
	}
	order.Revision, order.Decider, order.Peer = 3, "c", "c:80"
	d.refresh(now)
	if d.shouldTakeOver(now, d.tracked["shop"]) {
		t.Error("the reply of one gateway was applied to another")
	}
}
