package forward

import (
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/sprucecrank/sprucecrank/core/gateway/deadline"
	"github.com/sprucecrank/sprucecrank/verdict"
)

// maxRelayed is how many relayed requests a gateway serves at the same time: those of a few
// gateways like itself. Beyond that its own clients would wait for them.
const maxRelayed = 64

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
