// Package forward is the gateway's data path: it takes a client's request, finds
// its route, looks for a target, sends the request as often as the decisions of
// core/gateway allow, and passes the answer on: a short one once it is whole, a long
// one as it comes (stream.go).
//
// It owns the requests under way and, for each service, the state that the
// decisions go by (service.go): all of it is lost with the process. It holds no
// rule of its own. Which target, wait or refuse: core/gateway/placement. When a cold
// one: core/gateway/warmup. Again,
// or a second send beside a slow one: core/gateway/retry. How a send ended and
// what that means: core/gateway/outcome. Who is left alone: core/gateway/ejection.
// How a request ends that is given up: core/gateway/refusal. Which requests are sent to
// nobody since targets end under them: core/gateway/quarantine. Whose a request is:
// core/gateway/workspace, and whether its quota allows it: core/gateway/quota.
//
// It relies on a snapshot of what the process believes (internal/gateway/discovery
// makes it) and on connections to targets (internal/gateway/upstream). It goes on
// serving with the latest snapshot when nothing new is learnt.
//
// # Usage
//
//	h := forward.New(forward.Options{Names: names, Snapshot: follower.Snapshot, ...})
//	server := pipeline.New(pipeline.Options{Handler: h, Safe: h.Repeatable, Limits: h.Limits})
package forward

import (
	"log/slog"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/sprucecrank/sprucecrank/core/gateway/locality"
	"github.com/sprucecrank/sprucecrank/core/gateway/refusal"
	"github.com/sprucecrank/sprucecrank/core/gateway/snapshot"
	"github.com/sprucecrank/sprucecrank/internal/gateway/fatal"
	"github.com/sprucecrank/sprucecrank/internal/gateway/metrics"
	"github.com/sprucecrank/sprucecrank/internal/gateway/pipeline"
	"github.com/sprucecrank/sprucecrank/internal/gateway/quota"
	"github.com/sprucecrank/sprucecrank/internal/gateway/signals"
	"github.com/sprucecrank/sprucecrank/internal/gateway/upstream"
	"github.com/sprucecrank/sprucecrank/internal/headers"
	"github.com/sprucecrank/sprucecrank/verdict"
)

// Retry configures second sends.
type Retry struct {
	// Ratio is the greatest share of second sends among the requests of any span of time,
	// beyond one second send.
	Ratio float64
	// Saved is how much of one second send a service begins with; 0 for a process that has
	// just started.
	Saved float64
}

// Options configure a Handler.
type Options struct {
	Names headers.Names
	// Places gives where halls stand, as this process sees it.
	Places func() *locality.Map
	// Snapshot gives what is believed now.
	Snapshot func() *snapshot.Snapshot
	// Ready is closed once enough is known to serve.
	Ready <-chan struct{}
	// ReadyTimeout is how long a request waits for that; 0 means 200 ms.
	ReadyTimeout time.Duration
	// Gateways is about how many gateways there are; nil for this one alone.
	Gateways func() int
	// Current says whether what is believed was confirmed lately.
	Current func() bool
	// Signals are what targets said of themselves; nil for what this handler sees alone.
	Signals *signals.Registry
	Pool    *upstream.Pool
	Retry   Retry
	// Relay says which gateways serve requests whose targets this one can't reach.
	Relay Relay
	// Fatal knows which requests end the targets that run them; nil for what this handler
	// sees alone.
	Fatal *fatal.Register
	// Quota admits requests of workspaces that have limits; nil admits all.
	Quota *quota.Limiter
	// TrustsKeys says whether keys may be relied on that are believed to be in force; nil
	// for always.
	TrustsKeys func() bool
	// Metrics may be nil.
	Metrics *metrics.Metrics
	// UsualBodyTime is how long long bodies are usually held, so that it is known when there may be
	// room for one; nil for not known.
	UsualBodyTime func() time.Duration
	Clock         func() time.Time
	Log           *slog.Logger
	// Draw gives a uniform number in [0, 1).
	Draw func() float64
	// Explore says whether a search for a target takes no account of idle
	// connections, so that new targets are found; nil for one of four, at random.
	Explore func() bool
	// ExploreLimit says whether a request may take a slot that is better left free, so
	// that it is found out when targets no longer slow down; nil for few, at random.
	ExploreLimit func() bool
}

