package quota_test

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/sprucecrank/sprucecrank/internal/gateway/quota"
)

// spread has gateways tell each other, as discovery does, that there are limits of targets, and
// what they know of them: each asks three others about once a second.
func (f *fleet) spread(ctx context.Context) {
	for ctx.Err() == nil {
		time.Sleep(time.Second / time.Duration(len(f.boxes)))
		asking, asked := f.drawSome()
		for _, other := range asked {
			if asking != nil {
				asking.ExtendSharing(other.SharingLeft())
				f.pass(other, asking)
			}
		}
	}
}

// drawSome draws a box and three others that it reaches.
func (f *fleet) drawSome() (asking *quota.Limiter, asked []*quota.Limiter) {
	f.mu.Lock()
	defer f.mu.Unlock()
	i := f.draws.IntN(len(f.boxes))
	for range neighbours {
		j := f.draws.IntN(len(f.boxes))
		if other := f.boxes[j].register; other != nil && f.part[i] == f.part[j] {
			asked = append(asked, other)
		}
	}
	return f.boxes[i].register, asked
}

// tell passes what a box knows on to its neighbours, those that ask it and those that it asks,
// which do the same if it is news to them.
func (f *fleet) tell(i int, register *quota.Limiter) {
	for _, j := range f.neighboursOf(i) {
		go func() {
			time.Sleep(f.delay())
			if !f.reaches(i, j) {
				return
			}
			if other := f.registerOf(j); other != nil && f.pass(register, other) {
				f.tell(j, other)
			}
		}()
	}
}

// neighboursOf lists the boxes with which one exchanges: three that it drew, and those that drew
// it.
func (f *fleet) neighboursOf(i int) (out []int) {
	for j := range f.boxes {
		drawsIt := func(from, to int) bool {
			draws := rand.New(rand.NewPCG(f.seed, uint64(from)))
			for range neighbours {
				if draws.IntN(len(f.boxes)) == to {
					return true
				}
			}
			return false
		}
		if j != i && (drawsIt(i, j) || drawsIt(j, i)) {
			out = append(out, j)
		}
	}
	return out
}

func (f *fleet) registerOf(i int) *quota.Limiter {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.boxes[i].register
}

// pass has one gateway hear all that another knows of limits, and says whether any was news.
func (f *fleet) pass(from, to *quota.Limiter) (isNew bool) {
	for at := ""; ; {
		body, next := from.Updates().Since(at)
		isNew = to.Updates().Merge(body, "gateway") || isNew
		if next == at {
			return isNew
		}
		at = next
	}
}
