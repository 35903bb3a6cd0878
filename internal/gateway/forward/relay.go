package forward

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"github.com/sprucecrank/sprucecrank/core/gateway/catalog"
	"github.com/sprucecrank/sprucecrank/core/gateway/deadline"
	"github.com/sprucecrank/sprucecrank/core/gateway/locality"
	"github.com/sprucecrank/sprucecrank/core/gateway/placement"
	"github.com/sprucecrank/sprucecrank/core/gateway/relay"
	"github.com/sprucecrank/sprucecrank/core/member"
	"github.com/sprucecrank/sprucecrank/internal/gateway/upstream"
	"github.com/sprucecrank/sprucecrank/internal/headers"
	"github.com/sprucecrank/sprucecrank/internal/pause"
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
	// maxRelayed is how many relayed requests a gateway serves at the same time: those of a few
	// gateways like itself. Beyond that its own clients would wait for them.
	maxRelayed = 64
	// configTimeout is how long a request waits for a version of the configuration that another
	// gateway has in force already, and configPoll how often it looks.
	configTimeout = 50 * time.Millisecond
	configPoll    = 5 * time.Millisecond
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

// Relay configures how requests are relayed to other gateways whose targets this one can't
// reach.
type Relay struct {
	// Self is the id of this gateway.
	Self string
	// Gateways lists some that relay requests; nil for none.
	Gateways func() []member.Box
	// Pool keeps the connections to them.
	Pool *upstream.Pool
}

// relays chooses the gateways that serve requests in place of this one.
type relays struct {
	options Relay
	mu      sync.Mutex
	tried   *relay.Gateways
}

func newRelays(o Relay, places *places) *relays {
	if o.Gateways == nil {
		o.Gateways = func() []member.Box { return nil }
	}
	return &relays{options: o, tried: relay.NewGateways(func(hall string) locality.Tier { return places.tier(hall) })}
}

func (r *relays) choose(now time.Time, service string) (member.Box, bool) {
	known := r.options.Gateways()
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.tried.Choose(now, service, known, rand.IntN)
}

// refer names gateways that serve a service in the head of a refusal.
func (r *relays) refer(now time.Time, service string, head http.Header) error {
	r.mu.Lock()
	named := r.tried.Referrals(now, service, rand.IntN)
	r.mu.Unlock()
	if len(named) == 0 {
		return nil
	}
	text, err := json.Marshal(named)
	if err != nil {
		return trace.Wrap(err)
	}
	head.Set(headerRelayServing, string(text))
	return nil
}

// recordReferrals learns from the gateways that a refusal of another one names.
func (r *relays) recordReferrals(now time.Time, service string, head http.Header) error {
	text := head.Get(headerRelayServing)
	if text == "" {
		return nil
	}
	var named []member.Box
	if err := json.Unmarshal([]byte(text), &named); err != nil {
		return trace.Wrap(err)
	}
	named = slices.DeleteFunc(named, func(b member.Box) bool { return b.ID == "" || b.ID == r.options.Self || b.Relay == "" })
	r.mu.Lock()
	defer r.mu.Unlock()
	r.tried.RecordReferrals(now, service, named)
	return nil
}

// begin notes that a request is relayed to a gateway.
func (r *relays) begin(now time.Time, via member.Box) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.tried.RecordAsked(now, via.ID)
}

// end notes that a relayed request has ended, and whether the gateway answered it.
func (r *relays) end(now time.Time, via member.Box, answered bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.tried.RecordEnd(now, via.ID, answered)
}

// recordOtherVersion learns that a gateway goes by another version of the configuration.
func (r *relays) recordOtherVersion(now time.Time, via member.Box) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.tried.RecordOtherVersion(now, via.ID)
}

