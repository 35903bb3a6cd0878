package catalog_test

import (
	"fmt"
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/sprucecrank/sprucecrank/core/gateway/catalog"
)

func shopTarget(id string) catalog.Target {
	return catalog.Target{ID: id, Service: "shop", Hall: "a", Address: "10.0.0.1:80", Slots: 3, Born: 1}
}

func idsOf(c *catalog.Catalog) []string {
	ids := []string{}
	for _, t := range c.Targets() {
		ids = append(ids, t.ID)
	}
	return ids
}

func TestRevisionsAreOrderedByTheStoresLifeFirst(t *testing.T) {
	g := NewWithT(t)
	g.Expect(catalog.Revision(0, 530)).To(Equal(uint64(530)))
	g.Expect(catalog.Revision(2, 1)).To(BeNumerically(">", catalog.Revision(1, 1<<39)))
	g.Expect(catalog.StoreLife(catalog.Revision(3, 530))).To(Equal(uint64(3)))
	g.Expect(catalog.GivenRevision(catalog.Revision(3, 530))).To(Equal(uint64(530)))
}

func TestAStoreThatComesBackOlderTakesNothingBack(t *testing.T) {
	g := NewWithT(t)
	c := catalog.New()
	c.SetConfig(12, []byte("twelve"))
	c.Replace(catalog.Revision(0, 100), []catalog.Target{shopTarget("stays"), shopTarget("new"), shopTarget("gone"), shopTarget("leaves")})
	leaving := shopTarget("leaves")
	leaving.Leaving = true
	c.Advance(catalog.Revision(0, 102), []catalog.Change{
		{Revision: 101, Target: shopTarget("gone"), Gone: true}, {Revision: 102, Target: leaving},
	})
	c.ReplaceEvacuations(catalog.Revision(0, 102), []catalog.Evacuation{{Hall: "a"}})
	c.ReplaceRollouts(catalog.Revision(0, 102), []catalog.Rollout{{Service: "shop", Version: "v2", Revision: 99, State: catalog.RolloutRolledBack, Elapsed: 9}})

	// The copy is older than all of this.
	g.Expect(c.SetConfig(11, []byte("eleven"))).To(BeFalse())
	c.Replace(catalog.Revision(1, 60), []catalog.Target{shopTarget("stays"), shopTarget("gone"), shopTarget("leaves"), shopTarget("unknown")})
	c.ReplaceEvacuations(catalog.Revision(1, 60), []catalog.Evacuation{{Hall: "b"}})
	c.ReplaceRollouts(catalog.Revision(1, 60), []catalog.Rollout{{Service: "shop", Version: "v2", Revision: catalog.Revision(1, 50), State: catalog.RolloutRunning, Elapsed: 3}})
	g.Expect(idsOf(c)).To(Equal([]string{"leaves", "new", "stays"}))
	g.Expect(c.Targets()[0].Leaving).To(BeTrue())
	g.Expect(c.Evacuations()).To(Equal([]catalog.Evacuation{{Hall: "a"}}))
	rollout, _ := c.Rollout("shop")
	g.Expect(rollout.State).To(Equal(catalog.RolloutRolledBack))
	g.Expect(rollout.Revision).To(Equal(catalog.Revision(1, 50))) // what a write is conditional on

	// Late word of the life before says nothing more.
	g.Expect(c.Advance(catalog.Revision(0, 120), []catalog.Change{{Revision: 120, Target: shopTarget("late")}})).To(BeFalse())
	g.Expect(c.Replace(catalog.Revision(0, 130), nil)).To(BeFalse())

	// What is written in the new life is believed, and the next list of it whole.
	c.Advance(catalog.Revision(1, 61), []catalog.Change{{Revision: catalog.Revision(1, 61), Target: shopTarget("written")}})
	g.Expect(idsOf(c)).To(ContainElement("written"))
	c.Replace(catalog.Revision(1, 70), []catalog.Target{shopTarget("stays"), shopTarget("leaves"), shopTarget("written"), shopTarget("unknown")})
	g.Expect(idsOf(c)).To(Equal([]string{"leaves", "stays", "unknown", "written"}))
	g.Expect(c.Targets()[0].Leaving).To(BeTrue())
}

