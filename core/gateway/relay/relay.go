// Package relay decides when a gateway that reaches none or few of a service's targets has
// its requests served by another gateway, and by which.
//
// It owns what a gateway observed of its paths to the targets of one service (Paths), and of
// the gateways that it asked (Gateways). A relayed request is not relayed again. It does no
// I/O and reads no clock.
//
// # Usage
//
//	paths.RecordFailure(now, target.Life()) // a probe was not answered
//	if paths.AreCut(now, targets) && paths.FailedLately(now) {
//		via, ok := gateways.Choose(now, service, known, rand.IntN)
//	}
package relay

import (
	"time"

	"github.com/sprucecrank/sprucecrank/core/gateway/catalog"
)

const (
	// cutTargets is how many targets must have failed, and none answered since the first of
	// them did, before the paths to a service count as cut.
	cutTargets = 3
	// cutAfter is for how long no target may have answered by then. A process that used up its
	// share of the processor stands still for a tenth of a second.
	cutAfter = 300 * time.Millisecond
	// tryInterval is the interval at which one request looks for a target nevertheless.
	tryInterval = 200 * time.Millisecond
	// mostShare is the share of the targets that must have failed for the rest to count as few.
	mostShare = 0.5
	// failureTTL is how long a failure counts of a target that was not tried again.
	failureTTL = 10 * time.Second
	// recentTime is how long after the latest failure requests still go by the paths being cut without a
	// look at them: some intervals.
	recentTime = time.Second
	// maxFailing bounds the targets of which failures are kept.
	maxFailing = 4096
	// initialPause is how long no request is relayed for want of room after one that found
	// none elsewhere either; the time doubles up to maxPause.
	initialPause = 200 * time.Millisecond
	maxPause     = 3 * time.Second
)

// Paths is what a gateway observed of its paths to the targets of one service. It is not safe
// for concurrent use.
type Paths struct {
	failing     map[catalog.Life]time.Time // the latest failure since the target answered
	failedSince time.Time                  // the first failure since any target answered; zero for none
	failedLast  time.Time                  // the latest failure
	// unconnected are targets to which no connection could be made since one was made to any.
	unconnected map[catalog.Life]struct{}
	nextTry     time.Time
	pausedUntil time.Time
	pause       time.Duration
}

// NewPaths returns paths of which nothing was observed.
func NewPaths() *Paths {
	return &Paths{failing: map[catalog.Life]time.Time{}, unconnected: map[catalog.Life]struct{}{}}
}

// RecordAnswer records that a target answered.
func (p *Paths) RecordAnswer(target catalog.Life) {
	delete(p.failing, target)
	p.failedSince = time.Time{}
}

// RecordFailure records that a target could not be reached or did not answer.
func (p *Paths) RecordFailure(now time.Time, target catalog.Life) {
	if p.failedSince.IsZero() {
		p.failedSince = now
		p.nextTry = now.Add(cutAfter + tryInterval)
	}
	p.failedLast = now
	if len(p.failing) < maxFailing {
		p.failing[target] = now
	}
}

// RecordConnection records whether a new connection to a target could be made.
func (p *Paths) RecordConnection(target catalog.Life, made bool) {
	if made {
		clear(p.unconnected)
		return
	}
	if len(p.unconnected) < cutTargets {
		p.unconnected[target] = struct{}{}
	}
}

// NoneConnects reports whether the paths are cut and no connection can be made either: targets
// may serve requests although they answer no probe.
func (p *Paths) NoneConnects(now time.Time, targets int) bool {
	return p.AreCut(now, targets) && len(p.unconnected) >= neededFailures(targets)
}

// neededFailures returns how many targets must have failed, of those that are known.
func neededFailures(targets int) int { return max(min(targets, cutTargets), 1) }

// AreCut reports whether no target answers, of a service with a number of known targets.
func (p *Paths) AreCut(now time.Time, targets int) bool {
	if p.failedSince.IsZero() || now.Sub(p.failedSince) < cutAfter {
		return false
	}
	return p.failingSince(p.failedSince) >= neededFailures(targets)
}

// FailedLately reports whether a target failed a moment ago. If not, a request should look for a
// target although the paths are cut: they may have healed while nobody looked.
func (p *Paths) FailedLately(now time.Time) bool { return now.Sub(p.failedLast) < recentTime }

// FewAreLeft reports whether most targets do not answer, so that other gateways may have room
// at targets that this one can't reach. It reports false for a while after they had none.
func (p *Paths) FewAreLeft(now time.Time, targets int) bool {
	if len(p.failing) == 0 || now.Before(p.pausedUntil) {
		return false
	}
	return float64(p.failingSince(now.Add(-failureTTL))) >= mostShare*float64(targets)
}

// RecordOverflow records whether another gateway had room for a request.
func (p *Paths) RecordOverflow(now time.Time, served bool) {
	if served {
		p.pause = 0
		return
	}
	p.pause = min(max(2*p.pause, initialPause), maxPause)
	p.pausedUntil = now.Add(p.pause)
}

// failingSince counts the targets that failed at a time or later, and forgets those whose
// failures no longer count.
func (p *Paths) failingSince(since time.Time) int {
	n := 0
	for target, at := range p.failing {
		switch {
		case !at.Before(since):
			n++
		case since.Sub(at) > failureTTL:
			delete(p.failing, target)
		}
	}
	return n
}

// TryNow reports whether a request should look for a target although the paths are cut, so
// that their return is noticed. It returns true once an interval.
func (p *Paths) TryNow(now time.Time) bool {
	if now.Before(p.nextTry) {
		return false
	}
	p.nextTry = now.Add(tryInterval)
	return true
}
