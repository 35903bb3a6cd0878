// Package entry is the data path of a box: it takes a client's request, names
// its service and kind, gets a slot, sends the request and passes the answer on
// whole. Every answer says in the header Sprucecrank-Verdict whether the
// request may have run.
//
// It owns the requests under way at a box and their tries. It relies on a broker for
// slots (internal/box/grant) and on a runner for once kinds (internal/box/oncerun).
//
// # Usage
//
//	h := entry.New(entry.Options{Broker: broker, Runner: runner, Clock: time.Now, ...})
//	h.SetRoutes(entry.NewRoutes(routes))
//	http.Serve(listener, h)
package entry

import (
	"bytes"
	"context"
	"errors"
	"io"
	"log/slog"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"go.opentelemetry.io/otel/attribute"

	"github.com/sprucecrank/sprucecrank/box/policy"
	"github.com/sprucecrank/sprucecrank/internal/box/grant"
	"github.com/sprucecrank/sprucecrank/internal/box/oncerun"
	"github.com/sprucecrank/sprucecrank/internal/box/telemetry"
	"github.com/sprucecrank/sprucecrank/internal/resetconn"
	"github.com/sprucecrank/sprucecrank/verdict"
)

// Limits bound what a box takes from callers.
type Limits struct {
	// BufferBytes is the largest body that is kept so that a try can be
	// repeated; a larger one is streamed and tried once.
	BufferBytes int64
	// BodyBytes is the largest body at all.
	BodyBytes int64
	// OnceBytes is the largest body of a request that runs at most once.
	OnceBytes int64
}

// Options configure a Handler.
type Options struct {
	Broker    *grant.Broker
	Runner    *oncerun.Runner
	Telemetry *telemetry.Telemetry
	Clock     func() time.Time
	Log       *slog.Logger
	Limits    Limits
	// MaxBoxes shares out the connections that a target accepts.
	MaxBoxes int
	// Draining says whether the box is stopping; then connections are closed
	// after their answer.
	Draining func() bool
	// StopsAt says when the box cuts off what is still in flight; nil, or a function that returns
	// nil, while it does not stop.
	StopsAt func() *time.Time
	// Dial opens connections to targets; nil means TCP.
	Dial resetconn.Dial
}

// Handler serves the clients' requests.
type Handler struct {
	options    Options
	transports *transports
	routes     atomic.Pointer[Routes]
	budgets    *budgets
}

// New makes a handler without routes.
func New(o Options) *Handler {
	if o.StopsAt == nil {
		o.StopsAt = func() *time.Time { return nil }
	}
	h := &Handler{options: o, transports: newTransports(o.Dial), budgets: newBudgets()}
	h.routes.Store(NewRoutes(nil))
	return h
}

// SetRoutes puts services and policies in force.
func (h *Handler) SetRoutes(r *Routes) { h.routes.Store(r) }

// Close ends idle connections to targets.
func (h *Handler) Close() { h.transports.closeIdle() }

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	ctx, span := h.options.Telemetry.Start(telemetry.Extract(r.Context(), r.Header), "entry")
	defer span.End()
	x := &exchange{id: requestID(r), in: r, began: h.options.Clock()}
	w.Header().Set(HeaderRequestID, x.id)
	if h.options.Draining() {
		w.Header().Set("Connection", "close")
	}
	v := h.serve(ctx, w, x)
	span.SetAttributes(attribute.String("request.id", x.id), attribute.String("verdict", v.String()))
	h.count(ctx, x, v)
}

func (h *Handler) count(ctx context.Context, x *exchange, v verdict.Verdict) {
	service, kind := "none", "none"
	if x.service != nil {
		service, kind = x.service.Name, x.kind.Name
	}
	h.options.Telemetry.Request(ctx, service, kind, v.String(), h.options.Clock().Sub(x.began))
}

