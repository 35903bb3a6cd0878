package placement

import "time"

// contentionWindow is how long a request that found no target counts as contention: a few
// rounds of probes.
const contentionWindow = 500 * time.Millisecond

// Contention records which priorities of a service's requests recently found no target.
// It is not safe for concurrent use.
type Contention struct {
	blocked map[int]time.Time // time of the latest such request, by the route's priority
}

// NewContention returns a Contention with nothing recorded.
func NewContention() *Contention { return &Contention{blocked: map[int]time.Time{}} }

// RecordUnplaced records that a request of the given priority (0 is the most urgent)
// found no target.
func (c *Contention) RecordUnplaced(now time.Time, priority int) { c.blocked[priority] = now }

// ShouldYield reports whether a request should leave the last slot of a target to more
// urgent requests, because some of these recently found no target.
func (c *Contention) ShouldYield(now time.Time, priority int) bool {
	for blockedPriority, at := range c.blocked {
		if blockedPriority < priority && now.Sub(at) < contentionWindow {
			return true
		}
	}
	return false
}

// Contended reports whether any request recently found no target.
func (c *Contention) Contended(now time.Time) bool {
	for _, at := range c.blocked {
		if now.Sub(at) < contentionWindow {
			return true
		}
	}
	return false
}
