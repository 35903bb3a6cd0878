package forward

import (
	"time"

	"github.com/sprucecrank/sprucecrank/core/gateway/estimate"
	"github.com/sprucecrank/sprucecrank/core/gateway/outcome"
	"github.com/sprucecrank/sprucecrank/verdict"
)

// sending is one send until its answer has ended.
type sending struct {
	balancer  *balancer
	req       *request
	svc       *service
	chosen    *candidate
	judgement *judgement
	began     time.Time
	first     bool // of its request
}

// follow has ended called at the end of the send's answer; at once if there is none.
func (s *sending) follow(result sent) {
	if result.answer == nil {
		s.ended(result, 0)
		return
	}
	if !result.answer.Buffered() {
		s.judgement.answerBegan()
	}
	result.answer.OnEnd(func(failure *verdict.Error) {
		if failure != nil {
			result.outcome, result.failure = outcome.FromFailure(failure), failure
		}
		s.ended(result, result.answer.BackpressureTime())
	})
}

// ended learns from how a send ended. The time that an answer took is that to its
// last byte, without heldBack, the time for which the client kept the target waiting;
// estimates leave out the way to another region as well.
func (s *sending) ended(result sent, heldBack time.Duration) {
	options, target := s.balancer.options, s.chosen.target
	options.Pool.Put(s.chosen.conn)
	now := options.Clock()
	took := now.Sub(s.began) - heldBack
	s.svc.endSend(now, target, result.outcome)
	s.judgement.ended(result.outcome, took)
	if result.outcome == outcome.Served {
		answer := estimate.Answer{Took: max(took-s.chosen.RoundTrip, 0), Bytes: result.answer.BytesRead(), Report: s.chosen.Report, Cold: s.chosen.Cold}
		s.svc.answered(s.req.route, answer, now.Sub(s.began))
	}
	described := s.balancer.describe(s.chosen, s.began, now, result.name())
	if result.answer != nil {
		described.RetryAfterMS = milliseconds(result.answer.Signals().BackOff)
	}
	described.TargetEnded = s.balancer.learnFatal(s.req, target, result, now.Sub(s.began))
	s.req.sendLog.add(described)
	options.Metrics.Send(s.req.service, result.name(), s.chosen.Tier.String(), s.first)
}

// drop gives up the answer, if there is one, and what it holds.
func (s sent) drop() {
	if s.answer != nil {
		s.answer.Close()
	}
}

// drop gives up the failure that was kept, if there is one.
func (h *history) drop() {
	if h.answer != nil {
		h.answer.Close()
	}
}
