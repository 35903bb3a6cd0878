package forward

import (
	"net/http"
	"strconv"

	"github.com/sprucecrank/sprucecrank/internal/gateway/upstream"
	"github.com/sprucecrank/sprucecrank/internal/headers"
	"github.com/sprucecrank/sprucecrank/verdict"
)

// pass gives the client a target's answer.
func (h *Handler) pass(w http.ResponseWriter, req *request, a *upstream.Answer) {
	headers.RemoveHopByHop(a.Header())
	out := w.Header()
	for name, values := range a.Header() {
		out[name] = values
	}
	out.Del(h.options.Names.Load)
	out.Del(h.options.Names.Limit)
	out.Del(h.options.Names.Leaving)
	out.Del(headerRelayReason) // it would read as a refusal of this gateway's
	if !a.Buffered() {
		h.stream(w, req, a)
		return
	}
	if req.in.Method != http.MethodHead {
		out.Set("Content-Length", strconv.Itoa(len(a.Body())))
	}
	w.WriteHeader(a.Status())
	if err := give(w, a); err != nil {
		// The client has left: the request's line says what it was to get.
		h.options.Log.Debug("answer not taken", "request", req.id, "error", err.Error())
	}
	h.report(req, a.Status(), nil)
}

// refuse gives the client an answer of the gateway's own. A client that has left
// gets none: its connection is broken off.
func (h *Handler) refuse(w http.ResponseWriter, req *request, f *verdict.Error) {
	if f.Reason() == verdict.ReasonClientGone {
		h.report(req, 0, f)
		panic(http.ErrAbortHandler)
	}
	if f.Reason() == verdict.ReasonQuarantined {
		h.options.Fatal.RecordRefusal(req.forQuarantine())
	}
	out := w.Header()
	out.Set(h.options.Names.RequestID, req.id)
	out.Set(verdict.Header, f.Verdict().String())
	if req.relayed != nil {
		h.explainRefusal(out, req, f)
	}
	if pause := f.RetryAfter(); pause > 0 {
		out.Set("Retry-After", strconv.FormatFloat(pause.Seconds(), 'f', 3, 64))
	}
	if f.Status() == http.StatusUnauthorized {
		out.Set("WWW-Authenticate", h.options.Names.KeyScheme)
	}
	out.Set("Content-Length", "0")
	w.WriteHeader(f.Status())
	h.report(req, f.Status(), f)
}

// explainRefusal tells the gateway that relayed a request why it is refused, by which version of the
// configuration, and which gateways serve its service.
func (h *Handler) explainRefusal(out http.Header, req *request, f *verdict.Error) {
	out.Set(headerRelayReason, string(f.Reason()))
	if req.config > 0 {
		out.Set(headerRelayConfig, strconv.FormatUint(req.config, 10))
	}
	if err := h.balancer.relays.refer(h.options.Clock(), req.service, out); err != nil {
		h.options.Log.Error("gateways that serve a service can't be named", "service", req.service, "error", err.Error())
	}
}
