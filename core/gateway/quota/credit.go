package quota

import "time"

const (
	// creditTTL is how long surplus credit may be used: credit granted for more requests than
	// are still waiting, or returned for a request that did not run. It is much shorter than
	// the windows of several seconds over which limits are enforced.
	creditTTL = 500 * time.Millisecond
	// maxCredit and maxRefused bound, for one subject, the credit that a gateway holds and the
	// refused requests that it adds to its next credit request.
	maxCredit  = 64
	maxRefused = 64
)

// Decision is the result of LocalCredit.Use for a request.
type Decision int

const (
	// AskHome means that the home must be asked for credit.
	AskHome Decision = iota
	// Admit means that there was credit, which has been consumed.
	Admit
	// Refuse means that there is no credit for now, and none to be asked for.
	Refuse
)

// LocalCredit is the credit that a gateway holds for one subject. It is not safe for concurrent
// use.
type LocalCredit struct {
	// expiries holds the expiry time of each request's credit, earliest first.
	expiries []time.Time
	// refused counts the requests refused since the home was last asked.
	refused    int
	pauseUntil time.Time
	permille   int
	lastUsed   time.Time
}

// Use decides whether a request is admitted, and consumes credit for it if there is any.
func (c *LocalCredit) Use(now time.Time) Decision {
	c.lastUsed = now
	for len(c.expiries) > 0 && !now.Before(c.expiries[0]) {
		c.expiries = c.expiries[1:]
	}
	switch {
	case len(c.expiries) > 0:
		c.expiries = c.expiries[1:]
		return Admit
	case now.Before(c.pauseUntil):
		c.refused = min(c.refused+1, maxRefused)
		return Refuse
	default:
		return AskHome
	}
}

// PauseUntil prevents credit requests to the home until a given time.
func (c *LocalCredit) PauseUntil(until time.Time) { c.pauseUntil = until }

// ShortenPause multiplies the rest of the pause by a factor, after a limit was raised: paused
// gateways ask sooner, but not all at once.
func (c *LocalCredit) ShortenPause(now time.Time, factor float64) {
	c.pauseUntil = now.Add(time.Duration(factor * float64(c.PauseLeft(now))))
}

// ExhaustedFor returns for how long no credit will be available; 0 if there may be some.
func (c *LocalCredit) ExhaustedFor(now time.Time) time.Duration {
	if n := len(c.expiries); n > 0 && now.Before(c.expiries[n-1]) {
		return 0
	}
	return c.PauseLeft(now)
}

// IsIdle reports whether the credit was unused for so long that it can be dropped without loss.
func (c *LocalCredit) IsIdle(now time.Time) bool { return now.Sub(c.lastUsed) > forgetAfter }

// Return gives back the credit of a request that did not run and never will.
func (c *LocalCredit) Return(now time.Time) { c.add(now, 1) }

func (c *LocalCredit) add(now time.Time, count int) {
	for range min(count, maxCredit-len(c.expiries)) {
		c.expiries = append(c.expiries, now.Add(creditTTL))
	}
}

// Demand returns how many requests to ask credit for, given the number that wait. Recently
// refused requests are included as an estimate of those to come.
func (c *LocalCredit) Demand(waiting int) int { return waiting + c.refused }

// AddGrant adds the credit that the home granted, of which the waiting requests consume their
// share. It returns how many of these are admitted.
func (c *LocalCredit) AddGrant(now time.Time, g Grant, waiting int) (admitted int) {
	c.refused = 0
	admitted = min(g.Count, waiting)
	c.add(now, g.Count-admitted)
	if g.Pause > 0 {
		c.pauseUntil, c.permille = now.Add(g.Pause), g.Permille
	}
	return admitted
}

// Permille returns the share of the limit, in thousandths, that the home distributed when it
// last granted less than was asked for.
func (c *LocalCredit) Permille() int { return c.permille }

// PauseLeft returns for how long no credit can be asked for.
func (c *LocalCredit) PauseLeft(now time.Time) time.Duration { return max(c.pauseUntil.Sub(now), 0) }
