package quota_test

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/sprucecrank/sprucecrank/internal/gateway/quota"
)

// exchangePeriodically makes gateways exchange, as discovery does, that there are limits of
// targets and what these are: each calls three others about once a second.
func (f *fleet) exchangePeriodically(ctx context.Context) {
	for ctx.Err() == nil {
		time.Sleep(time.Second / time.Duration(len(f.boxes)))
		caller, callees := f.pickExchange()
		for _, other := range callees {
			if caller != nil {
				caller.ExtendSharing(other.SharingLeft())
				f.exchange(other, caller)
			}
		}
	}
}

// pickExchange picks a box and three others that it reaches.
func (f *fleet) pickExchange() (caller *quota.Limiter, callees []*quota.Limiter) {
	f.mu.Lock()
	defer f.mu.Unlock()
	i := f.rng.IntN(len(f.boxes))
	for range neighbours {
		j := f.rng.IntN(len(f.boxes))
		if other := f.boxes[j].limiter; other != nil && f.partition[i] == f.partition[j] {
			callees = append(callees, other)
		}
	}
	return f.boxes[i].limiter, callees
}

// publish sends the limits that a box knows to its neighbours, in both directions of the calls.
// These forward them if they were new to them.
func (f *fleet) publish(i int, limiter *quota.Limiter) {
	for _, j := range f.neighboursOf(i) {
		go func() {
			time.Sleep(f.delay())
			if !f.reaches(i, j) {
				return
			}
			if other := f.limiterOf(j); other != nil && f.exchange(limiter, other) {
				f.publish(j, other)
			}
		}()
	}
}

// neighboursOf returns the boxes with which the given one exchanges updates: three that it
// picked, and those that picked it.
func (f *fleet) neighboursOf(i int) (out []int) {
	for j := range f.boxes {
		picks := func(from, to int) bool {
			rng := rand.New(rand.NewPCG(f.seed, uint64(from)))
			for range neighbours {
				if rng.IntN(len(f.boxes)) == to {
					return true
				}
			}
			return false
		}
		if j != i && (picks(i, j) || picks(j, i)) {
			out = append(out, j)
		}
	}
	return out
}

func (f *fleet) limiterOf(i int) *quota.Limiter {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.boxes[i].limiter
}

// exchange merges all limits that one gateway knows into another, and reports whether any was
// new there.
func (f *fleet) exchange(from, to *quota.Limiter) (accepted bool) {
	for at := ""; ; {
		body, next := from.Updates().Since(at)
		accepted = to.Updates().Merge(body, "gateway") || accepted
		if next == at {
			return accepted
		}
		at = next
	}
}
