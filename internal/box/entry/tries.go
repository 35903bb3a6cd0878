package entry

import (
	"context"
	"net/http"
	"sync"
	"time"

	"go.opentelemetry.io/otel/attribute"

	"github.com/sprucecrank/sprucecrank/core/box/budget"
	"github.com/sprucecrank/sprucecrank/core/box/health"
	"github.com/sprucecrank/sprucecrank/internal/box/grant"
	"github.com/sprucecrank/sprucecrank/verdict"
)

const (
	mostTries       = 3
	retryPerSuccess = 0.1
	retryMost       = 10
)

// budgets holds the share of extra tries of each service.
type budgets struct {
	mu     sync.Mutex
	shares map[string]*budget.RetryBudget
}

func newBudgets() *budgets { return &budgets{shares: map[string]*budget.RetryBudget{}} }

func (b *budgets) with(service string, f func(*budget.RetryBudget)) {
	b.mu.Lock()
	defer b.mu.Unlock()
	share, ok := b.shares[service]
	if !ok {
		share = budget.NewRetryBudget(retryPerSuccess, retryMost)
		b.shares[service] = share
	}
	f(share)
}

func (b *budgets) earn(service string) { b.with(service, (*budget.RetryBudget).Earn) }

func (b *budgets) spend(service string) (ok bool) {
	b.with(service, func(s *budget.RetryBudget) { ok = s.Spend() })
	return ok
}

// try is one send with its slot.
type try struct {
	slot    *grant.Slot
	began   time.Time
	cancel  context.CancelFunc
	reply   *reply
	failure *verdict.Error
}

// serveTries sends the request until a target answers, as often as verdicts,
// budget and deadline allow.
func (h *Handler) serveTries(ctx context.Context, w http.ResponseWriter, x *exchange) verdict.Verdict {
	worst := verdict.NotRun
	var avoid []string
	for n := 1; ; n++ {
		slot, failure := h.acquire(ctx, x, avoid, false)
		if failure != nil {
			return h.fail(w, x, weaken(failure, worst))
		}
		t := h.race(ctx, x, slot, avoid)
		if t.failure == nil {
			return h.relay(w, x, t)
		}
		if t.failure.Verdict() != verdict.NotRun {
			worst = verdict.MayHaveRun
		}
		avoid = append(avoid, t.slot.Target())
		if n == mostTries || !h.mayRetry(ctx, x, t.failure) {
			return h.fail(w, x, weaken(t.failure, worst))
		}
	}
}

// weaken keeps a later refusal from hiding that an earlier try may have run.
func weaken(f *verdict.Error, worst verdict.Verdict) *verdict.Error {
	if worst == verdict.MayHaveRun && f.Verdict() == verdict.NotRun {
		return f.WithVerdict(verdict.MayHaveRun)
	}
	return f
}

func (h *Handler) mayRetry(ctx context.Context, x *exchange, f *verdict.Error) bool {
	if ctx.Err() != nil || x.stream != nil {
		return false
	}
	if f.Reason() == verdict.ReasonUnreachable && f.Verdict() == verdict.NotRun {
		return true // cost no target anything; mostTries bounds it
	}
	allowed := f.Verdict() == verdict.NotRun || x.repeatable()
	return allowed && h.budgets.spend(x.service.Name)
}

func (h *Handler) acquire(ctx context.Context, x *exchange, avoid []string, spareOnly bool) (*grant.Slot, *verdict.Error) {
	ctx, span := h.options.Telemetry.Start(ctx, "ask", attribute.Bool("spare_only", spareOnly))
	defer span.End()
	slot, failure := h.options.Broker.Acquire(ctx, grant.Request{
		Service: x.service, Kind: x.kind, Deadline: x.deadline, Avoid: avoid, SpareOnly: spareOnly,
	})
	if failure == nil {
		h.options.Telemetry.Wait(ctx, x.service.Name, slot.Waited())
		span.SetAttributes(attribute.String("target", slot.Target()), attribute.String("home", slot.Home()))
	}
	return slot, failure
}

// race sends the request and, for a kind that hedges, once more when the first
// try is slower than usual. It returns the try that answered first; the other
// is cancelled and its slot goes back when it has ended.
func (h *Handler) race(ctx context.Context, x *exchange, slot *grant.Slot, avoid []string) *try {
	results := make(chan *try, 2)
	first := h.begin(ctx, x, slot, results)
	if !x.kind.Hedge || !x.repeatable() || slot.HedgeAfter() == 0 {
		return <-results
	}
	timer := time.NewTimer(slot.HedgeAfter())
	defer timer.Stop()
	select {
	case t := <-results:
		return t
	case <-timer.C:
	}
	second := h.hedge(ctx, x, append(avoid, slot.Target()), results)
	if second == nil {
		return <-results
	}
	return h.settle(results, first, second)
}

// hedge begins a second try if the budget and a free slot allow it.
func (h *Handler) hedge(ctx context.Context, x *exchange, avoid []string, results chan *try) *try {
	if !h.budgets.spend(x.service.Name) {
		return nil
	}
	slot, failure := h.acquire(ctx, x, avoid, true)
	if failure != nil {
		return nil
	}
	return h.begin(ctx, x, slot, results)
}

// settle takes the first good answer of two tries and ends the other.
func (h *Handler) settle(results chan *try, first, second *try) *try {
	winner := <-results
	if winner.failure != nil {
		return lastOf(<-results, winner)
	}
	loser := first
	if winner == first {
		loser = second
	}
	loser.cancel()
	go func() {
		if t := <-results; t.failure == nil {
			_ = t.reply.response.Body.Close()
			h.release(t, health.Cancelled)
		}
	}()
	return winner
}

// lastOf is the try that is left after another failed. Should it have failed,
// too, then neither may hide that the other may have run.
func lastOf(left, failed *try) *try {
	if left.failure != nil {
		left.failure = weaken(left.failure, failed.failure.Verdict())
	}
	return left
}

// begin starts a try; it comes out of results when its head or failure is known.
func (h *Handler) begin(ctx context.Context, x *exchange, slot *grant.Slot, results chan<- *try) *try {
	ctx, cancel := context.WithCancel(ctx)
	t := &try{slot: slot, began: h.options.Clock(), cancel: cancel}
	go func() {
		h.await(ctx, x, t)
		results <- t
	}()
	return t
}

// await fills in the outcome of a try. The slot of a failed one goes back here;
// that of an answered one when its body has been passed on.
func (h *Handler) await(ctx context.Context, x *exchange, t *try) {
	ctx, span := h.options.Telemetry.Start(ctx, "try", attribute.String("target", t.slot.Target()))
	defer span.End()
	t.reply, t.failure = h.send(ctx, x, t.slot.Target())
	if t.failure != nil {
		h.options.Telemetry.Try(ctx, x.service.Name, string(resultOfFailure(t.failure)))
		t.cancel()
		h.release(t, resultOfFailure(t.failure))
		return
	}
	h.options.Telemetry.Try(ctx, x.service.Name, string(resultOf(t.reply)))
	if t.reply.shed {
		t.failure = shedFailure(t.reply.response)
		_ = t.reply.response.Body.Close()
		t.cancel()
		h.release(t, health.Shed)
	}
}

func (h *Handler) release(t *try, result health.Result) {
	var response *http.Response
	if t.reply != nil {
		response = t.reply.response
	}
	h.options.Broker.Release(t.slot, h.outcome(response, result, h.options.Clock().Sub(t.began)))
}
