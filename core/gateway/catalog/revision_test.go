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

func TestRevisionsAreOrderedByEpochFirst(t *testing.T) {
	g := NewWithT(t)
	g.Expect(catalog.Revision(0, 530)).To(Equal(uint64(530)))
	g.Expect(catalog.Revision(2, 1)).To(BeNumerically(">", catalog.Revision(1, 1<<39)))
	g.Expect(catalog.StoreLife(catalog.Revision(3, 530))).To(Equal(uint64(3)))
	g.Expect(catalog.GivenRevision(catalog.Revision(3, 530))).To(Equal(uint64(530)))
}

func TestStoreRestoredFromAnOlderCopyRevertsNothing(t *testing.T) {
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

	// The store is restored from a copy that is older than all of this.
	g.Expect(c.SetConfig(11, []byte("eleven"))).To(BeFalse())
	c.Replace(catalog.Revision(1, 60), []catalog.Target{shopTarget("stays"), shopTarget("gone"), shopTarget("leaves"), shopTarget("unknown")})
	c.ReplaceEvacuations(catalog.Revision(1, 60), []catalog.Evacuation{{Hall: "b"}})
	c.ReplaceRollouts(catalog.Revision(1, 60), []catalog.Rollout{{Service: "shop", Version: "v2", Revision: catalog.Revision(1, 50), State: catalog.RolloutRunning, Elapsed: 3}})
	g.Expect(idsOf(c)).To(Equal([]string{"leaves", "new", "stays"}))
	g.Expect(c.Targets()[0].Leaving).To(BeTrue())
	g.Expect(c.Evacuations()).To(Equal([]catalog.Evacuation{{Hall: "a"}}))
	rollout, _ := c.Rollout("shop")
	g.Expect(rollout.State).To(Equal(catalog.RolloutRolledBack))
	g.Expect(rollout.Revision).To(Equal(catalog.Revision(1, 50))) // writes are conditional on it

	// Late updates from the previous epoch are ignored.
	g.Expect(c.Advance(catalog.Revision(0, 120), []catalog.Change{{Revision: 120, Target: shopTarget("late")}})).To(BeFalse())
	g.Expect(c.Replace(catalog.Revision(0, 130), nil)).To(BeFalse())

	// Writes in the new epoch are applied, and so is its next list, whole.
	c.Advance(catalog.Revision(1, 61), []catalog.Change{{Revision: catalog.Revision(1, 61), Target: shopTarget("written")}})
	g.Expect(idsOf(c)).To(ContainElement("written"))
	c.Replace(catalog.Revision(1, 70), []catalog.Target{shopTarget("stays"), shopTarget("leaves"), shopTarget("written"), shopTarget("unknown")})
	g.Expect(idsOf(c)).To(Equal([]string{"leaves", "stays", "unknown", "written"}))
	g.Expect(c.Targets()[0].Leaving).To(BeTrue())
}

func TestOfEarlierLifeComparesEpochs(t *testing.T) {
	g := NewWithT(t)
	before := catalog.Position{ConfigRevision: 500, Targets: 500}
	after := catalog.Position{ConfigRevision: catalog.Revision(1, 60), Targets: catalog.Revision(1, 60)}
	g.Expect(before.OfEarlierLife(after)).To(BeTrue())
	g.Expect(after.OfEarlierLife(before)).To(BeFalse())
	g.Expect(after.OfEarlierLife(after)).To(BeFalse())
}

// Two gateways read the store and merge each other's deltas in any order while the store is
// restored from older copies. A target that one of them has seen leave is never in service
// again there, and both gateways converge.
func TestGatewaysConvergeWhileTheStoreIsRestoredFromOlderCopies(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		store := map[string]catalog.Target{}
		epoch, revision := uint64(0), uint64(1)
		var copies []map[string]catalog.Target
		gateways := []*catalog.Catalog{catalog.New(), catalog.New()}
		left := []map[string]bool{{}, {}}
		list := func() (out []catalog.Target) {
			for _, target := range store {
				out = append(out, target)
			}
			return out
		}
		check := func(i int) {
			for _, target := range gateways[i].Targets() {
				if target.Leaving {
					left[i][target.ID] = true
				} else if left[i][target.ID] {
					t.Fatalf("gateway %d has target %s in service again after it left", i, target.ID)
				}
			}
		}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			i := rapid.IntRange(0, 1).Draw(t, "gateway")
			id := fmt.Sprint("t", rapid.IntRange(0, 3).Draw(t, "target"))
			switch rapid.IntRange(0, 6).Draw(t, "step") {
			case 0:
				revision++
				if _, exists := store[id]; !exists {
					store[id] = shopTarget(id)
				}
			case 1:
				revision++
				if written, exists := store[id]; exists {
					written.Leaving = true
					store[id] = written
				}
			case 2:
				snapshot := map[string]catalog.Target{}
				for id, target := range store {
					snapshot[id] = target
				}
				copies = append(copies, snapshot)
			case 3:
				if len(copies) > 0 {
					store = copies[len(copies)-1]
					copies = copies[:len(copies)-1]
					epoch, revision = epoch+1, max(revision-min(revision, 3), 1)
				}
			case 4:
				gateways[i].Replace(catalog.Revision(epoch, revision), list())
			case 5, 6:
				gateways[i].Merge(gateways[1-i].Since(gateways[i].Position()))
			}
			check(0)
			check(1)
		}
		for range 2 { // the second list of an epoch is applied whole
			for i := range gateways {
				revision++
				gateways[i].Replace(catalog.Revision(epoch, revision), list())
				check(i)
			}
		}
		NewWithT(t).Expect(idsOf(gateways[0])).To(Equal(idsOf(gateways[1])))
	})
}

// The second list of an epoch may have the revision of the first, if nothing was written
// meanwhile. Gateways that have merged the first must still be sent the entries that the
// second adds.
func TestListReadAgainAtTheSameRevisionIsSentToPeers(t *testing.T) {
	g := NewWithT(t)
	reader, other := catalog.New(), catalog.New()
	reader.Replace(catalog.Revision(0, 100), []catalog.Target{shopTarget("a")})
	reader.ReplaceEvacuations(catalog.Revision(0, 100), nil)
	other.Merge(reader.Since(other.Position()))
	restored := catalog.Revision(1, 60)
	reader.Replace(restored, []catalog.Target{shopTarget("a"), shopTarget("back")})
	reader.ReplaceEvacuations(restored, []catalog.Evacuation{{Hall: "a"}})
	other.Merge(reader.Since(other.Position()))
	g.Expect(idsOf(other)).To(Equal([]string{"a"}))

	reader.Replace(restored, []catalog.Target{shopTarget("a"), shopTarget("back")})
	reader.ReplaceEvacuations(restored, []catalog.Evacuation{{Hall: "a"}})
	g.Expect(other.Position().IsBehind(reader.Position())).To(BeTrue())
	other.Merge(reader.Since(other.Position()))
	g.Expect(idsOf(other)).To(Equal([]string{"a", "back"}))
	g.Expect(other.Evacuations()).To(Equal([]catalog.Evacuation{{Hall: "a"}}))

	// The next change of the store is newer than the list that was read again.
	g.Expect(catalog.GivenRevision(reader.Position().Targets)).To(Equal(uint64(60)))
	g.Expect(reader.Advance(catalog.Revision(1, 61), []catalog.Change{{Revision: catalog.Revision(1, 61), Target: shopTarget("next")}})).To(BeTrue())
}
