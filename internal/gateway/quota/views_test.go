package quota_test

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/sprucecrank/sprucecrank/core/gateway/peers"
	"github.com/sprucecrank/sprucecrank/core/member"
)

// How gateways discover each other, as in internal/gateway/discovery: each has a number of
// neighbours, exchanges members with a new one at once and then every exchangeEvery, and starts
// with one of several seeds.
const (
	neighbours    = 3
	exchangeEvery = 1500 * time.Millisecond
	seedBoxes     = 3
)

// views are the gateways' own views of the fleet (core/gateway/peers), for fleets whose
// gateways discover each other gradually: a few at a time and with delay.
type views struct {
	fleet *fleet
	mu    sync.Mutex
	all   []*peers.View
	rng   *rand.Rand
}

func newViews(f *fleet) *views {
	return &views{fleet: f, all: make([]*peers.View, len(f.boxes)), rng: rand.New(rand.NewPCG(f.seed, 2))}
}

func (v *views) intn(n int) int { return v.rng.IntN(n) }

// start gives the box of a process that has just started an empty view, and fills it until the
// process ends.
func (v *views) start(ctx context.Context, i int) {
	v.mu.Lock()
	v.all[i] = peers.New(v.fleet.boxes[i].box, v.intn)
	v.mu.Unlock()
	for range neighbours {
		go v.exchangePeriodically(ctx, i)
	}
}

// exchangePeriodically exchanges views with one neighbour after the other.
func (v *views) exchangePeriodically(ctx context.Context, i int) {
	for ctx.Err() == nil {
		peer, isSeed := v.nextNeighbour(i)
		v.exchange(i, peer)
		wait := exchangeEvery
		if isSeed {
			wait = 10 * time.Millisecond // the gateways that a seed reported are called at once
		}
		select {
		case <-ctx.Done():
		case <-time.After(wait):
		}
	}
}

// nextNeighbour returns the next neighbour of a box: a seed while none is known.
func (v *views) nextNeighbour(i int) (peer member.Box, isSeed bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	peer, ok := v.all[i].PickNeighbour(time.Now(), peers.OwnHall, func(string) bool { return false })
	if !ok {
		return v.fleet.boxes[v.intn(seedBoxes)].box, true
	}
	return peer, false
}

// exchange makes two gateways exchange the gateways that they have seen, if they reach each
// other.
func (v *views) exchange(i int, peer member.Box) {
	time.Sleep(v.fleet.delay())
	j := v.fleet.index(peer.ID)
	reached := i != j && v.fleet.reaches(i, j)
	v.mu.Lock()
	defer v.mu.Unlock()
	now := time.Now()
	if !reached {
		v.all[i].RecordFailure(now, peer.ID)
		return
	}
	caller, callee := v.all[i], v.all[j]
	sent, received := caller.Sightings(now, ""), callee.Sightings(now, "")
	callee.ObserveCall(now, sent[0].Box)
	callee.MergeSightings(now, sent[1:])
	caller.ObserveAnswer(now, received[0].Box)
	caller.MergeSightings(now, received[1:])
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

func (v *views) mergeSightings(i int, s []peers.Sighting) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.all[i].MergeSightings(time.Now(), s)
}
