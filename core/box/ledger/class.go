package ledger

import "time"

const (
	rateWindow = 500 * time.Millisecond
	// busyFor is how long a class must have waited without a break before its
	// rate says how fast it is served; before that, it says how fast it comes.
	busyFor = time.Second
)

// class measures how fast the queued asks of one weight are served.
type class struct {
	waiting   int
	busySince time.Time
	window    time.Time
	served    int
	rate      float64 // asks a second, smoothed; 0 when unknown
}

func (c *class) join(now time.Time) {
	if c.waiting == 0 {
		c.busySince = now
		c.window = now
		c.served = 0
		c.rate = 0
	}
	c.waiting++
}

// leave notes that an ask waits no more; granted says whether it was served.
func (c *class) leave(now time.Time, granted bool) {
	c.waiting--
	if granted {
		c.served++
	}
	if took := now.Sub(c.window); took >= rateWindow {
		c.rate = smooth(c.rate, float64(c.served)/took.Seconds())
		c.window = now
		c.served = 0
	}
}

// wait is how long the class takes to serve those that wait and one more; 0
// when too little is known.
func (c *class) wait(now time.Time) time.Duration {
	if c.waiting == 0 || c.rate == 0 || now.Sub(c.busySince) < busyFor {
		return 0
	}
	return time.Duration(float64(c.waiting+1) / c.rate * float64(time.Second))
}
