package quota

import "time"

const (
	// creditTTL is how long credit may be used that was given for more requests than still
	// wait, or that a request gave back since it did not run: much less than the windows of
	// seconds for which limits hold.
	creditTTL = 500 * time.Millisecond
	// maxCredit and maxRefused bound what a gateway holds for one subject: credit, and refused
	// requests that it asks for later.
	maxCredit  = 64
	maxRefused = 64
)

// Decision is what a Borrower says of a request.
type Decision int

// Answers.
const (
	// AskHome says that the home must be asked.
	AskHome Decision = iota
	// Admit says that there is credit, which was taken.
	Admit
	// Refuse says that there is none for a while.
	Refuse
)

// LocalCredit is what a gateway knows of the credit of one subject. It is not safe for
// concurrent use.
type LocalCredit struct {
	// expiries holds until when each request's worth may be used, the first to end first.
	expiries []time.Time
	// refused are requests that were refused since the home was last asked.
	refused    int
	pauseUntil time.Time
	permille   int
	lastUsed   time.Time
}

// Use says what is to be done with a request, and takes the credit for it if there is any.
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

// PauseUntil has no home asked until a moment.
func (c *LocalCredit) PauseUntil(until time.Time) { c.pauseUntil = until }

// ShortenPause shortens the pause to a part of what is left of it, for a limit that has risen: those
// that wait come sooner, and not all at once.
func (c *LocalCredit) ShortenPause(now time.Time, factor float64) {
	c.pauseUntil = now.Add(time.Duration(factor * float64(c.PauseLeft(now))))
}

// ExhaustedFor is for how long there is no credit to be had; 0 if there may be some.
func (c *LocalCredit) ExhaustedFor(now time.Time) time.Duration {
	if n := len(c.expiries); n > 0 && now.Before(c.expiries[n-1]) {
		return 0
	}
	return c.PauseLeft(now)
}

// IsIdle says whether nothing is lost by forgetting the borrower: nobody has used it for long.
func (c *LocalCredit) IsIdle(now time.Time) bool { return now.Sub(c.lastUsed) > forgetAfter }

// Return gives back the credit of a request that did not run and never will.
func (c *LocalCredit) Return(now time.Time) { c.add(now, 1) }

func (c *LocalCredit) add(now time.Time, count int) {
	for range min(count, maxCredit-len(c.expiries)) {
		c.expiries = append(c.expiries, now.Add(creditTTL))
	}
}

// Demand is for how many requests to ask, of which some wait: those that were refused show
// what will come.
func (c *LocalCredit) Demand(waiting int) int { return waiting + c.refused }

// AddGrant takes in what the home gave, of which the requests that waited have their part. It
// returns how many of these may go on.
func (c *LocalCredit) AddGrant(now time.Time, g Grant, waiting int) (admitted int) {
	c.refused = 0
	admitted = min(g.Count, waiting)
	c.add(now, g.Count-admitted)
	if g.Pause > 0 {
		c.pauseUntil, c.permille = now.Add(g.Pause), g.Permille
	}
	return admitted
}

// Permille is the part of the limit that the home gave out when there was too little last, in
// thousandths.
func (c *LocalCredit) Permille() int { return c.permille }

// PauseLeft is for how long there is nothing to be had.
func (c *LocalCredit) PauseLeft(now time.Time) time.Duration { return max(c.pauseUntil.Sub(now), 0) }
