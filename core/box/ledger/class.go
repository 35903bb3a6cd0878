package ledger

import "time"

const (
	rateWindow = 500 * time.Millisecond
	// minBusyTime is how long a class must have waited without a break before its
	// rate says how fast it is served; before that, it says how fast it comes.
	minBusyTime = time.Second
)

// weightClass measures how fast the queued asks of one weight are served.
type weightClass struct {
	queued      int
	busySince   time.Time
	windowStart time.Time
	served      int
	rate        float64 // asks a second, smoothed; 0 when unknown
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

// leave notes that an ask waits no more; granted says whether it was served.
func (c *weightClass) leave(now time.Time, granted bool) {
	c.queued--
	if granted {
		c.served++
	}
	if took := now.Sub(c.windowStart); took >= rateWindow {
		c.rate = ewma(c.rate, float64(c.served)/took.Seconds())
		c.windowStart = now
		c.served = 0
	}
}

// predictWait is how long the class takes to serve those that predictWait and one more; 0
// when too little is known.
func (c *weightClass) predictWait(now time.Time) time.Duration {
	if c.queued == 0 || c.rate == 0 || now.Sub(c.busySince) < minBusyTime {
		return 0
	}
	return time.Duration(float64(c.queued+1) / c.rate * float64(time.Second))
}
