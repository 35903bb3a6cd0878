package workspace

import (
	"cmp"
	"slices"
	"sync"
)

// Outcome is how a request of a workspace ended.
type Outcome int

// Outcomes.
const (
	// Served says that a target's answer was passed on.
	Served Outcome = iota
	// OverQuota says that the quota refused it.
	OverQuota
	// Failed says that it ended otherwise.
	Failed
	outcomes
)

// maxCounted bounds the workspaces that a Tally counts apart: more than any fleet has
// that is known, few enough that a tally takes a megabyte.
const maxCounted = 10_000

// Count is how many requests of a workspace ended in each way since the process began.
type Count struct {
	// Workspace is its name; empty for all that are not named.
	Workspace string
	ended     [outcomes]uint64
}

// Ended is how many ended in a way.
func (c Count) Ended(o Outcome) uint64 { return c.ended[o] }

func (c Count) total() (n uint64) {
	for _, ended := range c.ended {
		n += ended
	}
	return n
}

// plus adds another's counts.
func (c Count) plus(other Count) Count {
	for o := range c.ended {
		c.ended[o] += other.ended[o]
	}
	return c
}

// Tally counts requests by workspace. It is safe for concurrent use.
type Tally struct {
	mu     sync.Mutex
	counts map[string]Count
	rest   Count
}

// NewTally makes a tally that has counted nothing.
func NewTally() *Tally { return &Tally{counts: map[string]Count{}} }

// Add counts a request.
func (t *Tally) Add(workspace string, o Outcome) {
	t.mu.Lock()
	defer t.mu.Unlock()
	c, known := t.counts[workspace]
	if !known && len(t.counts) >= maxCounted {
		t.rest.ended[o]++
		return
	}
	c.Workspace = workspace
	c.ended[o]++
	t.counts[workspace] = c
}

// Busiest are the counts of the n workspaces with the most requests, and one sum of all
// others behind them.
func (t *Tally) Busiest(n int) []Count {
	t.mu.Lock()
	defer t.mu.Unlock()
	all := make([]Count, 0, len(t.counts))
	for _, c := range t.counts {
		all = append(all, c)
	}
	slices.SortFunc(all, func(a, b Count) int {
		return cmp.Or(cmp.Compare(b.total(), a.total()), cmp.Compare(a.Workspace, b.Workspace))
	})
	busiest, others := all[:min(n, len(all))], t.rest
	for _, c := range all[len(busiest):] {
		others = others.plus(c)
	}
	return append(slices.Clone(busiest), others)
}
