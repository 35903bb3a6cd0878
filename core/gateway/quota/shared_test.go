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

var inNeed = catalog.Life{ID: "target-1", Born: 7}

// rateOn is the limit that a board tells of a target; -1 for nothing.
func rateOn(b *quota.SharedLimits, life catalog.Life) float64 {
	updates, _ := b.Since(at(60), changes.Position{})
	for _, w := range updates {
		if w.Life == life {
			return w.Rate
		}
	}
	return -1
}

func TestABoardPublishesLimitsThatMoveByMuch(t *testing.T) {
	g := NewWithT(t)
	b := quota.NewSharedLimits(1)
	g.Expect(b.Position()).To(Equal(changes.Position{}))
	g.Expect(b.Observe(at(0), inNeed, quota.Advertised{})).To(BeFalse(), "it never named one")
	g.Expect(b.Observe(at(0), inNeed, quota.Advertised{Rate: 4})).To(BeTrue())
	g.Expect(b.Observe(at(0.6), inNeed, quota.Advertised{Rate: 4.4})).To(BeFalse())
	g.Expect(b.Observe(at(0.7), inNeed, quota.Advertised{Rate: 3})).To(BeTrue())
	g.Expect(b.Observe(at(0.8), inNeed, quota.Advertised{})).To(BeFalse(), "too soon")
	g.Expect(b.Tick(at(1))).To(BeFalse())
	g.Expect(b.Tick(at(1.3))).To(BeTrue())
	g.Expect(b.Observe(at(1.9), inNeed, quota.Advertised{})).To(BeFalse())
	updates, to := b.Since(at(2), changes.Position{})
	g.Expect(updates).To(Equal([]quota.Update{{Life: inNeed, Edition: 3, Age: 700 * time.Millisecond}}))
	again, _ := b.Since(at(2), to)
	g.Expect(again).To(BeEmpty())
	b.Tick(at(62))
	g.Expect(rateOn(b, inNeed)).To(Equal(-1.0))
}

func TestAnUpdateThatCantBeTrueIsPassedOver(t *testing.T) {
	g := NewWithT(t)
	b := quota.NewSharedLimits(1)
	for _, w := range []quota.Update{
		{Rate: 1, Edition: 1}, {Life: inNeed, Rate: -1, Edition: 1}, {Life: inNeed, Rate: 1e9, Edition: 1},
		{Life: inNeed, Rate: 1, Edition: 1, Age: -time.Second}, {Life: inNeed, Rate: 1, Edition: 1, Age: time.Hour},
		{Life: inNeed, Edition: 1, Age: 2 * time.Minute},
	} {
		g.Expect(b.Merge(at(0), []quota.Update{w})).To(BeEmpty(), "%v", w)
	}
}

// A service of thousands of targets is in need at once.
func TestABoardIsBounded(t *testing.T) {
	g := NewWithT(t)
	b := quota.NewSharedLimits(1)
	for i := range 3000 {
		b.Observe(at(0), catalog.Life{ID: fmt.Sprint("target-", i)}, quota.Advertised{Rate: 1})
	}
	advertised := map[string]bool{}
	for position := (changes.Position{}); ; {
		updates, to := b.Since(at(1), position)
		g.Expect(len(updates)).To(BeNumerically("<=", 32))
		if len(updates) == 0 {
			break
		}
		for _, w := range updates {
			advertised[w.Life.ID] = true
		}
		position = to
	}
	g.Expect(advertised).To(HaveLen(256))
	// What has no place is not told with each answer.
	position := b.Position()
	for i := range 3000 {
		b.Observe(at(1), catalog.Life{ID: fmt.Sprint("target-", i)}, quota.Advertised{Rate: 1})
	}
	g.Expect(b.Position()).To(Equal(position))
}

// A target names a limit in each second answer, at all gateways.
func TestALimitThatFlapsIsPublishedNowAndThen(t *testing.T) {
	g := NewWithT(t)
	boards := []*quota.SharedLimits{quota.NewSharedLimits(1), quota.NewSharedLimits(2), quota.NewSharedLimits(3)}
	advertised := 0
	for i := range 1000 {
		now := at(float64(i) / 100)
		rate := float64(i%2) * 3
		if b := boards[i%3]; b.Observe(now, inNeed, quota.Advertised{Rate: rate}) || b.Tick(now) {
			advertised++
			updates, _ := b.Since(now, changes.Position{})
			for _, other := range boards {
				other.Merge(now, updates)
			}
		}
	}
	g.Expect(advertised).To(BeNumerically("<=", 21), "in 10 s")
}

// Gateways hear what a target told at different times, and tell each other in any order. Once
// all was told, all know the same, and nobody has anything left to tell.
func TestBoardsEndAlikeInWhateverOrderUpdatesCome(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var boards []*quota.SharedLimits
		for i := range 4 {
			boards = append(boards, quota.NewSharedLimits(uint64(i+1)))
		}
		observed := map[[2]int]changes.Position{}
		now := 1.0
		tell := func(from, to int) (isNew bool) {
			updates, position := boards[from].Since(at(now), observed[[2]int{from, to}])
			observed[[2]int{from, to}] = position
			return len(boards[to].Merge(at(now), updates)) > 0
		}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			i, j := rapid.IntRange(0, 3).Draw(t, "i"), rapid.IntRange(0, 3).Draw(t, "j")
			if i == j {
				rate := rapid.SampledFrom([]float64{0, 1, 2, 8}).Draw(t, "rate")
				now += 0.3
				boards[i].Observe(at(now), inNeed, quota.Advertised{Rate: rate})
				continue
			}
			tell(i, j)
		}
		for rounds, fresh := 0, true; fresh; rounds++ {
			if rounds > 8 {
				t.Fatal("they go on telling each other")
			}
			fresh = false
			for i := range 4 {
				for j := range 4 {
					fresh = i != j && tell(i, j) || fresh
				}
			}
		}
		for _, b := range boards {
			if got, want := rateOn(b, inNeed), rateOn(boards[0], inNeed); got != want {
				t.Fatalf("%v here, %v there", got, want)
			}
		}
	})
}
