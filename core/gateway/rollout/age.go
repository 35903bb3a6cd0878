package rollout

import (
	"time"

	"github.com/sprucecrank/sprucecrank/core/gateway/catalog"
)

const (
	// maxClockSkew is the assumed difference between the wall clocks of gateways, which can
	// be seconds. It is added to the age that a record's timestamp gives where this process
	// can't bound the age otherwise.
	maxClockSkew = 2 * time.Second
	// unknownAge is the age of an order that may have been pending for any length of time.
	// No age exceeds it, so that every gateway accepts a record with any age.
	unknownAge = catalog.MaxRolloutTime
)

// Ages estimates the ages of the orders. An estimate may be too high, but never too low, so
// that a version that is not proved healthy within its order's time is rolled back, and
// never after the deadline. It is not safe for concurrent use.
//
// A process that knew of all orders at some moment knows that any order that it learns of
// later is younger. A process that has just started relies on the record and the wall
// clock, and knows nothing about the age of an order without a record.
type Ages struct {
	orders map[string]orderAge
}

// orderAge holds the bounds that are known for the age of one order.
type orderAge struct {
	rollout catalog.Rollout
	// firstSeen is when the order was first seen, and minAge the lower bound of its age
	// then.
	firstSeen time.Time
	minAge    time.Duration
	// boundAt and maxAge are a moment and the upper bound of the order's age at that
	// moment.
	boundAt time.Time
	maxAge  time.Duration
}

// NewAges returns an Ages without orders.
func NewAges() *Ages { return &Ages{orders: map[string]orderAge{}} }

// Observe records an order's known state. now carries the readings of the monotonic and the
// wall clock; confirmed is the latest moment, before this process saw the order in this
// state, at which its view of rollouts was complete, zero for never.
func (a *Ages) Observe(now time.Time, r catalog.Rollout, confirmed time.Time) {
	r.Elapsed = min(r.Elapsed, unknownAge) // gateways of earlier versions may pass on more
	o, known := a.orders[r.Service]
	switch {
	case known && !isNewOrder(o.rollout, r):
		// A confirmation gives no bound for a record that was seen before it.
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

// isNewOrder reports whether r is another order than the one seen previously.
func isNewOrder(previous, r catalog.Rollout) bool {
	return r.Version != previous.Version || previous.State.Final() && !r.State.Final() || r.Elapsed < previous.Elapsed
}

// maxRecordedAge returns an upper bound of an order's age by its record.
func maxRecordedAge(now time.Time, r catalog.Rollout, confirmed time.Time) time.Duration {
	if r.State == catalog.RolloutOrdered {
		return unknownAge
	}
	sinceRecord := min(max(now.Sub(time.UnixMilli(r.At)), 0), unknownAge) + maxClockSkew
	return r.Elapsed + min(sinceRecord, elapsedSince(now, confirmed))
}

// elapsedSince returns the time since moment, or unknownAge if moment is zero.
func elapsedSince(now, moment time.Time) time.Duration {
	if moment.IsZero() {
		return unknownAge
	}
	return now.Sub(moment)
}

// tighten applies an upper bound that holds now, if it is lower than the known one.
func (o *orderAge) tighten(now time.Time, bound time.Duration) {
	if bound < o.at(now) {
		o.boundAt, o.maxAge = now, bound
	}
}

// at returns the known upper bound of the order's age at now.
func (o *orderAge) at(now time.Time) time.Duration {
	age := max(o.maxAge+now.Sub(o.boundAt), o.minAge+now.Sub(o.firstSeen))
	return min(age, unknownAge)
}

// Forget drops the order of a service whose order was deleted or replaced.
func (a *Ages) Forget(service string) { delete(a.orders, service) }

// Age returns an upper bound of the age of a service's order.
func (a *Ages) Age(now time.Time, service string) time.Duration {
	o, known := a.orders[service]
	if !known {
		return unknownAge
	}
	return o.at(now)
}
