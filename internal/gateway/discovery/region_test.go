package discovery

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/sprucecrank/sprucecrank/core/gateway/catalog"
	"github.com/sprucecrank/sprucecrank/core/gateway/locality"
	"github.com/sprucecrank/sprucecrank/core/gateway/routing"
	"github.com/sprucecrank/sprucecrank/core/member"
)

// newRegionFollower returns a gateway of a fleet with two regions, which knows version 1
// and one target.
func newRegionFollower(t *testing.T) *Follower {
	t.Helper()
	places := locality.New("a", "", map[string]string{"a": "north", "b": "north", "c": "south"})
	f := New(Options{
		Self: member.Box{ID: "self", Hall: "a"}, Locality: func() *locality.Map { return places },
		Timing: Timing{StaleAfter: time.Second, PollSlack: 300 * time.Millisecond},
		Decode: func([]byte) (*routing.Table, error) { return routing.New(routing.Config{Version: 1}), nil },
	})
	f.apply("test", func(c *catalog.Catalog) catalog.Changed {
		c.ConfirmConfig(1)
		c.SetConfig(1, []byte("one"))
		c.Replace(4, []catalog.Target{{ID: "t1", Service: "shop"}})
		return catalog.Changed{}
	})
	return f
}

func targetAdded(revision uint64, id string) []catalog.Change {
	return []catalog.Change{{Revision: revision, Target: catalog.Target{ID: id, Service: "shop"}}}
}

func TestPushedUpdateWithMissingBaseIsFetchedInstead(t *testing.T) {
	g := NewWithT(t)
	f, before := newRegionFollower(t), newRegionFollower(t).position()
	other := newRegionFollower(t)
	push := func(revision uint64, id string, base catalog.Position) UpdateArgs {
		other.apply("test", func(c *catalog.Catalog) catalog.Changed {
			return catalog.Changed{Targets: c.Advance(revision, targetAdded(revision, id))}
		})
		n := &neighbour{peer: member.Box{ID: "far", Hall: "c"}, position: base}
		return UpdateArgs{At: other.position(), News: other.deltaFor(n), Base: base, From: n.peer}
	}
	first := push(5, "t2", before)
	second := push(6, "t3", first.At)
	g.Expect(f.answer(second, &UpdateReply{})).To(Succeed())
	g.Expect(f.position()).To(Equal(before), "the update in between is missing")
	g.Expect(f.otherRegionOffers).To(HaveLen(1), "it is requested")
	g.Expect(f.answer(first, &UpdateReply{})).To(Succeed())
	g.Expect(f.position()).To(Equal(first.At))
	g.Expect(f.answer(second, &UpdateReply{})).To(Succeed())
	g.Expect(f.position()).To(Equal(second.At))
	g.Expect(f.Snapshot().ByService()["shop"]).To(HaveLen(3))
	g.Expect(f.answer(first, &UpdateReply{})).To(Succeed())
	g.Expect(f.position()).To(Equal(second.At), "an old update changes nothing")
}

func TestUpdatesArePushedToOtherRegionsOnly(t *testing.T) {
	g := NewWithT(t)
	f := newRegionFollower(t)
	behind := f.position()
	f.apply("test", func(c *catalog.Catalog) catalog.Changed {
		return catalog.Changed{Config: c.SetConfig(2, []byte("two"))}
	})
	far, near := member.Box{ID: "far", Hall: "c"}, member.Box{ID: "near", Hall: "b"}
	g.Expect(f.deltaFor(&neighbour{peer: near, position: behind}).IsEmpty()).To(BeTrue())
	g.Expect(f.deltaFor(&neighbour{peer: far}).IsEmpty()).To(BeTrue(), "a neighbour without any state requests the full catalog")
	g.Expect(f.deltaFor(&neighbour{peer: far, position: f.position()}).IsEmpty()).To(BeTrue())
	delta := f.deltaFor(&neighbour{peer: far, position: behind})
	body, err := inflate(delta.Config)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(string(body)).To(Equal("two"))
	g.Expect(delta.Changes).To(BeEmpty())
}

func TestTimeoutsAreLongerForOtherRegions(t *testing.T) {
	g := NewWithT(t)
	f := newRegionFollower(t)
	g.Expect(f.answerSlack(member.Box{Hall: "b"})).To(Equal(300 * time.Millisecond))
	g.Expect(f.answerSlack(member.Box{Hall: "c"})).To(Equal(700 * time.Millisecond))
	g.Expect(f.dialSlack(member.Box{Hall: "b"})).To(Equal(100 * time.Millisecond))
	g.Expect(f.dialSlack(member.Box{})).To(Equal(500*time.Millisecond), "the hall of a seed is unknown")
	one := New(Options{Self: member.Box{ID: "self", Hall: "a"}, Timing: f.options.Timing})
	g.Expect(one.dialSlack(member.Box{Hall: "z"})).To(Equal(100*time.Millisecond), "there is only one region")
}