func TestPositionsOfAnEarlierLifeAreKnownAsSuch(t *testing.T) {
	g := NewWithT(t)
	before := catalog.Position{ConfigRevision: 500, Targets: 500}
	after := catalog.Position{ConfigRevision: catalog.Revision(1, 60), Targets: catalog.Revision(1, 60)}
	g.Expect(before.OfEarlierLife(after)).To(BeTrue())
	g.Expect(after.OfEarlierLife(before)).To(BeFalse())
	g.Expect(after.OfEarlierLife(after)).To(BeFalse())
}

// Two gateways hear of a store and of each other in any order while it comes back from older
// copies. What one of them has seen leave is never taken into service again by it, and both
// believe the same in the end.
func TestInWhateverOrderOlderCopiesAreLearntOf(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		store := map[string]catalog.Target{}
		life, revision := uint64(0), uint64(1)
		var copies []map[string]catalog.Target
		two := []*catalog.Catalog{catalog.New(), catalog.New()}
		left := []map[string]bool{{}, {}}
		list := func() (out []catalog.Target) {
			for _, target := range store {
				out = append(out, target)
			}
			return out
		}
		check := func(i int) {
			for _, believed := range two[i].Targets() {
				if believed.Leaving {
					left[i][believed.ID] = true
				} else if left[i][believed.ID] {
					t.Fatalf("gateway %d takes %s into service again", i, believed.ID)
				}
			}
		}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			i := rapid.IntRange(0, 1).Draw(t, "gateway")
			id := fmt.Sprint("t", rapid.IntRange(0, 3).Draw(t, "target"))
			switch rapid.IntRange(0, 6).Draw(t, "step") {
			case 0:
				revision++
				if _, there := store[id]; !there {
					store[id] = shopTarget(id)
				}
			case 1:
				revision++
				if written, there := store[id]; there {
					written.Leaving = true
					store[id] = written
				}
			case 2:
				kept := map[string]catalog.Target{}
				for id, target := range store {
					kept[id] = target
				}
				copies = append(copies, kept)
			case 3:
				if len(copies) > 0 {
					store = copies[len(copies)-1]
					copies = copies[:len(copies)-1]
					life, revision = life+1, max(revision-min(revision, 3), 1)
				}
			case 4:
				two[i].Replace(catalog.Revision(life, revision), list())
			case 5, 6:
				two[i].Merge(two[1-i].Since(two[i].Position()))
			}
			check(0)
			check(1)
		}
		for range 2 { // the second list of a life is taken in whole
			for i := range two {
				revision++
				two[i].Replace(catalog.Revision(life, revision), list())
				check(i)
			}
		}
		NewWithT(t).Expect(idsOf(two[0])).To(Equal(idsOf(two[1])))
	})
}

// The second list of a life may be of the same revision as the first, where nobody has written
// meanwhile. Gateways that were told of the first must hear of what it adds.
func TestWhatIsReadAgainIsSentToThoseThatWereAsFar(t *testing.T) {
	g := NewWithT(t)
	reader, other := catalog.New(), catalog.New()
	reader.Replace(catalog.Revision(0, 100), []catalog.Target{shopTarget("a")})
	reader.ReplaceEvacuations(catalog.Revision(0, 100), nil)
	other.Merge(reader.Since(other.Position()))
	copied := catalog.Revision(1, 60)
	reader.Replace(copied, []catalog.Target{shopTarget("a"), shopTarget("back")})
	reader.ReplaceEvacuations(copied, []catalog.Evacuation{{Hall: "a"}})
	other.Merge(reader.Since(other.Position()))
	g.Expect(idsOf(other)).To(Equal([]string{"a"}))

	reader.Replace(copied, []catalog.Target{shopTarget("a"), shopTarget("back")})
	reader.ReplaceEvacuations(copied, []catalog.Evacuation{{Hall: "a"}})
	g.Expect(other.Position().IsBehind(reader.Position())).To(BeTrue())
	other.Merge(reader.Since(other.Position()))
	g.Expect(idsOf(other)).To(Equal([]string{"a", "back"}))
	g.Expect(other.Evacuations()).To(Equal([]catalog.Evacuation{{Hall: "a"}}))

	// The next change of the store is still to come.
	g.Expect(catalog.GivenRevision(reader.Position().Targets)).To(Equal(uint64(60)))
	g.Expect(reader.Advance(catalog.Revision(1, 61), []catalog.Change{{Revision: catalog.Revision(1, 61), Target: shopTarget("next")}})).To(BeTrue())
}
