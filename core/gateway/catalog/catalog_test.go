package catalog_test

import (
	"fmt"
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/sprucecrank/sprucecrank/core/gateway/catalog"
)

func target(id string) catalog.Target {
	return catalog.Target{ID: id, Service: "preview", Address: "10.0.0.1:80", Hall: "a", Slots: 3}
}

func change(revision uint64, t catalog.Target) catalog.Change {
	return catalog.Change{Revision: revision, Target: t}
}

func TestStaleCopyIsUsedUntilTargetsAreRead(t *testing.T) {
	g := NewWithT(t)
	c := catalog.New()
	g.Expect(c.HasTargets()).To(BeFalse())
	changed := c.LoadStale(catalog.StaleCopy{Version: 3, Body: []byte("three"), Targets: []catalog.Target{target("gone"), target("stays")}})
	g.Expect(changed).To(Equal(catalog.Changed{Config: true, Targets: true}))
	g.Expect(c.HasTargets()).To(BeTrue())
	g.Expect(c.Position()).To(Equal(catalog.Position{Config: 3}))
	other := catalog.New()
	other.SetConfig(3, []byte("three"))
	other.Replace(530, []catalog.Target{target("stays"), target("new")})
	g.Expect(c.Position().IsBehind(other.Position())).To(BeTrue(), "a stale copy does not advance the position")
	c.Merge(other.Since(c.Position()))
	g.Expect(c.Targets()).To(ConsistOf(target("stays"), target("new")))
	changed = c.LoadStale(catalog.StaleCopy{Version: 2, Body: []byte("two"), Targets: []catalog.Target{target("gone")}})
	g.Expect(changed.Any()).To(BeFalse(), "a stale copy does not replace known state")
	g.Expect(c.Targets()).To(HaveLen(2))
}

// A first list that equals the stale copy must still count as a change: peers compare
// positions, and would take themselves for up to date without having any targets.
func TestFirstListIsAChangeEvenIfItEqualsTheStaleCopy(t *testing.T) {
	g := NewWithT(t)
	c := catalog.New()
	c.LoadStale(catalog.StaleCopy{Version: 3, Body: []byte("three"), Targets: []catalog.Target{target("stays")}})
	g.Expect(c.Replace(530, []catalog.Target{target("stays")})).To(BeTrue())
	g.Expect(catalog.Position{Config: 3}.IsBehind(c.Position())).To(BeTrue(), "a peer without targets is behind")
}

func TestOlderConfigurationIsIgnored(t *testing.T) {
	g := NewWithT(t)
	c := catalog.New()
	g.Expect(c.SetConfig(7, []byte("seven"))).To(BeTrue())
	g.Expect(c.SetConfig(6, []byte("six"))).To(BeFalse())
	g.Expect(c.SetConfig(7, []byte("other seven"))).To(BeFalse())
	g.Expect(string(c.Config())).To(Equal("seven"))
}

func TestLeavingTargetStaysLeaving(t *testing.T) {
	g := NewWithT(t)
	c := catalog.New()
	leaving := target("s")
	leaving.Leaving = true
	c.Replace(1, []catalog.Target{target("s")})
	c.Advance(2, []catalog.Change{change(2, leaving)})
	c.Advance(3, []catalog.Change{change(3, target("s"))})
	c.Replace(4, []catalog.Target{target("s")})
	g.Expect(c.Targets()).To(HaveLen(1))
	g.Expect(c.Targets()[0].Leaving).To(BeTrue())
}

func TestOlderTargetListIsIgnored(t *testing.T) {
	g := NewWithT(t)
	c := catalog.New()
	c.Replace(5, []catalog.Target{target("new")})
	g.Expect(c.Replace(4, []catalog.Target{target("old")})).To(BeFalse())
	g.Expect(c.Targets()).To(ConsistOf(target("new")))
}

