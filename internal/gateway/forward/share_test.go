package forward_test

import (
	"fmt"
	"math"
	"net/http"
	"sync"
	"testing"

	. "github.com/onsi/gomega"
)

// weightOff is by how much a part's share may be off its weight, by the users' rule, also
// while a part is short of room.
const weightOff = 0.2

// What does not fit into a part that is full is refused and not moved to the other.
func TestSharesAreKeptWhileAPartIsFull(t *testing.T) {
	const shopWeight = 0.75 // of newTable's split
	for _, requests := range []int{200, 2000} {
		t.Run(fmt.Sprint(requests), func(t *testing.T) {
			g := NewWithT(t)
			shop, farm := newStandin(t, "s1", "shop", "a", ok), newStandin(t, "f1", "farm", "a", ok)
			shop.setLoad("3,9,3,100")
			farm.setLoad("0,0,3000,100")
			f := newFixture(t, shop, farm).start()
			var all sync.WaitGroup
			var mu sync.Mutex
			counts := map[int]int{}
			slots := make(chan struct{}, 200) // connections at once
			for range requests {
				slots <- struct{}{}
				all.Go(func() {
					defer func() { <-slots }()
					got := f.send(t.Context(), http.MethodGet, splitPath)
					mu.Lock()
					defer mu.Unlock()
					counts[got.status]++
				})
			}
			all.Wait()
			g.Expect(counts[http.StatusOK] + counts[http.StatusServiceUnavailable]).To(Equal(requests))
			g.Expect(shop.runs.Load()).To(BeZero())
			g.Expect(farm.runs.Load()).To(Equal(int32(counts[http.StatusOK])))
			refused := float64(counts[http.StatusServiceUnavailable]) / float64(requests)
			g.Expect(math.Abs(refused - shopWeight)).To(BeNumerically("<", weightOff))
		})
	}
}
