package ledger

import (
	"slices"
	"time"
)

const (
	// hallPenalty is the score added for a target in another hall, where 1 is
	// the score of a fully utilized target.
	hallPenalty = 0.1
	// slowPenalty is the score added for each multiple of the expected duration
	// by which a target has been slower.
	slowPenalty = 0.2
	// overdueRatio is the multiple of the expected duration after which a
	// running request is overdue.
	overdueRatio = 4
	// minOverdue keeps jitter in kinds of short duration from counting as overdue.
	minOverdue = 20 * time.Millisecond
	// ejectedDivisor limits ejection: at most 1/ejectedDivisor of the reachable
	// targets of a service are ejected at once.
	ejectedDivisor = 3
)

// chooseTarget returns the best target with a free slot, or nil if there is none.
func (l *Ledger) chooseTarget(now time.Time, r SlotRequest) *target {
	policy := l.healthPolicy(now)
	var best *target
	var bestScore float64
	for _, address := range l.order {
		t := l.targets[address]
		if t.leaving || slices.Contains(r.Avoid, address) {
			continue
		}
		limit := t.limit(now, policy)
		if len(t.grants) >= limit {
			continue
		}
		score := l.score(now, t, r)
		if best == nil || score < bestScore {
			best, bestScore = t, score
		}
	}
	return best
}

// score rates a target by utilization, latency and distance; lower is better.
func (l *Ledger) score(now time.Time, t *target, r SlotRequest) float64 {
	s := float64(len(t.grants)) / float64(t.Slots)
	s += slowPenalty * max(t.tracker.Ratio()-1, 0)
	if r.Hall != t.Hall {
		s += hallPenalty
	}
	if t.overdue(now) {
		s += 2
	}
	return s + 0.01*l.options.Random()
}

// healthPolicy says to what extent the health signals of targets are applied.
type healthPolicy struct {
	// ignoreHealth spreads the load over all targets, because most of them
	// look unhealthy.
	ignoreHealth bool
	// tryUnreachable includes unreachable targets, because there are no others.
	tryUnreachable bool
	// minEjectedUntil is the earliest end of an ejection that is applied, so
	// that at most a third of the service is ejected; targets whose ejection
	// ends before get one slot.
	minEjectedUntil time.Time
}

// healthPolicy derives the policy from the health signals of all targets.
// Unreachable targets are not counted: however many they are, they are excluded
// as long as any other target can be reached.
func (l *Ledger) healthPolicy(now time.Time) healthPolicy {
	unhealthy, present := 0, 0
	var ejected []time.Time
	for _, t := range l.targets {
		if t.leaving || t.tracker.Unreachable(now) {
			continue
		}
		present++
		switch {
		case t.tracker.Ejected(now):
			unhealthy++
			ejected = append(ejected, t.tracker.EjectedUntil())
		case t.tracker.Suspect(now):
			unhealthy++
		}
	}
	allowed := max(present/ejectedDivisor, 1)
	if present == 0 || unhealthy > 1 && unhealthy*2 > present {
		return healthPolicy{ignoreHealth: true, tryUnreachable: present == 0}
	}
	if len(ejected) <= allowed {
		return healthPolicy{}
	}
	slices.SortFunc(ejected, func(a, b time.Time) int { return b.Compare(a) })
	return healthPolicy{minEjectedUntil: ejected[allowed-1]}
}

// limit is how many requests may be in flight at the target.
func (t *target) limit(now time.Time, policy healthPolicy) int {
	if t.tracker.Unreachable(now) && !policy.tryUnreachable {
		return 0
	}
	if policy.ignoreHealth {
		return t.Slots
	}
	if t.tracker.Ejected(now) && t.tracker.EjectedUntil().Before(policy.minEjectedUntil) {
		return 1
	}
	limit := t.tracker.Limit(now)
	if t.overdue(now) {
		return min(limit, 1)
	}
	return limit
}

// overdue reports whether a request has been in flight at the target for much
// longer than expected, the first sign that the target has slowed down or stopped.
func (t *target) overdue(now time.Time) bool {
	for _, g := range t.grants {
		if now.Sub(g.grantedAt) > max(overdueRatio*g.expected, minOverdue) {
			return true
		}
	}
	return false
}

// capacity is how many requests may be in flight at all targets together.
func (l *Ledger) capacity(now time.Time) int {
	policy := l.healthPolicy(now)
	n := 0
	for _, t := range l.targets {
		if !t.leaving {
			n += t.limit(now, policy)
		}
	}
	return n
}
