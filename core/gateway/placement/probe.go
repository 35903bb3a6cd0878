package placement

import (
	"slices"
	"time"

	"github.com/sprucecrank/sprucecrank/core/gateway/catalog"
)

const (
	// parallelProbes is how many targets are probed at once, as long as none of
	// those before is idle, and parallelWhenIdle how many where most targets are
	// idle. Measured: docs/DESIGN.md, "two at a time" and "one at a time where
	// most are idle".
	parallelProbes   = 2
	parallelWhenIdle = 1
	// localProbes and remoteProbes bound the targets probed in one round, and
	// contendedProbes those of each where requests wait: few targets are idle
	// then, and each probe takes time from their work. Measured: docs/DESIGN.md,
	// "few while requests wait"; five at once served less.
	localProbes     = 4
	remoteProbes    = 4
	contendedProbes = 2
	// roundShare is the share of the objective that one round of probes waits for
	// answers, and minRound the least. Chosen: a probe takes about 6 ms.
	roundShare = 0.08
	minRound   = 4 * time.Millisecond
	// maxPause bounds the pause between two rounds, the same share of the
	// objective. Chosen: a slot turns over in some tens of milliseconds. 25 ms in its
	// place probed a full service's targets beyond the users' bound on probes once
	// slots were left free (docs/EXPERIMENTS.md).
	maxPause = 50 * time.Millisecond
	// localWaitPerKB is how long a request waits for a target of its own hall for
	// each kilobyte of its usual answer, since bytes between halls are paid for,
	// and localWaitShare bounds that as a share of the objective. Measured:
	// docs/DESIGN.md, "wait for the own hall where answers are long".
	localWaitPerKB = 12 * time.Millisecond
	localWaitShare = 0.12

	bytesPerKB = 1024
)

// RoundTimeout is how long one wave of probes is waited for.
func RoundTimeout(objective time.Duration) time.Duration {
	return max(time.Duration(roundShare*float64(objective)), minRound)
}

// Pause is the time between two rounds of probes.
func Pause(objective time.Duration) time.Duration { return min(RoundTimeout(objective), maxPause) }

// LocalWait is how long a request waits for a target of its own hall, by the
// usual length of its answer.
func LocalWait(usualBytes float64, objective time.Duration) time.Duration {
	wait := time.Duration(usualBytes / bytesPerKB * float64(localWaitPerKB))
	return min(wait, time.Duration(localWaitShare*float64(objective)))
}

// LocalOnly says whether a request that came in at began still waits for a target
// of its own hall. While requests of the service find no target at all, any will
// do.
func LocalOnly(now, began time.Time, wait time.Duration, contended bool) bool {
	return now.Before(began.Add(wait)) && !contended
}

// Filter is what Order goes by.
type Filter struct {
	// Hall is where the gateway stands.
	Hall string
	// Avoid are the ids of targets that had the request already.
	Avoid []string
	// Ejected says whether a target gets no requests now.
	Ejected func(id string) bool
	// Connected says whether there is an idle connection to a target, which saves
	// it the time of a new one; nil takes no account of that, so that a gateway
	// goes on finding new targets.
	Connected func(id string) bool
}

// Order draws the order in which targets are probed: those of the own hall,
// connected ones first, then others, else at random. Ejected targets are left out
// unless there are no others. shuffle is as rand.Shuffle.
func Order(targets []catalog.Target, f Filter, shuffle func(n int, swap func(i, j int))) (local, remote []catalog.Target) {
	var ejected []catalog.Target
	for _, t := range targets {
		switch {
		case slices.Contains(f.Avoid, t.ID):
		case f.Ejected(t.ID):
			ejected = append(ejected, t)
		case t.Hall == f.Hall:
			local = append(local, t)
		default:
			remote = append(remote, t)
		}
	}
	if len(local)+len(remote) == 0 {
		remote = ejected
	}
	shuffleTargets(local, shuffle)
	shuffleTargets(remote, shuffle)
	if f.Connected != nil {
		connectedFirst(local, f.Connected)
	}
	return local, remote
}

func shuffleTargets(targets []catalog.Target, shuffle func(n int, swap func(i, j int))) {
	shuffle(len(targets), func(i, j int) { targets[i], targets[j] = targets[j], targets[i] })
}

func connectedFirst(targets []catalog.Target, connected func(id string) bool) {
	rank := func(t catalog.Target) int {
		if connected(t.ID) {
			return 0
		}
		return 1
	}
	slices.SortStableFunc(targets, func(a, b catalog.Target) int { return rank(a) - rank(b) })
}

// Effort says how much probing a request may cause.
type Effort struct {
	// LocalOnly says that only the own hall is probed, if it has targets.
	LocalOnly bool
	// Contended says that requests of the service have lately found no target.
	Contended bool
	// MostlyIdle says that the first target that is probed will mostly do.
	MostlyIdle bool
}

// Waves cuts the targets of a round into those that are probed at once, in the
// order in which they are probed.
func Waves(local, remote []catalog.Target, e Effort) [][]catalog.Target {
	maxLocal, maxRemote := localProbes, remoteProbes
	if e.Contended {
		maxLocal, maxRemote = contendedProbes, contendedProbes
	}
	if e.LocalOnly && len(local) > 0 {
		maxRemote = 0
	}
	size := parallelProbes
	if e.MostlyIdle {
		size = parallelWhenIdle
	}
	waves := slices.Collect(slices.Chunk(local[:min(maxLocal, len(local))], size))
	return slices.AppendSeq(waves, slices.Chunk(remote[:min(maxRemote, len(remote))], size))
}

// ByOwnCounts orders targets by how full they are by the requests of this gateway
// that are under way, for services that report no load; active counts them.
func ByOwnCounts(targets []catalog.Target, active func(id string) int) {
	const fine = 1000 // thousandths of a target's slots
	fullness := func(t catalog.Target) int { return active(t.ID) * fine / max(t.Slots, 1) }
	slices.SortStableFunc(targets, func(a, b catalog.Target) int { return fullness(a) - fullness(b) })
}
