package estimate

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/sprucecrank/sprucecrank/core/gateway/load"
	"github.com/sprucecrank/sprucecrank/core/gateway/routing"
)

// exhaustiveLimit tries each number of requests.
func exhaustiveLimit(l *levels, slots int) int {
	best, bestRate := slots, minLimitGain*l.rate(slots, slots)
	for active := 1; active < slots; active++ {
		if rate := l.rate(active, slots); rate > bestRate {
			best, bestRate = active, rate
		}
	}
	return best
}

func TestLimitIsThatOfTryingEachNumberOfRequests(t *testing.T) {
	random := rand.New(rand.NewPCG(32, 1))
	for range 2000 {
		l := newLevels()
		for i := range l {
			for range random.IntN(30) {
				l[i].update(1 + 4*random.Float64())
			}
		}
		slots := 1 + random.IntN(300)
		NewWithT(t).Expect(l.limit(slots)).To(Equal(exhaustiveLimit(&l, slots)), fmt.Sprint(slots, " slots, ", l))
	}
}

// Guards against a gateway that stands still for a wrong number of slots (review/1).
func TestAPredictionEndsWhateverTheNumberOfSlots(t *testing.T) {
	g := NewWithT(t)
	s := New()
	route := &routing.Route{Name: "a", Objective: time.Second}
	for _, slots := range []int{1, load.MaxCount, 3_728_190_345, 1 << 62} {
		for _, active := range []int{0, 1, load.MaxCount} {
			p := s.Predict(route, load.New(active, active, slots, 1, time.Time{}))
			g.Expect(p.Duration()).To(BeNumerically(">", 0))
			g.Expect(p.Reserved()).To(BeNumerically(">=", 0))
		}
	}
}
