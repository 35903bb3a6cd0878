package rollout

import (
	"math"
	"time"

	"github.com/sprucecrank/sprucecrank/core/gateway/catalog"
)

const (
	// clockError is by how much a record may be older than the wall clocks say, where this
	// process can't bound its age otherwise: clocks of gateways differ by seconds.
	clockError = 2 * time.Second
	// unknownAge is that of an order that may have waited for any time.
	unknownAge = time.Duration(math.MaxInt64)
)

// Ages holds how old the orders are, rather too old than too young: what is not proved
// when its time is over is rolled back, and never late. It is not safe for concurrent use.
//
// A process that knew all orders at some moment knows that whatever it learns of later is
// younger. One that has just begun goes by the record and the wall clock, and of an order
// without a record knows nothing.
type Ages struct {
	orders map[string]observed
}

// observed is what is known of one order's age.
type observed struct {
	rollout catalog.Rollout
	// first is when it was learnt of, and least how old it was then at least.
	first time.Time
	least time.Duration
	// by and bound are a moment, and how old the order was then at most.
	by    time.Time
	bound time.Duration
}

// NewAges makes one that knows of no order.
func NewAges() *Ages { return &Ages{orders: map[string]observed{}} }

// Note takes in an order as it is believed. now carries the readings of the monotonic and
// the wall clock; confirmed is the latest moment, before this process learnt of the order
// as it is, at which its knowledge of rollouts was complete, zero for never.
func (a *Ages) Note(now time.Time, r catalog.Rollout, confirmed time.Time) {
	h, known := a.orders[r.Service]
	switch {
	case known && !isNewOrder(h.rollout, r):
		// Of a record that was learnt of before, what is confirmed since says nothing.
		if r.Elapsed != h.rollout.Elapsed || r.At != h.rollout.At {
			h.tighten(now, recordedBound(now, r, confirmed))
		}
	default:
		bound := min(since(now, confirmed), recordedBound(now, r, confirmed))
		h = observed{first: now, least: r.Elapsed, by: now, bound: max(bound, r.Elapsed)}
	}
	h.rollout = r
	a.orders[r.Service] = h
}

// isNewOrder says whether r is another order than the one that was believed before.
func isNewOrder(before, r catalog.Rollout) bool {
	return r.Version != before.Version || before.State.Final() && !r.State.Final() || r.Elapsed < before.Elapsed
}

// recordedBound is how old an order is at most by its record.
func recordedBound(now time.Time, r catalog.Rollout, confirmed time.Time) time.Duration {
	if r.State == catalog.RolloutOrdered {
		return unknownAge
	}
	byClock := max(now.Sub(time.UnixMilli(r.At)), 0) + clockError
	return r.Elapsed + min(byClock, since(now, confirmed))
}

// since is how long ago a moment was that may never have been.
func since(now, then time.Time) time.Duration {
	if then.IsZero() {
		return unknownAge
	}
	return now.Sub(then)
}

// tighten takes in a bound that holds now, if it is less than what was known.
func (h *observed) tighten(now time.Time, bound time.Duration) {
	if bound < h.at(now) {
		h.by, h.bound = now, bound
	}
}

// at is how old the order is, by what is known.
func (h *observed) at(now time.Time) time.Duration {
	passed := now.Sub(h.by)
	if h.bound > unknownAge-passed {
		return unknownAge
	}
	return max(h.bound+passed, h.least+now.Sub(h.first))
}

// Forget drops the order of a service that is gone.
func (a *Ages) Forget(service string) { delete(a.orders, service) }

// Of is how old the order of a service is.
func (a *Ages) Of(now time.Time, service string) time.Duration {
	h, known := a.orders[service]
	if !known {
		return unknownAge
	}
	return h.at(now)
}
