package delivery

import "time"

// takeoverPause is the least time between two takeovers of a rollout by one gateway; it
// doubles with each. Two that read the store and can't reach each other go on taking over
// from each other: eight times in a rollout of a quarter of a minute.
const takeoverPause = time.Second

// stance is what is known of whether a gateway decides, by its answer to a report.
type stance uint8

const (
	_ stance = iota // nothing: it was not asked yet
	// silent: it did not answer.
	silent
	// declines: it answered that it does not decide.
	declines
	// affirms: it answered that it does.
	affirms
)

// answer is how a gateway that was named to decide answered the latest report.
type answer struct {
	from   decider
	stance stance
}

// takesOver says whether this gateway, which reads the store, takes a rollout over from
// the one that is named; the lock is held.
func (d *Delivery) takesOver(now time.Time, c *course) bool {
	named := c.order.Decider != "" && c.order.Peer != ""
	gone := c.told.from == c.decider() && (c.told.stance == silent || c.told.stance == declines)
	if named && !gone {
		return false
	}
	pause := takeoverPause << max(0, min(c.takeovers, maxDoublings)-1)
	return c.takeovers == 0 || now.Sub(c.takenOver) >= pause
}
