package forward

import (
	"context"
	"strconv"
	"time"

	"github.com/sprucecrank/sprucecrank/core/gateway/outcome"
	"github.com/sprucecrank/sprucecrank/internal/gateway/upstream"
	"github.com/sprucecrank/sprucecrank/internal/headers"
	"github.com/sprucecrank/sprucecrank/verdict"
)

// sent is how one send ended.
type sent struct {
	outcome outcome.Outcome
	// answer is the target's; nil if there was none.
	answer *upstream.Answer
	// failure is nil if the answer is to be passed on.
	failure *verdict.Error
}

// lacksMemory says whether another gateway had no memory for the request.
func (s sent) lacksMemory() bool {
	return s.failure != nil && s.failure.Reason() == verdict.ReasonNoMemory
}

// name is how the send ended, as logs and metrics name it: the status of the
// target's answer, or why there is none that counts.
func (s sent) name() string {
	if s.failure != nil && !s.outcome.HasTargetAnswer() {
		return string(s.failure.Reason())
	}
	return strconv.Itoa(s.answer.Status())
}

// send makes one send, and learns from how it ended once its answer has.
func (b *balancer) send(ctx context.Context, req *request, svc *service, chosen *candidate) sent {
	if failure := b.forbidden(req, chosen); failure != nil {
		b.release(chosen)
		return sent{outcome: outcome.Abandoned, failure: failure}
	}
	s := &sending{
		balancer: b, req: req, svc: svc, chosen: chosen, first: req.sends.Add(1) == 1, began: b.options.Clock(),
	}
	svc.beginSend(chosen.target)
	s.judgement = b.judge(req, svc, chosen)
	result := exchange(ctx, chosen.conn, b.outgoing(req, chosen, s.began))
	s.follow(result)
	return result
}

// forbidden is why a send that was decided on is not made after all; nil if it is.
func (b *balancer) forbidden(req *request, chosen *candidate) *verdict.Error {
	if failure := b.overdue(req); failure != nil {
		return failure
	}
	if chosen.trial > 0 && !b.options.Current() {
		return verdict.New(verdict.NotRun, verdict.ReasonShed, "the version on trial may have been rolled back")
	}
	if chosen.credit == nil && b.options.Quota.TargetRate(chosen.target.Life()) > 0 {
		return verdict.New(verdict.NotRun, verdict.ReasonShed, "the target named a limit while the request was on its way to it")
	}
	if failure := b.gate(chosen.target.Life()); failure != nil {
		return failure
	}
	return b.barred(req)
}

// barred is why a request may be sent to nobody any more; nil if it may.
func (b *balancer) barred(req *request) *verdict.Error {
	if failure := b.stopsBefore(req); failure != nil {
		return failure
	}
	if failure := b.revoked(req); failure != nil {
		return failure
	}
	return b.quarantined(req)
}

func exchange(ctx context.Context, conn *upstream.Conn, r upstream.Request) sent {
	answer, failure := conn.Exchange(ctx, r)
	if failure != nil {
		return sent{outcome: outcome.FromFailure(failure), failure: failure}
	}
	ended := outcome.FromAnswer(answer.Status(), answer.NotRun())
	return sent{outcome: ended, answer: answer, failure: ended.Failure()}
}

// outgoing makes the request as it goes to a target, which is told to stop while its
// answer can still be back in time.
func (b *balancer) outgoing(req *request, chosen *candidate, now time.Time) upstream.Request {
	names := b.options.Names
	h := req.in.Header.Clone()
	headers.RemoveHopByHop(h)
	h.Del("Content-Length")
	h.Del("Expect")
	if who := req.caller.Load(); who.hidden {
		h.Del(headerKey)
		h.Del(names.Workspace)
		if who.workspace != nil {
			h.Set(names.Workspace, who.workspace.Name())
		}
	}
	left := max((req.deadline.Request().Sub(now) - chosen.RoundTrip).Milliseconds(), 1)
	h.Set(names.Deadline, strconv.FormatInt(left, 10))
	h.Set(names.ExpectInstance, chosen.target.ID)
	out := upstream.Request{
		Method: req.in.Method, URI: req.in.RequestURI, Host: req.in.Host, Header: h, Body: req.body, ID: req.id,
	}
	if req.in.ProtoAtLeast(1, 1) { // an older client could not tell the end of one
		out.MayStream = streams
	}
	return out
}
