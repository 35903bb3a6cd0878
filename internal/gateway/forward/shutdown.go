package forward

import (
	"sync/atomic"
	"time"

	"github.com/sprucecrank/sprucecrank/core/gateway/shutdown"
	"github.com/sprucecrank/sprucecrank/verdict"
)

// shutdownEnd is when the gateway cuts off what is still in flight; zero while it does not stop.
type shutdownEnd struct{ at atomic.Pointer[time.Time] }

func (e *shutdownEnd) get() time.Time {
	if at := e.at.Load(); at != nil {
		return *at
	}
	return time.Time{}
}

// StopAt makes the handler refuse requests that can't be expected to end by then, and answer
// those that are in flight at that moment as given up.
func (h *Handler) StopAt(end time.Time) {
	h.balancer.end.at.Store(&end)
	time.AfterFunc(end.Sub(h.options.Clock()), h.giveUpAll)
}

// giveUpAll ends what is done for all requests.
func (h *Handler) giveUpAll() {
	count := h.underWay.expireAll()
	if count > 0 {
		h.options.Metrics.Cut(int64(count))
		h.options.Log.Error("requests were given up since the time for stopping ran out", "active", count)
	}
}

// expireAll ends what is done for all requests, and returns how many they are.
func (u *underWay) expireAll() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	for r := range u.requests {
		r.expire()
	}
	return len(u.requests)
}

// errStopping says that the gateway stops before the request can be expected to end. Other
// gateways can serve it.
var errStopping = verdict.New(verdict.NotRun, verdict.ReasonNotReady, "the gateway stops before the request can be expected to end")

// stopsBefore is the refusal of a request that the gateway can't be expected to answer before it
// stops; nil for all others. It is asked while a request waits, and before each send.
func (b *balancer) stopsBefore(req *request) *verdict.Error {
	end := b.end.get()
	if end.IsZero() {
		return nil
	}
	allowed := shutdown.Allows(shutdown.Request{
		Now: b.options.Clock(), End: end, Deadline: req.deadline.Request(), Longest: b.services.get(req.service).longest(req.route),
	})
	if allowed {
		return nil
	}
	return errStopping
}
