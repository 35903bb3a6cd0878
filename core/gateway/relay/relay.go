// Package relay decides when a gateway that reaches none of a service's targets has its
// requests served by another gateway, and by which.
//
// It owns what a gateway observed of its paths to the targets of one service (Paths), and of
// the gateways that it asked (Gateways). A relayed request is not relayed again. It does no
// I/O and reads no clock.
//
// # Usage
//
//	paths.RecordFailure(now, target.Life()) // a probe was not answered
//	if paths.AreCut(now) && !paths.TryNow(now) {
//		via, ok := gateways.Choose(now, known, rand.IntN)
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
)

// Paths is what a gateway observed of its paths to the targets of one service. It is not safe
// for concurrent use.
type Paths struct {
	failedSince time.Time // the first failure since a target answered
	failed      map[catalog.Life]bool
	nextTry     time.Time
}

// NewPaths returns paths of which nothing was observed.
func NewPaths() *Paths { return &Paths{failed: map[catalog.Life]bool{}} }

// RecordAnswer records that a target answered.
func (p *Paths) RecordAnswer() { clear(p.failed) }

// RecordFailure records that a target could not be reached or did not answer.
func (p *Paths) RecordFailure(now time.Time, target catalog.Life) {
	if len(p.failed) == 0 {
		p.failedSince = now
		p.nextTry = now.Add(cutAfter + tryInterval)
	}
	if len(p.failed) < cutTargets {
		p.failed[target] = true
	}
}

// AreCut reports whether no target answers, of a service with a number of known targets.
func (p *Paths) AreCut(now time.Time, targets int) bool {
	needed := max(min(targets, cutTargets), 1)
	return len(p.failed) >= needed && now.Sub(p.failedSince) >= cutAfter
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
