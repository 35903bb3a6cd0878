package forward

import (
	"context"
	"strconv"
	"time"

	"github.com/sprucecrank/sprucecrank/core/gateway/catalog"
	"github.com/sprucecrank/sprucecrank/core/member"
	"github.com/sprucecrank/sprucecrank/internal/gateway/upstream"
	"github.com/sprucecrank/sprucecrank/internal/headers"
	"github.com/sprucecrank/sprucecrank/verdict"
)

const (
	// maxRelayTries bounds the gateways that one request is relayed to, one after the other.
	maxRelayTries = 16
	// relayShare is the least share of the objective for which further gateways are asked: each may
	// search before it refuses.
	relayShare = 0.5
	// relayDialTimeout bounds the time to connect to another gateway, which takes a millisecond.
	relayDialTimeout = 150 * time.Millisecond
	// relayMargin is how much earlier than its own a request's deadline is told to another gateway, so
	// that one which does not answer by then hangs; at most relayMarginShare of the time left.
	relayMargin      = 20 * time.Millisecond
	relayMarginShare = 0.1
)

// Headers of relayed requests, and of their answers. They never leave the fleet.
const (
	headerRelayedBy    = "Sprucecrank-Relayed-By"    // the id of the gateway that took the request
	headerRelayClient  = "Sprucecrank-Relay-Client"  // the address of its client
	headerRelayService = "Sprucecrank-Relay-Service" // the service that was drawn for it
	headerRelayConfig  = "Sprucecrank-Relay-Config"  // the version by which it is handled, or that refuses it
	headerRelaySends   = "Sprucecrank-Relay-Sends"   // how often it was sent to targets already
	headerRelayHeld    = "Sprucecrank-Relay-Held-Ms" // for how long it was held already
	headerRelayReason  = "Sprucecrank-Relay-Reason"  // why it was refused
	headerRelayServing = "Sprucecrank-Relay-Serving" // gateways that serve the service, as JSON
)

// relay has other gateways serve a client's request. It reports false if none of them did: the
// request has not run there. One for which another gateway had no memory, and none was left to
// ask, ends as that one refused it.
func (b *balancer) relay(ctx context.Context, req *request) (result sent, ok bool) {
	var full []string // gateways without memory for the request
	for try := range maxRelayTries {
		if try > 0 && b.options.Clock().Sub(req.began) > b.relayTime(req) {
			break
		}
		via, found := b.relays.choose(b.options.Clock(), req.service, full)
		if !found {
			break
		}
		result.answer, result.failure = b.relayTo(ctx, req, via)
		if result.failure == nil || ctx.Err() != nil || !mayTryAnother(result.failure) {
			return result, true
		}
		if result.lacksMemory() {
			full = append(full, via.ID)
		}
	}
	if result.lacksMemory() {
		return result, true
	}
	return sent{}, false
}

// relayTime is how long after a request came another gateway may be asked: as long as an answer in
// the usual time would be within the objective, and in any case for a share of that.
func (b *balancer) relayTime(req *request) time.Duration {
	least := time.Duration(relayShare * float64(req.route.Objective))
	return max(least, req.route.Objective-b.services.get(req.service).usual(req.route))
}

// relayTo has one gateway serve a request.
func (b *balancer) relayTo(ctx context.Context, req *request, via member.Box) (*upstream.Answer, *verdict.Error) {
	if failure := b.forbiddenNow(req); failure != nil {
		return nil, failure
	}
	began := b.options.Clock()
	b.relays.begin(began, via)
	answer, failure := b.exchangeWith(ctx, req, via)
	answered := failure == nil
	if answered {
		failure = refusalOf(answer)
	}
	now := b.options.Clock()
	b.relays.end(now, via, answered)
	if version := otherVersion(answer, failure); version > 0 {
		b.followVersion(ctx, via, version)
	} else {
		b.relays.record(now, via, req.service, failure, answered)
	}
	result := ""
	if failure != nil {
		result = string(failure.Reason())
	} else {
		result = strconv.Itoa(answer.Status())
	}
	req.sendLog.add(Send{Gateway: via.ID, Hall: via.Hall, Result: result, TookMS: milliseconds(now.Sub(began))})
	b.options.Metrics.Relayed(req.service, result)
	if answered && failure != nil {
		if err := b.relays.recordReferrals(now, req.service, answer.Header()); err != nil {
			b.options.Log.Warn("gateways that a refusal names can't be read", "gateway", via.ID, "error", err.Error())
		}
		answer.Close()
		return nil, failure
	}
	return answer, failure
}

// forbiddenNow is why a request may not be sent on any more; nil if it may.
func (b *balancer) forbiddenNow(req *request) *verdict.Error {
	if failure := b.overdue(req); failure != nil {
		return failure
	}
	return b.barred(req)
}

func (b *balancer) exchangeWith(ctx context.Context, req *request, via member.Box) (*upstream.Answer, *verdict.Error) {
	pool := b.relays.options.Pool
	dialCtx, cancel := context.WithTimeout(ctx, relayDialTimeout)
	defer cancel()
	conn, failure := pool.Get(dialCtx, catalog.Target{ID: via.ID, Born: int64(via.Start), Hall: via.Hall, Address: via.Relay})
	if failure != nil {
		return nil, failure
	}
	answer, failure := conn.Exchange(ctx, b.relayRequest(req))
	if failure != nil {
		pool.Put(conn)
		return nil, failure
	}
	answer.OnEnd(func(*verdict.Error) { pool.Put(conn) })
	return answer, nil
}

// relayRequest makes the request as it goes to another gateway: as the client sent it, with
// what this one decided.
func (b *balancer) relayRequest(req *request) upstream.Request {
	h := req.in.Header.Clone()
	headers.RemoveHopByHop(h)
	h.Del("Content-Length")
	h.Del("Expect")
	now := b.options.Clock()
	left := req.deadline.Request().Sub(now)
	left -= min(relayMargin, time.Duration(relayMarginShare*float64(left)))
	h.Set(b.options.Names.Deadline, strconv.FormatInt(max(left.Milliseconds(), 1), 10))
	h.Set(headerRelayHeld, strconv.FormatInt(now.Sub(req.began).Milliseconds(), 10))
	h.Set(headerRelayedBy, b.relays.options.Self)
	h.Set(headerRelayClient, req.in.RemoteAddr)
	h.Set(headerRelayService, req.service)
	h.Set(headerRelayConfig, strconv.FormatUint(b.configVersion(), 10)) // the request may have come under an earlier one
	h.Set(headerRelaySends, strconv.Itoa(int(req.sends.Load())))
	out := upstream.Request{Method: req.in.Method, URI: req.in.RequestURI, Host: req.in.Host, Header: h, Body: req.body, ID: req.id}
	if req.in.ProtoAtLeast(1, 1) {
		out.MayStream = streams
	}
	return out
}

// refusalOf returns the failure that another gateway answered with; nil for a target's answer.
func refusalOf(a *upstream.Answer) *verdict.Error {
	reason := a.Header().Get(headerRelayReason)
	if reason == "" {
		return nil
	}
	v := verdict.MayHaveRun
	if a.Header().Get(verdict.Header) == verdict.NotRun.String() {
		v = verdict.NotRun
	}
	failure := verdict.New(v, verdict.Reason(reason), "another gateway could not serve the request")
	if seconds, err := strconv.ParseFloat(a.Header().Get("Retry-After"), 64); err == nil && seconds > 0 {
		failure = failure.WithRetryAfter(time.Duration(seconds * float64(time.Second)))
	}
	return failure
}
