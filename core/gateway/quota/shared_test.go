package quota_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/sprucecrank/sprucecrank/core/gateway/catalog"
	"github.com/sprucecrank/sprucecrank/core/gateway/changes"
	"github.com/sprucecrank/sprucecrank/core/gateway/quota"
)

var limitedTarget = catalog.Life{ID: "target-1", Born: 7}

// publishedRate returns the published limit of a target; -1 if there is none.
func publishedRate(s *quota.SharedLimits, life catalog.Life) float64 {
	updates, _ := s.Since(at(60), changes.Position{})
	for _, u := range updates {
		if u.Life == life {
			return u.Rate
		}
	}
	return -1
}

func TestSharedLimitsPublishesConsiderableChanges(t *testing.T) {
	g := NewWithT(t)
	shared := quota.NewSharedLimits(1)
	g.Expect(shared.Position()).To(Equal(changes.Position{}))
	g.Expect(shared.Observe(at(0), limitedTarget, quota.Advertised{})).To(BeFalse(), "never advertised a limit")
	g.Expect(shared.Observe(at(0), limitedTarget, quota.Advertised{Rate: 4})).To(BeTrue())
	g.Expect(shared.Observe(at(0.6), limitedTarget, quota.Advertised{Rate: 4.4})).To(BeFalse())
	g.Expect(shared.Observe(at(0.7), limitedTarget, quota.Advertised{Rate: 3})).To(BeTrue())
	g.Expect(shared.Observe(at(0.8), limitedTarget, quota.Advertised{})).To(BeFalse(), "within publishEvery")
	g.Expect(shared.Tick(at(1))).To(BeFalse())
	g.Expect(shared.Tick(at(1.3))).To(BeTrue())
	g.Expect(shared.Observe(at(1.9), limitedTarget, quota.Advertised{})).To(BeFalse())
	updates, to := shared.Since(at(2), changes.Position{})
	g.Expect(updates).To(Equal([]quota.Update{{Life: limitedTarget, Edition: 3, Age: 700 * time.Millisecond}}))
	again, _ := shared.Since(at(2), to)
	g.Expect(again).To(BeEmpty())
	shared.Tick(at(62))
	g.Expect(publishedRate(shared, limitedTarget)).To(Equal(-1.0))
}

func TestMergeIgnoresInvalidUpdates(t *testing.T) {
	g := NewWithT(t)
	shared := quota.NewSharedLimits(1)
	for _, u := range []quota.Update{
		{Rate: 1, Edition: 1}, {Life: limitedTarget, Rate: -1, Edition: 1}, {Life: limitedTarget, Rate: 1e9, Edition: 1},
		{Life: limitedTarget, Rate: 1, Edition: 1, Age: -time.Second}, {Life: limitedTarget, Rate: 1, Edition: 1, Age: time.Hour},
		{Life: limitedTarget, Edition: 1, Age: 2 * time.Minute},
	} {
		g.Expect(shared.Merge(at(0), []quota.Update{u})).To(BeEmpty(), "%v", u)
	}
}

// A service with thousands of targets has limits on all of them at once.
func TestSharedLimitsAreBounded(t *testing.T) {
	g := NewWithT(t)
	shared := quota.NewSharedLimits(1)
	for i := range 3000 {
		shared.Observe(at(0), catalog.Life{ID: fmt.Sprint("target-", i)}, quota.Advertised{Rate: 1})
	}
	received := map[string]bool{}
	for position := (changes.Position{}); ; {
		updates, to := shared.Since(at(1), position)
		g.Expect(len(updates)).To(BeNumerically("<=", 32))
		if len(updates) == 0 {
			break
		}
		for _, u := range updates {
			received[u.Life.ID] = true
		}
		position = to
	}
	g.Expect(received).To(HaveLen(256))
	// Limits that don't fit are not published with every answer.
	position := shared.Position()
	for i := range 3000 {
		shared.Observe(at(1), catalog.Life{ID: fmt.Sprint("target-", i)}, quota.Advertised{Rate: 1})
	}
	g.Expect(shared.Position()).To(Equal(position))
}

// A target advertises a limit in every second answer, to all gateways.
func TestAlternatingLimitIsPublishedAtBoundedRate(t *testing.T) {
	g := NewWithT(t)
	gateways := []*quota.SharedLimits{quota.NewSharedLimits(1), quota.NewSharedLimits(2), quota.NewSharedLimits(3)}
	published := 0
	for i := range 1000 {
		now := at(float64(i) / 100)
		rate := float64(i%2) * 3
		if shared := gateways[i%3]; shared.Observe(now, limitedTarget, quota.Advertised{Rate: rate}) || shared.Tick(now) {
			published++
			updates, _ := shared.Since(now, changes.Position{})
			for _, other := range gateways {
				other.Merge(now, updates)
			}
		}
	}
	g.Expect(published).To(BeNumerically("<=", 21), "in 10 s")
}

// Gateways learn at different times what a target advertised, and exchange updates in any
// order. Once all updates were exchanged, all gateways know the same limit and none has
// anything left to send.
func TestSharedLimitsConvergeInAnyUpdateOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var gateways []*quota.SharedLimits
		for i := range 4 {
			gateways = append(gateways, quota.NewSharedLimits(uint64(i+1)))
		}
		positions := map[[2]int]changes.Position{}
		now := 1.0
		exchange := func(from, to int) (accepted bool) {
			updates, position := gateways[from].Since(at(now), positions[[2]int{from, to}])
			positions[[2]int{from, to}] = position
			return len(gateways[to].Merge(at(now), updates)) > 0
		}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			i, j := rapid.IntRange(0, 3).Draw(t, "i"), rapid.IntRange(0, 3).Draw(t, "j")
			if i == j {
				rate := rapid.SampledFrom([]float64{0, 1, 2, 8}).Draw(t, "rate")
				now += 0.3
				gateways[i].Observe(at(now), limitedTarget, quota.Advertised{Rate: rate})
				continue
			}
			exchange(i, j)
		}
		for rounds, changed := 0, true; changed; rounds++ {
			if rounds > 8 {
				t.Fatal("gateways keep sending updates")
			}
			changed = false
			for i := range 4 {
				for j := range 4 {
					changed = i != j && exchange(i, j) || changed
				}
			}
		}
		for _, shared := range gateways {
			if got, want := publishedRate(shared, limitedTarget), publishedRate(gateways[0], limitedTarget); got != want {
				t.Fatalf("one gateway has %v, another %v", got, want)
			}
		}
	})
}
