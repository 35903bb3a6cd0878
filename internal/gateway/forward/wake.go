package forward

import (
	"context"
	"sync"
	"time"

	"github.com/sprucecrank/sprucecrank/verdict"
)

// underWay holds the requests that are bounded by their deadlines.
type underWay struct {
	mu       sync.Mutex
	requests map[*request]struct{}
}

func (u *underWay) add(r *request) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.requests[r] = struct{}{}
}

func (u *underWay) remove(r *request) {
	u.mu.Lock()
	defer u.mu.Unlock()
	delete(u.requests, r)
}

// Wake ends what is done for requests whose deadlines have passed: it should be called when
// the machine was suspended, which the timers don't count.
func (h *Handler) Wake() {
	now := h.options.Clock()
	h.underWay.mu.Lock()
	defer h.underWay.mu.Unlock()
	for r := range h.underWay.requests {
		if !now.Before(r.deadline.Request()) {
			r.expire()
		}
	}
}

// bound makes the context of what is done for a request: it ends with its deadline, or with
// the request.
func (h *Handler) bound(req *request) context.Context {
	ctx, cancel := context.WithCancelCause(req.in.Context())
	req.expire = func() { cancel(context.DeadlineExceeded) }
	timer := time.AfterFunc(req.deadline.Request().Sub(h.options.Clock()), req.expire)
	h.underWay.add(req)
	req.end = func() {
		timer.Stop()
		h.underWay.remove(req)
		cancel(nil)
	}
	return ctx
}

// overdue is the refusal of a request whose deadline has passed; nil for all others. It is
// asked before each send: the machine may have been suspended since its timer was set.
func (b *balancer) overdue(req *request) *verdict.Error {
	if b.options.Clock().Before(req.deadline.Request()) {
		return nil
	}
	return tooLate()
}

func tooLate() *verdict.Error {
	return verdict.New(verdict.NotRun, verdict.ReasonTooLate, "the deadline passed before a target was found")
}
