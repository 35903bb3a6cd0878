package forward

import (
	"context"
	"time"
)

// maxDenied is for how many targets that have none a request asks for credit. Others that
// name limits are mostly no better off then, and each costs a probe and a question to its home,
// however many targets the service has.
const maxDenied = 3

// maxCreditIn bounds what a client is told of when targets may have credit again: this gateway's
// next turn may be later, but clients come back to others, and limits move.
const maxCreditIn = time.Second

// admitTo says whether a target that was chosen takes the request by the limit that it names.
// It is asked for first sends, repeats, hedges and trials alike; a probe takes no credit.
func (b *balancer) admitTo(ctx context.Context, req *request, chosen *candidate) bool {
	life := chosen.target.Life()
	if req.denied.Load() >= maxDenied && b.options.Quota.TargetRate(life) > 0 {
		return false
	}
	credit, ok := b.options.Quota.AdmitTarget(ctx, life)
	if !ok {
		req.denied.Add(1)
	}
	chosen.credit = credit
	return ok
}
