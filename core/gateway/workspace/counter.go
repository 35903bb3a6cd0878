package workspace

import (
	"cmp"
	"slices"
	"sync"
)

// Outcome is how a request of a workspace ended.
type Outcome int

const (
	// Served means that a target's answer was forwarded.
	Served Outcome = iota
	// OverQuota means that the request was refused because of the quota.
	OverQuota
	// Failed means any other outcome.
	Failed
	numOutcomes
)

// maxWorkspaces bounds the workspaces that a Counter counts separately. It is more than any
// known fleet has, and keeps a Counter at about one megabyte.
const maxWorkspaces = 10_000

// Count is the number of requests of a workspace by outcome, since the process started.
type Count struct {
	// Workspace is its name; empty for the sum of the workspaces that are not listed.
	Workspace string
	ended     [numOutcomes]uint64
}

// Ended returns how many requests ended with an outcome.
func (c Count) Ended(o Outcome) uint64 { return c.ended[o] }

func (c Count) total() (n uint64) {
	for _, ended := range c.ended {
		n += ended
	}
	return n
}

// plus returns the sum of two counts, for the workspace of the first.
func (c Count) plus(other Count) Count {
	for o := range c.ended {
		c.ended[o] += other.ended[o]
	}
	return c
}

// Counter counts requests by workspace. It is safe for concurrent use.
type Counter struct {
	mu       sync.Mutex
	counts   map[string]Count
	overflow Count
}

// NewCounter returns an empty counter.
func NewCounter() *Counter { return &Counter{counts: map[string]Count{}} }

// Add counts a request.
func (c *Counter) Add(workspace string, o Outcome) {
	c.mu.Lock()
	defer c.mu.Unlock()
	count, known := c.counts[workspace]
	if !known && len(c.counts) >= maxWorkspaces {
		c.overflow.ended[o]++
		return
	}
	count.Workspace = workspace
	count.ended[o]++
	c.counts[workspace] = count
}

// Busiest returns the counts of the n workspaces with the most requests, followed by one sum of
// all others.
func (c *Counter) Busiest(n int) []Count {
	c.mu.Lock()
	defer c.mu.Unlock()
	all := make([]Count, 0, len(c.counts))
	for _, count := range c.counts {
		all = append(all, count)
	}
	slices.SortFunc(all, func(a, b Count) int {
		return cmp.Or(cmp.Compare(b.total(), a.total()), cmp.Compare(a.Workspace, b.Workspace))
	})
	busiest, others := all[:min(n, len(all))], c.overflow
	for _, count := range all[len(busiest):] {
		others = others.plus(count)
	}
	return append(slices.Clone(busiest), others)
}
