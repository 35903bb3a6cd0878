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

	It("names the same home on every box, in the preferred hall, and moves few when one goes", func() {
		all := boxes(8)
		moved := 0
		for s := range 100 {
			service := fmt.Sprint("service-", s)
			var first member.Box
			for i, self := range all {
				v := member.New(self)
				v.SetList(now, all)
				home := v.Home(now, service, "south")
				if i == 0 {
					first = home
				}
				Expect(home.ID).To(Equal(first.ID))
				Expect(home.Hall).To(Equal("south"))
			}
			v := member.New(all[0])
			v.SetList(now, all)
			v.Leave(now, "box-1")
			if v.Home(now, service, "south").ID != first.ID {
				moved++
				Expect(first.ID).To(Equal("box-1"))
			}
		}
		Expect(moved).To(BeNumerically("~", 25, 15))
	})

	It("passes a silent box over, for longer each time, until it is heard again", func() {
		v := member.New(member.Box{ID: "self", Start: 1})
		v.SetList(now, boxes(1))
		v.Fail(now, "box-0")
		Expect(v.Usable(now, "box-0")).To(BeFalse())
		later := now.Add(600 * time.Millisecond)
		Expect(v.Usable(later, "box-0")).To(BeTrue())
		v.Fail(later, "box-0")
		Expect(v.Usable(later.Add(600*time.Millisecond), "box-0")).To(BeFalse())
		v.Observe(later, member.Box{ID: "box-0", Start: 1})
		Expect(v.Usable(later, "box-0")).To(BeTrue())
	})

	It("never takes leaving back for one start, whatever a lagging list says", func() {
		v := member.New(member.Box{ID: "self", Start: 1})
		v.SetList(now, boxes(1))
		v.Leave(now, "box-0")
		v.SetList(now, boxes(1))
		Expect(v.Usable(now, "box-0")).To(BeFalse())
		v.Learn(now, member.Box{ID: "box-0", Start: 2})
		Expect(v.Usable(now, "box-0")).To(BeTrue())
	})

	It("is its own home when no other box is usable, even while it leaves", func() {
		v := member.New(member.Box{ID: "self", Start: 1})
		v.SetLeaving()
		Expect(v.Home(now, "s", "north").ID).To(Equal("self"))
		v.SetList(now, boxes(1))
		Expect(v.Home(now, "s", "north").ID).To(Equal("box-0"))
	})

	It("lets news reach every box of a large fleet in few rounds, over few links", func() {
		const fleet = 870
		all := boxes(fleet)
		random := rand.New(rand.NewPCG(1, 1))
		views := make([]*member.View, fleet)
		links := map[string]map[string]bool{}
		for i, self := range all {
			views[i] = member.New(self)
			views[i].SetList(now, all)
			links[self.ID] = map[string]bool{}
		}
		index := map[string]int{}
		for i, b := range all {
			index[b.ID] = i
		}
		knows := make([]bool, fleet)
		knows[0] = true
		rounds := 0
		for known := 1; known < fleet; rounds++ {
			next := slices.Clone(knows)
			for i, v := range views {
				for _, b := range v.Sample(random, 3) {
					links[all[i].ID][b.ID] = true
					if knows[i] || knows[index[b.ID]] { // news goes both ways
						next[i], next[index[b.ID]] = true, true
					}
				}
			}
			knows = next
			known = 0
			for _, k := range knows {
				if k {
					known++
				}
			}
		}
		Expect(rounds).To(BeNumerically("<=", 8))
		for _, of := range links {
			Expect(len(of)).To(BeNumerically("<=", 10))
		}
	})

	It("passes on only boxes that were heard from lately, and forgets those that nobody names", func() {
		v := member.New(member.Box{ID: "self", Start: 1})
		v.SetList(now, boxes(2))
		v.Observe(now, member.Box{ID: "box-1", Start: 1})
		Expect(v.Recent(now, 9)).To(HaveLen(1))
		Expect(v.Recent(now.Add(6*time.Second), 9)).To(BeEmpty())
		v.Prune(now.Add(31 * time.Second))
		Expect(v.Boxes()).To(BeEmpty())
	})
})
