package delivery

import "time"

// minTakeoverInterval is the shortest time between two takeovers of a rollout by one
// gateway; it doubles with each. Two gateways that read the store and can't reach each
// other keep taking over from each other: eight times in a rollout of a quarter of a
// minute.
const minTakeoverInterval = time.Second

// deciderStatus is what is known about whether a gateway decides, by its reply to a report.
type deciderStatus uint8

const (
	_ deciderStatus = iota // no report was sent yet
	// unreachable: it did not reply.
	unreachable
	// notDeciding: it replied that it does not decide.
	notDeciding
	// deciding: it replied that it does.
	deciding
)

// deciderReply is how a decider replied to the latest report.
type deciderReply struct {
	from   decider
	status deciderStatus
}

// shouldTakeOver reports whether this gateway, which reads the store, must take over a
// rollout from its decider; the lock is held.
func (d *Delivery) shouldTakeOver(now time.Time, c *trackedRollout) bool {
	hasDecider := c.order.Decider != "" && c.order.Peer != ""
	isLost := c.lastReply.from == c.decider() && (c.lastReply.status == unreachable || c.lastReply.status == notDeciding)
	if hasDecider && !isLost {
		return false
	}
	pause := minTakeoverInterval << max(0, min(c.takeovers, maxDoublings)-1)
	return c.takeovers == 0 || now.Sub(c.lastTakeover) >= pause
}
