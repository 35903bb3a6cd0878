package rollout

import (
	"math"
	"time"

	"github.com/sprucecrank/sprucecrank/core/gateway/catalog"
)

const (
	// maxClockSkew is by how much a record may be older than the wall clocks say, where this
	// process can't bound its age otherwise: clocks of gateways differ by seconds.
	maxClockSkew = 2 * time.Second
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
	orders map[string]orderAge
}

// orderAge is what is known of one order's age.
type orderAge struct {
	rollout catalog.Rollout
	// firstSeen is when it was learnt of, and least how old it was then at least.
	firstSeen time.Time
	minAge time.Duration
	// boundAt and bound are a moment, and how old the order was then at most.
	boundAt    time.Time
	maxAge time.Duration
}

// NewAges makes one that knows of no order.
func NewAges() *Ages { return &Ages{orders: map[string]orderAge{}} }

// Observe takes in an order as it is believed. now carries the readings of the monotonic and
// the wall clock; confirmed is the latest moment, before this process learnt of the order
// as it is, at which its knowledge of rollouts was complete, zero for never.
func (a *Ages) Observe(now time.Time, r catalog.Rollout, confirmed time.Time) {
	o, known := a.orders[r.Service]
	switch {
	case known && !isNewOrder(o.rollout, r):
		// Of a record that was learnt of before, what is confirmed since says nothing.
		if r.Elapsed != o.rollout.Elapsed || r.At != o.rollout.At {
			o.tighten(now, maxRecordedAge(now, r, confirmed))
		}
	default:
		bound := min(elapsedSince(now, confirmed), maxRecordedAge(now, r, confirmed))
		o = orderAge{firstSeen: now, minAge: r.Elapsed, boundAt: now, maxAge: max(bound, r.Elapsed)}
	}
	o.rollout = r
	a.orders[r.Service] = o
}

// isNewOrder says whether r is another order than the one that was believed before.
func isNewOrder(previous, r catalog.Rollout) bool {
	return r.Version != previous.Version || previous.State.Final() && !r.State.Final() || r.Elapsed < previous.Elapsed
}

// maxRecordedAge is how old an order is at most by its record.
func maxRecordedAge(now time.Time, r catalog.Rollout, confirmed time.Time) time.Duration {
	if r.State == catalog.RolloutOrdered {
		return unknownAge
	}
	wallClockAge := max(now.Sub(time.UnixMilli(r.At)), 0) + maxClockSkew
	return r.Elapsed + min(wallClockAge, elapsedSince(now, confirmed))
}

// elapsedSince is how long ago a moment was that may never have been.
func elapsedSince(now, moment time.Time) time.Duration {
	if moment.IsZero() {
		return unknownAge
	}
	return now.Sub(moment)
}

// tighten takes in a bound that holds now, if it is less than what was known.
func (o *orderAge) tighten(now time.Time, bound time.Duration) {
	if bound < o.at(now) {
		o.boundAt, o.maxAge = now, bound
	}
}

// at is how old the order is, by what is known.
func (o *orderAge) at(now time.Time) time.Duration {
	elapsed := now.Sub(o.boundAt)
	if o.maxAge > unknownAge-elapsed {
		return unknownAge
	}
	return max(o.maxAge+elapsed, o.minAge+now.Sub(o.firstSeen))
}

// Forget drops the order of a service that is gone.
func (a *Ages) Forget(service string) { delete(a.orders, service) }

// Age is how old the order of a service is.
func (a *Ages) Age(now time.Time, service string) time.Duration {
	o, known := a.orders[service]
	if !known {
		return unknownAge
	}
	return o.at(now)
}
