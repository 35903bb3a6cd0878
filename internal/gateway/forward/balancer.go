package forward

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/sprucecrank/sprucecrank/internal/gateway/upstream"
	"github.com/sprucecrank/sprucecrank/internal/headers"
	"github.com/sprucecrank/sprucecrank/verdict"
)

// balancer chooses targets and makes sends.
type balancer struct {
	options  Options
	services *services
}

func newBalancer(o Options) *balancer {
	return &balancer{options: o, services: newServices(o)}
}

// run sends a request until there is an answer to pass on, as often as the
// verdicts, the route, the budget and the deadline allow.
func (b *balancer) run(ctx context.Context, x *exchange) (*upstream.Answer, *verdict.Error) {
	state := b.services.get(x.service)
	state.countRequest(b.options.Clock())
	var last *verdict.Error
	var failed *upstream.Answer // a target's own failure, should nothing better come
	for {
		placed, failure := b.place(ctx, x, state)
		if failure != nil {
			return b.giveUp(x, failed, last, failure)
		}
		answer, failure := b.attempt(ctx, x, state, placed)
		if failure == nil {
			failure = judge(answer)
		}
		if failure == nil {
			return answer, nil
		}
		if failure.Verdict() != verdict.NotRun {
			x.mayHaveRun = true
		}
		if answer != nil && !answer.Refused {
			failed = answer
		}
		x.avoid = append(x.avoid, placed.target.ID)
		last = failure
		if !b.mayRetry(ctx, x, state, failure) {
			return b.giveUp(x, failed, last, failure)
		}
	}
}

// giveUp ends a request: with the failure that a target answered, if one did,
// since that is its own word; else with one of the gateway's.
func (b *balancer) giveUp(x *exchange, failed *upstream.Answer, last, failure *verdict.Error) (*upstream.Answer, *verdict.Error) {
	if failed != nil && failure.Reason() != verdict.ReasonClientGone {
		return failed, nil
	}
	return nil, b.conclude(x, last, failure)
}

// judge tells whether an answer should rather be had from another target.
func judge(a *upstream.Answer) *verdict.Error {
	switch {
	case a.Refused:
		return verdict.New(verdict.NotRun, verdict.ReasonShed, "the target did not run the request")
	case a.Status >= http.StatusInternalServerError:
		return verdict.New(verdict.MayHaveRun, verdict.ReasonTargetFailed, "the target failed")
	default:
		return nil
	}
}

func (b *balancer) mayRetry(ctx context.Context, x *exchange, state *service, f *verdict.Error) bool {
	if ctx.Err() != nil || f.Verdict() != verdict.NotRun && !x.route.Repeatable() {
		return false
	}
	if f.Reason() == verdict.ReasonUnreachable {
		return len(x.avoid) <= mostUnreachable
	}
	if x.deadline.Sub(b.options.Clock()) < state.usual(x.route)/2 {
		return false // no answer could come in time
	}
	return int(x.sends.Load()) < x.route.MaxAttempts && state.spend(b.options.Clock(), 1)
}

// mostUnreachable bounds the targets that are tried for one request and cannot
// be reached; no request was sent to them.
const mostUnreachable = 8

// conclude makes the final answer from how the sends ended.
func (b *balancer) conclude(x *exchange, last, failure *verdict.Error) *verdict.Error {
	if failure.Reason() == verdict.ReasonClientGone {
		return failure
	}
	if x.mayHaveRun {
		if last != nil {
			failure = last
		}
		reason := verdict.ReasonTargetFailed
		if failure.Reason() == verdict.ReasonDeadline {
			reason = verdict.ReasonDeadline
		}
		return verdict.New(verdict.MayHaveRun, reason, failure.Detail()).WithCause(failure.Unwrap())
	}
	reason := failure.Reason()
	if reason == verdict.ReasonDeadline {
		reason = verdict.ReasonTooLate
	}
	return verdict.New(verdict.NotRun, reason, failure.Detail()).WithCause(failure.Unwrap()).WithRetryAfter(b.comeBack(x))
}

const (
	// comeBackPart is the part of the time that a client has left which it
	// spends waiting at most before it comes back.
	comeBackPart  = 1.0 / 3
	leastComeBack = 150 * time.Millisecond
	// comeBackFrom is where the draw begins, as a part of the longest pause.
	comeBackFrom = 0.3
)

// comeBack is when a refused client should try again. The clients of one burst
// are spread over the time that they have, so that they don't return as one.
func (b *balancer) comeBack(x *exchange) time.Duration {
	longest := time.Duration(comeBackPart * float64(x.clientDeadline.Sub(b.options.Clock())))
	drawn := comeBackFrom + (1-comeBackFrom)*b.options.Draw()
	return max(time.Duration(drawn*float64(longest)), leastComeBack)
}

// send makes one send and learns from how it ended.
func (b *balancer) send(ctx context.Context, x *exchange, state *service, placed *candidate) (*upstream.Answer, *verdict.Error) {
	first := x.sends.Add(1) == 1
	began := b.options.Clock()
	state.begin(placed.target.ID)
	answer, failure := placed.conn.Exchange(ctx, b.outgoing(x, placed.target.ID, began))
	b.options.Pool.Put(placed.conn)
	state.end(placed.target.ID)
	now := b.options.Clock()
	result := resultOf(answer, failure)
	x.sendLog.add(describe(placed, began, now, result))
	b.options.Metrics.Send(x.service, result, first)
	switch {
	case failure == nil && answer.Refused:
		state.refused(now, placed.target.ID, answer.Status == http.StatusMisdirectedRequest)
	case failure == nil && answer.Status >= http.StatusInternalServerError:
		state.failed(now, placed.target.ID)
	case failure == nil:
		state.succeeded(placed.target.ID, x.route, now.Sub(began), len(answer.Body), placed.reading)
	case failure.Reason() == verdict.ReasonTargetFailed:
		state.failed(now, placed.target.ID)
	}
	return answer, failure
}

// outgoing makes the request as it goes to a target.
func (b *balancer) outgoing(x *exchange, target string, now time.Time) upstream.Request {
	names := b.options.Names
	h := x.in.Header.Clone()
	headers.RemoveHopByHop(h)
	h.Del("Content-Length")
	h.Del("Expect")
	left := max(x.deadline.Sub(now).Milliseconds(), 1)
	h.Set(names.Deadline, strconv.FormatInt(left, 10))
	h.Set(names.ExpectInstance, target)
	return upstream.Request{
		Method: x.in.Method, URI: x.in.RequestURI, Host: x.in.Host, Header: h, Body: x.body, ID: x.id,
	}
}
