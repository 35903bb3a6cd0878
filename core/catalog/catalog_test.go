package catalog_test

import (
	"fmt"
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/sprucecrank/sprucecrank/core/catalog"
)

func server(id string) catalog.Server {
	return catalog.Server{ID: id, Service: "preview", Address: "10.0.0.1:80", Zone: "a", Slots: 3}
}

func change(revision uint64, s catalog.Server) catalog.Change {
	return catalog.Change{Revision: revision, Server: s}
}

func TestAnOlderConfigurationNeverComesBack(t *testing.T) {
	g := NewWithT(t)
	c := catalog.New()
	g.Expect(c.SetConfig(7, []byte("seven"))).To(BeTrue())
	g.Expect(c.SetConfig(6, []byte("six"))).To(BeFalse())
	g.Expect(c.SetConfig(7, []byte("other seven"))).To(BeFalse())
	g.Expect(string(c.Config())).To(Equal("seven"))
}

func TestAServerThatBeganToLeaveStaysLeaving(t *testing.T) {
	g := NewWithT(t)
	c := catalog.New()
	leaving := server("s")
	leaving.Leaving = true
	c.Replace(1, []catalog.Server{server("s")})
	c.Advance(2, []catalog.Change{change(2, leaving)})
	c.Advance(3, []catalog.Change{change(3, server("s"))})
	c.Replace(4, []catalog.Server{server("s")})
	g.Expect(c.Servers()).To(HaveLen(1))
	g.Expect(c.Servers()[0].Leaving).To(BeTrue())
}

func TestAListThatIsOlderChangesNothing(t *testing.T) {
	g := NewWithT(t)
	c := catalog.New()
	c.Replace(5, []catalog.Server{server("new")})
	g.Expect(c.Replace(4, []catalog.Server{server("old")})).To(BeFalse())
	g.Expect(c.Servers()).To(ConsistOf(server("new")))
}

func TestAReaderBeyondTheKeptChangesGetsTheWholeTable(t *testing.T) {
	g := NewWithT(t)
	c := catalog.New()
	c.Replace(1, []catalog.Server{server("first")})
	for i := uint64(2); i < 3000; i++ {
		c.Advance(i, []catalog.Change{change(i, server(fmt.Sprint("s", i%7)))})
	}
	g.Expect(c.Since(catalog.Position{Servers: 1}).Whole).To(BeTrue())
	g.Expect(c.Since(catalog.Position{Servers: 2990}).Whole).To(BeFalse())
	g.Expect(c.Since(catalog.Position{Servers: 2990}).Changes).To(HaveLen(9))
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
			s := server(fmt.Sprint("s", rapid.IntRange(0, 5).Draw(t, "server")))
			s.Leaving = rapid.Bool().Draw(t, "leaving")
			switch rapid.IntRange(0, 3).Draw(t, "what") {
			case 0:
				reader.Replace(revision, []catalog.Server{s})
			case 1:
				reader.Advance(revision, []catalog.Change{{Revision: revision, Server: s, Gone: rapid.Bool().Draw(t, "gone")}})
			case 2:
				reader.SetConfig(uint64(rapid.IntRange(1, 9).Draw(t, "version")), []byte{byte(revision)})
			case 3:
				delta := reader.Since(follower.Position())
				follower.Merge(delta)
				if rapid.Bool().Draw(t, "again") {
					follower.Merge(delta)
				}
			}
			if follower.Position().Config < before.Config || follower.Position().Servers < before.Servers {
				t.Fatalf("fell from %+v to %+v", before, follower.Position())
			}
		}
		follower.Merge(reader.Since(follower.Position()))
		g := NewWithT(t)
		g.Expect(follower.Servers()).To(Equal(reader.Servers()))
		g.Expect(follower.Config()).To(Equal(reader.Config()))
	})
}