// requestID keeps the caller's id when it is fit to be logged and passed on.
func requestID(r *http.Request) string {
	const longest = 64
	id := r.Header.Get(HeaderRequestID)
	if id != "" && len(id) <= longest && printable(id) {
		return id
	}
	return uuid.NewString()
}

func printable(s string) bool {
	for _, c := range []byte(s) {
		if c <= ' ' || c > '~' {
			return false
		}
	}
	return true
}

// serve answers the request and returns its verdict.
func (h *Handler) serve(ctx context.Context, w http.ResponseWriter, x *exchange) verdict.Verdict {
	if failure := h.prepare(x); failure != nil {
		return h.fail(w, x, beforeRecord(x, failure))
	}
	ctx, cancel := context.WithDeadlineCause(ctx, x.deadline, context.DeadlineExceeded)
	defer cancel()
	if failure := h.readBody(w, x); failure != nil {
		return h.fail(w, x, beforeRecord(x, failure))
	}
	if x.kind.Mode == policy.Once {
		return h.serveOnce(ctx, w, x)
	}
	return h.serveTries(ctx, w, x)
}

// beforeRecord is the failure of a try that ends before its key's record was
// looked at. This try was not sent, but an earlier one of its key may have been.
func beforeRecord(x *exchange, f *verdict.Error) *verdict.Error {
	if x.in.Header.Get(HeaderKey) == "" || f.Verdict() != verdict.NotRun {
		return f
	}
	return f.WithVerdict(verdict.MayHaveRun)
}

func (h *Handler) prepare(x *exchange) *verdict.Error {
	if x.in.Header.Get("Upgrade") != "" {
		return verdict.New(verdict.NotRun, verdict.ReasonBadRequest, "protocol upgrades are not passed on")
	}
	var failure *verdict.Error
	x.service, x.kind, failure = h.routes.Load().find(x.in)
	if failure != nil {
		return failure
	}
	x.deadline = deadline(x.in, x.began, x.kind.Deadline())
	if at := h.options.StopsAt(); at != nil && x.deadline.After(*at) {
		return verdict.New(verdict.NotRun, verdict.ReasonNotReady, "the box stops before the request's deadline").WithRetryAfter(shedPauseDefault)
	}
	return nil
}

// readBody takes in a small body whole, before a slot is asked for, so that a
// slow caller holds no slot. A larger one is streamed.
func (h *Handler) readBody(w http.ResponseWriter, x *exchange) *verdict.Error {
	limits := h.options.Limits
	most := limits.BufferBytes
	if x.kind.Mode == policy.Once {
		most = limits.OnceBytes
	}
	if x.in.ContentLength > limits.BodyBytes || x.kind.Mode == policy.Once && x.in.ContentLength > most {
		return tooLarge()
	}
	if x.in.Body == nil || x.in.Body == http.NoBody {
		return nil
	}
	_ = http.NewResponseController(w).SetReadDeadline(x.deadline)
	in := http.MaxBytesReader(w, x.in.Body, limits.BodyBytes)
	start, err := io.ReadAll(io.LimitReader(in, most+1))
	switch {
	case err != nil:
		return bodyFailure(err)
	case int64(len(start)) <= most:
		x.body = start
		return nil
	case x.kind.Mode == policy.Once:
		return tooLarge()
	}
	_ = http.NewResponseController(w).EnableFullDuplex()
	x.stream = io.MultiReader(bytes.NewReader(start), in)
	return nil
}

func tooLarge() *verdict.Error {
	return verdict.New(verdict.NotRun, verdict.ReasonBodyTooLarge, "the body is larger than this box or kind takes")
}

func bodyFailure(err error) *verdict.Error {
	var tooLong *http.MaxBytesError
	if errors.As(err, &tooLong) {
		return tooLarge()
	}
	return verdict.New(verdict.NotRun, verdict.ReasonBadRequest, "the body could not be read whole before the deadline").WithCause(err)
}
