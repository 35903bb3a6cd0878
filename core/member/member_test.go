package member_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sprucecrank/sprucecrank/core/member"
)

func TestMemberSuite(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "member")
}

var _ = Describe("a view of the boxes", func() {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	boxes := func(n int) []member.Box {
		out := make([]member.Box, n)
		for i := range out {
			out[i] = member.Box{ID: fmt.Sprint("box-", i), Peer: fmt.Sprint("peer-", i), Hall: []string{"north", "south"}[i%2], Start: 1}
		}
		return out
	}

	It("returns the same home on every box, in the preferred hall, and moves few services when a box leaves", func() {
		all := boxes(8)
		moved := 0
		for s := range 100 {
			service := fmt.Sprint("service-", s)
			var first member.Box
			for i, self := range all {
				v := member.New(self)
				v.MergeList(now, all)
				home := v.Home(now, service, "south")
				if i == 0 {
					first = home
				}
				Expect(home.ID).To(Equal(first.ID))
				Expect(home.Hall).To(Equal("south"))
			}
			v := member.New(all[0])
			v.MergeList(now, all)
			v.MarkLeaving(now, "box-1")
			if v.Home(now, service, "south").ID != first.ID {
				moved++
				Expect(first.ID).To(Equal("box-1"))
			}
		}
		Expect(moved).To(BeNumerically("~", 25, 15))
	})

	It("skips a box that does not answer, for longer each time, until it answers", func() {
		v := member.New(member.Box{ID: "self", Start: 1})
		v.MergeList(now, boxes(1))
		v.RecordFailure(now, "box-0")
		Expect(v.IsUsable(now, "box-0")).To(BeFalse())
		later := now.Add(600 * time.Millisecond)
		Expect(v.IsUsable(later, "box-0")).To(BeTrue())
		v.RecordFailure(later, "box-0")
		Expect(v.IsUsable(later.Add(600*time.Millisecond), "box-0")).To(BeFalse())
		v.Observe(later, member.Box{ID: "box-0", Start: 1})
		Expect(v.IsUsable(later, "box-0")).To(BeTrue())
	})

	It("keeps a box leaving until it restarts, whatever a lagging list has", func() {
		v := member.New(member.Box{ID: "self", Start: 1})
		v.MergeList(now, boxes(1))
		v.MarkLeaving(now, "box-0")
		v.MergeList(now, boxes(1))
		Expect(v.IsUsable(now, "box-0")).To(BeFalse())
		v.MergeBox(now, member.Box{ID: "box-0", Start: 2})
		Expect(v.IsUsable(now, "box-0")).To(BeTrue())
	})

	It("is its own home when no other box is usable, even while it leaves", func() {
		v := member.New(member.Box{ID: "self", Start: 1})
		v.SetLeaving()
		Expect(v.Home(now, "s", "north").ID).To(Equal("self"))
		v.MergeList(now, boxes(1))
		Expect(v.Home(now, "s", "north").ID).To(Equal("box-0"))
	})

	It("spreads an update to every box of a large fleet in few rounds, over few links", func() {
		const fleet = 870
		all := boxes(fleet)
		random := rand.New(rand.NewPCG(1, 1))
		views := make([]*member.View, fleet)
		links := map[string]map[string]bool{}
		for i, self := range all {
			views[i] = member.New(self)
			views[i].MergeList(now, all)
			links[self.ID] = map[string]bool{}
		}
		index := map[string]int{}
		for i, b := range all {
			index[b.ID] = i
		}
		informed := make([]bool, fleet)
		informed[0] = true
		rounds := 0
		for count := 1; count < fleet; rounds++ {
			next := slices.Clone(informed)
			for i, v := range views {
				for _, b := range v.SampleNeighbours(random, 3) {
					links[all[i].ID][b.ID] = true
					if informed[i] || informed[index[b.ID]] { // updates go both ways
						next[i], next[index[b.ID]] = true, true
					}
				}
			}
			informed = next
			count = 0
			for _, k := range informed {
				if k {
					count++
				}
			}
		}
		Expect(rounds).To(BeNumerically("<=", 8))
		for _, of := range links {
			Expect(len(of)).To(BeNumerically("<=", 10))
		}
	})

	It("forwards only boxes that were seen lately, and removes those that nobody names", func() {
		v := member.New(member.Box{ID: "self", Start: 1})
		v.MergeList(now, boxes(2))
		v.Observe(now, member.Box{ID: "box-1", Start: 1})
		Expect(v.Recent(now, 9)).To(HaveLen(1))
		Expect(v.Recent(now.Add(6*time.Second), 9)).To(BeEmpty())
		v.Prune(now.Add(31 * time.Second))
		Expect(v.Boxes()).To(BeEmpty())
	})
})
