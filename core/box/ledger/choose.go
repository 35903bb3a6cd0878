package ledger

import (
	"slices"
	"time"
)

const (
	// hallPenalty is what another hall costs, as a share of a full target.
	hallPenalty = 0.1
	// slowPenalty weighs how much slower than usual a target has been.
	slowPenalty = 0.2
	// overdueRatio is how many usual durations make a running request overdue.
	overdueRatio = 4
	// minOverdue keeps jitter of short kinds from counting as overdue.
	minOverdue = 20 * time.Millisecond
	// ejectedDivisor is the greatest part of a service that is ejected.
	ejectedDivisor = 3
)

// chooseTarget finds the best target with a free slot, or nil.
func (l *Ledger) chooseTarget(now time.Time, a SlotRequest) *target {
	trust := l.healthPolicy(now)
	var best *target
	var bestScore float64
	for _, address := range l.order {
		t := l.targets[address]
		if t.leaving || slices.Contains(a.Avoid, address) {
			continue
		}
		limit := t.limit(now, trust)
		if len(t.grants) >= limit {
			continue
		}
		score := l.score(now, t, a)
		if best == nil || score < bestScore {
			best, bestScore = t, score
		}
	}
	return best
}

// score is low for a good target: how full it is, how slow, how far.
func (l *Ledger) score(now time.Time, t *target, a SlotRequest) float64 {
	s := float64(len(t.grants)) / float64(t.Slots)
	s += slowPenalty * max(t.tracker.Ratio()-1, 0)
	if a.Hall != t.Hall {
		s += hallPenalty
	}
	if t.overdue(now) {
		s += 2
	}
	return s + 0.01*l.options.Random()
}

// healthPolicy says how far the signals of health are believed.
type healthPolicy struct {
	// ignoreHealth spreads the load over all targets: most of them look bad.
	ignoreHealth bool
	// tryUnreachable tries even targets that cannot be reached: there are no others.
	tryUnreachable bool
	// minEjectedUntil is the first end of an ejection that is honoured, so that
	// at most a third of the service is ejected; the others get one slot.
	minEjectedUntil time.Time
}

// healthPolicy weighs the signals of all targets against each other. Targets that
// cannot be reached stand outside: they are left alone as long as any other can
// be reached, however many they are.
func (l *Ledger) healthPolicy(now time.Time) healthPolicy {
	bad, present := 0, 0
	var ejected []time.Time
	for _, t := range l.targets {
		if t.leaving || t.tracker.Unreachable(now) {
			continue
		}
		present++
		switch {
		case t.tracker.Ejected(now):
			bad++
			ejected = append(ejected, t.tracker.EjectedUntil())
		case t.tracker.Suspect(now):
			bad++
		}
	}
	allowed := max(present/ejectedDivisor, 1)
	if present == 0 || bad > 1 && bad*2 > present {
		return healthPolicy{ignoreHealth: true, tryUnreachable: present == 0}
	}
	if len(ejected) <= allowed {
		return healthPolicy{}
	}
	slices.SortFunc(ejected, func(a, b time.Time) int { return b.Compare(a) })
	return healthPolicy{minEjectedUntil: ejected[allowed-1]}
}

// limit is how many requests the target may hold.
func (t *target) limit(now time.Time, trust healthPolicy) int {
	if t.tracker.Unreachable(now) && !trust.tryUnreachable {
		return 0
	}
	if trust.ignoreHealth {
		return t.Slots
	}
	if t.tracker.Ejected(now) && t.tracker.EjectedUntil().Before(trust.minEjectedUntil) {
		return 1
	}
	limit := t.tracker.Limit(now)
	if t.overdue(now) {
		return min(limit, 1)
	}
	return limit
}

// overdue says whether a request has been at the target for much longer than
// usual: the first sign of a target that has slowed down or stopped.
func (t *target) overdue(now time.Time) bool {
	for _, g := range t.grants {
		if now.Sub(g.grantedAt) > max(overdueRatio*g.expected, minOverdue) {
			return true
		}
	}
	return false
}

// capacity is how many requests the targets may hold together.
func (l *Ledger) capacity(now time.Time) int {
	trust := l.healthPolicy(now)
	n := 0
	for _, t := range l.targets {
		if !t.leaving {
			n += t.limit(now, trust)
		}
	}
	return n
}
