package forward

import (
	"github.com/sprucecrank/sprucecrank/core/gateway/catalog"
	"github.com/sprucecrank/sprucecrank/verdict"
)

// gate is why a target may be sent nothing now, neither a request nor a probe, by what it said of
// itself; nil if it may. Connections ask it right before they write, since the target may have
// answered another request meanwhile; who looks for a target asks it before, to look on.
func (b *balancer) gate(life catalog.Life) *verdict.Error {
	if left := b.options.Signals.BackOffLeft(life); left > 0 {
		return verdict.New(verdict.NotRun, verdict.ReasonShed, "the target asked for back-off").WithRetryAfter(left)
	}
	if b.options.Snapshot().IsLeaving(life) {
		return verdict.New(verdict.NotRun, verdict.ReasonShed, "the target said that it leaves")
	}
	return nil
}
