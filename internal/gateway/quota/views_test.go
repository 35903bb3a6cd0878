package quota_test

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/sprucecrank/sprucecrank/core/gateway/peers"
	"github.com/sprucecrank/sprucecrank/core/member"
)

// How gateways hear of each other, as in internal/gateway/discovery: each has so many
// neighbours, swaps members with a new one at once and then every swapEvery, and begins with
// one of so many seeds.
const (
	neighbours = 3
	swapEvery  = 1500 * time.Millisecond
	seedBoxes  = 3
)

// views are the gateways' own views of the fleet (core/gateway/peers), for fleets whose
// gateways hear of each other by word from one to the next: a few at a time, and late.
type views struct {
	fleet *fleet
	mu    sync.Mutex
	all   []*peers.View
	draws *rand.Rand
}

func newViews(f *fleet) *views {
	return &views{fleet: f, all: make([]*peers.View, len(f.boxes)), draws: rand.New(rand.NewPCG(f.seed, 2))}
}

func (v *views) intn(n int) int { return v.draws.IntN(n) }

// start gives the box of a process that has just begun an empty view, and fills it until
// the process ends.
func (v *views) start(ctx context.Context, i int) {
	v.mu.Lock()
	v.all[i] = peers.New(v.fleet.boxes[i].box, v.intn)
	v.mu.Unlock()
	for range neighbours {
		go v.follow(ctx, i)
	}
}

// follow exchanges with one neighbour after the other.
func (v *views) follow(ctx context.Context, i int) {
	for ctx.Err() == nil {
		peer, isSeed := v.draw(i)
		v.swap(i, peer)
		wait := swapEvery
		if isSeed {
			wait = 10 * time.Millisecond // whom it named is asked at once
		}
		select {
		case <-ctx.Done():
		case <-time.After(wait):
		}
	}
}

// draw names the next neighbour of a box: a seed while none is known.
func (v *views) draw(i int) (peer member.Box, isSeed bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	peer, ok := v.all[i].PickNeighbour(time.Now(), peers.OwnHall, func(string) bool { return false })
	if !ok {
		return v.fleet.boxes[v.intn(seedBoxes)].box, true
	}
	return peer, false
}

// swap has two gateways tell each other whom they have heard of, if they reach each other.
func (v *views) swap(i int, peer member.Box) {
	time.Sleep(v.fleet.delay())
	j := v.fleet.find(peer.ID)
	reached := i != j && v.fleet.reaches(i, j)
	v.mu.Lock()
	defer v.mu.Unlock()
	now := time.Now()
	if !reached {
		v.all[i].RecordFailure(now, peer.ID)
		return
	}
	asks, asked := v.all[i], v.all[j]
	mine, theirs := asks.Sightings(now, ""), asked.Sightings(now, "")
	asked.ObserveCall(now, mine[0].Box)
	asked.MergeSightings(now, mine[1:])
	asks.ObserveAnswer(now, theirs[0].Box)
	asks.MergeSightings(now, theirs[1:])
}

func (v *views) first(i, n int) []member.Box {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.all[i].TopRanked(time.Now(), n)
}

func (v *views) size(i int) int {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.all[i].EstimateFleetSize(time.Now())
}

func (v *views) ranked(i, n int) []peers.Sighting {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.all[i].RankedSightings(time.Now(), n)
}

func (v *views) sighted(i int, s []peers.Sighting) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.all[i].MergeSightings(time.Now(), s)
}
