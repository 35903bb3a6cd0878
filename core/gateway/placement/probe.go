package placement

import (
	"slices"
	"time"

	"github.com/sprucecrank/sprucecrank/core/gateway/catalog"
	"github.com/sprucecrank/sprucecrank/core/gateway/locality"
)

const (
	// waveSize is how many targets are probed at once, until one of them is found idle,
	// and idleWaveSize how many if most targets are idle (docs/DESIGN.md, "two at a time"
	// and "one at a time where most are idle").
	waveSize     = 2
	idleWaveSize = 1
	// maxTierProbes bounds the targets of each tier that are probed in one round, and
	// maxContendedProbes does so while requests wait: few targets are idle then, and each
	// probe takes time from their work (docs/DESIGN.md, "few while requests wait").
	maxTierProbes      = 4
	maxContendedProbes = 2
	// roundShare is the share of the objective for which one round of probes waits for
	// answers, and minRound the minimum. A probe takes about 6 ms.
	roundShare = 0.08
	minRound   = 4 * time.Millisecond
	// maxPause bounds the pause between two rounds, which is otherwise the same share of
	// the objective. A slot is freed within some tens of milliseconds. With 25 ms, the
	// targets of a full service were probed more often than the users' bound on probes
	// allows once slots were left free (docs/EXPERIMENTS.md).
	maxPause = 50 * time.Millisecond
	// hallWaitPerKB is how long a request waits for a target of its own hall for each
	// kilobyte of its usual answer, because traffic between halls is paid for, and
	// hallWaitShare bounds that as a share of the objective (docs/DESIGN.md, "wait for
	// the own hall where answers are long").
	hallWaitPerKB = 12 * time.Millisecond
	hallWaitShare = 0.12
	// regionWaitPerKB and regionWaitShare are the same for a target of this gateway's
	// region when few of its targets are left: traffic between regions costs more.
	regionWaitPerKB = 2 * hallWaitPerKB
	regionWaitShare = 0.2

	bytesPerKB = 1024
	// fallbackShare is the share of the objective within which a target must take a connection
	// where none answers probes, minFallback the minimum and maxFallback the maximum. It takes
	// about 1 ms.
	fallbackShare = 0.2
	minFallback   = 50 * time.Millisecond
	maxFallback   = 250 * time.Millisecond
)

// FallbackWidth is how many targets are connected to at once where none answers probes: as many
// as must fail before it counts that none can be reached.
const FallbackWidth = 3

// FallbackTimeout returns how long connecting to a target may take where none answers probes;
// roundTrip is the round-trip time to it, 0 within the region.
func FallbackTimeout(objective, roundTrip time.Duration) time.Duration {
	return min(max(time.Duration(fallbackShare*float64(objective)), minFallback), maxFallback) + roundTrip
}

// RoundTimeout returns how long one wave of probes waits for answers; roundTrip is the
// round-trip time to the farthest of its targets, 0 within the region. A probe on a new
// connection takes two round trips.
func RoundTimeout(objective, roundTrip time.Duration) time.Duration {
	const roundTripsPerProbe = 2
	return max(time.Duration(roundShare*float64(objective)), minRound) + roundTripsPerProbe*roundTrip
}

// Pause returns the time between two rounds of probes.
func Pause(objective time.Duration) time.Duration { return min(RoundTimeout(objective, 0), maxPause) }

// TierWaits holds how long a request waits for a target of its own hall, and of its own
// region, before targets farther away are probed as well.
type TierWaits struct{ hall, region time.Duration }

// NewTierWaits returns the waits for a request, from the usual length of its answer.
func NewTierWaits(usualBytes float64, objective time.Duration) TierWaits {
	wait := func(perKB time.Duration, share float64) time.Duration {
		return min(time.Duration(usualBytes/bytesPerKB*float64(perKB)), time.Duration(share*float64(objective)))
	}
	return TierWaits{hall: wait(hallWaitPerKB, hallWaitShare), region: wait(regionWaitPerKB, regionWaitShare)}
}

// MaxTier returns the farthest tier that is probed now for a request with this receipt time,
// if there are targets in a nearer one. While requests of the service find no target at
// all, every target in the Order is probed.
func (w TierWaits) MaxTier(now, received time.Time, contended bool) locality.Tier {
	switch waited := now.Sub(received); {
	case contended:
		return locality.OtherRegion
	case waited < w.hall:
		return locality.OwnHall
	case waited < w.region:
		return locality.OwnRegion
	default:
		return locality.OtherRegion
	}
}

// ProbeScope limits how many targets are probed for a request.
type ProbeScope struct {
	// MaxTier is the farthest tier that is probed, if there are targets in a nearer one.
	MaxTier locality.Tier
	// Contended says that requests of the service recently found no target.
	Contended bool
	// MostlyIdle says that most targets probed recently were idle, so that one target at a
	// time is probed.
	MostlyIdle bool
}

// Waves splits the targets of a round into groups that are probed at once, in probing
// order. All targets of a wave are of one tier.
func (o *Order) Waves(e ProbeScope) [][]catalog.Target {
	most, size := maxTierProbes, waveSize
	if e.Contended {
		most = maxContendedProbes
	}
	if e.MostlyIdle {
		size = idleWaveSize
	}
	var waves [][]catalog.Target
	for tier, targets := range o.tiers {
		if locality.Tier(tier) > e.MaxTier && len(waves) > 0 {
			break
		}
		waves = slices.AppendSeq(waves, slices.Chunk(targets[:min(most, len(targets))], size))
	}
	return waves
}

// SortByOwnLoad sorts targets by how full they are with the requests that this gateway
// has in flight, for services that report no load; active counts these.
func SortByOwnLoad(targets []catalog.Target, active func(life catalog.Life) int) {
	const permille = 1000 // resolution: thousandths of a target's slots
	load := func(t catalog.Target) int { return active(t.Life()) * permille / max(t.Slots, 1) }
	slices.SortStableFunc(targets, func(a, b catalog.Target) int { return load(a) - load(b) })
}
