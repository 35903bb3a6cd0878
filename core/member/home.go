package member

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

// Home returns the home of a service: the first by rendezvous hashing among the usable
// boxes, those in the preferred hall first. If none is usable it is the box itself.
func (v *View) Home(now time.Time, service, hall string) Box {
	best := v.self
	found := !v.self.Leaving
	for id, e := range v.boxes {
		if !v.IsUsable(now, id) {
			continue
		}
		if !found || ranksAbove(e.Box, best, service, hall) {
			best = e.Box
			found = true
		}
	}
	return best
}

func ranksAbove(a, b Box, service, hall string) bool {
	if (a.Hall == hall) != (b.Hall == hall) {
		return a.Hall == hall
	}
	return score(service, a.ID) > score(service, b.ID)
}

// maxNeighbours is how many boxes a box exchanges updates with. The number of links that this
// takes per box does not grow with the fleet, and an update still reaches all in a number of
// rounds that grows with the fleet's logarithm.
const maxNeighbours = 10

// SampleNeighbours picks up to n of the box's neighbours at random. Leaving and suspected
// boxes are included: they have updates as well, and an answer clears the suspicion.
func (v *View) SampleNeighbours(random *rand.Rand, n int) []Box {
	type scored struct {
		Box
		score uint64
	}
	neighbours := make([]scored, 0, len(v.boxes))
	for id, e := range v.boxes {
		neighbours = append(neighbours, scored{e.Box, score(v.self.ID, id)})
	}
	slices.SortFunc(neighbours, func(a, b scored) int { return cmp.Compare(b.score, a.score) })
	neighbours = neighbours[:min(maxNeighbours, len(neighbours))]
	random.Shuffle(len(neighbours), func(i, j int) { neighbours[i], neighbours[j] = neighbours[j], neighbours[i] })
	out := make([]Box, 0, n)
	for _, b := range neighbours[:min(n, len(neighbours))] {
		out = append(out, b.Box)
	}
	return out
}
