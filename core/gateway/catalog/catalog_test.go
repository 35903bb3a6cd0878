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

func change(revision uint64, s catalog.Target) catalog.Change {
	return catalog.Change{Revision: revision, Target: s}
}

func TestAGuessServesUntilSomethingIsKnown(t *testing.T) {
	g := NewWithT(t)
	c := catalog.New()
	g.Expect(c.HasTargets()).To(BeFalse())
	config, targets := c.Guess(3, []byte("three"), []catalog.Target{target("gone"), target("lives")})
	g.Expect(config && targets).To(BeTrue())
	g.Expect(c.HasTargets()).To(BeTrue())
	g.Expect(c.Position()).To(Equal(catalog.Position{Config: 3}))
	other := catalog.New()
	other.SetConfig(3, []byte("three"))
	other.Replace(530, []catalog.Target{target("lives"), target("new")})
	g.Expect(c.Position().Lacks(other.Position())).To(BeTrue(), "all that others know")
	c.Merge(other.Since(c.Position()))
	g.Expect(c.Targets()).To(ConsistOf(target("lives"), target("new")))
	config, targets = c.Guess(2, []byte("two"), []catalog.Target{target("gone")})
	g.Expect(config || targets).To(BeFalse(), "nothing goes back")
	g.Expect(c.Targets()).To(HaveLen(2))
}

func TestAGuessThatWasRightIsStillNewsToOthers(t *testing.T) {
	g := NewWithT(t)
	c := catalog.New()
	c.Guess(3, []byte("three"), []catalog.Target{target("lives")})
	g.Expect(c.Replace(530, []catalog.Target{target("lives")})).To(BeTrue())
	g.Expect(catalog.Position{Config: 3}.Lacks(c.Position())).To(BeTrue(), "or it would take itself for as far, without any targets")
}

func TestAnOlderConfigurationNeverComesBack(t *testing.T) {
	g := NewWithT(t)
	c := catalog.New()
	g.Expect(c.SetConfig(7, []byte("seven"))).To(BeTrue())
	g.Expect(c.SetConfig(6, []byte("six"))).To(BeFalse())
	g.Expect(c.SetConfig(7, []byte("other seven"))).To(BeFalse())
	g.Expect(string(c.Config())).To(Equal("seven"))
}

func TestATargetThatBeganToLeaveStaysLeaving(t *testing.T) {
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

func TestAListThatIsOlderChangesNothing(t *testing.T) {
	g := NewWithT(t)
	c := catalog.New()
	c.Replace(5, []catalog.Target{target("new")})
	g.Expect(c.Replace(4, []catalog.Target{target("old")})).To(BeFalse())
	g.Expect(c.Targets()).To(ConsistOf(target("new")))
}

func TestAReaderBeyondTheKeptChangesGetsTheWholeTable(t *testing.T) {
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

// A follower that merges deltas from whichever positions it stood at ends with
// what the reader believes, and its versions never fall.
func TestFollowersConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		reader, follower := catalog.New(), catalog.New()
		revision := uint64(0)
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			before := follower.Position()
			revision += uint64(rapid.IntRange(1, 3).Draw(t, "gap"))
			s := target(fmt.Sprint("s", rapid.IntRange(0, 5).Draw(t, "target")))
			s.Leaving = rapid.Bool().Draw(t, "leaving")
			switch rapid.IntRange(0, 3).Draw(t, "what") {
			case 0:
				reader.Replace(revision, []catalog.Target{s})
			case 1:
				reader.Advance(revision, []catalog.Change{{Revision: revision, Target: s, Gone: rapid.Bool().Draw(t, "gone")}})
			case 2:
				reader.SetConfig(uint64(rapid.IntRange(1, 9).Draw(t, "version")), []byte{byte(revision)})
			case 3:
				delta := reader.Since(follower.Position())
				follower.Merge(delta)
				if rapid.Bool().Draw(t, "again") {
					follower.Merge(delta)
				}
			}
			if follower.Position().Config < before.Config || follower.Position().Targets < before.Targets {
				t.Fatalf("fell from %+v to %+v", before, follower.Position())
			}
		}
		follower.Merge(reader.Since(follower.Position()))
		g := NewWithT(t)
		g.Expect(follower.Targets()).To(Equal(reader.Targets()))
		g.Expect(follower.Config()).To(Equal(reader.Config()))
	})
}

func ExampleCatalog_Since() {
	c := catalog.New()
	c.Replace(530, []catalog.Target{{ID: "i-1"}, {ID: "i-2"}})
	c.Advance(533, []catalog.Change{{Revision: 533, Target: catalog.Target{ID: "i-2"}, Gone: true}})
	delta := c.Since(catalog.Position{Targets: 530})
	fmt.Println(delta.To.Targets, delta.Whole, len(delta.Changes))
	// Output: 533 false 1
}
