package ledger

import "time"

const (
	rateWindow = 500 * time.Millisecond
	// minBusyTime is how long the queue of a class must have been non-empty
	// before its rate is a service rate; until then it is the arrival rate.
	minBusyTime = time.Second
)

// weightClass measures how fast the queued requests of one weight are served.
type weightClass struct {
	queued      int
	busySince   time.Time
	windowStart time.Time
	served      int
	rate        float64 // requests a second, smoothed; 0 when unknown
}

func (c *weightClass) join(now time.Time) {
	if c.queued == 0 {
		c.busySince = now
		c.windowStart = now
		c.served = 0
		c.rate = 0
	}
	c.queued++
}

// leave records that a request left the queue; granted says whether it was served.
func (c *weightClass) leave(now time.Time, granted bool) {
	c.queued--
	if granted {
		c.served++
	}
	if elapsed := now.Sub(c.windowStart); elapsed >= rateWindow {
		c.rate = ewma(c.rate, float64(c.served)/elapsed.Seconds())
		c.windowStart = now
		c.served = 0
	}
}

// predictWait is how long the class takes to serve its queued requests and one
// more; 0 when too little is known.
func (c *weightClass) predictWait(now time.Time) time.Duration {
	if c.queued == 0 || c.rate == 0 || now.Sub(c.busySince) < minBusyTime {
		return 0
	}
	return time.Duration(float64(c.queued+1) / c.rate * float64(time.Second))
}