func TestPeerBeyondTheChangeLogGetsTheWholeTable(t *testing.T) {
	g := NewWithT(t)
	c := catalog.New()
	c.Replace(1, []catalog.Target{target("first")})
	for i := uint64(2); i < 3000; i++ {
		c.Advance(i, []catalog.Change{change(i, target(fmt.Sprint("s", i%7)))})
	}
	g.Expect(c.Since(catalog.Position{Targets: 1}).Whole).To(BeTrue())
	g.Expect(c.Since(catalog.Position{Targets: 2990}).Whole).To(BeFalse())
	g.Expect(c.Since(catalog.Position{Targets: 2990}).Changes).To(HaveLen(9))
}

// A follower that merges deltas at any positions converges to the reader's state, and its
// versions never decrease.
func TestFollowerConvergesToTheReadersState(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		reader, follower := catalog.New(), catalog.New()
		revision := uint64(0)
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			before := follower.Position()
			revision += uint64(rapid.IntRange(1, 3).Draw(t, "gap"))
			s := target(fmt.Sprint("s", rapid.IntRange(0, 5).Draw(t, "target")))
			s.Leaving = rapid.Bool().Draw(t, "leaving")
			hall := catalog.Evacuation{Hall: fmt.Sprint("h", rapid.IntRange(0, 2).Draw(t, "hall"))}
			rollout := catalog.Rollout{Service: fmt.Sprint("r", rapid.IntRange(0, 2).Draw(t, "service")), Revision: revision}
			switch rapid.IntRange(0, 7).Draw(t, "action") {
			case 0:
				reader.Replace(revision, []catalog.Target{s})
			case 1:
				reader.Advance(revision, []catalog.Change{{Revision: revision, Target: s, Gone: rapid.Bool().Draw(t, "gone")}})
			case 2:
				reader.SetConfig(uint64(rapid.IntRange(1, 9).Draw(t, "version")), []byte{byte(revision)})
			case 3:
				delta := reader.Since(follower.Position())
				follower.Merge(delta)
				if rapid.Bool().Draw(t, "repeated") {
					follower.Merge(delta)
				}
			case 4:
				reader.ReplaceEvacuations(revision, []catalog.Evacuation{hall})
			case 5:
				reader.AdvanceEvacuations(revision, []catalog.EvacuationChange{{Revision: revision, Evacuation: hall, Gone: rapid.Bool().Draw(t, "ended")}})
			case 6:
				reader.ReplaceRollouts(revision, []catalog.Rollout{rollout})
			case 7:
				reader.AdvanceRollouts(revision, []catalog.RolloutChange{{Revision: revision, Rollout: rollout, Gone: rapid.Bool().Draw(t, "deleted")}})
			}
			if follower.Position().Config < before.Config || follower.Position().Targets < before.Targets {
				t.Fatalf("position went back from %+v to %+v", before, follower.Position())
			}
		}
		follower.Merge(reader.Since(follower.Position()))
		g := NewWithT(t)
		g.Expect(follower.Targets()).To(Equal(reader.Targets()))
		g.Expect(follower.Config()).To(Equal(reader.Config()))
		g.Expect(follower.Evacuations()).To(Equal(reader.Evacuations()))
		g.Expect(follower.Rollouts()).To(Equal(reader.Rollouts()))
		g.Expect(follower.Position().IsBehind(reader.Position())).To(BeFalse())
	})
}

func evacuation(hall string) catalog.Evacuation { return catalog.Evacuation{Hall: hall} }