// record learns from how a relayed request of a service ended; answered says whether the gateway
// answered it.
func (r *relays) record(now time.Time, via member.Box, service string, failure *verdict.Error, answered bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if failure == nil {
		r.tried.RecordServed(now, via, service)
		return
	}
	switch reason := failure.Reason(); {
	case reason == verdict.ReasonClientGone || reason == verdict.ReasonDeadline: // tells nothing about the gateway
	case reason == verdict.ReasonQueueFull:
		r.tried.RecordBusy(now, via.ID)
	case !answered || reason == verdict.ReasonNotReady:
		r.tried.RecordUnavailable(now, via.ID)
	case mayTryAnother(failure):
		r.tried.RecordCutOff(now, via.ID, service)
	}
}

// mayTryAnother reports whether another gateway may serve what one refused or could not be
// asked: the request has not run, and the reason is that gateway's alone.
func mayTryAnother(failure *verdict.Error) bool {
	if failure.Verdict() != verdict.NotRun {
		return false
	}
	switch failure.Reason() {
	case verdict.ReasonUnreachable, verdict.ReasonQueueFull, verdict.ReasonNotReady, verdict.ReasonNoService, verdict.ReasonNoTarget, verdict.ReasonTargetFailed:
		return true
	default:
		return false
	}
}

// relay has other gateways serve a client's request. It reports false if none of them did: the
// request has not run there.
func (b *balancer) relay(ctx context.Context, req *request) (result sent, ok bool) {
	for try := range maxRelayTries {
		if try > 0 && b.options.Clock().Sub(req.began) > b.relayTime(req) {
			break
		}
		via, found := b.relays.choose(b.options.Clock(), req.service)
		if !found {
			return sent{}, false
		}
		result.answer, result.failure = b.relayTo(ctx, req, via)
		if result.failure == nil || ctx.Err() != nil || !mayTryAnother(result.failure) {
			return result, true
		}
	}
	return sent{}, false
}

// relayTime is how long after a request came another gateway may be asked: as long as an answer in
// the usual time would be within the objective, and in any case for a share of that.
func (b *balancer) relayTime(req *request) time.Duration {
	least := time.Duration(relayShare * float64(req.route.Objective))
	return max(least, req.route.Objective-b.services.get(req.service).usual(req.route))
}

// isCutOff says whether no target of a request's service answers this gateway.
func (b *balancer) isCutOff(req *request, svc *service) bool {
	return svc.isCutOff(b.options.Clock(), len(b.targets(req)))
}

// isKnownCutOff says whether no target of a service answers this gateway, by a look that was taken
// a moment ago.
func (b *balancer) isKnownCutOff(service string) bool {
	svc, ok := b.services.find(service)
	now := b.options.Clock()
	return ok && svc.isCutOff(now, len(b.options.Snapshot().Targets(service))) && svc.failedLately(now)
}

