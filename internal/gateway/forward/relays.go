package forward

import (
	"encoding/json"
	"errors"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"github.com/sprucecrank/sprucecrank/core/gateway/locality"
	"github.com/sprucecrank/sprucecrank/core/gateway/relay"
	"github.com/sprucecrank/sprucecrank/core/member"
	"github.com/sprucecrank/sprucecrank/internal/gateway/upstream"
	"github.com/sprucecrank/sprucecrank/internal/rawjson"
	"github.com/sprucecrank/sprucecrank/verdict"
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

// choose draws a gateway for a request, but for those that are excluded.
func (r *relays) choose(now time.Time, service string, excluded []string) (member.Box, bool) {
	known := r.options.Gateways()
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.tried.Choose(now, service, known, rand.IntN, excluded...)
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
	skipped, err := rawjson.Unmarshal([]byte(text), &named)
	if err != nil {
		return trace.Wrap(err)
	}
	named = slices.DeleteFunc(named, func(b member.Box) bool { return b.ID == "" || b.ID == r.options.Self || b.Relay == "" })
	r.mu.Lock()
	defer r.mu.Unlock()
	r.tried.RecordReferrals(now, service, named)
	return trace.Wrap(errors.Join(skipped...))
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
	case reason == verdict.ReasonNoMemory: // tells nothing about requests with other bodies
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
	case verdict.ReasonUnreachable, verdict.ReasonQueueFull, verdict.ReasonNoMemory, verdict.ReasonNotReady, verdict.ReasonNoService, verdict.ReasonNoTarget, verdict.ReasonTargetFailed:
		return true
	default:
		return false
	}
}