const (
	// exploreShare is the share of the searches that explore (docs/DESIGN.md, "targets with an
	// idle connection first, three times of four").
	exploreShare = 0.25
	// exploreLimitShare is the share of the requests that may take any free slot.
	// A level's cost is told by some dozens of answers, and each may be late.
	exploreLimitShare = 0.03
	// readyTimeout is how long a request waits for a process that has just begun
	// to learn the configuration and the targets. One reads the store in
	// some tens of milliseconds.
	readyTimeout = 200 * time.Millisecond
)

// Handler serves the clients' requests.
type Handler struct {
	options  Options
	balancer *balancer
	active   atomic.Int64
	relaying atomic.Int64 // requests that other gateways relayed
	underWay underWay
}

// New makes a handler.
func New(o Options) *Handler {
	if o.Clock == nil {
		o.Clock = time.Now
	}
	if o.Draw == nil {
		o.Draw = rand.Float64
	}
	if o.Explore == nil {
		o.Explore = func() bool { return rand.Float64() < exploreShare }
	}
	if o.ExploreLimit == nil {
		o.ExploreLimit = func() bool { return rand.Float64() < exploreLimitShare }
	}
	if o.Fatal == nil {
		o.Fatal = fatal.New(fatal.Options{Clock: o.Clock, Log: o.Log})
	}
	if o.TrustsKeys == nil {
		o.TrustsKeys = func() bool { return true }
	}
	if o.Signals == nil {
		o.Signals = signals.New(signals.Options{Clock: o.Clock, Log: o.Log})
	}
	if o.UsualBodyTime == nil {
		o.UsualBodyTime = func() time.Duration { return 0 }
	}
	if o.Gateways == nil {
		o.Gateways = func() int { return 1 }
	}
	if o.ReadyTimeout == 0 {
		o.ReadyTimeout = readyTimeout
	}
	if o.Log == nil {
		o.Log = slog.New(slog.DiscardHandler)
	}
	return &Handler{options: o, balancer: newBalancer(o), underWay: underWay{requests: map[*request]struct{}{}}}
}

// Active is how many requests are under way.
func (h *Handler) Active() int64 { return h.active.Load() }

// Repeatable says whether a request may run more than once, so that it can be
// served beside others of its client.
func (h *Handler) Repeatable(r *http.Request) bool {
	table := h.options.Snapshot().Table()
	if table == nil {
		return false
	}
	route, ok := table.Match(r.Host, r.URL.Path)
	return ok && route.Repeatable
}

// Limits are those that the configuration sets to what clients send.
func (h *Handler) Limits() pipeline.Limits {
	table := h.options.Snapshot().Table()
	if table == nil {
		return pipeline.Limits{}
	}
	limits := table.Limits()
	return pipeline.Limits{
		HeadBytes: limits.HeaderBytes, BodyBytes: limits.BodyBytes,
		HeadTimeout: limits.HeaderTimeout, IdleTimeout: limits.IdleTimeout,
	}
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.handle(w, newRequest(r.Header.Get(h.options.Names.RequestID), r, h.options.Clock()))
}

// handle serves a request of a client or of another gateway.
func (h *Handler) handle(w http.ResponseWriter, req *request) {
	h.active.Add(1)
	defer h.active.Add(-1)
	req.exploresLimit = h.options.ExploreLimit()
	defer func() { req.end() }()
	answer, failure := h.serve(req)
	if failure != nil {
		h.refuse(w, req, failure)
		return
	}
	h.pass(w, req, answer)
}

func (h *Handler) serve(req *request) (*upstream.Answer, *verdict.Error) {
	h.awaitReady(req)
	if failure := h.balancer.checkVersion(req); failure != nil {
		return nil, failure
	}
	believed := h.options.Snapshot()
	if failure := h.route(believed, req); failure != nil {
		return nil, failure
	}
	if failure := h.readBody(req); failure != nil {
		return nil, failure
	}
	if failure := h.balancer.stopsBefore(req); failure != nil {
		return nil, failure.WithRetryAfter(refusal.ImmediateRetryAfter(h.options.Draw()))
	}
	ctx := h.bound(req)
	if failure := h.admit(ctx, req); failure != nil {
		return nil, h.balancer.refused(req, failure)
	}
	answer, failure := h.balancer.run(ctx, req)
	if failure != nil && failure.Verdict() == verdict.NotRun {
		req.credit.Return()
	}
	return answer, failure
}

// awaitReady waits a little for a process that has just begun.
func (h *Handler) awaitReady(req *request) {
	select {
	case <-h.options.Ready:
		return
	default:
	}
	timer := time.NewTimer(h.options.ReadyTimeout)
	defer timer.Stop()
	select {
	case <-h.options.Ready:
	case <-timer.C:
	case <-req.in.Context().Done():
	}
}
