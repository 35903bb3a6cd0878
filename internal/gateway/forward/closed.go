package forward

import (
	"maps"
	"slices"
	"time"

	"github.com/sprucecrank/sprucecrank/core/gateway/catalog"
)

// closure is why a target takes nothing for now.
type closure struct {
	// left is for how long; 0 where that is not known.
	left time.Duration
	// backingOff says that the target asked for back-off; else it has no credit by the limit that
	// it names.
	backingOff bool
}

// closed are the targets that a request passes over by what they said of themselves: those that
// asked for back-off, those without credit by the limits that they name, and all that name limits
// once it was denied by enough of them.
func (b *balancer) closed(req *request) map[catalog.Life]closure {
	backingOff, limited := b.options.Signals.BackOffs(), b.options.Quota.TargetPauses()
	if len(backingOff)+len(limited) == 0 {
		return nil
	}
	if req.denied.Load() < maxDenied {
		maps.DeleteFunc(limited, func(_ catalog.Life, left time.Duration) bool { return left == 0 })
	}
	closed := make(map[catalog.Life]closure, len(backingOff)+len(limited))
	for life, left := range limited {
		closed[life] = closure{left: min(left, maxCreditIn)}
	}
	for life, left := range backingOff {
		closed[life] = closure{left: left, backingOff: true}
	}
	return closed
}

// closedCount is how many targets a request passes over.
type closedCount struct {
	// count holds those that the request avoids as well; it is 0 if no target is closed.
	count      int
	backingOff int
	// opensIn is when the first of them may take a request; 0 where that is not known.
	opensIn time.Duration
}

// countClosed counts the targets among some that a request passes over.
func (b *balancer) countClosed(req *request, targets []catalog.Target) (n closedCount) {
	closed := b.closed(req)
	if len(closed) == 0 {
		return closedCount{} // no look through all targets where all take requests
	}
	avoided := 0
	for _, t := range targets {
		c, ok := closed[t.Life()]
		switch {
		case ok:
			n.count++
			n.opensIn = earlier(n.opensIn, c.left)
		case slices.Contains(req.avoid, t.Life()):
			avoided++
		}
		if c.backingOff {
			n.backingOff++
		}
	}
	if n.count > 0 {
		n.count += avoided
	}
	return n
}

// earlier is the shorter of two times, of which 0 is not known.
func earlier(a, b time.Duration) time.Duration {
	if a == 0 || b == 0 {
		return max(a, b)
	}
	return min(a, b)
}
