package placement

import "time"

// contentionMemory is how long a request that found no target counts:
// some rounds of probes.
const contentionMemory = 500 * time.Millisecond

// Contention remembers which requests of a service lately found no target. It is
// not safe for concurrent use.
type Contention struct {
	waited map[int]time.Time // when one last did, by the route's priority
}

// NewContention makes one that remembers none.
func NewContention() *Contention { return &Contention{waited: map[int]time.Time{}} }

// Waited notes that a request of a priority, 0 the most urgent, found no target.
func (c *Contention) Waited(now time.Time, priority int) { c.waited[priority] = now }

// Yields says whether a request should leave the last slot of a target to more
// urgent ones, since such have lately found no target.
func (c *Contention) Yields(now time.Time, priority int) bool {
	for other, at := range c.waited {
		if other < priority && now.Sub(at) < contentionMemory {
			return true
		}
	}
	return false
}

// Contended says whether any request has lately found no target.
func (c *Contention) Contended(now time.Time) bool {
	for _, at := range c.waited {
		if now.Sub(at) < contentionMemory {
			return true
		}
	}
	return false
}
