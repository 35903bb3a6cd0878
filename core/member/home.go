package member

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

// Home works out the home of a service: by rendezvous hashing among the usable
// boxes, those in the preferred hall first. Without any it is the box itself.
func (v *View) Home(now time.Time, service, hall string) Box {
	best := v.self
	found := !v.self.Leaving
	for id, e := range v.boxes {
		if !v.Usable(now, id) {
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

// neighbours is how many boxes a box exchanges updates with. The links that they need
// do not grow with the fleet, and an update still reaches all in a number of rounds
// that grows with the fleet's logarithm.
const neighbours = 10

// Sample picks up to n of the box's neighbours at random, leaving and suspect
// ones among them: they, too, have updates, and an answer clears the suspicion.
func (v *View) Sample(random *rand.Rand, n int) []Box {
	type scored struct {
		Box
		score uint64
	}
	near := make([]scored, 0, len(v.boxes))
	for id, e := range v.boxes {
		near = append(near, scored{e.Box, score(v.self.ID, id)})
	}
	slices.SortFunc(near, func(a, b scored) int { return cmp.Compare(b.score, a.score) })
	near = near[:min(neighbours, len(near))]
	random.Shuffle(len(near), func(i, j int) { near[i], near[j] = near[j], near[i] })
	out := make([]Box, 0, n)
	for _, b := range near[:min(n, len(near))] {
		out = append(out, b.Box)
	}
	return out
}
