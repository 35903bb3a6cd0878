package forward

import (
	"context"
	"time"

	"github.com/sprucecrank/sprucecrank/core/gateway/catalog"
	"github.com/sprucecrank/sprucecrank/core/gateway/outcome"
	"github.com/sprucecrank/sprucecrank/core/gateway/quarantine"
	"github.com/sprucecrank/sprucecrank/verdict"
)

// learnFatal learns from how a send ended whether its request ends targets, and says
// whether this one has ended. A target that broke the send off and lives has not: many
// break off an answer now and then. Nor does one count that may not have begun.
// took is how long the send had been under way.
func (b *balancer) learnFatal(req *request, target catalog.Target, result sent, took time.Duration) (targetEnded bool) {
	if result.outcome == outcome.Served {
		b.options.Fatal.RecordAnswer(req.fingerprint)
		return false
	}
	if result.outcome != outcome.Broken || !b.options.Pool.RefusesConnections(context.Background(), target) {
		return false
	}
	b.options.Metrics.TargetEnded(req.service)
	if result.failure.Verdict() != verdict.NotRun {
		b.options.Fatal.RecordEnd(req.forQuarantine(), target.ID, took)
	}
	return true
}

// forQuarantine is the request as the quarantine knows it.
func (r *request) forQuarantine() quarantine.Request {
	return quarantine.Request{Fingerprint: r.fingerprint(), Service: r.service}
}

// verdictOn says whether a request may be sent, and sent a second time.
func (b *balancer) verdictOn(req *request) quarantine.Verdict {
	return b.options.Fatal.Verdict(req.fingerprint)
}

// quarantined is the refusal of a request under which targets end; nil for all others. It
// is asked before each send, first or not: an update on the third target may come while a
// request waits, and each more costs a target.
func (b *balancer) quarantined(req *request) *verdict.Error {
	if !b.verdictOn(req).IsQuarantined() {
		return nil
	}
	return verdict.New(verdict.NotRun, verdict.ReasonQuarantined, "targets ended under this request")
}