// tryPaths probes some targets of a service while none answers, now and then, so that it is noticed
// when one does again. No request waits for it.
func (b *balancer) tryPaths(req *request, svc *service) {
	if !svc.triesNow(b.options.Clock()) {
		return
	}
	order := b.order(req, svc, b.targets(req), nil)
	targets := append(order.Near(), order.Far()...)
	like := &request{service: req.service, healthPath: req.healthPath, coldRate: req.coldRate, route: req.route}
	for _, target := range targets[:min(len(targets), placement.FallbackWidth)] {
		go func() { b.release(b.probe(context.Background(), like, svc, target)) }()
	}
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

// otherVersion is the version of the configuration that a gateway goes by which refused a request
// for that reason; 0 for any other answer.
func otherVersion(a *upstream.Answer, failure *verdict.Error) uint64 {
	if a == nil || failure == nil || failure.Reason() != verdict.ReasonNotReady {
		return 0
	}
	version, err := strconv.ParseUint(a.Header().Get(headerRelayConfig), 10, 64)
	if err != nil {
		return 0 // it knows no configuration, or is of an earlier version
	}
	return version
}

// followVersion waits a moment for a newer version of the configuration that another gateway goes
// by. A gateway that stays at another version is passed over.
func (b *balancer) followVersion(ctx context.Context, via member.Box, version uint64) {
	isNewer := version > b.configVersion()
	if isNewer && b.awaitVersion(ctx, version) {
		return
	}
	b.relays.recordOtherVersion(b.options.Clock(), via)
}

// awaitVersion waits a moment for a version of the configuration, or a newer one, and reports
// whether it is in force.
func (b *balancer) awaitVersion(ctx context.Context, version uint64) bool {
	until := b.options.Clock().Add(configTimeout)
	for b.configVersion() < version {
		if b.options.Clock().After(until) || !pause.For(ctx, configPoll) {
			return false
		}
	}
	return true
}

// configVersion is the version of the configuration in force; 0 if none is known.
func (b *balancer) configVersion() uint64 {
	table := b.options.Snapshot().Table()
	if table == nil {
		return 0
	}
	return table.Version()
}

// checkVersion is why a relayed request can't be handled by the version of the configuration in
// force, for which it may wait a moment; nil if it can, or is a client's. A gateway that is cut off
// says so, whichever version it goes by.
func (b *balancer) checkVersion(req *request) *verdict.Error {
	if req.relayed == nil || b.configVersion() == req.relayed.config {
		return nil
	}
	if b.isKnownCutOff(req.relayed.service) {
		req.service = req.relayed.service
		return errNoneAnswers
	}
	if b.awaitVersion(req.in.Context(), req.relayed.config) && b.configVersion() == req.relayed.config {
		return nil
	}
	req.config = b.configVersion()
	return notReady("the gateway that relayed the request goes by another configuration")
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

// relayedFrom is what another gateway decided on a request that it had this one serve.
type relayedFrom struct {
	gateway string
	service string
	config  uint64
	sends   int
	// held is for how long that gateway had held it.
	held time.Duration
}

var errNotRelayed = errors.New("the request was not relayed by a gateway")

// takeRelayed removes the headers of a relayed request and returns what they say.
func takeRelayed(r *http.Request) (*relayedFrom, error) {
	take := func(name string) string {
		value := r.Header.Get(name)
		r.Header.Del(name)
		return value
	}
	from := &relayedFrom{gateway: take(headerRelayedBy), service: take(headerRelayService)}
	r.RemoteAddr = take(headerRelayClient)
	config, errConfig := strconv.ParseUint(take(headerRelayConfig), 10, 64)
	sends, errSends := strconv.Atoi(take(headerRelaySends))
	held, errHeld := deadline.ParseMilliseconds(take(headerRelayHeld))
	if from.gateway == "" || errConfig != nil || errSends != nil || errHeld != nil {
		return nil, errNotRelayed
	}
	from.config, from.sends, from.held = config, sends, max(held, 0) // an older gateway does not send it
	return from, nil
}

// Relayed returns the handler of requests that other gateways relay.
func (h *Handler) Relayed() http.Handler { return http.HandlerFunc(h.serveRelayed) }

func (h *Handler) serveRelayed(w http.ResponseWriter, r *http.Request) {
	defer h.relaying.Add(-1)
	busy := h.relaying.Add(1) > maxRelayed
	from, err := takeRelayed(r)
	req := newRequest(r.Header.Get(h.options.Names.RequestID), r, h.options.Clock())
	req.relayed = from
	switch {
	case err != nil:
		req.relayed = &relayedFrom{}
		h.refuse(w, req, verdict.New(verdict.NotRun, verdict.ReasonBadRequest, "only gateways may send requests here").WithCause(err))
	case busy:
		h.refuse(w, req, verdict.New(verdict.NotRun, verdict.ReasonQueueFull, "the gateway serves as many relayed requests as it takes"))
	default:
		h.handle(w, req)
	}
}

// maxAttempts is how many sends the request may still have, and has had here.
func (r *request) maxAttempts() int {
	if r.relayed == nil {
		return r.route.MaxAttempts
	}
	return r.route.MaxAttempts - r.relayed.sends
}

// drawService is the service of a request: the one that was drawn where it was taken.
func (h *Handler) drawService(req *request) string {
	if req.relayed != nil {
		for _, share := range req.route.Shares {
			if share.Service == req.relayed.service {
				return share.Service
			}
		}
	}
	return req.route.Pick(h.options.Draw())
}
