package placement

import (
	"slices"
	"time"

	"github.com/sprucecrank/sprucecrank/core/gateway/catalog"
	"github.com/sprucecrank/sprucecrank/core/gateway/locality"
)

const (
	// parallelProbes is how many targets are probed at once, as long as none of
	// those before is idle, and parallelWhenIdle how many where most targets are
	// idle (docs/DESIGN.md, "two at a time" and "one at a time where most are
	// idle").
	parallelProbes   = 2
	parallelWhenIdle = 1
	// tierProbes bounds the targets of each tier that are probed in one round, and
	// contendedProbes where requests wait: few targets are idle then, and each probe
	// takes time from their work (docs/DESIGN.md, "few while requests wait").
	tierProbes      = 4
	contendedProbes = 2
	// roundShare is the share of the objective that one round of probes waits for
	// answers, and minRound the least. A probe takes about 6 ms.
	roundShare = 0.08
	minRound   = 4 * time.Millisecond
	// maxPause bounds the pause between two rounds, the same share of the
	// objective. A slot turns over in some tens of milliseconds. 25 ms in its
	// place probed a full service's targets beyond the users' bound on probes once
	// slots were left free (docs/EXPERIMENTS.md).
	maxPause = 50 * time.Millisecond
	// hallWaitPerKB is how long a request waits for a target of its own hall for
	// each kilobyte of its usual answer, since bytes between halls are paid for,
	// and hallWaitShare bounds that as a share of the objective (docs/DESIGN.md,
	// "wait for the own hall where answers are long").
	hallWaitPerKB = 12 * time.Millisecond
	hallWaitShare = 0.12
	// regionWaitPerKB and regionWaitShare are the same for a target of the own region
	// where few of them are left: bytes between regions cost more.
	regionWaitPerKB = 2 * hallWaitPerKB
	regionWaitShare = 0.2

	bytesPerKB = 1024
)

// RoundTimeout is how long one wave of probes is waited for; trip is the time there and
// back to the farthest of its targets, 0 within the region. A probe of a new
// connection goes there and back twice.
func RoundTimeout(objective, trip time.Duration) time.Duration {
	const tripsOfAProbe = 2
	return max(time.Duration(roundShare*float64(objective)), minRound) + tripsOfAProbe*trip
}

// Pause is the time between two rounds of probes.
func Pause(objective time.Duration) time.Duration { return min(RoundTimeout(objective, 0), maxPause) }

// Waits are for how long a request waits for a target of its own hall, and of its own
// region, before farther ones are probed as well.
type Waits struct{ hall, region time.Duration }

// NewWaits works them out by the usual length of the request's answer.
func NewWaits(usualBytes float64, objective time.Duration) Waits {
	wait := func(perKB time.Duration, share float64) time.Duration {
		return min(time.Duration(usualBytes/bytesPerKB*float64(perKB)), time.Duration(share*float64(objective)))
	}
	return Waits{hall: wait(hallWaitPerKB, hallWaitShare), region: wait(regionWaitPerKB, regionWaitShare)}
}

// Within says how far targets are probed now for a request that came in at began, if
// there are any nearer. While requests of the service find no target at all, any that
// Order leaves will do.
func (w Waits) Within(now, began time.Time, contended bool) locality.Tier {
	switch held := now.Sub(began); {
	case contended:
		return locality.OtherRegion
	case held < w.hall:
		return locality.OwnHall
	case held < w.region:
		return locality.OwnRegion
	default:
		return locality.OtherRegion
	}
}

// Effort says how much probing a request may cause.
type Effort struct {
	// Within is how far targets are probed, if there are any nearer.
	Within locality.Tier
	// Contended says that requests of the service have lately found no target.
	Contended bool
	// MostlyIdle says that the first target that is probed will mostly do.
	MostlyIdle bool
}

// Waves cuts the targets of a round into those that are probed at once, in the order
// in which they are probed. A wave holds targets of one tier.
func (o *Order) Waves(e Effort) [][]catalog.Target {
	most, size := tierProbes, parallelProbes
	if e.Contended {
		most = contendedProbes
	}
	if e.MostlyIdle {
		size = parallelWhenIdle
	}
	var waves [][]catalog.Target
	for tier, targets := range o.tiers {
		if locality.Tier(tier) > e.Within && len(waves) > 0 {
			break
		}
		waves = slices.AppendSeq(waves, slices.Chunk(targets[:min(most, len(targets))], size))
	}
	return waves
}

// ByOwnCounts orders targets by how full they are by the requests of this gateway
// that are under way, for services that report no load; active counts them.
func ByOwnCounts(targets []catalog.Target, active func(life catalog.Life) int) {
	const fine = 1000 // thousandths of a target's slots
	fullness := func(t catalog.Target) int { return active(t.Life()) * fine / max(t.Slots, 1) }
	slices.SortStableFunc(targets, func(a, b catalog.Target) int { return fullness(a) - fullness(b) })
}