// Evacuations follow the store, also where one began, ended and began again between two reads.
func TestEvacuationsFollowTheStore(t *testing.T) {
	g := NewWithT(t)
	c := catalog.New()
	g.Expect(c.ReplaceEvacuations(5, nil)).To(BeTrue(), "an empty list is known state as well")
	change := func(revision uint64, hall string, gone bool) catalog.EvacuationChange {
		return catalog.EvacuationChange{Revision: revision, Evacuation: evacuation(hall), Gone: gone}
	}
	g.Expect(c.AdvanceEvacuations(9, []catalog.EvacuationChange{change(6, "a", false), change(7, "a", true), change(9, "a", false)})).To(BeTrue())
	g.Expect(c.IsEvacuated("a")).To(BeTrue())
	g.Expect(c.IsEvacuated("b")).To(BeFalse())
	g.Expect(c.ReplaceEvacuations(8, nil)).To(BeFalse(), "an older list")
	g.Expect(c.ReplaceEvacuations(12, []catalog.Evacuation{evacuation("b")})).To(BeTrue())
	g.Expect(c.Evacuations()).To(ConsistOf(evacuation("b")))
	g.Expect(c.ReplaceEvacuations(13, []catalog.Evacuation{evacuation("b")})).To(BeFalse())
	g.Expect(c.Position()).To(Equal(catalog.Position{Evacuations: 13, EvacuationsChanged: 12}))
}

func TestEmptyEvacuationListIsSentToAGatewayThatLacksTheList(t *testing.T) {
	g := NewWithT(t)
	source, peer := catalog.New(), catalog.New()
	source.ReplaceEvacuations(5, nil)
	g.Expect(peer.Position().IsBehind(source.Position())).To(BeTrue())
	g.Expect(peer.Merge(source.Since(peer.Position())).Evacuations).To(BeTrue())
	g.Expect(peer.Position()).To(Equal(source.Position()))
	g.Expect(source.Since(peer.Position()).IsEmpty()).To(BeTrue())
	source.AdvanceEvacuations(8, nil)
	g.Expect(peer.Position().IsBehind(source.Position())).To(BeFalse())
	g.Expect(source.Since(peer.Position()).IsEmpty()).To(BeTrue(), "nothing has changed")
}

// A gateway that is too busy to send all its state sends a position without targets. That
// must not count as having received them.
func TestPositionWithoutTargetsDoesNotAdvanceThem(t *testing.T) {
	g := NewWithT(t)
	source, peer := catalog.New(), catalog.New()
	source.Replace(530, []catalog.Target{target("s")})
	source.ReplaceEvacuations(530, nil)
	peer.Merge(catalog.Delta{To: source.Position(), HasEvacuations: true})
	g.Expect(peer.Position()).To(Equal(catalog.Position{Evacuations: 530, EvacuationsChanged: 530}))
	g.Expect(peer.Position().IsBehind(source.Position())).To(BeTrue())
	peer.CatchUp(source.Position())
	g.Expect(peer.Position().IsBehind(source.Position())).To(BeTrue())
}

func TestStaleCopyOfEvacuationsIsUsedUntilTheyAreRead(t *testing.T) {
	g := NewWithT(t)
	c := catalog.New()
	g.Expect(c.LoadStale(catalog.StaleCopy{Evacuations: []catalog.Evacuation{evacuation("a")}}).Evacuations).To(BeTrue())
	g.Expect(c.IsEvacuated("a")).To(BeTrue())
	g.Expect(c.Position()).To(Equal(catalog.Position{}), "peers may have newer evacuations")
	c.ReplaceEvacuations(5, nil)
	g.Expect(c.IsEvacuated("a")).To(BeFalse())
	g.Expect(c.LoadStale(catalog.StaleCopy{Evacuations: []catalog.Evacuation{evacuation("a")}}).Any()).To(BeFalse())
}

func ExampleCatalog_Since() {
	c := catalog.New()
	c.Replace(530, []catalog.Target{{ID: "i-1"}, {ID: "i-2"}})
	c.Advance(533, []catalog.Change{{Revision: 533, Target: catalog.Target{ID: "i-2"}, Gone: true}})
	delta := c.Since(catalog.Position{Targets: 530})
	fmt.Println(delta.To.Targets, delta.Whole, len(delta.Changes))
	// Output: 533 false 1
}
