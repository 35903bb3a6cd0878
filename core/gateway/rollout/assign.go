package rollout

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/sprucecrank/sprucecrank/core/gateway/catalog"
)

// FullShare is the share of all requests, in thousandths.
const FullShare = catalog.FullShare

// Assignment holds the targets of a service that take requests while one of its versions is on
// trial.
type Assignment struct {
	rollout  catalog.Rollout
	permille int
	baseline []catalog.Target
	canary   []catalog.Target
}

// Assign divides the targets of a service that take requests. onTrial is true if the ordered
// version is not the one in service (Versions.OnTrial).
//
// The canary's share goes to so few of its targets that each has the utilization that all
// targets will have in the end: a version that is bad only under load would look healthy if
// its share were spread over all of them. All gateways choose the same targets, and those
// of one stage include those of the stage before.
func Assign(r catalog.Rollout, targets []catalog.Target, onTrial bool) Assignment {
	a := Assignment{rollout: r}
	if r.State == catalog.RolloutCompleted || !onTrial {
		a.baseline = targets
		return a
	}
	var canary []catalog.Target
	for _, t := range targets {
		if t.Version == r.Version {
			canary = append(canary, t)
		} else {
			a.baseline = append(a.baseline, t)
		}
	}
	if r.State != catalog.RolloutRunning || len(canary) == 0 {
		return a
	}
	a.permille = min(r.Permille, FullShare)
	a.canary = rank(r, canary)[:canarySize(a.permille, len(canary))]
	if a.permille == FullShare {
		a.baseline = nil
	}
	return a
}

// canarySize returns how many of a version's targets take its share.
func canarySize(permille, targets int) int { return (permille*targets + FullShare - 1) / FullShare }

// rank sorts targets by a hash of the rollout's service and version and the target's id
// (rendezvous hashing), so that all gateways get the same result.
func rank(r catalog.Rollout, targets []catalog.Target) []catalog.Target {
	score := func(t catalog.Target) uint64 {
		return xxhash.Sum64String(r.Service + "\x00" + r.Version + "\x00" + t.ID)
	}
	slices.SortFunc(targets, func(a, b catalog.Target) int {
		return cmp.Or(cmp.Compare(score(a), score(b)), cmp.Compare(a.ID, b.ID))
	})
	return targets
}

// Baseline lists the targets that take the requests that don't go to the canary.
func (a Assignment) Baseline() []catalog.Target { return a.baseline }

// Canary lists the targets of the version on trial that take its share.
func (a Assignment) Canary() []catalog.Target { return a.canary }

// Permille is the share of the requests that the canary takes, in thousandths.
func (a Assignment) Permille() int { return a.permille }

// Rollout is the rollout for which the assignment was made.
func (a Assignment) Rollout() catalog.Rollout { return a.rollout }

// TakesCanary reports whether the canary takes a request, by a random draw uniform in [0,
// 1).
func (a Assignment) TakesCanary(draw float64) bool { return draw*FullShare < float64(a.permille) }

// TakesAll reports whether the ordered version takes all requests, retries and hedges
// included, though the rollout is not completed.
func (a Assignment) TakesAll() bool { return a.permille >= FullShare }
